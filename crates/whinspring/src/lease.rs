//! Leases, by which a node knows that no other node acts in its place.
//!
//! [`Lease`] is the side of the lessee, [`LeaseTable`] the side of the lessor. The two never
//! compare clocks: each measures durations on its own monotonic clock, and [`DRIFT`] covers the
//! difference of their rates.

use {
    crate::{name::Name, time::Tick},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Duration of a lease, counted from when the acknowledged heartbeat was sent.
pub const LEASE: Duration = Duration::from_millis(500);

/// Largest assumed drift between two monotonic clocks over one lease.
pub const DRIFT: Duration = Duration::from_millis(10);

/// Interval between heartbeats to the same lessor.
pub const HEARTBEAT: Duration = Duration::from_millis(150);

/// Lease duration of a node without lessors, counted from when the write of its record was sent.
pub const RECORD_LEASE: Duration = Duration::from_millis(3_000);

/// Interval between record writes of a node without lessors.
pub const RECORD_RENEWAL: Duration = Duration::from_millis(1_000);

/// Number of lessors of a node in a deployment that is large enough.
pub const LESSORS: usize = 3;

/// Number of heartbeats whose send times are kept.
const MAX_SENT_TRACKED: usize = 16;

/// Returns how many of `lessors` must acknowledge; intersects every lapse quorum.
pub const fn ack_quorum(lessors: usize) -> usize {
    lessors - lessors / 2
}

/// Returns how many of `lessors` must have let the lease lapse before a node is declared lost.
pub const fn lapse_quorum(lessors: usize) -> usize {
    lessors / 2 + 1
}

/// What a lease is based on.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Basis {
    /// Acknowledgements of a quorum of these nodes.
    Lessors(Vec<Name>),
    /// The last write of the node's own record, sent at this time.
    Record(Tick),
}

/// The lease held by this node.
#[derive(Debug, Default)]
pub struct Lease {
    /// Version of the confirmed node record.
    version: u64,
    /// Confirmed basis; `None` before the node has joined.
    current: Option<Basis>,
    /// Basis named by a write of the node record in progress, which may have taken effect.
    pending: Option<Basis>,
    /// Nodes asked for acknowledgements before the node record names them as lessors.
    candidates: Vec<Name>,
    /// Lower bound of the version of the next node record.
    min_version: u64,
    /// Send time of the latest heartbeat that each lessor acknowledged.
    acks: BTreeMap<Name, Tick>,
    /// Number and send time of recent heartbeats.
    sent: VecDeque<(u64, Tick)>,
    /// Number of the last heartbeat.
    seq: u64,
}

impl Lease {
    /// Returns when the lease expires; zero if there is none.
    ///
    /// While a write of the node record is in progress, both the former and the new basis must
    /// hold.
    pub fn expiry(&self) -> Tick {
        let Some(current) = &self.current else { return Tick::default() };
        let until = self.basis_expiry(current);
        self.pending.as_ref().map_or(until, |pending| until.min(self.basis_expiry(pending)))
    }

    /// Returns the version of the node record that the lease is based on.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the nodes to send heartbeats to.
    pub fn lessors(&self) -> Vec<Name> {
        let mut names: Vec<Name> = Vec::new();
        let bases = [self.current.as_ref(), self.pending.as_ref()];
        let recorded = bases.into_iter().flatten().filter_map(|basis| match basis {
            Basis::Lessors(lessors) => Some(lessors),
            Basis::Record(_) => None,
        });
        for lessors in recorded.chain([&self.candidates]) {
            let new: Vec<Name> =
                lessors.iter().filter(|name| !names.contains(name)).cloned().collect();
            names.extend(new);
        }
        names
    }

    /// Returns the version of the node record that a heartbeat to `lessor` names.
    ///
    /// A candidate gets a lower bound of the version of the record that will name it, so that its
    /// acknowledgements count for that record only.
    pub fn heartbeat_version(&self, lessor: &Name) -> u64 {
        match &self.current {
            Some(Basis::Lessors(lessors)) if lessors.contains(lessor) => self.version,
            _ => self.version.max(self.min_version),
        }
    }

    /// Sets the candidates that must acknowledge before the node record names them as lessors.
    ///
    /// `min_version` is a lower bound of the version of any later write.
    pub fn set_candidates(&mut self, lessors: &[Name], min_version: u64) {
        self.candidates = lessors.to_vec();
        self.min_version = min_version;
    }

    pub fn candidates(&self) -> &[Name] {
        &self.candidates
    }

    /// Returns whether a quorum of the candidates acknowledged a heartbeat sent within the last
    /// [`HEARTBEAT`].
    pub fn candidates_accepted(&self, now: Tick) -> bool {
        let acked = self.quorum_ack(&self.candidates);
        acked.is_some_and(|acked| now.since(acked) < HEARTBEAT)
    }

    /// Returns the send time of the latest heartbeat that `lessor` acknowledged.
    pub fn last_ack(&self, lessor: &Name) -> Option<Tick> {
        self.acks.get(lessor).copied()
    }

    /// Records a heartbeat sent now and returns its number.
    pub fn record_heartbeat(&mut self, now: Tick) -> u64 {
        self.seq += 1;
        self.sent.push_back((self.seq, now));
        if self.sent.len() > MAX_SENT_TRACKED {
            self.sent.pop_front();
        }
        self.seq
    }

    pub fn record_ack(&mut self, lessor: &Name, seq: u64) {
        let Some((_, sent)) = self.sent.iter().find(|(number, _)| *number == seq) else { return };
        let acked = self.acks.entry(lessor.clone()).or_default();
        *acked = (*acked).max(*sent);
    }

    /// Begins a write of the node record with these lessors.
    ///
    /// Until the outcome is known, the lease requires both the former lessors and these.
    pub fn begin_write(&mut self, now: Tick, lessors: &[Name]) {
        self.candidates.clear();
        self.pending = Some(match lessors {
            [] => Basis::Record(now),
            lessors => Basis::Lessors(lessors.to_vec()),
        });
    }

    /// Completes a write of the node record that took effect at `version`.
    pub fn complete_write(&mut self, version: u64) {
        let Some(basis) = self.pending.take() else { return };
        self.version = version;
        self.current = Some(basis);
    }

    /// Ends a write of the node record that did not take effect.
    pub fn abort_write(&mut self) {
        self.pending = None;
    }

    /// Drops the lease; heartbeat numbers keep rising.
    pub fn reset(&mut self) {
        *self = Self { seq: self.seq, ..Self::default() };
    }

    /// Returns when a lease with this basis expires.
    fn basis_expiry(&self, basis: &Basis) -> Tick {
        let (sent, span) = match basis {
            Basis::Record(sent) => (Some(*sent), RECORD_LEASE),
            Basis::Lessors(lessors) => (self.quorum_ack(lessors), LEASE),
        };
        sent.map_or(Tick::default(), |sent| sent + (span - DRIFT))
    }

    /// Returns the latest send time up to which a quorum of `lessors` acknowledged.
    fn quorum_ack(&self, lessors: &[Name]) -> Option<Tick> {
        if lessors.is_empty() {
            return None;
        }
        let mut acks: Vec<Tick> = lessors.iter().filter_map(|name| self.last_ack(name)).collect();
        acks.sort_unstable_by(|a, b| b.cmp(a));
        acks.get(ack_quorum(lessors.len()) - 1).copied()
    }
}

/// State that a lessor keeps about one lessee.
#[derive(Debug, Clone)]
struct Lessee {
    /// Incarnation of the node.
    incarnation: u64,
    /// Highest known version of the node record.
    version: u64,
    /// When a heartbeat was last acknowledged.
    last_ack: Option<Tick>,
    /// Version of the node record up to which no heartbeat is acknowledged any more.
    promised_version: u64,
}

/// The leases that this node grants to others.
#[derive(Debug)]
pub struct LeaseTable {
    /// When this process started; what an earlier process acknowledged is unknown.
    start: Tick,
    lessees: BTreeMap<Name, Lessee>,
}

impl LeaseTable {
    /// Creates the table of a process that starts at `start`.
    pub fn new(start: Tick) -> Self {
        Self { start, lessees: BTreeMap::new() }
    }

    /// Handles a heartbeat and returns whether to acknowledge it.
    ///
    /// `joined` is the version of the first record of this process. Heartbeats for older records
    /// are not acknowledged, since an earlier process of this node may have promised not to.
    pub fn accept_heartbeat(
        &mut self,
        now: Tick,
        node: &Name,
        incarnation: u64,
        version: u64,
        joined: u64,
    ) -> bool {
        if version <= joined {
            return false;
        }
        let lessee = self.lessee_mut(node, incarnation, version);
        if lessee.incarnation != incarnation || version <= lessee.promised_version {
            return false;
        }
        lessee.version = lessee.version.max(version);
        lessee.last_ack = Some(now);
        true
    }

    /// Returns when a heartbeat of this incarnation of `node` was last acknowledged.
    pub fn last_ack(&self, node: &Name, incarnation: u64) -> Option<Tick> {
        let lessee = self.lessees.get(node).filter(|lessee| lessee.incarnation == incarnation);
        lessee.and_then(|lessee| lessee.last_ack)
    }

    /// Returns the time since the last acknowledgement for `node`, or since the start of this
    /// process.
    pub fn silence(&self, now: Tick, node: &Name, incarnation: u64) -> Duration {
        now.since(self.last_ack(node, incarnation).unwrap_or(self.start))
    }

    /// Promises to acknowledge no more heartbeats for records up to `version`.
    ///
    /// Returns `false` without a promise while an earlier acknowledgement may still extend the
    /// lease.
    pub fn promise(&mut self, now: Tick, node: &Name, incarnation: u64, version: u64) -> bool {
        if self.silence(now, node, incarnation) <= LEASE + DRIFT {
            return false;
        }
        let lessee = self.lessee_mut(node, incarnation, version);
        if lessee.incarnation == incarnation {
            lessee.promised_version = lessee.promised_version.max(version);
        }
        true
    }

    /// Removes a node whose record says that it is gone, so that it cannot get a lease any more.
    pub fn remove(&mut self, node: &Name, incarnation: u64) {
        if self.lessees.get(node).is_some_and(|lessee| lessee.incarnation == incarnation) {
            self.lessees.remove(node);
        }
    }

    /// Returns the entry of `node`, replaced if `version` shows a later incarnation.
    fn lessee_mut(&mut self, node: &Name, incarnation: u64, version: u64) -> &mut Lessee {
        let fresh = Lessee { incarnation, version, last_ack: None, promised_version: 0 };
        let lessee = self.lessees.entry(node.clone()).or_insert_with(|| fresh.clone());
        if lessee.incarnation != incarnation && lessee.version < version {
            *lessee = fresh;
        }
        lessee
    }
}
