//! Requests suspected to crash the server.
//!
//! A server that dies makes every request in flight a suspect. A suspect runs alone; one that
//! completes is cleared, one that dies alone is convicted. A request that failed in flight stays
//! in doubt, and runs alone, until the server is seen to live on or to have died.

use {
    crate::{model::Suspect, time::Wall},
    std::collections::BTreeMap,
};

/// Deaths from which a request is refused.
const REJECT_CRASHES: u32 = 2;
/// Time for which a death counts, in milliseconds.
const CRASH_TTL_MS: u64 = 3_600_000;
/// Time after which the server's answer to a probe clears a doubt, in milliseconds.
const MIN_FAILURE_AGE_MS: u64 = 100;
/// Time for which a doubt is kept, in milliseconds.
const FAILURE_TTL_MS: u64 = 60_000;
/// Fingerprints remembered at most.
const MAX_SUSPECTS: usize = 4_096;

/// How a request has to be treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Treatment {
    /// It runs beside others.
    Normal,
    /// It runs alone.
    Isolate,
    /// It is refused.
    Reject,
}

/// A request that was in flight when its connection failed.
#[derive(Debug, Clone, Copy)]
struct Failure {
    fingerprint: u64,
    alone: bool,
    at: Wall,
    /// Whether the server has answered since.
    answered: bool,
}

/// Suspects and doubts of one server.
#[derive(Debug, Default)]
pub struct Suspicion {
    suspects: BTreeMap<u64, Suspect>,
    failures: Vec<Failure>,
}

impl Suspicion {
    /// Returns how a request has to be treated.
    pub fn treatment(&self, wall: Wall, fingerprint: u64) -> Treatment {
        let deaths = self.crash_count(wall, fingerprint);
        let unresolved = self.failures.iter().any(|failure| failure.fingerprint == fingerprint);
        match deaths {
            REJECT_CRASHES.. => Treatment::Reject,
            1 => Treatment::Isolate,
            _ if unresolved => Treatment::Isolate,
            _ => Treatment::Normal,
        }
    }

    /// Returns whether it is open if the server died.
    pub fn has_unresolved(&self) -> bool {
        !self.failures.is_empty()
    }

    /// Returns whether the server has answered since the last doubt.
    pub fn server_answered(&self) -> bool {
        self.failures.iter().all(|failure| failure.answered)
    }

    /// Takes in what the records say.
    pub fn update(&mut self, suspects: Vec<Suspect>) {
        for known in suspects {
            let stored = self.suspects.entry(known.print).or_insert_with(|| known.clone());
            let proved = known.deaths == 0 && known.last_ms >= stored.last_ms;
            if known.cleared || proved || known.deaths > stored.deaths {
                *stored = known;
            }
        }
    }

    /// Takes in how many servers an entry has seen die of the request.
    pub fn merge_reported(&mut self, wall: Wall, print: u64, deaths: u32) {
        if deaths > self.crash_count(wall, print) {
            self.insert(Suspect { print, deaths, last_ms: wall.0, cleared: false });
        }
    }

    /// Notes that a request failed in flight.
    pub fn record_failure(&mut self, wall: Wall, fingerprint: u64, alone: bool) {
        self.failures.push(Failure { fingerprint, alone, at: wall, answered: false });
    }

    /// Clears old doubts: the server answered and is the one it was.
    pub fn confirm_alive(&mut self, wall: Wall) {
        self.failures.retain(|failure| wall.0 < failure.at.0 + MIN_FAILURE_AGE_MS);
        for failure in &mut self.failures {
            failure.answered = true;
        }
    }

    /// Drops doubts that no later event can settle.
    pub fn expire(&mut self, wall: Wall) {
        self.failures.retain(|failure| wall.0 < failure.at.0 + FAILURE_TTL_MS);
    }

    /// Drops all doubts: the server's end was planned.
    pub fn clear_failures(&mut self) {
        self.failures.clear();
    }

    /// The server died: returns the suspicions to store.
    pub fn record_crash(&mut self, wall: Wall) -> Vec<Suspect> {
        let failures = std::mem::take(&mut self.failures);
        failures.into_iter().map(|failure| self.count_crash(wall, failure)).collect()
    }

    /// The request completed: returns its cleared suspicion, if it had one.
    pub fn clear_completed(&mut self, fingerprint: u64) -> Option<Suspect> {
        self.failures.retain(|failure| failure.fingerprint != fingerprint);
        let mut suspect = self.suspects.remove(&fingerprint).filter(|known| known.deaths > 0)?;
        suspect.deaths = 0;
        Some(suspect)
    }

    /// Counts a death: a further one if the request ran alone, otherwise a first one.
    fn count_crash(&mut self, wall: Wall, failure: Failure) -> Suspect {
        let deaths = self.crash_count(wall, failure.fingerprint);
        let deaths = if failure.alone { deaths + 1 } else { deaths.max(1) };
        let suspect =
            Suspect { print: failure.fingerprint, deaths, last_ms: wall.0, cleared: false };
        self.insert(suspect.clone());
        suspect
    }

    fn crash_count(&self, wall: Wall, fingerprint: u64) -> u32 {
        let Some(known) = self.suspects.get(&fingerprint) else { return 0 };
        let old = wall.0 >= known.last_ms + CRASH_TTL_MS;
        if known.cleared || old { 0 } else { known.deaths }
    }

    fn insert(&mut self, suspect: Suspect) {
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&suspect.print) {
            let oldest = self.suspects.values().min_by_key(|known| known.last_ms);
            if let Some(fingerprint) = oldest.map(|known| known.print) {
                self.suspects.remove(&fingerprint);
            }
        }
        self.suspects.insert(suspect.print, suspect);
    }
}
