//! Grants of keys to servers.
//!
//! Keys change hands in this order: the new owner and its fence number are written to the store
//! with the former owner's name; the former owner is granted the keys once more under a number of
//! its own and then releases them, so that any older grant still on its way to it is refused; the
//! new owner gets its grant; the former owner's name is taken out of the store. A new controller
//! raises all numbers first, which shuts out the orders of the one before it at every server that
//! can be reached. A former owner that cannot be reached keeps its keys until every grant that it
//! may have got has run out, including those of an earlier controller, unless no process listens
//! at its address any more.

use {
    super::{Controller, FENCE_STEP, holds::end_of, moves},
    crate::{
        follow,
        message::{Body, LookAt, Looked, OwnersRecord},
        node::Node,
        platform::{Grant, Kind, Object, Platform, Reply, StoreError},
    },
    log::{info, warn},
    prost::Message,
    std::{collections::HashSet, io::ErrorKind, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        net::TcpStream,
        task::spawn_local,
        time::{sleep, timeout},
    },
    whinspring::{
        name::Name,
        ranges::{
            Life, MAX_KEY, Ownership, Span,
            balance::{self, Candidate},
        },
        time::Tick,
    },
};

/// Length of a grant while the store answers.
pub(super) const HOLD: Duration = Duration::from_millis(4_000);

/// Time between two grants of the same keys.
const RENEW: Duration = Duration::from_millis(1_400);

/// Time between two looks at the balance.
const PLAN_EVERY: Duration = Duration::from_millis(400);

/// Time without a new server after which the keys of a new service are divided.
const SETTLE: Duration = Duration::from_millis(1_200);

/// Spans for each server above which neighbours of one owner are joined.
const JOIN_ABOVE: usize = 3;

/// Time between two log lines on the balance.
const TELL_EVERY: Duration = Duration::from_secs(2);

/// Time for which finished hand-overs are collected before they are written.
const COLLECT: Duration = Duration::from_millis(60);

/// Length of the grant that shuts older ones out before a release.
const RELEASE_HOLD: Duration = Duration::from_secs(1);

/// The same where the next owner may hold the keys already.
const INHERITED_HOLD: Duration = Duration::from_millis(300);

/// Time for which a server must refuse connections to count as dead.
const DEAD_AFTER: Duration = Duration::from_millis(400);

/// The same for a server that was about to leave: it refuses connections before its last work ends.
const LEFT_AFTER: Duration = Duration::from_millis(2_000);

/// Time between two questions to all nodes about a server.
const LOOK_EVERY: Duration = Duration::from_millis(700);

/// Longest time to try a server's address for another node.
const LOOK_TIMEOUT: Duration = Duration::from_millis(400);

/// Pause before an order is repeated.
const REPEAT_PAUSE: Duration = Duration::from_millis(150);

/// Time for which a server that refuses connections is not used.
const DOWN_FOR: Duration = Duration::from_millis(1_500);

/// Part of all servers' capacity that is assumed to be spread evenly over the keys.
const BASE_PART: f64 = 0.25;

/// Capacity of a server that has just started, relative to a warm one.
const COLD_CAPACITY: f64 = 0.5;

/// Does what is due for each service.
pub async fn round<P: Platform>(node: &Rc<Node<P>>) {
    let Some(routes) = node.beliefs.borrow().routes.clone() else { return };
    for (service, traits) in &routes.services {
        if traits.keyed {
            tend(node, service).await;
        }
    }
    let now = node.now();
    node.control.borrow_mut().holds.forget(now);
}

/// Does what is due for one service.
async fn tend<P: Platform>(node: &Rc<Node<P>>, service: &Name) {
    let now = node.now();
    let known = node.beliefs.borrow().owners.get(service).cloned();
    let Some((revision, owned)) = known else { return found(node, service).await };
    {
        let mut control = node.control.borrow_mut();
        if owned.term > control.term {
            return control.depose(owned.term);
        }
        if control.moves.entry(service.clone()).or_default().writing {
            return;
        }
    }
    let Some((revision, owned)) = own(node, service) else {
        return raise(node, service, revision, &owned).await;
    };
    renew(node, service, &owned, now);
    hand_over(node, service, &owned);
    settle(node, service, revision, &owned, now).await;
    rebalance(node, service, now).await;
}

/// Returns the owners of a service and their revision if this controller wrote them. Those of a
/// later controller are not this one's to act on.
fn own<P: Platform>(node: &Rc<Node<P>>, service: &Name) -> Option<(u64, Rc<Ownership>)> {
    let beliefs = node.beliefs.borrow();
    let found = beliefs.owners.get(service)?;
    (found.1.term == node.control.borrow().term).then(|| found.clone())
}

/// Divides the keys of a service that has no owners yet.
async fn found<P: Platform>(node: &Rc<Node<P>>, service: &Name) {
    let now = node.now();
    let newest = {
        let beliefs = node.beliefs.borrow();
        let own = beliefs.servers.values().filter(|server| server.entry.service == *service);
        own.map(|server| server.since).max().unwrap_or(now)
    };
    if now < newest.max(node.control.borrow().since) + SETTLE {
        return;
    }
    let servers = candidates(node, service, node.now());
    let mut owners: Vec<Life> =
        servers.into_iter().filter(|server| !server.leaving).map(|server| server.life).collect();
    if owners.is_empty() {
        return;
    }
    owners.sort();
    let owned = {
        let mut control = node.control.borrow_mut();
        let term = control.term;
        Ownership::even(term, &owners, || control.fence())
    };
    info!(event = "divided", service = service.as_str(), servers = owners.len(); "keys are divided");
    write(node, service, 0, owned).await;
}

/// Raises the fences of all spans after a change of controller.
async fn raise<P: Platform>(node: &Rc<Node<P>>, service: &Name, revision: u64, owned: &Ownership) {
    let mut next = owned.clone();
    {
        let mut control = node.control.borrow_mut();
        next.term = control.term;
        for span in &mut next.spans {
            span.fence = control.fence();
        }
        let progress = control.moves.entry(service.clone()).or_default();
        progress.inherited = next.spans.iter().filter(|s| s.former.is_some()).map(key).collect();
    }
    write(node, service, revision, next).await;
}

/// Writes the owners of a service; returns whether that is certain to be done.
async fn write<P: Platform>(
    node: &Rc<Node<P>>,
    service: &Name,
    revision: u64,
    owned: Ownership,
) -> bool {
    node.control.borrow_mut().moves.entry(service.clone()).or_default().writing = true;
    let value = OwnersRecord::from(&owned).encode_to_vec();
    let written = node.platform.write(Kind::Owners, service, revision, &value).await;
    node.control.borrow_mut().moves.entry(service.clone()).or_default().writing = false;
    node.note_store(!matches!(written, Err(StoreError::Silent | StoreError::Refused { .. })));
    match written {
        Ok(revision) => {
            let object = Object { name: service.clone(), revision, value };
            let before = node.beliefs.borrow().owners.get(service).cloned();
            node.beliefs.borrow_mut().wrote(Kind::Owners, object, &node.platform, node.clock);
            let after = (revision, Rc::new(owned));
            follow::publish(node, service, &before.unwrap_or_default(), &after);
            node.wake();
            true
        }
        Err(error) => {
            info!(event = "owners_not_written", service = service.as_str(), revision; "{error}");
            reread(node, service).await;
            false
        }
    }
}

/// Reads the owners of a service again after a write whose outcome is not known.
async fn reread<P: Platform>(node: &Rc<Node<P>>, service: &Name) {
    if let Ok(Some(object)) = node.platform.read(Kind::Owners, service).await {
        node.note_store(true);
        node.beliefs.borrow_mut().wrote(Kind::Owners, object, &node.platform, node.clock);
        node.wake();
    }
}

/// Renews the grants that are due.
fn renew<P: Platform>(node: &Rc<Node<P>>, service: &Name, owned: &Ownership, now: Tick) {
    for span in owned.spans.iter().filter(|span| span.former.is_none()) {
        let due = {
            let mut control = node.control.borrow_mut();
            let hold = control.holds.get(service, span);
            !hold.busy && hold.acked.is_none_or(|at| now.since(at) >= RENEW)
        };
        let Some(addr) = address(node, &span.owner) else { continue };
        if due && !is_down(node, &span.owner, now) && !is_over(node, &span.owner) {
            node.control.borrow_mut().holds.get(service, span).busy = true;
            spawn_local(renew_one(node.clone(), service.clone(), span.clone(), addr));
        }
    }
}

/// Renews one grant.
async fn renew_one<P: Platform>(node: Rc<Node<P>>, service: Name, span: Span, addr: SocketAddr) {
    let hold = hold_time(&node);
    let reply = grant(&node, &service, &span, addr, hold, None).await;
    if reply == Reply::Fenced {
        node.metrics.count("grant_fenced");
        refence(&node, &service, &span).await;
    }
}

/// Writes a higher fence for a span whose server has seen a higher one than that of the span.
async fn refence<P: Platform>(node: &Rc<Node<P>>, service: &Name, span: &Span) {
    if !node.control.borrow().may_order(node.now()) {
        return;
    }
    let Some((revision, owned)) = own(node, service) else { return };
    let mut next = (*owned).clone();
    let Some(index) = next.spans.iter().position(|other| other == span) else { return };
    if node.control.borrow_mut().moves.entry(service.clone()).or_default().writing {
        return;
    }
    next.spans[index].fence = node.control.borrow_mut().fence();
    write(node, service, revision, next).await;
}

/// Grants a span to its owner, and notes what became of it.
async fn grant<P: Platform>(
    node: &Rc<Node<P>>,
    service: &Name,
    span: &Span,
    addr: SocketAddr,
    hold: Duration,
    token: Option<Name>,
) -> Reply {
    let sent = node.now();
    if !node.control.borrow().may_order(sent) {
        node.control.borrow_mut().holds.get(service, span).busy = false;
        return Reply::Silent;
    }
    let before = node.control.borrow_mut().holds.get(service, span).send(sent, hold);
    let server = span.owner.server.clone();
    let (first, last, fence) = (span.first, span.last, span.fence);
    let order = Grant { server, first, last, fence, hold, token };
    let reply = node.platform.grant(addr, &order).await;
    let mut control = node.control.borrow_mut();
    let entry = control.holds.get(service, span);
    entry.busy = false;
    match reply {
        Reply::Done(_) => entry.acked = Some(sent),
        Reply::Down | Reply::Unsent | Reply::Replaced => entry.until = before,
        Reply::Fenced | Reply::Silent => node.metrics.count("grant_unanswered"),
    }
    control.note_reply(&span.owner, &reply, sent);
    reply
}

/// Returns how long a grant shall hold.
fn hold_time<P: Platform>(node: &Rc<Node<P>>) -> Duration {
    if node.store_lost.get() { longest_hold(node) } else { short_hold(node) }
}

/// Returns the longest time for which servers take a grant.
fn longest_hold<P: Platform>(node: &Rc<Node<P>>) -> Duration {
    Duration::from_millis(node.settings.limits.hold_ms.into())
}

/// Returns the length of a grant while the store answers.
fn short_hold<P: Platform>(node: &Rc<Node<P>>) -> Duration {
    HOLD.min(longest_hold(node))
}

/// Starts the hand-overs that are not under way.
fn hand_over<P: Platform>(node: &Rc<Node<P>>, service: &Name, owned: &Ownership) {
    let now = node.now();
    for span in owned.spans.iter().filter(|span| span.former.is_some()) {
        if is_inherited(node, service, span) && !node.control.borrow().is_alone(now) {
            continue;
        }
        let mut control = node.control.borrow_mut();
        let progress = control.moves.entry(service.clone()).or_default();
        if progress.settled.contains(&key(span)) || !progress.busy.insert(key(span)) {
            continue;
        }
        spawn_local(hand_over_one(node.clone(), service.clone(), span.clone()));
    }
}

/// Returns what a hand-over is known by.
fn key(span: &Span) -> moves::Key {
    moves::Key { first: span.first, last: span.last, fence: span.fence }
}

/// Takes a span from its former owner and grants it to the new one.
async fn hand_over_one<P: Platform>(node: Rc<Node<P>>, service: Name, span: Span) {
    let token = release(&node, &service, &span).await;
    let settled = match token {
        Some(token) => give(&node, &service, &span, token).await,
        None => false,
    };
    let now = node.now();
    let mut control = node.control.borrow_mut();
    let Some(progress) = control.moves.get_mut(&service) else { return };
    progress.busy.remove(&key(&span));
    if settled {
        progress.settled.insert(key(&span));
        progress.oldest.get_or_insert(now);
    }
}

/// Grants a span to its new owner; returns whether it did.
async fn give<P: Platform>(
    node: &Rc<Node<P>>,
    service: &Name,
    span: &Span,
    token: Option<Name>,
) -> bool {
    loop {
        if !is_current(node, service, span) {
            return false;
        }
        let Some(addr) = address(node, &span.owner) else { return true };
        if !node.control.borrow().may_move(node.now()) {
            sleep(REPEAT_PAUSE).await;
            continue;
        }
        match grant(node, service, span, addr, short_hold(node), token.clone()).await {
            Reply::Done(_) | Reply::Fenced | Reply::Down | Reply::Replaced => return true,
            Reply::Unsent | Reply::Silent => sleep(REPEAT_PAUSE).await,
        }
    }
}

/// Takes a span from its former owner; `None` if it is not to be handed over any more.
async fn release<P: Platform>(
    node: &Rc<Node<P>>,
    service: &Name,
    span: &Span,
) -> Option<Option<Name>> {
    let former = span.former.as_ref()?;
    let mut number = 0;
    loop {
        if !is_current(node, service, span) {
            return None;
        }
        if is_over(node, former) {
            return Some(None);
        }
        let now = node.now();
        if let Some(addr) = address(node, former) {
            number = (number + 1).min(FENCE_STEP - 1);
            match release_once(node, service, span, number, former, addr).await {
                Reply::Done(token) => return Some(token),
                Reply::Replaced => return Some(None),
                Reply::Down if is_dead(node, former, addr) => return Some(None),
                Reply::Down => ask_around(node, addr),
                Reply::Fenced => node.metrics.count("release_fenced"),
                Reply::Unsent | Reply::Silent => {}
            }
        }
        if now > free_at(node, service, span, former) {
            warn!(event = "waited_out", service = service.as_str(), former = former.server.as_str(), first = span.first, last = span.last; "a former owner was not reached");
            return Some(None);
        }
        sleep(REPEAT_PAUSE).await;
    }
}

/// Returns when a former owner that cannot be reached holds a span no more.
///
/// A server that took a grant of this controller refuses those of earlier ones.
fn free_at<P: Platform>(node: &Rc<Node<P>>, service: &Name, span: &Span, former: &Life) -> Tick {
    let control = node.control.borrow();
    let own = control.holds.until(service, former, span.first, span.last);
    if control.term == 1 || control.holds.covers(service, former, span.first, span.last) {
        return own;
    }
    own.max(end_of(control.last_order(), longest_hold(node)))
}

/// Tells a former owner once to release a span, under a fence that older grants do not reach.
///
/// Each try has a higher fence than those before it, which may still be on their way.
async fn release_once<P: Platform>(
    node: &Rc<Node<P>>,
    service: &Name,
    span: &Span,
    number: u64,
    former: &Life,
    addr: SocketAddr,
) -> Reply {
    match raise_once(node, service, span, number, former, addr).await {
        Reply::Done(_) => {
            let server = former.server.clone();
            let (first, last) = (span.first, span.last);
            let fence = span.fence - FENCE_STEP + number;
            let order = Grant { server, first, last, fence, hold: Duration::ZERO, token: None };
            node.platform.release(addr, &order).await
        }
        other => other,
    }
}

/// Grants a span to a server for a short time, so that it refuses all older grants.
async fn raise_once<P: Platform>(
    node: &Rc<Node<P>>,
    service: &Name,
    span: &Span,
    number: u64,
    life: &Life,
    addr: SocketAddr,
) -> Reply {
    let sent = node.now();
    if !node.control.borrow().may_move(sent) {
        return Reply::Unsent;
    }
    let fence = span.fence - FENCE_STEP + number;
    let hold = if is_inherited(node, service, span) { INHERITED_HOLD } else { RELEASE_HOLD };
    let (first, last) = (span.first, span.last);
    let raised = Span { first, last, fence, owner: life.clone(), former: None };
    let before = node.control.borrow_mut().holds.get(service, &raised).send(sent, hold);
    let server = life.server.clone();
    let order = Grant { server, first, last, fence, hold, token: None };
    let reply = node.platform.grant(addr, &order).await;
    let mut control = node.control.borrow_mut();
    if matches!(reply, Reply::Down | Reply::Unsent | Reply::Replaced) {
        control.holds.get(service, &raised).until = before;
    }
    control.note_reply(life, &reply, sent);
    reply
}

/// Returns whether an earlier controller began a hand-over, so that the new owner may hold its keys
/// already.
fn is_inherited<P: Platform>(node: &Rc<Node<P>>, service: &Name, span: &Span) -> bool {
    let control = node.control.borrow();
    let progress = control.moves.get(service);
    progress.is_some_and(|progress| progress.inherited.contains(&key(span)))
}

/// Returns whether a span still stands as it is, and this node may still give orders.
fn is_current<P: Platform>(node: &Rc<Node<P>>, service: &Name, span: &Span) -> bool {
    let Some((_, owned)) = own(node, service) else { return false };
    let stands = owned.find(span.first).is_some_and(|found| {
        found.first == span.first && found.last == span.last && found.fence == span.fence
    });
    stands && node.control.borrow().may_order(node.now())
}

/// Writes that hand-overs have ended.
async fn settle<P: Platform>(
    node: &Rc<Node<P>>,
    service: &Name,
    revision: u64,
    owned: &Ownership,
    now: Tick,
) {
    let settled = {
        let mut control = node.control.borrow_mut();
        let Some(progress) = control.moves.get_mut(service) else { return };
        let Some(oldest) = progress.oldest else { return };
        if now.since(oldest) < COLLECT {
            return;
        }
        progress.oldest = None;
        std::mem::take(&mut progress.settled)
    };
    let mut next = owned.clone();
    for span in next.spans.iter_mut().filter(|span| settled.contains(&key(span))) {
        span.former = None;
    }
    if !write(node, service, revision, next).await {
        let mut control = node.control.borrow_mut();
        let Some(progress) = control.moves.get_mut(service) else { return };
        progress.settled.extend(settled);
        progress.oldest = Some(node.now());
    }
}

/// Moves keys if some servers are much busier than others, or must give their keys away.
async fn rebalance<P: Platform>(node: &Rc<Node<P>>, service: &Name, now: Tick) {
    let Some((revision, owned)) = own(node, service) else { return };
    let servers = candidates(node, service, now);
    let next = {
        let mut control = node.control.borrow_mut();
        let control = &mut *control;
        let progress = control.moves.entry(service.clone()).or_default();
        if progress.writing || now.since(progress.planned) < PLAN_EVERY {
            return;
        }
        progress.planned = now;
        let loads = control.loads.get(service).cloned().unwrap_or_default();
        let capacity: f64 = servers.iter().map(|server| server.capacity).sum();
        let base = capacity * BASE_PART / (f64::from(MAX_KEY) + 1.0);
        if now.since(progress.told) >= TELL_EVERY {
            progress.told = now;
            let levels = balance::levels(&owned, &servers, &loads, base);
            let level = |index: usize| levels.get(index).copied().unwrap_or_default();
            let (low, median) = (level(0), level(levels.len() / 2));
            let high = level(levels.len().saturating_sub(1));
            info!(event = "balance", service = service.as_str(), servers = levels.len(), spans = owned.spans.len(), low, median, high, revision; "load of servers for their capacity");
        }
        let moves = balance::plan(&owned, &servers, &loads, base);
        let mut next = (*owned).clone();
        let joined = next.spans.len() > JOIN_ABOVE * servers.len() && next.join(|| control.fence());
        if moves.is_empty() && !joined {
            return;
        }
        for step in moves {
            for index in next.carve(step.first, step.last) {
                let fence = control.fence();
                let span = &mut next.spans[index];
                if span.former.is_some() || span.owner == step.to {
                    continue;
                }
                span.former = Some(std::mem::replace(&mut span.owner, step.to.clone()));
                span.fence = fence;
                info!(event = "move", service = service.as_str(), first = span.first, last = span.last, to = step.to.server.as_str(), fence, revision; "keys change hands");
            }
        }
        next
    };
    write(node, service, revision, next).await;
}

/// Returns the servers of a service that can own keys.
fn candidates<P: Platform>(node: &Rc<Node<P>>, service: &Name, now: Tick) -> Vec<Candidate> {
    let beliefs = node.beliefs.borrow();
    let control = node.control.borrow();
    let mut found: Vec<Candidate> = beliefs
        .servers
        .values()
        .filter(|server| server.entry.service == *service)
        .map(|server| {
            let life = server.life();
            let slowness = control.slowness.get(&server.name).copied().unwrap_or(1.0);
            let cold = if now < server.warm { COLD_CAPACITY } else { 1.0 };
            let capacity = f64::from(server.entry.slots) * cold / slowness.clamp(0.3, 10.0);
            let down = control.down.get(&life).is_some_and(|(_, at)| now.since(*at) < DOWN_FOR);
            let leaving = server.leaving.is_some() || server.missing.is_some() || down;
            Candidate { life, capacity, leaving }
        })
        .collect();
    found.sort_by(|a, b| a.life.cmp(&b.life));
    found
}

/// Returns whether a server refused connections lately.
fn is_down<P: Platform>(node: &Rc<Node<P>>, life: &Life, now: Tick) -> bool {
    let control = node.control.borrow();
    control.down.get(life).is_some_and(|(_, at)| now.since(*at) < DOWN_FOR / 10)
}

/// Returns whether a server is certain to have ended: it has refused connections for some time,
/// most nodes found the same, and none got an answer meanwhile. A server refuses some nodes also
/// when it has too many connections, or when it is cut off from them.
fn is_dead<P: Platform>(node: &Rc<Node<P>>, life: &Life, addr: SocketAddr) -> bool {
    let now = node.now();
    let stays = node
        .beliefs
        .borrow()
        .servers
        .get(&life.server)
        .is_some_and(|server| server.leaving.is_none() && server.missing.is_none());
    let after = if stays { DEAD_AFTER } else { LEFT_AFTER };
    let control = node.control.borrow();
    let Some((since, _)) = control.down.get(life) else { return false };
    let answered = control.answered.get(&life.server).copied().unwrap_or_default();
    let looks = control.looks.get(&addr);
    let alone = node.peers.borrow().live(now).count() + 1;
    let agreed = looks.map_or(0, |look| look.refused.len()) + 1;
    let reached = looks.is_some_and(|look| look.reached);
    now.since(*since) >= after && answered < *since && !reached && agreed * 3 > alone * 2
}

/// Asks all nodes whether a server refuses them too.
fn ask_around<P: Platform>(node: &Rc<Node<P>>, addr: SocketAddr) {
    let now = node.now();
    {
        let mut control = node.control.borrow_mut();
        let look = control.looks.entry(addr).or_default();
        if look.asked != Tick::default() && now.since(look.asked) < LOOK_EVERY {
            return;
        }
        *look = Look { asked: now, ..Look::default() };
    }
    let names: Vec<Name> = node.peers.borrow().nodes.keys().cloned().collect();
    for name in names {
        node.send(&name, Body::Look(LookAt { addr: addr.to_string() }));
    }
}

/// Tries a server's address for another node, and tells it the result.
pub async fn look_at<P: Platform>(node: Rc<Node<P>>, asker: Name, addr: SocketAddr) {
    let refused = match timeout(LOOK_TIMEOUT, TcpStream::connect(addr)).await {
        Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
        Ok(Ok(_)) => false,
        Err(_) => return,
    };
    node.send(&asker, Body::Looked(Looked { addr: addr.to_string(), refused }));
}

/// What other nodes found at a server's address.
#[derive(Debug, Default)]
pub struct Look {
    /// When they were asked.
    asked: Tick,
    /// Nodes that were refused.
    refused: HashSet<Name>,
    /// Whether a node was not refused.
    reached: bool,
}

impl Look {
    /// Takes what a node found.
    pub fn note(&mut self, from: &Name, refused: bool) {
        if refused {
            self.refused.insert(from.clone());
        }
        self.reached |= !refused;
    }
}

impl Controller {
    /// Notes what a server's reply to an order says of the server.
    fn note_reply(&mut self, life: &Life, reply: &Reply, sent: Tick) {
        match reply {
            Reply::Down | Reply::Replaced => {
                let known = self.down.entry(life.clone()).or_insert((sent, sent));
                let lapsed = sent.since(known.1) > DOWN_FOR;
                *known = (if lapsed { sent } else { known.0 }, sent);
            }
            Reply::Done(_) | Reply::Fenced => {
                self.down.remove(life);
            }
            Reply::Unsent | Reply::Silent => {}
        }
    }
}

/// Returns whether a life of a server has ended: it has started again since, or another server
/// has got its address.
fn is_over<P: Platform>(node: &Rc<Node<P>>, life: &Life) -> bool {
    let beliefs = node.beliefs.borrow();
    if let Some(server) = beliefs.servers.get(&life.server) {
        return server.entry.born != life.born;
    }
    let control = node.control.borrow();
    let Some(addr) = control.addresses.get(life) else { return false };
    beliefs.servers.values().any(|server| server.entry.addr == *addr)
}

/// Returns the address of a life of a server, also if its entry is gone.
fn address<P: Platform>(node: &Rc<Node<P>>, life: &Life) -> Option<SocketAddr> {
    let beliefs = node.beliefs.borrow();
    let mut control = node.control.borrow_mut();
    match beliefs.servers.get(&life.server) {
        Some(server) if server.entry.born == life.born => {
            control.addresses.insert(life.clone(), server.entry.addr);
            Some(server.entry.addr)
        }
        Some(_) => None,
        None => control.addresses.get(life).copied(),
    }
}
