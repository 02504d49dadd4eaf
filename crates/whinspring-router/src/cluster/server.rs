//! A server as its entry in the store, and the store's silence about it, show it.

use {
    crate::platform::{Object, Position, ServerEntry},
    std::{rc::Rc, time::Duration},
    whinspring::{name::Name, notices::Life, ranges::Instance, time::Tick},
    whinspring_http::{
        backend::{ConnectionPool, NoStream},
        clock::Clock,
    },
};

/// A listed server, and connections to it.
#[derive(Debug)]
pub struct Server {
    pub name: Name,
    /// Its entry in the store.
    pub entry: ServerEntry,
    /// Connections to it.
    pub backend: Rc<ConnectionPool<NoStream>>,
    /// When this instance was first seen.
    pub known_since: Tick,
    /// When its entry disappeared.
    pub missing: Option<Tick>,
    /// When its entry had disappeared before it came back with a copy of the store, and its position
    /// then; until the server writes that it is ready.
    returned: Option<(Tick, Position)>,
    /// Position of its entry.
    position: Position,
    /// Whether the store was not in an outage when its entry disappeared.
    pub is_gone: bool,
    /// Era in which this instance was first seen.
    pub known_era: u64,
    /// When its warm-up ends, as it said last.
    pub warm_at: Tick,
    /// Cloned by each request of this node that runs on it.
    pub running: Rc<()>,
    /// When it said that, or earlier.
    warmth_known: Tick,
}

impl Server {
    /// Returns a server whose entry appeared after `since`.
    pub(super) fn new(object: &Object, entry: ServerEntry, since: Tick, clock: Clock) -> Self {
        let now = clock.now();
        Self {
            name: object.name.clone(),
            backend: Rc::new(ConnectionPool::new(entry.addr, clock)),
            known_since: now,
            missing: None,
            returned: None,
            position: object.position,
            is_gone: false,
            known_era: object.position.era,
            warm_at: now + entry.warmup,
            warmth_known: since,
            running: Rc::default(),
            entry,
        }
    }

    pub fn instance(&self) -> Instance {
        Instance { server: self.name.clone(), start_ms: self.entry.start_ms }
    }

    pub fn life(&self) -> Life {
        self.entry.life()
    }

    /// Returns how many requests of this node run on it.
    pub fn running_count(&self) -> usize {
        Rc::strong_count(&self.running) - 1
    }

    /// Returns since when it may have been gone: its entry is missing, or came back with a copy of
    /// the store and may be that of a server that has ended.
    pub(crate) fn gone_since(&self) -> Option<Tick> {
        self.missing.or(self.returned.map(|(since, _)| since))
    }

    /// Records that the server remains cold for `left`. It said so at `since` or later; what it said
    /// in a response before a change of its entry extends the warm-up only.
    pub fn record_warmup(&mut self, left: Duration, since: Tick, now: Tick) {
        let warm_at = now + left;
        if since >= self.warmth_known || warm_at > self.warm_at {
            self.warm_at = warm_at;
            self.warmth_known = self.warmth_known.max(since);
        }
    }

    /// Returns whether it has said since `at` how long it remains cold.
    pub fn has_stated_warmth(&self, at: Tick) -> bool {
        self.warmth_known > at
    }

    /// Applies an entry of the same instance that changed after `since`.
    pub(super) fn update(&mut self, object: &Object, entry: ServerEntry, since: Tick, now: Tick) {
        self.record_warmup(entry.warmup, since, now);
        let is_copy = object.position.era > self.position.era;
        if let Some(since) = self.missing.take().filter(|_| is_copy) {
            self.returned = Some((since, object.position));
        }
        let is_written = self.returned.is_some_and(|(_, position)| position != object.position);
        if is_written && !entry.leaving {
            self.returned = None;
        }
        self.is_gone = false;
        self.position = object.position;
        self.entry = entry;
    }

    /// Returns whether an entry that came back with a copy of the store is that of a former life.
    pub(super) fn is_former_life(&self, object: &Object, entry: &ServerEntry) -> bool {
        object.position.era > self.known_era && entry.start_ms < self.entry.start_ms
    }
}
