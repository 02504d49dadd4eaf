//! How records reach this node and leave it: list, watch, and exchange with neighbours.

use {
    super::{Action, Control, Peer, roster},
    crate::{
        message::Message,
        model::NodeState,
        name::Name,
        record::{Kind, Record},
        time::Tick,
    },
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Time after which an unanswered request for records is repeated.
const PULL_TIMEOUT: Duration = Duration::from_millis(200);

/// Time between two rounds of requests for records at start.
const START_PULL: Duration = Duration::from_millis(500);

/// First wait after a failed read of the platform.
const READ_RETRY_MIN: Duration = Duration::from_millis(200);

/// Longest such wait.
const READ_RETRY_MAX: Duration = Duration::from_millis(2_000);

/// Time for which a failed call tells that the platform is down.
const DOWN: Duration = Duration::from_millis(5_000);

/// Time without a lease after which any node watches the platform itself.
const CUT_OFF: Duration = Duration::from_millis(1_000);

/// Time after which a node looks for a write of its own that its neighbours have not told it of.
const UNSEEN: Duration = Duration::from_millis(300);

/// Time after which a node that was not heard from is forgotten as a neighbour.
const FORGET: Duration = Duration::from_millis(10_000);

/// Shortest time between two rounds of news to the neighbours.
const NOTIFY_GAP: Duration = Duration::from_millis(10);

/// What is known of a node that messages were exchanged with.
#[derive(Debug, Clone)]
pub(super) struct Neighbor {
    /// Its address.
    pub addr: SocketAddr,
    /// Revision it said to have seen.
    pub seen: u64,
    /// When it was last heard.
    pub heard: Tick,
    /// Number of its last heartbeat, to be acknowledged again with news.
    pub beat: Option<(u64, u64)>,
}

/// The state of reading and exchange.
#[derive(Debug, Default)]
pub(super) struct Spread {
    /// Whether enough records are known to take part.
    pub ready: bool,
    /// When a call to the platform last failed, unless one succeeded since.
    failed: Option<Tick>,
    /// Nodes that messages were exchanged with.
    pub neighbors: BTreeMap<Name, Neighbor>,
    /// Whether a list is under way.
    listing: bool,
    /// Revision of the watch under way.
    watching: Option<u64>,
    /// Whether only a list helps.
    stale: bool,
    /// When the platform may be read again after a failure.
    retry: Tick,
    /// Wait after the next failure.
    wait: Duration,
    /// Request for records under way.
    pulled: Option<Tick>,
    /// Next round of requests at start.
    start_pull: Tick,
    /// Revision that neighbours were last told of.
    told: u64,
    /// When they were told.
    told_at: Tick,
    /// Since when a write of this node is not seen.
    unseen: Option<Tick>,
}

impl Control {
    /// Reads the platform and exchanges records as far as it is time to.
    pub(super) fn tend_spread(&mut self, out: &mut Vec<Action>) {
        self.writes.prune(self.now, &self.replica);
        self.tend_reads(out);
        self.tend_pulls(out);
        self.notify(out);
        let now = self.now;
        self.spread.neighbors.retain(|_, neighbor| now.since(neighbor.heard) < FORGET);
    }

    /// Takes records read from the platform.
    pub(super) fn read(
        &mut self,
        whole: bool,
        revision: u64,
        records: Vec<Record>,
        out: &mut Vec<Action>,
    ) {
        let after = if whole { Some(0) } else { self.spread.watching };
        if whole {
            self.spread.listing = false;
            self.spread.stale = false;
            self.spread.ready = true;
        } else {
            self.spread.watching = None;
        }
        self.platform_up();
        if let Some(after) = after {
            self.apply(after, revision, records, out);
        }
    }

    /// Notes a failed read of the platform.
    pub(super) fn read_failed(&mut self, gone: bool) {
        self.spread.listing = false;
        self.spread.watching = None;
        if gone {
            self.spread.stale = true;
            return;
        }
        self.platform_failed();
        let wait = self.spread.wait.clamp(READ_RETRY_MIN, READ_RETRY_MAX);
        self.spread.retry = self.now + self.jitter(wait);
        self.spread.wait = wait * 2;
    }

    /// Notes that the platform answered.
    pub(super) fn platform_up(&mut self) {
        self.spread.failed = None;
        self.spread.wait = READ_RETRY_MIN;
    }

    /// Notes that the platform did not answer.
    pub(super) fn platform_failed(&mut self) {
        self.spread.failed = Some(self.now);
    }

    /// Returns whether the platform seems to be down.
    pub(super) fn platform_down(&self) -> bool {
        self.spread.failed.is_some_and(|failed| self.now.since(failed) < DOWN)
    }

    /// Notes what another node has seen.
    pub(super) fn note_seen(&mut self, peer: &Peer, seen: u64) {
        if peer.name.is_empty() {
            return;
        }
        let fresh = Neighbor { addr: peer.addr, seen, heard: self.now, beat: None };
        let neighbor = self.spread.neighbors.entry(peer.name.clone()).or_insert(fresh);
        neighbor.addr = peer.addr;
        neighbor.seen = neighbor.seen.max(seen);
        neighbor.heard = self.now;
    }

    /// Answers a request for records.
    pub(super) fn pull(&mut self, peer: Peer, seen: u64, out: &mut Vec<Action>) {
        self.note_seen(&peer, seen);
        let changes = self.replica.changes(seen);
        let message =
            Message::Records { after: changes.after, seen: changes.seen, records: changes.records };
        out.push(Action::Send(peer, message));
    }

    /// Takes records from another node.
    pub(super) fn records(
        &mut self,
        peer: &Peer,
        after: u64,
        seen: u64,
        records: Vec<Record>,
        out: &mut Vec<Action>,
    ) {
        self.note_seen(peer, seen);
        self.spread.pulled = None;
        self.spread.ready |= seen > 0;
        self.apply(after, seen, records, out);
    }

    /// Returns whether a node was heard from within `span`.
    pub(super) fn heard(&self, name: &Name, span: Duration) -> bool {
        let neighbor = self.spread.neighbors.get(name);
        neighbor.is_some_and(|neighbor| self.now.since(neighbor.heard) < span)
    }

    /// Applies a batch and passes on what follows from it.
    fn apply(&mut self, after: u64, seen: u64, records: Vec<Record>, out: &mut Vec<Action>) {
        let changed = self.replica.apply(after, seen, records);
        if changed.is_empty() {
            return;
        }
        for key in changed.iter().filter(|key| key.kind == Kind::Node) {
            self.roster.update(self.now, &self.replica, &self.setup.name, &key.name);
            self.forget_gone(&key.name);
        }
        if changed.iter().any(|key| key.kind == Kind::Controller) {
            self.reports.repeat();
        }
        self.dirty = true;
        out.push(Action::Changed(changed));
    }

    /// Forgets the lease of a node that is gone.
    fn forget_gone(&mut self, name: &Name) {
        let node = roster::node(&self.replica, name).map(|(_, node)| node);
        if let Some(node) = node.filter(|node| node.state == NodeState::Gone) {
            self.ledger.forget(name, node.incarnation);
        }
    }

    /// Lists or watches the platform if that is this node's task.
    fn tend_reads(&mut self, out: &mut Vec<Action>) {
        if self.spread.listing || self.spread.watching.is_some() || self.now < self.spread.retry {
            return;
        }
        if !self.spread.ready || self.spread.stale {
            self.spread.listing = true;
            out.push(Action::List);
            return;
        }
        if self.watches() {
            let after = self.replica.seen();
            self.spread.watching = Some(after);
            out.push(Action::Watch(after));
        }
    }

    /// Returns whether this node has to read the platform itself.
    fn watches(&mut self) -> bool {
        let unseen = self.writes.unseen(&self.replica) > 0;
        let since = unseen.then(|| self.spread.unseen.unwrap_or(self.now));
        self.spread.unseen = since;
        self.roster.watches(&self.setup.name)
            || self.node_state().is_none()
            || self.term.is_some()
            || since.is_some_and(|since| self.now.since(since) >= UNSEEN)
            || self.now.since(self.leased) >= CUT_OFF
    }

    /// Asks neighbours that have seen more.
    fn tend_pulls(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        if !self.spread.ready && self.platform_down() && now >= self.spread.start_pull {
            self.spread.start_pull = now + START_PULL;
            for addr in self.setup.peers.clone() {
                let peer = Peer { name: Name::new(), addr };
                out.push(Action::Send(peer, Message::Pull { seen: self.replica.seen() }));
            }
        }
        if self.spread.pulled.is_some_and(|pulled| now.since(pulled) < PULL_TIMEOUT) {
            return;
        }
        let seen = self.replica.seen();
        let ahead = self.spread.neighbors.iter().filter(|(_, neighbor)| neighbor.seen > seen);
        let Some((name, neighbor)) =
            ahead.max_by_key(|(_, neighbor)| (neighbor.heard, neighbor.seen))
        else {
            return;
        };
        let peer = Peer { name: name.clone(), addr: neighbor.addr };
        out.push(Action::Send(peer, Message::Pull { seen }));
        self.spread.pulled = Some(now);
    }

    /// Tells the neighbours at once that this node has seen more.
    fn notify(&mut self, out: &mut Vec<Action>) {
        let seen = self.replica.seen();
        if seen <= self.spread.told || self.now.since(self.spread.told_at) < NOTIFY_GAP {
            return;
        }
        self.spread.told = seen;
        self.spread.told_at = self.now;
        self.send_beats(|neighbor| neighbor.is_none_or(|neighbor| neighbor.seen < seen), out);
        for name in &self.roster.lessees {
            let Some(neighbor) = self.spread.neighbors.get(name).filter(|n| n.seen < seen) else {
                continue;
            };
            let Some((incarnation, seq)) = neighbor.beat else { continue };
            let peer = Peer { name: name.clone(), addr: neighbor.addr };
            out.push(Action::Send(peer, Message::Ack { incarnation, seq, seen }));
        }
    }

    /// Sends heartbeats to the lessors of whom `wanted` holds.
    pub(super) fn send_beats(
        &mut self,
        wanted: impl Fn(Option<&Neighbor>) -> bool,
        out: &mut Vec<Action>,
    ) {
        let mut lessors = self.lease.lessors();
        lessors.retain(|name| wanted(self.spread.neighbors.get(name)));
        if lessors.is_empty() {
            return;
        }
        let seq = self.lease.beat(self.now);
        for name in lessors {
            let Some((_, node)) = roster::node(&self.replica, &name) else { continue };
            let peer = Peer { name, addr: node.addr };
            let message = Message::Heartbeat {
                incarnation: self.incarnation,
                seq,
                version: self.lease.version_for(&peer.name),
                seen: self.replica.seen(),
            };
            out.push(Action::Send(peer, message));
        }
    }
}
