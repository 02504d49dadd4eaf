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
        gate::{Decision, Gate, PendingRequest, ServerOutcome, Ticket},
        name::Name,
        rendezvous::rank,
        time::Tick,
    },
};

/// Time between two looks at whether a gate's node is alive.
const CHECK: Duration = Duration::from_millis(150);

/// Time without an answer after which a gate is asked again.
const ASK_AGAIN: Duration = Duration::from_millis(600);

/// Time after which a gate asks whether a request is still at its server, and between two such
/// questions.
const CHECK_AFTER: Duration = Duration::from_millis(1_000);

/// Time between two rounds of all gates of a node.
const ROUND: Duration = Duration::from_millis(100);

/// Time after which a request whose end was missed is forgotten.
const MISSED_AFTER: Duration = Duration::from_secs(15);

/// Time before the end of a leaving server's service at which it gets its last request.
const LEAVE_MARGIN: Duration = Duration::from_millis(700);

/// What a gate answers.
pub type Answer = Result<Name, Duration>;

/// Gates of this node, and requests that wait at any gate.
#[derive(Debug, Default)]
pub struct Turns {
    /// Gates by pool.
    gates: HashMap<Name, Gate>,
    /// Requests of this node that wait.
    waiting: HashMap<u64, oneshot::Sender<Answer>>,
    /// Requests of this node that wait or are at a server.
    held: HashSet<u64>,
    /// Number of the last request.
    last: u64,
    /// When requests at servers were last asked for.
    checked: Tick,
}

impl Turns {
    /// Takes the answer to a request of this node.
    pub fn answer(&mut self, number: u64, answer: Answer) {
        if let Some(waiting) = self.waiting.remove(&number) {
            let _ = waiting.send(answer);
        }
    }
}

/// What a request asks of a gate.
#[derive(Debug, Clone)]
pub struct Wish {
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
pub struct Turn<P: Platform> {
    /// Node of the request.
    node: Rc<Node<P>>,
    /// Node of the gate.
    home: Name,
    /// Pool of the gate.
    pool: Name,
    /// Number of the request.
    number: u64,
    /// How it ended.
    pub ending: ServerOutcome,
}

impl<P: Platform> Drop for Turn<P> {
    fn drop(&mut self) {
        {
            let mut turns = self.node.turns.borrow_mut();
            turns.waiting.remove(&self.number);
            turns.held.remove(&self.number);
        }
        let done = Done {
            pool: self.pool.to_string(),
            number: self.number,
            ending: Done::number_of(self.ending),
        };
        let from = self.node.name().clone();
        if self.home == from {
            self::done(&self.node, &from, &done);
        } else {
            self.node.send(&self.home, Body::Done(done));
        }
    }
}

/// Waits for a turn; the server that shall run the request, or the time until the caller may come
/// back.
pub async fn wait<P: Platform>(
    node: &Rc<Node<P>>,
    wish: &Wish,
) -> (Turn<P>, Result<Name, Duration>) {
    let home = home(node, &wish.pool);
    let (mut turn, mut answer) = enter(node, wish, home);
    let mut asked = node.now();
    loop {
        match timeout(CHECK, &mut answer).await {
            Ok(Ok(answer)) => return (turn, answer),
            Ok(Err(_)) => return (turn, Err(CHECK)),
            Err(_) => {}
        }
        if node.now().since(asked) >= ASK_AGAIN {
            asked = node.now();
            turn.home = ask(node, wish, &turn.home, turn.number);
        }
        let alone = turn.home == *node.name();
        if !alone && !node.peers.borrow().is_live(&turn.home, node.now()) {
            node.metrics.count("gate_bypassed");
            log::info!(event = "gate_bypassed", pool = wish.pool.as_str(), home = turn.home.as_str(); "a gate has fallen silent");
            (turn, answer) = enter(node, wish, node.name().clone());
        }
    }
}

/// Gives a request a number and asks a gate.
fn enter<P: Platform>(
    node: &Rc<Node<P>>,
    wish: &Wish,
    home: Name,
) -> (Turn<P>, oneshot::Receiver<Answer>) {
    let (send, answer) = oneshot::channel();
    let number = {
        let mut turns = node.turns.borrow_mut();
        turns.last += 1;
        let number = turns.last;
        turns.waiting.insert(number, send);
        turns.held.insert(number);
        number
    };
    let home = ask(node, wish, &home, number);
    let pool = wish.pool.clone();
    (Turn { node: node.clone(), home, pool, number, ending: ServerOutcome::NotSent }, answer)
}

/// Asks the gate of a node, or that of this node if there is no link to it; returns which.
fn ask<P: Platform>(node: &Rc<Node<P>>, wish: &Wish, home: &Name, number: u64) -> Name {
    let now = node.now();
    let ask = AskWire {
        pool: wish.pool.to_string(),
        number,
        priority: wish.priority.into(),
        target: wish.target.since(now).as_millis() as u32,
        deadline: wish.deadline.since(now).as_millis() as u32,
        avoid: wish.avoid.clone().unwrap_or_default().to_string(),
    };
    let own = node.name();
    if home != own && node.send(home, Body::Ask(ask.clone())) {
        return home.clone();
    }
    asked(node, own, ask);
    own.clone()
}

/// Returns the node that has the gate of a pool.
fn home<P: Platform>(node: &Rc<Node<P>>, pool: &Name) -> Name {
    let beliefs = node.beliefs.borrow();
    let near = beliefs.servers.get(pool).map(|server| &server.entry.domain);
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
pub fn asked<P: Platform>(node: &Rc<Node<P>>, from: &Name, ask: AskWire) {
    let now = node.now();
    let domain = match node.peers.borrow().nodes.get(from) {
        Some(peer) => Name::from(peer.beat.domain.as_str()),
        None => node.settings.domain.clone(),
    };
    let pool = Name::from(ask.pool);
    let ask = PendingRequest {
        ticket: Ticket { node: from.clone(), number: ask.number },
        domain,
        priority: ask.priority as u8,
        target: now + Duration::from_millis(ask.target.into()),
        deadline: now + Duration::from_millis(ask.deadline.into()),
        avoid: (!ask.avoid.is_empty()).then(|| ask.avoid.into()),
    };
    refresh(node, &pool);
    let placed = {
        let mut turns = node.turns.borrow_mut();
        let Some(gate) = turns.gates.get_mut(&pool) else { return };
        let placed = gate.assigned_server(&ask.ticket).cloned();
        if placed.is_none() {
            gate.enqueue(ask.clone());
        }
        placed
    };
    match placed {
        Some(server) => tell(node, Decision::Admit(ask.ticket, server)),
        None => step(node, &pool, now),
    }
}

/// Takes note that a request has left its server.
pub fn done<P: Platform>(node: &Rc<Node<P>>, from: &Name, done: &Done) {
    let pool = Name::from(done.pool.as_str());
    let ticket = Ticket { node: from.clone(), number: done.number };
    let now = node.now();
    if let Some(gate) = node.turns.borrow_mut().gates.get_mut(&pool) {
        gate.complete(&ticket, done.ending(), now);
    }
    step(node, &pool, now);
}

/// Forgets the requests of a node at all gates.
pub fn drop_node<P: Platform>(node: &Rc<Node<P>>, name: &str) {
    node.turns.borrow_mut().gates.values_mut().for_each(|gate| gate.remove_node(name));
}

/// Decides what can be decided at a gate, and tells the nodes.
fn step<P: Platform>(node: &Rc<Node<P>>, pool: &Name, now: Tick) {
    let verdicts = match node.turns.borrow_mut().gates.get_mut(pool) {
        Some(gate) => gate.decide(now),
        None => return,
    };
    for verdict in verdicts {
        tell(node, verdict);
    }
}

/// Tells the node of a request what was decided.
fn tell<P: Platform>(node: &Rc<Node<P>>, verdict: Decision) {
    let (ticket, answer) = match verdict {
        Decision::Admit(ticket, server) => (ticket, Ok(server)),
        Decision::Reject(ticket, retry) => (ticket, Err(retry)),
    };
    let number = ticket.number;
    if ticket.node == *node.name() {
        node.turns.borrow_mut().answer(number, answer);
        return;
    }
    let body = match answer {
        Ok(server) => Body::Go(Go { number, server: server.to_string() }),
        Err(retry) => Body::Refuse(Refuse { number, retry: retry.as_millis() as u32 }),
    };
    node.send(&ticket.node, body);
}

/// Tells a gate which of the requests that it asks for have left their servers.
pub fn checked<P: Platform>(node: &Rc<Node<P>>, from: &Name, check: &Check) {
    let gone: Vec<u64> = {
        let turns = node.turns.borrow();
        check.numbers.iter().copied().filter(|number| !turns.held.contains(number)).collect()
    };
    for number in gone {
        node.metrics.count("end_told_again");
        let ending = Done::number_of(ServerOutcome::NotSent);
        node.send(from, Body::Done(Done { pool: check.pool.clone(), number, ending }));
    }
}

/// Asks the nodes of requests that have been at their servers for long whether they still are.
fn check<P: Platform>(node: &Rc<Node<P>>, now: Tick) {
    let mut asked: HashMap<(Name, Name), Vec<u64>> = HashMap::new();
    {
        let mut turns = node.turns.borrow_mut();
        if now.since(turns.checked) < CHECK_AFTER {
            return;
        }
        turns.checked = now;
        for (pool, gate) in &turns.gates {
            let others =
                gate.admitted_before(now - CHECK_AFTER).filter(|it| it.node != *node.name());
            for ticket in others {
                let numbers = asked.entry((ticket.node.clone(), pool.clone())).or_default();
                numbers.push(ticket.number);
            }
        }
    }
    for ((name, pool), numbers) in asked {
        node.send(&name, Body::Check(Check { pool: pool.to_string(), numbers }));
    }
}

/// Tells a gate what is known of its servers.
fn refresh<P: Platform>(node: &Rc<Node<P>>, pool: &Name) {
    let beliefs = node.beliefs.borrow();
    let mut turns = node.turns.borrow_mut();
    let gate = turns.gates.entry(pool.clone()).or_default();
    let now = node.now();
    let keyed = beliefs.servers.contains_key(pool);
    let matches = |name: &Name, service: &Name| if keyed { name == pool } else { service == pool };
    for server in beliefs.servers.values() {
        if matches(&server.name, &server.entry.service) {
            let open = takes_requests(node, server, now) && (keyed || server.leaving.is_none());
            gate.set_server(&server.name, &server.entry.domain, server.entry.slots, open);
        }
    }
    gate.retain_servers(|name| beliefs.servers.contains_key(name));
}

/// Returns whether a server may be sent requests, as far as this node knows: one that leaves only
/// for a while after it has said so.
pub fn takes_requests<P: Platform>(node: &Rc<Node<P>>, server: &Server, now: Tick) -> bool {
    let drain = Duration::from_millis(node.settings.limits.drain_ms.into());
    let last = drain.saturating_sub(LEAVE_MARGIN);
    server.leaving.is_none_or(|since| now < since + last)
}

/// Looks at all gates of this node from time to time, for ever.
pub async fn rounds<P: Platform>(node: Rc<Node<P>>) {
    loop {
        sleep(ROUND).await;
        let now = node.now();
        check(&node, now);
        let pools: Vec<Name> = {
            let mut turns = node.turns.borrow_mut();
            turns.gates.values_mut().for_each(|gate| gate.expire_running(now - MISSED_AFTER));
            let busy = turns.gates.iter().filter(|(_, gate)| gate.queue_len() > 0);
            busy.map(|(pool, _)| pool.clone()).collect()
        };
        for pool in pools {
            refresh(&node, &pool);
            step(&node, &pool, now);
        }
    }
}

/// Waits until beliefs change or `until` has come.
pub async fn changed<P: Platform>(node: &Rc<Node<P>>, until: Tick) {
    let left = until.since(node.now());
    let end = tokio::time::Instant::now() + left;
    tokio::select! {
        () = node.changed.notified() => {}
        () = sleep_until(end) => {}
    }
}
