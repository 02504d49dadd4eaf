//! Control state machine of a node: record replication, leases, membership and, on the node that
//! has the controller's term, planning.
//!
//! There is one [`Control`] per node. The daemon passes in the time, messages from other nodes and
//! replies of the platform, and executes the returned actions.

use {
    crate::{
        lease::{Lease, LeaseTable},
        message::Message,
        model::{Controller, Holder, NodeState},
        name::Name,
        placement::Policy,
        record::{Kind, Value},
        replica::Replica,
        time::{Tick, Wall},
    },
    controller::Leadership,
    election::Vacancy,
    lessor::LossVote,
    membership::Membership,
    nodes::NodeIndex,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    replication::Replication,
    reports::Reports,
    std::{collections::BTreeMap, time::Duration},
    writes::{Purpose, Writes},
};

mod controller;
mod election;
mod event;
mod lessor;
mod membership;
pub(crate) mod nodes;
mod replication;
mod reports;
mod selection;
mod writes;

pub use event::{Action, Event, Peer, Setup, TICK_MS, VmState, WriteOutcome};

/// Gap between two events from which the process is taken to have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(200);

/// The control state machine of one node.
#[derive(Debug)]
pub struct Control {
    setup: Setup,
    /// Drawn anew when the node was declared lost.
    incarnation: u64,
    rng: ChaCha8Rng,
    /// Time of the event being handled.
    now: Tick,
    /// Wall-clock time of the event being handled.
    wall: Wall,
    /// When the process last resumed after a pause.
    resumed: Tick,
    /// Latest time at which the lease was known to be valid.
    last_leased: Tick,
    replica: Replica,
    /// Index over the node records.
    nodes: NodeIndex,
    /// Lease of this node.
    lease: Lease,
    /// Leases granted to other nodes.
    lease_table: LeaseTable,
    /// Votes in progress on nodes whose leases may have lapsed.
    votes: BTreeMap<Name, LossVote>,
    /// Conditional writes in progress.
    writes: Writes,
    /// Reports of this node's holders to the controller.
    reports: Reports,
    /// State of reading records from the platform and exchanging them with other nodes.
    replication: Replication,
    membership: Membership,
    /// The controller's term while no node has it.
    vacancy: Option<Vacancy>,
    /// Controller state; `Some` while this node acts as the controller.
    leadership: Option<Leadership>,
    /// Load balancing policy.
    policy: Policy,
    /// Whether records or reports changed since the controller last planned.
    dirty: bool,
}

/// Status of a node as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    pub incarnation: u64,
    /// Whether the lease of this node is valid.
    pub leased: bool,
    /// Store revision up to which the node knows every record.
    pub seen: u64,
    /// Whether a recent call to the platform failed and none has succeeded since.
    pub down: bool,
    /// The controller according to the replica.
    pub controller: Option<Controller>,
    /// Nodes that grant its lease.
    pub lessors: Vec<Name>,
    /// Number of nodes to which it grants leases.
    pub lessees: usize,
    /// Whether it watches the platform on behalf of its failure domain.
    pub watcher: bool,
}

impl Control {
    /// Creates the state machine of a process that starts at `now`.
    pub fn new(now: Tick, setup: Setup) -> Self {
        Self {
            incarnation: setup.incarnation,
            rng: ChaCha8Rng::seed_from_u64(setup.seed),
            now,
            wall: Wall::default(),
            resumed: now,
            last_leased: now,
            replica: Replica::default(),
            nodes: NodeIndex::default(),
            lease: Lease::default(),
            lease_table: LeaseTable::new(now),
            votes: BTreeMap::new(),
            writes: Writes::default(),
            reports: Reports::default(),
            replication: Replication::default(),
            membership: Membership::default(),
            vacancy: None,
            leadership: None,
            policy: Policy::default(),
            dirty: false,
            setup,
        }
    }

    /// Sets the load balancing policy.
    #[must_use]
    pub fn with_policy(self, policy: Policy) -> Self {
        Self { policy, ..self }
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Tick, wall: Wall, event: Event, out: &mut Vec<Action>) {
        self.wall = wall;
        self.set_time(now);
        match event {
            Event::Tick => {}
            Event::Received(peer, message) => self.handle_message(peer, message, out),
            Event::Report(message) => self.add_report(message, out),
            Event::WriteCompleted { op, outcome } => self.handle_write_outcome(op, outcome, out),
            Event::Read { full, revision, records } => {
                self.handle_read(full, revision, records, out)
            }
            Event::ReadFailed { gone } => self.handle_read_error(gone),
            Event::Vms(vms) => self.handle_vms(vms),
            Event::Stop => self.membership.stopping = true,
        }
        self.advance(out);
    }

    /// Returns when this node must stop acting for the servers it holds; zero without a lease.
    pub fn lease_expiry(&self) -> Tick {
        match self.membership.present && !self.membership.superseded {
            true => self.lease.expiry(),
            false => Tick::default(),
        }
    }

    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the current incarnation, which holder records of this node must name.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns whether this node has the controller's term and a valid lease.
    pub fn is_controller(&self) -> bool {
        self.is_named_controller() && self.is_lease_valid() && !self.membership.stopping
    }

    /// Returns whether a graceful stop is complete or another process has taken over the name.
    pub fn is_stopped(&self) -> bool {
        self.membership.stopped || self.membership.superseded
    }

    pub fn status(&self) -> Status {
        Status {
            incarnation: self.incarnation,
            leased: self.is_lease_valid(),
            seen: self.replica.seen(),
            down: self.is_platform_down(),
            controller: self.controller().map(|(_, controller)| controller.clone()),
            lessors: self.lease.lessors(),
            lessees: self.nodes.lessees.len(),
            watcher: self.nodes.is_watcher(&self.setup.name),
        }
    }

    /// Sets the current time and detects a pause since the last event.
    fn set_time(&mut self, now: Tick) {
        if now.since(self.now) > PAUSE_THRESHOLD {
            self.resumed = now;
        }
        self.now = now;
        self.last_leased = self.last_leased.max(self.lease_expiry().min(now));
    }

    /// Runs every periodic or state-driven task that is due.
    fn advance(&mut self, out: &mut Vec<Action>) {
        let named = self.is_named_controller() && self.is_lease_valid();
        self.writes.resend_due(self.now, |purpose| purpose != Purpose::Plan || named, out);
        self.update_membership(out);
        self.detect_failures(out);
        self.update_term(out);
        self.run_controller(out);
        self.send_reports(out);
        self.sync_records(out);
    }

    /// Handles a message of another node.
    fn handle_message(&mut self, peer: Peer, message: Message, out: &mut Vec<Action>) {
        match message {
            Message::Heartbeat { incarnation, seq, version, seen } => {
                self.record_seen(&peer, seen);
                self.handle_heartbeat(peer, incarnation, seq, version, out);
            }
            Message::Ack { incarnation, seq, seen } => {
                self.record_seen(&peer, seen);
                if incarnation == self.incarnation {
                    self.lease.record_ack(&peer.name, seq);
                }
            }
            Message::AskLapse { node, incarnation, version } => {
                self.handle_lapse_query(peer, node, incarnation, version, out);
            }
            Message::Lapsed { node, incarnation, version } => {
                self.handle_lapse_reply(&peer, &node, incarnation, version);
            }
            Message::Pull { seen } => self.handle_pull(peer, seen, out),
            Message::Records { after, seen, records } => {
                self.handle_records(&peer, after, seen, records, out)
            }
            report => self.handle_report(report),
        }
    }

    /// Adds a report of this node's own holders, or sends it at once if it is never resent.
    fn add_report(&mut self, message: Message, out: &mut Vec<Action>) {
        if let Some(message) = self.reports.add(self.now, message, &self.replica) {
            self.send_report(message, out);
        }
    }

    /// Sends due reports to the controller.
    fn send_reports(&mut self, out: &mut Vec<Action>) {
        if self.controller().is_none() {
            return;
        }
        for message in self.reports.take_due(self.now, &self.replica) {
            self.send_report(message, out);
        }
    }

    /// Sends one report to the controller, if one is known.
    fn send_report(&mut self, message: Message, out: &mut Vec<Action>) {
        let Some((_, controller)) = self.controller() else { return };
        let name = controller.node.clone();
        if name == self.setup.name {
            self.handle_report(message);
            return;
        }
        let Some((_, node)) = nodes::node(&self.replica, &name) else { return };
        out.push(Action::Send(Peer { name, addr: node.addr }, message));
    }

    /// Handles the outcome of a write.
    fn handle_write_outcome(&mut self, op: u64, outcome: WriteOutcome, out: &mut Vec<Action>) {
        match outcome {
            WriteOutcome::Unknown => self.mark_platform_down(),
            _ => self.mark_platform_up(),
        }
        let Some(completed) = self.writes.complete(self.now, op, outcome, &mut self.rng) else {
            return;
        };
        if completed.write.purpose == Purpose::Own {
            self.complete_own_write(completed.version, out);
        }
        if completed.version.is_none() {
            out.push(Action::Count("write_conflicts"));
        }
        self.dirty = true;
    }

    fn is_lease_valid(&self) -> bool {
        self.now < self.lease_expiry()
    }

    /// Returns whether this node can leave: it holds no server and no controller's term, or no
    /// other node can take over.
    fn is_drained(&self) -> bool {
        if !self.nodes.others.iter().any(|name| self.heard_within(name, PAUSE_THRESHOLD * 10)) {
            return true;
        }
        let mine = |holder: &Holder| {
            holder.node == self.setup.name && holder.incarnation == self.incarnation
        };
        let holds = self.replica.iter(Kind::Holders).any(|record| match &record.value {
            Some(Value::Holders(holders)) => holders.terms.values().any(mine),
            _ => false,
        });
        !holds && !self.is_named_controller() && self.node_state() == Some(NodeState::Leaving)
    }

    /// Returns the state in this node's record.
    fn node_state(&self) -> Option<NodeState> {
        nodes::node(&self.replica, &self.setup.name).map(|(_, node)| node.state)
    }

    /// Returns a random duration between half of `span` and `span`.
    fn jitter(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.rng.random_range(0.5..1.0))
    }
}
