//! How nodes draw one of them for a duty without agreeing on it: by a hash that all compute alike.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Returns the place of something in the order of a draw.
pub fn draw(of: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    of.hash(&mut hasher);
    hasher.finish()
}
