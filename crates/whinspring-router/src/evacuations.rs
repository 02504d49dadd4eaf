//! Evacuated failure domains, as this node follows them. [`whinspring::evacuation`] decides what follows
//! for a request.

use {
    crate::{
        cluster::ClusterState, message::ServerNotice, node::Node, notices, platform::Platform,
    },
    log::info,
    std::{collections::HashMap, rc::Rc, time::Duration},
    tokio::time::sleep,
    whinspring::{
        name::Name,
        notices::{Purpose, Refusal},
        time::Tick,
    },
};

/// Time between two looks at what is left in the evacuated domains.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two log lines on the progress of an evacuation.
const LOG_INTERVAL: Duration = Duration::from_secs(2);

/// What is left in one evacuated domain.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Remainder {
    /// Ranges of keys that its servers own.
    pub spans: usize,
    /// Requests of this node at its servers.
    pub running: usize,
}

/// How far this node has logged an evacuation.
#[derive(Debug)]
struct Logged {
    last: Tick,
    is_done: bool,
}

/// Returns the time for which owners of keys in an evacuated domain get requests.
pub fn usable_time<P: Platform>(node: &Rc<Node<P>>) -> Duration {
    let limit = node.settings.limits.evacuate_ms.unwrap_or_default();
    Duration::from_millis(limit.into()).saturating_sub(notices::drain_margin(node))
}

/// Checks whether the failure domain of a server lets a request go there. While a domain is evacuated,
/// a server whose domain is not known gets nothing.
pub fn check(
    view: &ClusterState,
    server: &Name,
    purpose: Purpose,
    now: Tick,
    usable: Duration,
) -> Result<(), Refusal> {
    if view.evacuations.is_empty() {
        return Ok(());
    }
    let entry = view.servers.get(server).map(|server| &server.entry).ok_or(Refusal::Left)?;
    let keyed = view.routes.as_ref().is_some_and(|routes| routes.is_keyed(&entry.service));
    view.evacuations.check(&entry.domain, keyed, purpose, now, usable)
}

/// Returns whether the failure domain of a server is evacuated.
pub fn is_evacuated<P: Platform>(node: &Rc<Node<P>>, server: &Name) -> bool {
    let view = node.view.borrow();
    let server = view.servers.get(server);
    server.is_some_and(|server| view.evacuations.is_evacuated(&server.entry.domain))
}

/// Returns the servers of a service whose failure domain is evacuated.
pub fn servers_of<P: Platform>(node: &Rc<Node<P>>, service: &Name) -> Vec<Name> {
    let view = node.view.borrow();
    if view.evacuations.is_empty() {
        return Vec::new();
    }
    let own = view.servers.values().filter(|server| server.entry.service == *service);
    let evacuated = own.filter(|server| view.evacuations.is_evacuated(&server.entry.domain));
    evacuated.map(|server| server.name.clone()).collect()
}

/// Returns when the last evacuation of a failure domain ended, as far as this run of the process knows;
/// `None` while it is evacuated.
pub fn cleared_since<P: Platform>(node: &Rc<Node<P>>, domain: &Name) -> Option<Tick> {
    node.view.borrow().evacuations.cleared_since(domain)
}

/// Returns the ages of the evacuations for other nodes: a notice names the domain in place of a server.
pub fn ages<P: Platform>(node: &Rc<Node<P>>) -> Vec<ServerNotice> {
    let now = node.now();
    let view = node.view.borrow();
    let notice = |(domain, since): (&Name, Tick)| ServerNotice {
        server: domain.to_string(),
        age_ms: notices::age_ms(now, since),
        ..ServerNotice::default()
    };
    view.evacuations.domains().map(notice).collect()
}

/// Applies the ages of evacuations that another node knows.
pub fn apply_ages<P: Platform>(node: &Rc<Node<P>>, notices: &[ServerNotice]) {
    let now = node.now();
    let mut view = node.view.borrow_mut();
    for notice in notices {
        let since = now - Duration::from_millis(notice.age_ms.into());
        view.evacuations.record_age(&Name::from(notice.server.as_str()), since);
    }
}

/// Returns what is left in each evacuated domain.
pub fn remainders<P: Platform>(node: &Rc<Node<P>>) -> HashMap<Name, Remainder> {
    let view = node.view.borrow();
    let domains = view.evacuations.domains();
    let mut left: HashMap<Name, Remainder> =
        domains.map(|(domain, _)| (domain.clone(), Remainder::default())).collect();
    if left.is_empty() {
        return left;
    }
    for server in view.servers.values() {
        if let Some(remainder) = left.get_mut(&server.entry.domain) {
            remainder.running += server.running_count();
        }
    }
    for span in view.owners.values().flat_map(|(_, owned)| &owned.spans) {
        let owners = [Some(&span.owner), span.former.as_ref()];
        let servers = owners.into_iter().flatten().filter_map(|it| view.servers.get(&it.server));
        let mut domains: Vec<&Name> = servers.map(|server| &server.entry.domain).collect();
        domains.dedup();
        for domain in domains {
            if let Some(remainder) = left.get_mut(domain) {
                remainder.spans += 1;
            }
        }
    }
    left
}

/// Logs and measures the progress of evacuations. Never returns.
pub async fn run<P: Platform>(node: Rc<Node<P>>) {
    let mut logged = HashMap::new();
    loop {
        sleep(PROGRESS_INTERVAL).await;
        let left = remainders(&node);
        node.metrics.evacuated_domains.set(left.len() as i64);
        let spans: usize = left.values().map(|remainder| remainder.spans).sum();
        node.metrics.evacuated_spans.set(spans as i64);
        log_progress(&mut logged, &left, node.now());
    }
}

fn log_progress(logged: &mut HashMap<Name, Logged>, left: &HashMap<Name, Remainder>, now: Tick) {
    logged.retain(|domain, _| left.contains_key(domain));
    for (name, remainder) in left {
        let (domain, Remainder { spans, running }) = (name.as_str(), *remainder);
        let is_done = *remainder == Remainder::default();
        let known = logged.get(name);
        if known.is_some_and(|known| known.is_done && is_done) {
            continue;
        }
        if is_done {
            info!(event = "evacuation_done", domain; "no request of this node is at the servers of the failure domain, and they own no keys");
        } else if known.is_none_or(|known| known.is_done || now.since(known.last) >= LOG_INTERVAL) {
            info!(event = "evacuation_progress", domain, spans, running; "the failure domain is not empty yet");
        } else {
            continue;
        }
        logged.insert(name.clone(), Logged { last: now, is_done });
    }
}
