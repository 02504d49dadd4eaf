//! Names and small identifiers.
//!
//! Names are immutable, cheap to clone and shared between tables. Numeric identifiers are newtypes,
//! so that a slice cannot be passed where a server is expected.

use std::fmt::{self, Display, Formatter};

/// An immutable name that is cheap to clone.
pub type Name = ecow::EcoString;

/// Number of a backend server within its service.
///
/// A number is never reused within a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

impl Display for ServerId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "s{}", self.0)
    }
}

/// A hash partition of the keys of a service: the unit of assignment to servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Slice(pub u32);

/// Returns the slice of `key` in a service with `slices` slices.
///
/// # Panics
///
/// Panics if `slices` is zero.
pub fn slice_of(key: &str, slices: u32) -> Slice {
    let hash = twox_hash::XxHash3_64::oneshot(key.as_bytes());
    Slice((hash % u64::from(slices)) as u32)
}
