//! Points in time as the decision logic sees them.
//!
//! A [`Tick`] comes from a monotonic clock of one process and is never compared with that of
//! another process. A [`Wall`] is calendar time and is trusted only within [`MAX_CLOCK_SKEW_MS`].

use std::{
    ops::{Add, Sub},
    time::Duration,
};

/// Largest difference assumed between the calendar clocks of two VMs, in milliseconds.
pub const MAX_CLOCK_SKEW_MS: u64 = 2_000;

/// A monotonic point in time of this process, in microseconds since its start.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tick(pub u64);

impl Tick {
    /// Returns a point `ms` milliseconds after the start of the process.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms * 1_000)
    }

    /// Returns the milliseconds since the start of the process.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time passed since `earlier`, zero if `earlier` is later.
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

/// A calendar time, in milliseconds since the Unix epoch.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Wall(pub u64);
