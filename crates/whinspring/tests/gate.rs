//! Admission, rejection and placement of requests by a gate, under load generated from a seed.

use {
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, time::Duration},
    whinspring::{
        gate::{Decision, Gate, PendingRequest, ServerOutcome, Ticket},
        limits::Rate,
        name::Name,
        time::Tick,
    },
};

/// Number of a request and of its ticket.
type Number = u64;

/// Results of the requests of one priority.
#[derive(Debug, Default)]
struct Tally {
    submitted: u32,
    served: u32,
    refused: u32,
}

/// Simulated servers and requests with a manually advanced clock.
struct Simulation {
    gate: Gate,
    now: Tick,
    /// Servers of the running requests by time of completion and number.
    completions: BTreeMap<(Tick, Number), Name>,
    /// Number of running requests by server.
    running: BTreeMap<Name, u32>,
    max_running: u32,
    tallies: BTreeMap<u8, Tally>,
    priorities: BTreeMap<Number, u8>,
    max_wait: Duration,
    submitted_at: BTreeMap<Number, Tick>,
    service_times: BTreeMap<Name, Duration>,
}

impl Simulation {
    fn new(service_times_ms: &[u64]) -> Self {
        let mut gate = Gate::default();
        let mut service_times = BTreeMap::new();
        for (index, ms) in service_times_ms.iter().enumerate() {
            let name = Name::from(format!("s{index}"));
            gate.set_server(&name, &Name::from("a"), 2, true);
            service_times.insert(name, Duration::from_millis(*ms));
        }
        Self {
            gate,
            now: Tick::from_millis(1),
            completions: BTreeMap::new(),
            running: BTreeMap::new(),
            max_running: 0,
            tallies: BTreeMap::new(),
            priorities: BTreeMap::new(),
            max_wait: Duration::ZERO,
            submitted_at: BTreeMap::new(),
            service_times,
        }
    }

    fn submit(&mut self, number: Number, priority: u8) {
        let ticket = ticket(number);
        self.tallies.entry(priority).or_default().submitted += 1;
        self.priorities.insert(number, priority);
        self.submitted_at.insert(number, self.now);
        self.gate.enqueue(PendingRequest {
            ticket,
            domain: "a".into(),
            priority,
            target: self.now + Duration::from_millis(400),
            deadline: self.now + Duration::from_millis(1_200),
            avoid: None,
            exclude: Vec::new(),
        });
        self.step();
    }

    fn step(&mut self) {
        for decision in self.gate.decide(self.now) {
            match decision {
                Decision::Admit(ticket, server) => {
                    let end = self.now + self.service_times[&server];
                    self.completions.insert((end, ticket.number), server.clone());
                    let running = self.running.entry(server).or_default();
                    *running += 1;
                    self.max_running = self.max_running.max(*running);
                    let tally = self.tallies.entry(self.priorities[&ticket.number]).or_default();
                    tally.served += 1;
                }
                Decision::Reject(ticket, _) => {
                    let waited = self.now.since(self.submitted_at[&ticket.number]);
                    self.max_wait = self.max_wait.max(waited);
                    let tally = self.tallies.entry(self.priorities[&ticket.number]).or_default();
                    tally.refused += 1;
                }
            }
        }
    }

    /// Advances the clock to `until` and completes the requests that are due.
    fn run_until(&mut self, until: Tick) {
        while let Some(entry) = self.completions.first_entry() {
            let (end, number) = *entry.key();
            if end > until {
                break;
            }
            let server = entry.remove();
            self.now = end;
            *self.running.get_mut(&server).unwrap() -= 1;
            self.gate.complete(&ticket(number), ServerOutcome::Completed, end);
            self.step();
        }
        self.now = until;
    }

    fn advance(&mut self, time: Duration) {
        self.run_until(self.now + time);
    }

    fn served_ratio(&self, priority: u8) -> f64 {
        let tally = &self.tallies[&priority];
        f64::from(tally.served) / f64::from(tally.submitted)
    }
}

fn ticket(number: Number) -> Ticket {
    Ticket { node: "n".into(), number }
}

/// Simulates a burst of 1.8 times the capacity of the slots, with two priorities and servers of
/// different speed.
fn burst(seed: u64) -> Simulation {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut simulation = Simulation::new(&[100, 150, 220]);
    let slots_per_s = 2.0 * (10.0 + 6.7 + 4.5);
    let gap_us = 1e6 / (slots_per_s * 1.8);
    for number in 0..400 {
        let gap = rng.random_range(0.0..2.0 * gap_us);
        let next = simulation.now + Duration::from_micros(gap as u64);
        simulation.run_until(next);
        let priority = if rng.random_bool(0.35) { 1 } else { 2 };
        simulation.submit(number, priority);
    }
    let end = simulation.now + Duration::from_secs(5);
    simulation.run_until(end);
    simulation
}

#[test]
fn no_server_gets_more_than_its_slots() {
    for seed in 0..20 {
        assert!(burst(seed).max_running <= 2, "seed {seed}");
    }
}

#[test]
fn urgent_requests_are_served_in_a_burst() {
    for seed in 0..20 {
        let simulation = burst(seed);
        assert!(simulation.served_ratio(1) > 0.95, "seed {seed}: {:?}", simulation.tallies);
        assert!(
            simulation.served_ratio(1) > simulation.served_ratio(2),
            "seed {seed}: {:?}",
            simulation.tallies
        );
    }
}

#[test]
fn every_request_gets_one_answer() {
    for seed in 0..20 {
        let simulation = burst(seed);
        for tally in simulation.tallies.values() {
            assert_eq!(tally.submitted, tally.served + tally.refused, "seed {seed}");
        }
        assert_eq!(simulation.gate.queue_len(), 0, "seed {seed}");
    }
}

#[test]
fn a_request_that_cannot_be_served_is_refused_at_once() {
    let mut simulation = Simulation::new(&[400]);
    simulation.submit(0, 2);
    simulation.run_until(Tick::from_millis(1_000));
    for number in 1..10 {
        simulation.submit(number, 2);
    }
    let tally = &simulation.tallies[&2];
    assert!(tally.refused >= 4, "{tally:?}");
    assert_eq!(simulation.max_wait, Duration::ZERO);
}

#[test]
fn nothing_is_refused_while_a_slot_is_free() {
    let mut simulation = Simulation::new(&[100, 100]);
    for number in 0..4 {
        simulation.submit(number, 2);
    }
    assert_eq!(simulation.tallies[&2].served, 4);
}

/// A server that rejects each request immediately always has free slots; it must not attract all
/// requests.
#[test]
fn a_server_that_rejects_is_backed_off() {
    let mut gate = Gate::default();
    gate.set_server(&"good".into(), &"b".into(), 2, true);
    gate.set_server(&"bad".into(), &"a".into(), 2, true);
    let mut now = Tick::from_millis(1);
    let mut rejected = 0;
    for number in 0..100 {
        now = now + Duration::from_millis(10);
        gate.enqueue(PendingRequest {
            ticket: ticket(number),
            domain: "a".into(),
            priority: 1,
            target: now + Duration::from_millis(400),
            deadline: now + Duration::from_millis(1_200),
            avoid: None,
            exclude: Vec::new(),
        });
        for decision in gate.decide(now) {
            let Decision::Admit(ticket, server) = decision else { continue };
            let bad = server == "bad";
            rejected += u32::from(bad);
            let outcome = if bad { ServerOutcome::Failed } else { ServerOutcome::Completed };
            gate.complete(&ticket, outcome, now + Duration::from_millis(1));
        }
    }
    assert!(rejected < 12, "{rejected} of 100 requests were sent to the server that rejects");
}

#[test]
fn a_request_goes_to_its_own_domain_unless_that_is_full() {
    let mut gate = Gate::default();
    gate.set_server(&"far".into(), &"b".into(), 2, true);
    gate.set_server(&"near".into(), &"a".into(), 2, true);
    let now = Tick::from_millis(1);
    for number in 0..3 {
        gate.enqueue(PendingRequest {
            ticket: ticket(number),
            domain: "a".into(),
            priority: 1,
            target: now + Duration::from_millis(400),
            deadline: now + Duration::from_millis(1_200),
            avoid: None,
            exclude: Vec::new(),
        });
    }
    let servers: Vec<Name> = gate
        .decide(now)
        .into_iter()
        .filter_map(|decision| match decision {
            Decision::Admit(_, server) => Some(server),
            Decision::Reject(..) => None,
        })
        .collect();
    assert_eq!(servers, ["near", "near", "far"]);
}

#[test]
fn requests_of_a_lost_node_free_their_slots() {
    let mut gate = Gate::default();
    gate.set_server(&"s".into(), &"a".into(), 1, true);
    let now = Tick::from_millis(1);
    let request = |node: &str, number| PendingRequest {
        ticket: Ticket { node: node.into(), number },
        domain: "a".into(),
        priority: 1,
        target: now + Duration::from_millis(400),
        deadline: now + Duration::from_millis(1_200),
        avoid: None,
        exclude: Vec::new(),
    };
    gate.enqueue(request("lost", 1));
    assert_eq!(gate.decide(now).len(), 1);
    gate.enqueue(request("here", 1));
    assert!(gate.decide(now).is_empty());
    gate.remove_node("lost");
    assert_eq!(gate.decide(now).len(), 1);
}

/// Returns a request that excludes servers.
fn excluding(number: Number, now: Tick, exclude: &[&str]) -> PendingRequest {
    PendingRequest {
        ticket: ticket(number),
        domain: "a".into(),
        priority: 1,
        target: now + Duration::from_millis(400),
        deadline: now + Duration::from_millis(1_200),
        avoid: None,
        exclude: exclude.iter().map(|name| Name::from(*name)).collect(),
    }
}

/// A server that has turned one node away still serves the others, and a waiting request of that
/// node holds up none of theirs.
#[test]
fn an_excluded_server_serves_other_requests() {
    let mut gate = Gate::default();
    gate.set_server(&"s1".into(), &"a".into(), 2, true);
    gate.set_server(&"s2".into(), &"b".into(), 1, true);
    let now = Tick::from_millis(1);
    gate.enqueue(excluding(0, now, &["s1"]));
    assert_eq!(gate.decide(now), [Decision::Admit(ticket(0), "s2".into())]);
    gate.enqueue(excluding(1, now, &["s1"]));
    gate.enqueue(excluding(2, now, &[]));
    assert_eq!(gate.decide(now), [Decision::Admit(ticket(2), "s1".into())]);
    gate.complete(&ticket(0), ServerOutcome::Completed, now);
    assert_eq!(gate.decide(now), [Decision::Admit(ticket(1), "s2".into())]);
}

#[test]
fn a_request_that_excludes_all_servers_is_rejected_at_once() {
    let mut gate = Gate::default();
    gate.set_server(&"s1".into(), &"a".into(), 2, true);
    let now = Tick::from_millis(1);
    gate.enqueue(excluding(0, now, &["s1"]));
    assert!(matches!(gate.decide(now)[..], [Decision::Reject(..)]));
}

/// Load pattern: servers of a large pool come and go while requests arrive. Guards against updates
/// of a server that reach another one.
#[test]
fn updates_reach_their_server_after_others_have_gone() {
    const SERVERS: usize = 1_000;
    let name = |number: usize| Name::from(format!("s{number}"));
    let domain = Name::from("a");
    let mut gate = Gate::default();
    for number in 0..SERVERS {
        gate.set_server(&name(number), &domain, 1, false);
    }
    let last = name(SERVERS - 1);
    gate.retain_servers(|server| *server == last || server.ends_with('0'));
    gate.set_server(&last, &domain, 1, true);
    gate.set_server(&name(SERVERS), &domain, 1, false);
    let ticket = Ticket { node: "n1".into(), number: 1 };
    let now = Tick::from_millis(1);
    gate.enqueue(PendingRequest {
        ticket: ticket.clone(),
        domain,
        priority: 0,
        target: now + Duration::from_secs(1),
        deadline: now + Duration::from_secs(2),
        avoid: None,
        exclude: Vec::new(),
    });
    assert_eq!(gate.decide(now), [Decision::Admit(ticket, last)]);
}

/// The owner of a key limits its requests while far more arrive: it gets no more, and what cannot be
/// started in time is rejected at once.
#[test]
fn a_limited_server_gets_no_more_than_it_takes() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut simulation = Simulation::new(&[100]);
        let server = Name::from("s0");
        let rate = rng.random_range(0.5..4.0);
        simulation.gate.set_limit(&server, Rate::new(rate), simulation.now);
        for number in 0..300 {
            simulation.submit(number, rng.random_range(0..3));
            simulation.advance(Duration::from_millis(rng.random_range(20..80)));
        }
        let served: u32 = simulation.tallies.values().map(|tally| tally.served).sum();
        let seconds = simulation.now.since(Tick::from_millis(1)).as_secs_f64();
        let most = rate * seconds + rate.max(1.0);
        assert!(f64::from(served) <= most, "seed {seed}: {served} of at most {most}");
        assert!(f64::from(served) >= rate * seconds * 0.8 - 1.0, "seed {seed}: {served} of {most}");
        assert!(simulation.max_wait <= Duration::from_millis(800), "seed {seed}");
    }
}

/// Other servers of the service take what the limited one does not.
#[test]
fn requests_go_to_servers_that_are_not_at_their_limit() {
    let mut simulation = Simulation::new(&[50, 50]);
    simulation.gate.set_limit(&Name::from("s0"), Rate::new(0.5), simulation.now);
    for number in 0..200 {
        simulation.submit(number, 0);
        simulation.advance(Duration::from_millis(50));
    }
    assert_eq!(simulation.tallies[&0].refused, 0);
}

/// A limit that is lifted holds back nothing.
#[test]
fn a_lifted_limit_holds_back_nothing() {
    let mut simulation = Simulation::new(&[50]);
    let server = Name::from("s0");
    simulation.gate.set_limit(&server, Rate::new(0.0), simulation.now);
    simulation.gate.set_limit(&server, None, simulation.now);
    for number in 0..100 {
        simulation.submit(number, 0);
        simulation.advance(Duration::from_millis(50));
    }
    assert_eq!(simulation.tallies[&0].refused, 0);
}
