//! Who grants keys, and what the controller knows.
//!
//! One node at a time is the controller, named with a rising term in a record that is changed by
//! conditional writes only. A controller that has lost its place may not know it; what keeps its
//! late orders harmless is explained in `grants` and `handover`.

pub use self::election::{resign, run};

use {
    self::leases::Leases,
    crate::message::Heartbeat,
    log::warn,
    std::{collections::HashMap, net::SocketAddr, time::Duration},
    whinspring::{
        name::Name,
        ranges::{Life, balance::KeyLoads},
        time::Tick,
    },
};

mod election;
mod grants;
mod handover;
mod leases;
mod moves;
pub mod servers;

/// Time without a confirmation after which a controller grants nothing more; it bridges an outage
/// of the store of nine seconds.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(12);

/// Time without a confirmation after which a controller hands no keys over.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time in which a measured load falls to a third.
const LOAD_DECAY_S: f64 = 3.0;

/// Load below which a key is forgotten, in slots.
const MIN_LOAD: f64 = 0.0005;

/// Part of a server's slowness that a new measurement replaces, for each request.
const LATENCY_SMOOTHING: f64 = 0.06;

/// Fence numbers between two spans.
const FENCE_STEP: u64 = 64;

/// Bits of a fence number below the term.
const TERM_SHIFT: u32 = 28;

/// What a node knows of the controller, and what the controller knows.
#[derive(Debug, Default)]
pub struct Controller {
    /// Name and incarnation of the controller, if it is known.
    leader: Option<(Name, u64)>,
    /// When the controller was last heard.
    last_heard: Tick,
    /// Silence after which it counts as lost.
    leader_timeout: Duration,
    /// Time since the controller's last confirmation, as it said.
    store_age: Duration,
    /// Highest term known.
    term: u64,
    /// Whether this node is the controller.
    is_leader: bool,
    /// Whether it gives the place up, so that another node may be the controller already.
    resigning: bool,
    /// Since when it is.
    elected_at: Tick,
    /// Name and incarnation of the controller before this one.
    predecessor: Option<(Name, u64)>,
    /// Since when the controller before this one is known to give no orders.
    predecessor_stopped: Option<Tick>,
    /// When the store last confirmed it.
    confirmed: Tick,
    /// Whether a confirmation is on its way.
    confirming: bool,
    /// Number of the last fence of this term.
    fence_count: u64,
    /// Load by service and key, in slots.
    loads: HashMap<Name, KeyLoads>,
    /// When the loads were last reduced.
    decayed_at: Tick,
    /// Slowness of servers, one for a usual one.
    slowness: HashMap<Name, f64>,
    /// Grants and what became of them.
    leases: Leases,
    /// Servers that refuse connections: since when, and when they last did.
    down: HashMap<Life, (Tick, Tick)>,
    /// What other nodes found at servers' addresses.
    pub(crate) probes: HashMap<SocketAddr, servers::ProbeRound>,
    /// When servers last answered a request of any node.
    last_answered: HashMap<Name, Tick>,
    /// Last known addresses of servers.
    addresses: HashMap<Life, SocketAddr>,
    /// State of each service's moves.
    moves: HashMap<Name, moves::Progress>,
}

impl Controller {
    /// Returns the highest term known.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns whether this node is the controller.
    pub fn is_leader(&self) -> bool {
        self.is_leader
    }

    /// Returns the controller, if another node is.
    pub fn controller(&self) -> Option<&Name> {
        self.leader.as_ref().map(|(name, _)| name).filter(|_| !self.is_leader)
    }

    /// Takes a sign of life of another node.
    pub fn on_heartbeat(&mut self, now: Tick, from: &Name, heartbeat: &Heartbeat) {
        if heartbeat.term > self.term && self.is_leader {
            self.depose(heartbeat.term);
        }
        if heartbeat.is_leader && heartbeat.term >= self.term {
            self.term = heartbeat.term;
            self.leader = Some((from.clone(), heartbeat.incarnation));
            self.last_heard = now;
            self.leader_timeout = heartbeat.timeout();
            self.store_age = Duration::from_millis(heartbeat.store_age_ms.into());
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
        let resigned = heartbeat.leaving || (!heartbeat.is_leader && heartbeat.term >= self.term);
        let leader = self.leader.as_ref().filter(|(name, _)| name == from);
        if leader.is_some_and(|(_, run)| *run != heartbeat.incarnation || resigned) {
            self.leader = None;
        }
    }

    /// Takes the measurements of a node.
    pub fn record_measurements(&mut self, now: Tick, heartbeat: &Heartbeat) {
        self.decay_loads(now);
        for load in &heartbeat.keys {
            let loads = self.loads.entry(Name::from(load.service.as_str())).or_default();
            let amount = f64::from(load.work_ms) / 1_000.0 / LOAD_DECAY_S;
            *loads.entry(load.key as u16).or_default() += amount;
        }
        for latency in heartbeat.latencies.iter().filter(|latency| latency.expected_ms > 0) {
            let ratio = f64::from(latency.total_ms) / f64::from(latency.expected_ms);
            let server = Name::from(latency.server.as_str());
            self.last_answered.insert(server.clone(), now);
            let known = self.slowness.entry(server).or_insert(1.0);
            let weight = 1.0 - (1.0 - LATENCY_SMOOTHING).powi(latency.count as i32);
            *known += (ratio - *known) * weight;
        }
    }

    /// Lets old loads fade.
    fn decay_loads(&mut self, now: Tick) {
        let span = now.since(self.decayed_at).as_secs_f64();
        self.decayed_at = now;
        let factor = (-span / LOAD_DECAY_S).exp();
        for loads in self.loads.values_mut() {
            loads.retain(|_, load| {
                *load *= factor;
                *load > MIN_LOAD
            });
        }
    }

    /// Returns a fence number above all earlier ones; those up to [`FENCE_STEP`] below it are free
    /// for orders to the former owner.
    fn fence(&mut self) -> u64 {
        self.fence_count += FENCE_STEP;
        (self.term << TERM_SHIFT) + self.fence_count
    }

    /// Returns whether this node may give orders now.
    fn may_order(&self, now: Tick) -> bool {
        self.is_leader && !self.resigning && now.since(self.confirmed) < ORDER_TIMEOUT
    }

    /// Returns whether this node may hand keys over now.
    fn may_hand_over(&self, now: Tick) -> bool {
        self.may_order(now) && now.since(self.confirmed) < HANDOVER_TIMEOUT
    }

    /// Returns whether no order of the controller before this one about a hand-over can still have
    /// an effect, also if a server carries it out late: a grant counts from its arrival.
    fn predecessor_expired(&self, now: Tick) -> bool {
        let stopped = self.predecessor_stopped.unwrap_or(self.elected_at + HANDOVER_TIMEOUT);
        now > leases::lease_end(stopped, grants::LEASE_DURATION)
    }

    /// Returns when the controller before this one gave its last order at the latest.
    fn predecessor_last_order(&self) -> Tick {
        self.predecessor_stopped.unwrap_or(self.elected_at + ORDER_TIMEOUT)
    }

    /// Gives the place up to a controller of a later term.
    fn depose(&mut self, term: u64) {
        warn!(event = "deposed", term = self.term, other = term; "another controller is in place");
        self.step_down();
    }

    /// Gives the place up.
    fn step_down(&mut self) {
        self.is_leader = false;
        self.resigning = false;
        self.leader = None;
        self.moves.clear();
        self.leases = Leases::default();
    }
}
