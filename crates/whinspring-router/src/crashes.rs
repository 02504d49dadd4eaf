//! Requests that crash the servers that run them.
//!
//! A caller that keeps repeating such a request would take down one server after the other. A
//! request is recognised by its fingerprint and rejected after a few crashes. The node that sees a
//! crash reports it to the others; nodes that start later are told by [`catch_up`](crate::catch_up).

use {
    std::{cmp::Reverse, collections::HashMap, time::Duration},
    whinspring::time::Tick,
};

/// Crashes from which on a request is rejected.
const MAX_CRASHES: u32 = 2;

/// Time after the last crash for which a request is rejected.
const RETENTION: Duration = Duration::from_secs(60);

const MAX_FINGERPRINTS: usize = 1_024;

/// Requests that a node that has come up is told of, so that the message stays small.
const MAX_TOLD: usize = 128;

/// What is known of a request that crashed servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Crash {
    /// Fingerprint of the request.
    pub print: u64,
    /// Number of crashes.
    pub count: u32,
    /// Until when the request is rejected, if it has crashed enough servers. A node that has just started
    /// cannot express the time of a crash before that.
    pub until: Tick,
}

/// Crashes by fingerprint.
#[derive(Debug, Default)]
pub struct Crashes {
    known: HashMap<u64, Crash>,
}

impl Crashes {
    /// Records that a server crashed while it ran a request.
    pub fn record(&mut self, now: Tick, print: u64) {
        if let Some(crash) = self.entry(now, print) {
            *crash = Crash { print, count: crash.count + 1, until: now + RETENTION };
        }
    }

    /// Adds what another node knows of a request. It may know of the same crashes as this one.
    pub fn merge(&mut self, now: Tick, told: Crash) {
        if let Some(crash) = self.entry(now, told.print) {
            crash.count = crash.count.max(told.count);
            crash.until = crash.until.max(told.until).min(now + RETENTION);
        }
    }

    /// Returns the requests with the last crashes, without those that are no longer rejected.
    pub fn recent(&self, now: Tick) -> Vec<Crash> {
        let recent = self.known.values().filter(|crash| crash.is_recent(now));
        let mut recent: Vec<Crash> = recent.copied().collect();
        recent.sort_unstable_by_key(|crash| Reverse(crash.until));
        recent.truncate(MAX_TOLD);
        recent
    }

    /// Returns whether no crash is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns whether a request is to be rejected.
    pub fn is_refused(&self, now: Tick, print: u64) -> bool {
        let crash = self.known.get(&print);
        crash.is_some_and(|crash| crash.count >= MAX_CRASHES && crash.is_recent(now))
    }

    /// Returns what is known of a request, without crashes if it is new; `None` if there are too many.
    fn entry(&mut self, now: Tick, print: u64) -> Option<&mut Crash> {
        if self.known.len() >= MAX_FINGERPRINTS {
            self.known.retain(|_, crash| crash.is_recent(now));
        }
        let is_full = self.known.len() >= MAX_FINGERPRINTS;
        if is_full && !self.known.contains_key(&print) {
            return None;
        }
        Some(self.known.entry(print).or_insert(Crash { print, count: 0, until: now }))
    }
}

impl Crash {
    fn is_recent(&self, now: Tick) -> bool {
        now < self.until
    }
}
