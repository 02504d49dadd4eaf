//! Seeded random runs over a sequence of owners and holders of one key.
//!
//! Callers send non-idempotent requests, retry and cancel them, while connections break, the server
//! crashes or freezes, the key moves and holders are lost. Over all servers together, no id may run
//! twice; [`World`] checks slots, leases, deadlines and refusals.

use {
    super::{
        fake::FakeServer,
        world::{EPOCH_MS, SLICES, World, get, post, update},
    },
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::collections::BTreeMap,
    whinspring::{
        holder::{DedupState, Input, Policy, Update},
        message::Message,
        model::Owner,
        name::{ServerId, slice_of},
        request::Meta,
        time::Wall,
    },
};

/// Seeds of a default run; `WHINSPRING_SEEDS` sets another number.
const SEEDS: u64 = 128;
const STEPS: u32 = 300;

#[test]
fn no_id_runs_twice() {
    let seeds = std::env::var("WHINSPRING_SEEDS").ok().and_then(|text| text.parse().ok());
    let mut totals = BTreeMap::new();
    for seed in 0..seeds.unwrap_or(SEEDS) {
        let mut chain = Chain::new(seed);
        for _ in 0..STEPS {
            chain.step();
        }
        chain.check(seed);
        for answer in chain.answers() {
            *totals.entry(answer).or_insert(0) += 1;
        }
    }
    for answer in ["done", "replayed", "MaybeRan", "ServerLost", "Moved", "NoHolder"] {
        assert!(totals.get(answer).is_some_and(|count| *count > 20), "too few: {totals:?}");
    }
}

/// One id and the requests that carried it.
struct Sent {
    id: String,
    issued: Option<Wall>,
    jobs: Vec<u64>,
}

/// The successive owners of one key.
struct Chain {
    rng: ChaCha8Rng,
    world: World,
    /// The former owner, which entries with outdated records still use.
    former: Option<World>,
    /// Executions on servers that have been retired.
    ran: Vec<(u64, String)>,
    past: BTreeMap<u64, String>,
    sent: Vec<Sent>,
    term: u64,
    epoch: u64,
    next: u64,
    in_transit: Vec<DedupState>,
}

impl Chain {
    fn new(seed: u64) -> Self {
        let world = World::cold(update(1, 1), 0, FakeServer::default(), Policy::default());
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            world,
            former: None,
            ran: Vec::new(),
            past: BTreeMap::new(),
            sent: Vec::new(),
            term: 1,
            epoch: 1,
            next: 0,
            in_transit: Vec::new(),
        }
    }

    fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0..35 => self.send_new(),
            35..65 => self.send_again(),
            65..75 => self.arrive(get("a")),
            75..79 => self.world.fake.drop_connections(self.world.ms),
            79..82 if self.next > 0 => {
                let number = self.rng.random_range(0..self.next);
                self.world.cancel(number);
            }
            82..84 if self.world.fake.up => self.world.fake.crash(self.world.ms),
            84..86 => self.world.fake.frozen = !self.world.fake.frozen,
            86..89 => self.begin_move(),
            89..91 => self.lose_holder(),
            91..93 => self.begin_handover(),
            93..95 => self.world.leased = !self.world.leased,
            _ => self.deliver(),
        }
        let ms = self.rng.random_range(0..60);
        self.world.run(ms);
        if let Some(former) = &mut self.former {
            former.run(ms);
        }
        self.act_on_reports();
    }

    fn send_new(&mut self) {
        let id = format!("x{}", self.sent.len());
        let skew = self.rng.random_range(0..3_800);
        let wall = EPOCH_MS + self.world.ms + skew - 1_900;
        let issued = self.rng.random_bool(0.7).then_some(Wall(wall));
        self.sent.push(Sent { id, issued, jobs: Vec::new() });
        self.send(self.sent.len() - 1, true);
    }

    fn send_again(&mut self) {
        let recent = self.sent.len().min(6);
        if recent == 0 {
            return;
        }
        let index = self.sent.len() - 1 - self.rng.random_range(0..recent);
        self.send(index, false);
    }

    fn send(&mut self, index: usize, first: bool) {
        let sent = &mut self.sent[index];
        sent.jobs.push(self.next);
        let meta = Meta { first, issued: sent.issued, ..post("a", &sent.id) };
        self.arrive(meta);
    }

    fn arrive(&mut self, meta: Meta) {
        let within = self.rng.random_range(5..400);
        let stale = self.rng.random_bool(0.2);
        self.world.fake.service_ms = self.rng.random_range(1..80);
        let number = self.next;
        self.next += 1;
        match &mut self.former {
            Some(former) if stale => former.arrive(number, meta, within),
            _ => self.world.arrive(number, meta, within),
        }
    }

    /// Names another owner; the move ends when the slice is released.
    fn begin_move(&mut self) {
        let mut moving = update(self.term, self.epoch);
        for (slice, owner) in &mut moving.slices {
            if *slice == slice_of("a", SLICES) {
                *owner = Owner { next: Some(ServerId(2)), ..owner.clone() };
            }
        }
        self.world.input(Input::Update(Box::new(moving)));
    }

    /// Lets another node take over after the lease of the current one.
    fn lose_holder(&mut self) {
        self.term += 1;
        self.world.lose_holder(update(self.term, self.epoch));
        self.world.run(10);
    }

    /// Names another holder; the handover ends when the server is released.
    fn begin_handover(&mut self) {
        let next = Update { handover: true, ..update(self.term, self.epoch) };
        self.world.input(Input::Update(Box::new(next)));
    }

    /// Delivers the state in transit, of which some is lost.
    fn deliver(&mut self) {
        let in_transit = std::mem::take(&mut self.in_transit);
        let kept = in_transit.into_iter().filter(|_| self.rng.random_bool(0.8)).collect();
        self.world.input(Input::DedupState(kept));
    }

    fn act_on_reports(&mut self) {
        for report in std::mem::take(&mut self.world.reports) {
            match report {
                Message::SlicesReleased { term, .. } if term == self.term => {
                    return self.change_owner();
                }
                Message::ServerReleased { term, .. } if term == self.term => {
                    self.in_transit.append(&mut self.world.handed);
                    return self.lose_holder();
                }
                Message::ServerLost { term, .. }
                    if term == self.term && self.rng.random_bool(0.5) =>
                {
                    return self.change_owner();
                }
                Message::ServerBack { term, .. } if term == self.term => {
                    self.term += 1;
                    let next = update(self.term, self.epoch);
                    self.world.input(Input::Update(Box::new(next)));
                }
                _ => {}
            }
        }
    }

    /// Assigns the key to another server. The former holder learns of it at once or not at all.
    fn change_owner(&mut self) {
        self.epoch += 1;
        let ms = self.world.ms;
        let next = update(self.term, self.epoch);
        let world = World::cold(next, ms, FakeServer::default(), Policy::default());
        let mut former = std::mem::replace(&mut self.world, world);
        if self.rng.random_bool(0.7) {
            let mut gone = update(self.term, self.epoch - 1);
            gone.slices.retain(|(slice, _)| *slice != slice_of("a", SLICES));
            former.input(Input::Update(Box::new(gone)));
        }
        self.in_transit.append(&mut former.handed);
        if let Some(older) = self.former.replace(former) {
            self.retire(&older);
        }
    }

    fn retire(&mut self, world: &World) {
        let runs = world.fake.log.iter().filter(|ran| !ran.id.is_empty());
        self.ran.extend(runs.map(|ran| (ran.job.0, ran.id.clone())));
        let answers = world.answers.iter();
        self.past.extend(answers.map(|(job, answer)| (job.0, answer.clone())));
    }

    /// Checks that each id ran at most once and that replayed answers belong to their id.
    fn check(&mut self, seed: u64) {
        self.world.run(500);
        let world =
            World::cold(update(1, 1), self.world.ms, FakeServer::default(), Policy::default());
        let last = std::mem::replace(&mut self.world, world);
        self.retire(&last);
        if let Some(former) = self.former.take() {
            self.retire(&former);
        }
        for sent in &self.sent {
            let runs: Vec<&(u64, String)> =
                self.ran.iter().filter(|(_, id)| *id == sent.id).collect();
            assert!(runs.len() <= 1, "seed {seed}: {} ran more than once: {runs:?}", sent.id);
            for job in &sent.jobs {
                let Some(answer) = self.past.get(job) else { continue };
                let own = answer.starts_with("replayed");
                let right = answer.ends_with(&format!(" {}", sent.id));
                assert!(!own || right, "seed {seed}: {} got {answer}", sent.id);
            }
        }
    }

    fn answers(&self) -> impl Iterator<Item = String> {
        let words = self.past.values().map(|answer| answer.split(' ').next().unwrap_or(answer));
        words.map(str::to_owned).collect::<Vec<String>>().into_iter()
    }
}

#[test]
fn runs_are_the_same_for_a_seed() {
    let trace = |seed| {
        let mut chain = Chain::new(seed);
        for _ in 0..100 {
            chain.step();
        }
        chain.world.trace
    };
    assert_eq!(trace(3), trace(3));
}
