//! Compares the outcomes seen by callers with the run logs of the servers.

use {
    crate::driver::{History, Outcome},
    std::{
        collections::BTreeMap,
        fmt::{self, Display, Formatter},
        time::Duration,
    },
    whinspring_standin::runs::{Event, Line},
};

/// Counts of requests by outcome, and of violated guarantees.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Verdict {
    pub requests: u64,
    /// Attempts, including retries.
    pub attempts: u64,
    /// Requests with a complete, verified response.
    pub done: u64,
    /// Requests whose last attempt was refused.
    pub not_run: u64,
    /// Requests whose last attempt ended as unknown: they may have run.
    pub unknown: u64,
    /// Requests whose last attempt lost its connection.
    pub lost: u64,
    /// Attempts without a complete response by the deadline.
    pub silent: u64,
    /// Requests whose last response did not belong to them.
    pub wrong: u64,
    /// Non-idempotent requests that were started more than once.
    pub doubled: u64,
    /// Requests refused on every attempt that were started nevertheless.
    pub false_not_run: u64,
    /// Requests with a verified response that appear in no run log.
    pub unlogged: u64,
    /// Longest time from the first attempt to the end of the last.
    pub slowest: Duration,
}

impl Verdict {
    /// Checks request histories against the run logs of all servers.
    pub fn new<'a>(
        histories: impl IntoIterator<Item = &'a History>,
        runs: impl IntoIterator<Item = &'a Line>,
    ) -> Self {
        let mut starts: BTreeMap<&str, u64> = BTreeMap::new();
        for line in runs {
            if line.event == Event::Start {
                *starts.entry(&line.id).or_default() += 1;
            }
        }
        let mut verdict = Self::default();
        for history in histories {
            let started = starts.get(history.request.id.as_str()).copied().unwrap_or_default();
            verdict.add(history, started);
        }
        verdict
    }

    /// Counts a history whose request was started `started` times.
    fn add(&mut self, history: &History, started: u64) {
        let outcomes: Vec<_> = history.attempts.iter().map(|attempt| attempt.outcome()).collect();
        let only_refused = outcomes.iter().all(|outcome| *outcome == Outcome::NotRun);
        let outcome = history.outcome();
        self.requests += 1;
        self.attempts += outcomes.len() as u64;
        self.silent +=
            outcomes.iter().filter(|outcome| **outcome == Outcome::Silent).count() as u64;
        self.doubled += u64::from(!history.request.is_repeatable() && started > 1);
        self.false_not_run += u64::from(only_refused && started > 0);
        self.unlogged += u64::from(outcome == Outcome::Done && started == 0);
        self.slowest = self.slowest.max(history.elapsed);
        match outcome {
            Outcome::Done => self.done += 1,
            Outcome::NotRun => self.not_run += 1,
            Outcome::Unknown => self.unknown += 1,
            Outcome::Lost => self.lost += 1,
            Outcome::Wrong => self.wrong += 1,
            Outcome::Silent => {}
        }
    }

    /// Returns whether no guarantee was violated and no request was refused or lost in the end.
    pub fn is_correct(&self) -> bool {
        let broken = self.silent + self.wrong + self.doubled + self.false_not_run + self.unlogged;
        broken + self.lost + self.not_run == 0
    }
}

impl Display for Verdict {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "requests={} sendings={} done={} not_run={} unknown={} lost={} silent={} wrong={} \
             doubled={} false_not_run={} unlogged={} slowest_ms={}",
            self.requests,
            self.attempts,
            self.done,
            self.not_run,
            self.unknown,
            self.lost,
            self.silent,
            self.wrong,
            self.doubled,
            self.false_not_run,
            self.unlogged,
            self.slowest.as_millis()
        )
    }
}
