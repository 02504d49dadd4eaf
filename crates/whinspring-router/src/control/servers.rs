//! What the controller knows of servers: which can own keys, and which do not respond to commands.
//! Neither a refused connection nor silence proves that a server has ended; [`whinspring::server_end`]
//! says what does.

use {
    super::Controller,
    crate::{
        cold,
        node::Node,
        platform::{Platform, Reply},
    },
    log::info,
    std::{io::ErrorKind, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{task::spawn_local, time::timeout},
    whinspring::{
        name::Name,
        ranges::{Instance, balance::Candidate},
        time::Tick,
    },
};

/// Time after a refused connection for which a server counts as down: it gets no keys, and its keys
/// move to other servers.
const DOWN_PERIOD: Duration = Duration::from_millis(1_500);

/// Time between two probes of a server that refused a command.
const PROBE_INTERVAL: Duration = Duration::from_millis(700);

/// Longest time to connect to a server for a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Most probes that are started in one round: a partition may refuse connections to hundreds of servers.
const MAX_PROBES: usize = 8;

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

/// Logs, once for each series of refusals, that keys wait for the leases of a server until `deadline`.
pub(super) fn note_refusal<P: Platform>(node: &Rc<Node<P>>, instance: &Instance, deadline: Tick) {
    let now = node.now();
    {
        let mut control = node.control.borrow_mut();
        let Some(refusals) = control.down.get_mut(instance) else { return };
        if std::mem::replace(&mut refusals.noted, true) {
            return;
        }
    }
    node.metrics.count("end_unproved");
    let domain = node.view.borrow().location(instance).map(|location| location.domain);
    let (server, domain) = (instance.server.as_str(), domain.unwrap_or_default());
    let left_ms = deadline.since(now).as_millis() as u64;
    info!(event = "end_unproved", server, domain = domain.as_str(), left_ms; "server refuses connections, as a partition does as well; its keys wait for the end of its leases");
}

/// Probes servers that refused commands, so that they get no keys while they go on refusing: once their keys
/// have moved, no more commands are sent to them.
pub(super) fn probe_refusing<P: Platform>(node: &Rc<Node<P>>, now: Tick) {
    for instance in node.control.borrow_mut().start_probes(now) {
        if let Some(addr) = address(node, &instance) {
            spawn_local(probe(node.clone(), instance, addr));
        }
    }
}

async fn probe<P: Platform>(node: Rc<Node<P>>, instance: Instance, addr: SocketAddr) {
    let sent = node.now();
    let Ok(Err(error)) = timeout(PROBE_TIMEOUT, node.platform.connect(addr)).await else { return };
    if error.kind() != ErrorKind::ConnectionRefused {
        return;
    }
    if let Some(refusals) = node.control.borrow_mut().down.get_mut(&instance) {
        refusals.last = refusals.last.max(sent);
    }
}

/// Refused connections and commands of a server instance.
#[derive(Debug)]
pub struct Refusals {
    /// When the last one was sent.
    last: Tick,
    /// When it was last probed.
    probed: Tick,
    /// Whether another server at the address answered the last one.
    replaced: bool,
    /// Whether the log tells of the current series.
    noted: bool,
}

impl Refusals {
    /// Returns whether the server gets no keys because of the last refusal.
    fn are_recent(&self, now: Tick) -> bool {
        let period = if self.replaced { REPLACED_PERIOD } else { DOWN_PERIOD };
        now.since(self.last) < period
    }

    /// Returns whether a probe is due.
    fn is_probe_due(&self, now: Tick) -> bool {
        let tried = self.last.max(self.probed);
        !self.replaced && self.are_recent(now) && now.since(tried) >= PROBE_INTERVAL
    }
}

impl Controller {
    /// Updates which servers refuse connections from the reply to a command.
    pub(super) fn record_reply(&mut self, instance: &Instance, reply: &Reply, sent: Tick) {
        match reply {
            Reply::Down | Reply::Replaced => {
                let known = self.down.get(instance);
                let series = known.filter(|known| sent.since(known.last) <= DOWN_PERIOD);
                let noted = series.is_some_and(|known| known.noted);
                let replaced = *reply == Reply::Replaced;
                let refusals = Refusals { last: sent, probed: Tick::default(), replaced, noted };
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

    /// Returns the servers to probe now, a few at a time, those first that were probed longest ago.
    fn start_probes(&mut self, now: Tick) -> Vec<Instance> {
        let mut due: Vec<_> = self.down.iter_mut().filter(|(_, it)| it.is_probe_due(now)).collect();
        due.sort_unstable_by_key(|(_, refusals)| refusals.probed);
        let started = due.into_iter().take(MAX_PROBES).map(|(instance, refusals)| {
            refusals.probed = now;
            instance.clone()
        });
        started.collect()
    }

    /// Forgets servers that no command was sent to for a long time.
    pub(super) fn evict_silent(&mut self, now: Tick) {
        self.silent.retain(|_, last| now.since(*last) < SILENCE_RETENTION);
        self.down.retain(|_, refusals| refusals.are_recent(now));
    }
}

/// Returns the current instance of a server that has restarted since the given one.
pub(super) fn restarted_as<P: Platform>(
    node: &Rc<Node<P>>,
    instance: &Instance,
) -> Option<Instance> {
    let view = node.view.borrow();
    let current = view.servers.get(&instance.server)?.instance();
    current.succeeds(instance).then_some(current)
}

/// Returns the address of a server instance, also if its entry is gone.
pub(super) fn address<P: Platform>(node: &Rc<Node<P>>, instance: &Instance) -> Option<SocketAddr> {
    node.view.borrow().location(instance).map(|location| location.addr)
}
