//! Leases that the controller has granted, and when they expire.
//!
//! Leases are kept by server instance: while many servers are unreachable, each handover asks again
//! and again when the leases of its former owner expire.
//!
//! A short lease frees the keys of a lost server soon; a long one keeps keys with their owners while
//! no controller can be elected because the store is away. A lease is therefore long only once the
//! store has not confirmed the controller for a while, and none of them runs for longer than an
//! outage has to be bridged: the later it is granted, the shorter it is.

use {
    crate::platform::Reply,
    std::{collections::HashMap, time::Duration},
    whinspring::{
        name::Name,
        ranges::{Instance, Span},
        time::Tick,
    },
};

/// Lease duration while the store confirms the controller.
const SHORT_LEASE: Duration = Duration::from_millis(4_000);

/// Lease duration of a new owner until the store knows that the keys were handed over. A successor
/// waits for its end before it repeats the handover.
const HANDOVER_LEASE: Duration = Duration::from_millis(2_000);

/// Time since the last confirmation by the store from which leases are long. Until then, the short
/// ones bridge the outage.
const OUTAGE_AFTER: Duration = Duration::from_millis(2_500);

/// Allowance for drift of a server's clock, as a divisor of the lease duration.
const CLOCK_DRIFT_DIVISOR: u32 = 50;

/// Allowance for the delivery of a grant.
pub(super) const DELIVERY_MARGIN: Duration = Duration::from_millis(300);

/// Time after the last grant for which a lease is kept.
const LEASE_RETENTION: Duration = Duration::from_secs(20);

/// Lease of a span of keys to one instance of a server.
#[derive(Debug)]
pub struct Lease {
    /// When the last grant was sent, acknowledged or not.
    pub sent: Option<Tick>,
    /// When a server that received every grant stops holding the keys.
    pub expires: Tick,
    /// When the last acknowledged grant was sent.
    pub acked: Option<Tick>,
    /// When the first acknowledgement arrived.
    pub taken: Option<Tick>,
    /// Whether a grant is in flight.
    pub in_flight: bool,
}

impl Lease {
    /// Records that a grant is sent.
    pub fn record_send(&mut self, now: Tick, duration: Duration) -> SentGrant {
        let before = self.expires;
        self.sent = Some(now);
        self.expires = before.max(lease_end(now, duration));
        SentGrant { duration, before }
    }

    /// Records the reply to a grant, which was read at `now`. One that was carried out had arrived by then,
    /// and one that was not sent, or was rejected, prolongs nothing.
    pub fn record_reply(&mut self, grant: &SentGrant, reply: &Reply, now: Tick) {
        match reply {
            Reply::Done(_) => self.expires = grant.before.max(now + held_time(grant.duration)),
            Reply::NoResponse => {}
            Reply::Fenced
            | Reply::Down
            | Reply::Replaced
            | Reply::Unsent
            | Reply::NewConnection => {
                self.expires = grant.before;
            }
        }
    }
}

/// A grant that was sent.
#[derive(Debug)]
pub struct SentGrant {
    duration: Duration,
    /// When the lease expired without it.
    before: Tick,
}

/// First key, last key and fencing token of a lease.
type LeaseKey = (u16, u16, u64);

/// Leases of one server instance.
type ServerLeases = HashMap<LeaseKey, Lease>;

#[derive(Debug, Default)]
pub struct Leases {
    /// Leases by service and server instance.
    services: HashMap<Name, HashMap<Instance, ServerLeases>>,
}

impl Leases {
    /// Returns the lease of a span; creates it if there is none.
    pub fn entry(&mut self, service: &Name, span: &Span) -> &mut Lease {
        let servers = self.services.entry(service.clone()).or_default();
        let leases = servers.entry(span.owner.clone()).or_default();
        leases.entry((span.first, span.last, span.fence)).or_insert_with(|| Lease {
            sent: None,
            expires: Tick::default(),
            acked: None,
            taken: None,
            in_flight: false,
        })
    }

    /// Returns when the last lease of a server on any of the keys expires.
    pub fn expiry(&self, service: &Name, owner: &Instance, first: u16, last: u16) -> Tick {
        let leases = self.leases_of(service, owner);
        let overlapping = leases.filter(|((from, to, _), _)| *from <= last && *to >= first);
        overlapping.map(|(_, lease)| lease.expires).max().unwrap_or_default()
    }

    /// Returns since when a server has acknowledged grants that cover all of the keys, with fencing
    /// tokens of at least `min_fence`.
    pub fn covered_since(
        &self,
        service: &Name,
        owner: &Instance,
        (first, last): (u16, u16),
        min_fence: u64,
    ) -> Option<Tick> {
        let leases = self.leases_of(service, owner);
        let overlapping = leases
            .filter(|((from, to, fence), _)| *from <= last && *to >= first && *fence >= min_fence);
        let taken =
            overlapping.filter_map(|((from, to, _), lease)| Some((lease.taken?, *from, *to)));
        let mut taken: Vec<(Tick, u16, u16)> = taken.collect();
        taken.sort_unstable();
        let mut spans = Vec::new();
        taken.into_iter().find_map(|(at, from, to)| {
            spans.push((from, to));
            spans.sort_unstable();
            covers(&spans, first, last).then_some(at)
        })
    }

    /// Removes leases that were last granted longer than [`LEASE_RETENTION`] ago.
    pub fn evict_expired(&mut self, now: Tick) {
        let is_recent = |lease: &Lease| lease.sent.is_none_or(|at| now.since(at) < LEASE_RETENTION);
        for servers in self.services.values_mut() {
            servers.retain(|_, leases| {
                leases.retain(|_, lease| lease.in_flight || is_recent(lease));
                !leases.is_empty()
            });
        }
    }

    /// Returns the leases of one server instance.
    fn leases_of<'a>(
        &'a self,
        service: &Name,
        owner: &Instance,
    ) -> impl Iterator<Item = (&'a LeaseKey, &'a Lease)> + use<'a> {
        self.services.get(service).and_then(|servers| servers.get(owner)).into_iter().flatten()
    }
}

/// Returns whether sorted ranges of keys cover all keys of another range.
fn covers(ranges: &[(u16, u16)], first: u16, last: u16) -> bool {
    let mut next = u32::from(first);
    for (from, to) in ranges {
        if u32::from(*from) <= next {
            next = next.max(u32::from(*to) + 1);
        }
    }
    next > u32::from(last)
}

/// Durations of the leases that controllers grant, for servers that accept `max`.
#[derive(Debug, Clone, Copy)]
pub struct Terms {
    max: Duration,
}

impl Terms {
    pub fn new(max: Duration) -> Self {
        Self { max }
    }

    /// Returns the duration of a lease while the store responds.
    pub fn short(self) -> Duration {
        SHORT_LEASE.min(self.max)
    }

    /// Returns the duration of a new owner's lease until the store knows of the handover.
    pub fn handover(self) -> Duration {
        HANDOVER_LEASE.min(self.max)
    }

    /// Returns the duration of a lease that is granted `unconfirmed` after the last confirmation by
    /// the store. Long ones end `max` after that confirmation.
    pub fn duration(self, unconfirmed: Duration) -> Duration {
        if unconfirmed < OUTAGE_AFTER {
            return self.short();
        }
        self.short().max(self.max.saturating_sub(unconfirmed))
    }

    /// Returns the longest duration of a lease.
    pub fn longest(self) -> Duration {
        self.duration(OUTAGE_AFTER)
    }

    /// Returns when all leases have expired of a controller that sent its last command by `last` and
    /// was confirmed for the last time before `successor` was elected.
    pub fn end_of(self, last: Tick, successor: Tick) -> Tick {
        let long = lease_end(last, self.longest()).min(lease_end(successor, self.max));
        lease_end(last, self.short()).max(long)
    }
}

/// Returns when the leases of all handovers have expired that a controller commanded by `last`; those of
/// versions whose leases are not `bounded` are longer.
pub(super) fn handover_end(last: Tick, bounded: bool) -> Tick {
    lease_end(last, if bounded { HANDOVER_LEASE } else { SHORT_LEASE })
}

/// Returns when a lease that is granted now has expired on the server's clock as well.
pub fn lease_end(now: Tick, duration: Duration) -> Tick {
    now + lease_time(duration)
}

/// Returns the time from the sending of a grant until its lease has expired on the server's clock.
pub fn lease_time(duration: Duration) -> Duration {
    held_time(duration) + DELIVERY_MARGIN
}

/// Returns the time from the arrival of a grant until its lease has expired on the server's clock.
fn held_time(duration: Duration) -> Duration {
    duration + duration / CLOCK_DRIFT_DIVISOR
}
