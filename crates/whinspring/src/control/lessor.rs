//! The lessor's part: acknowledging heartbeats, and declaring nodes lost once their leases lapsed.

use {
    super::{Action, Control, Peer, roster, writes::Purpose},
    crate::{
        lease::{DRIFT, LEASE, SOLO_LEASE, lapse_quorum},
        message::Message,
        model::{Node, NodeState},
        name::Name,
        record::{Key, Kind, Value},
        time::Tick,
    },
    rand::Rng,
    std::{collections::BTreeSet, time::Duration},
};

/// Time after which a fellow lessor is asked again.
const ASK_REPEAT: Duration = Duration::from_millis(100);

/// Head start of each lessor over the next in declaring a loss.
const STAGGER: Duration = Duration::from_millis(30);

/// Time that a node has for its first heartbeat.
const FIRST_BEAT: Duration = Duration::from_millis(2_000);

/// Longest time by which the platform's list of VMs lags.
const VM_LAG: Duration = Duration::from_millis(30_000);

/// Time without a message after which the platform's word that a VM is gone is believed.
const SILENCE: Duration = Duration::from_millis(1_000);

/// The inquiry into one node that seems lost.
#[derive(Debug)]
pub(super) struct Inquiry {
    /// Version of the node record whose lessors are asked.
    version: u64,
    /// When it began.
    since: Tick,
    /// When fellow lessors were last asked.
    asked: Option<Tick>,
    /// Lessors that promised to acknowledge no more.
    lapsed: BTreeSet<Name>,
}

impl Control {
    /// Answers a heartbeat.
    pub(super) fn heartbeat(
        &mut self,
        peer: Peer,
        incarnation: u64,
        seq: u64,
        version: u64,
        out: &mut Vec<Action>,
    ) {
        if !self.own.present || self.replaced(&peer.name, incarnation, version) {
            return;
        }
        if !self.ledger.heartbeat(self.now, &peer.name, incarnation, version, self.own.joined) {
            return;
        }
        self.inquiries.remove(&peer.name);
        if let Some(neighbor) = self.spread.neighbors.get_mut(&peer.name) {
            neighbor.beat = Some((incarnation, seq));
        }
        out.push(Action::Send(peer, Message::Ack { incarnation, seq, seen: self.replica.seen() }));
    }

    /// Answers a fellow lessor's question about a node.
    pub(super) fn ask_lapse(
        &mut self,
        peer: Peer,
        node: Name,
        incarnation: u64,
        version: u64,
        out: &mut Vec<Action>,
    ) {
        if self.own.present && self.ledger.promise(self.now, &node, incarnation, version) {
            out.push(Action::Send(peer, Message::Lapsed { node, incarnation, version }));
        }
    }

    /// Notes a fellow lessor's promise.
    pub(super) fn lapsed(&mut self, peer: &Peer, node: &Name, incarnation: u64, version: u64) {
        let known =
            roster::node(&self.replica, node).map(|(version, node)| (version, node.incarnation));
        let Some(inquiry) = self.inquiries.get_mut(node) else { return };
        if known == Some((version, incarnation)) && inquiry.version == version {
            inquiry.lapsed.insert(peer.name.clone());
        }
    }

    /// Looks for nodes whose leases lapsed, and declares them lost.
    pub(super) fn tend_lapses(&mut self, out: &mut Vec<Action>) {
        if !self.may_declare() {
            self.inquiries.clear();
            return;
        }
        self.tend_solos(out);
        self.bury(out);
        let lessees = self.roster.lessees.clone();
        let silent: Vec<Name> = lessees.into_iter().filter(|name| self.silent(name)).collect();
        self.inquiries.retain(|name, _| silent.contains(name));
        if !silent.is_empty() && self.cut_off() {
            self.inquiries.clear();
            return;
        }
        for name in silent {
            self.inquire(name, out);
        }
    }

    /// Declares a node lost unless its record has changed.
    pub(super) fn declare(&mut self, name: &Name, version: u64, out: &mut Vec<Action>) {
        let key = Key::new(Kind::Node, name.clone());
        let Some((known, node)) = roster::node(&self.replica, name) else { return };
        if known != version
            || node.state == NodeState::Gone
            || !self.writes.free(&self.replica, &key)
        {
            return;
        }
        let value = Value::Node(Node { state: NodeState::Gone, ..node.clone() });
        let mark = self.rng.random();
        out.push(Action::Log(format!("declaring {name} lost")));
        out.push(self.writes.put(Purpose::Loss, key, version, Some(value), mark));
    }

    /// Returns whether this node is in a state to judge others.
    fn may_declare(&self) -> bool {
        self.lease_valid() && !self.platform_down() && self.now.since(self.awake) > LEASE + DRIFT
    }

    /// Returns whether the records show a heartbeat's sender as lost or replaced.
    fn replaced(&self, name: &Name, incarnation: u64, version: u64) -> bool {
        let Some((known, node)) = roster::node(&self.replica, name) else {
            return version <= self.replica.seen();
        };
        match node.incarnation == incarnation {
            true => node.state == NodeState::Gone,
            false => known > version,
        }
    }

    /// Returns whether a lessee has been silent for so long that its lease may have lapsed.
    fn silent(&self, name: &Name) -> bool {
        let Some((_, node)) = roster::node(&self.replica, name) else { return false };
        if !node.lessors.contains(&self.setup.name) {
            return false;
        }
        let known = self.roster.since(name, node.incarnation).unwrap_or(self.now);
        let acked = self.ledger.acked(name, node.incarnation).is_some();
        let grace = acked || self.now.since(known) > FIRST_BEAT;
        grace && self.ledger.silence(self.now, name, node.incarnation) > LEASE + DRIFT
    }

    /// Returns whether so many nodes are silent that this node itself must be cut off.
    fn cut_off(&self) -> bool {
        let mut names: BTreeSet<Name> = self.roster.lessees.iter().cloned().collect();
        names.extend(self.lease.lessors());
        let silent = names.iter().filter(|name| !self.heard(name, LEASE + DRIFT)).count();
        names.len() > 1 && silent * 2 > names.len()
    }

    /// Asks the fellow lessors of a silent node, and declares it lost once enough have lapsed.
    fn inquire(&mut self, name: Name, out: &mut Vec<Action>) {
        let Some((version, node)) = roster::node(&self.replica, &name) else { return };
        let node = node.clone();
        if !self.ledger.promise(self.now, &name, node.incarnation, version) {
            return;
        }
        let me = self.setup.name.clone();
        let fresh = || Inquiry { version, since: self.now, asked: None, lapsed: BTreeSet::new() };
        let inquiry = self.inquiries.entry(name.clone()).or_insert_with(fresh);
        if inquiry.version != version {
            *inquiry = Inquiry { version, since: self.now, asked: None, lapsed: BTreeSet::new() };
        }
        inquiry.lapsed.insert(me.clone());
        let enough = inquiry.lapsed.len() >= lapse_quorum(node.lessors.len());
        let since = inquiry.since;
        if !enough && inquiry.asked.is_none_or(|asked| self.now.since(asked) >= ASK_REPEAT) {
            inquiry.asked = Some(self.now);
            self.ask_fellows(&node, version, out);
        }
        let place = node.lessors.iter().position(|lessor| *lessor == me).unwrap_or_default();
        if enough && self.now.since(since) >= STAGGER * place as u32 {
            self.declare(&name, version, out);
        }
    }

    /// Asks the fellow lessors of a node whether they have lapsed too.
    fn ask_fellows(&self, node: &Node, version: u64, out: &mut Vec<Action>) {
        for lessor in node.lessors.iter().filter(|lessor| **lessor != self.setup.name) {
            let Some((_, fellow)) = roster::node(&self.replica, lessor) else { continue };
            let peer = Peer { name: lessor.clone(), addr: fellow.addr };
            let (node, incarnation) = (node.name.clone(), node.incarnation);
            out.push(Action::Send(peer, Message::AskLapse { node, incarnation, version }));
        }
    }

    /// Declares nodes without lessors lost whose records have not been renewed.
    fn tend_solos(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let lapsed = |solo: &(u64, Tick)| now.since(solo.1) > SOLO_LEASE + DRIFT;
        let solos = self.roster.solos.iter().filter(|(_, solo)| lapsed(solo));
        let solos: Vec<(Name, u64)> = solos.map(|(name, solo)| (name.clone(), solo.0)).collect();
        for (name, version) in solos {
            self.declare(&name, version, out);
        }
    }

    /// Declares nodes lost whose VMs the platform says are gone, where their lessors have not.
    ///
    /// The platform's list lags, and a VM may return under its name. So only incarnations count
    /// that have been known for longer than the list lags.
    fn bury(&mut self, out: &mut Vec<Action>) {
        for name in self.own.vms_gone.clone() {
            let Some((version, node)) = roster::node(&self.replica, &name) else { continue };
            let since = self.roster.since(&name, node.incarnation).unwrap_or(self.now);
            let old = self.now.since(since) >= VM_LAG;
            if old && name != self.setup.name && !self.heard(&name, SILENCE) {
                self.declare(&name, version, out);
            }
        }
    }
}
