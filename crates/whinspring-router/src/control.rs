//! Who grants keys, and what the controller knows.
//!
//! One node at a time is the controller, named with a rising term in a record that is changed by
//! conditional writes only. A controller that has lost its place may not know it; what keeps its
//! late orders harmless is explained in `grants` and `handover`.

pub use self::place::{resign, run};

use {
    self::holds::Holds,
    crate::message::Beat,
    log::warn,
    std::{collections::HashMap, net::SocketAddr, time::Duration},
    whinspring::{
        name::Name,
        ranges::{Instance, balance::KeyLoads},
        time::Tick,
    },
};

mod grants;
mod handover;
mod holds;
mod moves;
mod place;
pub mod servers;

/// Time without a confirmation after which a controller grants nothing more; it bridges an outage
/// of the store of nine seconds.
pub const RIGHT: Duration = Duration::from_secs(12);

/// Time without a confirmation after which a controller hands no keys over.
const MOVE_RIGHT: Duration = Duration::from_millis(2_500);

/// Time in which a measured load falls to a third.
const LOAD_MEMORY_S: f64 = 3.0;

/// Load below which a key is forgotten, in slots.
const LEAST_LOAD: f64 = 0.0005;

/// Part of a server's slowness that a new measurement replaces, for each request.
const PACE_SMOOTHING: f64 = 0.06;

/// Fence numbers between two spans.
const FENCE_STEP: u64 = 64;

/// Bits of a fence number below the term.
const TERM_SHIFT: u32 = 28;

/// What a node knows of the controller, and what the controller knows.
#[derive(Debug, Default)]
pub struct Controller {
    /// Name and incarnation of the controller, if it is known.
    chief: Option<(Name, u64)>,
    /// When the controller was last heard.
    heard: Tick,
    /// Silence after which it counts as lost.
    silence: Duration,
    /// Time since the controller's last confirmation, as it said.
    doubt: Duration,
    /// Highest term known.
    term: u64,
    /// Whether this node is the controller.
    leads: bool,
    /// Whether it gives the place up, so that another node may be the controller already.
    resigning: bool,
    /// Since when it is.
    since: Tick,
    /// Name and incarnation of the controller before this one.
    previous: Option<(Name, u64)>,
    /// Since when the controller before this one is known to give no orders.
    quiet: Option<Tick>,
    /// When the store last confirmed it.
    confirmed: Tick,
    /// Whether a confirmation is on its way.
    confirming: bool,
    /// Number of the last fence of this term.
    fences: u64,
    /// Load by service and key, in slots.
    loads: HashMap<Name, KeyLoads>,
    /// When the loads were last reduced.
    reduced: Tick,
    /// Slowness of servers, one for a usual one.
    slowness: HashMap<Name, f64>,
    /// Grants and what became of them.
    holds: Holds,
    /// Servers that refuse connections: since when, and when they last did.
    down: HashMap<Instance, (Tick, Tick)>,
    /// What other nodes found at servers' addresses.
    pub(crate) looks: HashMap<SocketAddr, servers::Look>,
    /// When servers last answered a request of any node.
    answered: HashMap<Name, Tick>,
    /// Last known addresses of servers.
    addresses: HashMap<Instance, SocketAddr>,
    /// State of each service's moves.
    moves: HashMap<Name, moves::Progress>,
}

impl Controller {
    /// Returns the highest term known.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns whether this node is the controller.
    pub fn leads(&self) -> bool {
        self.leads
    }

    /// Returns the controller, if another node is.
    pub fn controller(&self) -> Option<&Name> {
        self.chief.as_ref().map(|(name, _)| name).filter(|_| !self.leads)
    }

    /// Takes a sign of life of another node.
    pub fn hear(&mut self, now: Tick, from: &Name, beat: &Beat) {
        if beat.term > self.term && self.leads {
            self.depose(beat.term);
        }
        if beat.leads && beat.term >= self.term {
            self.term = beat.term;
            self.chief = Some((from.clone(), beat.incarnation));
            self.heard = now;
            self.silence = beat.lost_after();
            self.doubt = Duration::from_millis(beat.store_age.into());
        }
        if self.leads {
            self.measure(now, beat);
        }
        let previous = self.previous.as_ref().filter(|(name, _)| name == from);
        let over = |run: u64| run != beat.incarnation || (!beat.leads && beat.term >= self.term);
        if self.quiet.is_none() && previous.is_some_and(|(_, run)| over(*run)) {
            self.quiet = Some(now);
        }
        let resigned = beat.leaving || (!beat.leads && beat.term >= self.term);
        let chief = self.chief.as_ref().filter(|(name, _)| name == from);
        if chief.is_some_and(|(_, run)| *run != beat.incarnation || resigned) {
            self.chief = None;
        }
    }

    /// Takes the measurements of a node.
    pub fn measure(&mut self, now: Tick, beat: &Beat) {
        self.reduce(now);
        for work in &beat.keys {
            let loads = self.loads.entry(Name::from(work.service.as_str())).or_default();
            let load = f64::from(work.work) / 1_000.0 / LOAD_MEMORY_S;
            *loads.entry(work.key as u16).or_default() += load;
        }
        for pace in beat.paces.iter().filter(|pace| pace.usual > 0) {
            let ratio = f64::from(pace.took) / f64::from(pace.usual);
            let server = Name::from(pace.server.as_str());
            self.answered.insert(server.clone(), now);
            let known = self.slowness.entry(server).or_insert(1.0);
            let part = 1.0 - (1.0 - PACE_SMOOTHING).powi(pace.count as i32);
            *known += (ratio - *known) * part;
        }
    }

    /// Lets old loads fade.
    fn reduce(&mut self, now: Tick) {
        let span = now.since(self.reduced).as_secs_f64();
        self.reduced = now;
        let factor = (-span / LOAD_MEMORY_S).exp();
        for loads in self.loads.values_mut() {
            loads.retain(|_, load| {
                *load *= factor;
                *load > LEAST_LOAD
            });
        }
    }

    /// Returns a fence number above all earlier ones; those up to [`FENCE_STEP`] below it are free
    /// for orders to the former owner.
    fn fence(&mut self) -> u64 {
        self.fences += FENCE_STEP;
        (self.term << TERM_SHIFT) + self.fences
    }

    /// Returns whether this node may give orders now.
    fn may_order(&self, now: Tick) -> bool {
        self.leads && !self.resigning && now.since(self.confirmed) < RIGHT
    }

    /// Returns whether this node may hand keys over now.
    fn may_move(&self, now: Tick) -> bool {
        self.may_order(now) && now.since(self.confirmed) < MOVE_RIGHT
    }

    /// Returns whether no order of the controller before this one about a hand-over can still have
    /// an effect, also if a server carries it out late: a grant counts from its arrival.
    fn is_alone(&self, now: Tick) -> bool {
        let quiet = self.quiet.unwrap_or(self.since + MOVE_RIGHT);
        now > holds::end_of(quiet, grants::HOLD)
    }

    /// Returns when the controller before this one gave its last order at the latest.
    fn last_order(&self) -> Tick {
        self.quiet.unwrap_or(self.since + RIGHT)
    }

    /// Gives the place up to a controller of a later term.
    fn depose(&mut self, term: u64) {
        warn!(event = "deposed", term = self.term, other = term; "another controller is in place");
        self.step_down();
    }

    /// Gives the place up.
    fn step_down(&mut self) {
        self.leads = false;
        self.resigning = false;
        self.chief = None;
        self.moves.clear();
        self.holds = Holds::default();
    }
}
