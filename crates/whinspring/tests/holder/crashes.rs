//! A caller that keeps retrying a request that crashes servers, over three servers of an unkeyed
//! service.

use {
    super::{
        fake::FakeServer,
        world::{World, get, update},
    },
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    whinspring::{
        holder::{Input, Policy, Update},
        model::Suspect,
        request::Meta,
    },
};

/// Time until a suspect is known to all holders, in milliseconds.
const SPREAD_MS: u64 = 40;
/// Duration of a run, in milliseconds.
const RUN_MS: u64 = 5_000;
const SEEDS: u64 = 24;
const CRASHING: u64 = 666;

#[test]
fn request_crashes_two_servers_at_most() {
    let mut total = 0;
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed);
        while fleet.ms < RUN_MS {
            fleet.step();
        }
        let crashes: u32 = fleet.worlds.iter().map(|world| world.fake.crashes).sum();
        assert!(crashes <= 2, "seed {seed}: {crashes} servers crashed");
        total += crashes;
        fleet.check_unrelated(seed);
    }
    assert_eq!(total, 2 * SEEDS as u32, "the request crashes servers");
}

/// Three servers with their holders, and one caller that retries indefinitely.
struct Fleet {
    rng: ChaCha8Rng,
    worlds: Vec<World>,
    ms: u64,
    term: u64,
    next: u64,
    /// The last attempt of the caller, while unanswered: server and number.
    sent: Option<(usize, u64)>,
    resend: u64,
    spreading: Vec<(u64, Suspect)>,
    stored: Vec<Suspect>,
    unrelated: Vec<(usize, u64)>,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let world = || World::cold(unkeyed(1), 0, FakeServer::default(), Policy::default());
        let mut worlds: Vec<World> = (0..3).map(|_| world()).collect();
        for world in &mut worlds {
            world.fake.crashing.insert(CRASHING);
        }
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            worlds,
            ms: 0,
            term: 1,
            next: 0,
            sent: None,
            resend: 100,
            spreading: Vec::new(),
            stored: Vec::new(),
            unrelated: Vec::new(),
        }
    }

    fn step(&mut self) {
        self.ms += 1;
        for world in &mut self.worlds {
            world.run(1);
        }
        self.spread();
        self.send_crashing();
        if self.ms.is_multiple_of(7) {
            self.send_unrelated();
        }
        if self.rng.random_range(0..1_000) == 0 {
            self.lose_holder();
        }
    }

    /// Stores suspects, and updates every holder once they have spread.
    fn spread(&mut self) {
        for world in &mut self.worlds {
            let news = world.suspects.drain(..);
            self.spreading.extend(news.map(|suspect| (self.ms + SPREAD_MS, suspect)));
        }
        let ms = self.ms;
        let due: Vec<(u64, Suspect)> = self.spreading.extract_if(.., |(at, _)| *at <= ms).collect();
        if due.is_empty() {
            return;
        }
        for (_, suspect) in due {
            self.stored.retain(|known| known.print != suspect.print);
            self.stored.push(suspect);
        }
        let update = self.update();
        for world in &mut self.worlds {
            world.input(Input::Update(Box::new(update.clone())));
        }
    }

    /// Retries the crashing request some time after its last answer.
    fn send_crashing(&mut self) {
        if let Some((server, number)) = self.sent {
            if self.worlds[server].answer(number) != "none" || self.worlds[server].is_gone(number) {
                self.sent = None;
                self.resend = self.ms + self.rng.random_range(50..150);
            }
            return;
        }
        if self.ms < self.resend {
            return;
        }
        let server = self.rng.random_range(0..3);
        self.sent = Some((server, self.next));
        self.arrive(server, CRASHING);
    }

    fn send_unrelated(&mut self) {
        let server = self.rng.random_range(0..3);
        self.unrelated.push((server, self.next));
        let fingerprint = self.rng.random_range(1..8);
        self.arrive(server, fingerprint);
    }

    fn arrive(&mut self, server: usize, fingerprint: u64) {
        let meta = Meta { place: None, fingerprint, ..get("") };
        self.worlds[server].arrive(self.next, meta, 400);
        self.next += 1;
    }

    /// Replaces a holder by one that knows only the records.
    fn lose_holder(&mut self) {
        self.term += 1;
        let server = self.rng.random_range(0..3);
        let update = self.update();
        self.worlds[server].lose_holder(update);
    }

    fn update(&self) -> Update {
        Update { suspects: self.stored.clone(), ..unkeyed(self.term) }
    }

    fn check_unrelated(&self, seed: u64) {
        let mut done = 0;
        for (server, number) in &self.unrelated {
            let answer = self.worlds[*server].answer(*number);
            assert_ne!(answer, "Crashing", "seed {seed}: an unrelated request was refused");
            done += usize::from(answer == "done");
        }
        let all = self.unrelated.len();
        assert!(done * 10 >= all * 8, "seed {seed}: {done} of {all} unrelated requests served");
    }
}

fn unkeyed(term: u64) -> Update {
    Update { slice_count: 0, slices: Vec::new(), ..update(term, 0) }
}
