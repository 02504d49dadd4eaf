//! State of handovers in progress.

use {
    std::collections::{HashMap, HashSet},
    whinspring::{name::Name, ranges::HandoverKey, time::Tick},
};

/// How a handover has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The new owner holds the keys.
    Granted,
    /// The new owner is gone or rejects the grant; another handover will follow.
    Rejected,
    /// The owners have changed meanwhile.
    Obsolete,
}

/// State of the handovers of one service.
#[derive(Debug, Default)]
pub struct Progress {
    /// When the balancer last ran.
    pub planned: Tick,
    /// When spans of an earlier era were last settled.
    pub settled: Tick,
    /// When the balance was last logged.
    pub logged: Tick,
    /// Handovers that an earlier controller began and may have finished.
    pub inherited: HashSet<HandoverKey>,
    pub running: HashSet<HandoverKey>,
    /// Handovers whose former owner has released the keys, with its state token. They outlast a
    /// time in which this node may not command.
    pub released: HashMap<HandoverKey, Option<Name>>,
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
    /// Records how a running handover has ended.
    pub fn record_end(&mut self, now: Tick, key: HandoverKey, outcome: Outcome) {
        self.running.remove(&key);
        if outcome == Outcome::Obsolete {
            return;
        }
        self.released.remove(&key);
        self.finished.insert(key);
        self.oldest.get_or_insert(now);
        if outcome == Outcome::Granted {
            self.unannounced.push(key);
        }
    }

    /// Returns whether a handover is running or not committed yet, or a write is in progress.
    pub fn has_unfinished(&self) -> bool {
        self.writing || !self.running.is_empty() || !self.finished.is_empty()
    }
}
