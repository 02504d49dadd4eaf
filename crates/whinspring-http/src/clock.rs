//! Monotonic and wall clock of the process.
//!
//! Leases are measured with the boot-time clock. Unlike `CLOCK_MONOTONIC`, it includes the time
//! during which the VM was suspended, so a node that resumes sees that its lease has expired.

use {
    rustix::time::{ClockId, clock_gettime},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
    tokio::time::Instant,
    whinspring::time::{Tick, Wall},
};

/// Reads monotonic and wall-clock time.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    source: Source,
}

/// Source of the monotonic time.
#[derive(Debug, Clone, Copy)]
enum Source {
    /// Boot-time clock, with its value at the start of the clock.
    Boot(Duration),
    /// Clock of the Tokio runtime, which tests can pause and advance.
    Runtime(Instant),
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self { source: Source::Boot(boot_time()) }
    }

    /// Starts a clock that follows the Tokio runtime, for tests.
    pub fn from_runtime() -> Self {
        Self { source: Source::Runtime(Instant::now()) }
    }

    /// Returns the time since the start of the clock.
    pub fn now(&self) -> Tick {
        let elapsed = match self.source {
            Source::Boot(start) => boot_time().saturating_sub(start),
            Source::Runtime(start) => start.elapsed(),
        };
        Tick(elapsed.as_micros() as u64)
    }

    /// Returns the wall-clock time.
    pub fn wall(&self) -> Wall {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Wall(elapsed.as_millis() as u64)
    }
}

/// Returns the time since the VM booted, including suspended time.
fn boot_time() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec.unsigned_abs(), now.tv_nsec.unsigned_abs() as u32)
}
