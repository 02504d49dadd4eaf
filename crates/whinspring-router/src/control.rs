//! Who grants keys, and what the controller knows.
//!
//! One node at a time is the controller, named with a rising term in a record that is changed by
//! conditional writes only. A controller that has lost its place may not know it; what keeps its
//! late orders harmless is explained in `grants` and `handover`.

use {
    crate::{
        message::{Beat, ControlRecord},
        node::Node,
        peers,
        platform::{Kind, Platform, StoreError},
    },
    log::{info, warn},
    prost::Message,
    std::{
        cmp::Reverse,
        collections::HashMap,
        hash::{DefaultHasher, Hash, Hasher},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{task::spawn_local, time::sleep},
    whinspring::{
        name::Name,
        ranges::{Life, balance::KeyLoads},
        time::Tick,
    },
};

mod grants;
mod handover;
mod holds;
mod moves;
pub mod servers;

use self::holds::Holds;

/// Time between two looks at what is to be done.
const ROUND: Duration = Duration::from_millis(100);

/// Time after the start of the process before it looks for a controller.
const START_PAUSE: Duration = Duration::from_millis(600);

/// Time that each node waits longer than the one before it.
const RANK_PAUSE: Duration = Duration::from_millis(350);

/// Time between two confirmations by the store that the controller is in place.
const CONFIRM_EVERY: Duration = Duration::from_millis(1_500);

/// Time without a confirmation after which a controller grants nothing more; it bridges an outage
/// of the store of nine seconds.
pub const RIGHT: Duration = Duration::from_secs(12);

/// Time without a confirmation after which a controller hands no keys over.
const MOVE_RIGHT: Duration = Duration::from_millis(2_500);

/// Time without a confirmation after which other nodes may try to take the place.
const DOUBTED_AFTER: Duration = Duration::from_millis(3_500);

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

/// Times as much processor time for which the place is left to another node.
const STRONGER: u32 = 2;

/// Time for which a controller keeps its place in any case.
const PLACE_KEPT: Duration = Duration::from_secs(3);

/// Name of the controller's record.
const RECORD: &str = "controller";

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
    down: HashMap<Life, (Tick, Tick)>,
    /// What other nodes found at servers' addresses.
    pub(crate) looks: HashMap<SocketAddr, servers::Look>,
    /// When servers last answered a request of any node.
    answered: HashMap<Name, Tick>,
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

/// Takes or keeps the controller's place, for ever.
pub async fn run<P: Platform>(node: Rc<Node<P>>) {
    sleep(START_PAUSE).await;
    loop {
        if node.control.borrow().leads {
            confirm(&node);
            if hands_place_on(&node) {
                resign(&node).await;
            }
            if node.control.borrow().may_order(node.now()) {
                grants::round(&node).await;
            }
        } else if wants_place(&node) {
            take_place(&node).await;
        }
        sleep(ROUND).await;
    }
}

/// Returns whether the controller is to leave its place to a node with more processor time.
fn hands_place_on<P: Platform>(node: &Rc<Node<P>>) -> bool {
    let now = node.now();
    let control = node.control.borrow();
    let settled = now.since(control.since) > PLACE_KEPT && control.may_move(now);
    settled && !control.resigning && !is_busy(&control) && is_weak(node, now)
}

/// Returns whether hand-overs are under way.
fn is_busy(control: &Controller) -> bool {
    control.moves.values().any(moves::Progress::is_busy)
}

/// Returns whether the controller's place looks vacant and it is this node's turn to take it.
fn wants_place<P: Platform>(node: &Rc<Node<P>>) -> bool {
    let now = node.now();
    if node.leaving.get() || node.store_lost.get() {
        return false;
    }
    let control = node.control.borrow();
    let silent = now.since(control.heard);
    let vacant = match &control.chief {
        None => silent,
        Some(_) if control.doubt > DOUBTED_AFTER => control.doubt - DOUBTED_AFTER + control.silence,
        Some(_) => silent,
    };
    let rank = rank(node, now, &control);
    let pause = if control.chief.is_some() { control.silence } else { Duration::ZERO };
    vacant > pause + RANK_PAUSE * rank
}

/// Returns the number of live nodes that come before this one: those with more processor time, and
/// an order drawn for each term among equals.
fn rank<P: Platform>(node: &Rc<Node<P>>, now: Tick, control: &Controller) -> u32 {
    let order = |name: &Name, share: u32| {
        let mut hasher = DefaultHasher::new();
        (name, control.term).hash(&mut hasher);
        (Reverse(share), hasher.finish())
    };
    let own = order(node.name(), node.settings.limits.share_percent);
    let chief = control.chief.as_ref().map(|(name, _)| name);
    let peers = node.peers.borrow();
    let others = peers.live(now).filter(|(name, peer)| !peer.beat.leaving && Some(*name) != chief);
    others.filter(|(name, peer)| order(name, peer.beat.share) < own).count() as u32
}

/// Returns whether a node with much more processor time is there to be the controller.
fn is_weak<P: Platform>(node: &Rc<Node<P>>, now: Tick) -> bool {
    let share = node.settings.limits.share_percent;
    let peers = node.peers.borrow();
    let mut others = peers.live(now).filter(|(_, peer)| !peer.beat.leaving && !peer.beat.cut_off);
    others.any(|(_, peer)| peer.beat.share >= share * STRONGER)
}

/// Tries to become the controller.
async fn take_place<P: Platform>(node: &Rc<Node<P>>) {
    let (known, revision) = match read(node).await {
        Ok(found) => found,
        Err(error) => return log::debug!("the controller's record cannot be read: {error}"),
    };
    if adopt(node, &known) {
        return;
    }
    let asked = node.now();
    let record = ControlRecord {
        node: node.name().to_string(),
        incarnation: node.incarnation,
        term: known.term.max(node.control.borrow().term) + 1,
    };
    let value = record.encode_to_vec();
    let written = node.platform.write(Kind::Control, RECORD, revision, &value).await;
    node.note_store(!matches!(written, Err(StoreError::Silent | StoreError::Refused { .. })));
    if let Err(error) = written {
        info!(event = "place_not_taken", term = record.term; "{error}");
        sleep(RANK_PAUSE.mul_f64(1.0 + fastrand::f64())).await;
        return;
    }
    let owners = crate::follow::learn(node, Kind::Owners).await;
    crate::follow::replace(node, Kind::Owners, owners);
    let mut control = node.control.borrow_mut();
    control.step_down();
    control.term = record.term;
    control.leads = true;
    control.since = node.now();
    control.quiet = (known.incarnation == 0).then_some(control.since);
    control.previous = Some((Name::from(known.node), known.incarnation));
    control.confirmed = asked;
    control.fences = 0;
    info!(event = "controller", term = record.term, revision; "this node grants keys now");
}

/// Takes note of a controller that the record names and that was not known; returns whether there
/// is one, which then gets the time to be heard.
fn adopt<P: Platform>(node: &Rc<Node<P>>, record: &ControlRecord) -> bool {
    let now = node.now();
    let mut control = node.control.borrow_mut();
    let newer = record.term > control.term && record.incarnation != 0;
    if newer && record.incarnation != node.incarnation {
        control.term = record.term;
        control.chief = Some((Name::from(record.node.as_str()), record.incarnation));
        control.heard = now;
        control.silence = Beat::default().lost_after();
        control.doubt = Duration::ZERO;
        return true;
    }
    false
}

/// Reads the controller's record and its revision.
async fn read<P: Platform>(node: &Rc<Node<P>>) -> Result<(ControlRecord, u64), StoreError> {
    let found = node.platform.read(Kind::Control, RECORD).await;
    node.note_store(found.is_ok());
    let Some(object) = found? else { return Ok((ControlRecord::default(), 0)) };
    let record = ControlRecord::decode(object.value.as_slice()).map_err(|error| {
        warn!(event = "bad_record"; "the controller's record cannot be read: {error}");
        StoreError::Malformed
    });
    Ok((record.unwrap_or_default(), object.revision))
}

/// Asks the store in the background whether this node still is the controller.
fn confirm<P: Platform>(node: &Rc<Node<P>>) {
    let now = node.now();
    {
        let mut control = node.control.borrow_mut();
        if control.confirming || now.since(control.confirmed) < CONFIRM_EVERY {
            return;
        }
        control.confirming = true;
    }
    let node = node.clone();
    spawn_local(async move {
        let found = read(&node).await;
        let mut control = node.control.borrow_mut();
        control.confirming = false;
        let Ok((record, _)) = found else { return };
        if record.term == control.term && record.incarnation == node.incarnation {
            control.confirmed = now;
        } else if control.leads {
            control.depose(record.term);
        }
    });
}

/// Gives the place up in the store, so that another node takes it at once; no orders are given from
/// now on, as the answer may come later than the other node.
pub async fn resign<P: Platform>(node: &Rc<Node<P>>) {
    if !node.control.borrow().leads {
        return;
    }
    node.control.borrow_mut().resigning = true;
    let Ok((mut record, revision)) = read(node).await else {
        node.control.borrow_mut().resigning = node.leaving.get();
        return;
    };
    if record.incarnation != node.incarnation {
        return;
    }
    record.node.clear();
    record.incarnation = 0;
    let value = record.encode_to_vec();
    let written = node.platform.write(Kind::Control, RECORD, revision, &value).await.is_ok();
    info!(event = "resigned", term = record.term, written; "this node grants keys no more");
    node.control.borrow_mut().step_down();
    peers::send_beats(node, node.now());
}
