//! A sketch of the heaviest items of a stream in bounded memory.
//!
//! Space-saving: a full table gives its lightest item's place, with its weight, to a new item. An
//! item's weight is overestimated by at most the total divided by the table's size.

use std::{
    collections::{BTreeSet, HashMap},
    hash::Hash,
};

/// The heaviest items of a stream.
#[derive(Debug)]
pub struct Sketch<T> {
    size: usize,
    weights: HashMap<T, Weight>,
    order: BTreeSet<(u64, T)>,
}

/// Weight of an item and how much of it may belong to others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Weight {
    /// The item's weight at most.
    pub total: u64,
    /// What the total may exceed the true weight by.
    pub error: u64,
}

impl<T: Clone + Eq + Hash + Ord> Sketch<T> {
    /// Returns an empty sketch of at most `size` items.
    ///
    /// # Panics
    ///
    /// Panics if `size` is zero.
    pub fn new(size: usize) -> Self {
        assert!(size > 0, "a sketch needs room for an item");
        Self { size, weights: HashMap::with_capacity(size), order: BTreeSet::new() }
    }

    /// Adds weight to an item.
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

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.weights.clear();
        self.order.clear();
    }

    /// Evicts the lightest item if the table is full; returns what a new item starts from.
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
