//! How requests wait for a server, are turned away, and are placed.
//!
//! Load pattern: for seconds more requests come than the slots can run, of unequal urgency, while
//! servers differ in speed and keep short queues of their own. A [`Gate`] stands before the
//! servers of one pool: one server that owns keys, or all servers of a service without keys. It
//! lets as many requests through as there are slots. The others wait by urgency, and a request
//! that cannot be started in time is refused as soon as that is known, with the time until the
//! backlog has drained.

use {
    crate::{name::Name, time::Tick},
    std::{collections::HashMap, time::Duration},
};

/// Time that a request takes where nothing was measured yet.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(130);

/// Part of the estimate that a new measurement replaces, as a divisor.
const SMOOTHING_DIVISOR: u32 = 8;

/// Shortest time until a refused caller may come back.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Longest time until a refused caller may come back.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_500);

/// Time after which a measured time of an idle server is forgotten.
const SERVICE_TIME_TTL: Duration = Duration::from_secs(4);

/// Part that a request to another failure domain counts as longer, as a divisor.
const CROSS_DOMAIN_DIVISOR: u64 = 1;

/// Failures in a row after which a server is given rest.
const TOLERATED_FAILURES: u32 = 1;

/// Half of the first rest after failures.
const BACKOFF_UNIT: Duration = Duration::from_millis(25);

/// Doublings of the rest at most.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// Part of the time to its deadline that a request may wait in the queue, in hundredths.
const MAX_WAIT_PERCENT: u32 = 60;

/// Number of a request at a gate: the node it came from and its number there.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket {
    /// The node.
    pub node: Name,
    /// Number at that node.
    pub number: u64,
}

/// A request that wants to be run.
#[derive(Debug, Clone)]
pub struct PendingRequest {
    /// Its number.
    pub ticket: Ticket,
    /// Failure domain it came from.
    pub domain: Name,
    /// Urgency; zero is the highest.
    pub priority: u8,
    /// Point up to which an answer is of full use.
    pub target: Tick,
    /// Point after which no answer is of use.
    pub deadline: Tick,
    /// Server that failed it before, to be avoided.
    pub avoid: Option<Name>,
}

/// How a request left its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerOutcome {
    /// The server ran it to its end.
    Completed,
    /// The server did not run it, or failed it, or fell silent.
    Failed,
    /// It was never sent, or the caller went away.
    NotSent,
}

/// What becomes of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// It is sent to a server.
    Admit(Ticket, Name),
    /// It is refused; the caller may come back after the time given.
    Reject(Ticket, Duration),
}

/// A server behind a gate.
#[derive(Debug)]
struct Server {
    /// Its name.
    name: Name,
    /// Failure domain.
    domain: Name,
    /// Requests that it runs at once.
    slots: u32,
    /// Whether it may be sent requests.
    open: bool,
    /// Requests sent to it.
    running: HashMap<Ticket, Tick>,
    /// Smoothed time of a request.
    service_time: Option<Duration>,
    /// When the time was last measured.
    measured_at: Tick,
    /// Requests that failed since the last one that ran.
    failures: u32,
    /// Point before which no request is sent, after failures.
    backoff_until: Tick,
}

/// The queue before a pool of servers.
#[derive(Debug, Default)]
pub struct Gate {
    /// Servers.
    servers: Vec<Server>,
    /// Requests that wait.
    queue: Vec<PendingRequest>,
}

impl Gate {
    /// Sets what is known of a server; adds it if it is new.
    pub fn set_server(&mut self, name: &Name, domain: &Name, slots: u32, open: bool) {
        let found = self.servers.iter_mut().find(|server| server.name == *name);
        match found {
            Some(server) => {
                server.slots = slots;
                server.open = open;
            }
            None => self.servers.push(Server {
                name: name.clone(),
                domain: domain.clone(),
                slots,
                open,
                running: HashMap::new(),
                service_time: None,
                measured_at: Tick::default(),
                failures: 0,
                backoff_until: Tick::default(),
            }),
        }
    }

    /// Forgets the servers that `keep` does not name.
    pub fn retain_servers(&mut self, keep: impl Fn(&Name) -> bool) {
        self.servers.retain(|server| keep(&server.name));
    }

    /// Takes a request in, unless it waits already; it is decided by the next [`Gate::step`].
    pub fn enqueue(&mut self, request: PendingRequest) {
        if !self.queue.iter().any(|other| other.ticket == request.ticket) {
            self.queue.push(request);
        }
    }

    /// Returns the server that a request was let through to and has not left.
    pub fn assigned_server(&self, ticket: &Ticket) -> Option<&Name> {
        let server = self.servers.iter().find(|server| server.running.contains_key(ticket));
        server.map(|server| &server.name)
    }

    /// Returns the requests that were let through before a point and have not left.
    pub fn admitted_before(&self, point: Tick) -> impl Iterator<Item = &Ticket> {
        let running = self.servers.iter().flat_map(|server| &server.running);
        running.filter(move |(_, since)| **since < point).map(|(ticket, _)| ticket)
    }

    /// Notes that a request has left its server.
    pub fn complete(&mut self, ticket: &Ticket, outcome: ServerOutcome, now: Tick) {
        self.queue.retain(|request| request.ticket != *ticket);
        for server in &mut self.servers {
            if let Some(since) = server.running.remove(ticket) {
                server.record_outcome(outcome, since, now);
            }
        }
    }

    /// Forgets all requests of a node.
    pub fn remove_node(&mut self, node: &str) {
        self.queue.retain(|request| request.ticket.node != node);
        for server in &mut self.servers {
            server.running.retain(|ticket, _| ticket.node != node);
        }
    }

    /// Forgets requests that were sent before `oldest`: their ends have been missed.
    pub fn expire_running(&mut self, oldest: Tick) {
        for server in &mut self.servers {
            server.running.retain(|_, since| *since >= oldest);
        }
    }

    /// Returns the number of requests that wait.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Decides what can be decided now.
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

    /// Lets requests through while there is room.
    fn admit(&mut self, decisions: &mut Vec<Decision>, now: Tick) {
        let mean = self.mean_service_time();
        let mut index = 0;
        while index < self.queue.len() {
            let request = &self.queue[index];
            let Some(server) = self.find_server(request, mean, now) else { return };
            let request = self.queue.remove(index);
            let server = &mut self.servers[server];
            server.running.insert(request.ticket.clone(), now);
            decisions.push(Decision::Admit(request.ticket, server.name.clone()));
            index = 0;
        }
    }

    /// Returns the best server with room for a request.
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
        let key = |server: &Server| (request.avoid.as_ref() == Some(&server.name), cost(server));
        servers.min_by_key(|(_, server)| key(server)).map(|(index, _)| index)
    }

    /// Refuses what cannot be started in time.
    fn reject(&mut self, decisions: &mut Vec<Decision>, now: Tick, service_time: Duration) {
        let slots: u32 =
            self.servers.iter().filter(|server| server.open).map(|server| server.slots).sum();
        let each = service_time / slots.max(1);
        let mut ahead = 0;
        let mut kept = Vec::with_capacity(self.queue.len());
        for request in self.queue.drain(..) {
            let wait = each * (ahead + 1);
            let limit =
                request.deadline.since(now).saturating_sub(service_time) * MAX_WAIT_PERCENT / 100;
            if slots == 0 || wait > limit {
                let retry = (each * (ahead + 1)).clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
                decisions.push(Decision::Reject(request.ticket, retry));
            } else {
                ahead += 1;
                kept.push(request);
            }
        }
        self.queue = kept;
    }

    /// Returns the usual time of a request.
    fn mean_service_time(&self) -> Duration {
        let known: Vec<Duration> =
            self.servers.iter().filter_map(|server| server.service_time).collect();
        let count = known.len() as u32;
        if count == 0 { INITIAL_SERVICE_TIME } else { known.iter().sum::<Duration>() / count }
    }
}

impl Server {
    /// Returns whether another request may be sent.
    fn is_available(&self, now: Tick) -> bool {
        self.open && (self.running.len() as u32) < self.slots && now >= self.backoff_until
    }

    /// Notes how a request ended.
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

    /// Forgets a measured time that is too old, so that a slow server is tried again.
    fn expire_service_time(&mut self, now: Tick) {
        if self.running.is_empty() && now.since(self.measured_at) > SERVICE_TIME_TTL {
            self.service_time = None;
        }
    }
}

/// Returns the order of a request: those that can still meet their target go first, and among
/// them the most urgent.
fn sort_key(request: &PendingRequest, now: Tick, service_time: Duration) -> (bool, u8) {
    let late = now + service_time > request.target;
    (late, request.priority)
}
