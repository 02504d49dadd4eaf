//! Grants of keys to servers: what is due for each service.
//!
//! Owners and fence numbers are written to the store before servers are told. A new controller
//! raises all numbers first, which shuts out the orders of the one before it at every server that
//! can be reached. Grants are renewed while the controller may give orders, and finished
//! hand-overs are written together.

use {
    super::{
        handover::{hand_over, key},
        servers::{address, candidates, is_down, is_over},
    },
    crate::{
        follow,
        node::Node,
        platform::{Grant, Kind, Object, Platform, Reply, StoreError},
        record::OwnersRecord,
    },
    log::info,
    prost::Message,
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::task::spawn_local,
    whinspring::{
        name::Name,
        ranges::{Instance, MAX_KEY, Ownership, Span, balance},
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

/// Part of all servers' capacity that is assumed to be spread evenly over the keys.
const BASE_PART: f64 = 0.25;

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

/// Returns the owners of a service and their revision if this controller wrote them and still is
/// the controller: it may have learned of its successor's term, and its owners, between two steps.
pub(super) fn own<P: Platform>(node: &Rc<Node<P>>, service: &Name) -> Option<(u64, Rc<Ownership>)> {
    let control = node.control.borrow();
    let beliefs = node.beliefs.borrow();
    let found = beliefs.owners.get(service)?;
    (control.leads && found.1.term == control.term).then(|| found.clone())
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
    let mut owners: Vec<Instance> = servers
        .into_iter()
        .filter(|server| !server.leaving)
        .map(|server| server.instance)
        .collect();
    if owners.is_empty() {
        return;
    }
    owners.sort();
    let owned = {
        let mut control = node.control.borrow_mut();
        let term = control.term;
        Ownership::split_evenly(term, &owners, || control.fence())
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

/// Writes the owners of a service, unless this node may give no more orders; returns whether that
/// is certain to be done.
async fn write<P: Platform>(
    node: &Rc<Node<P>>,
    service: &Name,
    revision: u64,
    owned: Ownership,
) -> bool {
    if !node.control.borrow().may_order(node.now()) {
        return false;
    }
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
pub(super) async fn grant<P: Platform>(
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
    let reply = node.platform.grant(addr, &Grant::new(span, hold, token)).await;
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
pub(super) fn longest_hold<P: Platform>(node: &Rc<Node<P>>) -> Duration {
    Duration::from_millis(node.settings.limits.hold_ms.into())
}

/// Returns the length of a grant while the store answers.
pub(super) fn short_hold<P: Platform>(node: &Rc<Node<P>>) -> Duration {
    HOLD.min(longest_hold(node))
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
            let levels = balance::utilizations(&owned, &servers, &loads, base);
            let level = |index: usize| levels.get(index).copied().unwrap_or_default();
            let (low, median) = (level(0), level(levels.len() / 2));
            let high = level(levels.len().saturating_sub(1));
            info!(event = "balance", service = service.as_str(), servers = levels.len(), spans = owned.spans.len(), low, median, high, revision; "load of servers for their capacity");
        }
        let moves = balance::plan_moves(&owned, &servers, &loads, base);
        let mut next = (*owned).clone();
        let joined = next.spans.len() > JOIN_ABOVE * servers.len()
            && next.merge_adjacent(|| control.fence());
        if moves.is_empty() && !joined {
            return;
        }
        for step in moves {
            for index in next.split_range(step.first, step.last) {
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
