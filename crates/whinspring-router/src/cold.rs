//! Which servers are cold, and how many requests they get meanwhile. [`whinspring::cold`] decides
//! what follows from it.

use {
    crate::{
        cluster::{ClusterState, Server},
        limits::Head,
        node::Node,
        platform::Platform,
        settings::Limits,
    },
    log::info,
    std::{collections::HashSet, rc::Rc, time::Duration},
    whinspring::{
        cold::{ColdLimit, Members, Seat},
        limits::{Rate, Spacing},
        name::Name,
        notices::Life,
        time::Tick,
    },
};

/// Longest time for which a server may say that it remains cold.
const MAX_WARMUP: Duration = Duration::from_secs(600);

/// Servers of one change that are logged one by one.
const MAX_LOGGED: usize = 8;

/// What a node keeps for the limits of cold servers.
#[derive(Debug, Default)]
pub struct ColdState {
    /// Nodes that may run gates.
    pub members: Members,
    /// Servers that were cold at the last sweep.
    known: HashSet<Name>,
}

/// Returns when a server is warm. Servers of a failure domain whose evacuation has ended may have become
/// cold meanwhile, and count as cold for the time of a warm-up unless they say otherwise.
pub fn warm_at(view: &ClusterState, server: &Server) -> Tick {
    let cleared = view.evacuations.cleared_since(&server.entry.domain);
    let Some(cleared) = cleared.filter(|at| !server.has_stated_warmth(*at)) else {
        return server.warm_at;
    };
    let services = view.routes.as_ref().map(|routes| &routes.services);
    let service = services.and_then(|services| services.get(&server.entry.service));
    let warmup = service.map_or(Duration::ZERO, |service| service.warmup);
    server.warm_at.max(cleared + warmup)
}

/// Returns whether a server is cold.
pub fn is_cold(view: &ClusterState, server: &Server, now: Tick) -> bool {
    now < warm_at(view, server)
}

/// Returns whether the settings of a node name the bound of cold servers.
pub fn is_bounded(settings: &Limits) -> bool {
    settings.cold_overrun.is_some() && settings.cold_slack.is_some()
}

/// Returns the limit of a service's servers while they are cold, if the settings and the configuration
/// name one.
fn service_limit(settings: &Limits, view: &ClusterState, service: &Name) -> Option<ColdLimit> {
    let (overrun, slack) = settings.cold_overrun.zip(settings.cold_slack)?;
    let rate = view.routes.as_ref()?.services.get(service)?.cold_rate?;
    ColdLimit::new(rate, overrun, slack)
}

/// Returns the limit of a server if it is cold and has one.
fn limit(settings: &Limits, view: &ClusterState, server: &Server, now: Tick) -> Option<ColdLimit> {
    let limit = service_limit(settings, view, &server.entry.service)?;
    is_cold(view, server, now).then_some(limit)
}

/// Returns the requests a second that a server gets because it is cold.
pub fn rate(settings: &Limits, view: &ClusterState, server: &Server, now: Tick) -> Option<Rate> {
    limit(settings, view, server, now).map(|limit| limit.rate())
}

/// Returns whether a server of a pool is cold and has a limit for that time.
pub fn has_limit(settings: &Limits, view: &ClusterState, pool: &Name, now: Tick) -> bool {
    if let Some(server) = view.servers.get(pool) {
        return limit(settings, view, server, now).is_some();
    }
    let mut servers = view.servers.values().filter(|server| server.entry.service == *pool);
    service_limit(settings, view, pool).is_some() && servers.any(|it| is_cold(view, it, now))
}

/// Returns the position of a gate of this node; `is_elected` tells whether this node chooses itself.
/// Other nodes do not use the gate of a node that is stopping.
pub fn seat<P: Platform>(node: &Node<P>, is_elected: bool) -> Seat {
    node.cold.borrow().members.seat(is_elected && !node.leaving.get())
}

/// Returns how a gate of this node spaces the requests to a server because it is cold.
pub fn spacing<P: Platform>(
    node: &Node<P>,
    view: &ClusterState,
    server: &Server,
    seat: Seat,
) -> Option<Spacing> {
    let now = node.now();
    let limit = limit(&node.settings.limits, view, server, now)?;
    Some(limit.spacing(seat, now, node.clock.wall()))
}

/// Records what a server says in a response of how long it remains cold.
pub fn hear<P: Platform>(node: &Rc<Node<P>>, server: &Name, life: Life, head: &Head<'_>) {
    let names = node.platform.headers();
    let Some(value) = head.headers.get(&names.cold) else { return };
    let ms = value.to_str().ok().and_then(|text| text.trim().parse::<f64>().ok());
    let Some(ms) = ms.filter(|ms| ms.is_finite() && *ms >= 0.0) else {
        return node.metrics.count("bad_cold_time");
    };
    let left = Duration::from_secs_f64((ms / 1_000.0).min(MAX_WARMUP.as_secs_f64()));
    let mut view = node.view.borrow_mut();
    let known = view.servers.get_mut(server).filter(|known| known.life() == life);
    let Some(known) = known else { return };
    let since = if head.is_of_run(names) { head.sent } else { Tick::default() };
    known.record_warmup(left, since, node.now());
}

/// Logs which servers have become cold or warm, and keeps the nodes that may run gates.
pub fn sweep<P: Platform>(node: &Rc<Node<P>>) {
    let now = node.now();
    let mut state = node.cold.borrow_mut();
    let peers = node.peers.borrow();
    let known = peers.nodes.iter().map(|(name, peer)| (name, peer.is_live(now)));
    state.members.update(node.name(), known, now);
    drop(peers);
    let view = node.view.borrow();
    let cold = view.servers.values().filter(|server| is_cold(&view, server, now));
    let cold: HashSet<Name> = cold.map(|server| server.name.clone()).collect();
    if cold == state.known {
        return;
    }
    let started = cold.difference(&state.known);
    let ended = state.known.difference(&cold);
    let changes: Vec<(&Name, bool)> =
        started.map(|name| (name, true)).chain(ended.map(|name| (name, false))).collect();
    for (name, is_cold) in changes.iter().take(MAX_LOGGED) {
        let event = if *is_cold { "server_cold" } else { "server_warm" };
        node.metrics.count(event);
        let server = view.servers.get(*name);
        let left = server.map_or(Duration::ZERO, |server| warm_at(&view, server).since(now));
        let limit = server.and_then(|it| rate(&node.settings.limits, &view, it, now));
        let limit = limit.map(Rate::per_second);
        info!(event, server = name.as_str(), left_ms = left.as_millis() as u64, rate = limit; "server has become cold or warm");
    }
    if changes.len() > MAX_LOGGED {
        info!(event = "servers_cold", changed = changes.len(), cold = cold.len(); "more servers have become cold or warm than are logged one by one");
    }
    node.metrics.cold.set(cold.len() as i64);
    state.known = cold;
}
