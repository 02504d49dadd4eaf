//! State of one node, shared by all its tasks on one thread.
//!
//! No field is borrowed across an `await`.

use {
    crate::{
        admission::Admission,
        buffers::{Buffers, MAX_BODY_BYTES},
        cluster::ClusterState,
        cold::ColdState,
        control::Controller,
        crashes::Crashes,
        frame::Frame,
        frontend,
        message::Body,
        meter::Meter,
        metrics::Metrics,
        peers::Peers,
        platform::{Kind, Platform, Position},
        relay::client::Relays,
        retries::RetryBudget,
        settings::Settings,
    },
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::sync::Notify,
    whinspring::{detour::Detours, name::Name, reach::Reach, time::Tick},
    whinspring_http::{caller::Stalls, clock::Clock},
};

pub struct Node<P> {
    pub platform: P,
    pub clock: Clock,
    pub settings: Settings,
    /// Random number of this run of the process.
    pub incarnation: u64,
    /// Configuration, servers and owners of keys, as last learned.
    pub view: RefCell<ClusterState>,
    pub peers: RefCell<Peers>,
    pub admission: RefCell<Admission>,
    /// State of the controller role.
    pub control: RefCell<Controller>,
    pub meter: RefCell<Meter>,
    pub retries: RefCell<RetryBudget>,
    /// Requests that crashed servers.
    pub crashes: RefCell<Crashes>,
    /// Paths to the servers.
    pub reach: RefCell<Reach>,
    /// Nodes that may run gates of cold servers, and the servers that are cold.
    pub cold: RefCell<ColdState>,
    /// Servers that this node does not reach itself.
    pub detours: RefCell<Detours>,
    /// Connections to nodes that relay requests of this one.
    pub relays: RefCell<Relays>,
    /// Notified when this node is cut off from all servers.
    pub paths_lost: Notify,
    /// Notified when this node may have lost its paths to all servers.
    pub doubted: Notify,
    pub metrics: Metrics,
    /// Space for the bodies of requests.
    pub buffers: Arc<Buffers>,
    /// Limit on callers that do not read.
    pub stalls: Rc<Stalls>,
    /// Notified when the view changes.
    pub changed: Notify,
    /// Notified when a server wants nothing from this node for a while.
    pub paused: Notify,
    /// Whether a planned shutdown has begun.
    pub leaving: Cell<bool>,
    /// When a planned shutdown aborts the requests that still run; set once no requests are expected any
    /// more.
    pub ends_at: Cell<Option<Tick>>,
    /// Whether queued requests are rejected, near the end of a planned shutdown.
    pub queue_closed: Cell<bool>,
    /// Notified when `queue_closed` is set.
    pub queue_closing: Notify,
    /// Time of the last response of the store.
    pub store_contact: Cell<Tick>,
    /// Time of the first response of the store after a failure.
    pub store_recovered: Cell<Tick>,
    /// Whether the last call to the store failed.
    pub store_lost: Cell<bool>,
    /// Notified when the store responds again, to this node or to the controller: a watch that
    /// began earlier may never get a response.
    pub store_returned: Notify,
    /// Notified when another node has been ahead of this one for a while.
    pub overtaken: Notify,
    /// Era of the store that this node acts in.
    pub era: Cell<u64>,
    /// When this node last learned more of the era's age, and the age then.
    era_seen: Cell<(Tick, Duration)>,
    /// Whether this node has seen the store come back in a new era.
    pub era_changed: Cell<bool>,
    /// Notified when the store has come back in a new era.
    pub era_ended: Notify,
}

impl<P: Platform> Node<P> {
    pub fn new(platform: P, settings: Settings, clock: Clock) -> Rc<Self> {
        let incarnation = fastrand::u64(1..);
        Rc::new(Self {
            platform,
            clock,
            settings,
            incarnation,
            view: RefCell::default(),
            peers: RefCell::default(),
            admission: RefCell::new(Admission::new(incarnation)),
            control: RefCell::default(),
            meter: RefCell::default(),
            retries: RefCell::default(),
            crashes: RefCell::default(),
            reach: RefCell::new(Reach::new(fastrand::u64(..))),
            doubted: Notify::new(),
            detours: RefCell::default(),
            cold: RefCell::default(),
            relays: RefCell::default(),
            paths_lost: Notify::new(),
            metrics: Metrics::new(),
            buffers: Buffers::new(MAX_BODY_BYTES),
            stalls: frontend::stalls(),
            changed: Notify::new(),
            paused: Notify::new(),
            leaving: Cell::new(false),
            ends_at: Cell::new(None),
            queue_closed: Cell::new(false),
            queue_closing: Notify::new(),
            store_contact: Cell::default(),
            store_recovered: Cell::default(),
            store_lost: Cell::new(true),
            store_returned: Notify::new(),
            overtaken: Notify::new(),
            era: Cell::default(),
            era_seen: Cell::default(),
            era_changed: Cell::new(false),
            era_ended: Notify::new(),
        })
    }

    /// Returns the time since the start of the process.
    pub fn now(&self) -> Tick {
        self.clock.now()
    }

    pub fn name(&self) -> &Name {
        &self.settings.name
    }

    /// Records whether the store responded to a call.
    pub fn set_store_reachable(&self, reachable: bool) {
        let now = self.now();
        self.check_era();
        if reachable {
            self.store_contact.set(now);
        }
        if reachable && self.store_lost.replace(false) {
            self.store_recovered.set(now);
            self.store_returned.notify_waiters();
            log::info!(event = "store_regained"; "the store responds again");
        }
        if !reachable && !self.store_lost.replace(true) {
            log::warn!(event = "store_lost"; "the store did not respond to the last call");
        }
    }

    /// Takes part in a new era of the store, if there is one. Entries that are missing in it count
    /// as lapsed, as after an outage.
    pub fn check_era(&self) {
        let era = self.platform.era();
        let before = self.era.replace(era);
        if before == era {
            return;
        }
        self.era_seen.set((self.now(), Duration::ZERO));
        self.metrics.count("era");
        let synced = self.view.borrow().synced(Kind::Servers);
        if synced != Position::default() {
            self.era_changed.set(true);
            self.store_recovered.set(self.now());
            log::warn!(event = "era", before, era, revision:% = synced; "the store has come back from an older copy of itself; listing everything again");
        }
        self.control.borrow_mut().end_era(era);
        self.era_ended.notify_waiters();
    }

    /// Learns of an era of the store from another node.
    pub fn learn_era(&self, era: u64) {
        self.platform.raise_era(era);
        self.check_era();
    }

    /// Learns how long ago another node saw an era of the store for the first time.
    pub fn learn_era_age(&self, era: u64, age: Duration) {
        let now = self.now();
        if era == self.era.get() && age > self.era_age(now) {
            self.era_seen.set((now, age));
        }
    }

    /// Returns the least time that the era has lasted at `at`: since the first node that this one
    /// has heard of saw it.
    pub fn era_age(&self, at: Tick) -> Duration {
        let (seen, age) = self.era_seen.get();
        (at + age).since(seen)
    }

    /// Queues a message to another node; returns whether a link took it.
    pub fn send(&self, to: &str, body: Body) -> bool {
        self.peers.borrow().send(to, &Frame::new(body))
    }

    pub fn send_all(&self, body: Body) {
        self.peers.borrow().send_all(&Frame::new(body));
    }

    /// Returns whether this node is known to reach no server.
    pub fn is_cut_off(&self) -> bool {
        self.reach.borrow().is_cut_off().is_some()
    }

    /// Waits until this node is known to reach no server.
    pub async fn until_cut_off(&self) {
        let paths_lost = self.paths_lost.notified();
        if !self.is_cut_off() {
            paths_lost.await;
        }
    }

    /// Returns whether a request that comes now and lasts up to its deadline is not aborted.
    pub fn may_finish(&self, deadline: Tick) -> bool {
        self.ends_at.get().is_none_or(|end| deadline <= end)
    }

    /// Rejects all queued requests, before a planned shutdown ends.
    pub fn close_queue(&self) {
        self.queue_closed.set(true);
        self.queue_closing.notify_waiters();
    }

    /// Waits until [`Node::close_queue`] is called.
    pub async fn until_queue_closed(&self) {
        let queue_closing = self.queue_closing.notified();
        if !self.queue_closed.get() {
            queue_closing.await;
        }
    }

    /// Wakes the tasks that wait for a change of the view.
    pub fn notify_change(&self) {
        self.changed.notify_waiters();
    }

    pub fn is_ready(&self) -> bool {
        if self.leaving.get() {
            return false;
        }
        let view = self.view.borrow();
        let Some(routes) = &view.routes else { return false };
        let evacuates = self.settings.limits.evacuate_ms.is_some();
        if evacuates && view.position(Kind::Evacuations) == Position::default() {
            return false;
        }
        let mut keyed = routes.services.iter().filter(|(_, service)| service.keyed);
        keyed.all(|(name, _)| view.owners.contains_key(name)) && !view.servers.is_empty()
    }
}
