//! Observation of this node's network paths to the backend servers.
//!
//! Requests and commands report whether connections opened and responses arrived; the decisions are
//! in [`whinspring::reach`]. A task probes servers while the node may be cut off from all of them,
//! and tells the other nodes in its heartbeats whether it is.

use {
    crate::{
        node::Node,
        peers,
        platform::{Platform, Reply},
    },
    futures_util::future::{join, join_all},
    log::{info, warn},
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::time::{sleep, timeout},
    whinspring::{
        gate::ServerOutcome,
        name::Name,
        reach::{Change, Evidence, PROBE_TIMEOUT, Reach, Target},
        time::Tick,
    },
    whinspring_http::backend::{CallError, Conn, ConnectionPool, NoStream},
};

/// Interval at which a node in doubt checks whether servers are to be probed.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Probes servers while the node may be cut off from all of them. Never returns.
pub async fn run<P: Platform>(node: Rc<Node<P>>) {
    loop {
        if node.reach.borrow().is_probe_due(node.now()) {
            probe_servers(&node).await;
        }
        let is_waiting = node.reach.borrow().is_in_doubt();
        tokio::select! {
            () = node.doubted.notified() => {}
            () = sleep(CHECK_INTERVAL), if is_waiting => {}
        }
    }
}

/// Runs one round of probes.
async fn probe_servers<P: Platform>(node: &Rc<Node<P>>) {
    let now = node.now();
    let addrs = draw_servers(node, |reach, targets| reach.start_round(targets, now));
    let reached = count_reached(node, &addrs).await;
    let change = node.reach.borrow_mut().end_round(addrs.len(), reached, node.now());
    if let Some(change) = change {
        record_change(node, change);
    }
}

/// Returns whether this node reaches most of a few other servers that are drawn at random, and one of
/// those in the failure domain of `server` if there are others, so that a failure at `server` is not
/// that of a path.
pub async fn has_paths<P: Platform>(node: &Node<P>, server: &Name) -> bool {
    let addrs = draw_servers(node, |reach, targets| {
        let others: Vec<Target<'_>> =
            targets.iter().filter(|target| target.name != server).cloned().collect();
        reach.draw(&others)
    });
    let domain = node.view.borrow().servers.get(server).map(|known| known.entry.domain.clone());
    let inside = draw_inside(node, &domain.unwrap_or_default(), |name| name != server);
    let (reached, reached_inside) =
        join(count_reached(node, &addrs), count_reached(node, &inside)).await;
    let is_cut_off = node.reach.borrow().is_cut_off().is_some();
    let is_domain_reached = inside.is_empty() || reached_inside > 0;
    !is_cut_off && is_domain_reached && (addrs.is_empty() || 2 * reached > addrs.len())
}

/// Draws a few servers of a failure domain from those that `is_included` allows. Returns their addresses.
fn draw_inside<P: Platform>(
    node: &Node<P>,
    domain: &Name,
    is_included: impl Fn(&Name) -> bool,
) -> Vec<SocketAddr> {
    draw_servers(node, |reach, targets| {
        let inside = targets.iter().filter(|target| target.domain == domain);
        let included: Vec<Target<'_>> =
            inside.filter(|target| is_included(target.name)).cloned().collect();
        reach.draw(&included)
    })
}

/// Returns how many of the servers at some addresses take a connection.
async fn count_reached<P: Platform>(node: &Node<P>, addrs: &[SocketAddr]) -> usize {
    let probes = addrs.iter().map(|addr| timeout(PROBE_TIMEOUT, node.platform.connect(*addr)));
    let results = join_all(probes).await;
    results.iter().filter(|result| matches!(result, Ok(Ok(())))).count()
}

/// Returns the addresses of the listed servers that `draw` chooses.
fn draw_servers<P: Platform>(
    node: &Node<P>,
    draw: impl FnOnce(&mut Reach, &[Target<'_>]) -> Vec<Name>,
) -> Vec<SocketAddr> {
    let view = node.view.borrow();
    let listed = view.servers.values().filter(|server| server.missing.is_none());
    let targets: Vec<Target<'_>> =
        listed.map(|server| Target { name: &server.name, domain: &server.entry.domain }).collect();
    let drawn = draw(&mut node.reach.borrow_mut(), &targets);
    drawn.iter().filter_map(|name| view.servers.get(name)).map(|server| server.entry.addr).collect()
}

/// Logs a change of the paths and tells it to the other nodes.
fn record_change<P: Platform>(node: &Rc<Node<P>>, change: Change) {
    let now = node.now();
    let age = |tick: Tick| now.since(tick).as_millis() as u64;
    match change {
        Change::Lost(Evidence { tried, failures, last_success, since, .. }) => {
            node.metrics.count("paths_lost");
            node.metrics.cut_off.set(1);
            node.view.borrow().servers.values().for_each(|server| server.backend.clear_idle());
            node.paths_lost.notify_waiters();
            let success = last_success.map_or("never".into(), |at| age(at).to_string());
            warn!(event = "paths_lost", tried, failures, success_ms = success, cut_ms = age(since); "no server can be reached from this node; the fault is in its own paths or in all servers");
        }
        Change::Regained(Evidence { tried, reached, failures, since, .. }) => {
            node.metrics.count("paths_regained");
            node.metrics.cut_off.set(0);
            info!(event = "paths_regained", tried, reached, failures, cut_ms = age(since); "servers can be reached from this node again");
        }
    }
    peers::send_heartbeats(node, now);
}

/// Records whether a connection was opened to a server for a request; a reused one tells nothing.
pub fn record_conn<P: Platform>(
    node: &Node<P>,
    server: &Name,
    result: &Result<Conn<NoStream>, CallError>,
) {
    match result {
        Ok(conn) if conn.is_reused() => {}
        Ok(_) => {
            let failed = node.detours.borrow().proven_failure(server);
            node.detours.borrow_mut().record_success(server);
            if let Some(failed) = failed {
                let failed_ms = node.now().since(failed).as_millis() as u64;
                info!(event = "path_regained", server = server.as_str(), failed_ms; "the server can be reached from this node again");
            }
            record_open(node, server, true);
        }
        Err(_) => {
            node.detours.borrow_mut().record_failure(server, node.now());
            record_open(node, server, false);
        }
    }
}

/// Opens a connection to a server to find out whether this node reaches it.
pub async fn probe_path<P: Platform>(
    node: Rc<Node<P>>,
    server: Name,
    pool: Rc<ConnectionPool<NoStream>>,
) {
    let result = pool.open().await;
    record_conn(&node, &server, &result);
    if let Ok(conn) = result {
        pool.release(conn).await;
    }
}

/// Records whether a connection to a server could be opened.
pub fn record_open<P: Platform>(node: &Node<P>, server: &Name, opened: bool) {
    node.reach.borrow_mut().record_open(server, opened, node.now());
    note_doubt(node);
}

/// Records that a request got no response before its deadline; `connected` tells whether it had a
/// connection. One that had little time for opening a connection tells nothing.
pub fn record_timeout<P: Platform>(node: &Node<P>, server: &Name, start: Tick, connected: bool) {
    if connected {
        record_no_response(node, server);
    } else if node.now().since(start) >= PROBE_TIMEOUT {
        record_open(node, server, false);
    }
}

/// Records that a response of a server arrived.
pub fn record_response<P: Platform>(node: &Node<P>) {
    node.reach.borrow_mut().record_response(node.now());
}

/// Records that a request or command to a server got no response.
pub fn record_no_response<P: Platform>(node: &Node<P>, server: &Name) {
    node.reach.borrow_mut().record_no_response(server, node.now());
    note_doubt(node);
}

/// Records the outcome of a command to a server.
pub fn record_reply<P: Platform>(node: &Node<P>, server: &Name, reply: &Reply) {
    match reply {
        Reply::Done(_) | Reply::Fenced | Reply::Replaced => record_response(node),
        // The connection may have been opened long ago, before the path was lost.
        Reply::NewConnection => {}
        Reply::Down | Reply::Unsent => record_open(node, server, false),
        Reply::NoResponse => record_no_response(node, server),
    }
}

/// Returns the outcome of a failed attempt for the gate. It is not the server's if this node may be cut
/// off from all servers: the gate would make the server rest for all nodes.
pub fn failed_outcome<P: Platform>(node: &Node<P>) -> ServerOutcome {
    match node.reach.borrow().is_in_doubt() {
        true => ServerOutcome::NotSent,
        false => ServerOutcome::Failed,
    }
}

/// Has servers probed if the last failure makes the node doubt its paths.
fn note_doubt<P: Platform>(node: &Node<P>) {
    let known = node.view.borrow().servers.len();
    let mut reach = node.reach.borrow_mut();
    reach.set_known(known);
    if reach.is_suspect() {
        node.doubted.notify_one();
    }
}
