//! A sketch of the heaviest items of a stream in bounded memory, by the Space-Saving algorithm.
//!
//! When the table is full, a new item replaces the lightest one and inherits its weight. The weight
//! of an item is overestimated by at most the total weight divided by the size of the table.

use std::{
    collections::{BTreeSet, HashMap},
    hash::Hash,
};

#[derive(Debug)]
pub struct Sketch<T> {
    size: usize,
    weights: HashMap<T, Weight>,
    order: BTreeSet<(u64, T)>,
}

/// An estimated weight and its maximum error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Weight {
    /// Upper bound of the weight.
    pub total: u64,
    /// Maximum by which `total` exceeds the true weight.
    pub error: u64,
}

impl<T: Clone + Eq + Hash + Ord> Sketch<T> {
    /// Returns an empty sketch of at most `size` items.
    ///
    /// # Panics
    ///
    /// Panics if `size` is zero.
    pub fn new(size: usize) -> Self {
        assert!(size > 0, "the size of a sketch must be at least one");
        Self { size, weights: HashMap::with_capacity(size), order: BTreeSet::new() }
    }

    pub fn add(&mut self, item: &T, weight: u64) {
        let old = self.weights.get(item).copied();
        let base = old.unwrap_or_else(|| self.make_room());
        if old.is_some() {
            self.order.remove(&(base.total, item.clone()));
        }
        let total = base.total.saturating_add(weight);
        self.order.insert((total, item.clone()));
        self.weights.insert(item.clone(), Weight { total, error: base.error });
    }

    /// Returns the heaviest items, heaviest first.
    pub fn top(&self, count: usize) -> impl Iterator<Item = (&T, Weight)> {
        self.order.iter().rev().take(count).map(|(_, item)| (item, self.weights[item]))
    }

    pub fn clear(&mut self) {
        self.weights.clear();
        self.order.clear();
    }

    /// Evicts the lightest item if the table is full; returns the initial weight of a new item.
    fn make_room(&mut self) -> Weight {
        if self.weights.len() < self.size {
            return Weight { total: 0, error: 0 };
        }
        let Some((total, item)) = self.order.pop_first() else {
            return Weight { total: 0, error: 0 };
        };
        self.weights.remove(&item);
        Weight { total, error: total }
    }
}
