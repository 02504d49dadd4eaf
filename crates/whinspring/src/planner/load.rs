//! Measured load, smoothed, as the holders report it.

use {
    super::services,
    crate::{
        name::{Name, ServerId, Slice},
        replica::Replica,
        time::Tick,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Share of a new report in the smoothed load.
const SMOOTHING_FACTOR: f64 = 0.3;

/// Load below which an item is forgotten, in microseconds of slot time a second.
const MIN_ITEM_LOAD_US: f64 = 10.0;

/// Reports that the controller takes in a second, over all servers.
const MAX_REPORTS_PER_S: u32 = 100;

/// Shortest time between two reports on a server.
const MIN_PERIOD: Duration = Duration::from_millis(900);

/// Periods after which a report is no longer relied on.
const MAX_AGE_PERIODS: u32 = 5;

/// Returns the time between two reports on a server: it grows with the number of servers, so that
/// the controller's share of the network does not.
pub fn report_period(replica: &Replica) -> Duration {
    let servers: usize = services(replica).map(|service| service.servers.len()).sum();
    MIN_PERIOD.max(Duration::from_secs(1) * servers as u32 / MAX_REPORTS_PER_S)
}

/// The load of one server.
#[derive(Debug, Default)]
pub struct ServerLoad {
    /// When it was last reported.
    pub reported_at: Tick,
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
        let first = self.reported_at == Tick::default();
        self.reported_at = now;
        self.total = if first { total } else { smooth(self.total, total) };
        smooth_items(&mut self.slices, slices, first);
        smooth_items(&mut self.keys, keys, first);
    }

    /// Returns whether the load is recent, for reports at intervals of `period`.
    pub fn is_fresh(&self, now: Tick, period: Duration) -> bool {
        self.reported_at > Tick::default() && now.since(self.reported_at) < period * MAX_AGE_PERIODS
    }
}

/// Loads by service and server.
pub type Loads = BTreeMap<(Name, ServerId), ServerLoad>;

/// Smooths one value.
fn smooth(old: f64, new: f64) -> f64 {
    old * (1.0 - SMOOTHING_FACTOR) + new * SMOOTHING_FACTOR
}

/// Smooths a table of the heaviest items.
fn smooth_items<K: Ord>(table: &mut BTreeMap<K, f64>, items: Vec<(K, u64)>, first: bool) {
    for load in table.values_mut() {
        *load *= 1.0 - SMOOTHING_FACTOR;
    }
    let share = if first { 1.0 } else { SMOOTHING_FACTOR };
    for (item, load) in items {
        *table.entry(item).or_default() += load as f64 * share;
    }
    table.retain(|_, load| *load >= MIN_ITEM_LOAD_US);
}
