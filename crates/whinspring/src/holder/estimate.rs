//! Estimates of service times, from the latencies that the holder measures.

use {
    crate::time::Tick,
    std::{collections::HashMap, time::Duration},
};

/// Mean service time assumed before the first sample.
const INITIAL_MEAN: Duration = Duration::from_millis(5);
/// Lower bound of the weight of a new sample in the moving average.
const GAIN: f64 = 0.125;
/// A sample counts for at most this multiple of the mean, plus the margin.
const MAX_SAMPLE_RATIO: f64 = 4.0;
/// Lets a very short mean grow.
const MAX_SAMPLE_MARGIN_US: f64 = 10_000.0;
/// A request is long from this multiple of the mean service time on.
const LONG_FACTOR: u32 = 8;
/// Lower bound of the service time of a long request.
const MIN_LONG: Duration = Duration::from_millis(200);
/// Time for which a completed short request means that more are expected.
const SHORT_TTL: Duration = Duration::from_secs(5);
/// Number of fingerprints of long requests that are remembered.
const MAX_LONG: usize = 1_024;

#[derive(Debug)]
pub struct Estimate {
    mean_us: f64,
    samples: u32,
    long: HashMap<u64, Duration>,
    /// When a request that is not long last completed.
    last_short: Option<Tick>,
}

impl Default for Estimate {
    fn default() -> Self {
        Self {
            mean_us: INITIAL_MEAN.as_micros() as f64,
            samples: 0,
            long: HashMap::new(),
            last_short: None,
        }
    }
}

impl Estimate {
    /// Adds a sample.
    pub fn record(&mut self, now: Tick, fingerprint: u64, took: Duration) {
        if took < self.long_age() {
            self.last_short = Some(now);
        }
        self.update_long(fingerprint, took);
        let sample =
            (took.as_micros() as f64).min(self.mean_us * MAX_SAMPLE_RATIO + MAX_SAMPLE_MARGIN_US);
        self.samples = self.samples.saturating_add(1);
        let gain = GAIN.max(1.0 / f64::from(self.samples));
        self.mean_us += (sample - self.mean_us) * gain;
    }

    /// Adds a sample for a request that was aborted at `age`.
    pub fn record_aborted(&mut self, now: Tick, fingerprint: u64, age: Duration) {
        if age > self.mean() {
            self.record(now, fingerprint, age * 3 / 2);
        }
    }

    /// Returns the mean service time; the weight of single long requests is limited.
    pub fn mean(&self) -> Duration {
        Duration::from_micros(self.mean_us as u64)
    }

    pub fn expected_time(&self, fingerprint: u64) -> Duration {
        self.long.get(&fingerprint).copied().unwrap_or_else(|| self.mean())
    }

    pub fn is_long(&self, fingerprint: u64) -> bool {
        self.long.get(&fingerprint).is_some_and(|took| *took >= self.long_age())
    }

    /// Returns whether a short request completed within `SHORT_TTL`.
    pub fn has_short(&self, now: Tick) -> bool {
        self.last_short.is_some_and(|at| now.since(at) < SHORT_TTL)
    }

    /// Returns the age from which a running request counts as long.
    pub fn long_age(&self) -> Duration {
        (self.mean() * LONG_FACTOR).max(MIN_LONG)
    }

    /// Returns how long a request that started at `start` is expected to continue.
    ///
    /// A request older than its estimate is expected to continue for half its age.
    pub fn remaining(&self, fingerprint: u64, start: Tick, now: Tick) -> Duration {
        let age = now.since(start);
        let expected = self.expected_time(fingerprint);
        if age < expected { expected - age } else { age / 2 }
    }

    fn update_long(&mut self, fingerprint: u64, took: Duration) {
        if took < self.long_age() {
            self.long.remove(&fingerprint);
            return;
        }
        if self.long.len() >= MAX_LONG && !self.long.contains_key(&fingerprint) {
            self.long.clear();
        }
        self.long.insert(fingerprint, took);
    }
}
