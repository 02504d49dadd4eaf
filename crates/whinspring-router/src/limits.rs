//! How many requests a second servers take, as this node reads it in their responses.
//! [`whinspring::limits`] decides what follows from it.

use {
    crate::{node::Node, platform::Platform},
    http::{HeaderMap, HeaderValue, StatusCode},
    log::info,
    std::rc::Rc,
    whinspring::{
        limits::{Named, Rate, Statement, parse_limit},
        name::Name,
        notices::Life,
        time::Tick,
    },
};

/// Records what a server has said of its limit in a response to a request that was sent at `sent`.
pub fn hear<P: Platform>(
    node: &Rc<Node<P>>,
    server: &Name,
    life: Life,
    status: StatusCode,
    headers: &HeaderMap,
    sent: Tick,
) {
    let names = node.platform.headers();
    let values = headers.get_all(&names.limit).iter().map(HeaderValue::as_bytes);
    let did_run =
        status != StatusCode::MISDIRECTED_REQUEST && !headers.contains_key(&names.not_run);
    match parse_limit(values) {
        Named::Limit(rate) => {
            record(
                node,
                server,
                life,
                Statement { rate: Some(rate), since: node.now() },
                "response",
            );
        }
        Named::None if did_run => {
            record(node, server, life, Statement { rate: None, since: sent }, "response");
        }
        Named::None => {}
        Named::Unreadable => {
            node.metrics.count("bad_server_limit");
            info!(event = "bad_server_limit", server = server.as_str(); "server named a limit that is no number of requests a second; keeping what is known");
        }
    }
}

/// Records what a server has said, to this node or to another one; logs it if the limit changes.
fn record<P: Platform>(
    node: &Rc<Node<P>>,
    server: &Name,
    life: Life,
    statement: Statement,
    source: &'static str,
) {
    let limits = &mut node.view.borrow_mut().limits;
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
            info!(event = "server_limited", server = server.as_str(), source, rate = rate.per_second(), before, age_ms; "server takes a limited number of requests a second from all nodes");
        }
        None => {
            node.metrics.count("server_unlimited");
            info!(event = "server_unlimited", server = server.as_str(), source, before, age_ms; "server names no limit any more");
        }
    }
}
