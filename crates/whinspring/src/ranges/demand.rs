//! Recent load of the keys of a service, and the failure domains that it comes from.
//!
//! Load pattern: a few adjacent keys, or a single one, receive a large part of the requests from
//! one moment to the next, and other keys some seconds later. A mean over seconds knows the shape
//! of the load best, as a single key receives few requests in a short time; a mean over a fraction
//! of a second knows its amount sooner, if many keys are taken together. The load of a key is the
//! former, scaled by the latter where a block of keys shows a change beyond chance.

use {
    crate::{name::Name, time::Tick},
    std::{collections::BTreeMap, time::Duration},
};

/// Time constant of the mean load of each key, in seconds.
const SHAPE_DECAY_S: f64 = 3.0;

/// Time constant of the mean load of each block, in seconds. Nodes report every 250 or 500 ms.
const AMOUNT_DECAY_S: f64 = 0.4;

/// Load below which a key is dropped, in slots.
const MIN_LOAD: f64 = 0.000_5;

/// Bits of a key within a block. Hot spots of 200 keys fill several blocks, and the keys of one
/// block together receive enough requests in half a second.
const BLOCK_BITS: u32 = 6;

/// Work of a typical request, in seconds: sets how much the load of a block varies by chance.
const REQUEST_WORK_S: f64 = 0.13;

/// Standard deviations by which the load of a block must have changed.
const CHANGE_DEVIATIONS: f64 = 3.0;

/// Ratio of the shorter mean of a block's load to the longer one from which the load counts as new.
/// A step falls below it after about 4 s, when short-lived hot spots have gone.
const NEW_LOAD_RATIO: f64 = 1.35;

/// Interval at which loads decay. A decay for each report would pass over all keys hundreds of
/// times a second.
const DECAY_INTERVAL: Duration = Duration::from_millis(50);

/// Recent load of each key, in work per second.
pub type KeyLoads = BTreeMap<u16, f64>;

/// Load of the keys of one service, in slots.
#[derive(Debug, Default)]
pub struct Demand {
    keys: KeyLoads,
    blocks: BTreeMap<u16, Block>,
    decayed_at: Tick,
}

/// Load of adjacent keys, in slots.
#[derive(Debug, Default)]
struct Block {
    /// Mean over [`AMOUNT_DECAY_S`].
    amount: f64,
    /// Mean over [`SHAPE_DECAY_S`] by failure domain of the callers' nodes.
    origins: Vec<(Name, f64)>,
}

impl Demand {
    /// Adds work for a key that a node of a failure domain has reported, in seconds.
    pub fn record(&mut self, key: u16, work_s: f64, domain: &Name) {
        *self.keys.entry(key).or_default() += work_s / SHAPE_DECAY_S;
        let block = self.blocks.entry(key >> BLOCK_BITS).or_default();
        block.amount += work_s / AMOUNT_DECAY_S;
        let load = work_s / SHAPE_DECAY_S;
        match block.origins.iter_mut().find(|(name, _)| name == domain) {
            Some((_, sum)) => *sum += load,
            None => block.origins.push((domain.clone(), load)),
        }
    }

    /// Decays the loads to the present.
    pub fn decay(&mut self, now: Tick) {
        let elapsed = now.since(self.decayed_at);
        if elapsed < DECAY_INTERVAL {
            return;
        }
        self.decayed_at = now;
        let shape = (-elapsed.as_secs_f64() / SHAPE_DECAY_S).exp();
        let amount = (-elapsed.as_secs_f64() / AMOUNT_DECAY_S).exp();
        self.keys.retain(|_, load| {
            *load *= shape;
            *load > MIN_LOAD
        });
        self.blocks.retain(|_, block| {
            block.amount *= amount;
            block.origins.retain_mut(|(_, load)| {
                *load *= shape;
                *load > MIN_LOAD
            });
            !block.origins.is_empty()
        });
    }

    /// Returns the failure domain that most of the load of a range comes from, with its share.
    pub fn main_origin(&self, first: u16, last: u16) -> Option<(&Name, f64)> {
        let blocks = self.blocks.range(first >> BLOCK_BITS..=last >> BLOCK_BITS);
        let mut sums: BTreeMap<&Name, f64> = BTreeMap::new();
        for (name, load) in blocks.flat_map(|(_, block)| &block.origins) {
            *sums.entry(name).or_default() += load;
        }
        let total: f64 = sums.values().sum();
        let main = sums.into_iter().max_by(|a, b| a.1.total_cmp(&b.1))?;
        Some((main.0, main.1 / total))
    }

    /// Returns whether the load of a range has been there for some seconds.
    pub fn is_settled(&self, first: u16, last: u16) -> bool {
        let mut blocks = self.blocks.range(first >> BLOCK_BITS..=last >> BLOCK_BITS);
        blocks.all(|(_, block)| {
            let shape: f64 = block.origins.iter().map(|(_, load)| load).sum();
            block.amount < shape * NEW_LOAD_RATIO
        })
    }

    /// Returns the load of each key.
    pub fn loads(&self) -> KeyLoads {
        let mut loads = self.keys.clone();
        for (number, block) in &self.blocks {
            let first = number << BLOCK_BITS;
            let last = first + ((1 << BLOCK_BITS) - 1);
            let sum: f64 = self.keys.range(first..=last).map(|(_, load)| load).sum();
            let Some(factor) = scale(sum, block.amount) else { continue };
            loads.range_mut(first..=last).for_each(|(_, load)| *load *= factor);
        }
        loads
    }
}

/// Returns the factor from the longer mean of a block's load to the load that it is taken to have,
/// unless the difference may be chance.
///
/// The ratio of the means tells the age of a step: it falls from the ratio of the time constants to
/// 1. The square of its excess makes up, within a sixth, for what the shorter mean does not show yet.
fn scale(shape: f64, amount: f64) -> Option<f64> {
    let variance = amount.max(shape) * REQUEST_WORK_S / (2.0 * AMOUNT_DECAY_S);
    let is_change = (amount - shape).abs() > CHANGE_DEVIATIONS * variance.sqrt();
    if !is_change || shape <= 0.0 {
        return None;
    }
    let ratio = amount / shape;
    let youth = (ratio - 1.0).max(0.0) / (SHAPE_DECAY_S / AMOUNT_DECAY_S - 1.0);
    Some(ratio * (1.0 + youth * youth))
}
