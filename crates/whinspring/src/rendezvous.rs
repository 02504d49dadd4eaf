//! Rendezvous hashing: nodes select one of them for a task without coordination, because each one
//! computes the same ranks.

use twox_hash::XxHash3_64;

/// Returns the rank of `names` for `number`, a seeded hash: each number gives another order.
pub fn rank(names: &[&str], number: u64) -> u64 {
    let mut text = names.join("\0");
    text.push('\0');
    XxHash3_64::oneshot_with_seed(number, text.as_bytes())
}

/// Returns the rank of `names` for a task that goes to a node in proportion to its `weight`: among nodes
/// with one weight, the order is that of [`rank`].
pub fn weighted_rank(names: &[&str], weight: u32) -> u64 {
    let draw = (rank(names, 0) as f64 + 0.5) / 2f64.powi(64);
    let score = f64::from(weight.max(1)) / -draw.min(1.0 - f64::EPSILON).ln();
    score.to_bits()
}
