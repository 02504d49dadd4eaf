//! Rendezvous hashing: nodes select one of them for a task without coordination, because each one
//! computes the same ranks.

use twox_hash::XxHash3_64;

/// Returns the rank of `names` for `number`, a seeded hash: each number gives another order.
pub fn rank(names: &[&str], number: u64) -> u64 {
    let mut text = names.join("\0");
    text.push('\0');
    XxHash3_64::oneshot_with_seed(number, text.as_bytes())
}
