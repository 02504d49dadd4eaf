//! Server load as reported by the holders, smoothed by an exponential moving average.

use {
    super::services,
    crate::{
        name::{Name, ServerId, Slice},
        replica::Replica,
        time::Tick,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Weight of a new report in the moving average.
const SMOOTHING_FACTOR: f64 = 0.3;

/// Load below which a slice or key is dropped, in microseconds of slot time per second.
const MIN_ITEM_LOAD_US: f64 = 10.0;

/// Reports per second to the controller, over all servers.
const MAX_REPORTS_PER_S: u32 = 100;

/// Minimum interval between two reports on a server.
const MIN_PERIOD: Duration = Duration::from_millis(900);

/// Age in report periods at which a report is stale.
const MAX_AGE_PERIODS: u32 = 5;

/// Returns the interval between two reports on a server.
///
/// It grows with the number of servers, which bounds the rate of reports to the controller.
pub fn report_period(replica: &Replica) -> Duration {
    let servers: usize = services(replica).map(|service| service.servers.len()).sum();
    MIN_PERIOD.max(Duration::from_secs(1) * servers as u32 / MAX_REPORTS_PER_S)
}

#[derive(Debug, Default)]
pub struct ServerLoad {
    /// Time of the last report; the default value if there was none.
    pub reported_at: Tick,
    /// Microseconds of slot time per second, over all slots.
    pub total: f64,
    /// Load of the most loaded slices, in the same unit.
    pub slices: BTreeMap<Slice, f64>,
    /// Load of the most loaded keys, in the same unit.
    pub keys: BTreeMap<Name, f64>,
}

impl ServerLoad {
    /// Adds a report; all loads are in microseconds of slot time per second.
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

    /// Returns whether the last report is recent, given the report interval `period`.
    pub fn is_fresh(&self, now: Tick, period: Duration) -> bool {
        self.reported_at > Tick::default() && now.since(self.reported_at) < period * MAX_AGE_PERIODS
    }
}

pub type Loads = BTreeMap<(Name, ServerId), ServerLoad>;

fn smooth(old: f64, new: f64) -> f64 {
    old * (1.0 - SMOOTHING_FACTOR) + new * SMOOTHING_FACTOR
}

/// Updates the moving average of each item; an item missing from the report counts as zero.
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
