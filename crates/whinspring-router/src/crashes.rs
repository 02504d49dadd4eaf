//! Requests that crash the servers that run them.
//!
//! Load pattern: one request comes again and again, and each server that begins to run it dies.
//! A request is known by its fingerprint; after a few deaths it is refused.

use {
    std::{collections::HashMap, time::Duration},
    whinspring::time::Tick,
};

/// Deaths after which a request is refused.
const MAX_CRASHES: u32 = 2;

/// Time for which deaths are remembered.
const RETENTION: Duration = Duration::from_secs(60);

/// Fingerprints remembered at most.
const MAX_FINGERPRINTS: usize = 1_024;

/// Deaths by fingerprint.
#[derive(Debug, Default)]
pub struct Crashes {
    /// Number of deaths and time of the last one.
    fingerprints: HashMap<u64, (u32, Tick)>,
}

impl Crashes {
    /// Notes that a server died while it ran a request.
    pub fn record(&mut self, now: Tick, fingerprint: u64) {
        if self.fingerprints.len() >= MAX_FINGERPRINTS {
            self.fingerprints.retain(|_, (_, at)| now.since(*at) < RETENTION);
        }
        if self.fingerprints.len() < MAX_FINGERPRINTS {
            let entry = self.fingerprints.entry(fingerprint).or_insert((0, now));
            *entry = (entry.0 + 1, now);
        }
    }

    /// Returns whether a request is to be refused.
    pub fn is_refused(&self, now: Tick, fingerprint: u64) -> bool {
        let crashes = self.fingerprints.get(&fingerprint);
        crashes.is_some_and(|(count, at)| *count >= MAX_CRASHES && now.since(*at) < RETENTION)
    }
}
