//! The controller: the elected node that grants key leases to servers.
//!
//! At most one node is the controller of a term. Terms rise; the current one is stored in a record
//! that is changed by conditional writes only. A deposed controller may not know yet that it was
//! deposed; `grants` and `handover` explain how fencing makes its late commands harmless. A server that
//! starts again under its name has forgotten the fencing tokens, and commands cannot name one process of
//! it. A controller therefore sends commands only over connections that are older than its last
//! confirmation by the store, or were opened soon after it; see [`Controller::conn_age`]. The store
//! may come back from an older copy, in a new era: a controller's right ends with the era in which
//! it was elected, and the terms of an era are above those of the eras before; see `restore`.

pub use self::election::{resign, run};

use {
    self::leases::Leases,
    crate::{message::Heartbeat, platform::RESTART_TIME},
    log::warn,
    std::{
        collections::{HashMap, HashSet},
        time::Duration,
    },
    whinspring::{
        errors::ErrorShare,
        name::Name,
        ranges::{Instance, Span, demand::Demand},
        time::Tick,
    },
};

mod election;
mod grants;
mod handover;
mod leases;
mod progress;
mod restore;
mod servers;

/// Time without a confirmation by the store after which the controller grants and renews nothing.
/// Leases survive a store outage of nine seconds.
pub const COMMAND_TIMEOUT: Duration = Duration::from_secs(12);

/// Time without a confirmation by the store after which the controller hands no keys over.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time since the store last responded to the controller from which a check of it has failed.
const SILENT_AFTER: Duration = Duration::from_millis(2_300);

/// Weight of one request in the moving average of a server's slowness.
const LATENCY_SMOOTHING: f64 = 0.06;

/// Distance between consecutive fencing tokens; the tokens in between fence former owners.
const FENCE_STEP: u64 = 64;

/// Bits of a fencing token that follow the term. Servers take tokens below 2^53, so that 25 bits
/// are left for the term.
const TERM_SHIFT: u32 = 28;

/// Bits of a term that count the elections of one era of the store.
const ERA_SHIFT: u32 = 14;

/// Number of eras after which the terms of an era are no longer above those of all earlier ones by
/// the era alone.
const ERAS: u64 = 1 << 11;

/// A controller before the previous one.
#[derive(Debug)]
struct EarlierController {
    name: Name,
    incarnation: u64,
    /// When it was known to have stopped sending commands.
    stopped: Option<Tick>,
}

/// The node's view of the controller, and the controller's own state if this node is the
/// controller.
#[derive(Debug, Default)]
pub struct Controller {
    /// Name and incarnation of the controller, if known.
    leader: Option<(Name, u64)>,
    last_heard: Tick,
    /// Silence after which the controller counts as lost.
    leader_timeout: Duration,
    /// Time since the store last responded to the controller, as reported by its heartbeat.
    store_age: Duration,
    /// Whether the store did not respond to the controller when that was last heard.
    store_silent: bool,
    /// Highest term known.
    term: u64,
    /// Era of the store in which this node was elected.
    era: u64,
    /// When this node last campaigned although the store had not responded to its last call.
    store_probed: Tick,
    /// Whether this node was the controller when the era of its election ended.
    dispossessed: bool,
    /// Whether no controller can have been elected before this one.
    first: bool,
    /// Whether grants may exist that the store has lost.
    restored: bool,
    /// Whether the leases of the last controllers were bounded as [`leases::Terms`] says.
    is_bounded: bool,
    /// Whether this node is the controller.
    is_leader: bool,
    /// Whether this node is resigning, so that another node may be the controller already.
    resigning: bool,
    elected_at: Tick,
    /// Name and incarnation of the previous controller.
    predecessor: Option<(Name, u64)>,
    /// When the previous controller was known to have stopped sending commands.
    predecessor_stopped: Option<Tick>,
    /// Controllers before the previous one that may still send commands: one of them may be cut off
    /// and not know of its successors.
    earlier: Vec<EarlierController>,
    /// When the last check that the store confirmed was started.
    confirmed: Tick,
    /// When the last check was started.
    checked: Tick,
    /// Whether such a check is in progress.
    confirming: bool,
    /// Low part of the last fencing token issued in this term.
    fence_count: u64,
    /// Load of the keys by service.
    demands: HashMap<Name, Demand>,
    /// Recent errors in the responses of servers.
    errors: HashMap<Name, ErrorShare>,
    /// Measured over expected latency by server; 1.0 is as expected.
    slowness: HashMap<Name, f64>,
    /// Expected time of a request by server, in seconds.
    work: HashMap<Name, f64>,
    leases: Leases,
    /// Servers that refuse connections or whose address another server has.
    down: HashMap<Instance, servers::Refusals>,
    /// Servers whose connections are newer than the last confirmation.
    unproven: HashSet<Instance>,
    /// Servers that did not respond to the last command, and when one was last sent to them.
    silent: HashMap<Instance, Tick>,
    /// Handovers by service.
    handovers: HashMap<Name, progress::Progress>,
}

impl Controller {
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns whether this node is the controller.
    pub fn is_leader(&self) -> bool {
        self.is_leader
    }

    /// Returns whether the store does not respond to the controller, as far as known.
    pub fn is_store_silent(&self) -> bool {
        self.store_silent
    }

    /// Returns the name of the controller, unless it is this node.
    pub fn controller(&self) -> Option<&Name> {
        self.leader.as_ref().map(|(name, _)| name).filter(|_| !self.is_leader)
    }

    /// Updates the view of the controller from another node's heartbeat.
    pub fn on_heartbeat(&mut self, now: Tick, from: &Name, heartbeat: &Heartbeat) {
        if heartbeat.term > self.term && self.is_leader {
            self.depose(heartbeat.term);
        }
        if heartbeat.is_leader && heartbeat.term >= self.term {
            self.term = heartbeat.term;
            self.dispossessed = false;
            self.leader = Some((from.clone(), heartbeat.incarnation));
            self.last_heard = now;
            self.leader_timeout = heartbeat.timeout();
            self.store_age = Duration::from_millis(heartbeat.store_age_ms.into());
            self.store_silent = self.store_age > SILENT_AFTER;
        }
        if self.is_leader {
            self.record_measurements(now, heartbeat);
        }
        let predecessor = self.predecessor.as_ref().filter(|(name, _)| name == from);
        let ended = |run: u64| {
            run != heartbeat.incarnation || (!heartbeat.is_leader && heartbeat.term >= self.term)
        };
        if self.predecessor_stopped.is_none() && predecessor.is_some_and(|(_, run)| ended(*run)) {
            self.predecessor_stopped = Some(now);
        }
        let earlier = self.earlier.iter_mut().filter(|earlier| earlier.name == *from);
        for earlier in earlier.filter(|earlier| ended(earlier.incarnation)) {
            earlier.stopped.get_or_insert(now);
        }
        let resigned = heartbeat.leaving || (!heartbeat.is_leader && heartbeat.term >= self.term);
        let leader = self.leader.as_ref().filter(|(name, _)| name == from);
        if leader.is_some_and(|(_, run)| *run != heartbeat.incarnation || resigned) {
            self.leader = None;
        }
    }

    /// Adds the loads and latencies that a node measured. The latencies of a node that is cut off from
    /// all servers tell nothing of the servers.
    pub fn record_measurements(&mut self, now: Tick, heartbeat: &Heartbeat) {
        let domain = Name::from(heartbeat.domain.as_str());
        for load in &heartbeat.keys {
            let demand = self.demands.entry(Name::from(load.service.as_str())).or_default();
            demand.decay(now);
            demand.record(load.key as u16, f64::from(load.work_ms) / 1_000.0, &domain);
        }
        for latency in &heartbeat.latencies {
            let known = self.errors.entry(Name::from(latency.server.as_str())).or_default();
            known.record(now, latency.count, latency.errors);
        }
        for latency in heartbeat.latencies.iter().filter(|latency| latency.expected_ms > 0) {
            let ratio = f64::from(latency.total_ms) / f64::from(latency.expected_ms);
            let server = Name::from(latency.server.as_str());
            let each = f64::from(latency.expected_ms) / f64::from(latency.count.max(1)) / 1_000.0;
            self.work.insert(server.clone(), each);
            if heartbeat.cut_off {
                continue;
            }
            let known = self.slowness.entry(server).or_insert(1.0);
            let weight = 1.0 - (1.0 - LATENCY_SMOOTHING).powi(latency.count as i32);
            *known += (ratio - *known) * weight;
        }
    }

    /// Returns a fencing token above all earlier ones. The [`FENCE_STEP`] - 1 tokens below it are
    /// free for commands to the former owner.
    fn fence(&mut self) -> u64 {
        self.fence_count += FENCE_STEP;
        (self.term << TERM_SHIFT) + self.fence_count
    }

    /// Returns the highest term that no controller of an era has.
    fn term_floor(era: u64) -> u64 {
        (era % ERAS) << ERA_SHIFT
    }

    /// Returns whether a term is of an era. So is one that is lower than the first term of the first
    /// era if `era_changed` is false: versions that knew no eras wrote it.
    fn is_term_of(term: u64, era: u64, era_changed: bool) -> bool {
        let first = term >> ERA_SHIFT;
        first == era % ERAS || (first == 0 && !era_changed)
    }

    /// Returns whether the fencing token of a span is of an earlier era, so that a grant of the keys
    /// to another server may have been lost with the history of the store.
    fn is_unsettled(&self, span: &Span) -> bool {
        span.fence >> TERM_SHIFT < Self::term_floor(self.era)
    }

    /// Returns the lowest fencing token of this term.
    fn first_fence(&self) -> u64 {
        self.term << TERM_SHIFT
    }

    /// Ends this node's right to act as the controller if it was elected in an earlier era.
    pub fn end_era(&mut self, era: u64) {
        if self.is_leader && era != self.era {
            warn!(event = "era_ended", term = self.term, before = self.era, era; "the era in which this node was elected has ended; it asks for the place anew");
            self.step_down();
            self.dispossessed = true;
        }
    }

    /// Returns whether this node may send commands (grants and releases) now.
    fn may_command(&self, now: Tick) -> bool {
        self.is_leader && !self.resigning && now.since(self.confirmed) < COMMAND_TIMEOUT
    }

    fn may_hand_over(&self, now: Tick) -> bool {
        self.may_command(now) && now.since(self.confirmed) < HANDOVER_TIMEOUT
    }

    /// Returns the least age of a connection for commands at `now`. The process behind an older one cannot
    /// have started after a successor of this node gave its keys away.
    fn conn_age(&self, now: Tick) -> Duration {
        now.since(self.confirmed + RESTART_TIME)
    }

    /// Returns whether no handover command of the previous controller can still take effect. A
    /// server may execute a command late, and a lease counts from the arrival of its grant.
    fn predecessor_expired(&self, now: Tick) -> bool {
        let stopped = self.predecessors_stop(self.elected_at + HANDOVER_TIMEOUT);
        now > leases::handover_end(stopped, self.is_bounded)
    }

    /// Returns the latest time at which any earlier controller may have sent a command, from what is
    /// known of the end of each.
    fn predecessors_last_command(&self) -> Tick {
        self.predecessors_stop(self.elected_at + COMMAND_TIMEOUT)
    }

    /// Returns by when all earlier controllers have stopped, if each that is not known to have stops
    /// at `latest`.
    fn predecessors_stop(&self, latest: Tick) -> Tick {
        let earlier = self.earlier.iter().map(|earlier| earlier.stopped);
        let all = earlier.chain([self.predecessor_stopped]);
        all.map(|stopped| stopped.unwrap_or(latest)).max().unwrap_or(latest)
    }

    /// Returns the same if nothing is known of them: the store confirmed none of them after the
    /// election of this one.
    fn earlier_last_command(&self) -> Tick {
        self.elected_at + COMMAND_TIMEOUT
    }

    /// Returns whether the new owner of a span was granted the keys, and the store does not know of it.
    fn has_finished(&self, service: &Name, span: &Span) -> bool {
        let progress = self.handovers.get(service);
        progress.is_some_and(|progress| progress.finished.contains(&span.handover()))
    }

    /// Steps down in favour of a controller of a later term.
    fn depose(&mut self, term: u64) {
        warn!(event = "deposed", term = self.term, other = term; "another node is the controller of a later term; this one steps down");
        self.step_down();
    }

    fn step_down(&mut self) {
        self.is_leader = false;
        self.dispossessed = false;
        self.resigning = false;
        self.leader = None;
        self.handovers.clear();
        self.unproven.clear();
        self.leases = Leases::default();
    }
}
