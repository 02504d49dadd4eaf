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
    self::server::Server,
    crate::{
        limits::{Pace, Rate, Spacing},
        name::Name,
        time::Tick,
    },
    std::{collections::HashMap, time::Duration},
};

mod placement;
mod queue;
mod server;

/// Assumed service time of a request before any measurement.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(130);

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
    /// Longest time after which the caller may be told to come back; zero if unknown.
    pub budget: Duration,
    /// Whether the caller comes back as it was told.
    pub returning: bool,
}

/// Outcome of an admitted request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerOutcome {
    /// The server ran the request to completion.
    Completed,
    /// The server did not respond, or the connection failed.
    Failed,
    /// The server responded with an error of its own.
    Errored,
    /// The server did not run the request.
    Shed,
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
        self.servers.push(Server::new(name.clone(), domain.clone(), slots, open));
    }

    /// Sets how many requests a second a server of the pool gets; `None` for no limit.
    pub fn set_limit(&mut self, name: &Name, limit: Option<Rate>, now: Tick) {
        self.set_spacing(name, limit.map(Spacing::from), now);
    }

    /// Sets how the requests to a server of the pool are spaced; `None` for not at all.
    pub fn set_spacing(&mut self, name: &Name, spacing: Option<Spacing>, now: Tick) {
        let Some(position) = self.positions.get(name) else { return };
        let server = &mut self.servers[*position];
        match (&mut server.pace, spacing) {
            (Some(pace), Some(spacing)) => pace.set_spacing(spacing, now),
            (pace, spacing) => *pace = spacing.map(|spacing| Pace::new(spacing, now)),
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
        queue::sort(&mut self.queue, now, service_time);
        self.admit(&mut decisions, now);
        let queue = std::mem::take(&mut self.queue);
        self.queue = queue::reject(queue, &self.servers, &mut decisions, now, service_time);
        decisions
    }

    /// Admits requests in queue order while servers are available. A request that excludes servers
    /// holds up none behind it.
    fn admit(&mut self, decisions: &mut Vec<Decision>, now: Tick) {
        let mean = self.mean_service_time();
        let mut index = 0;
        while index < self.queue.len() {
            let request = &self.queue[index];
            let Some(server) = placement::find_server(&self.servers, request, mean, now) else {
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

    /// Returns the mean of the known service times of the servers.
    fn mean_service_time(&self) -> Duration {
        let known: Vec<Duration> =
            self.servers.iter().filter_map(|server| server.service_time).collect();
        let count = known.len() as u32;
        if count == 0 { INITIAL_SERVICE_TIME } else { known.iter().sum::<Duration>() / count }
    }
}
