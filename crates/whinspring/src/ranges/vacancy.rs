//! Keys without an owner, and how long requests wait for them.
//!
//! Load pattern: servers are lost without a word while a fifth of all requests are for their keys, and
//! these get no owner before the leases have run out, seconds later. A handover between two servers
//! that respond ends within some hundred milliseconds, and is worth waiting for; one that has lasted
//! longer most likely waits for a lease. What counts is therefore how long the keys have had no owner,
//! not how long a request has waited: those that come later are rejected at once.

use {
    super::{Instance, Ownership},
    crate::time::Tick,
    std::time::Duration,
};

/// Time without an owner up to which requests wait for one.
pub const WORTH_WAITING: Duration = Duration::from_millis(350);

/// Time that a lease takes to run out after its server was lost, in most cases.
const EXPECTED_LEASE: Duration = Duration::from_millis(4_000);

/// Least time after which a caller may come back.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(300);

/// What is done with a request for a key that has no owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It waits until then at the longest.
    Wait(Tick),
    /// It is rejected, with the time after which its caller may come back.
    Reject(Duration),
}

/// Returns what is done at `now` with a request for a key that has had no owner since `since`.
pub fn judge(since: Tick, now: Tick) -> Verdict {
    let end = since + WORTH_WAITING;
    if now < end {
        return Verdict::Wait(end);
    }
    Verdict::Reject((since + EXPECTED_LEASE).since(now).max(MIN_RETRY_DELAY))
}

/// Ranges of one service that are being handed over, and since when.
#[derive(Debug, Default)]
pub struct Vacancies {
    /// Ranges in ascending order.
    ranges: Vec<Vacancy>,
}

#[derive(Debug)]
struct Vacancy {
    first: u16,
    last: u16,
    former: Instance,
    since: Tick,
}

impl Vacancies {
    /// Applies the owners that are known now. A range that is divided, or gets another fencing token,
    /// keeps the time since which it has had none.
    pub fn update(&mut self, owned: &Ownership, now: Tick) {
        let pending = owned.spans.iter().filter_map(|span| {
            let former = span.former.clone()?;
            let known = self.find(span.first).filter(|known| known.former == former);
            let since = known.map_or(now, |known| known.since);
            Some(Vacancy { first: span.first, last: span.last, former, since })
        });
        self.ranges = pending.collect();
    }

    /// Returns since when a key has been handed over, if it is.
    pub fn since(&self, key: u16) -> Option<Tick> {
        self.find(key).map(|vacancy| vacancy.since)
    }

    fn find(&self, key: u16) -> Option<&Vacancy> {
        let index = self.ranges.partition_point(|vacancy| vacancy.last < key);
        self.ranges.get(index).filter(|vacancy| vacancy.first <= key)
    }
}
