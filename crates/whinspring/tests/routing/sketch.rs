//! Compares the sketch of hot keys with exact counts.

use {
    proptest::{prelude::*, test_runner::RngSeed},
    std::collections::BTreeMap,
    whinspring::sketch::{Sketch, Weight},
};

const SIZE: usize = 8;

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn weights_are_within_their_error(
        stream in prop::collection::vec((0u32..40, 1u64..100), 1..400),
    ) {
        let mut sketch = Sketch::new(SIZE);
        let mut exact = BTreeMap::<u32, u64>::new();
        for (item, weight) in &stream {
            sketch.add(item, *weight);
            *exact.entry(*item).or_default() += weight;
        }
        let all: u64 = exact.values().sum();
        let top: BTreeMap<u32, Weight> =
            sketch.top(SIZE).map(|(item, weight)| (*item, weight)).collect();
        prop_assert!(top.len() <= SIZE);
        for (item, weight) in &top {
            prop_assert!(exact[item] <= weight.total);
            prop_assert!(exact[item] >= weight.total - weight.error);
        }
        for (item, weight) in &exact {
            prop_assert!(*weight <= all / SIZE as u64 || top.contains_key(item));
        }
    }
}
