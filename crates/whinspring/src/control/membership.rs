//! This node's own record: joining, choice of lessors, return after a loss, graceful stop.

use {
    super::{Action, Control, VmState, roster, writes::Purpose},
    crate::{
        lease::{HEARTBEAT, SOLO_RENEW},
        model::{Node, NodeState},
        name::Name,
        record::{Key, Kind, Value},
        time::Tick,
    },
    rand::Rng,
    std::{collections::BTreeMap, time::Duration},
};

/// Time that future lessors have to acknowledge.
const COURT: Duration = Duration::from_millis(300);

/// Time without a lease before desperate changes of lessors.
pub(super) const LEASELESS: Duration = Duration::from_millis(1_500);

/// Longest wait between such changes.
const STUCK_MAX: Duration = Duration::from_millis(30_000);

/// Time between two looks at the list of VMs.
const VMS_INTERVAL: Duration = Duration::from_millis(5_000);

/// The state of this node's own membership.
#[derive(Debug, Default)]
pub(super) struct Membership {
    /// Version of the first record of this process; zero before it has joined.
    pub joined: u64,
    /// Whether this incarnation has joined.
    pub present: bool,
    /// Whether another process took over this node's name.
    pub superseded: bool,
    /// Whether a graceful stop has begun.
    pub retiring: bool,
    /// Whether the graceful stop is complete.
    pub retired: bool,
    /// When the platform last listed the VMs.
    vms_at: Tick,
    /// VMs that the platform says are gone.
    pub vms_gone: Vec<Name>,
    /// VMs that the platform says are leaving.
    pub vms_leaving: Vec<Name>,
    /// Incarnation of each lessor when it was chosen, and when that was.
    pub chosen: BTreeMap<Name, (u64, Tick)>,
    /// Nodes that were silent as lessors, and when.
    pub shunned: BTreeMap<Name, Tick>,
    /// State and lessors in the write under way.
    proposed: Option<(NodeState, Vec<Name>)>,
    /// When a lost lessor is to be replaced that can be done without for now.
    pub replace_at: Option<Tick>,
    /// When future lessors were first asked.
    courted: Tick,
    /// When the last write of the own record without lessors was sent.
    renewed: Tick,
    /// Next round of heartbeats.
    next_beat: Tick,
    /// Next desperate write of the own record.
    pub next_change: Tick,
    /// Wait after it.
    stuck_wait: Duration,
    /// Next round of questions to possible lessors.
    pub next_probe: Tick,
    /// Next look at the leases that the lessors keep.
    pub next_even: Tick,
    /// Next look at the list of VMs.
    next_vms: Tick,
}

impl Control {
    /// Sends heartbeats and keeps this node's own record as it should be.
    pub(super) fn tend_membership(&mut self, out: &mut Vec<Action>) {
        self.tend_record(out);
        self.tend_beats(out);
        self.tend_probes(out);
        self.tend_vms(out);
    }

    /// Takes the platform's list of VMs.
    pub(super) fn vms(&mut self, vms: Vec<(Name, VmState)>) {
        self.own.vms_at = self.now;
        self.own.vms_gone.clear();
        self.own.vms_leaving.clear();
        for (name, state) in vms {
            match state {
                VmState::Live => {}
                VmState::Leaving => self.own.vms_leaving.push(name),
                VmState::Gone => self.own.vms_gone.push(name),
            }
        }
        self.dirty = true;
    }

    /// Ends a write of this node's own record.
    pub(super) fn own_stored(&mut self, version: Option<u64>, out: &mut Vec<Action>) {
        let proposed = self.own.proposed.take();
        let Some(version) = version else {
            self.lease.abandon();
            return;
        };
        self.lease.confirm(version);
        if !self.own.present {
            self.own.present = true;
            out.push(Action::Log(format!("joined as {} at version {version}", self.setup.name)));
        }
        if self.own.joined == 0 {
            self.own.joined = version;
        }
        if proposed.is_some_and(|(state, _)| state == NodeState::Gone) {
            self.lease.reset();
            self.own.retired = true;
        }
        self.own.next_beat = self.now;
    }

    /// Compares this node's record with what it should be, and writes it if they differ.
    fn tend_record(&mut self, out: &mut Vec<Action>) {
        let key = Key::new(Kind::Node, self.setup.name.clone());
        if !self.spread.ready
            || self.own.superseded
            || self.own.retired
            || !self.writes.free(&self.replica, &key)
        {
            return;
        }
        let own = roster::node(&self.replica, &self.setup.name).map(|(_, node)| node.clone());
        match own {
            Some(node) if node.incarnation == self.incarnation => self.tend_present(node, out),
            Some(_) if self.own.present => self.supersede(out),
            None if self.own.present => self.rejoin(out),
            _ if self.own.retiring => self.own.retired = true,
            _ => {
                let lessors = self.choose(&[], None);
                self.write_own(NodeState::Live, lessors, out);
            }
        }
    }

    /// Keeps up a record that shows this incarnation.
    fn tend_present(&mut self, node: Node, out: &mut Vec<Action>) {
        if node.state == NodeState::Gone {
            self.rejoin(out);
            return;
        }
        if self.own.retiring && self.empty() {
            self.write_own(NodeState::Gone, node.lessors, out);
            return;
        }
        let state = if self.own.retiring { NodeState::Leaving } else { NodeState::Live };
        if self.tend_courted(state, out) {
            return;
        }
        let lessors = self.wanted_lessors(&node);
        let renew = lessors.is_empty() && self.now.since(self.own.renewed) >= SOLO_RENEW;
        let renew = renew || self.is_stuck();
        if state != node.state || lessors != node.lessors || renew {
            self.settle(&node, state, lessors, out);
        }
    }

    /// Returns, at growing intervals, whether a node without a lease should write its record anew.
    ///
    /// Lessors that promised to acknowledge no more take up a later record.
    fn is_stuck(&mut self) -> bool {
        if self.lease_valid() {
            self.own.stuck_wait = LEASELESS;
            return false;
        }
        if self.now.since(self.leased) < LEASELESS || self.now < self.own.next_change {
            return false;
        }
        let wait = self.own.stuck_wait.max(LEASELESS);
        self.own.stuck_wait = (wait * 2).min(STUCK_MAX);
        self.own.next_change = self.now + self.jitter(wait);
        true
    }

    /// Writes the node record once its new lessors have acknowledged, so that the lease goes on.
    fn settle(&mut self, node: &Node, state: NodeState, lessors: Vec<Name>, out: &mut Vec<Action>) {
        let new = lessors.iter().any(|name| !node.lessors.contains(name));
        if !new || !self.lease_valid() {
            self.write_own(state, lessors, out);
            return;
        }
        self.lease.court(&lessors, self.replica.seen() + 1);
        self.own.courted = self.now;
        self.own.next_beat = self.now;
    }

    /// Goes on with lessors that were asked, and returns whether their answers are awaited.
    fn tend_courted(&mut self, state: NodeState, out: &mut Vec<Action>) -> bool {
        let courted = self.lease.courted().to_vec();
        if courted.is_empty() {
            return false;
        }
        if self.lease.accepted(self.now) {
            self.write_own(state, courted, out);
            return true;
        }
        if self.now.since(self.own.courted) < COURT {
            return true;
        }
        let since = self.own.courted;
        for name in courted {
            if self.lease.acked(&name).is_none_or(|acked| acked < since) {
                self.own.shunned.insert(name, self.now);
            }
        }
        self.lease.court(&[], 0);
        false
    }

    /// Starts over as a new incarnation after this one was declared lost.
    fn rejoin(&mut self, out: &mut Vec<Action>) {
        out.push(Action::Log(format!("{} was declared lost and joins again", self.setup.name)));
        out.push(Action::Count("rejoins"));
        self.lease.reset();
        self.incarnation = self.rng.random();
        self.own.present = false;
        self.reports = Default::default();
        if self.own.retiring {
            self.own.retired = true;
        }
    }

    /// Stops for good: a later process of this VM has taken the name.
    fn supersede(&mut self, out: &mut Vec<Action>) {
        out.push(Action::Log(format!("another process has taken over {}", self.setup.name)));
        self.lease.reset();
        self.own.superseded = true;
    }

    /// Writes this node's record.
    fn write_own(&mut self, state: NodeState, lessors: Vec<Name>, out: &mut Vec<Action>) {
        let key = Key::new(Kind::Node, self.setup.name.clone());
        let node = Node {
            name: self.setup.name.clone(),
            incarnation: self.incarnation,
            addr: self.setup.addr,
            domain: self.setup.domain.clone(),
            state,
            lessors: lessors.clone(),
        };
        for name in &lessors {
            let incarnation =
                roster::node(&self.replica, name).map_or(0, |(_, node)| node.incarnation);
            let former =
                self.own.chosen.get(name).copied().filter(|chosen| chosen.0 == incarnation);
            self.own.chosen.insert(name.clone(), former.unwrap_or((incarnation, self.now)));
        }
        self.own.chosen.retain(|name, _| lessors.contains(name));
        self.lease.propose(self.now, &lessors);
        self.own.renewed = self.now;
        self.own.next_beat = self.now;
        self.own.proposed = Some((state, lessors));
        let expect = self.replica.version(&key);
        let mark = self.rng.random();
        out.push(self.writes.put(Purpose::Own, key, expect, Some(Value::Node(node)), mark));
    }

    /// Sends heartbeats when it is time to.
    fn tend_beats(&mut self, out: &mut Vec<Action>) {
        if self.now < self.own.next_beat || self.lease.version() == 0 {
            return;
        }
        self.own.next_beat = self.now + HEARTBEAT;
        self.send_beats(|_| true, out);
    }

    /// Reads the list of VMs when that is this node's task.
    fn tend_vms(&mut self, out: &mut Vec<Action>) {
        if self.now.since(self.own.vms_at) > VMS_INTERVAL * 2 {
            self.own.vms_gone.clear();
            self.own.vms_leaving.clear();
        }
        let alone = self.lease.lessors().is_empty() && !self.roster.others.is_empty();
        let asks = self.term.is_some() || alone || self.now.since(self.leased) >= LEASELESS;
        if asks && self.now >= self.own.next_vms && self.own.present {
            self.own.next_vms = self.now + VMS_INTERVAL;
            out.push(Action::ListVms);
        }
    }
}
