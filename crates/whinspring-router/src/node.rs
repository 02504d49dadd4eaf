//! The state of one node, shared by all its tasks on one thread.
//!
//! Every field is borrowed for the length of one step and never across an `await`.

use {
    crate::{
        cluster::ClusterState,
        control::Controller,
        crashes::Crashes,
        message::{Body, Envelope},
        meter::Meter,
        metrics::Metrics,
        peers::Peers,
        platform::Platform,
        retries::Retries,
        settings::Settings,
        turns::Turns,
    },
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
    },
    tokio::sync::Notify,
    whinspring::{name::Name, time::Tick},
    whinspring_http::clock::Clock,
};

/// One node of the router.
pub struct Node<P> {
    /// The platform that it runs on.
    pub platform: P,
    /// Clock of the process.
    pub clock: Clock,
    /// Settings of the node.
    pub settings: Settings,
    /// Number of this run of the process.
    pub incarnation: u64,
    /// What it believes.
    pub beliefs: RefCell<ClusterState>,
    /// Other nodes.
    pub peers: RefCell<Peers>,
    /// Gates of this node, and requests that wait at other nodes' gates.
    pub turns: RefCell<Turns>,
    /// Its part in granting keys.
    pub control: RefCell<Controller>,
    /// What it measures.
    pub meter: RefCell<Meter>,
    /// Its share of the retry budget.
    pub retries: RefCell<Retries>,
    /// Requests that servers were lost with.
    pub crashes: RefCell<Crashes>,
    /// Counters.
    pub metrics: Metrics,
    /// Woken when beliefs change.
    pub changed: Notify,
    /// Whether a planned stop has begun.
    pub leaving: Cell<bool>,
    /// Whether requests wait no more, as a planned stop ends soon.
    pub hurried: Cell<bool>,
    /// Woken when `hurried` is set.
    pub hurry: Notify,
    /// When the store last answered.
    pub store_heard: Cell<Tick>,
    /// When the store answered again after a failure.
    pub store_back: Cell<Tick>,
    /// Whether the last call to the store failed.
    pub store_lost: Cell<bool>,
}

impl<P: Platform> Node<P> {
    /// Creates the state of a node.
    pub fn new(platform: P, settings: Settings, clock: Clock) -> Rc<Self> {
        Rc::new(Self {
            platform,
            clock,
            settings,
            incarnation: fastrand::u64(1..),
            beliefs: RefCell::default(),
            peers: RefCell::default(),
            turns: RefCell::default(),
            control: RefCell::default(),
            meter: RefCell::default(),
            retries: RefCell::default(),
            crashes: RefCell::default(),
            metrics: Metrics::new(),
            changed: Notify::new(),
            leaving: Cell::new(false),
            hurried: Cell::new(false),
            hurry: Notify::new(),
            store_heard: Cell::default(),
            store_back: Cell::default(),
            store_lost: Cell::new(true),
        })
    }

    /// Returns the time since the start of the process.
    pub fn now(&self) -> Tick {
        self.clock.now()
    }

    /// Returns the name of this node.
    pub fn name(&self) -> &Name {
        &self.settings.name
    }

    /// Notes whether a call to the store was answered.
    pub fn note_store(&self, answered: bool) {
        let now = self.now();
        if answered {
            self.store_heard.set(now);
        }
        if answered && self.store_lost.replace(false) {
            self.store_back.set(now);
            log::info!(event = "store_regained"; "the store answers");
        }
        if !answered && !self.store_lost.replace(true) {
            log::warn!(event = "store_lost"; "the store does not answer");
        }
    }

    /// Sends a message to another node, if there is a link to it.
    pub fn send(&self, to: &str, body: Body) -> bool {
        self.peers.borrow().send(to, Envelope::frame(body))
    }

    /// Sends a message to all other nodes.
    pub fn send_all(&self, body: Body) {
        self.peers.borrow().send_all(&Envelope::frame(body));
    }

    /// Ends all waiting for turns, before a planned stop ends.
    pub fn end_waiting(&self) {
        self.hurried.set(true);
        self.hurry.notify_waiters();
    }

    /// Waits until requests may wait no more.
    pub async fn hurried(&self) {
        let hurry = self.hurry.notified();
        if !self.hurried.get() {
            hurry.await;
        }
    }

    /// Wakes whoever waits for beliefs to change.
    pub fn wake(&self) {
        self.changed.notify_waiters();
    }

    /// Returns whether requests can be served.
    pub fn is_ready(&self) -> bool {
        if self.leaving.get() {
            return false;
        }
        let beliefs = self.beliefs.borrow();
        let Some(routes) = &beliefs.routes else { return false };
        let mut keyed = routes.services.iter().filter(|(_, service)| service.keyed);
        keyed.all(|(name, _)| beliefs.owners.contains_key(name)) && !beliefs.servers.is_empty()
    }
}
