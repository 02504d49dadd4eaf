//! The clocks of the process.
//!
//! Leases are judged by the boot-time clock: unlike the monotonic clock it also counts the time
//! that the VM was suspended, so a node that wakes sees that its lease has lapsed.

use {
    rustix::time::{ClockId, clock_gettime},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
    tokio::time::Instant,
    whinspring::time::{Tick, Wall},
};

/// Reads boot time and calendar time.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// What is read.
    source: Source,
}

/// What a clock reads.
#[derive(Debug, Clone, Copy)]
enum Source {
    /// Boot time, with that at the start of the process.
    Boot(Duration),
    /// Time of the runtime, which tests move by hand.
    Runtime(Instant),
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self { source: Source::Boot(boot_time()) }
    }

    /// Starts a clock that follows the time of the runtime, for tests.
    pub fn from_runtime() -> Self {
        Self { source: Source::Runtime(Instant::now()) }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Tick {
        let elapsed = match self.source {
            Source::Boot(start) => boot_time().saturating_sub(start),
            Source::Runtime(start) => start.elapsed(),
        };
        Tick(elapsed.as_micros() as u64)
    }

    /// Returns the calendar time.
    pub fn wall(&self) -> Wall {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Wall(elapsed.as_millis() as u64)
    }
}

/// Returns the time since the VM booted, including time suspended.
fn boot_time() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec.unsigned_abs(), now.tv_nsec.unsigned_abs() as u32)
}
