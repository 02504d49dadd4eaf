//! Admission control and load balancing for a pool of backend servers.
//!
//! Load pattern: for seconds at a time more requests arrive than the slots can run, with different
//! priorities, while servers differ in speed and keep short queues of their own. A [`Gate`] admits
//! requests to one pool: either one server that owns keys, or all servers of a service without
//! keys. It admits as many requests as there are slots and queues the others by priority. A request
//! that cannot be started in time is rejected as soon as that is known, with the time until the
//! backlog has drained as its retry delay. A server that limits how many requests a second it takes
//! gets them spaced accordingly.

use {
    crate::{
        limits::{Pace, Rate},
        name::Name,
        time::Tick,
    },
    std::{collections::HashMap, time::Duration},
};

/// Assumed service time of a request before any measurement.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(130);

/// Weight of a new measurement in the moving average of the service time, as a divisor.
const SMOOTHING_DIVISOR: u32 = 8;

const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_500);

/// Time after which the measured service time of an idle server is discarded.
const SERVICE_TIME_TTL: Duration = Duration::from_secs(4);

/// Surcharge for a server in another failure domain, as a divisor of its cost.
const CROSS_DOMAIN_DIVISOR: u64 = 1;

/// Consecutive failures of a server that cause no backoff.
const TOLERATED_FAILURES: u32 = 1;

/// Base of the exponential backoff; the first backoff is twice as long.
const BACKOFF_UNIT: Duration = Duration::from_millis(25);

const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// Share of a request's slack that it may spend in the queue; the slack is the time to its deadline
/// less one service time.
const MAX_WAIT_PERCENT: u32 = 60;

/// Identifies a request at a gate.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket {
    /// Node that received the request.
    pub node: Name,
    /// Sequence number of the request on that node.
    pub number: u64,
}

/// A request that waits for admission.
#[derive(Debug, Clone)]
pub struct PendingRequest {
    pub ticket: Ticket,
    /// Failure domain of the node that received the request.
    pub domain: Name,
    /// Zero is the highest priority.
    pub priority: u8,
    /// Point in time by which the response should arrive to meet the latency target.
    pub target: Tick,
    /// Point in time after which a response is useless.
    pub deadline: Tick,
    /// Server that failed this request before; chosen only if no other one is available.
    pub avoid: Option<Name>,
    /// Servers that want nothing from the node of the request now; never chosen.
    pub exclude: Vec<Name>,
}

/// Outcome of an admitted request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerOutcome {
    /// The server ran the request to completion.
    Completed,
    /// The server did not run the request, failed it, or did not respond.
    Failed,
    /// The request was never sent, or the caller disconnected.
    NotSent,
}

/// Decision of a gate on a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The request is to be sent to the named server.
    Admit(Ticket, Name),
    /// The request is rejected; the caller may retry after the given delay.
    Reject(Ticket, Duration),
}

/// A server of the pool.
#[derive(Debug)]
struct Server {
    name: Name,
    domain: Name,
    /// Number of requests that the server runs concurrently.
    slots: u32,
    /// Whether requests may be sent to the server.
    open: bool,
    /// Admitted requests that have not completed, with the time of admission.
    running: HashMap<Ticket, Tick>,
    /// Moving average of the service time of a request; `None` if unknown.
    service_time: Option<Duration>,
    /// Time of the last service time measurement.
    measured_at: Tick,
    /// Failures since the last completed request.
    failures: u32,
    /// Point in time before which no request is sent, because of failures.
    backoff_until: Tick,
    /// Spacing of requests, if the server limits them.
    pace: Option<Pace>,
}

/// Admission queue of a pool of servers.
#[derive(Debug, Default)]
pub struct Gate {
    servers: Vec<Server>,
    /// Positions in `servers` by name: a pool may have a thousand servers, and each is updated with
    /// each request.
    positions: HashMap<Name, usize>,
    queue: Vec<PendingRequest>,
}

impl Gate {
    /// Updates the slots and the state of a server; adds it if it is new.
    pub fn set_server(&mut self, name: &Name, domain: &Name, slots: u32, open: bool) {
        if let Some(position) = self.positions.get(name) {
            let server = &mut self.servers[*position];
            server.slots = slots;
            server.open = open;
            return;
        }
        self.positions.insert(name.clone(), self.servers.len());
        self.servers.push(Server {
            name: name.clone(),
            domain: domain.clone(),
            slots,
            open,
            running: HashMap::new(),
            service_time: None,
            measured_at: Tick::default(),
            failures: 0,
            backoff_until: Tick::default(),
            pace: None,
        });
    }

    /// Sets how many requests a second a server of the pool gets; `None` for no limit.
    pub fn set_limit(&mut self, name: &Name, limit: Option<Rate>, now: Tick) {
        let Some(position) = self.positions.get(name) else { return };
        let server = &mut self.servers[*position];
        match (&mut server.pace, limit) {
            (Some(pace), Some(rate)) => pace.set_rate(rate, now),
            (pace, limit) => *pace = limit.map(|rate| Pace::new(rate, now)),
        }
    }

    /// Removes the servers for which `keep` returns false.
    pub fn retain_servers(&mut self, keep: impl Fn(&Name) -> bool) {
        let before = self.servers.len();
        self.servers.retain(|server| keep(&server.name));
        if self.servers.len() < before {
            let names = self.servers.iter().map(|server| server.name.clone());
            self.positions = names.zip(0..).collect();
        }
    }

    /// Adds a request to the queue unless it is already queued. The next [`Gate::decide`] decides on
    /// it.
    pub fn enqueue(&mut self, request: PendingRequest) {
        if !self.queue.iter().any(|other| other.ticket == request.ticket) {
            self.queue.push(request);
        }
    }

    /// Returns the server that is running an admitted request.
    pub fn assigned_server(&self, ticket: &Ticket) -> Option<&Name> {
        let server = self.servers.iter().find(|server| server.running.contains_key(ticket));
        server.map(|server| &server.name)
    }

    /// Returns the requests that were admitted before `point` and have not completed.
    pub fn admitted_before(&self, point: Tick) -> impl Iterator<Item = &Ticket> {
        let running = self.servers.iter().flat_map(|server| &server.running);
        running.filter(move |(_, since)| **since < point).map(|(ticket, _)| ticket)
    }

    /// Removes a request from the queue or from its server, and records its outcome.
    pub fn complete(&mut self, ticket: &Ticket, outcome: ServerOutcome, now: Tick) {
        self.queue.retain(|request| request.ticket != *ticket);
        for server in &mut self.servers {
            if let Some(since) = server.running.remove(ticket) {
                server.record_outcome(outcome, since, now);
            }
        }
    }

    /// Removes all requests of a node.
    pub fn remove_node(&mut self, node: &str) {
        self.queue.retain(|request| request.ticket.node != node);
        for server in &mut self.servers {
            server.running.retain(|ticket, _| ticket.node != node);
        }
    }

    /// Removes requests that were admitted before `oldest`: their completion was never reported.
    pub fn expire_running(&mut self, oldest: Tick) {
        for server in &mut self.servers {
            server.running.retain(|_, since| *since >= oldest);
        }
    }

    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Admits and rejects the queued requests that can be decided now.
    pub fn decide(&mut self, now: Tick) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let service_time = self.mean_service_time();
        for server in &mut self.servers {
            server.expire_service_time(now);
        }
        self.queue.sort_by_key(|request| (sort_key(request, now, service_time), request.target));
        self.admit(&mut decisions, now);
        self.reject(&mut decisions, now, service_time);
        decisions
    }

    /// Admits requests in queue order while servers are available. A request that excludes servers
    /// holds up none behind it.
    fn admit(&mut self, decisions: &mut Vec<Decision>, now: Tick) {
        let mean = self.mean_service_time();
        let mut index = 0;
        while index < self.queue.len() {
            let request = &self.queue[index];
            let Some(server) = self.find_server(request, mean, now) else {
                if request.exclude.is_empty() {
                    return;
                }
                index += 1;
                continue;
            };
            let request = self.queue.remove(index);
            let server = &mut self.servers[server];
            server.running.insert(request.ticket.clone(), now);
            if let Some(pace) = &mut server.pace {
                pace.record_start(now);
            }
            decisions.push(Decision::Admit(request.ticket, server.name.clone()));
            index = 0;
        }
    }

    /// Returns the index of the available server with the lowest cost for a request.
    fn find_server(&self, request: &PendingRequest, mean: Duration, now: Tick) -> Option<usize> {
        let cost = |server: &Server| {
            let service_time = server.service_time.unwrap_or(mean).as_micros() as u64;
            let loaded = service_time
                + service_time * server.running.len() as u64 / u64::from(server.slots.max(1));
            if server.domain == request.domain {
                loaded
            } else {
                loaded + loaded / CROSS_DOMAIN_DIVISOR
            }
        };
        let servers =
            self.servers.iter().enumerate().filter(|(_, server)| server.is_available(now));
        let servers = servers.filter(|(_, server)| !request.exclude.contains(&server.name));
        let key = |server: &Server| (request.avoid.as_ref() == Some(&server.name), cost(server));
        servers.min_by_key(|(_, server)| key(server)).map(|(index, _)| index)
    }

    /// Rejects the requests that cannot be started in time.
    fn reject(&mut self, decisions: &mut Vec<Decision>, now: Tick, service_time: Duration) {
        let all = self.capacity(&[], service_time);
        let mut ahead = 0;
        let mut kept = Vec::with_capacity(self.queue.len());
        for request in std::mem::take(&mut self.queue) {
            let is_free = request.exclude.is_empty();
            let capacity =
                if is_free { all } else { self.capacity(&request.exclude, service_time) };
            let each = if capacity > 0.0 { service_time.div_f64(capacity) } else { service_time };
            let wait = each * (ahead + 1);
            let limit =
                request.deadline.since(now).saturating_sub(service_time) * MAX_WAIT_PERCENT / 100;
            if capacity <= 0.0 || wait > limit {
                let retry = (each * (ahead + 1)).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
                decisions.push(Decision::Reject(request.ticket, retry));
            } else {
                ahead += 1;
                kept.push(request);
            }
        }
        self.queue = kept;
    }

    /// Returns how many requests the open servers that are not excluded run at a time.
    fn capacity(&self, exclude: &[Name], service_time: Duration) -> f64 {
        let open = self.servers.iter().filter(|server| server.open);
        let usable = open.filter(|server| !exclude.contains(&server.name));
        usable.map(|server| server.capacity(service_time)).sum()
    }

    /// Returns the mean of the known service times of the servers.
    fn mean_service_time(&self) -> Duration {
        let known: Vec<Duration> =
            self.servers.iter().filter_map(|server| server.service_time).collect();
        let count = known.len() as u32;
        if count == 0 { INITIAL_SERVICE_TIME } else { known.iter().sum::<Duration>() / count }
    }
}

impl Server {
    /// Returns whether the server has a free slot, and is neither closed nor in backoff nor at its
    /// limit.
    fn is_available(&self, now: Tick) -> bool {
        let is_open = self.open && self.pace.as_ref().is_none_or(|pace| pace.is_open(now));
        is_open && (self.running.len() as u32) < self.slots && now >= self.backoff_until
    }

    /// Returns how many requests the server runs at a time, within its limit.
    fn capacity(&self, service_time: Duration) -> f64 {
        let limit = self.pace.as_ref().map(|pace| pace.per_second() * service_time.as_secs_f64());
        f64::from(self.slots).min(limit.unwrap_or(f64::INFINITY))
    }

    /// Updates the service time, or the backoff, from the outcome of a request.
    fn record_outcome(&mut self, outcome: ServerOutcome, since: Tick, now: Tick) {
        match outcome {
            ServerOutcome::Completed => {
                let took = now.since(since);
                let service_time = self.service_time.unwrap_or(took);
                self.service_time = Some(
                    service_time - service_time / SMOOTHING_DIVISOR + took / SMOOTHING_DIVISOR,
                );
                self.measured_at = now;
                self.failures = 0;
            }
            ServerOutcome::Failed => {
                self.failures += 1;
                if self.failures > TOLERATED_FAILURES {
                    let step = (self.failures - TOLERATED_FAILURES).min(MAX_BACKOFF_DOUBLINGS);
                    self.backoff_until = now + BACKOFF_UNIT * (1 << step);
                }
            }
            ServerOutcome::NotSent => {}
        }
    }

    /// Discards an old service time, so that a server that was slow is tried again.
    fn expire_service_time(&mut self, now: Tick) {
        if self.running.is_empty() && now.since(self.measured_at) > SERVICE_TIME_TTL {
            self.service_time = None;
        }
    }
}

/// Returns the sort key of a queued request: requests that can still meet their target come first,
/// then higher priorities.
fn sort_key(request: &PendingRequest, now: Tick, service_time: Duration) -> (bool, u8) {
    let late = now + service_time > request.target;
    (late, request.priority)
}
