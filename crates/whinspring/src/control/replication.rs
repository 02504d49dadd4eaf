//! Record replication: listing and watching the platform, and exchange with neighbours.

use {
    super::{Action, Control, Peer, nodes},
    crate::{
        message::Message,
        model::NodeState,
        name::Name,
        record::{Kind, Record},
        time::Tick,
    },
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Time after which an unanswered pull is repeated.
const PULL_TIMEOUT: Duration = Duration::from_millis(200);

/// Interval between pulls from the configured peers at start.
const START_PULL_INTERVAL: Duration = Duration::from_millis(500);

/// First backoff after a failed read of the platform.
const READ_RETRY_MIN: Duration = Duration::from_millis(200);

/// Longest backoff after failed reads.
const READ_RETRY_MAX: Duration = Duration::from_millis(2_000);

/// Time after a failed call for which the platform is taken to be down.
const DOWN_PERIOD: Duration = Duration::from_millis(5_000);

/// Time without a lease after which a node watches the platform itself.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time after which a node that has not received its own write from a neighbour watches the
/// platform itself.
const UNSEEN_TIMEOUT: Duration = Duration::from_millis(300);

/// Time without a message after which a neighbour is dropped.
const NEIGHBOR_EXPIRY: Duration = Duration::from_millis(10_000);

/// Minimum time between two notifications of the neighbours.
const NOTIFY_INTERVAL: Duration = Duration::from_millis(10);

/// State of a node that sent messages to this one.
#[derive(Debug, Clone)]
pub(super) struct Neighbor {
    pub addr: SocketAddr,
    /// Highest store revision that it reported as seen.
    pub seen: u64,
    /// When its last message arrived.
    pub last_heard: Tick,
    /// Incarnation and number of its last heartbeat, acknowledged again to announce a new revision.
    pub heartbeat: Option<(u64, u64)>,
}

/// State of record replication.
#[derive(Debug, Default)]
pub(super) struct Replication {
    /// Whether an initial set of records was received, so that the node may join.
    pub ready: bool,
    /// When a call to the platform last failed, unless one succeeded since.
    failed_at: Option<Tick>,
    /// Nodes that sent messages recently.
    pub neighbors: BTreeMap<Name, Neighbor>,
    /// Whether a list is in progress.
    listing: bool,
    /// Revision of the watch in progress.
    watching: Option<u64>,
    /// Whether the replica is too old for a watch, so that a list is required.
    stale: bool,
    /// When the platform may be read again after a failure.
    retry_at: Tick,
    /// Backoff after the next failure.
    retry_wait: Duration,
    /// When the pull in progress was sent.
    pulled_at: Option<Tick>,
    /// Next pull from the configured peers at start.
    next_pull: Tick,
    /// Revision that neighbours were last notified of.
    notified: u64,
    notified_at: Tick,
    /// Since when a write of this node is missing in the replica.
    unseen_since: Option<Tick>,
}

impl Control {
    /// Reads the platform and exchanges records with neighbours where due.
    pub(super) fn sync_records(&mut self, out: &mut Vec<Action>) {
        self.writes.prune(self.now, &self.replica);
        self.read_platform(out);
        self.pull_records(out);
        self.notify_neighbors(out);
        let now = self.now;
        self.replication
            .neighbors
            .retain(|_, neighbor| now.since(neighbor.last_heard) < NEIGHBOR_EXPIRY);
    }

    /// Handles records read from the platform.
    pub(super) fn handle_read(
        &mut self,
        full: bool,
        revision: u64,
        records: Vec<Record>,
        out: &mut Vec<Action>,
    ) {
        let after = if full { Some(0) } else { self.replication.watching };
        if full {
            self.replication.listing = false;
            self.replication.stale = false;
            self.replication.ready = true;
        } else {
            self.replication.watching = None;
        }
        self.mark_platform_up();
        if let Some(after) = after {
            self.apply(after, revision, records, out);
        }
    }

    /// Handles a failed read of the platform; `gone` requires a list instead of a watch.
    pub(super) fn handle_read_error(&mut self, gone: bool) {
        self.replication.listing = false;
        self.replication.watching = None;
        if gone {
            self.replication.stale = true;
            return;
        }
        self.mark_platform_down();
        let wait = self.replication.retry_wait.clamp(READ_RETRY_MIN, READ_RETRY_MAX);
        self.replication.retry_at = self.now + self.jitter(wait);
        self.replication.retry_wait = wait * 2;
    }

    pub(super) fn mark_platform_up(&mut self) {
        self.replication.failed_at = None;
        self.replication.retry_wait = READ_RETRY_MIN;
    }

    pub(super) fn mark_platform_down(&mut self) {
        self.replication.failed_at = Some(self.now);
    }

    /// Returns whether a call failed within [`DOWN_PERIOD`] and none has succeeded since.
    pub(super) fn is_platform_down(&self) -> bool {
        self.replication.failed_at.is_some_and(|failed| self.now.since(failed) < DOWN_PERIOD)
    }

    /// Records the revision that another node has seen, and that it was heard from.
    pub(super) fn record_seen(&mut self, peer: &Peer, seen: u64) {
        if peer.name.is_empty() {
            return;
        }
        let fresh = Neighbor { addr: peer.addr, seen, last_heard: self.now, heartbeat: None };
        let neighbor = self.replication.neighbors.entry(peer.name.clone()).or_insert(fresh);
        neighbor.addr = peer.addr;
        neighbor.seen = neighbor.seen.max(seen);
        neighbor.last_heard = self.now;
    }

    /// Answers a pull.
    pub(super) fn handle_pull(&mut self, peer: Peer, seen: u64, out: &mut Vec<Action>) {
        self.record_seen(&peer, seen);
        let changes = self.replica.changes(seen);
        let message =
            Message::Records { after: changes.after, seen: changes.seen, records: changes.records };
        out.push(Action::Send(peer, message));
    }

    /// Handles records from another node.
    pub(super) fn handle_records(
        &mut self,
        peer: &Peer,
        after: u64,
        seen: u64,
        records: Vec<Record>,
        out: &mut Vec<Action>,
    ) {
        self.record_seen(peer, seen);
        self.replication.pulled_at = None;
        self.replication.ready |= seen > 0;
        self.apply(after, seen, records, out);
    }

    pub(super) fn heard_within(&self, name: &Name, span: Duration) -> bool {
        let neighbor = self.replication.neighbors.get(name);
        neighbor.is_some_and(|neighbor| self.now.since(neighbor.last_heard) < span)
    }

    /// Applies a batch to the replica and updates the state derived from the changed records.
    fn apply(&mut self, after: u64, seen: u64, records: Vec<Record>, out: &mut Vec<Action>) {
        let changed = self.replica.apply(after, seen, records);
        if changed.is_empty() {
            return;
        }
        for key in changed.iter().filter(|key| key.kind == Kind::Node) {
            self.nodes.update(self.now, &self.replica, &self.setup.name, &key.name);
            self.remove_lease(&key.name);
        }
        if changed.iter().any(|key| key.kind == Kind::Controller) {
            self.reports.resend_all();
        }
        self.dirty = true;
        out.push(Action::Changed(changed));
    }

    /// Removes the lease of a node whose record says that it is gone.
    fn remove_lease(&mut self, name: &Name) {
        let node = nodes::node(&self.replica, name).map(|(_, node)| node);
        if let Some(node) = node.filter(|node| node.state == NodeState::Gone) {
            self.lease_table.remove(name, node.incarnation);
        }
    }

    /// Lists or watches the platform if this node must read it.
    fn read_platform(&mut self, out: &mut Vec<Action>) {
        if self.replication.listing
            || self.replication.watching.is_some()
            || self.now < self.replication.retry_at
        {
            return;
        }
        if !self.replication.ready || self.replication.stale {
            self.replication.listing = true;
            out.push(Action::List);
            return;
        }
        if self.should_watch() {
            let after = self.replica.seen();
            self.replication.watching = Some(after);
            out.push(Action::Watch(after));
        }
    }

    /// Returns whether this node must watch the platform itself.
    fn should_watch(&mut self) -> bool {
        let unseen = self.writes.latest_unseen(&self.replica) > 0;
        let since = unseen.then(|| self.replication.unseen_since.unwrap_or(self.now));
        self.replication.unseen_since = since;
        self.nodes.is_watcher(&self.setup.name)
            || self.node_state().is_none()
            || self.leadership.is_some()
            || since.is_some_and(|since| self.now.since(since) >= UNSEEN_TIMEOUT)
            || self.now.since(self.last_leased) >= ISOLATION_TIMEOUT
    }

    /// Pulls records from a neighbour with a higher revision, or at start from the configured
    /// peers.
    fn pull_records(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        if !self.replication.ready && self.is_platform_down() && now >= self.replication.next_pull {
            self.replication.next_pull = now + START_PULL_INTERVAL;
            for addr in self.setup.peers.clone() {
                let peer = Peer { name: Name::new(), addr };
                out.push(Action::Send(peer, Message::Pull { seen: self.replica.seen() }));
            }
        }
        if self.replication.pulled_at.is_some_and(|pulled| now.since(pulled) < PULL_TIMEOUT) {
            return;
        }
        let seen = self.replica.seen();
        let ahead = self.replication.neighbors.iter().filter(|(_, neighbor)| neighbor.seen > seen);
        let Some((name, neighbor)) =
            ahead.max_by_key(|(_, neighbor)| (neighbor.last_heard, neighbor.seen))
        else {
            return;
        };
        let peer = Peer { name: name.clone(), addr: neighbor.addr };
        out.push(Action::Send(peer, Message::Pull { seen }));
        self.replication.pulled_at = Some(now);
    }

    /// Notifies neighbours of a new revision without waiting for the next heartbeat.
    fn notify_neighbors(&mut self, out: &mut Vec<Action>) {
        let seen = self.replica.seen();
        if seen <= self.replication.notified
            || self.now.since(self.replication.notified_at) < NOTIFY_INTERVAL
        {
            return;
        }
        self.replication.notified = seen;
        self.replication.notified_at = self.now;
        self.send_heartbeats(|neighbor| neighbor.is_none_or(|neighbor| neighbor.seen < seen), out);
        for name in &self.nodes.lessees {
            let Some(neighbor) = self.replication.neighbors.get(name).filter(|n| n.seen < seen)
            else {
                continue;
            };
            let Some((incarnation, seq)) = neighbor.heartbeat else { continue };
            let peer = Peer { name: name.clone(), addr: neighbor.addr };
            out.push(Action::Send(peer, Message::Ack { incarnation, seq, seen }));
        }
    }

    /// Sends heartbeats to the lessors for which `wanted` returns true.
    pub(super) fn send_heartbeats(
        &mut self,
        wanted: impl Fn(Option<&Neighbor>) -> bool,
        out: &mut Vec<Action>,
    ) {
        let mut lessors = self.lease.lessors();
        lessors.retain(|name| wanted(self.replication.neighbors.get(name)));
        if lessors.is_empty() {
            return;
        }
        let seq = self.lease.record_heartbeat(self.now);
        for name in lessors {
            let Some((_, node)) = nodes::node(&self.replica, &name) else { continue };
            let peer = Peer { name, addr: node.addr };
            let message = Message::Heartbeat {
                incarnation: self.incarnation,
                seq,
                version: self.lease.heartbeat_version(&peer.name),
                seen: self.replica.seen(),
            };
            out.push(Action::Send(peer, message));
        }
    }
}
