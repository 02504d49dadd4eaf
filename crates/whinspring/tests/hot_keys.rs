//! How fast the moves of keys spread a new hot spot over the servers, under requests generated from
//! a seed, with the loads as the controller gets them.

use {
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::collections::{BTreeMap, HashMap},
    whinspring::{
        ranges::{
            Instance, MAX_KEY, Ownership,
            balance::{Candidate, plan_moves},
            demand::Demand,
        },
        time::Tick,
    },
};

const SERVERS: usize = 180;

const SPEEDS: [f64; 3] = [0.6, 1.0, 1.6];

/// Work of a request, in seconds at speed 1.0.
const WORK_S: f64 = 0.13;

/// Requests offered, relative to the capacity of all servers.
const LOAD: f64 = 0.55;

/// Interval of the simulation, in milliseconds.
const STEP_MS: u64 = 50;

/// Longest delay of a report to the controller, in milliseconds.
const REPORT_MS: u64 = 500;

const ROUND_MS: u64 = 400;

/// Time after which a handover has finished, in milliseconds.
const HANDOVER_MS: u64 = 400;

/// Interval at which the hot spot changes, in milliseconds.
const SPOT_MS: u64 = 5_000;

/// Share of all requests on a number of adjacent keys.
struct Spot {
    share: f64,
    keys: u16,
}

/// Results of one hot spot.
#[derive(Debug, Default, Clone)]
struct Outcome {
    /// Time from the onset until no more than 1 in 100 of the load exceeds what its servers can do,
    /// in milliseconds; that of a key which is too hot for any server does not count.
    spread_ms: Option<u64>,
    /// Time from the onset until a key that is too hot for any server is on one of the fastest,
    /// with almost no other load.
    alone_ms: Option<u64>,
    /// Mean share of the load that exceeds what its servers can do.
    excess: f64,
    moves: usize,
    keys: u32,
}

fn instance(index: usize) -> Instance {
    Instance { server: format!("s{index:03}").into(), start_ms: 0 }
}

/// Replays `spots` hot spots, one after another.
fn replay(seed: u64, spot: &Spot, spots: u64) -> Vec<Outcome> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let capacity = |index: usize| 2.0 * SPEEDS[index % 3];
    let servers: Vec<Candidate> = (0..SERVERS)
        .map(|index| Candidate {
            instance: instance(index),
            capacity: capacity(index),
            leaving: false,
        })
        .collect();
    let total: f64 = servers.iter().map(|server| server.capacity).sum();
    let base = total * 0.05 / 65_536.0;
    let rate = total * LOAD / WORK_S;
    let mut fence = 0;
    let owners: Vec<Instance> = (0..SERVERS).map(instance).collect();
    let mut owned = Ownership::split_evenly(1, &owners, || {
        fence += 64;
        fence
    });
    let mut measured = Demand::default();
    let mut reports: BTreeMap<u64, Vec<u16>> = BTreeMap::new();
    let warm_up = 15_000;
    let mut outcomes = vec![Outcome::default(); spots as usize];
    let mut first = 0;
    for now in (0..warm_up + spots * SPOT_MS).step_by(STEP_MS as usize) {
        let current = (now >= warm_up).then(|| (now - warm_up) / SPOT_MS);
        if current.is_some() && (now - warm_up) % SPOT_MS == 0 {
            first = rng.random_range(0..=MAX_KEY - spot.keys);
        }
        let mean = rate * STEP_MS as f64 / 1_000.0;
        let count = mean as u64 + u64::from(rng.random_bool(mean.fract()));
        for _ in 0..count {
            let key = match current.is_some() && rng.random_bool(spot.share) {
                true => first + rng.random_range(0..spot.keys),
                false => rng.random_range(0..=MAX_KEY),
            };
            let at = now + rng.random_range(0..REPORT_MS);
            reports.entry(at - at % STEP_MS).or_default().push(key);
        }
        measured.decay(Tick::from_millis(now));
        for key in reports.remove(&now).unwrap_or_default() {
            measured.record(key, WORK_S, &"a".into());
        }
        if now % HANDOVER_MS == 0 {
            owned.spans.iter_mut().for_each(|span| span.former = None);
        }
        if now % ROUND_MS == 0 {
            let moves = plan_moves(&owned, &servers, &measured.loads(), base);
            if owned.spans.len() > 6 * SERVERS {
                owned.merge_adjacent(|| 1);
            }
            for step in &moves {
                for index in owned.split_range(step.first, step.last) {
                    let span = &mut owned.spans[index];
                    if span.former.is_some() || span.owner == step.to {
                        continue;
                    }
                    span.former = Some(std::mem::replace(&mut span.owner, step.to.clone()));
                }
                if let Some(current) = current {
                    let outcome = &mut outcomes[current as usize];
                    outcome.moves += 1;
                    outcome.keys += u32::from(step.last - step.first) + 1;
                }
            }
        }
        let Some(current) = current else { continue };
        let since = (now - warm_up) % SPOT_MS;
        // A span in transfer is served by its former owner for most of the interval.
        let work = total * LOAD;
        let each = work * spot.share / f64::from(spot.keys);
        let rest = work * (1.0 - spot.share) / 65_536.0;
        let too_hot = each > 2.0 * 1.6;
        let mut server_loads: HashMap<&Instance, f64> = HashMap::new();
        for span in &owned.spans {
            let owner = span.former.as_ref().unwrap_or(&span.owner);
            let hot_first = u32::from(span.first.max(first));
            let hot_last = u32::from(span.last).min(u32::from(first) + u32::from(spot.keys) - 1);
            let hot = (hot_last + 1).saturating_sub(hot_first);
            let hot = if too_hot { 0.0 } else { f64::from(hot) * each };
            *server_loads.entry(owner).or_default() += hot + rest * f64::from(span.key_count());
        }
        let hot_owner = too_hot.then(|| {
            let span = owned.find(first).unwrap();
            span.former.as_ref().unwrap_or(&span.owner).clone()
        });
        let mut excess = 0.0;
        for server in &servers {
            let load = server_loads.get(&server.instance).copied().unwrap_or_default();
            if hot_owner.as_ref() == Some(&server.instance) {
                excess += load;
                let alone = server.capacity > 3.0 && load < 0.35;
                let outcome = &mut outcomes[current as usize];
                if alone && outcome.alone_ms.is_none() {
                    outcome.alone_ms = Some(since);
                }
            } else {
                excess += (load - server.capacity).max(0.0);
            }
        }
        let outcome = &mut outcomes[current as usize];
        outcome.excess += excess / work * STEP_MS as f64 / SPOT_MS as f64;
        if excess / work <= 0.01 && outcome.spread_ms.is_none() && since > 0 {
            outcome.spread_ms = Some(since);
        }
    }
    outcomes
}

fn summary(name: &str, outcomes: &[Outcome]) -> String {
    let mean = |value: &dyn Fn(&Outcome) -> f64| {
        outcomes.iter().map(value).sum::<f64>() / outcomes.len() as f64
    };
    let spread = mean(&|outcome| outcome.spread_ms.unwrap_or(SPOT_MS) as f64);
    let alone = mean(&|outcome| outcome.alone_ms.unwrap_or(SPOT_MS) as f64);
    let (moves, keys) = (mean(&|outcome| outcome.moves as f64), mean(&|o| f64::from(o.keys)));
    let excess = mean(&|outcome| outcome.excess);
    let text = format!(
        "{name}: spread {spread:.0} ms, alone {alone:.0} ms, excess {excess:.4}, {moves:.0} moves, {keys:.0} keys"
    );
    println!("{text}");
    text
}

/// Guards against a measure of load that follows a new hot spot within seconds only, and against
/// rounds that spread it twice.
#[test]
fn a_new_hot_range_is_spread_quickly() {
    for seed in 0..2 {
        let outcomes = replay(seed, &Spot { share: 0.38, keys: 200 }, 4);
        let report = summary("range", &outcomes);
        let spread: Vec<u64> = outcomes.iter().map(|it| it.spread_ms.unwrap_or(SPOT_MS)).collect();
        assert!(spread.iter().all(|ms| *ms <= 2_600), "seed {seed}: {report} {spread:?}");
        assert!(spread.iter().sum::<u64>() / 4 <= 2_000, "seed {seed}: {report} {spread:?}");
        assert!(outcomes.iter().all(|it| it.moves < 300 && it.keys < 10_000), "{report}");
    }
}

/// Guards against a key that stays on a slow server, or shares a server with its neighbours.
#[test]
fn a_key_too_hot_for_any_server_is_alone_on_a_fast_one() {
    for seed in 0..2 {
        let outcomes = replay(seed, &Spot { share: 0.16, keys: 1 }, 4);
        let report = summary("key", &outcomes);
        let alone: Vec<u64> = outcomes.iter().map(|it| it.alone_ms.unwrap_or(SPOT_MS)).collect();
        assert!(alone.iter().all(|ms| *ms <= 2_000), "seed {seed}: {report} {alone:?}");
        assert!(outcomes.iter().all(|it| it.moves < 60 && it.keys < 6_000), "{report}");
    }
}
