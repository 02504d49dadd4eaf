//! Checks the bounds that every placement policy must keep, and prints a comparison.

use {
    proptest::prelude::*,
    whinspring::{
        name::ServerId,
        placement::{Limits, Policy, Target, Unit, imbalance, place},
    },
};

/// Limits without a bound on moves.
const UNLIMITED: Limits = Limits { moves: usize::MAX, slack: 0.05 };

/// Returns `count` servers of equal weight.
fn targets(count: u32) -> Vec<Target> {
    (0..count).map(|id| Target { server: ServerId(id), weight: 2 }).collect()
}

/// Returns units whose load falls with their rank and whose hashes are spread evenly.
fn units(count: u64, skew: f64) -> Vec<Unit> {
    let load = |rank: u64| (1e6 / ((rank + 1) as f64).powf(skew)) as u64 + 100;
    let hash =
        |rank: u64| rank.wrapping_mul(0x9E37_79B9_7F4A_7C15).rotate_left(29).wrapping_mul(31);
    (0..count).map(|rank| Unit { hash: hash(rank), load: load(rank), owner: None }).collect()
}

/// Sets the owners of units.
fn with_owners(mut units: Vec<Unit>, owners: &[ServerId]) -> Vec<Unit> {
    for (unit, owner) in units.iter_mut().zip(owners) {
        unit.owner = Some(*owner);
    }
    units
}

/// Returns the number of units with a different owner.
fn count_moves(before: &[ServerId], after: &[ServerId]) -> usize {
    before.iter().zip(after).filter(|(before, after)| before != after).count()
}

proptest! {
    #[test]
    fn every_unit_gets_a_target(count in 1_u64..300, servers in 1_u32..20, skew in 0.0..1.2) {
        for policy in Policy::ALL {
            let owners = place(*policy, &units(count, skew), &targets(servers), UNLIMITED);
            prop_assert_eq!(owners.len(), count as usize);
            prop_assert!(owners.iter().all(|owner| owner.0 < servers));
        }
    }

    #[test]
    fn no_more_moves_than_allowed(count in 1_u64..300, servers in 2_u32..20, moves in 0_usize..20) {
        for policy in Policy::ALL {
            let targets = targets(servers);
            let start: Vec<ServerId> = (0..count).map(|unit| ServerId((unit % 2) as u32)).collect();
            let units = with_owners(units(count, 0.8), &start);
            let after = place(*policy, &units, &targets, Limits { moves, slack: 0.05 });
            prop_assert!(count_moves(&start, &after) <= moves, "{}", policy.as_str());
        }
    }

    #[test]
    fn greedy_never_makes_the_load_less_even(count in 1_u64..300, servers in 2_u32..20, moves in 0_usize..50) {
        let targets = targets(servers);
        let units = units(count, 0.8);
        let start = place(Policy::Rendezvous, &units, &targets, UNLIMITED);
        let units = with_owners(units, &start);
        let after = place(Policy::Greedy, &units, &targets, Limits { moves, slack: 0.05 });
        prop_assert!(imbalance(&units, &after, &targets) <= imbalance(&units, &start, &targets) + 1e-9);
    }
}

#[test]
fn stable_placement_causes_no_moves() {
    for policy in Policy::ALL {
        let (targets, units) = (targets(25), units(4_096, 0.5));
        let start = place(*policy, &units, &targets, UNLIMITED);
        let after = place(*policy, &with_owners(units, &start), &targets, UNLIMITED);
        assert_eq!(count_moves(&start, &after), 0, "{}", policy.as_str());
    }
}

#[test]
fn greedy_is_even_where_no_unit_is_too_large() {
    let (targets, units) = (targets(25), units(4_096, 0.5));
    let owners = place(Policy::Greedy, &units, &targets, UNLIMITED);
    assert!(imbalance(&units, &owners, &targets) <= 1.05);
}

/// Prints the imbalance and number of moves of each policy: `cargo test --release -p whinspring
/// --test placement -- --ignored --nocapture`.
#[test]
#[ignore = "prints figures for the design note"]
fn print_policy_figures() {
    for (slices, servers) in [(4_096, 25), (65_536, 700)] {
        for policy in Policy::ALL {
            let units = units(slices, 0.5);
            let all = targets(servers);
            let start = place(*policy, &units, &all, UNLIMITED);
            let fewer = &all[..all.len() - 1];
            let assigned = with_owners(units.clone(), &start);
            let loss = place(*policy, &assigned, fewer, UNLIMITED);
            let min_moves = start.iter().filter(|owner| owner.0 == servers - 1).count();
            let mut shifted = assigned;
            for unit in shifted.iter_mut().step_by(97) {
                unit.load *= 4;
            }
            let drift = place(*policy, &shifted, &all, UNLIMITED);
            println!(
                "{{\"policy\":\"{}\",\"slices\":{slices},\"servers\":{servers},\"imbalance\":{:.3},\
                 \"loss_moves\":{},\"loss_least\":{min_moves},\"loss_imbalance\":{:.3},\
                 \"drift_before\":{:.3},\"drift_moves\":{},\"drift_imbalance\":{:.3}}}",
                policy.as_str(),
                imbalance(&units, &start, &all),
                count_moves(&start, &loss),
                imbalance(&units, &loss, fewer),
                imbalance(&shifted, &start, &all),
                count_moves(&start, &drift),
                imbalance(&shifted, &drift, &all),
            );
        }
    }
}
