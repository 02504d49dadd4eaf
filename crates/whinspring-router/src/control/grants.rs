//! Grants of key leases to servers, reconciled service by service.
//!
//! Owners and fencing tokens are written to the store before keys are granted to servers. A new
//! controller first raises all fencing tokens, so that every reachable server rejects commands of
//! the previous one. Leases are renewed while the controller may send commands. Finished handovers
//! are committed in batches.

use {
    super::{
        Controller,
        handover::{is_current, start_handovers},
        leases::Terms,
        restore,
        servers::{address, candidates, probe_refusing, refused_recently, restarted_as},
    },
    crate::{
        node::Node,
        notices, owners,
        platform::{Grant, Kind, Platform, Position, Reply, StoreError},
        record::OwnersRecord,
    },
    log::info,
    prost::Message,
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::task::spawn_local,
    whinspring::{
        name::Name,
        ranges::{Instance, MAX_KEY, Ownership, Span, balance},
        time::Tick,
    },
};

const RENEW_INTERVAL: Duration = Duration::from_millis(1_400);

/// The same for leases of handovers that the store does not know to be finished.
const HANDOVER_RENEW_INTERVAL: Duration = Duration::from_millis(700);

/// Time between two runs of the balancer.
const PLAN_INTERVAL: Duration = Duration::from_millis(400);

/// Time since the newest server appeared after which the keys of a new service are assigned.
const DIVIDE_DELAY: Duration = Duration::from_millis(1_200);

/// Spans per server above which adjacent spans of one owner are merged.
const MAX_SPANS_PER_SERVER: usize = 3;

/// Time between two log lines about the balance of a service.
const LOG_INTERVAL: Duration = Duration::from_secs(2);

/// Time for which finished handovers are batched into one write.
const COMMIT_DELAY: Duration = Duration::from_millis(60);

/// Share of the total capacity that is assumed as load spread evenly over all keys.
const BASE_LOAD_SHARE: f64 = 0.25;

/// Reconciles all keyed services.
pub async fn run_round<P: Platform>(node: &Rc<Node<P>>) {
    let Some(routes) = node.view.borrow().routes.clone() else { return };
    for (service, traits) in &routes.services {
        if traits.keyed {
            reconcile(node, service).await;
        }
    }
    let now = node.now();
    probe_refusing(node, now);
    let mut control = node.control.borrow_mut();
    control.leases.evict_expired(now);
    control.evict_silent(now);
}

/// Renews leases, runs handovers and balances the load of one service.
async fn reconcile<P: Platform>(node: &Rc<Node<P>>, service: &Name) {
    let now = node.now();
    let known = node.view.borrow().owners.get(service).cloned();
    let Some((position, owned)) = known else { return assign_initial(node, service).await };
    {
        let mut control = node.control.borrow_mut();
        if owned.term > control.term {
            return control.depose(owned.term);
        }
        if control.handovers.entry(service.clone()).or_default().writing {
            return;
        }
    }
    let Some((_, owned)) = current_ownership(node, service) else {
        if restore::is_gathering(node, service, now) {
            return;
        }
        return raise_all_fences(node, service, position, &owned).await;
    };
    renew_leases(node, service, &owned, now);
    start_handovers(node, service, &owned);
    commit_handovers(node, service, &owned, now).await;
    restore::settle(node, service, now).await;
    rebalance(node, service, now).await;
}

/// Returns the owners of a service and their position, if this node is the controller and wrote
/// them in its own term. It may learn of its successor's term and owners between two steps.
pub(super) fn current_ownership<P: Platform>(
    node: &Rc<Node<P>>,
    service: &Name,
) -> Option<(Position, Rc<Ownership>)> {
    let control = node.control.borrow();
    let view = node.view.borrow();
    let found = view.owners.get(service)?;
    (control.is_leader && found.1.term == control.term).then(|| found.clone())
}

/// Assigns the keys of a service that has no owners yet.
async fn assign_initial<P: Platform>(node: &Rc<Node<P>>, service: &Name) {
    let now = node.now();
    let newest = {
        let view = node.view.borrow();
        let own = view.servers.values().filter(|server| server.entry.service == *service);
        own.map(|server| server.known_since).max().unwrap_or(now)
    };
    if now < newest.max(node.control.borrow().elected_at) + DIVIDE_DELAY
        || restore::may_be_held(node, now)
    {
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
    info!(event = "divided", service = service.as_str(), servers = owners.len(); "assigned the keys of a new service");
    write_ownership(node, service, owned).await;
}

/// Raises the fencing tokens of all spans after a change of controller, except those of an earlier
/// era, which [`restore::settle`] raises. Handovers that the earlier controller has said to be finished
/// are not repeated.
///
/// Owners that were learned in a later era than that of their term come from the copy, or from a
/// late write that has no place in the lost history. Servers may know higher tokens than those, or
/// lower ones: the tokens tell nothing and are cleared.
async fn raise_all_fences<P: Platform>(
    node: &Rc<Node<P>>,
    service: &Name,
    position: Position,
    owned: &Ownership,
) {
    let mut next = owned.clone();
    let is_sure = Controller::is_term_of(owned.term, position.era, node.era_changed.get());
    {
        let view = node.view.borrow();
        let mut control = node.control.borrow_mut();
        next.term = control.term;
        for span in &mut next.spans {
            let finished = view.is_handed_over(service, span);
            span.former = span.former.take().filter(|_| !finished);
            if control.is_unsettled(span) {
                span.fence = if is_sure { span.fence } else { 0 };
            } else {
                span.fence = control.fence();
            }
        }
        let progress = control.handovers.entry(service.clone()).or_default();
        progress.inherited =
            next.spans.iter().filter(|span| span.former.is_some()).map(Span::handover).collect();
    }
    write_ownership(node, service, next).await;
}

/// Writes the owners of a service, unless this node may not send commands any more. Returns `true`
/// only if the write is known to have succeeded.
pub(super) async fn write_ownership<P: Platform>(
    node: &Rc<Node<P>>,
    service: &Name,
    owned: Ownership,
) -> bool {
    if !node.control.borrow().may_command(node.now()) {
        return false;
    }
    node.control.borrow_mut().handovers.entry(service.clone()).or_default().writing = true;
    let locate = |instance: &Instance| node.view.borrow().location(instance);
    let value = OwnersRecord::with_locations(&owned, locate).encode_to_vec();
    let era = node.control.borrow().era;
    let expect = node.view.borrow().stored_position(Kind::Owners, service, era);
    let written = node.platform.write(Kind::Owners, service, expect, &value).await;
    node.control.borrow_mut().handovers.entry(service.clone()).or_default().writing = false;
    node.set_store_reachable(!matches!(
        written,
        Err(StoreError::NoResponse | StoreError::Refused { .. })
    ));
    match written {
        Ok(position) => {
            let before = node.view.borrow().owners.get(service).cloned();
            let after = (position, Rc::new(owned));
            let now = node.now();
            node.view.borrow_mut().apply_owners(service.clone(), position, after.1.clone(), now);
            owners::publish(node, service, &before.unwrap_or_default(), &after);
            node.notify_change();
            true
        }
        Err(error) => {
            info!(event = "owners_not_written", service = service.as_str(), revision:% = expect; "{error}");
            reread_ownership(node, service).await;
            false
        }
    }
}

/// Reads the owners of a service again after a write whose outcome is unknown, or that met another.
async fn reread_ownership<P: Platform>(node: &Rc<Node<P>>, service: &Name) {
    let Ok(found) = node.platform.read(Kind::Owners, service).await else { return };
    node.set_store_reachable(true);
    let mut view = node.view.borrow_mut();
    view.forget_object(Kind::Owners, service);
    if let Some(object) = found {
        view.apply_object(Kind::Owners, object, &node.platform, node.clock);
    }
    drop(view);
    node.notify_change();
}

/// Renews the leases that are due, those of one server one after the other: a connection for each of
/// thousands of spans would exceed the memory of the VM.
fn renew_leases<P: Platform>(node: &Rc<Node<P>>, service: &Name, owned: &Ownership, now: Tick) {
    let mut due: BTreeMap<&Instance, Vec<Span>> = BTreeMap::new();
    for span in owned.spans.iter().filter(|span| span.fence != 0) {
        let mut control = node.control.borrow_mut();
        if span.former.is_some() && !control.has_finished(service, span) {
            continue;
        }
        let interval = if span.former.is_some() { HANDOVER_RENEW_INTERVAL } else { RENEW_INTERVAL };
        let unsettled = control.is_unsettled(span);
        let lease = control.leases.entry(service, span);
        let due_at = lease.acked.or(lease.sent.filter(|_| unsettled));
        if !lease.in_flight && due_at.is_none_or(|at| now.since(at) >= interval) {
            due.entry(&span.owner).or_default().push(span.clone());
        }
    }
    for (instance, spans) in due {
        let Some(addr) = address(node, instance) else { continue };
        let ended = restarted_as(node, instance).is_some();
        if ended || refused_recently(node, instance, now) {
            continue;
        }
        let mut control = node.control.borrow_mut();
        if !control.may_contact(now, instance) {
            continue;
        }
        for span in &spans {
            control.leases.entry(service, span).in_flight = true;
        }
        spawn_local(renew_server(node.clone(), service.clone(), spans, addr));
    }
}

/// Renews leases of one server until it does not carry out a grant.
async fn renew_server<P: Platform>(
    node: Rc<Node<P>>,
    service: Name,
    spans: Vec<Span>,
    addr: SocketAddr,
) {
    let mut reachable = true;
    for span in &spans {
        if !reachable || !is_current(&node, &service, span) {
            node.control.borrow_mut().leases.entry(&service, span).in_flight = false;
            continue;
        }
        let unconfirmed = node.now().since(node.control.borrow().confirmed);
        let duration = match span.former {
            None => lease_terms(&node).duration(unconfirmed),
            Some(_) => lease_terms(&node).handover(),
        };
        let reply = grant(&node, &service, span, addr, duration, None).await;
        reachable = matches!(reply, Reply::Done(_) | Reply::Fenced);
        if reply == Reply::Fenced {
            node.metrics.count("grant_fenced");
            raise_fence(&node, &service, span).await;
        }
    }
}

/// Writes a higher fencing token for a span whose server has already seen a higher one.
async fn raise_fence<P: Platform>(node: &Rc<Node<P>>, service: &Name, span: &Span) {
    if !node.control.borrow().may_command(node.now()) {
        return;
    }
    let Some((_, owned)) = current_ownership(node, service) else { return };
    if node.control.borrow().is_unsettled(span) {
        return;
    }
    let mut next = (*owned).clone();
    let Some(index) = next.spans.iter().position(|other| other == span) else { return };
    if node.control.borrow_mut().handovers.entry(service.clone()).or_default().writing {
        return;
    }
    next.spans[index].fence = node.control.borrow_mut().fence();
    write_ownership(node, service, next).await;
}

/// Grants a span to its owner and records the outcome.
pub(super) async fn grant<P: Platform>(
    node: &Rc<Node<P>>,
    service: &Name,
    span: &Span,
    addr: SocketAddr,
    duration: Duration,
    token: Option<Name>,
) -> Reply {
    let sent = node.now();
    if !node.control.borrow().may_command(sent) {
        node.control.borrow_mut().leases.entry(service, span).in_flight = false;
        return Reply::NoResponse;
    }
    let sent_grant =
        node.control.borrow_mut().leases.entry(service, span).record_send(sent, duration);
    let answer = node.platform.grant(addr, &command(node, span, duration, token)).await;
    let reply = notices::hear_answer(node, &span.owner, addr, answer);
    let now = node.now();
    let mut control = node.control.borrow_mut();
    let lease = control.leases.entry(service, span);
    lease.in_flight = false;
    lease.record_reply(&sent_grant, &reply, now);
    match reply {
        Reply::Done(_) => {
            lease.acked = Some(sent);
            lease.taken.get_or_insert(now);
        }
        Reply::NewConnection => node.metrics.count("grant_withheld"),
        Reply::NoResponse => node.metrics.count("grant_unanswered"),
        Reply::Down | Reply::Unsent | Reply::Replaced | Reply::Fenced => {}
    }
    control.record_reply(&span.owner, &reply, sent);
    reply
}

/// Builds a command for the owner of a span, to be sent now.
pub(super) fn command<P: Platform>(
    node: &Rc<Node<P>>,
    span: &Span,
    duration: Duration,
    token: Option<Name>,
) -> Grant {
    let conn_age = node.control.borrow().conn_age(node.now());
    Grant::new(span, duration, token, conn_age)
}

/// Returns the longest lease that servers accept.
pub(super) fn max_lease<P: Platform>(node: &Rc<Node<P>>) -> Duration {
    Duration::from_millis(node.settings.limits.hold_ms.into())
}

/// Returns the durations of the leases that controllers grant.
pub(super) fn lease_terms<P: Platform>(node: &Rc<Node<P>>) -> Terms {
    Terms::new(max_lease(node))
}

/// Clears the former owners of spans whose handover has finished.
async fn commit_handovers<P: Platform>(
    node: &Rc<Node<P>>,
    service: &Name,
    owned: &Ownership,
    now: Tick,
) {
    let finished = {
        let mut control = node.control.borrow_mut();
        let Some(progress) = control.handovers.get_mut(service) else { return };
        let Some(oldest) = progress.oldest else { return };
        if now.since(oldest) < COMMIT_DELAY {
            return;
        }
        progress.oldest = None;
        std::mem::take(&mut progress.finished)
    };
    let mut next = owned.clone();
    for span in next.spans.iter_mut().filter(|span| finished.contains(&span.handover())) {
        span.former = None;
    }
    if !write_ownership(node, service, next).await {
        let mut control = node.control.borrow_mut();
        let Some(progress) = control.handovers.get_mut(service) else { return };
        progress.finished.extend(finished);
        progress.oldest = Some(node.now());
    }
}

/// Returns the failure domains of the servers of a service.
fn server_domains<P: Platform>(node: &Rc<Node<P>>, service: &Name) -> HashMap<Instance, Name> {
    let view = node.view.borrow();
    let servers = view.servers.values().filter(|server| server.entry.service == *service);
    servers.map(|server| (server.instance(), server.entry.domain.clone())).collect()
}

/// Moves keys off overloaded servers and off those that are leaving, unless this node may be cut off
/// from all servers and take them for dead, or the store does not respond and takes no moves.
async fn rebalance<P: Platform>(node: &Rc<Node<P>>, service: &Name, now: Tick) {
    if node.reach.borrow().is_in_doubt() || node.store_lost.get() {
        return;
    }
    let Some((position, owned)) = current_ownership(node, service) else { return };
    let servers = candidates(node, service, now);
    let domains = server_domains(node, service);
    let next = {
        let mut control = node.control.borrow_mut();
        let control = &mut *control;
        let progress = control.handovers.entry(service.clone()).or_default();
        if progress.writing || now.since(progress.planned) < PLAN_INTERVAL {
            return;
        }
        progress.planned = now;
        let demand = control.demands.entry(service.clone()).or_default();
        demand.decay(now);
        let loads = demand.loads();
        let places = balance::Places { domains, demand };
        let capacity: f64 = servers.iter().map(|server| server.capacity).sum();
        let base = capacity * BASE_LOAD_SHARE / (f64::from(MAX_KEY) + 1.0);
        if now.since(progress.logged) >= LOG_INTERVAL {
            progress.logged = now;
            let levels = balance::utilizations(&owned, &servers, &loads, base);
            let level = |index: usize| levels.get(index).copied().unwrap_or_default();
            let (low, median) = (level(0), level(levels.len() / 2));
            let high = level(levels.len().saturating_sub(1));
            info!(event = "balance", service = service.as_str(), servers = levels.len(), spans = owned.spans.len(), low, median, high, revision:% = position; "load of the servers relative to their capacity");
        }
        let moves = balance::plan_moves_near(&owned, &servers, &loads, base, Some(&places));
        let mut next = (*owned).clone();
        let settled = !next.spans.iter().any(|span| control.is_unsettled(span));
        let joined = settled
            && next.spans.len() > MAX_SPANS_PER_SERVER * servers.len()
            && next.merge_adjacent(|| control.fence());
        if moves.is_empty() && !joined {
            return;
        }
        for step in moves {
            for index in next.split_range(step.first, step.last) {
                let fence = control.fence();
                let unsettled = control.is_unsettled(&next.spans[index]);
                let span = &mut next.spans[index];
                if unsettled || span.former.is_some() || span.owner == step.to {
                    continue;
                }
                span.former = Some(std::mem::replace(&mut span.owner, step.to.clone()));
                span.fence = fence;
                info!(event = "move", service = service.as_str(), first = span.first, last = span.last, to = step.to.server.as_str(), fence, revision:% = position; "moving keys to another server");
            }
        }
        next
    };
    write_ownership(node, service, next).await;
}
