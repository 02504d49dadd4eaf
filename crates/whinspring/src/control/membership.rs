//! Membership of this node: joining, change of lessors, rejoining after a loss, graceful stop.

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

/// Time within which candidate lessors must acknowledge.
const CANDIDATE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time without a lease after which the node rewrites its record to regain one.
pub(super) const LEASE_LOST_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest interval between such rewrites.
const FORCED_WAIT_MAX: Duration = Duration::from_millis(30_000);

/// Interval of reading the list of VMs.
const VMS_INTERVAL: Duration = Duration::from_millis(5_000);

/// Membership state of this node.
#[derive(Debug, Default)]
pub(super) struct Membership {
    /// Version of the first record of this process; zero before it has joined.
    pub joined: u64,
    /// Whether this incarnation has joined.
    pub present: bool,
    /// Whether another process took over the name of this node.
    pub superseded: bool,
    /// Whether a graceful stop has begun.
    pub stopping: bool,
    /// Whether the graceful stop is complete.
    pub stopped: bool,
    /// When the platform last listed the VMs.
    vms_listed: Tick,
    /// VMs that the platform lists as gone.
    pub vms_gone: Vec<Name>,
    /// VMs that the platform lists as leaving.
    pub vms_leaving: Vec<Name>,
    /// Incarnation of each lessor when it was selected, and the time of its selection.
    pub selected: BTreeMap<Name, (u64, Tick)>,
    /// Nodes excluded from selection as lessors, with the start of the exclusion.
    pub excluded: BTreeMap<Name, Tick>,
    /// State and lessors in the write in progress.
    proposed: Option<(NodeState, Vec<Name>)>,
    /// When to replace an unhealthy lessor while the others form a quorum.
    pub replace_at: Option<Tick>,
    /// When candidate lessors were first sent heartbeats.
    candidates_since: Tick,
    /// When the last write of this node's record was sent.
    renewed: Tick,
    next_heartbeat: Tick,
    /// Next forced write of the node record while there is no lease.
    pub next_forced: Tick,
    /// Interval to the forced write after that.
    forced_wait: Duration,
    pub next_probe: Tick,
    /// Next check of the lessors' lease counts.
    pub next_rebalance: Tick,
    next_vms: Tick,
}

impl Control {
    /// Reconciles this node's record, sends due heartbeats and probes, and reads the list of VMs.
    pub(super) fn update_membership(&mut self, out: &mut Vec<Action>) {
        self.reconcile_record(out);
        self.send_due_heartbeats(out);
        self.probe_candidates(out);
        self.refresh_vms(out);
    }

    /// Handles the platform's list of VMs.
    pub(super) fn handle_vms(&mut self, vms: Vec<(Name, VmState)>) {
        self.membership.vms_listed = self.now;
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

    /// Completes a write of this node's record; `version` is `None` if it did not take effect.
    pub(super) fn complete_own_write(&mut self, version: Option<u64>, out: &mut Vec<Action>) {
        let proposed = self.membership.proposed.take();
        let Some(version) = version else {
            self.lease.abort_write();
            return;
        };
        self.lease.complete_write(version);
        if !self.membership.present {
            self.membership.present = true;
            out.push(Action::Log(format!(
                "joined as node {} at record version {version}",
                self.setup.name
            )));
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

    /// Writes this node's record if it differs from the desired state.
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

    /// Reconciles a record that names this incarnation.
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

    /// Returns, at growing intervals, whether a node without a lease must rewrite its record.
    ///
    /// Lessors that promised to send no more acknowledgements accept heartbeats for a later
    /// version.
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

    /// Changes state and lessors; with a valid lease, new lessors must acknowledge before the
    /// record names them, so that the lease does not lapse.
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

    /// Writes the record once enough candidates acknowledged.
    ///
    /// Returns `false` if there are no candidates or they timed out.
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

    /// Rejoins as a new incarnation after this one was declared lost.
    fn rejoin(&mut self, out: &mut Vec<Action>) {
        out.push(Action::Log(format!(
            "node {} was declared lost; rejoining as a new incarnation",
            self.setup.name
        )));
        out.push(Action::Count("rejoins"));
        self.lease.reset();
        self.incarnation = self.rng.random();
        self.membership.present = false;
        self.reports = Default::default();
        if self.membership.stopping {
            self.membership.stopped = true;
        }
    }

    /// Stops permanently because a later process of this VM has taken over the name.
    fn stop_superseded(&mut self, out: &mut Vec<Action>) {
        out.push(Action::Log(format!(
            "another process has taken over the name {}; stopping",
            self.setup.name
        )));
        self.lease.reset();
        self.membership.superseded = true;
    }

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
            let former = self
                .membership
                .selected
                .get(name)
                .copied()
                .filter(|chosen| chosen.0 == incarnation);
            self.membership
                .selected
                .insert(name.clone(), former.unwrap_or((incarnation, self.now)));
        }
        self.membership.selected.retain(|name, _| lessors.contains(name));
        self.lease.begin_write(self.now, &lessors);
        self.membership.renewed = self.now;
        self.membership.next_heartbeat = self.now;
        self.membership.proposed = Some((state, lessors));
        let expect = self.replica.version(&key);
        let mark = self.rng.random();
        out.push(self.writes.put(Purpose::Own, key, expect, Some(Value::Node(node)), mark));
    }

    fn send_due_heartbeats(&mut self, out: &mut Vec<Action>) {
        if self.now < self.membership.next_heartbeat || self.lease.version() == 0 {
            return;
        }
        self.membership.next_heartbeat = self.now + HEARTBEAT;
        self.send_heartbeats(|_| true, out);
    }

    /// Requests the list of VMs if this node needs it and the interval has passed, and drops an
    /// outdated list.
    fn refresh_vms(&mut self, out: &mut Vec<Action>) {
        if self.now.since(self.membership.vms_listed) > VMS_INTERVAL * 2 {
            self.membership.vms_gone.clear();
            self.membership.vms_leaving.clear();
        }
        let alone = self.lease.lessors().is_empty() && !self.nodes.others.is_empty();
        let should_list = self.leadership.is_some()
            || alone
            || self.now.since(self.last_leased) >= LEASE_LOST_TIMEOUT;
        if should_list && self.now >= self.membership.next_vms && self.membership.present {
            self.membership.next_vms = self.now + VMS_INTERVAL;
            out.push(Action::ListVms);
        }
    }
}
