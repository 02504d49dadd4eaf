//! How many requests a second servers take, as this node reads it in their responses.
//! [`whinspring::limits`] decides what follows from it.

use {
    crate::{
        cluster::ClusterState,
        message::ServerLimit,
        node::Node,
        platform::{Headers, Platform},
    },
    http::{HeaderMap, HeaderValue, StatusCode},
    log::info,
    std::{rc::Rc, time::Duration},
    whinspring::{
        limits::{Named, Rate, Statement, parse_limit},
        name::Name,
        notices::{Life, Source},
        time::Tick,
    },
};

/// Time for which the controller is told what a server has said.
const REPORT_TIME: Duration = Duration::from_secs(2);

/// The head of a response, and the request that it follows.
#[derive(Debug)]
pub struct Head<'a> {
    pub status: StatusCode,
    pub headers: &'a HeaderMap,
    /// Id of the request.
    pub id: Option<&'a HeaderValue>,
    /// When the request was sent, or earlier.
    pub sent: Tick,
}

impl Head<'_> {
    /// Returns whether the response is that of the request, and the request ran: a late response to
    /// another one may be older.
    pub fn is_of_run(&self, names: &Headers) -> bool {
        let is_own = self.id.is_some() && self.headers.get(&names.id) == self.id;
        let was_rejected = self.status == StatusCode::MISDIRECTED_REQUEST
            || self.headers.contains_key(&names.not_run);
        is_own && !was_rejected
    }
}

/// Records what a server has said of its limit in a response.
pub fn hear<P: Platform>(node: &Rc<Node<P>>, server: &Name, life: Life, head: &Head<'_>) {
    let names = node.platform.headers();
    let values = head.headers.get_all(&names.limit).iter().map(HeaderValue::as_bytes);
    let statement = match parse_limit(values) {
        Named::Limit(rate) => Statement { rate: Some(rate), since: node.now() },
        Named::None if head.is_of_run(names) => Statement { rate: None, since: head.sent },
        Named::None => return,
        Named::Unreadable => {
            node.metrics.count("bad_server_limit");
            info!(event = "bad_server_limit", server = server.as_str(); "server named a limit that is no number of requests a second; keeping what is known");
            return;
        }
    };
    record(node, server, life, statement, Source::Response);
}

/// Returns whether a server of a pool has a limit, as far as this node knows.
pub fn has_limit(view: &ClusterState, pool: &Name) -> bool {
    if view.limits.is_empty() {
        return false;
    }
    if let Some(server) = view.servers.get(pool) {
        return view.limits.rate(pool, server.life()).is_some();
    }
    view.limits.statements().any(|(name, life, statement)| {
        let server = view.servers.get(name).filter(|server| server.life() == life);
        statement.rate.is_some() && server.is_some_and(|server| server.entry.service == *pool)
    })
}

/// Returns the limit of the server that is a pool of its own, in requests a second.
pub fn rate<P: Platform>(node: &Rc<Node<P>>, server: &Name) -> Option<f64> {
    known_of(node, server)?.rate
}

/// Returns what this node knows of the limit of a server.
pub fn known_of<P: Platform>(node: &Rc<Node<P>>, server: &Name) -> Option<ServerLimit> {
    let view = node.view.borrow();
    let life = view.servers.get(server)?.life();
    let statement = view.limits.statement(server, life)?;
    Some(ServerLimit::new(server, life, statement, node.now()))
}

/// Returns what this node knows of the limits of a pool's servers: one server, or those of a service
/// without keys.
pub fn known<P: Platform>(node: &Rc<Node<P>>, pool: &Name) -> Vec<ServerLimit> {
    let now = node.now();
    let view = node.view.borrow();
    let is_in_pool = |(name, life, _): &(&Name, Life, Statement)| {
        let server = view.servers.get(*name).filter(|server| server.life() == *life);
        server.is_some_and(|server| *name == pool || server.entry.service == *pool)
    };
    let statements = view.limits.statements().filter(is_in_pool);
    statements.map(|(name, life, statement)| ServerLimit::new(name, life, statement, now)).collect()
}

/// Returns what servers have said of late, for the controller: each word in a few heartbeats, so that
/// a controller that has just taken over or missed one gets it.
pub fn recent<P: Platform>(node: &Rc<Node<P>>) -> Vec<ServerLimit> {
    let now = node.now();
    let view = node.view.borrow();
    let is_recent =
        |(_, _, statement): &(&Name, Life, Statement)| now.since(statement.since) < REPORT_TIME;
    let statements = view.limits.statements().filter(is_recent);
    statements.map(|(name, life, statement)| ServerLimit::new(name, life, statement, now)).collect()
}

/// Records what another node knows of the limits of servers.
pub fn learn<'a, P: Platform>(
    node: &Rc<Node<P>>,
    limits: impl IntoIterator<Item = &'a ServerLimit>,
) {
    for limit in limits {
        let Ok(addr) = limit.addr.parse() else {
            node.metrics.count("link_malformed");
            continue;
        };
        let rate = limit.rate.and_then(Rate::new);
        if rate.is_none() && !limit.lifted {
            continue;
        }
        let life = Life { start_ms: limit.start_ms, addr };
        let since = node.now() - Duration::from_millis(limit.age_ms.into());
        let server = Name::from(limit.server.as_str());
        record(node, &server, life, Statement { rate, since }, Source::Peer);
    }
}

impl ServerLimit {
    /// Creates a message on what a run of a server has said.
    fn new(server: &Name, life: Life, statement: Statement, now: Tick) -> Self {
        let rate = statement.rate.map(Rate::per_second);
        Self {
            server: server.to_string(),
            start_ms: life.start_ms,
            addr: life.addr.to_string(),
            rate,
            lifted: rate.is_none(),
            age_ms: now.since(statement.since).as_millis() as u32,
        }
    }
}

/// Records what a server has said, to this node or to another one; logs it if the limit changes.
fn record<P: Platform>(
    node: &Rc<Node<P>>,
    server: &Name,
    life: Life,
    statement: Statement,
    source: Source,
) {
    let mut view = node.view.borrow_mut();
    if view.servers.get(server).is_some_and(|server| server.life() != life) {
        return;
    }
    let limits = &mut view.limits;
    let before = limits.rate(server, life);
    limits.record(server, life, statement);
    let after = limits.rate(server, life);
    if before == after {
        return;
    }
    let age_ms = node.now().since(statement.since).as_millis() as u64;
    let before = before.map(Rate::per_second);
    match after {
        Some(rate) => {
            node.metrics.count("server_limited");
            info!(event = "server_limited", server = server.as_str(), source = source.text(), rate = rate.per_second(), before, age_ms; "server takes a limited number of requests a second from all nodes");
        }
        None => {
            node.metrics.count("server_unlimited");
            info!(event = "server_unlimited", server = server.as_str(), source = source.text(), before, age_ms; "server names no limit any more");
        }
    }
}
