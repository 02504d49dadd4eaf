//! What the controller knows of servers: which can own keys, and which are certainly dead.

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
    std::{
        cell::Cell, collections::HashSet, io::ErrorKind, net::SocketAddr, rc::Rc, time::Duration,
    },
    tokio::time::timeout,
    whinspring::{
        name::Name,
        ranges::{Instance, balance::Candidate},
        time::Tick,
    },
};

/// Time for which a server must refuse connections to count as dead.
const DEAD_AFTER: Duration = RESTART_TIME;

/// The same for a leaving server, which refuses connections before its last requests end.
const LEAVING_DEAD_AFTER: Duration = Duration::from_millis(2_000);

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

/// Returns whether a server is certainly dead: it has refused connections for some time, more than
/// two thirds of the live nodes saw the same, and none got a response meanwhile. One refusal proves
/// nothing: a server also refuses some nodes when it has too many connections or is partitioned
/// from them. Nodes that are cut off from all servers are not counted, and prove nothing themselves;
/// this one must have opened a connection to another server since.
pub(super) fn is_dead<P: Platform>(
    node: &Rc<Node<P>>,
    instance: &Instance,
    addr: SocketAddr,
) -> bool {
    let now = node.now();
    if node.reach.borrow().is_in_doubt() {
        return false;
    }
    let is_serving = {
        let view = node.view.borrow();
        let listed = view.servers.get(&instance.server);
        let is_leaving = view.notices.leaving_since(&instance.server).is_some();
        listed.is_some_and(|server| server.missing.is_none()) && !is_leaving
    };
    let after = if is_serving { DEAD_AFTER } else { LEAVING_DEAD_AFTER };
    let control = node.control.borrow();
    let Some(refusals) = control.down.get(instance) else { return false };
    let responded = control.last_response.get(&instance.server).copied().unwrap_or_default();
    let probes = control.probes.get(&addr);
    let peers = node.peers.borrow();
    let witnesses = || peers.live(now).filter(|(_, peer)| !peer.heartbeat.cut_off);
    let live_nodes = witnesses().count() + 1;
    let has_refused = |name: &Name| probes.is_some_and(|round| round.refused.contains(name));
    let refused = witnesses().filter(|(name, _)| has_refused(name)).count() + 1;
    let reached = probes.is_some_and(|round| round.reached);
    let is_dead = now.since(refusals.first) >= after
        && responded < refusals.first
        && node.reach.borrow().has_opened_since(refusals.first)
        && !reached
        && refused * 3 > live_nodes * 2;
    if is_dead && !refusals.logged.replace(true) {
        let refused_ms = now.since(refusals.first).as_millis() as u64;
        info!(event = "server_ended", server = instance.server.as_str(), refused_ms, refused, nodes = live_nodes; "server refuses connections of most nodes; its process is taken for ended");
    }
    is_dead
}

/// Asks all nodes to probe whether a server refuses connections, and probes others itself.
pub(super) fn request_probes<P: Platform>(node: &Rc<Node<P>>, addr: SocketAddr) {
    let now = node.now();
    reach::request_round(node);
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
    /// Whether a line has been logged that the server has ended.
    logged: Cell<bool>,
}

impl Refusals {
    /// Returns whether the server gets no keys because of the last refusal.
    fn are_recent(&self, now: Tick) -> bool {
        let period = if self.replaced { REPLACED_PERIOD } else { DOWN_PERIOD };
        now.since(self.last) < period
    }
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
                let logged = Cell::new(series.is_some_and(|known| known.logged.get()));
                let replaced = *reply == Reply::Replaced;
                let refusals = Refusals { first, last: sent, replaced, logged };
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
    node.view.borrow().address(instance)
}
