//! How nodes draw one of them for a duty without agreeing on it: by a hash that all compute alike.

use twox_hash::XxHash3_64;

/// Hashes names and a number into an order that differs from case to case.
pub fn rank(names: &[&str], number: u64) -> u64 {
    let mut text = names.join("\0");
    text.push('\0');
    XxHash3_64::oneshot_with_seed(number, text.as_bytes())
}
