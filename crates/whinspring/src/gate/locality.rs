//! When a request leaves the failure domain of its caller.
//!
//! Load pattern: the demand of the failure domains varies out of phase, callers move between them,
//! and a domain is lost at times, while traffic between domains is slower and its bytes cost money.
//! A request stays in its own domain while it is expected to start there soon. It leaves when the
//! expected wait exceeds what the crossing adds and what its slot is worth to the callers of the
//! receiving domain, for which some slots stay free. A request that waits reduces the room of its
//! own domain only, so that no more traffic leaves than the excess.

use {
    super::{PendingRequest, Ticket, server::Server},
    crate::{name::Name, time::Tick},
    std::{collections::HashMap, time::Duration},
};

/// What the crossing adds to a request, in seconds: 1 ms there and back, and 10 kB of request and
/// response that occupy a link of 10 Mbit/s for 8 ms.
const CROSSING_S: f64 = 0.009;

/// Multiple of [`CROSSING_S`] that the expected wait must exceed before the first request leaves a
/// domain; the next ones leave at [`CROSSING_S`]. Without the difference, a domain at its capacity
/// would send out single requests for each short queue.
const START_FACTOR: f64 = 2.0;

/// Share of a domain's slots in use, or asked for, below which its overflow has ended.
const RETURN_LOAD: f64 = 0.85;

/// Time constant of the measured demand of a domain, in seconds. Requests take about a tenth of it;
/// the demand changes over several seconds.
const DEMAND_DECAY_S: f64 = 1.0;

/// Slots that stay free for the callers of a domain, in standard deviations of their demand.
const RESERVE_DEVIATIONS: f64 = 1.0;

/// Demand and room of the failure domains of a pool.
#[derive(Debug, Default)]
pub(super) struct Locality {
    /// Few: three or four.
    domains: Vec<Domain>,
    /// Domains in which requests of other domains run, with the times of admission.
    visitors: HashMap<Ticket, (Name, Tick)>,
}

#[derive(Debug)]
struct Domain {
    name: Name,
    /// Recent requests per second of callers of the domain.
    demand: f64,
    /// Requests that are not part of `demand` yet.
    arrivals: f64,
    /// When `demand` was last decayed.
    decayed_at: Tick,
    /// Whether requests leave the domain because of its load.
    overflowing: bool,
    /// When a request last started here, or none was waiting.
    last_start: Tick,
    room: Room,
}

/// What the servers of a domain can take now.
#[derive(Debug, Default)]
struct Room {
    /// Requests that the usable servers run at a time.
    slots: f64,
    /// Free slots of the available servers.
    free: f64,
    /// Running requests of callers of the domain.
    own: f64,
    /// Requests that run here.
    running: f64,
    /// Waiting requests of callers of the domain.
    waiting: f64,
    /// Waiting requests of its callers that were passed over in this round.
    ahead: f64,
    /// Sum of the service times of the usable servers, in seconds, and number of these servers.
    service_sum: f64,
    servers: f64,
}

impl Domain {
    /// Returns the mean service time, in seconds.
    fn service_s(&self) -> f64 {
        if self.room.servers > 0.0 { self.room.service_sum / self.room.servers } else { 0.0 }
    }

    /// Returns the mean time between two starts while all slots are in use, in seconds; infinite
    /// without slots.
    fn interval_s(&self) -> f64 {
        if self.room.slots > 0.0 { self.service_s() / self.room.slots } else { f64::INFINITY }
    }

    /// Returns the expected wait of the next of the domain's own requests, in seconds.
    fn own_wait_s(&self, now: Tick) -> f64 {
        if self.room.free > 0.0 {
            return 0.0;
        }
        // Servers that hang complete nothing that would lengthen the service time.
        let stalled = now.since(self.last_start).as_secs_f64();
        (self.interval_s() * (self.room.ahead + 1.0)).max(stalled)
    }

    /// Returns the free slots that its own callers are expected to need.
    fn reserve(&self) -> f64 {
        let expected = self.demand * self.service_s();
        (expected - self.room.own).max(0.0) + RESERVE_DEVIATIONS * expected.sqrt()
    }

    /// Returns the wait that the domain's own callers are expected to have for each other if a
    /// request of another domain takes a slot, in seconds; `None` without a free slot.
    fn visit_cost_s(&self) -> Option<f64> {
        if self.room.free < 1.0 {
            return None;
        }
        let short = self.room.waiting + self.reserve() - (self.room.free - 1.0);
        Some(if short > 0.0 { self.interval_s() * short } else { 0.0 })
    }

    /// Decays the demand and adds the arrivals since the last call.
    fn update_demand(&mut self, now: Tick) {
        let elapsed = now.since(self.decayed_at).as_secs_f64();
        self.demand *= (-elapsed / DEMAND_DECAY_S).exp();
        self.demand += std::mem::take(&mut self.arrivals) / DEMAND_DECAY_S;
        self.decayed_at = now;
    }
}

impl Locality {
    /// Counts a new request of a domain.
    pub(super) fn record_arrival(&mut self, domain: &Name) {
        let index = self.index(domain);
        self.domains[index].arrivals += 1.0;
    }

    /// Takes up the state of the servers and of the queue; `mean` is the service time of a server
    /// without a measurement.
    pub(super) fn refresh(
        &mut self,
        servers: &[Server],
        queue: &[PendingRequest],
        mean: Duration,
        now: Tick,
    ) {
        for domain in &mut self.domains {
            domain.room = Room::default();
            domain.update_demand(now);
        }
        for server in servers {
            let index = self.index(&server.domain);
            let room = &mut self.domains[index].room;
            let running = server.running.len() as f64;
            room.running += running;
            room.own += running;
            if !server.open {
                continue;
            }
            let service_time = server.service_time.unwrap_or(mean);
            let available = server.is_available(now);
            let is_full = server.running.len() as u32 >= server.slots;
            // A server with a free slot that is not available fails or is at its limit.
            let slots = if available || is_full { server.capacity(service_time) } else { running };
            if slots > 0.0 {
                room.slots += slots;
                room.service_sum += service_time.as_secs_f64();
                room.servers += 1.0;
            }
            if available {
                let free = f64::from(server.slots) - running;
                room.free += if server.pace.is_some() { free.min(1.0) } else { free };
            }
        }
        for (name, _) in self.visitors.values() {
            if let Some(domain) = self.domains.iter_mut().find(|domain| domain.name == *name) {
                domain.room.own -= 1.0;
            }
        }
        for request in queue {
            let index = self.index(&request.domain);
            self.domains[index].room.waiting += 1.0;
        }
        for domain in &mut self.domains {
            let room = &domain.room;
            if room.waiting == 0.0 || room.free > 0.0 {
                domain.last_start = now;
            }
            if room.running + room.waiting <= room.slots * RETURN_LOAD {
                domain.overflowing = false;
            }
        }
    }

    /// Returns whether any server can take a request.
    pub(super) fn has_room(&self) -> bool {
        self.domains.iter().any(|domain| domain.room.free > 0.0)
    }

    /// Returns the number of domains that requests leave because of their load.
    pub(super) fn overflowing(&self) -> usize {
        self.domains.iter().filter(|domain| domain.overflowing).count()
    }

    /// Returns the domains in which a request may start now, the preferred one first.
    pub(super) fn choices(&self, request: &PendingRequest, now: Tick) -> Vec<Name> {
        let home = self.domains.iter().find(|domain| domain.name == request.domain);
        // What a request that must not use some servers finds at home is not known here.
        let is_restricted = request.avoid.is_some() || !request.exclude.is_empty();
        let wait = match home {
            Some(home) if !is_restricted => home.own_wait_s(now),
            _ => f64::INFINITY,
        };
        let mut choices = Vec::new();
        if let Some(home) = home.filter(|home| home.room.free > 0.0) {
            choices.push(home.name.clone());
            if !is_restricted {
                return choices;
            }
        }
        let is_overflowing = home.is_some_and(|home| home.overflowing);
        let factor = if is_overflowing { 1.0 } else { START_FACTOR };
        let others = self.domains.iter().filter(|domain| domain.name != request.domain);
        let mut others: Vec<(f64, &Domain)> = others
            .filter(|other| {
                other.visit_cost_s().is_some_and(|cost| wait > CROSSING_S * factor + cost)
            })
            .map(|other| (other.room.free - other.reserve(), other))
            .collect();
        others.sort_by(|a, b| b.0.total_cmp(&a.0));
        choices.extend(others.into_iter().map(|(_, other)| other.name.clone()));
        choices
    }

    /// Records that a waiting request started on a server of a domain.
    pub(super) fn record_start(&mut self, request: &PendingRequest, domain: &Name, now: Tick) {
        let home = self.index(&request.domain);
        let target = self.index(domain);
        self.domains[home].room.waiting -= 1.0;
        let room = &mut self.domains[target].room;
        room.free -= 1.0;
        room.running += 1.0;
        if home == target {
            room.own += 1.0;
            self.domains[home].last_start = now;
            return;
        }
        self.visitors.insert(request.ticket.clone(), (domain.clone(), now));
        if self.domains[home].room.slots > 0.0 {
            self.domains[home].overflowing = true;
        }
    }

    /// Forgets a request that has ended.
    pub(super) fn complete(&mut self, ticket: &Ticket) {
        self.visitors.remove(ticket);
    }

    /// Forgets the running requests for which `keep` returns false.
    pub(super) fn retain_running(&mut self, keep: impl Fn(&Ticket, Tick) -> bool) {
        self.visitors.retain(|ticket, (_, since)| keep(ticket, *since));
    }

    /// Records that a request keeps waiting.
    pub(super) fn record_wait(&mut self, request: &PendingRequest) {
        let home = self.index(&request.domain);
        self.domains[home].room.ahead += 1.0;
    }

    /// Returns the position of a domain; adds it if it is new.
    fn index(&mut self, name: &Name) -> usize {
        let known = self.domains.iter().position(|domain| domain.name == *name);
        known.unwrap_or_else(|| {
            self.domains.push(Domain {
                name: name.clone(),
                demand: 0.0,
                arrivals: 0.0,
                decayed_at: Tick::default(),
                overflowing: false,
                last_start: Tick::default(),
                room: Room::default(),
            });
            self.domains.len() - 1
        })
    }
}
