//! Which grants were sent, and until when a server may still hold keys.

use {
    std::{collections::HashMap, time::Duration},
    whinspring::{
        name::Name,
        ranges::{Life, Span},
        time::Tick,
    },
};

/// Time by which a server's clock may stretch a grant, as a divisor of it.
const CLOCK_DRIFT_DIVISOR: u32 = 50;

/// Time that a grant may take on its way.
const DELIVERY_MARGIN: Duration = Duration::from_millis(300);

/// Time after which a grant that is renewed no more is forgotten.
const LEASE_RETENTION: Duration = Duration::from_secs(20);

/// A grant of a span of keys to one life of a server.
#[derive(Debug)]
pub struct Lease {
    /// The server.
    pub owner: Life,
    /// When it was last sent, answered or not.
    pub sent: Option<Tick>,
    /// Until when a server that got it may hold the keys.
    pub expires: Tick,
    /// When the last one that was answered was sent.
    pub acked: Option<Tick>,
    /// Whether one is on its way.
    pub in_flight: bool,
}

impl Lease {
    /// Notes that a grant is sent; returns until when the server may have held the keys before.
    pub fn record_send(&mut self, now: Tick, duration: Duration) -> Tick {
        let before = self.expires;
        self.sent = Some(now);
        self.expires = before.max(lease_end(now, duration));
        before
    }
}

/// First key, last key and fence number of a grant.
type LeaseKey = (u16, u16, u64);

/// All grants of a controller.
#[derive(Debug, Default)]
pub struct Leases {
    /// Grants by service and place.
    services: HashMap<Name, HashMap<LeaseKey, Lease>>,
}

impl Leases {
    /// Returns the grant of a span, new if there is none.
    pub fn entry(&mut self, service: &Name, span: &Span) -> &mut Lease {
        let leases = self.services.entry(service.clone()).or_default();
        leases.entry((span.first, span.last, span.fence)).or_insert_with(|| Lease {
            owner: span.owner.clone(),
            sent: None,
            expires: Tick::default(),
            acked: None,
            in_flight: false,
        })
    }

    /// Returns until when a server may hold any of the keys.
    pub fn expiry(&self, service: &Name, owner: &Life, first: u16, last: u16) -> Tick {
        let leases = self.leases_of(service, owner);
        let overlapping = leases.filter(|((from, to, _), _)| *from <= last && *to >= first);
        overlapping.map(|(_, lease)| lease.expires).max().unwrap_or_default()
    }

    /// Returns whether a server took grants of all of the keys.
    pub fn covers(&self, service: &Name, owner: &Life, first: u16, last: u16) -> bool {
        let taken = self.leases_of(service, owner).filter(|(_, lease)| lease.acked.is_some());
        let mut taken: Vec<(u32, u32)> =
            taken.map(|((from, to, _), _)| (u32::from(*from), u32::from(*to))).collect();
        taken.sort_unstable();
        let mut next = u32::from(first);
        for (from, to) in taken {
            if from <= next && to >= next {
                next = to + 1;
            }
        }
        next > u32::from(last)
    }

    /// Forgets grants that have long run out.
    pub fn evict_expired(&mut self, now: Tick) {
        let is_recent = |lease: &Lease| lease.sent.is_none_or(|at| now.since(at) < LEASE_RETENTION);
        for leases in self.services.values_mut() {
            leases.retain(|_, lease| lease.in_flight || is_recent(lease));
        }
    }

    /// Returns the grants of a server.
    fn leases_of<'a>(
        &'a self,
        service: &Name,
        owner: &'a Life,
    ) -> impl Iterator<Item = (&'a LeaseKey, &'a Lease)> {
        let leases = self.services.get(service).into_iter().flatten();
        leases.filter(move |(_, lease)| lease.owner == *owner)
    }
}

/// Returns until when a server may hold keys whose grant is sent now.
pub fn lease_end(now: Tick, duration: Duration) -> Tick {
    now + duration + duration / CLOCK_DRIFT_DIVISOR + DELIVERY_MARGIN
}
