//! Health of the servers of a gate, from the outcomes of their requests.
//!
//! Load pattern: a few servers of a pool respond with an error within milliseconds, always have a
//! free slot, and would attract most requests; or all servers fail at once, as what they depend on
//! does. A server most of whose last requests ended in an error or a failure is ejected. It gets
//! one request at a time as a probe, at growing intervals, and is readmitted when probes succeed.
//! At most half of a pool is ejected, and none of a pool whose servers nearly all fail: then the
//! cause is elsewhere, and the fewer servers are used, the fewer requests can succeed.
//!
//! A keyed server is the only one of its gate and is never ejected; the planner moves its keys, see
//! [`crate::errors`].

use {
    super::{PendingRequest, ServerOutcome},
    crate::{name::Name, time::Tick},
    std::time::Duration,
};

/// Number of last outcomes of a server that count.
const OUTCOMES: u32 = 8;

/// Errors and failures among the last outcomes from which a server is ill. Requests that cause an
/// error themselves are 0.4 in 100 at most: four of eight are reached once in half a million errors,
/// three of eight once in some thousands.
const ILL_OUTCOMES: u32 = 4;

/// Time without an outcome after which the last ones tell nothing of the server.
const OUTCOME_TTL: Duration = Duration::from_secs(10);

/// Time after its last outcome for which an ill server that is not ejected gets only what no other
/// can run. It then gets the next request, so that a recovery is noticed.
const AVOID_TIME: Duration = Duration::from_secs(1);

/// Time from ejection to the first probe; doubled with each failed probe.
const FIRST_PROBE_INTERVAL: Duration = Duration::from_millis(125);

/// Doublings of the interval of probes, which is at most a second.
const MAX_PROBE_DOUBLINGS: u32 = 3;

/// Successful probes in a row after which a server is readmitted.
const READMIT_PROBES: u32 = 2;

/// Share of the ill servers in use from which a pool counts as failing as a whole, in percent.
const POOL_FAILURE_PERCENT: usize = 75;

/// Interval at which the state of a pool is counted.
const COUNT_INTERVAL: Duration = Duration::from_millis(100);

/// A change of the health of a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HealthChange {
    /// The server gets probes only.
    Ejected(Name),
    /// The server is used again.
    Readmitted(Name),
}

/// Health of one server.
#[derive(Debug, Default)]
pub(super) struct Health {
    /// The last outcomes, one bit each, the latest in the lowest bit; set for an error or a failure.
    outcomes: u8,
    /// When the last one was recorded.
    last: Tick,
    ejection: Option<Ejection>,
}

/// State of a server that is ejected.
#[derive(Debug)]
struct Ejection {
    /// When the next probe may be sent.
    probe_at: Tick,
    /// Probes that failed.
    failed: u32,
    /// Successful probes since the last one that failed.
    succeeded: u32,
}

impl Health {
    pub(super) const fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Returns whether a request may be sent to a server that runs `running` requests: any request
    /// unless it is ejected, and one at a time as a probe otherwise.
    pub(super) fn may_send(&self, running: usize, now: Tick) -> bool {
        self.ejection.as_ref().is_none_or(|ejection| running == 0 && now >= ejection.probe_at)
    }

    /// Returns whether the server may run a request: a request that another server has failed is no
    /// probe.
    pub(super) const fn may_run(&self, request: &PendingRequest) -> bool {
        self.ejection.is_none() || request.avoid.is_none()
    }

    /// Records an outcome. What is not known to have run tells nothing.
    pub(super) fn record(&mut self, outcome: ServerOutcome, now: Tick) {
        let is_bad = match outcome {
            ServerOutcome::Completed => false,
            ServerOutcome::Failed | ServerOutcome::Errored => true,
            ServerOutcome::Shed | ServerOutcome::NotSent => return,
        };
        if now.since(self.last) > OUTCOME_TTL {
            self.outcomes = 0;
        }
        self.last = now;
        self.outcomes = self.outcomes << 1 | u8::from(is_bad);
        let Some(ejection) = &mut self.ejection else { return };
        if is_bad {
            ejection.failed += 1;
            ejection.succeeded = 0;
            ejection.probe_at = now + probe_interval(ejection.failed);
        } else {
            ejection.succeeded += 1;
        }
    }

    /// Returns whether most of the last requests failed.
    fn is_ill(&self, now: Tick) -> bool {
        let is_recent = now.since(self.last) <= OUTCOME_TTL;
        is_recent && self.outcomes.count_ones() >= ILL_OUTCOMES
    }

    /// Returns whether other servers are to be preferred.
    pub(super) fn is_avoided(&self, now: Tick) -> bool {
        !self.is_ejected() && self.is_ill(now) && now.since(self.last) < AVOID_TIME
    }

    /// Returns whether enough probes have succeeded.
    fn has_recovered(&self) -> bool {
        self.ejection.as_ref().is_some_and(|ejection| ejection.succeeded >= READMIT_PROBES)
    }
}

const _: () = assert!(OUTCOMES == u8::BITS);

/// Returns the time to the next probe after a number of failed ones.
fn probe_interval(failed: u32) -> Duration {
    FIRST_PROBE_INTERVAL * (1 << failed.min(MAX_PROBE_DOUBLINGS))
}

/// Health of a pool of servers.
#[derive(Debug, Default)]
pub(super) struct PoolHealth {
    /// Open servers, as last counted.
    open: usize,
    /// Servers that are ejected.
    ejected: usize,
    /// Whether nearly all servers fail.
    is_failing: bool,
    /// When the servers were last counted; `None` if that is due now.
    counted: Option<Tick>,
    changes: Vec<HealthChange>,
}

impl PoolHealth {
    /// Has the servers counted at the next occasion, as they have changed.
    pub(super) fn recount(&mut self) {
        self.counted = None;
    }

    /// Ejects or readmits a server after an outcome.
    pub(super) fn update(&mut self, name: &Name, health: &mut Health, now: Tick) {
        if health.has_recovered() {
            health.outcomes = 0;
            self.readmit(name, health);
            return;
        }
        let has_room = (self.ejected + 1) * 2 <= self.open;
        let has_failed = health.outcomes & 1 == 1 && health.is_ill(now);
        if health.ejection.is_none() && has_failed && has_room && !self.is_failing {
            let probe_at = now + probe_interval(0);
            health.ejection = Some(Ejection { probe_at, failed: 0, succeeded: 0 });
            self.ejected += 1;
            self.changes.push(HealthChange::Ejected(name.clone()));
        }
    }

    /// Counts the servers if that is due, and readmits what is ejected too much: servers of a pool
    /// that fails as a whole, and those beyond half of the open ones. `servers` gives the name, the
    /// health and whether the server is open.
    pub(super) fn check<'a>(
        &mut self,
        servers: impl Iterator<Item = (&'a Name, &'a mut Health, bool)>,
        now: Tick,
    ) {
        if self.counted.is_some_and(|counted| now.since(counted) < COUNT_INTERVAL) {
            return;
        }
        self.counted = Some(now);
        let mut ejected = Vec::new();
        let (mut open, mut used, mut ill) = (0, 0, 0);
        self.ejected = 0;
        for (name, health, is_open) in servers {
            open += usize::from(is_open);
            self.ejected += usize::from(health.is_ejected());
            if health.is_ejected() {
                ejected.push((name, health));
            } else if is_open {
                used += 1;
                ill += usize::from(health.is_ill(now));
            }
        }
        self.open = open;
        self.is_failing = ill * 100 > used * POOL_FAILURE_PERCENT;
        let most = if self.is_failing { 0 } else { open / 2 };
        for (name, health) in ejected.into_iter().skip(most) {
            self.readmit(name, health);
        }
    }

    fn readmit(&mut self, name: &Name, health: &mut Health) {
        health.ejection = None;
        self.ejected = self.ejected.saturating_sub(1);
        self.changes.push(HealthChange::Readmitted(name.clone()));
    }

    /// Returns the changes since the last call.
    pub(super) fn take_changes(&mut self) -> Vec<HealthChange> {
        std::mem::take(&mut self.changes)
    }
}
