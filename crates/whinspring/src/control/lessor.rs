//! Lessor role of a node: acknowledges heartbeats, and declares nodes lost whose leases lapsed.

use {
    super::{Action, Control, Peer, nodes, writes::Purpose},
    crate::{
        lease::{DRIFT, LEASE, RECORD_LEASE, lapse_quorum},
        message::Message,
        model::{Node, NodeState},
        name::Name,
        record::{Key, Kind, Value},
        time::Tick,
    },
    rand::Rng,
    std::{collections::BTreeSet, time::Duration},
};

/// Interval between queries to the other lessors of a node.
const QUERY_INTERVAL: Duration = Duration::from_millis(100);

/// Delay of each lessor after the one listed before it in declaring a loss.
const STAGGER: Duration = Duration::from_millis(30);

/// Time within which a node must send its first heartbeat.
const FIRST_HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Longest delay of the platform's list of VMs.
const VM_LAG: Duration = Duration::from_millis(30_000);

/// Time without a message from a node after which the platform's report that its VM is gone counts.
const GONE_VM_SILENCE: Duration = Duration::from_millis(1_000);

/// The vote of the lessors of one node on whether its lease has lapsed.
#[derive(Debug)]
pub(super) struct LossVote {
    /// Version of the node record whose lessors vote.
    version: u64,
    since: Tick,
    /// When the other lessors were last queried.
    queried: Option<Tick>,
    /// Lessors that promised to send no more acknowledgements.
    lapsed: BTreeSet<Name>,
}

impl Control {
    /// Acknowledges a heartbeat if its sender may keep its lease.
    pub(super) fn handle_heartbeat(
        &mut self,
        peer: Peer,
        incarnation: u64,
        seq: u64,
        version: u64,
        out: &mut Vec<Action>,
    ) {
        if !self.membership.present || self.is_replaced(&peer.name, incarnation, version) {
            return;
        }
        if !self.lease_table.accept_heartbeat(
            self.now,
            &peer.name,
            incarnation,
            version,
            self.membership.joined,
        ) {
            return;
        }
        self.votes.remove(&peer.name);
        if let Some(neighbor) = self.replication.neighbors.get_mut(&peer.name) {
            neighbor.heartbeat = Some((incarnation, seq));
        }
        out.push(Action::Send(peer, Message::Ack { incarnation, seq, seen: self.replica.seen() }));
    }

    /// Answers another lessor's query if the lease of the node has lapsed here too.
    pub(super) fn handle_lapse_query(
        &mut self,
        peer: Peer,
        node: Name,
        incarnation: u64,
        version: u64,
        out: &mut Vec<Action>,
    ) {
        if self.membership.present
            && self.lease_table.promise(self.now, &node, incarnation, version)
        {
            out.push(Action::Send(peer, Message::Lapsed { node, incarnation, version }));
        }
    }

    /// Records another lessor's promise.
    pub(super) fn handle_lapse_reply(
        &mut self,
        peer: &Peer,
        node: &Name,
        incarnation: u64,
        version: u64,
    ) {
        let known =
            nodes::node(&self.replica, node).map(|(version, node)| (version, node.incarnation));
        let Some(vote) = self.votes.get_mut(node) else { return };
        if known == Some((version, incarnation)) && vote.version == version {
            vote.lapsed.insert(peer.name.clone());
        }
    }

    /// Finds nodes whose leases have lapsed and declares them lost.
    pub(super) fn detect_failures(&mut self, out: &mut Vec<Action>) {
        if !self.can_declare() {
            self.votes.clear();
            return;
        }
        self.expire_record_leases(out);
        self.declare_gone_vms(out);
        let lessees = self.nodes.lessees.clone();
        let silent: Vec<Name> = lessees.into_iter().filter(|name| self.is_silent(name)).collect();
        self.votes.retain(|name, _| silent.contains(name));
        if !silent.is_empty() && self.is_isolated() {
            self.votes.clear();
            return;
        }
        for name in silent {
            self.confirm_loss(name, out);
        }
    }

    /// Declares a node lost unless its record has changed since `version`.
    pub(super) fn declare_lost(&mut self, name: &Name, version: u64, out: &mut Vec<Action>) {
        let key = Key::new(Kind::Node, name.clone());
        let Some((known, node)) = nodes::node(&self.replica, name) else { return };
        if known != version
            || node.state == NodeState::Gone
            || !self.writes.is_free(&self.replica, &key)
        {
            return;
        }
        let value = Value::Node(Node { state: NodeState::Gone, ..node.clone() });
        let mark = self.rng.random();
        out.push(Action::Log(format!("declaring node {name} lost")));
        out.push(self.writes.put(Purpose::Loss, key, version, Some(value), mark));
    }

    /// Returns whether this node may declare others lost: its lease is valid, the platform is up,
    /// and heartbeats held up by a pause of this process have had time to arrive.
    fn can_declare(&self) -> bool {
        self.is_lease_valid()
            && !self.is_platform_down()
            && self.now.since(self.resumed) > LEASE + DRIFT
    }

    /// Returns whether the records show the sender of a heartbeat as lost or replaced.
    fn is_replaced(&self, name: &Name, incarnation: u64, version: u64) -> bool {
        let Some((known, node)) = nodes::node(&self.replica, name) else {
            return version <= self.replica.seen();
        };
        match node.incarnation == incarnation {
            true => node.state == NodeState::Gone,
            false => known > version,
        }
    }

    /// Returns whether a lessee has been silent for so long that its lease may have lapsed.
    fn is_silent(&self, name: &Name) -> bool {
        let Some((_, node)) = nodes::node(&self.replica, name) else { return false };
        if !node.lessors.contains(&self.setup.name) {
            return false;
        }
        let known = self.nodes.first_seen(name, node.incarnation).unwrap_or(self.now);
        let acked = self.lease_table.last_ack(name, node.incarnation).is_some();
        let due = acked || self.now.since(known) > FIRST_HEARTBEAT_TIMEOUT;
        due && self.lease_table.silence(self.now, name, node.incarnation) > LEASE + DRIFT
    }

    /// Returns whether most lessees and lessors are silent, so that this node itself is likely to
    /// be partitioned.
    fn is_isolated(&self) -> bool {
        let mut names: BTreeSet<Name> = self.nodes.lessees.iter().cloned().collect();
        names.extend(self.lease.lessors());
        let silent = names.iter().filter(|name| !self.heard_within(name, LEASE + DRIFT)).count();
        names.len() > 1 && silent * 2 > names.len()
    }

    /// Queries the other lessors of a silent node, and declares it lost once a lapse quorum is
    /// reached.
    fn confirm_loss(&mut self, name: Name, out: &mut Vec<Action>) {
        let Some((version, node)) = nodes::node(&self.replica, &name) else { return };
        let node = node.clone();
        if !self.lease_table.promise(self.now, &name, node.incarnation, version) {
            return;
        }
        let me = self.setup.name.clone();
        let fresh =
            || LossVote { version, since: self.now, queried: None, lapsed: BTreeSet::new() };
        let vote = self.votes.entry(name.clone()).or_insert_with(fresh);
        if vote.version != version {
            *vote = LossVote { version, since: self.now, queried: None, lapsed: BTreeSet::new() };
        }
        vote.lapsed.insert(me.clone());
        let enough = vote.lapsed.len() >= lapse_quorum(node.lessors.len());
        let since = vote.since;
        if !enough && vote.queried.is_none_or(|asked| self.now.since(asked) >= QUERY_INTERVAL) {
            vote.queried = Some(self.now);
            self.query_lessors(&node, version, out);
        }
        let index = node.lessors.iter().position(|lessor| *lessor == me).unwrap_or_default();
        if enough && self.now.since(since) >= STAGGER * index as u32 {
            self.declare_lost(&name, version, out);
        }
    }

    /// Asks the other lessors of a node whether its lease has lapsed there too.
    fn query_lessors(&self, node: &Node, version: u64, out: &mut Vec<Action>) {
        for lessor in node.lessors.iter().filter(|lessor| **lessor != self.setup.name) {
            let Some((_, other)) = nodes::node(&self.replica, lessor) else { continue };
            let peer = Peer { name: lessor.clone(), addr: other.addr };
            let (node, incarnation) = (node.name.clone(), node.incarnation);
            out.push(Action::Send(peer, Message::AskLapse { node, incarnation, version }));
        }
    }

    /// Declares nodes without lessors lost whose records were not renewed in time.
    fn expire_record_leases(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let lapsed = |renewal: &(u64, Tick)| now.since(renewal.1) > RECORD_LEASE + DRIFT;
        let expired = self.nodes.without_lessors.iter().filter(|(_, renewal)| lapsed(renewal));
        let expired: Vec<(Name, u64)> =
            expired.map(|(name, renewal)| (name.clone(), renewal.0)).collect();
        for (name, version) in expired {
            self.declare_lost(&name, version, out);
        }
    }

    /// Declares nodes lost whose VMs the platform reports as gone and that no lessor declared lost.
    ///
    /// The platform's list may be outdated and a VM may return under the same name, so only
    /// incarnations count that have been known for longer than [`VM_LAG`].
    fn declare_gone_vms(&mut self, out: &mut Vec<Action>) {
        for name in self.membership.vms_gone.clone() {
            let Some((version, node)) = nodes::node(&self.replica, &name) else { continue };
            let since = self.nodes.first_seen(&name, node.incarnation).unwrap_or(self.now);
            let past_lag = self.now.since(since) >= VM_LAG;
            if past_lag && name != self.setup.name && !self.heard_within(&name, GONE_VM_SILENCE) {
                self.declare_lost(&name, version, out);
            }
        }
    }
}
