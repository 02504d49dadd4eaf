//! Requests that crash the servers that run them.
//!
//! A caller that keeps repeating such a request would take down one server after the other. A
//! request is recognised by its fingerprint and rejected after a few crashes.

use {
    std::{collections::HashMap, time::Duration},
    whinspring::time::Tick,
};

/// Crashes from which on a request is rejected.
const MAX_CRASHES: u32 = 2;

/// Time after the last crash for which a request is rejected.
const RETENTION: Duration = Duration::from_secs(60);

const MAX_FINGERPRINTS: usize = 1_024;

/// Crashes by fingerprint.
#[derive(Debug, Default)]
pub struct Crashes {
    /// Number of crashes and time of the last one.
    fingerprints: HashMap<u64, (u32, Tick)>,
}

impl Crashes {
    /// Records that a server crashed while it ran a request.
    pub fn record(&mut self, now: Tick, fingerprint: u64) {
        if self.fingerprints.len() >= MAX_FINGERPRINTS {
            self.fingerprints.retain(|_, (_, at)| now.since(*at) < RETENTION);
        }
        if self.fingerprints.len() < MAX_FINGERPRINTS {
            let entry = self.fingerprints.entry(fingerprint).or_insert((0, now));
            *entry = (entry.0 + 1, now);
        }
    }

    /// Returns whether no crash is known.
    pub fn is_empty(&self) -> bool {
        self.fingerprints.is_empty()
    }

    /// Returns whether a request is to be rejected.
    pub fn is_refused(&self, now: Tick, fingerprint: u64) -> bool {
        let crashes = self.fingerprints.get(&fingerprint);
        crashes.is_some_and(|(count, at)| *count >= MAX_CRASHES && now.since(*at) < RETENTION)
    }
}
