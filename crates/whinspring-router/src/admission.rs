//! Where requests wait: each pool of servers has one gate on one node.
//!
//! The node is drawn from those that are alive by the pool's name, so that all nodes name the
//! same one without agreeing on it. Where they differ, or where the node falls silent, requests
//! go through a gate of their own node; servers hold a short queue for what that lets through.
//!
//! A link that breaks loses what was on its way. A request that gets no answer is asked again, and
//! a gate asks the nodes of requests that have been at their servers for long whether they still
//! are.

use {
    crate::{
        beliefs::Server,
        message::{AskWire, Body, Check, Done, Go, Refuse},
        node::Node,
        platform::Platform,
    },
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
        gate::{Ask, Ending, Gate, Ticket, Verdict},
        name::Name,
        rank::rank,
        time::Tick,
    },
};

/// Time between two looks at whether a gate's node is alive.
const LIVENESS_INTERVAL: Duration = Duration::from_millis(150);

/// Time without an answer after which a gate is asked again.
const RESEND_AFTER: Duration = Duration::from_millis(600);

/// Time after which a gate asks whether a request is still at its server, and between two such
/// questions.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time between two rounds of all gates of a node.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which a request whose end was missed is forgotten.
const EXPIRE_AFTER: Duration = Duration::from_secs(15);

/// Time before the end of a leaving server's service at which it gets its last request.
const DRAIN_MARGIN: Duration = Duration::from_millis(700);

/// What a gate answers.
pub type Decision = Result<Name, Duration>;

/// Gates of this node, and requests that wait at any gate.
#[derive(Debug, Default)]
pub struct Admission {
    /// Gates by pool.
    gates: HashMap<Name, Gate>,
    /// Requests of this node that wait.
    waiting: HashMap<u64, oneshot::Sender<Decision>>,
    /// Requests of this node that wait or are at a server.
    active: HashSet<u64>,
    /// Number of the last request.
    last_number: u64,
    /// When requests at servers were last asked for.
    last_check: Tick,
}

impl Admission {
    /// Takes the answer to a request of this node.
    pub fn resolve(&mut self, number: u64, answer: Decision) {
        if let Some(waiting) = self.waiting.remove(&number) {
            let _ = waiting.send(answer);
        }
    }
}

/// What a request asks of a gate.
#[derive(Debug, Clone)]
pub struct AdmissionRequest {
    /// Pool that may run it.
    pub pool: Name,
    /// Urgency; zero is the highest.
    pub priority: u8,
    /// Point up to which an answer is of full use.
    pub target: Tick,
    /// Point after which no answer is of use.
    pub deadline: Tick,
    /// Server to be avoided.
    pub avoid: Option<Name>,
}

/// A request that a gate let through, until it is dropped.
pub struct Permit<P: Platform> {
    /// Node of the request.
    node: Rc<Node<P>>,
    /// Node of the gate.
    gate_node: Name,
    /// Pool of the gate.
    pool: Name,
    /// Number of the request.
    number: u64,
    /// How it ended.
    pub ending: Ending,
}

impl<P: Platform> Drop for Permit<P> {
    fn drop(&mut self) {
        {
            let mut admission = self.node.admission.borrow_mut();
            admission.waiting.remove(&self.number);
            admission.active.remove(&self.number);
        }
        let done = Done {
            pool: self.pool.to_string(),
            number: self.number,
            ending: Done::number_of(self.ending),
        };
        let from = self.node.name().clone();
        if self.gate_node == from {
            self::handle_done(&self.node, &from, &done);
        } else {
            self.node.send(&self.gate_node, Body::Done(done));
        }
    }
}

/// Waits for a turn; the server that shall run the request, or the time until the caller may come
/// back.
pub async fn admit<P: Platform>(
    node: &Rc<Node<P>>,
    request: &AdmissionRequest,
) -> (Permit<P>, Result<Name, Duration>) {
    let gate_node = gate_node(node, &request.pool);
    let (mut permit, mut answer) = enqueue(node, request, gate_node);
    let mut last_ask = node.now();
    loop {
        match timeout(LIVENESS_INTERVAL, &mut answer).await {
            Ok(Ok(answer)) => return (permit, answer),
            Ok(Err(_)) => return (permit, Err(LIVENESS_INTERVAL)),
            Err(_) => {}
        }
        if node.now().since(last_ask) >= RESEND_AFTER {
            last_ask = node.now();
            permit.gate_node = send_ask(node, request, &permit.gate_node, permit.number);
        }
        let local = permit.gate_node == *node.name();
        if !local && !node.peers.borrow().is_live(&permit.gate_node, node.now()) {
            node.metrics.count("gate_bypassed");
            log::info!(event = "gate_bypassed", pool = request.pool.as_str(), home = permit.gate_node.as_str(); "a gate has fallen silent");
            (permit, answer) = enqueue(node, request, node.name().clone());
        }
    }
}

/// Gives a request a number and asks a gate.
fn enqueue<P: Platform>(
    node: &Rc<Node<P>>,
    request: &AdmissionRequest,
    gate_node: Name,
) -> (Permit<P>, oneshot::Receiver<Decision>) {
    let (send, answer) = oneshot::channel();
    let number = {
        let mut admission = node.admission.borrow_mut();
        admission.last_number += 1;
        let number = admission.last_number;
        admission.waiting.insert(number, send);
        admission.active.insert(number);
        number
    };
    let gate_node = send_ask(node, request, &gate_node, number);
    let pool = request.pool.clone();
    (Permit { node: node.clone(), gate_node, pool, number, ending: Ending::Unused }, answer)
}

/// Asks the gate of a node, or that of this node if there is no link to it; returns which.
fn send_ask<P: Platform>(
    node: &Rc<Node<P>>,
    request: &AdmissionRequest,
    gate_node: &Name,
    number: u64,
) -> Name {
    let now = node.now();
    let ask = AskWire {
        pool: request.pool.to_string(),
        number,
        priority: request.priority.into(),
        target: request.target.since(now).as_millis() as u32,
        deadline: request.deadline.since(now).as_millis() as u32,
        avoid: request.avoid.clone().unwrap_or_default().to_string(),
    };
    let own = node.name();
    if gate_node != own && node.send(gate_node, Body::Ask(ask.clone())) {
        return gate_node.clone();
    }
    handle_ask(node, own, ask);
    own.clone()
}

/// Returns the node that has the gate of a pool.
fn gate_node<P: Platform>(node: &Rc<Node<P>>, pool: &Name) -> Name {
    let view = node.view.borrow();
    let near = view.servers.get(pool).map(|server| &server.entry.domain);
    let peers = node.peers.borrow();
    let now = node.now();
    let score = |name: &Name, domain: &str| {
        (near.is_some_and(|near| near == domain), rank(&[name, pool], 0))
    };
    let own = (score(node.name(), &node.settings.domain), node.name());
    let others = peers
        .live(now)
        .filter(|(_, peer)| !peer.beat.leaving)
        .map(|(name, peer)| (score(name, &peer.beat.domain), name));
    others.fold(own, |best, other| best.max(other)).1.clone()
}

/// Takes a request at a gate of this node.
pub fn handle_ask<P: Platform>(node: &Rc<Node<P>>, from: &Name, ask: AskWire) {
    let now = node.now();
    let domain = match node.peers.borrow().nodes.get(from) {
        Some(peer) => Name::from(peer.beat.domain.as_str()),
        None => node.settings.domain.clone(),
    };
    let pool = Name::from(ask.pool);
    let ask = Ask {
        ticket: Ticket { node: from.clone(), number: ask.number },
        domain,
        priority: ask.priority as u8,
        target: now + Duration::from_millis(ask.target.into()),
        deadline: now + Duration::from_millis(ask.deadline.into()),
        avoid: (!ask.avoid.is_empty()).then(|| ask.avoid.into()),
    };
    refresh(node, &pool);
    let placed = {
        let mut admission = node.admission.borrow_mut();
        let Some(gate) = admission.gates.get_mut(&pool) else { return };
        let placed = gate.placed(&ask.ticket).cloned();
        if placed.is_none() {
            gate.ask(ask.clone());
        }
        placed
    };
    match placed {
        Some(server) => send_verdict(node, Verdict::Go(ask.ticket, server)),
        None => step(node, &pool, now),
    }
}

/// Takes note that a request has left its server.
pub fn handle_done<P: Platform>(node: &Rc<Node<P>>, from: &Name, done: &Done) {
    let pool = Name::from(done.pool.as_str());
    let ticket = Ticket { node: from.clone(), number: done.number };
    let now = node.now();
    if let Some(gate) = node.admission.borrow_mut().gates.get_mut(&pool) {
        gate.done(&ticket, done.ending(), now);
    }
    step(node, &pool, now);
}

/// Forgets the requests of a node at all gates.
pub fn drop_node<P: Platform>(node: &Rc<Node<P>>, name: &str) {
    node.admission.borrow_mut().gates.values_mut().for_each(|gate| gate.drop_node(name));
}

/// Decides what can be decided at a gate, and tells the nodes.
fn step<P: Platform>(node: &Rc<Node<P>>, pool: &Name, now: Tick) {
    let verdicts = match node.admission.borrow_mut().gates.get_mut(pool) {
        Some(gate) => gate.step(now),
        None => return,
    };
    for verdict in verdicts {
        send_verdict(node, verdict);
    }
}

/// Tells the node of a request what was decided.
fn send_verdict<P: Platform>(node: &Rc<Node<P>>, verdict: Verdict) {
    let (ticket, answer) = match verdict {
        Verdict::Go(ticket, server) => (ticket, Ok(server)),
        Verdict::Refuse(ticket, retry) => (ticket, Err(retry)),
    };
    let number = ticket.number;
    if ticket.node == *node.name() {
        node.admission.borrow_mut().resolve(number, answer);
        return;
    }
    let body = match answer {
        Ok(server) => Body::Go(Go { number, server: server.to_string() }),
        Err(retry) => Body::Refuse(Refuse { number, retry: retry.as_millis() as u32 }),
    };
    node.send(&ticket.node, body);
}

/// Tells a gate which of the requests that it asks for have left their servers.
pub fn handle_check<P: Platform>(node: &Rc<Node<P>>, from: &Name, check: &Check) {
    let gone: Vec<u64> = {
        let admission = node.admission.borrow();
        check.numbers.iter().copied().filter(|number| !admission.active.contains(number)).collect()
    };
    for number in gone {
        node.metrics.count("end_told_again");
        let ending = Done::number_of(Ending::Unused);
        node.send(from, Body::Done(Done { pool: check.pool.clone(), number, ending }));
    }
}

/// Asks the nodes of requests that have been at their servers for long whether they still are.
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
                gate.placed_before(now - CHECK_INTERVAL).filter(|it| it.node != *node.name());
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

/// Tells a gate what is known of its servers.
fn refresh<P: Platform>(node: &Rc<Node<P>>, pool: &Name) {
    let view = node.view.borrow();
    let mut admission = node.admission.borrow_mut();
    let gate = admission.gates.entry(pool.clone()).or_default();
    let now = node.now();
    let keyed = view.servers.contains_key(pool);
    let matches = |name: &Name, service: &Name| if keyed { name == pool } else { service == pool };
    for server in view.servers.values() {
        if matches(&server.name, &server.entry.service) {
            let open = accepts_requests(node, server, now) && (keyed || server.leaving.is_none());
            gate.set_server(&server.name, &server.entry.domain, server.entry.slots, open);
        }
    }
    gate.retain(|name| view.servers.contains_key(name));
}

/// Returns whether a server may be sent requests, as far as this node knows: one that leaves only
/// for a while after it has said so.
pub fn accepts_requests<P: Platform>(node: &Rc<Node<P>>, server: &Server, now: Tick) -> bool {
    let drain = Duration::from_millis(node.settings.limits.drain_ms.into());
    let last = drain.saturating_sub(DRAIN_MARGIN);
    server.leaving.is_none_or(|since| now < since + last)
}

/// Looks at all gates of this node from time to time, for ever.
pub async fn run<P: Platform>(node: Rc<Node<P>>) {
    loop {
        sleep(TICK_INTERVAL).await;
        let now = node.now();
        send_checks(&node, now);
        let pools: Vec<Name> = {
            let mut admission = node.admission.borrow_mut();
            admission.gates.values_mut().for_each(|gate| gate.expire(now - EXPIRE_AFTER));
            let busy = admission.gates.iter().filter(|(_, gate)| gate.waiting() > 0);
            busy.map(|(pool, _)| pool.clone()).collect()
        };
        for pool in pools {
            refresh(&node, &pool);
            step(&node, &pool, now);
        }
    }
}

/// Waits until beliefs change or `until` has come.
pub async fn wait_for_change<P: Platform>(node: &Rc<Node<P>>, until: Tick) {
    let left = until.since(node.now());
    let end = tokio::time::Instant::now() + left;
    tokio::select! {
        () = node.changed.notified() => {}
        () = sleep_until(end) => {}
    }
}
