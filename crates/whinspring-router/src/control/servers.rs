//! What the controller knows of servers: which can own keys, and which have certainly ended.
//! [`whinspring::server_end`] decides on the latter.

use {
    super::Controller,
    crate::{
        cold,
        message::{Body, ProbeRequest, ProbeResult},
        node::Node,
        platform::{Platform, RESTART_TIME, Reply},
        reach,
    },
    log::info,
    std::{collections::HashSet, io::ErrorKind, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{task::spawn_local, time::timeout},
    whinspring::{
        name::Name,
        ranges::{Instance, balance::Candidate},
        server_end::{Doubt, EndProof, Observation},
        time::Tick,
    },
};

/// Time for which a server must refuse connections to count as ended.
const ENDED_AFTER: Duration = RESTART_TIME;

/// The same for a leaving server, which refuses connections before its last requests end.
const LEAVING_ENDED_AFTER: Duration = Duration::from_millis(2_000);

/// Time between two rounds of probes of a server by all nodes.
const PROBE_INTERVAL: Duration = Duration::from_millis(700);

/// Longest time to connect to a server for a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after a refused connection for which a server counts as down: it gets no keys, and its keys
/// move to other servers.
const DOWN_PERIOD: Duration = Duration::from_millis(1_500);

/// Time after a command was answered by another server at the address for which a server gets no
/// keys. The entry of a server that has ended expires within this time.
const REPLACED_PERIOD: Duration = Duration::from_millis(5_000);

/// Time between two commands to a server that does not respond. All other commands to it wait for
/// the outcome: thousands of ranges may belong to servers that a partition has cut off, and each
/// command would occupy a connection until it times out.
const SILENT_RETRY: Duration = Duration::from_millis(400);

/// Time for which a server that does not respond is remembered.
const SILENCE_RETENTION: Duration = Duration::from_secs(20);

/// Capacity of a cold server without a rate, relative to a warm one.
const COLD_CAPACITY: f64 = 0.5;

/// Capacity lost with the share of errors. A retried error costs its callers as much as another
/// request, and a server half of whose responses are errors is to keep next to no keys.
const ERROR_COST: f64 = 2.0;

/// Least capacity of a server that responds with errors, relative to a healthy one.
const FAILING_CAPACITY: f64 = 0.05;

/// Assumed time of a request before any measurement, in seconds.
const DEFAULT_WORK_S: f64 = 0.13;

/// Returns the servers of a service that can own keys, sorted by instance. Those of evacuated failure
/// domains lose their keys, which stay where they are as long as no other server can take them. A
/// server that responds with errors loses capacity, unless most of the service do: moves would not
/// help them.
pub(super) fn candidates<P: Platform>(
    node: &Rc<Node<P>>,
    service: &Name,
    now: Tick,
) -> Vec<Candidate> {
    let view = node.view.borrow();
    let control = node.control.borrow();
    let errors = |name: &Name| control.errors.get(name).map_or(0.0, |errors| errors.high(now));
    let servers = || view.servers.values().filter(|server| server.entry.service == *service);
    let failing = servers().filter(|server| errors(&server.name) > 0.0).count();
    let is_outlier = failing * 2 <= servers().count();
    let mut found: Vec<Candidate> = servers()
        .map(|server| {
            let instance = server.instance();
            let slowness = control.slowness.get(&server.name).copied().unwrap_or(1.0);
            let cold_rate = cold::rate(&node.settings.limits, &view, server, now);
            let is_slow = cold_rate.is_none() && cold::is_cold(&view, server, now);
            let cold = if is_slow { COLD_CAPACITY } else { 1.0 };
            let capacity = f64::from(server.entry.slots) * cold / slowness.clamp(0.3, 10.0);
            let work = control.work.get(&server.name).copied().unwrap_or(DEFAULT_WORK_S);
            let limit = view.limits.rate(&server.name, server.life());
            let healthy = if is_outlier { 1.0 - ERROR_COST * errors(&server.name) } else { 1.0 };
            let rates = limit.into_iter().chain(cold_rate);
            let capacity = rates.map(|rate| rate.per_second() * work).fold(capacity, f64::min);
            let capacity = capacity * healthy.max(FAILING_CAPACITY);
            let down = control.down.get(&instance).is_some_and(|refusals| refusals.are_recent(now));
            let evacuated = view.evacuations.is_evacuated(&server.entry.domain);
            let leaving = evacuated
                || view.notices.leaving_since(&server.name).is_some()
                || server.missing.is_some()
                || down;
            Candidate { instance, capacity, leaving }
        })
        .collect();
    found.sort_by(|a, b| a.instance.cmp(&b.instance));
    found
}

/// Returns whether a server refused a connection a moment ago.
pub(super) fn refused_recently<P: Platform>(
    node: &Rc<Node<P>>,
    instance: &Instance,
    now: Tick,
) -> bool {
    let control = node.control.borrow();
    control.down.get(instance).is_some_and(|known| now.since(known.last) < DOWN_PERIOD / 10)
}

/// Returns whether it is proved that the process of a server has ended, which refuses connections at an
/// address. One refusal proves nothing: a server also refuses some nodes when it has too many
/// connections or is partitioned from them. Nodes that are cut off from all servers are not counted,
/// and prove nothing themselves.
pub(super) fn has_ended<P: Platform>(
    node: &Rc<Node<P>>,
    instance: &Instance,
    addr: SocketAddr,
) -> bool {
    if node.reach.borrow().is_in_doubt() {
        return false;
    }
    let Some(observed) = observe(node, instance, addr) else { return false };
    let verdict = observed.conclude();
    if node.control.borrow_mut().is_news(instance, verdict) {
        log_verdict(node, instance, &observed, verdict);
    }
    verdict.is_ok()
}

/// Returns what the nodes have seen of a server that refuses connections; `None` if it does not.
fn observe<P: Platform>(
    node: &Rc<Node<P>>,
    instance: &Instance,
    addr: SocketAddr,
) -> Option<Observation> {
    let now = node.now();
    let domain = domain_of(node, instance);
    let control = node.control.borrow();
    let first = control.down.get(instance)?.first;
    let responded = control.last_response.get(&instance.server).is_some_and(|at| *at >= first);
    let domain_probe = domain.as_ref().and_then(|domain| control.domains.get(domain));
    let probes = control.probes.get(&addr);
    let peers = node.peers.borrow();
    let witnesses = || peers.live(now).filter(|(_, peer)| !peer.heartbeat.cut_off);
    let is_refused = |name: &Name| probes.is_some_and(|round| round.refused.contains(name));
    let refused = || witnesses().filter(|(name, _)| is_refused(name));
    let is_inside = |other: &str| domain.as_ref().is_some_and(|domain| **domain == *other);
    let has_inside = refused().any(|(_, peer)| is_inside(&peer.heartbeat.domain));
    Some(Observation {
        refusing: now.since(first),
        required: if is_serving(node, instance) { ENDED_AFTER } else { LEAVING_ENDED_AFTER },
        responded: responded || probes.is_some_and(|round| round.reached),
        has_paths: node.reach.borrow().has_opened_since(first),
        nodes: witnesses().count() + 1,
        refused: refused().count() + 1,
        refused_inside: has_inside || is_inside(&node.settings.domain),
        domain_reached: domain_probe.is_some_and(|probe| probe.reached >= first),
    })
}

/// Returns whether a server has an entry and has not announced that it leaves.
fn is_serving<P: Platform>(node: &Rc<Node<P>>, instance: &Instance) -> bool {
    let view = node.view.borrow();
    let listed = view.servers.get(&instance.server);
    let is_leaving = view.notices.leaving_since(&instance.server).is_some();
    listed.is_some_and(|server| server.missing.is_none()) && !is_leaving
}

/// Returns the failure domain of a server instance, if it is known.
fn domain_of<P: Platform>(node: &Rc<Node<P>>, instance: &Instance) -> Option<Name> {
    let location = node.view.borrow().location(instance)?;
    Some(location.domain).filter(|domain| !domain.is_empty())
}

fn log_verdict<P: Platform>(
    node: &Rc<Node<P>>,
    instance: &Instance,
    observed: &Observation,
    verdict: Result<EndProof, Doubt>,
) {
    let domain = domain_of(node, instance).unwrap_or_default();
    let (server, domain) = (instance.server.as_str(), domain.as_str());
    let refusing_ms = observed.refusing.as_millis() as u64;
    let Observation { refused, nodes, .. } = *observed;
    match verdict {
        Ok(proof) => {
            node.metrics.count("server_ended");
            info!(event = "server_ended", server, domain, proof = proof.text(), refusing_ms, refused, nodes; "server refuses connections and its failure domain is reached: its process has ended");
        }
        Err(Doubt::DomainSilent) => {
            node.metrics.count("end_unproved");
            info!(event = "end_unproved", server, domain, refusing_ms, refused, nodes; "server refuses connections, but nothing in its failure domain is reached, which may be cut off; its keys wait for the end of its leases");
        }
        Err(_) => {}
    }
}

/// Asks all nodes to probe whether a server refuses connections, and probes others itself.
pub(super) fn request_probes<P: Platform>(
    node: &Rc<Node<P>>,
    instance: &Instance,
    addr: SocketAddr,
) {
    let now = node.now();
    reach::request_round(node);
    if let Some(domain) = domain_of(node, instance) {
        probe_domain(node, domain);
    }
    {
        let mut control = node.control.borrow_mut();
        let round = control.probes.entry(addr).or_default();
        if round.sent != Tick::default() && now.since(round.sent) < PROBE_INTERVAL {
            return;
        }
        *round = ProbeRound { sent: now, ..ProbeRound::default() };
    }
    node.send_all(Body::ProbeRequest(ProbeRequest { addr: addr.to_string() }));
}

/// Probes servers of a failure domain that have not refused connections of late, to learn whether the
/// domain is reached. Does nothing if a node there can tell whether another server refuses it.
fn probe_domain<P: Platform>(node: &Rc<Node<P>>, domain: Name) {
    let now = node.now();
    if has_node(node, &domain, now) {
        return;
    }
    {
        let mut control = node.control.borrow_mut();
        let probe = control.domains.entry(domain.clone()).or_default();
        if probe.sent != Tick::default() && now.since(probe.sent) < PROBE_INTERVAL {
            return;
        }
        probe.sent = now;
    }
    let node = node.clone();
    spawn_local(async move {
        let refusing: HashSet<Name> =
            node.control.borrow().down.keys().map(|instance| instance.server.clone()).collect();
        if reach::reaches_domain(&node, &domain, |server| !refusing.contains(server)).await {
            node.control.borrow_mut().domains.entry(domain).or_default().reached = now;
        }
    });
}

/// Returns whether a live node that reaches servers is in a failure domain.
fn has_node<P: Platform>(node: &Rc<Node<P>>, domain: &Name, now: Tick) -> bool {
    let peers = node.peers.borrow();
    let mut inside = peers.live(now).filter(|(_, peer)| *peer.heartbeat.domain == **domain);
    node.settings.domain == *domain || inside.any(|(_, peer)| !peer.heartbeat.cut_off)
}

/// Probes a server on behalf of another node, and sends it the result. A timeout sends nothing, and
/// neither does a refusal if this node may be cut off from all servers.
pub async fn probe_for_peer<P: Platform>(node: Rc<Node<P>>, requester: Name, addr: SocketAddr) {
    let refused = match timeout(PROBE_TIMEOUT, node.platform.connect(addr)).await {
        Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
        Ok(Ok(_)) => false,
        Err(_) => return,
    };
    if refused && node.reach.borrow().is_in_doubt() {
        return;
    }
    node.send(&requester, Body::ProbeResult(ProbeResult { addr: addr.to_string(), refused }));
}

/// Refused connections and commands of a server instance.
#[derive(Debug)]
pub struct Refusals {
    /// When the first of the current series was sent.
    first: Tick,
    /// When the last one was sent.
    last: Tick,
    /// Whether another server at the address answered the last one.
    replaced: bool,
    /// What was last concluded from the series.
    verdict: Option<Result<EndProof, Doubt>>,
}

impl Refusals {
    /// Returns whether the server gets no keys because of the last refusal.
    fn are_recent(&self, now: Tick) -> bool {
        let period = if self.replaced { REPLACED_PERIOD } else { DOWN_PERIOD };
        now.since(self.last) < period
    }
}

/// Probes of servers of a failure domain without a node.
#[derive(Debug, Default)]
pub struct DomainProbe {
    /// When the last probes were sent.
    sent: Tick,
    /// When the last ones were sent of which one was answered.
    reached: Tick,
}

/// Results of one round of probes of a server's address.
#[derive(Debug, Default)]
pub struct ProbeRound {
    /// When the probes were requested.
    sent: Tick,
    /// Nodes whose connections were refused.
    refused: HashSet<Name>,
    /// Whether a node got any other result.
    reached: bool,
}

impl ProbeRound {
    pub fn record(&mut self, from: &Name, refused: bool) {
        if refused {
            self.refused.insert(from.clone());
        }
        self.reached |= !refused;
    }
}

impl Controller {
    /// Updates which servers refuse connections from the reply to a command.
    pub(super) fn record_reply(&mut self, instance: &Instance, reply: &Reply, sent: Tick) {
        match reply {
            Reply::Down | Reply::Replaced => {
                let known = self.down.get(instance);
                let series = known.filter(|known| sent.since(known.last) <= DOWN_PERIOD);
                let first = series.map_or(sent, |known| known.first);
                let verdict = series.and_then(|known| known.verdict);
                let replaced = *reply == Reply::Replaced;
                let refusals = Refusals { first, last: sent, replaced, verdict };
                self.down.insert(instance.clone(), refusals);
            }
            Reply::Done(_) | Reply::Fenced => {
                self.down.remove(instance);
            }
            Reply::NewConnection => {
                self.unproven.insert(instance.clone());
            }
            Reply::Unsent | Reply::NoResponse => {
                self.silent.entry(instance.clone()).or_insert(sent);
                return;
            }
        }
        self.silent.remove(instance);
    }

    /// Records what was concluded of a server that refuses connections. Returns whether it differs from
    /// what was concluded before.
    fn is_news(&mut self, instance: &Instance, verdict: Result<EndProof, Doubt>) -> bool {
        let Some(refusals) = self.down.get_mut(instance) else { return false };
        refusals.verdict.replace(verdict) != Some(verdict)
    }

    /// Returns whether a command may be sent to a server now. To a server that does not respond,
    /// one command at a time is sent; one on a new connection waits for a confirmation by the store.
    pub(super) fn may_contact(&mut self, now: Tick, instance: &Instance) -> bool {
        if self.unproven.contains(instance) {
            return false;
        }
        let Some(last) = self.silent.get_mut(instance) else { return true };
        if now.since(*last) < SILENT_RETRY {
            return false;
        }
        *last = now;
        true
    }

    /// Forgets servers that no command was sent to for a long time.
    pub(super) fn evict_silent(&mut self, now: Tick) {
        self.silent.retain(|_, last| now.since(*last) < SILENCE_RETENTION);
    }
}

/// Returns the current instance of a server that has restarted since the given one.
pub(super) fn restarted_as<P: Platform>(
    node: &Rc<Node<P>>,
    instance: &Instance,
) -> Option<Instance> {
    let view = node.view.borrow();
    let server = view.servers.get(&instance.server)?;
    (server.entry.start_ms != instance.start_ms).then(|| server.instance())
}

/// Returns the address of a server instance, also if its entry is gone.
pub(super) fn address<P: Platform>(node: &Rc<Node<P>>, instance: &Instance) -> Option<SocketAddr> {
    node.view.borrow().location(instance).map(|location| location.addr)
}
