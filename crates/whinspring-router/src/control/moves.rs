//! Hand-overs in progress.

use {std::collections::HashSet, whinspring::time::Tick};

/// What a hand-over is known by.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Key {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// Fence number of the new owner.
    pub fence: u64,
}

/// Progress of a service's changes of ownership.
#[derive(Debug, Default)]
pub struct Progress {
    /// When the balance was last looked at.
    pub planned: Tick,
    /// When a line on the balance was last logged.
    pub logged: Tick,
    /// Hand-overs that an earlier controller began and may have ended.
    pub inherited: HashSet<Key>,
    /// Hand-overs under way.
    pub running: HashSet<Key>,
    /// Hand-overs that have ended and are not yet written.
    pub finished: HashSet<Key>,
    /// When the oldest of them was granted.
    pub oldest: Option<Tick>,
    /// Whether a write is on its way.
    pub writing: bool,
}

impl Progress {
    /// Returns whether a hand-over has begun and its end is not written yet.
    pub fn has_unfinished(&self) -> bool {
        self.writing || !self.running.is_empty() || !self.finished.is_empty()
    }
}
