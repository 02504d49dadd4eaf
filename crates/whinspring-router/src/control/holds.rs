//! Which grants were sent, and until when a server may still hold keys.

use {
    std::time::Duration,
    whinspring::{name::Name, ranges::Life, time::Tick},
};

/// Time by which a server's clock may stretch a grant, as a divisor of it.
const DRIFT_DIVISOR: u32 = 50;

/// Time that a grant may take on its way.
const WAY: Duration = Duration::from_millis(300);

/// Time after which a grant that is renewed no more is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(40);

/// A grant of a span of keys to one life of a server.
#[derive(Debug)]
pub struct Hold {
    /// Service of the keys.
    pub service: Name,
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// Fence number.
    pub fence: u64,
    /// The server.
    pub owner: Life,
    /// When it was last sent, answered or not.
    pub sent: Option<Tick>,
    /// Until when a server that got it may hold the keys.
    pub until: Tick,
    /// When the last one that was answered was sent.
    pub acked: Option<Tick>,
    /// Whether one is on its way.
    pub busy: bool,
}

impl Hold {
    /// Notes that a grant is sent; returns until when the server may have held the keys before.
    pub fn send(&mut self, now: Tick, hold: Duration) -> Tick {
        let before = self.until;
        self.sent = Some(now);
        self.until = before.max(end_of(now, hold));
        before
    }
}

/// All grants of a controller.
#[derive(Debug, Default)]
pub struct Holds {
    /// Grants in no order.
    holds: Vec<Hold>,
}

impl Holds {
    /// Returns the grant of a span, new if there is none.
    pub fn get(&mut self, service: &Name, span: &whinspring::ranges::Span) -> &mut Hold {
        let same = |hold: &Hold| {
            hold.first == span.first
                && hold.last == span.last
                && hold.fence == span.fence
                && hold.service == *service
        };
        let index = match self.holds.iter().position(same) {
            Some(index) => index,
            None => {
                self.holds.push(Hold {
                    service: service.clone(),
                    first: span.first,
                    last: span.last,
                    fence: span.fence,
                    owner: span.owner.clone(),
                    sent: None,
                    until: Tick::default(),
                    acked: None,
                    busy: false,
                });
                self.holds.len() - 1
            }
        };
        &mut self.holds[index]
    }

    /// Returns until when a server may hold any of the keys.
    pub fn until(&self, service: &Name, owner: &Life, first: u16, last: u16) -> Tick {
        let overlaps = |hold: &&Hold| {
            hold.service == *service
                && hold.owner == *owner
                && hold.first <= last
                && hold.last >= first
        };
        self.holds.iter().filter(overlaps).map(|hold| hold.until).max().unwrap_or_default()
    }

    /// Returns whether a server took grants of all of the keys.
    pub fn covers(&self, service: &Name, owner: &Life, first: u16, last: u16) -> bool {
        let taken =
            |hold: &&Hold| hold.service == *service && hold.owner == *owner && hold.acked.is_some();
        let mut taken: Vec<(u32, u32)> = self
            .holds
            .iter()
            .filter(taken)
            .map(|hold| (hold.first.into(), hold.last.into()))
            .collect();
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
    pub fn forget(&mut self, now: Tick) {
        self.holds
            .retain(|hold| hold.busy || hold.sent.is_none_or(|at| now.since(at) < FORGET_AFTER));
    }
}

/// Returns until when a server may hold keys whose grant is sent now.
pub fn end_of(now: Tick, hold: Duration) -> Tick {
    now + hold + hold / DRIFT_DIVISOR + WAY
}
