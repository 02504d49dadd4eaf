//! Hand-overs in progress.

use {std::collections::HashSet, whinspring::time::Tick};

/// Progress of a service's changes of ownership.
#[derive(Debug, Default)]
pub struct Progress {
    /// When the balance was last looked at.
    pub planned: Tick,
    /// Fences of spans whose former owner is being released.
    pub busy: HashSet<u64>,
    /// Fences of spans whose new owner has its grant, not yet written.
    pub settled: HashSet<u64>,
    /// When the oldest of them was granted.
    pub oldest: Option<Tick>,
    /// Whether a write is on its way.
    pub writing: bool,
    /// Term for which all fences were raised.
    pub term: u64,
}
