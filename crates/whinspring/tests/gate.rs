//! How requests wait, are turned away and are placed, under load that is made up by a seed.

use {
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, time::Duration},
    whinspring::{
        gate::{Ask, Ending, Gate, Ticket, Verdict},
        name::Name,
        time::Tick,
    },
};

/// Number of a request, also its ticket's.
type Number = u64;

/// What became of the requests of one priority.
#[derive(Debug, Default)]
struct Tally {
    asked: u32,
    served: u32,
    refused: u32,
}

/// Servers that work and requests that come, on a clock moved by hand.
struct World {
    gate: Gate,
    now: Tick,
    /// Ends of running requests: number and server by time.
    ends: BTreeMap<(Tick, Number), Name>,
    /// Running requests by server.
    busy: BTreeMap<Name, u32>,
    most_busy: u32,
    tallies: BTreeMap<u8, Tally>,
    priorities: BTreeMap<Number, u8>,
    latest: Duration,
    asked_at: BTreeMap<Number, Tick>,
    work: BTreeMap<Name, Duration>,
}

impl World {
    fn new(work_ms: &[u64]) -> Self {
        let mut gate = Gate::default();
        let mut work = BTreeMap::new();
        for (index, ms) in work_ms.iter().enumerate() {
            let name = Name::from(format!("s{index}"));
            gate.set_server(&name, &Name::from("a"), 2, true);
            work.insert(name, Duration::from_millis(*ms));
        }
        Self {
            gate,
            now: Tick::from_millis(1),
            ends: BTreeMap::new(),
            busy: BTreeMap::new(),
            most_busy: 0,
            tallies: BTreeMap::new(),
            priorities: BTreeMap::new(),
            latest: Duration::ZERO,
            asked_at: BTreeMap::new(),
            work,
        }
    }

    fn ask(&mut self, number: Number, priority: u8) {
        let ticket = ticket(number);
        self.tallies.entry(priority).or_default().asked += 1;
        self.priorities.insert(number, priority);
        self.asked_at.insert(number, self.now);
        self.gate.ask(Ask {
            ticket,
            domain: "a".into(),
            priority,
            target: self.now + Duration::from_millis(400),
            deadline: self.now + Duration::from_millis(1_200),
            avoid: None,
        });
        self.step();
    }

    fn step(&mut self) {
        for verdict in self.gate.step(self.now) {
            match verdict {
                Verdict::Go(ticket, server) => {
                    let end = self.now + self.work[&server];
                    self.ends.insert((end, ticket.number), server.clone());
                    let busy = self.busy.entry(server).or_default();
                    *busy += 1;
                    self.most_busy = self.most_busy.max(*busy);
                    let tally = self.tallies.entry(self.priorities[&ticket.number]).or_default();
                    tally.served += 1;
                }
                Verdict::Refuse(ticket, _) => {
                    let waited = self.now.since(self.asked_at[&ticket.number]);
                    self.latest = self.latest.max(waited);
                    let tally = self.tallies.entry(self.priorities[&ticket.number]).or_default();
                    tally.refused += 1;
                }
            }
        }
    }

    /// Lets requests end up to `until`.
    fn run_to(&mut self, until: Tick) {
        while let Some(entry) = self.ends.first_entry() {
            let (end, number) = *entry.key();
            if end > until {
                break;
            }
            let server = entry.remove();
            self.now = end;
            *self.busy.get_mut(&server).unwrap() -= 1;
            self.gate.done(&ticket(number), Ending::Ran, end);
            self.step();
        }
        self.now = until;
    }

    fn share(&self, priority: u8) -> f64 {
        let tally = &self.tallies[&priority];
        f64::from(tally.served) / f64::from(tally.asked)
    }
}

fn ticket(number: Number) -> Ticket {
    Ticket { node: "n".into(), number }
}

/// A burst of 1.8 times what the slots can run, two priorities, servers of unequal speed.
fn burst(seed: u64) -> World {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut world = World::new(&[100, 150, 220]);
    let slots_per_s = 2.0 * (10.0 + 6.7 + 4.5);
    let gap_us = 1e6 / (slots_per_s * 1.8);
    for number in 0..400 {
        let gap = rng.random_range(0.0..2.0 * gap_us);
        let next = world.now + Duration::from_micros(gap as u64);
        world.run_to(next);
        let priority = if rng.random_bool(0.35) { 1 } else { 2 };
        world.ask(number, priority);
    }
    let end = world.now + Duration::from_secs(5);
    world.run_to(end);
    world
}

#[test]
fn no_server_gets_more_than_its_slots() {
    for seed in 0..20 {
        assert!(burst(seed).most_busy <= 2, "seed {seed}");
    }
}

#[test]
fn urgent_requests_are_served_in_a_burst() {
    for seed in 0..20 {
        let world = burst(seed);
        assert!(world.share(1) > 0.95, "seed {seed}: {:?}", world.tallies);
        assert!(world.share(1) > world.share(2), "seed {seed}: {:?}", world.tallies);
    }
}

#[test]
fn every_request_gets_one_answer() {
    for seed in 0..20 {
        let world = burst(seed);
        for tally in world.tallies.values() {
            assert_eq!(tally.asked, tally.served + tally.refused, "seed {seed}");
        }
        assert_eq!(world.gate.waiting(), 0, "seed {seed}");
    }
}

#[test]
fn a_request_that_cannot_be_served_is_refused_at_once() {
    let mut world = World::new(&[400]);
    world.ask(0, 2);
    world.run_to(Tick::from_millis(1_000));
    for number in 1..10 {
        world.ask(number, 2);
    }
    let tally = &world.tallies[&2];
    assert!(tally.refused >= 4, "{tally:?}");
    assert_eq!(world.latest, Duration::ZERO);
}

#[test]
fn nothing_is_refused_while_a_slot_is_free() {
    let mut world = World::new(&[100, 100]);
    for number in 0..4 {
        world.ask(number, 2);
    }
    assert_eq!(world.tallies[&2].served, 4);
}

/// A server that rejects each request at once always has room; it must not draw all requests.
#[test]
fn a_server_that_rejects_gets_rest() {
    let mut gate = Gate::default();
    gate.set_server(&"good".into(), &"b".into(), 2, true);
    gate.set_server(&"bad".into(), &"a".into(), 2, true);
    let mut now = Tick::from_millis(1);
    let mut rejected = 0;
    for number in 0..100 {
        now = now + Duration::from_millis(10);
        gate.ask(Ask {
            ticket: ticket(number),
            domain: "a".into(),
            priority: 1,
            target: now + Duration::from_millis(400),
            deadline: now + Duration::from_millis(1_200),
            avoid: None,
        });
        for verdict in gate.step(now) {
            let Verdict::Go(ticket, server) = verdict else { continue };
            let bad = server == "bad";
            rejected += u32::from(bad);
            let ending = if bad { Ending::Failed } else { Ending::Ran };
            gate.done(&ticket, ending, now + Duration::from_millis(1));
        }
    }
    assert!(rejected < 12, "{rejected} of 100 went to the server that rejects");
}

#[test]
fn a_request_goes_to_its_own_domain_unless_that_is_full() {
    let mut gate = Gate::default();
    gate.set_server(&"far".into(), &"b".into(), 2, true);
    gate.set_server(&"near".into(), &"a".into(), 2, true);
    let now = Tick::from_millis(1);
    for number in 0..3 {
        gate.ask(Ask {
            ticket: ticket(number),
            domain: "a".into(),
            priority: 1,
            target: now + Duration::from_millis(400),
            deadline: now + Duration::from_millis(1_200),
            avoid: None,
        });
    }
    let servers: Vec<Name> = gate
        .step(now)
        .into_iter()
        .filter_map(|verdict| match verdict {
            Verdict::Go(_, server) => Some(server),
            Verdict::Refuse(..) => None,
        })
        .collect();
    assert_eq!(servers, ["near", "near", "far"]);
}

#[test]
fn requests_of_a_lost_node_free_their_slots() {
    let mut gate = Gate::default();
    gate.set_server(&"s".into(), &"a".into(), 1, true);
    let now = Tick::from_millis(1);
    let ask = |node: &str, number| Ask {
        ticket: Ticket { node: node.into(), number },
        domain: "a".into(),
        priority: 1,
        target: now + Duration::from_millis(400),
        deadline: now + Duration::from_millis(1_200),
        avoid: None,
    };
    gate.ask(ask("lost", 1));
    assert_eq!(gate.step(now).len(), 1);
    gate.ask(ask("here", 1));
    assert!(gate.step(now).is_empty());
    gate.drop_node("lost");
    assert_eq!(gate.step(now).len(), 1);
}
