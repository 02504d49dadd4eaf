//! Which grants were sent, and until when a server may still hold keys.

use {
    std::{collections::HashMap, time::Duration},
    whinspring::{
        name::Name,
        ranges::{Instance, Span},
        time::Tick,
    },
};

/// Time by which a server's clock may stretch a grant, as a divisor of it.
const DRIFT_DIVISOR: u32 = 50;

/// Time that a grant may take on its way.
const WAY: Duration = Duration::from_millis(300);

/// Time after which a grant that is renewed no more is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(20);

/// A grant of a span of keys to one life of a server.
#[derive(Debug)]
pub struct Hold {
    /// The server.
    pub owner: Instance,
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

/// First key, last key and fence number of a grant.
type Place = (u16, u16, u64);

/// All grants of a controller.
#[derive(Debug, Default)]
pub struct Holds {
    /// Grants by service and place.
    services: HashMap<Name, HashMap<Place, Hold>>,
}

impl Holds {
    /// Returns the grant of a span, new if there is none.
    pub fn get(&mut self, service: &Name, span: &Span) -> &mut Hold {
        let holds = self.services.entry(service.clone()).or_default();
        holds.entry((span.first, span.last, span.fence)).or_insert_with(|| Hold {
            owner: span.owner.clone(),
            sent: None,
            until: Tick::default(),
            acked: None,
            busy: false,
        })
    }

    /// Returns until when a server may hold any of the keys.
    pub fn until(&self, service: &Name, owner: &Instance, first: u16, last: u16) -> Tick {
        let holds = self.of(service, owner);
        let over = holds.filter(|((from, to, _), _)| *from <= last && *to >= first);
        over.map(|(_, hold)| hold.until).max().unwrap_or_default()
    }

    /// Returns whether a server took grants of all of the keys.
    pub fn covers(&self, service: &Name, owner: &Instance, first: u16, last: u16) -> bool {
        let taken = self.of(service, owner).filter(|(_, hold)| hold.acked.is_some());
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
    pub fn forget(&mut self, now: Tick) {
        let lasts = |hold: &Hold| hold.sent.is_none_or(|at| now.since(at) < FORGET_AFTER);
        for holds in self.services.values_mut() {
            holds.retain(|_, hold| hold.busy || lasts(hold));
        }
    }

    /// Returns the grants of a server.
    fn of<'a>(
        &'a self,
        service: &Name,
        owner: &'a Instance,
    ) -> impl Iterator<Item = (&'a Place, &'a Hold)> {
        let holds = self.services.get(service).into_iter().flatten();
        holds.filter(move |(_, hold)| hold.owner == *owner)
    }
}

/// Returns until when a server may hold keys whose grant is sent now.
pub fn end_of(now: Tick, hold: Duration) -> Tick {
    now + hold + hold / DRIFT_DIVISOR + WAY
}
