//! Requests that crash the servers that run them.
//!
//! A caller that keeps repeating such a request would take down one server after the other. A
//! request is recognised by its fingerprint and rejected after a few crashes. The node that sees a
//! crash reports it to the others; nodes that start later are told by [`catch_up`](crate::catch_up).
//!
//! A partition of a single server breaks its connections and refuses others, just as a crash does. What
//! a node sees is therefore a suspicion. It counts as a crash at once, as the next server would be lost
//! otherwise, and is withdrawn when the entry of the server shows that it lived on: that of a crashed one
//! expires, or names its next process.

use {
    crate::{
        message::{Body, CrashReport},
        node::Node,
        platform::Platform,
    },
    log::info,
    std::{cmp::Reverse, collections::HashMap, time::Duration},
    whinspring::{ranges::Instance, time::Tick},
};

/// Crashes from which on a request is rejected.
const MAX_CRASHES: u32 = 2;

/// Time after the last crash for which a request is rejected.
const RETENTION: Duration = Duration::from_secs(60);

/// Time after a crash, and after the last return of the store, by which the entry of the server has
/// expired or names another process.
const ENTRY_EXPIRY: Duration = Duration::from_secs(8);

const MAX_FINGERPRINTS: usize = 1_024;

const MAX_SUSPICIONS: usize = 1_024;

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

/// A crash that may have been the cut of a path.
#[derive(Debug)]
struct Suspicion {
    print: u64,
    server: Instance,
    since: Tick,
}

/// Crashes by fingerprint.
#[derive(Debug, Default)]
pub struct Crashes {
    known: HashMap<u64, Crash>,
    suspicions: Vec<Suspicion>,
}

impl Crashes {
    /// Records that a server crashed while it ran a request.
    pub fn record(&mut self, now: Tick, print: u64) {
        if let Some(crash) = self.entry(now, print) {
            *crash = Crash { print, count: crash.count + 1, until: now + RETENTION };
        }
    }

    /// Records that a server seems to have crashed while it ran a request.
    pub fn suspect(&mut self, now: Tick, print: u64, server: Instance) {
        self.record(now, print);
        if self.suspicions.len() < MAX_SUSPICIONS {
            self.suspicions.push(Suspicion { print, server, since: now });
        }
    }

    /// Withdraws the crashes of servers that live, as `is_listed` tells: the store has served their entries
    /// since `calm`. Returns the fingerprints, one for each crash.
    pub fn withdraw(
        &mut self,
        now: Tick,
        calm: Tick,
        is_listed: impl Fn(&Instance) -> bool,
    ) -> Vec<u64> {
        let is_due = |it: &Suspicion| now.since(it.since.max(calm)) >= ENTRY_EXPIRY;
        let due: Vec<Suspicion> = self.suspicions.extract_if(.., |it| is_due(it)).collect();
        let lived = due.into_iter().filter(|suspicion| is_listed(&suspicion.server));
        let prints: Vec<u64> = lived.map(|suspicion| suspicion.print).collect();
        for print in &prints {
            if let Some(crash) = self.known.get_mut(print) {
                crash.count = crash.count.saturating_sub(1);
            }
        }
        self.known.retain(|_, crash| crash.count > 0);
        prints
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

/// Records a crash that this node has seen, and reports it to the others.
pub fn report<P: Platform>(node: &Node<P>, report: CrashReport) {
    apply_report(node, &report);
    node.send_all(Body::CrashReport(report));
}

/// Records a crash that a node has seen.
pub fn apply_report<P: Platform>(node: &Node<P>, report: &CrashReport) {
    let mut crashes = node.crashes.borrow_mut();
    match report.instance() {
        Some(server) => crashes.suspect(node.now(), report.print, server),
        None => crashes.record(node.now(), report.print),
    }
}

/// Withdraws crashes of servers that have lived on, once the store has been calm for long enough.
pub fn sweep<P: Platform>(node: &Node<P>) {
    if node.store_lost.get() {
        return;
    }
    let withdrawn = {
        let view = node.view.borrow();
        let is_listed = |instance: &Instance| {
            let listed = view.servers.get(&instance.server);
            listed.is_some_and(|it| it.gone_since().is_none() && it.instance() == *instance)
        };
        let calm = node.store_recovered.get();
        node.crashes.borrow_mut().withdraw(node.now(), calm, is_listed)
    };
    for print in withdrawn {
        node.metrics.count("crash_withdrawn");
        info!(event = "crash_withdrawn", print; "a server did not crash while it ran a request, as its entry stands: it was cut off for a moment");
    }
}

impl Crash {
    fn is_recent(&self, now: Tick) -> bool {
        now < self.until
    }
}
