//! State of handovers in progress.

use {
    std::collections::HashSet,
    whinspring::{ranges::HandoverKey, time::Tick},
};

/// State of the handovers of one service.
#[derive(Debug, Default)]
pub struct Progress {
    /// When the balancer last ran.
    pub planned: Tick,
    /// When the balance was last logged.
    pub logged: Tick,
    /// Handovers that an earlier controller began and may have finished.
    pub inherited: HashSet<HandoverKey>,
    pub running: HashSet<HandoverKey>,
    /// Handovers that have finished and are not committed to the store yet.
    pub finished: HashSet<HandoverKey>,
    /// When the oldest of the finished handovers ended.
    pub oldest: Option<Tick>,
    /// Handovers that have finished and that the other nodes have not been told of yet.
    pub unannounced: Vec<HandoverKey>,
    /// Whether a write of the owners is in progress.
    pub writing: bool,
}

impl Progress {
    /// Returns whether a handover is running or not committed yet, or a write is in progress.
    pub fn has_unfinished(&self) -> bool {
        self.writing || !self.running.is_empty() || !self.finished.is_empty()
    }
}
