//! This node's own record: joining, choice of lessors, return after a loss, graceful stop.

use {
    super::{Action, Control, VmState, nodes, writes::Purpose},
    crate::{
        lease::{HEARTBEAT, RECORD_RENEWAL},
        model::{Node, NodeState},
        name::Name,
        record::{Key, Kind, Value},
        time::Tick,
    },
    rand::Rng,
    std::{collections::BTreeMap, time::Duration},
};

/// Time that future lessors have to acknowledge.
const CANDIDATE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time without a lease before desperate changes of lessors.
pub(super) const LEASE_LOST_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest wait between such changes.
const FORCED_WAIT_MAX: Duration = Duration::from_millis(30_000);

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
    pub stopping: bool,
    /// Whether the graceful stop is complete.
    pub stopped: bool,
    /// When the platform last listed the VMs.
    vms_at: Tick,
    /// VMs that the platform says are gone.
    pub vms_gone: Vec<Name>,
    /// VMs that the platform says are leaving.
    pub vms_leaving: Vec<Name>,
    /// Incarnation of each lessor when it was chosen, and when that was.
    pub chosen: BTreeMap<Name, (u64, Tick)>,
    /// Nodes that were silent as lessors, and when.
    pub excluded: BTreeMap<Name, Tick>,
    /// State and lessors in the write under way.
    proposed: Option<(NodeState, Vec<Name>)>,
    /// When a lost lessor is to be replaced that can be done without for now.
    pub replace_at: Option<Tick>,
    /// When future lessors were first asked.
    candidates_since: Tick,
    /// When the last write of the own record without lessors was sent.
    renewed: Tick,
    /// Next round of heartbeats.
    next_heartbeat: Tick,
    /// Next desperate write of the own record.
    pub next_forced: Tick,
    /// Wait after it.
    forced_wait: Duration,
    /// Next round of questions to possible lessors.
    pub next_probe: Tick,
    /// Next look at the leases that the lessors keep.
    pub next_rebalance: Tick,
    /// Next look at the list of VMs.
    next_vms: Tick,
}

impl Control {
    /// Sends heartbeats and keeps this node's own record as it should be.
    pub(super) fn update_membership(&mut self, out: &mut Vec<Action>) {
        self.reconcile_record(out);
        self.send_due_heartbeats(out);
        self.probe_candidates(out);
        self.refresh_vms(out);
    }

    /// Takes the platform's list of VMs.
    pub(super) fn handle_vms(&mut self, vms: Vec<(Name, VmState)>) {
        self.membership.vms_at = self.now;
        self.membership.vms_gone.clear();
        self.membership.vms_leaving.clear();
        for (name, state) in vms {
            match state {
                VmState::Live => {}
                VmState::Leaving => self.membership.vms_leaving.push(name),
                VmState::Gone => self.membership.vms_gone.push(name),
            }
        }
        self.dirty = true;
    }

    /// Ends a write of this node's own record.
    pub(super) fn complete_own_write(&mut self, version: Option<u64>, out: &mut Vec<Action>) {
        let proposed = self.membership.proposed.take();
        let Some(version) = version else {
            self.lease.abort_write();
            return;
        };
        self.lease.complete_write(version);
        if !self.membership.present {
            self.membership.present = true;
            out.push(Action::Log(format!("joined as {} at version {version}", self.setup.name)));
        }
        if self.membership.joined == 0 {
            self.membership.joined = version;
        }
        if proposed.is_some_and(|(state, _)| state == NodeState::Gone) {
            self.lease.reset();
            self.membership.stopped = true;
        }
        self.membership.next_heartbeat = self.now;
    }

    /// Compares this node's record with what it should be, and writes it if they differ.
    fn reconcile_record(&mut self, out: &mut Vec<Action>) {
        let key = Key::new(Kind::Node, self.setup.name.clone());
        if !self.replication.ready
            || self.membership.superseded
            || self.membership.stopped
            || !self.writes.is_free(&self.replica, &key)
        {
            return;
        }
        let own = nodes::node(&self.replica, &self.setup.name).map(|(_, node)| node.clone());
        match own {
            Some(node) if node.incarnation == self.incarnation => self.reconcile_present(node, out),
            Some(_) if self.membership.present => self.stop_superseded(out),
            None if self.membership.present => self.rejoin(out),
            _ if self.membership.stopping => self.membership.stopped = true,
            _ => {
                let lessors = self.choose_lessors(&[], None);
                self.write_own(NodeState::Live, lessors, out);
            }
        }
    }

    /// Keeps up a record that shows this incarnation.
    fn reconcile_present(&mut self, node: Node, out: &mut Vec<Action>) {
        if node.state == NodeState::Gone {
            self.rejoin(out);
            return;
        }
        if self.membership.stopping && self.is_drained() {
            self.write_own(NodeState::Gone, node.lessors, out);
            return;
        }
        let state = if self.membership.stopping { NodeState::Leaving } else { NodeState::Live };
        if self.await_candidates(state, out) {
            return;
        }
        let lessors = self.desired_lessors(&node);
        let renew = lessors.is_empty() && self.now.since(self.membership.renewed) >= RECORD_RENEWAL;
        let renew = renew || self.check_forced_write();
        if state != node.state || lessors != node.lessors || renew {
            self.change_lessors(&node, state, lessors, out);
        }
    }

    /// Returns, at growing intervals, whether a node without a lease should write its record anew.
    ///
    /// Lessors that promised to acknowledge no more take up a later record.
    fn check_forced_write(&mut self) -> bool {
        if self.is_lease_valid() {
            self.membership.forced_wait = LEASE_LOST_TIMEOUT;
            return false;
        }
        if self.now.since(self.last_leased) < LEASE_LOST_TIMEOUT
            || self.now < self.membership.next_forced
        {
            return false;
        }
        let wait = self.membership.forced_wait.max(LEASE_LOST_TIMEOUT);
        self.membership.forced_wait = (wait * 2).min(FORCED_WAIT_MAX);
        self.membership.next_forced = self.now + self.jitter(wait);
        true
    }

    /// Writes the node record once its new lessors have acknowledged, so that the lease goes on.
    fn change_lessors(
        &mut self,
        node: &Node,
        state: NodeState,
        lessors: Vec<Name>,
        out: &mut Vec<Action>,
    ) {
        let new = lessors.iter().any(|name| !node.lessors.contains(name));
        if !new || !self.is_lease_valid() {
            self.write_own(state, lessors, out);
            return;
        }
        self.lease.set_candidates(&lessors, self.replica.seen() + 1);
        self.membership.candidates_since = self.now;
        self.membership.next_heartbeat = self.now;
    }

    /// Goes on with lessors that were asked, and returns whether their answers are awaited.
    fn await_candidates(&mut self, state: NodeState, out: &mut Vec<Action>) -> bool {
        let candidates = self.lease.candidates().to_vec();
        if candidates.is_empty() {
            return false;
        }
        if self.lease.candidates_accepted(self.now) {
            self.write_own(state, candidates, out);
            return true;
        }
        if self.now.since(self.membership.candidates_since) < CANDIDATE_TIMEOUT {
            return true;
        }
        let since = self.membership.candidates_since;
        for name in candidates {
            if self.lease.last_ack(&name).is_none_or(|acked| acked < since) {
                self.membership.excluded.insert(name, self.now);
            }
        }
        self.lease.set_candidates(&[], 0);
        false
    }

    /// Starts over as a new incarnation after this one was declared lost.
    fn rejoin(&mut self, out: &mut Vec<Action>) {
        out.push(Action::Log(format!("{} was declared lost and joins again", self.setup.name)));
        out.push(Action::Count("rejoins"));
        self.lease.reset();
        self.incarnation = self.rng.random();
        self.membership.present = false;
        self.reports = Default::default();
        if self.membership.stopping {
            self.membership.stopped = true;
        }
    }

    /// Stops for good: a later process of this VM has taken the name.
    fn stop_superseded(&mut self, out: &mut Vec<Action>) {
        out.push(Action::Log(format!("another process has taken over {}", self.setup.name)));
        self.lease.reset();
        self.membership.superseded = true;
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
                nodes::node(&self.replica, name).map_or(0, |(_, node)| node.incarnation);
            let former =
                self.membership.chosen.get(name).copied().filter(|chosen| chosen.0 == incarnation);
            self.membership.chosen.insert(name.clone(), former.unwrap_or((incarnation, self.now)));
        }
        self.membership.chosen.retain(|name, _| lessors.contains(name));
        self.lease.begin_write(self.now, &lessors);
        self.membership.renewed = self.now;
        self.membership.next_heartbeat = self.now;
        self.membership.proposed = Some((state, lessors));
        let expect = self.replica.version(&key);
        let mark = self.rng.random();
        out.push(self.writes.put(Purpose::Own, key, expect, Some(Value::Node(node)), mark));
    }

    /// Sends heartbeats when it is time to.
    fn send_due_heartbeats(&mut self, out: &mut Vec<Action>) {
        if self.now < self.membership.next_heartbeat || self.lease.version() == 0 {
            return;
        }
        self.membership.next_heartbeat = self.now + HEARTBEAT;
        self.send_heartbeats(|_| true, out);
    }

    /// Reads the list of VMs when that is this node's task.
    fn refresh_vms(&mut self, out: &mut Vec<Action>) {
        if self.now.since(self.membership.vms_at) > VMS_INTERVAL * 2 {
            self.membership.vms_gone.clear();
            self.membership.vms_leaving.clear();
        }
        let alone = self.lease.lessors().is_empty() && !self.nodes.others.is_empty();
        let asks =
            self.term.is_some() || alone || self.now.since(self.last_leased) >= LEASE_LOST_TIMEOUT;
        if asks && self.now >= self.membership.next_vms && self.membership.present {
            self.membership.next_vms = self.now + VMS_INTERVAL;
            out.push(Action::ListVms);
        }
    }
}
