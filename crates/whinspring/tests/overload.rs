//! Requests for one key that gets ten times as many as its server can run.

use {
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, time::Duration},
    whinspring::{
        gate::{Decision, Gate, PendingRequest, ServerOutcome, Ticket},
        name::Name,
        time::Tick,
    },
};

const TARGET: Duration = Duration::from_millis(500);

const DEADLINE: Duration = Duration::from_millis(1_500);

const PER_SECOND: f64 = 222.0;

const SECONDS: u64 = 5;

/// What became of the callers.
#[derive(Debug, Default)]
struct Tally {
    on_time: u32,
    late: u32,
    prompt: u32,
    rejected: u32,
    /// Time of the slots that requests used.
    used: Duration,
}

/// Plays the load of a hot key on a server with two slots.
fn play(seed: u64) -> Tally {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (server, domain) = (Name::from("s"), Name::from("a"));
    let mut gate = Gate::default();
    gate.set_server(&server, &domain, 2, true);
    let mut tally = Tally::default();
    let mut arrivals = BTreeMap::new();
    let mut ends: BTreeMap<(Tick, u64), ()> = BTreeMap::new();
    let mut number = 0;
    for step in 1..=SECONDS * 1_000 + 2_000 {
        let now = Tick::from_millis(step);
        while let Some((&(end, ended), ())) = ends.first_key_value().filter(|(key, _)| key.0 <= now)
        {
            ends.pop_first();
            let took = end.since(arrivals[&ended]);
            if took <= TARGET {
                tally.on_time += 1
            } else {
                tally.late += 1
            }
            gate.complete(&ticket(ended), ServerOutcome::Completed, now);
        }
        if step <= SECONDS * 1_000 && rng.random_bool(PER_SECOND / 1_000.0) {
            number += 1;
            arrivals.insert(number, now);
            gate.enqueue(PendingRequest {
                ticket: ticket(number),
                domain: domain.clone(),
                priority: 1,
                target: now + TARGET,
                deadline: now + DEADLINE,
                avoid: None,
                exclude: Vec::new(),
            });
        }
        for decision in gate.decide(now) {
            match decision {
                Decision::Admit(ticket, _) => {
                    let time = Duration::from_millis(rng.random_range(95..250));
                    tally.used += time;
                    ends.insert((now + time, ticket.number), ());
                }
                Decision::Reject(ticket, _) => {
                    tally.rejected += 1;
                    let waited = now.since(arrivals[&ticket.number]);
                    tally.prompt += u32::from(waited <= TARGET / 8);
                }
            }
        }
    }
    tally
}

fn ticket(number: u64) -> Ticket {
    Ticket { node: "n".into(), number }
}

/// Guards against a queue whose requests all run just after their target, and against callers that
/// wait long for a rejection. The slots are used, nearly all responses are on time, and a caller that
/// is rejected hears of it within an eighth of its target.
#[test]
fn a_hot_key_is_served_on_time_and_the_rest_is_rejected_at_once() {
    for seed in 0..10 {
        let tally = play(seed);
        let slots = Duration::from_secs(SECONDS) * 2;
        assert!(tally.used >= slots * 9 / 10, "seed {seed}: {tally:?}");
        assert!(tally.on_time * 10 >= (tally.on_time + tally.late) * 9, "seed {seed}: {tally:?}");
        assert!(tally.prompt * 10 >= tally.rejected * 9, "seed {seed}: {tally:?}");
    }
}
