//! Monotonic and wall-clock time.
//!
//! A [`Tick`] comes from the monotonic clock of one process and is never compared with a tick of
//! another process. A [`Wall`] is wall-clock time and is accurate only to [`MAX_CLOCK_SKEW_MS`].

use std::{
    ops::{Add, Sub},
    time::Duration,
};

/// Assumed maximum difference between the wall clocks of two VMs.
pub const MAX_CLOCK_SKEW_MS: u64 = 2_000;

/// A monotonic point in time, in microseconds since the start of the process.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tick(pub u64);

impl Tick {
    /// Returns the point in time `ms` milliseconds after the start of the process.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// Returns the milliseconds since the start of the process.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time elapsed since `earlier`; zero if `earlier` is later.
    pub fn since(self, earlier: Tick) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Tick {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration.as_micros() as u64))
    }
}

impl Sub<Duration> for Tick {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration.as_micros() as u64))
    }
}

/// A wall-clock time, in milliseconds since the Unix epoch.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Wall(pub u64);
