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
const CONVICTED: u32 = 2;
/// Time for which a death counts, in milliseconds.
const DEATH_TTL_MS: u64 = 3_600_000;
/// Time after which the server's answer to a probe clears a doubt, in milliseconds.
const DOUBT_LEAST_MS: u64 = 100;
/// Time for which a doubt is kept, in milliseconds.
const DOUBT_TTL_MS: u64 = 60_000;
/// Fingerprints remembered at most.
const MAX_SUSPECTS: usize = 4_096;

/// How a request has to be treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trust {
    /// It runs beside others.
    Trusted,
    /// It runs alone.
    Suspected,
    /// It is refused.
    Convicted,
}

/// A request that was in flight when its connection failed.
#[derive(Debug, Clone, Copy)]
struct Doubt {
    print: u64,
    alone: bool,
    at: Wall,
    /// Whether the server has answered since.
    answered: bool,
}

/// Suspects and doubts of one server.
#[derive(Debug, Default)]
pub struct Suspicion {
    suspects: BTreeMap<u64, Suspect>,
    doubts: Vec<Doubt>,
}

impl Suspicion {
    /// Returns how a request has to be treated.
    pub fn trust(&self, wall: Wall, print: u64) -> Trust {
        let deaths = self.deaths(wall, print);
        let doubted = self.doubts.iter().any(|doubt| doubt.print == print);
        match deaths {
            CONVICTED.. => Trust::Convicted,
            1 => Trust::Suspected,
            _ if doubted => Trust::Suspected,
            _ => Trust::Trusted,
        }
    }

    /// Returns whether it is open if the server died.
    pub fn in_doubt(&self) -> bool {
        !self.doubts.is_empty()
    }

    /// Returns whether the server has answered since the last doubt.
    pub fn is_settled(&self) -> bool {
        self.doubts.iter().all(|doubt| doubt.answered)
    }

    /// Takes in what the records say.
    pub fn update(&mut self, suspects: Vec<Suspect>) {
        for known in suspects {
            let mine = self.suspects.entry(known.print).or_insert_with(|| known.clone());
            let proved = known.deaths == 0 && known.last_ms >= mine.last_ms;
            if known.cleared || proved || known.deaths > mine.deaths {
                *mine = known;
            }
        }
    }

    /// Takes in how many servers an entry has seen die of the request.
    pub fn heard(&mut self, wall: Wall, print: u64, deaths: u32) {
        if deaths > self.deaths(wall, print) {
            self.put(Suspect { print, deaths, last_ms: wall.0, cleared: false });
        }
    }

    /// Notes that a request failed in flight.
    pub fn doubt(&mut self, wall: Wall, print: u64, alone: bool) {
        self.doubts.push(Doubt { print, alone, at: wall, answered: false });
    }

    /// Clears old doubts: the server answered and is the one it was.
    pub fn alive(&mut self, wall: Wall) {
        self.doubts.retain(|doubt| wall.0 < doubt.at.0 + DOUBT_LEAST_MS);
        for doubt in &mut self.doubts {
            doubt.answered = true;
        }
    }

    /// Drops doubts that no later event can settle.
    pub fn expire(&mut self, wall: Wall) {
        self.doubts.retain(|doubt| wall.0 < doubt.at.0 + DOUBT_TTL_MS);
    }

    /// Drops all doubts: the server's end was planned.
    pub fn forgive(&mut self) {
        self.doubts.clear();
    }

    /// The server died: returns the suspicions to store.
    pub fn died(&mut self, wall: Wall) -> Vec<Suspect> {
        let doubts = std::mem::take(&mut self.doubts);
        doubts.into_iter().map(|doubt| self.blame(wall, doubt)).collect()
    }

    /// The request completed: returns its cleared suspicion, if it had one.
    pub fn completed(&mut self, print: u64) -> Option<Suspect> {
        self.doubts.retain(|doubt| doubt.print != print);
        let mut suspect = self.suspects.remove(&print).filter(|known| known.deaths > 0)?;
        suspect.deaths = 0;
        Some(suspect)
    }

    /// Counts a death: a further one if the request ran alone, otherwise a first one.
    fn blame(&mut self, wall: Wall, doubt: Doubt) -> Suspect {
        let deaths = self.deaths(wall, doubt.print);
        let deaths = if doubt.alone { deaths + 1 } else { deaths.max(1) };
        let suspect = Suspect { print: doubt.print, deaths, last_ms: wall.0, cleared: false };
        self.put(suspect.clone());
        suspect
    }

    fn deaths(&self, wall: Wall, print: u64) -> u32 {
        let Some(known) = self.suspects.get(&print) else { return 0 };
        let old = wall.0 >= known.last_ms + DEATH_TTL_MS;
        if known.cleared || old { 0 } else { known.deaths }
    }

    fn put(&mut self, suspect: Suspect) {
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&suspect.print) {
            let oldest = self.suspects.values().min_by_key(|known| known.last_ms);
            if let Some(print) = oldest.map(|known| known.print) {
                self.suspects.remove(&print);
            }
        }
        self.suspects.insert(suspect.print, suspect);
    }
}
