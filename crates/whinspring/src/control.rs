//! The control part of a node: records, leases, membership and, with the term, planning.
//!
//! [`Control`] is one state machine per node. The daemon feeds it the time, messages from other
//! nodes and answers of the platform, and carries its actions out.

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
    controller::Term,
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

/// Time between two events that shows that this process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(200);

/// The control part of one node.
#[derive(Debug)]
pub struct Control {
    /// What the node knows of itself.
    setup: Setup,
    /// Present incarnation: drawn anew when the node was declared lost.
    incarnation: u64,
    /// Source of random choices.
    rng: ChaCha8Rng,
    /// Time of the event being handled.
    now: Tick,
    /// Calendar time of the event being handled.
    wall: Wall,
    /// When the process last came back from a pause.
    resumed: Tick,
    /// Until when the lease was last seen to be valid.
    last_leased: Tick,
    /// Copy of the records.
    replica: Replica,
    /// What is worked out from the node records.
    nodes: NodeIndex,
    /// Lease of this node.
    lease: Lease,
    /// Leases that this node keeps for others.
    lease_table: LeaseTable,
    /// Inquiries into nodes that seem lost.
    votes: BTreeMap<Name, LossVote>,
    /// Writes under way.
    writes: Writes,
    /// Reports of this node's holders.
    reports: Reports,
    /// Reading and exchange of records.
    replication: Replication,
    /// Membership of this node.
    membership: Membership,
    /// A controller's term that nobody has.
    vacancy: Option<Vacancy>,
    /// This node's work as the controller.
    term: Option<Term>,
    /// The way that load is evened out.
    policy: Policy,
    /// Whether records or reports changed since the controller last looked.
    dirty: bool,
}

/// What a node says of itself to operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Present incarnation.
    pub incarnation: u64,
    /// Whether its lease is valid.
    pub leased: bool,
    /// Revision up to which it knows every record.
    pub seen: u64,
    /// Whether its last call to the platform failed.
    pub down: bool,
    /// The controller as far as it knows.
    pub controller: Option<Controller>,
    /// Nodes that keep its lease.
    pub lessors: Vec<Name>,
    /// Number of nodes whose leases it keeps.
    pub lessees: usize,
    /// Whether it watches the platform.
    pub watcher: bool,
}

impl Control {
    /// Creates the control part of a process that starts at `now`.
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
            term: None,
            policy: Policy::default(),
            dirty: false,
            setup,
        }
    }

    /// Selects the way that load is evened out.
    #[must_use]
    pub fn with_policy(self, policy: Policy) -> Self {
        Self { policy, ..self }
    }

    /// Handles one event and appends what the daemon has to do to `out`.
    pub fn handle(&mut self, now: Tick, wall: Wall, event: Event, out: &mut Vec<Action>) {
        self.wall = wall;
        self.set_time(now);
        match event {
            Event::Tick => {}
            Event::Received(peer, message) => self.handle_message(peer, message, out),
            Event::Report(message) => self.add_report(message, out),
            Event::WriteCompleted { op, outcome } => self.handle_write_outcome(op, outcome, out),
            Event::Read { whole, revision, records } => {
                self.handle_read(whole, revision, records, out)
            }
            Event::ReadFailed { gone } => self.handle_read_error(gone),
            Event::Vms(vms) => self.handle_vms(vms),
            Event::Stop => self.membership.stopping = true,
        }
        self.advance(out);
    }

    /// Returns the point after which this node must not act for what it holds; zero if there is none.
    pub fn lease_expiry(&self) -> Tick {
        match self.membership.present && !self.membership.superseded {
            true => self.lease.expiry(),
            false => Tick::default(),
        }
    }

    /// Returns this node's copy of the records.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the present incarnation, which holder records of this node must name.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns whether this node has the controller's term and a valid lease.
    pub fn is_controller(&self) -> bool {
        self.is_named_controller() && self.is_lease_valid() && !self.membership.stopping
    }

    /// Returns whether a graceful stop is complete, or another process has taken the name.
    pub fn is_stopped(&self) -> bool {
        self.membership.stopped || self.membership.superseded
    }

    /// Returns what the node says of itself.
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

    /// Notes the time, and whether the process was paused since the last event.
    fn set_time(&mut self, now: Tick) {
        if now.since(self.now) > PAUSE_THRESHOLD {
            self.resumed = now;
        }
        self.now = now;
        self.last_leased = self.last_leased.max(self.lease_expiry().min(now));
    }

    /// Does what the time and the changed state call for.
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

    /// Takes a message of another node.
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

    /// Takes a report of this node's own holders.
    fn add_report(&mut self, message: Message, out: &mut Vec<Action>) {
        if let Some(message) = self.reports.add(self.now, message, &self.replica) {
            self.send_report(message, out);
        }
    }

    /// Sends the reports that are due to the controller.
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

    /// Takes the reply to a write.
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

    /// Returns whether the lease is valid now.
    fn is_lease_valid(&self) -> bool {
        self.now < self.lease_expiry()
    }

    /// Returns whether this node holds nothing any more, or has nobody to hand it to.
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

    /// Returns a random time between half of `span` and `span`.
    fn jitter(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.rng.random_range(0.5..1.0))
    }
}
