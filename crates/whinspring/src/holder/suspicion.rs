//! Detection of requests that crash the server.
//!
//! A crash of the server makes every request in flight a suspect. A suspect runs alone: if it
//! completes it is cleared, and if the server crashes again it is refused from then on. A request
//! that failed in flight stays unresolved, and runs alone, until the server is seen to be alive or
//! to have crashed.

use {
    crate::{model::Suspect, time::Wall},
    std::collections::BTreeMap,
};

/// Number of crashes from which a request is refused.
const REJECT_CRASHES: u32 = 2;
const CRASH_TTL_MS: u64 = 3_600_000;
/// Age from which an answer to a probe resolves a failure, in milliseconds.
const MIN_FAILURE_AGE_MS: u64 = 100;
const FAILURE_TTL_MS: u64 = 60_000;
const MAX_SUSPECTS: usize = 4_096;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Treatment {
    /// Runs concurrently with others.
    Normal,
    /// Runs alone.
    Isolate,
    /// Is refused.
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

/// Suspects and unresolved failures of one server.
#[derive(Debug, Default)]
pub struct Suspicion {
    suspects: BTreeMap<u64, Suspect>,
    failures: Vec<Failure>,
}

impl Suspicion {
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

    /// Returns whether there are failures of which it is unknown whether the server crashed.
    pub fn has_unresolved(&self) -> bool {
        !self.failures.is_empty()
    }

    /// Returns whether the server has answered since the last failure.
    pub fn server_answered(&self) -> bool {
        self.failures.iter().all(|failure| failure.answered)
    }

    /// Merges the suspects of the records.
    pub fn update(&mut self, suspects: Vec<Suspect>) {
        for known in suspects {
            let stored = self.suspects.entry(known.print).or_insert_with(|| known.clone());
            let proved = known.deaths == 0 && known.last_ms >= stored.last_ms;
            if known.cleared || proved || known.deaths > stored.deaths {
                *stored = known;
            }
        }
    }

    /// Merges the number of crashes that an entry has seen with the request.
    pub fn merge_reported(&mut self, wall: Wall, print: u64, deaths: u32) {
        if deaths > self.crash_count(wall, print) {
            self.insert(Suspect { print, deaths, last_ms: wall.0, cleared: false });
        }
    }

    /// Records that a request failed in flight.
    pub fn record_failure(&mut self, wall: Wall, fingerprint: u64, alone: bool) {
        self.failures.push(Failure { fingerprint, alone, at: wall, answered: false });
    }

    /// Resolves old failures: the server answered and has not restarted.
    pub fn confirm_alive(&mut self, wall: Wall) {
        self.failures.retain(|failure| wall.0 < failure.at.0 + MIN_FAILURE_AGE_MS);
        for failure in &mut self.failures {
            failure.answered = true;
        }
    }

    /// Drops failures that no later event can resolve.
    pub fn expire(&mut self, wall: Wall) {
        self.failures.retain(|failure| wall.0 < failure.at.0 + FAILURE_TTL_MS);
    }

    /// Drops all failures: the end of the server was planned.
    pub fn clear_failures(&mut self) {
        self.failures.clear();
    }

    /// Records a crash of the server; returns the suspects to store.
    pub fn record_crash(&mut self, wall: Wall) -> Vec<Suspect> {
        let failures = std::mem::take(&mut self.failures);
        failures.into_iter().map(|failure| self.count_crash(wall, failure)).collect()
    }

    /// Clears a request that completed; returns the cleared suspect to store, if it was one.
    pub fn clear_completed(&mut self, fingerprint: u64) -> Option<Suspect> {
        self.failures.retain(|failure| failure.fingerprint != fingerprint);
        let mut suspect = self.suspects.remove(&fingerprint).filter(|known| known.deaths > 0)?;
        suspect.deaths = 0;
        Some(suspect)
    }

    /// Counts a crash: one more if the request ran alone, otherwise a first one.
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
