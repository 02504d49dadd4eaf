//! Whether keys are owned in the failure domain that their load comes from, under requests generated
//! from a seed.

use {
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    whinspring::{
        name::Name,
        ranges::{
            Instance, Ownership,
            balance::{Candidate, Places, plan_moves, plan_moves_near, utilizations},
            demand::Demand,
        },
        time::Tick,
    },
};

const SERVERS: usize = 30;

const DOMAINS: [&str; 3] = ["a", "b", "c"];

const CAPACITY: f64 = 2.0;

const WORK_S: f64 = 0.13;

/// Adjacent hot keys of each domain, and the first ones.
const HOT_KEYS: u16 = 30;

const FIRST: [u16; 3] = [5_000, 30_000, 50_000];

fn instance(index: usize) -> Instance {
    Instance { server: format!("s{index:02}").into(), start_ms: 0 }
}

fn domain_of(index: usize) -> Name {
    DOMAINS[index % 3].into()
}

/// Requests of three domains; each domain has hot keys of its own.
struct Simulation {
    rng: ChaCha8Rng,
    now_ms: u64,
    demand: Demand,
    owned: Ownership,
    servers: Vec<Candidate>,
    /// Load of the hot keys of each domain, in slots.
    hot: [f64; 3],
    moves: Vec<usize>,
}

impl Simulation {
    fn new(seed: u64, hot: [f64; 3]) -> Self {
        let owners: Vec<Instance> = (0..SERVERS).map(instance).collect();
        let candidate =
            |index| Candidate { instance: instance(index), capacity: CAPACITY, leaving: false };
        let mut fence = 0;
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now_ms: 0,
            demand: Demand::default(),
            owned: Ownership::split_evenly(1, &owners, || {
                fence += 64;
                fence
            }),
            servers: (0..SERVERS).map(candidate).collect(),
            hot,
            moves: Vec::new(),
        }
    }

    /// Replays rounds of 400 ms; `is_local` selects whether the moves regard failure domains.
    fn run(&mut self, rounds: u32, is_local: bool) {
        for _ in 0..rounds {
            for _ in 0..8 {
                self.now_ms += 50;
                self.demand.decay(Tick::from_millis(self.now_ms));
                for (domain, first) in FIRST.into_iter().enumerate() {
                    let requests = self.hot[domain] / WORK_S * 0.05;
                    self.record(requests, |rng| {
                        let from = if rng.random_bool(0.9) { domain } else { (domain + 1) % 3 };
                        (first + rng.random_range(0..HOT_KEYS), from)
                    });
                }
                let requests = 12.0 / WORK_S * 0.05;
                self.record(requests, |rng| (rng.random(), rng.random_range(0..3)));
            }
            self.plan(is_local);
        }
    }

    fn record(&mut self, mean: f64, draw: impl Fn(&mut ChaCha8Rng) -> (u16, usize)) {
        let count = mean as u64 + u64::from(self.rng.random_bool(mean.fract()));
        for _ in 0..count {
            let (key, domain) = draw(&mut self.rng);
            self.demand.record(key, WORK_S, &DOMAINS[domain].into());
        }
    }

    fn plan(&mut self, is_local: bool) {
        let loads = self.demand.loads();
        let base = CAPACITY * SERVERS as f64 * 0.05 / 65_536.0;
        let domains = (0..SERVERS).map(|index| (instance(index), domain_of(index))).collect();
        let places = Places { domains, demand: &self.demand };
        let moves = match is_local {
            true => plan_moves_near(&self.owned, &self.servers, &loads, base, Some(&places)),
            false => plan_moves(&self.owned, &self.servers, &loads, base),
        };
        self.moves.push(moves.len());
        for step in moves {
            for index in self.owned.split_range(step.first, step.last) {
                self.owned.spans[index].owner = step.to.clone();
            }
        }
    }

    /// Returns the share of a domain's hot keys that are owned in it.
    fn local_share(&self, domain: usize) -> f64 {
        let keys = FIRST[domain]..FIRST[domain] + HOT_KEYS;
        let is_local = |key: &u16| {
            let owner = &self.owned.find(*key).unwrap().owner;
            (0..SERVERS).any(|index| instance(index) == *owner && index % 3 == domain)
        };
        keys.filter(is_local).count() as f64 / f64::from(HOT_KEYS)
    }

    /// Returns the highest and the mean utilization by the measured load.
    fn levels(&self) -> (f64, f64) {
        let levels = utilizations(&self.owned, &self.servers, &self.demand.loads(), 0.0);
        (levels[SERVERS - 1], levels.iter().sum::<f64>() / SERVERS as f64)
    }

    fn report(&self, seed: u64) -> String {
        let shares: Vec<f64> = (0..3).map(|domain| self.local_share(domain)).collect();
        let text = format!(
            "seed {seed}: local {shares:.2?}, levels {:.2?}, {:?}",
            self.levels(),
            self.moves
        );
        println!("{text}");
        text
    }
}

/// Each domain calls hot keys of its own: they are owned there as far as the load allows, and the
/// moves end.
#[test]
fn hot_keys_are_owned_where_their_callers_are() {
    for seed in 0..3 {
        let mut plain = Simulation::new(seed, [8.0, 8.0, 8.0]);
        plain.run(30, false);
        plain.report(seed);
        let mut simulation = Simulation::new(seed, [8.0, 8.0, 8.0]);
        simulation.run(30, true);
        let report = simulation.report(seed);
        let shares = (0..3).map(|domain| simulation.local_share(domain));
        assert!(shares.sum::<f64>() / 3.0 > 0.8, "{report}");
        let (high, mean) = simulation.levels();
        let (plain_high, _) = plain.levels();
        assert!(high < plain_high.max(mean + 0.2) + 0.1, "{report}");
        let moves = |it: &Simulation| it.moves.iter().sum::<usize>();
        assert!(moves(&simulation) <= moves(&plain) * 3 / 2 + 12, "{report}");
    }
}

/// All hot load comes from one domain, and is more than its servers can do: the load balance takes
/// precedence, and the moves end.
#[test]
fn a_domain_is_not_overloaded_for_locality() {
    for seed in 0..3 {
        let mut plain = Simulation::new(seed, [30.0, 0.0, 0.0]);
        plain.run(30, false);
        plain.report(seed);
        let mut simulation = Simulation::new(seed, [30.0, 0.0, 0.0]);
        simulation.run(30, true);
        let report = simulation.report(seed);
        let ((high, mean), (plain_high, _)) = (simulation.levels(), plain.levels());
        assert!(high < plain_high + 0.1, "{report}");
        assert!(high < 1.0 && high < mean + 0.3, "{report}");
        let late = |it: &Simulation| it.moves[15..].iter().sum::<usize>();
        assert!(late(&simulation) <= late(&plain) + 15, "{report}");
    }
}

/// Moves for locality alone are few in each round and end.
#[test]
fn moves_for_locality_alone_are_few() {
    for seed in 0..3 {
        let mut simulation = Simulation::new(seed, [9.0, 9.0, 9.0]);
        simulation.run(30, false);
        simulation.report(seed);
        simulation.run(30, true);
        let report = simulation.report(seed);
        assert!(simulation.moves[30..].iter().all(|moves| *moves <= 4 + 2), "{report}");
        assert!(simulation.moves[50..].iter().sum::<usize>() <= 10, "{report}");
        let shares = (0..3).map(|domain| simulation.local_share(domain));
        assert!(shares.sum::<f64>() / 3.0 > 0.65, "{report}");
    }
}

/// Guards against moves for locality alone that follow hot spots which are gone 5 s later.
#[test]
fn a_new_hot_spot_is_not_settled() {
    let (first, last) = (FIRST[0], FIRST[0] + HOT_KEYS - 1);
    let mut simulation = Simulation::new(0, [9.0, 9.0, 9.0]);
    simulation.run(7, false);
    assert!(!simulation.demand.is_settled(first, last));
    simulation.run(15, false);
    assert!(simulation.demand.is_settled(first, last));
}
