//! Rate at which requests arrive at a gate.
//!
//! Load pattern: one key gets ten times as many requests as its server can run, for seconds. A request
//! that cannot be on time is run after those that can, so that it runs only if fewer of these arrive
//! than the servers can run. [`Arrivals`] tells whether they do.

use {crate::time::Tick, std::time::Duration};

/// Time over which arrivals are averaged: callers bear the backlog of a burst that is shorter.
const MEAN_TIME: Duration = Duration::from_secs(2);

/// Moving average of the arrivals of a gate.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    /// Requests a second, as known at `at`.
    rate: f64,
    at: Tick,
    /// Requests that have arrived since then.
    fresh: u32,
}

impl Arrivals {
    /// Counts a request.
    pub(super) fn count(&mut self) {
        self.fresh += 1;
    }

    /// Includes the requests that have been counted.
    pub(super) fn update(&mut self, now: Tick) {
        let faded = (-now.since(self.at).div_duration_f64(MEAN_TIME)).exp();
        let added = f64::from(std::mem::take(&mut self.fresh)) / MEAN_TIME.as_secs_f64();
        self.rate = self.rate * faded + added;
        self.at = now;
    }

    /// Returns the share of the capacity that arrivals leave, if one request after the other takes
    /// `each`.
    pub(super) fn spare(&self, each: Duration) -> f64 {
        (1.0 - self.rate * each.as_secs_f64()).max(0.0)
    }
}
