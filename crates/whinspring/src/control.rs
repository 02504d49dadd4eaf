//! The control part of a node: records, leases, membership and, with the term, planning.
//!
//! [`Control`] is one state machine per node. The daemon feeds it the time, messages from other
//! nodes and answers of the platform, and carries its actions out.

use {
    crate::{
        lease::{Lease, Ledger},
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
    lessor::Inquiry,
    membership::Membership,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    reports::Reports,
    roster::Roster,
    spread::Spread,
    std::{collections::BTreeMap, time::Duration},
    writes::{Purpose, Writes},
};

mod choice;
mod controller;
mod election;
mod event;
mod lessor;
mod membership;
mod reports;
pub(crate) mod roster;
mod spread;
mod writes;

pub use event::{Action, Event, Peer, Setup, Stored, TICK_MS, VmState};

/// Time between two events that shows that this process was paused.
const PAUSE: Duration = Duration::from_millis(200);

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
    awake: Tick,
    /// Until when the lease was last seen to be valid.
    leased: Tick,
    /// Copy of the records.
    replica: Replica,
    /// What is worked out from the node records.
    roster: Roster,
    /// Lease of this node.
    lease: Lease,
    /// Leases that this node keeps for others.
    ledger: Ledger,
    /// Inquiries into nodes that seem lost.
    inquiries: BTreeMap<Name, Inquiry>,
    /// Writes under way.
    writes: Writes,
    /// Reports of this node's holders.
    reports: Reports,
    /// Reading and exchange of records.
    spread: Spread,
    /// Membership of this node.
    own: Membership,
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
            awake: now,
            leased: now,
            replica: Replica::default(),
            roster: Roster::default(),
            lease: Lease::default(),
            ledger: Ledger::new(now),
            inquiries: BTreeMap::new(),
            writes: Writes::default(),
            reports: Reports::default(),
            spread: Spread::default(),
            own: Membership::default(),
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
        self.enter(now);
        match event {
            Event::Tick => {}
            Event::Heard(peer, message) => self.hear(peer, message, out),
            Event::Local(message) => self.local(message, out),
            Event::Stored { op, outcome } => self.stored(op, outcome, out),
            Event::Read { whole, revision, records } => self.read(whole, revision, records, out),
            Event::ReadFailed { gone } => self.read_failed(gone),
            Event::Vms(vms) => self.vms(vms),
            Event::Retire => self.own.retiring = true,
        }
        self.tend(out);
    }

    /// Returns the point after which this node must not act for what it holds; zero if there is none.
    pub fn lease_until(&self) -> Tick {
        match self.own.present && !self.own.superseded {
            true => self.lease.until(),
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
        self.named() && self.lease_valid() && !self.own.retiring
    }

    /// Returns whether a graceful stop is complete, or another process has taken the name.
    pub fn retired(&self) -> bool {
        self.own.retired || self.own.superseded
    }

    /// Returns what the node says of itself.
    pub fn status(&self) -> Status {
        Status {
            incarnation: self.incarnation,
            leased: self.lease_valid(),
            seen: self.replica.seen(),
            down: self.platform_down(),
            controller: self.controller().map(|(_, controller)| controller.clone()),
            lessors: self.lease.lessors(),
            lessees: self.roster.lessees.len(),
            watcher: self.roster.watches(&self.setup.name),
        }
    }

    /// Notes the time, and whether the process was paused since the last event.
    fn enter(&mut self, now: Tick) {
        if now.since(self.now) > PAUSE {
            self.awake = now;
        }
        self.now = now;
        self.leased = self.leased.max(self.lease_until().min(now));
    }

    /// Does what the time and the changed state call for.
    fn tend(&mut self, out: &mut Vec<Action>) {
        let named = self.named() && self.lease_valid();
        self.writes.retry(self.now, |purpose| purpose != Purpose::Plan || named, out);
        self.tend_membership(out);
        self.tend_lapses(out);
        self.tend_term(out);
        self.tend_controller(out);
        self.tend_reports(out);
        self.tend_spread(out);
    }

    /// Takes a message of another node.
    fn hear(&mut self, peer: Peer, message: Message, out: &mut Vec<Action>) {
        match message {
            Message::Heartbeat { incarnation, seq, version, seen } => {
                self.note_seen(&peer, seen);
                self.heartbeat(peer, incarnation, seq, version, out);
            }
            Message::Ack { incarnation, seq, seen } => {
                self.note_seen(&peer, seen);
                if incarnation == self.incarnation {
                    self.lease.ack(&peer.name, seq);
                }
            }
            Message::AskLapse { node, incarnation, version } => {
                self.ask_lapse(peer, node, incarnation, version, out);
            }
            Message::Lapsed { node, incarnation, version } => {
                self.lapsed(&peer, &node, incarnation, version);
            }
            Message::Pull { seen } => self.pull(peer, seen, out),
            Message::Records { after, seen, records } => {
                self.records(&peer, after, seen, records, out)
            }
            report => self.report(report),
        }
    }

    /// Takes a report of this node's own holders.
    fn local(&mut self, message: Message, out: &mut Vec<Action>) {
        if let Some(message) = self.reports.add(self.now, message, &self.replica) {
            self.send_report(message, out);
        }
    }

    /// Sends the reports that are due to the controller.
    fn tend_reports(&mut self, out: &mut Vec<Action>) {
        if self.controller().is_none() {
            return;
        }
        for message in self.reports.due(self.now, &self.replica) {
            self.send_report(message, out);
        }
    }

    /// Sends one report to the controller, if one is known.
    fn send_report(&mut self, message: Message, out: &mut Vec<Action>) {
        let Some((_, controller)) = self.controller() else { return };
        let name = controller.node.clone();
        if name == self.setup.name {
            self.report(message);
            return;
        }
        let Some((_, node)) = roster::node(&self.replica, &name) else { return };
        out.push(Action::Send(Peer { name, addr: node.addr }, message));
    }

    /// Takes the reply to a write.
    fn stored(&mut self, op: u64, outcome: Stored, out: &mut Vec<Action>) {
        match outcome {
            Stored::Unknown => self.platform_failed(),
            _ => self.platform_up(),
        }
        let Some(ended) = self.writes.stored(self.now, op, outcome, &mut self.rng) else { return };
        if ended.write.purpose == Purpose::Own {
            self.own_stored(ended.version, out);
        }
        if ended.version.is_none() {
            out.push(Action::Count("write_conflicts"));
        }
        self.dirty = true;
    }

    /// Returns whether the lease is valid now.
    fn lease_valid(&self) -> bool {
        self.now < self.lease_until()
    }

    /// Returns whether this node holds nothing any more, or has nobody to hand it to.
    fn empty(&self) -> bool {
        if !self.roster.others.iter().any(|name| self.heard(name, PAUSE * 10)) {
            return true;
        }
        let mine = |holder: &Holder| {
            holder.node == self.setup.name && holder.incarnation == self.incarnation
        };
        let holds = self.replica.iter(Kind::Holders).any(|record| match &record.value {
            Some(Value::Holders(holders)) => holders.terms.values().any(mine),
            _ => false,
        });
        !holds && !self.named() && self.node_state() == Some(NodeState::Leaving)
    }

    /// Returns the state in this node's record.
    fn node_state(&self) -> Option<NodeState> {
        roster::node(&self.replica, &self.setup.name).map(|(_, node)| node.state)
    }

    /// Returns a random time between half of `span` and `span`.
    fn jitter(&mut self, span: Duration) -> Duration {
        span.mul_f64(self.rng.random_range(0.5..1.0))
    }
}
