//! Measured load, smoothed, as the holders report it.

use {
    crate::{
        name::{Name, ServerId, Slice},
        time::Tick,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Share of a new report in the smoothed load.
const SMOOTHING: f64 = 0.3;

/// Load below which an item is forgotten, in microseconds of slot time a second.
const FORGET: f64 = 10.0;

/// Time after which a report is no longer relied on.
const FRESH: Duration = Duration::from_secs(5);

/// The load of one server.
#[derive(Debug, Default)]
pub struct ServerLoad {
    /// When it was last reported.
    pub at: Tick,
    /// Microseconds of slot time a second, over all slots.
    pub total: f64,
    /// The same by slice, for the heaviest slices.
    pub slices: BTreeMap<Slice, f64>,
    /// The same by key, for the heaviest keys.
    pub keys: BTreeMap<Name, f64>,
}

impl ServerLoad {
    /// Takes in a report; `total` is in microseconds of slot time a second.
    pub fn add(
        &mut self,
        now: Tick,
        total: f64,
        slices: Vec<(Slice, u64)>,
        keys: Vec<(Name, u64)>,
    ) {
        let first = self.at == Tick::default();
        self.at = now;
        self.total = if first { total } else { smooth(self.total, total) };
        mix(&mut self.slices, slices, first);
        mix(&mut self.keys, keys, first);
    }

    /// Returns whether the load is recent.
    pub fn is_fresh(&self, now: Tick) -> bool {
        self.at > Tick::default() && now.since(self.at) < FRESH
    }
}

/// Loads by service and server.
pub type Loads = BTreeMap<(Name, ServerId), ServerLoad>;

/// Smooths one value.
fn smooth(former: f64, new: f64) -> f64 {
    former * (1.0 - SMOOTHING) + new * SMOOTHING
}

/// Smooths a table of the heaviest items.
fn mix<K: Ord>(table: &mut BTreeMap<K, f64>, items: Vec<(K, u64)>, first: bool) {
    for load in table.values_mut() {
        *load *= 1.0 - SMOOTHING;
    }
    let share = if first { 1.0 } else { SMOOTHING };
    for (item, load) in items {
        *table.entry(item).or_default() += load as f64 * share;
    }
    table.retain(|_, load| *load >= FORGET);
}
