//! Compares the queueing policies of a holder on one simulated server.
//!
//! `cargo run --release -p whinspring --example policies -- [SEED]` prints a line for each
//! scenario and policy. Time is simulated, so a seed gives the same results on every machine.
//! `unlimited` is an unbounded FIFO queue without deadlines, estimates or refusals.

use {
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        collections::{BTreeMap, HashMap, VecDeque},
        time::Duration,
    },
    whinspring::{
        code::Code,
        holder::{Holder, Input, Output, Policy, Update},
        model::{Server, ServerState},
        name::ServerId,
        request::{Job, JobId, Meta},
        time::{Tick, Wall},
    },
};

/// Simulated duration of a run.
const RUN_US: u64 = 60_000_000;
/// Warm-up period that is excluded from the statistics.
const WARM_UP_US: u64 = 5_000_000;
/// Interval between two ticks of the holder.
const TICK_US: u64 = 20_000;
/// Maximum wait of a refused request that counts as refused immediately.
const IMMEDIATE_US: u64 = 50_000;
/// Mean service time.
const SERVICE_US: f64 = 10_000.0;
const SLOTS: usize = 2;
const CUSTOMERS: u64 = 20;
/// Deadlines of requests; all are equally frequent.
const DEADLINES_MS: [u64; 3] = [100, 300, 1_000];

/// Offered load on the server.
struct Scenario {
    name: &'static str,
    /// Offered load as a fraction of the capacity.
    load: f64,
    /// Request rate of customer 0 as a multiple of each other customer's.
    rate_factor: u64,
    /// Service time of customer 0 as a multiple of the other customers'.
    time_factor: f64,
}

const SCENARIOS: &[Scenario] = &[
    Scenario { name: "steady 0.7", load: 0.7, rate_factor: 1, time_factor: 1.0 },
    Scenario { name: "overload 2", load: 2.0, rate_factor: 1, time_factor: 1.0 },
    Scenario { name: "overload 5", load: 5.0, rate_factor: 1, time_factor: 1.0 },
    Scenario { name: "rush 10", load: 1.2, rate_factor: 10, time_factor: 1.0 },
    Scenario { name: "rush heavy", load: 2.0, rate_factor: 10, time_factor: 5.0 },
];

fn main() {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(1);
    println!(
        "{:<12} {:<11} {:>8} {:>8} {:>7} {:>8} {:>8} {:>9} {:>9} {:>9}",
        "scenario",
        "policy",
        "goodput",
        "of ideal",
        "late",
        "p50 ms",
        "p99 ms",
        "waited %",
        "others %",
        "oth. p99"
    );
    for scenario in SCENARIOS {
        let policies = [
            ("unlimited", None),
            ("fifo", Some(Policy::Fifo)),
            ("deadline", Some(Policy::Deadline)),
            ("round-robin", Some(Policy::RoundRobin)),
            ("usage", Some(Policy::Usage)),
            ("fair", Some(Policy::Fair)),
        ];
        for (name, policy) in policies {
            let stats = match policy {
                Some(policy) => Run::new(seed, scenario, policy).finish(),
                None => run_unlimited(seed, scenario),
            };
            stats.print(scenario, name);
        }
    }
}

/// Arriving request; times in microseconds.
struct Arrival {
    at: u64,
    customer: u64,
    deadline: u64,
    service: u64,
}

/// Outcomes of the requests; times in microseconds.
#[derive(Default)]
struct Stats {
    done: u64,
    late: u64,
    latencies: Vec<u64>,
    /// Times from arrival to refusal.
    refusals: Vec<u64>,
    others: u64,
    others_done: u64,
    others_latencies: Vec<u64>,
    offered_us: u64,
    done_us: u64,
}

impl Stats {
    fn record_arrival(&mut self, arrival: &Arrival) {
        self.others += u64::from(arrival.customer > 0);
        self.offered_us += arrival.service;
    }

    fn record_done(&mut self, arrival: &Arrival, now: u64) {
        if now > arrival.deadline {
            self.late += 1;
            return;
        }
        self.done += 1;
        self.done_us += arrival.service;
        self.latencies.push(now - arrival.at);
        if arrival.customer > 0 {
            self.others_done += 1;
            self.others_latencies.push(now - arrival.at);
        }
    }

    /// Returns the percentage of refusals more than [`IMMEDIATE_US`] after the arrival.
    fn late_refusals(&self) -> f64 {
        let late = self.refusals.iter().filter(|wait| **wait > IMMEDIATE_US).count();
        100.0 * late as f64 / self.refusals.len().max(1) as f64
    }

    fn print(mut self, scenario: &Scenario, policy: &str) {
        let seconds = (RUN_US - WARM_UP_US) as f64 / 1e6;
        let ideal = self.offered_us.min((seconds * SLOTS as f64 * 1e6) as u64);
        println!(
            "{:<12} {policy:<11} {:>8.1} {:>8.3} {:>7} {:>8.1} {:>8.1} {:>9.1} {:>9.1} {:>9.1}",
            scenario.name,
            self.done as f64 / seconds,
            self.done_us as f64 / ideal as f64,
            self.late,
            quantile(&mut self.latencies, 0.5),
            quantile(&mut self.latencies, 0.99),
            self.late_refusals(),
            100.0 * self.others_done as f64 / self.others as f64,
            quantile(&mut self.others_latencies, 0.99)
        );
    }
}

/// Simulation run of one holder.
struct Run {
    arrivals: Vec<Arrival>,
    holder: Holder,
    /// Scheduled inputs by time and sequence number.
    events: BTreeMap<(u64, u64), Input>,
    seq: u64,
    running: HashMap<JobId, (u64, u64)>,
    stats: Stats,
}

impl Run {
    fn new(seed: u64, scenario: &Scenario, policy: Policy) -> Self {
        let (service, id) = ("s".into(), ServerId(1));
        let holder = Holder::with_policy(Tick(0), service, id, update(), seed, policy);
        Self {
            arrivals: arrivals(seed, scenario),
            holder,
            events: BTreeMap::new(),
            seq: 0,
            running: HashMap::new(),
            stats: Stats::default(),
        }
    }

    fn finish(mut self) -> Stats {
        for tick in (0..RUN_US).step_by(TICK_US as usize) {
            self.schedule(tick, Input::Lease(Tick(tick + 500_000)));
            self.schedule(tick, Input::Tick);
        }
        for index in 0..self.arrivals.len() {
            let job = job(index, &self.arrivals[index]);
            let at = self.arrivals[index].at;
            self.schedule(at, Input::Arrive(job));
        }
        while let Some(((now, _), input)) = self.events.pop_first() {
            self.step(now, input);
        }
        self.stats
    }

    fn step(&mut self, now: u64, input: Input) {
        match &input {
            Input::Arrive(job) => {
                let arrival = &self.arrivals[job.id.0 as usize];
                if arrival.at >= WARM_UP_US {
                    self.stats.record_arrival(arrival);
                }
            }
            Input::Answered { job, .. } => {
                self.running.remove(job);
                let arrival = &self.arrivals[job.0 as usize];
                if arrival.at >= WARM_UP_US {
                    self.stats.record_done(arrival, now);
                }
            }
            _ => {}
        }
        let mut out = Vec::new();
        self.holder.handle(Tick(now), Wall(1_000_000 + now / 1_000), input, &mut out);
        for output in out {
            self.apply(now, output);
        }
    }

    fn apply(&mut self, now: u64, output: Output) {
        match output {
            Output::Start { job, .. } => {
                let end = now + self.arrivals[job.0 as usize].service;
                let seq = self.schedule(end, Input::Answered { job, answer: None });
                self.running.insert(job, (end, seq));
            }
            Output::Abort(job) => {
                if let Some(end) = self.running.remove(&job) {
                    self.events.remove(&end);
                    self.schedule(now, Input::Failed { job, sent: true });
                }
            }
            Output::Refuse(job, refusal) => {
                let arrival = &self.arrivals[job.0 as usize];
                if arrival.at < WARM_UP_US {
                    return;
                }
                if refusal.code == Code::Deadline {
                    self.stats.late += 1;
                } else {
                    self.stats.refusals.push(now - arrival.at);
                }
            }
            Output::Grant { number, .. } => {
                self.schedule(now + 1_000, server_up(number));
            }
            Output::Probe => {
                self.schedule(now + 5_000, server_up(0));
            }
            _ => {}
        }
    }

    fn schedule(&mut self, at: u64, input: Input) -> u64 {
        self.seq += 1;
        self.events.insert((at, self.seq), input);
        self.seq
    }
}

/// Serves the requests in order of arrival, regardless of their deadlines.
fn run_unlimited(seed: u64, scenario: &Scenario) -> Stats {
    let mut stats = Stats::default();
    let mut free = VecDeque::from([0; SLOTS]);
    for arrival in arrivals(seed, scenario) {
        let start = free.pop_front().unwrap_or(0).max(arrival.at);
        let end = start + arrival.service;
        let at = free.partition_point(|other| *other <= end);
        free.insert(at, end);
        if arrival.at >= WARM_UP_US {
            stats.record_arrival(&arrival);
            stats.record_done(&arrival, end);
        }
    }
    stats
}

/// Generates the requests of a scenario: Poisson arrivals, exponential service times.
fn arrivals(seed: u64, scenario: &Scenario) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let weight = scenario.rate_factor + CUSTOMERS - 1;
    let share = scenario.rate_factor as f64 / weight as f64;
    let mean = SERVICE_US * (1.0 + share * (scenario.time_factor - 1.0));
    let gap = mean / (SLOTS as f64 * scenario.load);
    let mut at = 0.0;
    let mut arrivals = Vec::new();
    loop {
        at += exponential(&mut rng) * gap;
        if at >= RUN_US as f64 {
            return arrivals;
        }
        let customer = rng.random_range(0..weight).saturating_sub(scenario.rate_factor - 1);
        let factor = if customer == 0 { scenario.time_factor } else { 1.0 };
        let service = exponential(&mut rng) * SERVICE_US * factor;
        let timeout = DEADLINES_MS[rng.random_range(0..DEADLINES_MS.len())] * 1_000;
        let (at, service) = (at as u64, service as u64 + 100);
        arrivals.push(Arrival { at, customer, deadline: at + timeout, service });
    }
}

fn exponential(rng: &mut ChaCha8Rng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}

fn job(index: usize, arrival: &Arrival) -> Job {
    let meta = Meta {
        service: "s".into(),
        place: None,
        customer: format!("c{}", arrival.customer).as_str().into(),
        id: Default::default(),
        issued: None,
        first: true,
        idempotent: true,
        fingerprint: index as u64,
        crashes: 0,
    };
    Job { id: JobId(index as u64), meta, deadline: Tick(arrival.deadline) }
}

fn server_up(grant: u64) -> Input {
    Input::Up { grant, boot: 1, term: 1, leaving: false, cold: false }
}

fn update() -> Update {
    Update {
        server: Server {
            name: "b1".into(),
            addr: ([127, 0, 0, 1], 1).into(),
            domain: "a".into(),
            fenced: true,
            slots: SLOTS as u32,
            conns: 100,
            state: ServerState::Active,
        },
        term: 1,
        handover: false,
        slices: Vec::new(),
        keys: Vec::new(),
        excluded: Vec::new(),
        slice_count: 0,
        shares: Vec::new(),
        suspects: Vec::new(),
    }
}

/// Returns a quantile of `times` in milliseconds; zero if there are none.
fn quantile(times: &mut [u64], share: f64) -> f64 {
    if times.is_empty() {
        return 0.0;
    }
    times.sort_unstable();
    let index = ((times.len() - 1) as f64 * share) as usize;
    Duration::from_micros(times[index]).as_secs_f64() * 1e3
}
