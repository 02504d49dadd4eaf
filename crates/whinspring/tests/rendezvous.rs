//! Places of gates among nodes of uneven size.

use whinspring::{
    name::Name,
    rendezvous::{rank, weighted_rank},
};

const POOLS: usize = 4_000;

/// Returns how many of the pools each node gets.
fn places(nodes: &[(Name, u32)]) -> Vec<usize> {
    let mut counts = vec![0; nodes.len()];
    for pool in 0..POOLS {
        let pool = format!("s{pool}");
        let score = |index: &usize| weighted_rank(&[&nodes[*index].0, &pool], nodes[*index].1);
        counts[(0..nodes.len()).max_by_key(score).unwrap()] += 1;
    }
    counts
}

/// Load pattern: nodes with 0.075 to 0.5 of a core share the gates of hundreds of servers. Guards
/// against gates on small nodes that take longer for their messages than servers for their requests.
#[test]
fn nodes_get_gates_in_proportion_to_their_cpu() {
    let weights = [50, 50, 25, 25, 7, 7, 7, 7, 7, 7];
    let nodes: Vec<(Name, u32)> =
        weights.iter().enumerate().map(|(index, cpu)| (format!("n{index}").into(), *cpu)).collect();
    let total: u32 = weights.iter().sum();
    for ((_, weight), count) in nodes.iter().zip(places(&nodes)) {
        let expected = POOLS as f64 * f64::from(*weight) / f64::from(total);
        assert!((count as f64 - expected).abs() < expected * 0.3, "{count} of {expected}");
    }
}

/// Guards against another order on fleets of equal nodes, where earlier versions hash names alone.
#[test]
fn equal_nodes_keep_the_order_of_their_hash() {
    for pool in 0..500 {
        let pool = format!("s{pool}");
        let best = |score: &dyn Fn(&str) -> u64| (0..20).max_by_key(|n| score(&format!("n{n}")));
        let weighted = best(&|name| weighted_rank(&[name, &pool], 20));
        assert_eq!(weighted, best(&|name| rank(&[name, &pool], 0)));
    }
}
