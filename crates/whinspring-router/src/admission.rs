//! Admission control: each pool of servers has one gate, on one node.
//!
//! The node is chosen among the live nodes by rendezvous hashing of the pool name, so that all
//! nodes choose the same one without coordination. While their views differ, or when that node
//! stops responding, requests use a gate on their own node; servers keep a short queue for the
//! excess load that this admits. Such a gate gives a server that limits its requests, or is cold, only
//! the share of one node, and the gate of such a server is chosen among the nodes that keep limits.
//!
//! Messages in flight are lost when a link breaks. Therefore a request without a decision is sent
//! to the gate again, and a gate asks the nodes of long-running requests whether these still run.
//!
//! Messages may also arrive late: what was queued for a node reaches the next process under its name.
//! The numbers of a process therefore begin at a random one, so that a decision for a request of an
//! earlier process finds no request.

use {
    crate::{
        cluster::Server,
        cold, limits,
        message::{Admit, Admitted, Body, Check, Done, Heartbeat, Rejected, ServerLoad},
        node::Node,
        notices::Usable,
        platform::Platform,
    },
    log::info,
    std::{
        collections::{HashMap, HashSet},
        rc::Rc,
        time::Duration,
    },
    tokio::{
        sync::oneshot,
        time::{sleep, sleep_until, timeout},
    },
    whinspring::{
        cold::Seat,
        gate::{
            Decision, Gate, PendingRequest, ServerOutcome, Ticket, health::HealthChange, load::Load,
        },
        limits::Spacing,
        name::Name,
        notices::Purpose,
        rendezvous::{rank, weighted_rank},
        time::Tick,
    },
};

/// Interval between liveness checks of the gate's node while a request waits.
const LIVENESS_INTERVAL: Duration = Duration::from_millis(150);

/// Time without a decision after which a request is sent to the gate again.
const RESEND_AFTER: Duration = Duration::from_millis(600);

/// Age from which a gate asks whether a request still runs, and interval between such checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Interval at which all gates of a node are re-evaluated.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Age at which a running request is dropped, as the message with its end was lost.
const EXPIRE_AFTER: Duration = Duration::from_secs(15);

/// Age at which the load that a server has reported is no longer passed on: a response may be read
/// for seconds after its head, and the gate counts the age from the end.
const LOAD_TTL: Duration = Duration::from_millis(200);

/// Interval between log lines on the overflow of a pool's failure domains; small pools change often.
const OVERFLOW_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Bits of the random number from which a process counts its requests: a number takes seven bytes in
/// a message, and those of two processes do not meet.
const FIRST_NUMBER_BITS: u32 = 48;

/// Result of a request at a gate: the server to use, or the time after which the caller may retry.
pub type GateResult = Result<Name, Duration>;

/// Gates on this node, and requests of this node at any gate.
#[derive(Debug, Default)]
pub struct Admission {
    /// Gates by pool.
    gates: HashMap<Name, Gate>,
    /// Requests of this node that wait for a decision, by number.
    waiting: HashMap<u64, oneshot::Sender<GateResult>>,
    /// Requests of this node that wait or run.
    active: HashSet<u64>,
    last_number: u64,
    last_check: Tick,
    /// Number of overflowing domains by pool and when it was logged.
    overflows: HashMap<Name, (usize, Tick)>,
}

impl Admission {
    /// Creates the state of a process; its requests get numbers that no other process gives out.
    pub fn new(incarnation: u64) -> Self {
        let last_number = incarnation >> (u64::BITS - FIRST_NUMBER_BITS);
        Self { last_number, ..Self::default() }
    }
}

/// Passes a decision on to the request that waits for it. Counts one that nothing waits for: its
/// request has ended, or was one of an earlier process of this node.
pub fn resolve<P: Platform>(node: &Rc<Node<P>>, number: u64, result: GateResult) {
    let waiting = node.admission.borrow_mut().waiting.remove(&number);
    match waiting {
        Some(waiting) => drop(waiting.send(result)),
        None => node.metrics.count("decision_unmatched"),
    }
}

#[derive(Debug, Clone)]
pub struct AdmissionRequest {
    /// Pool that may run the request: a server, or a service without keys.
    pub pool: Name,
    /// Priority; zero is the highest.
    pub priority: u8,
    /// Time by which a response is desired.
    pub target: Tick,
    /// Time after which a response is useless.
    pub deadline: Tick,
    /// Server that failed the previous attempt; used only if no other is free.
    pub avoid: Option<Name>,
    /// Servers that must not be chosen.
    pub exclude: Vec<Name>,
}

/// A place at a gate, queued or running; its drop reports the end of the request to the gate.
pub struct Permit<P: Platform> {
    node: Rc<Node<P>>,
    gate_node: Name,
    pool: Name,
    number: u64,
    /// Outcome to report to the gate.
    pub outcome: ServerOutcome,
    /// Load that the server reported, and when the report was read.
    pub load: Option<(Load, Tick)>,
}

impl<P: Platform> Permit<P> {
    pub fn gate_node(&self) -> &Name {
        &self.gate_node
    }
}

impl<P: Platform> Drop for Permit<P> {
    fn drop(&mut self) {
        {
            let mut admission = self.node.admission.borrow_mut();
            admission.waiting.remove(&self.number);
            admission.active.remove(&self.number);
        }
        let now = self.node.now();
        let load = self.load.filter(|(_, read)| now.since(*read) < LOAD_TTL);
        let done = Done {
            pool: self.pool.to_string(),
            number: self.number,
            outcome: Done::number_of(self.outcome),
            load: load.map(|(load, _)| load.into()),
        };
        let from = self.node.name().clone();
        if self.gate_node == from {
            self::handle_done(&self.node, &from, &done);
        } else {
            self.node.send(&self.gate_node, Body::Done(done));
        }
    }
}

/// Waits for the decision of the gate.
pub async fn admit<P: Platform>(
    node: &Rc<Node<P>>,
    request: &AdmissionRequest,
) -> (Permit<P>, Result<Name, Duration>) {
    let gate_node = gate_node(node, &request.pool, Needs::of(node, &request.pool));
    let (mut permit, mut decision) = enqueue(node, request, gate_node);
    let mut last_sent = node.now();
    loop {
        match timeout(LIVENESS_INTERVAL, &mut decision).await {
            Ok(Ok(decision)) => return (permit, decision),
            Ok(Err(_)) => return (permit, Err(LIVENESS_INTERVAL)),
            Err(_) => {}
        }
        if node.now().since(last_sent) >= RESEND_AFTER {
            last_sent = node.now();
            permit.gate_node = send_admit(node, request, &permit.gate_node, permit.number);
        }
        let local = permit.gate_node == *node.name();
        if !local && !node.peers.borrow().is_live(&permit.gate_node, node.now()) {
            node.metrics.count("gate_bypassed");
            info!(event = "gate_bypassed", pool = request.pool.as_str(), home = permit.gate_node.as_str(); "the node of the gate stopped responding; using the local gate");
            (permit, decision) = enqueue(node, request, node.name().clone());
        }
    }
}

/// Assigns a number to a request and sends it to a gate.
fn enqueue<P: Platform>(
    node: &Rc<Node<P>>,
    request: &AdmissionRequest,
    gate_node: Name,
) -> (Permit<P>, oneshot::Receiver<GateResult>) {
    let (send, decision) = oneshot::channel();
    let number = {
        let mut admission = node.admission.borrow_mut();
        admission.last_number += 1;
        let number = admission.last_number;
        admission.waiting.insert(number, send);
        admission.active.insert(number);
        number
    };
    let gate_node = send_admit(node, request, &gate_node, number);
    let pool = request.pool.clone();
    let outcome = ServerOutcome::NotSent;
    (Permit { node: node.clone(), gate_node, pool, number, outcome, load: None }, decision)
}

/// Sends a request to the gate on `gate_node`, or on this node if there is no link; returns the
/// node used.
fn send_admit<P: Platform>(
    node: &Rc<Node<P>>,
    request: &AdmissionRequest,
    gate_node: &Name,
    number: u64,
) -> Name {
    let now = node.now();
    let admit = Admit {
        pool: request.pool.to_string(),
        number,
        priority: request.priority.into(),
        target: request.target.since(now).as_millis() as u32,
        deadline: request.deadline.since(now).as_millis() as u32,
        avoid: request.avoid.clone().unwrap_or_default().to_string(),
        exclude: request.exclude.iter().map(Name::to_string).collect(),
        limits: limits::known(node, &request.pool),
    };
    let own = node.name();
    if gate_node != own && node.send(gate_node, Body::Admit(admit.clone())) {
        return gate_node.clone();
    }
    handle_admit(node, own, admit);
    own.clone()
}

/// What the gate of a pool has to keep.
#[derive(Debug, Clone, Copy)]
struct Needs {
    /// A server has a limit.
    limits: bool,
    /// A server is cold and has a limit for that time.
    cold: bool,
}

impl Needs {
    /// Returns the needs of a pool, as far as this node knows.
    fn of<P: Platform>(node: &Node<P>, pool: &Name) -> Self {
        let view = node.view.borrow();
        let cold = cold::has_limit(&node.settings.limits, &view, pool, node.now());
        Self { limits: limits::has_limit(&view, pool), cold }
    }

    /// Returns whether the gates of a node keep it.
    fn are_kept_by(self, heartbeat: &Heartbeat) -> bool {
        (heartbeat.keeps_limits || !self.limits) && (heartbeat.keeps_cold || !self.cold)
    }
}

/// Returns the node of the gate of a pool; prefers the failure domain of the server.
///
/// The gate of a service with all its servers lies on one of the nodes with the most CPU, and those of
/// single servers on nodes in proportion to their CPU. Versions that hash the names alone would choose
/// another node, so that all nodes do as they do while one of them is live.
fn gate_node<P: Platform>(node: &Rc<Node<P>>, pool: &Name, needs: Needs) -> Name {
    let view = node.view.borrow();
    let near = view.servers.get(pool).map(|server| &server.entry.domain);
    let peers = node.peers.borrow();
    let now = node.now();
    let is_weighted = peers.live(now).all(|(_, peer)| peer.heartbeat.weighs_gates);
    let score = |name: &Name, domain: &str, cpu: u32| {
        let is_near = near.is_some_and(|near| near == domain);
        match (is_weighted, near) {
            (false, _) => (is_near, 0, rank(&[name, pool], 0)),
            (true, None) => (is_near, cpu, rank(&[name, pool], 0)),
            (true, Some(_)) => (is_near, 0, weighted_rank(&[name, pool], cpu)),
        }
    };
    let own_cpu = node.settings.limits.cpu_percent;
    let own = (score(node.name(), &node.settings.domain, own_cpu), node.name());
    let others = peers
        .live(now)
        .filter(|(_, peer)| !peer.heartbeat.leaving && needs.are_kept_by(&peer.heartbeat))
        .map(|(name, peer)| (score(name, &peer.heartbeat.domain, peer.heartbeat.cpu_share), name));
    others.fold(own, |best, other| best.max(other)).1.clone()
}

/// Queues a request at a gate of this node. A repeated request that already runs gets its decision
/// again.
pub fn handle_admit<P: Platform>(node: &Rc<Node<P>>, from: &Name, admit: Admit) {
    let now = node.now();
    let domain = match node.peers.borrow().nodes.get(from) {
        Some(peer) => Name::from(peer.heartbeat.domain.as_str()),
        None => node.settings.domain.clone(),
    };
    let pool = Name::from(admit.pool);
    let request = PendingRequest {
        ticket: Ticket { node: from.clone(), number: admit.number },
        domain,
        priority: admit.priority as u8,
        target: now + Duration::from_millis(admit.target.into()),
        deadline: now + Duration::from_millis(admit.deadline.into()),
        avoid: (!admit.avoid.is_empty()).then(|| admit.avoid.into()),
        exclude: admit.exclude.into_iter().map(Name::from).collect(),
    };
    limits::learn(node, &admit.limits);
    refresh(node, &pool);
    let placed = {
        let mut admission = node.admission.borrow_mut();
        let Some(gate) = admission.gates.get_mut(&pool) else { return };
        let placed = gate.assigned_server(&request.ticket).cloned();
        if placed.is_none() {
            gate.enqueue(request.clone());
        }
        placed
    };
    match placed {
        Some(server) => send_decision(node, Decision::Admit(request.ticket, server)),
        None => step(node, &pool, now),
    }
}

/// Removes a finished or abandoned request from a gate of this node.
pub fn handle_done<P: Platform>(node: &Rc<Node<P>>, from: &Name, done: &Done) {
    let pool = Name::from(done.pool.as_str());
    let ticket = Ticket { node: from.clone(), number: done.number };
    let now = node.now();
    if let Some(gate) = node.admission.borrow_mut().gates.get_mut(&pool) {
        let outcome = done.outcome();
        if outcome == ServerOutcome::Shed {
            node.metrics.count("server_shed");
        }
        let load = done.load.and_then(ServerLoad::load);
        gate.complete_with_load(&ticket, outcome, load, now);
    }
    step(node, &pool, now);
}

/// Removes the requests of a node from all gates.
pub fn drop_node<P: Platform>(node: &Rc<Node<P>>, name: &str) {
    node.admission.borrow_mut().gates.values_mut().for_each(|gate| gate.remove_node(name));
}

/// Sends the decisions that a gate can make now.
fn step<P: Platform>(node: &Rc<Node<P>>, pool: &Name, now: Tick) {
    let (decisions, changes) = match node.admission.borrow_mut().gates.get_mut(pool) {
        Some(gate) => (gate.decide(now), gate.take_health_changes()),
        None => return,
    };
    changes.iter().for_each(|change| log_health(node, pool, change));
    for decision in decisions {
        send_decision(node, decision);
    }
}

fn log_health<P: Platform>(node: &Rc<Node<P>>, pool: &Name, change: &HealthChange) {
    let pool = pool.as_str();
    match change {
        HealthChange::Ejected(server) => {
            node.metrics.count("server_ejected");
            info!(event = "server_ejected", server = server.as_str(), pool; "most of the last requests of the server failed; it gets probes only");
        }
        HealthChange::Readmitted(server) => {
            node.metrics.count("server_readmitted");
            info!(event = "server_readmitted", server = server.as_str(), pool; "the server gets requests again");
        }
    }
}

fn send_decision<P: Platform>(node: &Rc<Node<P>>, decision: Decision) {
    let (ticket, result) = match decision {
        Decision::Admit(ticket, server) => (ticket, Ok(server)),
        Decision::Reject(ticket, retry) => (ticket, Err(retry)),
    };
    let number = ticket.number;
    if ticket.node == *node.name() {
        resolve(node, number, result);
        return;
    }
    let body = match result {
        Ok(server) => {
            let limit = limits::known_of(node, &server);
            Body::Admitted(Admitted { number, server: server.to_string(), limit })
        }
        Err(retry) => Body::Rejected(Rejected { number, retry_ms: retry.as_millis() as u32 }),
    };
    node.send(&ticket.node, body);
}

/// Reports to a gate which of the listed requests have ended.
pub fn handle_check<P: Platform>(node: &Rc<Node<P>>, from: &Name, check: &Check) {
    let gone: Vec<u64> = {
        let admission = node.admission.borrow();
        check.numbers.iter().copied().filter(|number| !admission.active.contains(number)).collect()
    };
    for number in gone {
        node.metrics.count("end_told_again");
        let outcome = Done::number_of(ServerOutcome::NotSent);
        let done = Done { pool: check.pool.clone(), number, outcome, load: None };
        node.send(from, Body::Done(done));
    }
}

/// Asks other nodes whether their long-running requests still run.
fn send_checks<P: Platform>(node: &Rc<Node<P>>, now: Tick) {
    let mut pending: HashMap<(Name, Name), Vec<u64>> = HashMap::new();
    {
        let mut admission = node.admission.borrow_mut();
        if now.since(admission.last_check) < CHECK_INTERVAL {
            return;
        }
        admission.last_check = now;
        for (pool, gate) in &admission.gates {
            let others =
                gate.admitted_before(now - CHECK_INTERVAL).filter(|it| it.node != *node.name());
            for ticket in others {
                let numbers = pending.entry((ticket.node.clone(), pool.clone())).or_default();
                numbers.push(ticket.number);
            }
        }
    }
    for ((name, pool), numbers) in pending {
        node.send(&name, Body::Check(Check { pool: pool.to_string(), numbers }));
    }
}

/// Place of a gate on this node: all nodes use one gate together, but for gates that are not where
/// the others look for them.
#[derive(Debug, Clone, Copy)]
struct Place {
    /// Parts into which a limit of the pool's servers is divided.
    parts: usize,
    /// Position among the gates of the pool, if a server of it is cold and has a limit.
    seat: Option<Seat>,
}

impl Place {
    fn of<P: Platform>(node: &Rc<Node<P>>, pool: &Name) -> Self {
        let needs = Needs::of(node, pool);
        if !needs.limits && !needs.cold {
            return Self { parts: 1, seat: None };
        }
        let is_elected = gate_node(node, pool, needs) == *node.name();
        let parts = match is_elected || !needs.limits {
            true => 1,
            false => node.peers.borrow().live(node.now()).count() + 1,
        };
        Self { parts, seat: needs.cold.then(|| cold::seat(node, is_elected)) }
    }
}

/// Updates the servers of a gate.
fn refresh<P: Platform>(node: &Rc<Node<P>>, pool: &Name) {
    let place = Place::of(node, pool);
    let view = node.view.borrow();
    let mut admission = node.admission.borrow_mut();
    let gate = admission.gates.entry(pool.clone()).or_default();
    let now = node.now();
    let usable = Usable::of(node);
    let mut update = |server: &Server, purpose| {
        let open = usable.check(&view, &server.name, purpose, now).is_ok();
        gate.set_server(&server.name, &server.entry.domain, server.entry.slots, open);
        let limit = view.limits.rate(&server.name, server.life());
        let limit = limit.map(|rate| Spacing::from(rate.share(place.parts)));
        let cold = place.seat.and_then(|seat| cold::spacing(node, &view, server, seat));
        let lower = limit.zip(cold).map(|(limit, cold)| limit.combine(cold));
        gate.set_spacing(&server.name, lower.or(limit).or(cold), now);
    };
    if let Some(server) = view.servers.get(pool) {
        update(server, Purpose::PlaceKeyed);
    } else {
        let matches = |server: &&Server| server.entry.service == *pool;
        view.servers.values().filter(matches).for_each(|server| update(server, Purpose::Place));
    }
    gate.retain_servers(|name| view.servers.contains_key(name));
}

/// Re-evaluates all gates of this node periodically.
pub async fn run<P: Platform>(node: Rc<Node<P>>) {
    loop {
        sleep(TICK_INTERVAL).await;
        let now = node.now();
        send_checks(&node, now);
        let pools: Vec<Name> = {
            let mut admission = node.admission.borrow_mut();
            admission.gates.values_mut().for_each(|gate| gate.expire_running(now - EXPIRE_AFTER));
            let is_busy = |gate: &Gate| gate.queue_len() > 0 || gate.overflowing() > 0;
            let busy = admission.gates.iter().filter(|(_, gate)| is_busy(gate));
            busy.map(|(pool, _)| pool.clone()).collect()
        };
        for pool in pools {
            refresh(&node, &pool);
            step(&node, &pool, now);
        }
        report_overflow(&node, now);
    }
}

/// Sets the gauge of the domains that requests leave, and logs changes.
fn report_overflow<P: Platform>(node: &Rc<Node<P>>, now: Tick) {
    let mut admission = node.admission.borrow_mut();
    let Admission { gates, overflows, .. } = &mut *admission;
    let mut total = 0;
    for (pool, gate) in gates {
        let domains = gate.overflowing();
        total += domains;
        let (before, logged) = overflows.get(pool).copied().unwrap_or_default();
        if before != domains && now.since(logged) >= OVERFLOW_LOG_INTERVAL {
            overflows.insert(pool.clone(), (domains, now));
            log::info!(event = "overflow", pool = pool.as_str(), before, domains; "failure domains that requests leave because of their load");
        }
    }
    node.metrics.overflowing.set(total as i64);
}

/// Waits until the view changes, at most to `until`.
pub async fn wait_for_change<P: Platform>(node: &Rc<Node<P>>, until: Tick) {
    let left = until.since(node.now());
    let end = tokio::time::Instant::now() + left;
    tokio::select! {
        () = node.changed.notified() => {}
        () = sleep_until(end) => {}
    }
}
