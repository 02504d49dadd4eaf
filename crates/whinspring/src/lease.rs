//! Leases: how a node knows that no other node acts in its place.
//!
//! [`Lease`] is the side of the node that is kept alive, [`Ledger`] the side of the nodes that keep
//! it alive. Neither compares clocks: each counts on its own monotonic clock, and the drift bound
//! covers the difference of their rates.

use {
    crate::{name::Name, time::Tick},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Time that one acknowledgement extends a lease, counted from the sending of its heartbeat.
pub const LEASE: Duration = Duration::from_millis(500);

/// Largest difference assumed between two monotonic clocks over one lease.
pub const DRIFT: Duration = Duration::from_millis(10);

/// Time between two heartbeats to the same lessor.
pub const HEARTBEAT: Duration = Duration::from_millis(150);

/// Time that one write of its own record extends the lease of a node without lessors.
pub const RECORD_LEASE: Duration = Duration::from_millis(3_000);

/// Time between two such writes.
pub const RECORD_RENEWAL: Duration = Duration::from_millis(1_000);

/// Lessors of a node in a deployment that is large enough.
pub const LESSORS: usize = 3;

/// Heartbeats whose sending times are remembered.
const MAX_TRACKED: usize = 16;

/// Returns how many of `lessors` must acknowledge; meets every lapse quorum.
pub const fn ack_quorum(lessors: usize) -> usize {
    lessors - lessors / 2
}

/// Returns how many of `lessors` must have lapsed before a node is declared lost.
pub const fn lapse_quorum(lessors: usize) -> usize {
    lessors / 2 + 1
}

/// The lessors that a lease rests on.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Basis {
    /// A quorum of these nodes.
    Lessors(Vec<Name>),
    /// The last write of the node's own record, sent at this point.
    Record(Tick),
}

/// The lease of this node.
#[derive(Debug, Default)]
pub struct Lease {
    /// Version of the confirmed node record.
    version: u64,
    /// Confirmed basis; `None` before the node has joined.
    current: Option<Basis>,
    /// Basis of a node record that may have been written.
    pending: Option<Basis>,
    /// Lessors that are asked before the node record names them.
    candidates: Vec<Name>,
    /// Version below which no later node record of this node will be.
    min_version: u64,
    /// Sending time of the latest heartbeat that each lessor acknowledged.
    acks: BTreeMap<Name, Tick>,
    /// Number and time of recent heartbeats.
    sent: VecDeque<(u64, Tick)>,
    /// Number of the last heartbeat.
    seq: u64,
}

impl Lease {
    /// Returns the point after which the lease is no longer valid; zero if there is none.
    pub fn expiry(&self) -> Tick {
        let Some(current) = &self.current else { return Tick::default() };
        let until = self.basis_expiry(current);
        self.pending.as_ref().map_or(until, |pending| until.min(self.basis_expiry(pending)))
    }

    /// Returns the version of the node record that the lease rests on.
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
    /// A lessor that is only about to be named gets the version below which the record that names
    /// it will not be: its acknowledgements count for that record alone.
    pub fn heartbeat_version(&self, lessor: &Name) -> u64 {
        match &self.current {
            Some(Basis::Lessors(lessors)) if lessors.contains(lessor) => self.version,
            _ => self.version.max(self.min_version),
        }
    }

    /// Asks future lessors for acknowledgements before the node record names them.
    ///
    /// `floor` is a version below which the platform will write nothing any more.
    pub fn set_candidates(&mut self, lessors: &[Name], min_version: u64) {
        self.candidates = lessors.to_vec();
        self.min_version = min_version;
    }

    /// Returns the future lessors that are being asked.
    pub fn candidates(&self) -> &[Name] {
        &self.candidates
    }

    /// Returns whether enough future lessors acknowledged to rely on them at once.
    pub fn candidates_accepted(&self, now: Tick) -> bool {
        let acked = self.quorum_ack(&self.candidates);
        acked.is_some_and(|acked| now.since(acked) < HEARTBEAT)
    }

    /// Returns when `lessor` last acknowledged, as the sending time of its heartbeat.
    pub fn last_ack(&self, lessor: &Name) -> Option<Tick> {
        self.acks.get(lessor).copied()
    }

    /// Numbers a heartbeat that is sent now.
    pub fn record_heartbeat(&mut self, now: Tick) -> u64 {
        self.seq += 1;
        self.sent.push_back((self.seq, now));
        if self.sent.len() > MAX_TRACKED {
            self.sent.pop_front();
        }
        self.seq
    }

    /// Notes the acknowledgement of a heartbeat.
    pub fn record_ack(&mut self, lessor: &Name, seq: u64) {
        let Some((_, sent)) = self.sent.iter().find(|(number, _)| *number == seq) else { return };
        let acked = self.acks.entry(lessor.clone()).or_default();
        *acked = (*acked).max(*sent);
    }

    /// Begins a write of the node record with these lessors.
    ///
    /// Until its outcome is known the lease rests on the former lessors and on these.
    pub fn begin_write(&mut self, now: Tick, lessors: &[Name]) {
        self.candidates.clear();
        self.pending = Some(match lessors {
            [] => Basis::Record(now),
            lessors => Basis::Lessors(lessors.to_vec()),
        });
    }

    /// Ends a write of the node record that took effect.
    pub fn complete_write(&mut self, version: u64) {
        let Some(basis) = self.pending.take() else { return };
        self.version = version;
        self.current = Some(basis);
    }

    /// Ends a write of the node record that did not take effect.
    pub fn abort_write(&mut self) {
        self.pending = None;
    }

    /// Gives the lease up for good; heartbeats go on being numbered upwards.
    pub fn reset(&mut self) {
        *self = Self { seq: self.seq, ..Self::default() };
    }

    /// Returns the point up to which `basis` keeps the lease.
    fn basis_expiry(&self, basis: &Basis) -> Tick {
        let (sent, span) = match basis {
            Basis::Record(sent) => (Some(*sent), RECORD_LEASE),
            Basis::Lessors(lessors) => (self.quorum_ack(lessors), LEASE),
        };
        sent.map_or(Tick::default(), |sent| sent + (span - DRIFT))
    }

    /// Returns the latest sending time that a quorum of `lessors` acknowledged.
    fn quorum_ack(&self, lessors: &[Name]) -> Option<Tick> {
        if lessors.is_empty() {
            return None;
        }
        let mut acks: Vec<Tick> = lessors.iter().filter_map(|name| self.last_ack(name)).collect();
        acks.sort_unstable_by(|a, b| b.cmp(a));
        acks.get(ack_quorum(lessors.len()) - 1).copied()
    }
}

/// What a lessor remembers of one node.
#[derive(Debug, Clone)]
struct Lessee {
    /// Incarnation of the node.
    incarnation: u64,
    /// Version of the node record in the last heartbeat.
    version: u64,
    /// When a heartbeat was last acknowledged.
    acked: Option<Tick>,
    /// Versions of the node record up to which no heartbeat is acknowledged any more.
    promised: u64,
}

/// The leases that this node keeps for others.
#[derive(Debug)]
pub struct LeaseTable {
    /// When this process started: what an earlier process acknowledged is unknown.
    start: Tick,
    /// What is remembered by node.
    lessees: BTreeMap<Name, Lessee>,
}

impl LeaseTable {
    /// Creates the ledger of a process that starts now.
    pub fn new(start: Tick) -> Self {
        Self { start, lessees: BTreeMap::new() }
    }

    /// Notes a heartbeat and returns whether to acknowledge it.
    ///
    /// `joined` is the version of the first record of this process. Heartbeats for older records
    /// are not acknowledged, since an earlier process of this node may have promised so.
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
        if lessee.incarnation != incarnation || version <= lessee.promised {
            return false;
        }
        lessee.version = lessee.version.max(version);
        lessee.acked = Some(now);
        true
    }

    /// Returns when a heartbeat of `node` was last acknowledged.
    pub fn last_ack(&self, node: &Name, incarnation: u64) -> Option<Tick> {
        let lessee = self.lessees.get(node).filter(|lessee| lessee.incarnation == incarnation);
        lessee.and_then(|lessee| lessee.acked)
    }

    /// Returns for how long `node` has had no acknowledgement.
    pub fn silence(&self, now: Tick, node: &Name, incarnation: u64) -> Duration {
        now.since(self.last_ack(node, incarnation).unwrap_or(self.start))
    }

    /// Promises to acknowledge no more heartbeats for records up to `version`.
    ///
    /// Returns `false`, and promises nothing, while an acknowledgement may still be in force.
    pub fn promise(&mut self, now: Tick, node: &Name, incarnation: u64, version: u64) -> bool {
        if self.silence(now, node, incarnation) <= LEASE + DRIFT {
            return false;
        }
        let lessee = self.lessee_mut(node, incarnation, version);
        if lessee.incarnation == incarnation {
            lessee.promised = lessee.promised.max(version);
        }
        true
    }

    /// Forgets a node that has no valid lease and gets none: its record says that it is gone.
    pub fn remove(&mut self, node: &Name, incarnation: u64) {
        if self.lessees.get(node).is_some_and(|lessee| lessee.incarnation == incarnation) {
            self.lessees.remove(node);
        }
    }

    /// Returns the entry of `node`, renewed if `version` shows a later incarnation.
    fn lessee_mut(&mut self, node: &Name, incarnation: u64, version: u64) -> &mut Lessee {
        let fresh = Lessee { incarnation, version, acked: None, promised: 0 };
        let lessee = self.lessees.entry(node.clone()).or_insert_with(|| fresh.clone());
        if lessee.incarnation != incarnation && lessee.version < version {
            *lessee = fresh;
        }
        lessee
    }
}
