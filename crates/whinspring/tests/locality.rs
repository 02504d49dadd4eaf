//! Where a gate runs the requests of each failure domain, under demand generated from a seed.

use {
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        collections::{BTreeSet, HashMap},
        time::Duration,
    },
    whinspring::{
        gate::{Decision, Gate, PendingRequest, ServerOutcome, Ticket},
        name::Name,
        time::Tick,
    },
};

const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Servers of each domain; each has two slots.
const SERVERS: usize = 20;

const SLOTS: f64 = SERVERS as f64 * 2.0;

/// Mean service time at speed 1.0, in milliseconds.
const SERVICE_MS: f64 = 130.0;

const SPEEDS: [f64; 4] = [0.6, 1.0, 1.6, 1.0];

/// Results of the requests of one domain.
#[derive(Debug, Default, Clone)]
struct Tally {
    submitted: u32,
    inside: u32,
    outside: u32,
    rejected: u32,
    /// Waits of the admitted requests, in milliseconds.
    waits: Vec<f64>,
}

impl Tally {
    fn outside_share(&self) -> f64 {
        f64::from(self.outside) / f64::from(self.submitted)
    }

    fn rejected_share(&self) -> f64 {
        f64::from(self.rejected) / f64::from(self.submitted)
    }

    fn mean_wait(&self) -> f64 {
        self.waits.iter().sum::<f64>() / self.waits.len() as f64
    }

    fn wait_at(&self, quantile: f64) -> f64 {
        let mut sorted = self.waits.clone();
        sorted.sort_by(f64::total_cmp);
        sorted[((sorted.len() - 1) as f64 * quantile) as usize]
    }
}

struct Simulation {
    gate: Gate,
    rng: ChaCha8Rng,
    now: Tick,
    /// Running requests by time of completion and number.
    completions: BTreeSet<(Tick, u64)>,
    waiting: HashMap<u64, (usize, Tick)>,
    last: u64,
    tallies: Vec<Tally>,
    /// Whether the servers of each domain are usable.
    open: [bool; 3],
    /// Longest time for which requests waited while a slot was free all along, in milliseconds.
    idle_wait: f64,
    idle_since: Option<Tick>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut simulation = Self {
            gate: Gate::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Tick::from_millis(1),
            completions: BTreeSet::new(),
            waiting: HashMap::new(),
            last: 0,
            tallies: vec![Tally::default(); 3],
            open: [true; 3],
            idle_wait: 0.0,
            idle_since: None,
        };
        for domain in 0..3 {
            simulation.set_open(domain, true);
        }
        simulation
    }

    fn set_open(&mut self, domain: usize, open: bool) {
        self.open[domain] = open;
        for number in 0..SERVERS {
            let name = Name::from(format!("{}{number}", DOMAINS[domain]));
            self.gate.set_server(&name, &DOMAINS[domain].into(), 2, open);
        }
    }

    fn submit(&mut self, domain: usize) {
        self.last += 1;
        self.tallies[domain].submitted += 1;
        self.waiting.insert(self.last, (domain, self.now));
        self.gate.enqueue(PendingRequest {
            ticket: Ticket { node: "n".into(), number: self.last },
            domain: DOMAINS[domain].into(),
            priority: 1,
            target: self.now + Duration::from_millis(800),
            deadline: self.now + Duration::from_millis(3_000),
            avoid: None,
            exclude: Vec::new(),
        });
    }

    fn step(&mut self) {
        for decision in self.gate.decide(self.now) {
            match decision {
                Decision::Admit(ticket, server) => {
                    let (domain, since) = self.waiting.remove(&ticket.number).unwrap();
                    let tally = &mut self.tallies[domain];
                    tally.waits.push(self.now.since(since).as_secs_f64() * 1_000.0);
                    let inside = server.starts_with(DOMAINS[domain]);
                    tally.inside += u32::from(inside);
                    tally.outside += u32::from(!inside);
                    let number: usize = server[1..].parse().unwrap();
                    let mean = SERVICE_MS / SPEEDS[number % SPEEDS.len()];
                    let ms = mean * self.rng.random_range(0.5..1.5);
                    let end = self.now + Duration::from_micros((ms * 1_000.0) as u64);
                    self.completions.insert((end, ticket.number));
                }
                Decision::Reject(ticket, _) => {
                    let (domain, _) = self.waiting.remove(&ticket.number).unwrap();
                    self.tallies[domain].rejected += 1;
                }
            }
        }
        let open = self.open.iter().filter(|open| **open).count() as f64;
        let free = open * SLOTS - self.completions.len() as f64;
        let idle = free > 0.0 && !self.waiting.is_empty();
        let since = self.idle_since.get_or_insert(self.now);
        let lasted = self.now.since(*since).as_secs_f64() * 1_000.0;
        if idle {
            self.idle_wait = self.idle_wait.max(lasted);
        } else {
            self.idle_since = None;
        }
    }

    /// Runs for `seconds`; `demand` returns the load that a domain's callers offer, relative to the
    /// capacity of one domain, `seconds` after the start.
    fn run(&mut self, seconds: f64, demand: impl Fn(usize, f64) -> f64) {
        let start = self.now;
        let speed = SPEEDS.iter().sum::<f64>() / SPEEDS.len() as f64;
        let capacity = SLOTS * speed * 1_000.0 / SERVICE_MS;
        let tick = Duration::from_millis(2);
        while self.now.since(start).as_secs_f64() < seconds {
            let end = self.now + tick;
            let at = self.now.since(start).as_secs_f64();
            let mut arrivals = BTreeSet::new();
            for domain in 0..3 {
                let mean = demand(domain, at) * capacity * tick.as_secs_f64();
                let parts = 8;
                for part in 0..parts {
                    if self.rng.random_bool((mean / f64::from(parts)).min(1.0)) {
                        let offset = self.rng.random_range(0..2_000u64);
                        arrivals.insert((self.now + Duration::from_micros(offset), domain, part));
                    }
                }
            }
            for (at, domain, _) in arrivals {
                self.complete_until(at);
                self.now = at;
                self.submit(domain);
                self.step();
            }
            self.complete_until(end);
            self.now = end;
            if self.now.as_millis() % 100 < 2 {
                self.step();
            }
        }
    }

    fn complete_until(&mut self, until: Tick) {
        while let Some((end, number)) = self.completions.pop_first() {
            if end > until {
                self.completions.insert((end, number));
                break;
            }
            self.now = end;
            let ticket = Ticket { node: "n".into(), number };
            self.gate.complete(&ticket, ServerOutcome::Completed, end);
            self.step();
        }
    }

    /// Discards the results so far.
    fn reset(&mut self) {
        self.tallies = vec![Tally::default(); 3];
        self.idle_wait = 0.0;
        self.idle_since = None;
    }

    fn report(&self, scenario: &str, seed: u64) -> String {
        let mut text = format!("{scenario} seed {seed}: idle wait {:.1} ms", self.idle_wait);
        for (domain, tally) in DOMAINS.iter().zip(&self.tallies) {
            text += &format!(
                "; {domain}: outside {:.4}, rejected {:.4}, wait mean {:.1} p99 {:.1} max {:.1}",
                tally.outside_share(),
                tally.rejected_share(),
                tally.mean_wait(),
                tally.wait_at(0.99),
                tally.wait_at(1.0),
            );
        }
        println!("{text}");
        text
    }
}

/// Guards against servers of another domain that are taken for their speed while there is room at
/// home.
#[test]
fn requests_stay_at_home_while_there_is_room() {
    for seed in 0..3 {
        let mut simulation = Simulation::new(seed);
        simulation.run(6.0, |_, _| 0.6);
        let report = simulation.report("room", seed);
        assert!(simulation.tallies.iter().all(|tally| tally.outside_share() < 0.003), "{report}");
    }
}

/// One domain at 1.6 times its capacity, the others at 0.6: the excess of 0.375 leaves and no more,
/// nothing is rejected, and the callers of the other domains hardly wait for it.
#[test]
fn only_the_excess_of_a_full_domain_leaves() {
    for seed in 0..3 {
        let mut simulation = Simulation::new(seed);
        let demand = |domain, _| if domain == 0 { 1.6 } else { 0.6 };
        simulation.run(2.0, demand);
        simulation.reset();
        simulation.run(6.0, demand);
        let report = simulation.report("one full", seed);
        let [full, others @ ..] = &simulation.tallies[..] else { unreachable!() };
        assert!((0.3..0.42).contains(&full.outside_share()), "{report}");
        assert!(full.wait_at(0.99) < 120.0, "{report}");
        assert!(simulation.tallies.iter().all(|tally| tally.rejected == 0), "{report}");
        assert!(others.iter().all(|tally| tally.outside_share() < 0.01), "{report}");
        assert!(others.iter().all(|tally| tally.mean_wait() < 6.0), "{report}");
        assert!(others.iter().all(|tally| tally.wait_at(0.99) < 50.0), "{report}");
    }
}

/// All domains at 1.2 times their capacity: crossing gains nothing, and no request waits while a
/// slot is free.
#[test]
fn domains_that_are_all_short_exchange_little() {
    for seed in 0..2 {
        let mut simulation = Simulation::new(seed);
        simulation.run(2.0, |_, _| 1.2);
        simulation.reset();
        simulation.run(4.0, |_, _| 1.2);
        let report = simulation.report("all short", seed);
        assert!(simulation.tallies.iter().all(|tally| tally.outside_share() < 0.01), "{report}");
        assert!(simulation.idle_wait < 10.0, "{report}");
    }
}

/// Demand that varies by 0.55 around 0.75, out of phase: 0.042 of it exceeds the capacity of its
/// domain.
#[test]
fn traffic_follows_demand_that_varies_out_of_phase() {
    for seed in 0..2 {
        let mut simulation = Simulation::new(seed);
        simulation.run(15.0, |domain, at| {
            let phase = domain as f64 / 3.0;
            0.75 * (1.0 + 0.55 * (std::f64::consts::TAU * (at / 15.0 + phase)).sin())
        });
        let report = simulation.report("phases", seed);
        assert!(simulation.tallies.iter().all(|tally| tally.outside_share() < 0.1), "{report}");
        assert!(simulation.tallies.iter().all(|tally| tally.rejected == 0), "{report}");
        assert!(simulation.tallies.iter().all(|tally| tally.wait_at(0.99) < 30.0), "{report}");
    }
}

/// The callers of a domain whose servers are gone are served by the others without rejections, and
/// at home again within a second of the servers' return.
#[test]
fn a_lost_domain_is_replaced_and_used_again() {
    for seed in 0..3 {
        let mut simulation = Simulation::new(seed);
        simulation.run(2.0, |_, _| 0.55);
        simulation.set_open(0, false);
        simulation.reset();
        simulation.run(4.0, |_, _| 0.55);
        let report = simulation.report("lost", seed);
        assert!(simulation.tallies.iter().all(|tally| tally.rejected == 0), "{report}");
        assert!(simulation.tallies.iter().all(|tally| tally.wait_at(0.99) < 40.0), "{report}");
        simulation.set_open(0, true);
        simulation.run(1.0, |_, _| 0.55);
        simulation.reset();
        simulation.run(4.0, |_, _| 0.55);
        let report = simulation.report("back", seed);
        assert!(simulation.tallies.iter().all(|tally| tally.outside_share() < 0.003), "{report}");
    }
}
