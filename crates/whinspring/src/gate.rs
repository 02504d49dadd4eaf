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
    self::{
        arrivals::Arrivals,
        health::{HealthChange, PoolHealth},
        load::Load,
        locality::Locality,
        server::Server,
    },
    crate::{
        limits::{Pace, Rate, Spacing},
        name::Name,
        time::Tick,
    },
    std::{collections::HashMap, time::Duration},
};

mod arrivals;
pub mod health;
pub mod load;
mod locality;
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
    arrivals: Arrivals,
    /// Servers of the admitted requests.
    assigned: HashMap<Ticket, Name>,
    service_times: ServiceTimes,
    /// Earliest time after which a service time may have to be discarded.
    next_expiry: Option<Tick>,
    health: PoolHealth,
    locality: Locality,
}

/// Sum of the known service times of the servers of a pool. It spares a pass over all of them with
/// each message.
#[derive(Debug, Default)]
struct ServiceTimes {
    sum: Duration,
    count: u32,
}

impl ServiceTimes {
    fn replace(&mut self, before: Option<Duration>, after: Option<Duration>) {
        self.sum = self.sum + after.unwrap_or_default() - before.unwrap_or_default();
        self.count = self.count + u32::from(after.is_some()) - u32::from(before.is_some());
    }

    fn mean(&self) -> Duration {
        if self.count == 0 { INITIAL_SERVICE_TIME } else { self.sum / self.count }
    }
}

impl Gate {
    /// Updates the slots and the state of a server; adds it if it is new.
    pub fn set_server(&mut self, name: &Name, domain: &Name, slots: u32, open: bool) {
        if let Some(position) = self.positions.get(name) {
            let server = &mut self.servers[*position];
            server.slots = slots;
            if server.open != open {
                server.open = open;
                self.health.recount();
            }
            return;
        }
        self.health.recount();
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
            self.assigned.retain(|_, server| self.positions.contains_key(server));
            self.service_times = ServiceTimes::default();
            for server in &self.servers {
                self.service_times.replace(None, server.service_time);
            }
            self.health.recount();
        }
    }

    /// Adds a request to the queue unless it is queued or runs already. The next [`Gate::decide`]
    /// decides on it.
    pub fn enqueue(&mut self, request: PendingRequest) {
        let is_known = self.assigned.contains_key(&request.ticket)
            || self.queue.iter().any(|other| other.ticket == request.ticket);
        if !is_known {
            self.locality.record_arrival(&request.domain);
            self.arrivals.count();
            self.queue.push(request);
        }
    }

    /// Returns the server that is running an admitted request.
    pub fn assigned_server(&self, ticket: &Ticket) -> Option<&Name> {
        self.assigned.get(ticket)
    }

    /// Returns the requests that were admitted before `point` and have not completed.
    pub fn admitted_before(&self, point: Tick) -> impl Iterator<Item = &Ticket> {
        let running = self.servers.iter().flat_map(|server| &server.running);
        running.filter(move |(_, since)| **since < point).map(|(ticket, _)| ticket)
    }

    /// Removes a request from the queue or from its server, and records its outcome.
    pub fn complete(&mut self, ticket: &Ticket, outcome: ServerOutcome, now: Tick) {
        self.complete_with_load(ticket, outcome, None, now);
    }

    /// Removes a request as [`Gate::complete`] does, and records the load that its server reported.
    pub fn complete_with_load(
        &mut self,
        ticket: &Ticket,
        outcome: ServerOutcome,
        load: Option<Load>,
        now: Tick,
    ) {
        self.locality.complete(ticket);
        let Some(name) = self.assigned.remove(ticket) else {
            self.queue.retain(|request| request.ticket != *ticket);
            return;
        };
        let mean = self.service_times.mean();
        let Some(position) = self.positions.get(&name) else { return };
        let server = &mut self.servers[*position];
        let Some(since) = server.running.remove(ticket) else { return };
        let before = server.service_time;
        server.record_outcome(outcome, load, mean, since, now);
        self.service_times.replace(before, server.service_time);
        self.next_expiry = earliest(self.next_expiry, server.service_time_expiry());
        self.health.update(&server.name, &mut server.health, now);
    }

    /// Returns the servers that were ejected or readmitted since the last call.
    pub fn take_health_changes(&mut self) -> Vec<HealthChange> {
        self.health.take_changes()
    }

    /// Removes all requests of a node.
    pub fn remove_node(&mut self, node: &str) {
        self.queue.retain(|request| request.ticket.node != node);
        self.locality.retain_running(|ticket, _| ticket.node != node);
        for server in &mut self.servers {
            server.running.retain(|ticket, _| ticket.node != node);
        }
        self.assigned.retain(|ticket, _| ticket.node != node);
        self.next_expiry = Some(Tick::default());
    }

    /// Removes requests that were admitted before `oldest`: their completion was never reported.
    pub fn expire_running(&mut self, oldest: Tick) {
        self.locality.retain_running(|_, since| since >= oldest);
        for server in &mut self.servers {
            let assigned = &mut self.assigned;
            server.running.retain(|ticket, since| {
                let is_kept = *since >= oldest;
                if !is_kept {
                    assigned.remove(ticket);
                    self.next_expiry = Some(Tick::default());
                }
                is_kept
            });
        }
    }

    /// Returns the number of failure domains from which requests leave because of their load.
    pub fn overflowing(&self) -> usize {
        self.locality.overflowing()
    }

    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Admits and rejects the queued requests that can be decided now.
    pub fn decide(&mut self, now: Tick) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let service_time = self.service_times.mean();
        self.expire_service_times(now);
        let servers = self.servers.iter_mut();
        let health = servers.map(|server| (&server.name, &mut server.health, server.open));
        self.health.check(health, now);
        if self.queue.is_empty() {
            return decisions;
        }
        self.arrivals.update(now);
        queue::sort(&mut self.queue, now, service_time);
        self.admit(&mut decisions, now);
        let queue = std::mem::take(&mut self.queue);
        let (servers, arrivals) = (&self.servers, &self.arrivals);
        self.queue = queue::reject(queue, servers, arrivals, &mut decisions, now, service_time);
        decisions
    }

    /// Admits requests in queue order while servers are available. A request that waits for its own
    /// failure domain, or excludes servers, holds up none behind it.
    fn admit(&mut self, decisions: &mut Vec<Decision>, now: Tick) {
        if self.queue.is_empty() && self.overflowing() == 0 {
            return;
        }
        let mean = self.service_times.mean();
        self.locality.refresh(&self.servers, &self.queue, mean, now);
        let mut index = 0;
        while index < self.queue.len() && self.locality.has_room() {
            let request = &self.queue[index];
            let domains = self.locality.choices(request, now);
            let found = placement::find_server(&self.servers, request, &domains, mean, now);
            let Some(server) = found else {
                self.locality.record_wait(request);
                index += 1;
                continue;
            };
            let request = self.queue.remove(index);
            let server = &mut self.servers[server];
            self.locality.record_start(&request, &server.domain, now);
            server.running.insert(request.ticket.clone(), now);
            self.assigned.insert(request.ticket.clone(), server.name.clone());
            if let Some(pace) = &mut server.pace {
                pace.record_start(now);
            }
            decisions.push(Decision::Admit(request.ticket, server.name.clone()));
        }
    }

    /// Discards old service times, if there may be any.
    fn expire_service_times(&mut self, now: Tick) {
        if self.next_expiry.is_none_or(|expiry| now <= expiry) {
            return;
        }
        self.next_expiry = None;
        for server in &mut self.servers {
            let before = server.service_time;
            server.expire_service_time(now);
            self.service_times.replace(before, server.service_time);
            self.next_expiry = earliest(self.next_expiry, server.service_time_expiry());
        }
    }
}

fn earliest(one: Option<Tick>, other: Option<Tick>) -> Option<Tick> {
    one.into_iter().chain(other).min()
}
