//! Ownership of key ranges, and planning of moves under load generated from a seed.

use {
    proptest::{prelude::*, test_runner::Config},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::collections::BTreeMap,
    whinspring::ranges::{
        Instance, MAX_KEY, Ownership,
        balance::{Candidate, plan_moves, utilizations},
        demand::KeyLoads,
    },
};

/// Base load of each key.
const BASE: f64 = 0.000_1;

fn instance(index: usize) -> Instance {
    Instance { server: format!("s{index:02}").into(), start_ms: 0 }
}

fn candidates(capacities: &[f64]) -> Vec<Candidate> {
    let candidate = |(index, capacity): (usize, &f64)| Candidate {
        instance: instance(index),
        capacity: *capacity,
        leaving: false,
    };
    capacities.iter().enumerate().map(candidate).collect()
}

fn even(count: usize) -> Ownership {
    let owners: Vec<Instance> = (0..count).map(instance).collect();
    let mut fence = 0;
    Ownership::split_evenly(1, &owners, || {
        fence += 64;
        fence
    })
}

/// Checks that the spans cover all keys without gaps or overlaps.
fn check_cover(owned: &Ownership) {
    let mut next = 0u32;
    for span in &owned.spans {
        assert_eq!(u32::from(span.first), next);
        assert!(span.last >= span.first);
        next = u32::from(span.last) + 1;
    }
    assert_eq!(next, u32::from(MAX_KEY) + 1);
}

/// Applies moves and completes all transfers.
fn apply_moves(owned: &mut Ownership, moves: &[whinspring::ranges::balance::Move]) {
    for step in moves {
        for index in owned.split_range(step.first, step.last) {
            owned.spans[index].owner = step.to.clone();
        }
    }
    check_cover(owned);
}

/// Returns loads in which 60 adjacent keys receive as much load as two servers can handle.
fn hot_loads(seed: u64) -> KeyLoads {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let start = rng.random_range(0..60_000u16);
    let mut loads: KeyLoads = BTreeMap::new();
    for key in start..start + 60 {
        loads.insert(key, 4.0 / 60.0 * rng.random_range(0.5..1.5));
    }
    for _ in 0..500 {
        *loads.entry(rng.random_range(0..=MAX_KEY)).or_default() += 0.012;
    }
    loads
}

#[test]
fn a_hot_range_is_spread_in_two_rounds() {
    for seed in 0..20 {
        let servers = candidates(&[2.0, 1.4, 2.8, 2.0, 1.4, 2.8, 2.0, 1.4, 2.8, 2.0]);
        let loads = hot_loads(seed);
        let mut owned = even(10);
        let before = utilizations(&owned, &servers, &loads, BASE);
        for _ in 0..2 {
            let moves = plan_moves(&owned, &servers, &loads, BASE);
            apply_moves(&mut owned, &moves);
        }
        let after = utilizations(&owned, &servers, &loads, BASE);
        let (high, mean) = (after[9], after.iter().sum::<f64>() / 10.0);
        assert!(before[9] > 1.0, "seed {seed}: the load does not exceed one server's capacity");
        assert!(high < mean + 0.25, "seed {seed}: {after:?}");
    }
}

/// With hundreds of servers, most of the load initially is on the keys of one server; a few rounds
/// must spread it over a large part of the others.
#[test]
fn a_hot_range_is_spread_over_hundreds_of_servers_in_four_rounds() {
    const SERVERS: usize = 360;
    let servers = candidates(&[2.0; SERVERS]);
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for _ in 0..5 {
        let first = rng.random_range(0..65_000u16);
        let key = |number: u16| (first + number, rng.random_range(0.4..0.8));
        let loads: KeyLoads = (0..180).map(key).collect();
        let mut owned = even(SERVERS);
        for _ in 0..4 {
            let moves = plan_moves(&owned, &servers, &loads, BASE);
            apply_moves(&mut owned, &moves);
        }
        let high = *utilizations(&owned, &servers, &loads, BASE).last().unwrap();
        assert!(high < 0.8, "{high}");
    }
}

#[test]
fn few_keys_move_for_a_hot_range() {
    for seed in 0..20 {
        let servers = candidates(&[2.0; 10]);
        let moves = plan_moves(&even(10), &servers, &hot_loads(seed), BASE);
        let keys: u32 = moves.iter().map(|step| u32::from(step.last - step.first) + 1).sum();
        assert!(keys < 16_000, "seed {seed}: {keys} keys");
    }
}

#[test]
fn an_even_load_moves_nothing() {
    let servers = candidates(&[2.0; 10]);
    let loads: KeyLoads = (0..=MAX_KEY).step_by(64).map(|key| (key, 0.01)).collect();
    assert_eq!(plan_moves(&even(10), &servers, &loads, BASE), []);
}

#[test]
fn a_leaving_server_loses_all_its_keys() {
    let mut servers = candidates(&[2.0; 4]);
    servers[1].leaving = true;
    let mut owned = even(4);
    let moves = plan_moves(&owned, &servers, &KeyLoads::new(), BASE);
    apply_moves(&mut owned, &moves);
    assert!(owned.spans.iter().all(|span| span.owner != instance(1)));
}

#[test]
fn a_server_that_joins_gets_keys() {
    let servers = candidates(&[2.0; 5]);
    let owned = even(4);
    let loads: KeyLoads = (0..=MAX_KEY).step_by(64).map(|key| (key, 0.004)).collect();
    let moves = plan_moves(&owned, &servers, &loads, BASE);
    assert!(moves.iter().any(|step| step.to == instance(4)), "{moves:?}");
}

/// Two moves of one round must not split a span that is already being transferred: both parts would
/// have the same fencing token, and the end of one transfer would count for both.
#[test]
fn a_range_is_not_moved_twice_in_one_round() {
    for seed in 0..50 {
        let servers = candidates(&[2.0, 1.4, 2.8, 2.0, 1.4, 2.8, 2.0, 1.4, 2.8, 2.0]);
        let moves = plan_moves(&even(10), &servers, &hot_loads(seed), BASE);
        for (index, step) in moves.iter().enumerate() {
            for other in &moves[index + 1..] {
                let apart = step.last < other.first || other.last < step.first;
                assert!(apart, "seed {seed}: {step:?} and {other:?}");
            }
        }
    }
}

#[test]
fn adjacent_spans_of_one_owner_are_merged_with_a_new_fence() {
    let mut owned = even(3);
    owned.split_range(100, 200);
    owned.split_range(30_000, 30_100);
    let mut fence = 10_000;
    assert!(owned.merge_adjacent(|| {
        fence += 64;
        fence
    }));
    check_cover(&owned);
    assert_eq!(owned.spans.len(), 3);
    assert!(owned.spans[0].fence > 10_000 && owned.spans[1].fence > 10_000);
    assert_eq!(owned.spans[2].fence, 192);
    assert!(!owned.merge_adjacent(|| unreachable!("no spans are left to merge")));
}

#[test]
fn a_span_being_transferred_is_not_merged() {
    let mut owned = even(2);
    owned.split_range(0, 99);
    owned.spans[0].former = Some(instance(1));
    assert!(!owned.merge_adjacent(|| unreachable!("no spans can be merged")));
    assert_eq!(owned.spans.len(), 3);
}

proptest! {
    #![proptest_config(Config { cases: 200, ..Config::default() })]

    #[test]
    fn splitting_keeps_the_cover_and_the_owners(runs in prop::collection::vec(any::<(u16, u16)>(), 1..20)) {
        let whole = even(7);
        let mut owned = whole.clone();
        for (one, other) in runs {
            let (first, last) = (one.min(other), one.max(other));
            let range = owned.split_range(first, last);
            prop_assert_eq!(owned.spans[range.start].first, first);
            prop_assert_eq!(owned.spans[range.end - 1].last, last);
            check_cover(&owned);
            for key in [first, last] {
                prop_assert_eq!(&owned.find(key).unwrap().owner, &whole.find(key).unwrap().owner);
            }
        }
    }
}

/// Returns six servers, of which the first three leave, and the load of their keys.
fn evacuated(seed: u64) -> (Vec<Candidate>, KeyLoads) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut servers = candidates(&[2.0, 2.0, 2.0, 1.6, 2.4, 2.0]);
    servers[..3].iter_mut().for_each(|server| server.leaving = true);
    let mut loads = KeyLoads::new();
    for span in &even(6).spans {
        for _ in 0..40 {
            let key = rng.random_range(span.first..=span.last);
            loads.insert(key, rng.random_range(0.005..0.04));
        }
    }
    (servers, loads)
}

/// Keys that wait longest for their handover get no service meanwhile: those with the most load must
/// not be the last.
#[test]
fn spans_with_the_most_load_leave_first() {
    for seed in 0..20 {
        let (mut servers, mut loads) = evacuated(seed);
        servers[3..].iter_mut().for_each(|server| server.capacity = 100.0);
        let hot = even(6).spans[1].first;
        loads.insert(hot, 3.0);
        let moves = plan_moves(&even(6), &servers, &loads, BASE);
        let load = |first: u16, last: u16| loads.range(first..=last).map(|it| it.1).sum::<f64>();
        let order: Vec<f64> =
            moves.iter().take(3).map(|step| load(step.first, step.last)).collect();
        assert!(order.is_sorted_by(|a, b| a >= b), "seed {seed}: {order:?}");
        assert_eq!(moves[0].first, hot, "seed {seed}");
    }
}

/// One server that takes a whole span of a lost third would be overloaded while others have room.
#[test]
fn a_split_span_overfills_no_server() {
    for seed in 0..50 {
        let (servers, mut loads) = evacuated(seed);
        let mut owned = even(6);
        let hot = owned.spans[1].clone();
        loads.range_mut(hot.first..=hot.last).for_each(|(_, load)| *load *= 8.0);
        let moves = plan_moves(&owned, &servers, &loads, BASE);
        apply_moves(&mut owned, &moves);
        let left =
            owned.spans.iter().any(|span| servers[..3].iter().any(|s| s.instance == span.owner));
        assert!(!left, "seed {seed}: {owned:?}");
        let levels = utilizations(&owned, &servers, &loads, BASE);
        let (low, high) = (levels[0], levels[levels.len() - 1]);
        assert!(high - low < 0.35, "seed {seed}: {levels:?}");
        assert!(moves.len() < 30, "seed {seed}: {} moves", moves.len());
    }
}

/// If no other server is left, the keys stay where they are.
#[test]
fn nothing_moves_if_all_servers_leave() {
    let mut servers = candidates(&[2.0; 4]);
    servers.iter_mut().for_each(|server| server.leaving = true);
    assert_eq!(plan_moves(&even(4), &servers, &hot_loads(1), BASE), []);
}

/// Guards against a controller that knows an old entry of a server and takes the process before for the
/// next one: what happened to that one, whose address another server may have, says nothing of the owner.
#[test]
fn only_a_later_process_of_a_server_succeeds_another() {
    let process = |server: &str, start_ms| Instance { server: server.into(), start_ms };
    let owner = process("s1", 2_000);
    assert!(process("s1", 2_001).succeeds(&owner));
    assert!(!owner.succeeds(&owner));
    assert!(!process("s1", 1_000).succeeds(&owner));
    assert!(!process("s2", 3_000).succeeds(&owner));
}
