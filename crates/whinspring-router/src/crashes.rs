//! Requests that crash the servers that run them.
//!
//! Load pattern: one request comes again and again, and each server that begins to run it dies.
//! A request is known by its fingerprint; after a few deaths it is refused.

use {
    std::{collections::HashMap, time::Duration},
    whinspring::time::Tick,
};

/// Deaths after which a request is refused.
const MOST_DEATHS: u32 = 2;

/// Time for which deaths are remembered.
const MEMORY: Duration = Duration::from_secs(60);

/// Fingerprints remembered at most.
const MOST_PRINTS: usize = 1_024;

/// Deaths by fingerprint.
#[derive(Debug, Default)]
pub struct Crashes {
    /// Number of deaths and time of the last one.
    prints: HashMap<u64, (u32, Tick)>,
}

impl Crashes {
    /// Notes that a server died while it ran a request.
    pub fn note(&mut self, now: Tick, print: u64) {
        if self.prints.len() >= MOST_PRINTS {
            self.prints.retain(|_, (_, at)| now.since(*at) < MEMORY);
        }
        if self.prints.len() < MOST_PRINTS {
            let entry = self.prints.entry(print).or_insert((0, now));
            *entry = (entry.0 + 1, now);
        }
    }

    /// Returns whether a request is to be refused.
    pub fn is_refused(&self, now: Tick, print: u64) -> bool {
        let deaths = self.prints.get(&print);
        deaths.is_some_and(|(count, at)| *count >= MOST_DEATHS && now.since(*at) < MEMORY)
    }
}
