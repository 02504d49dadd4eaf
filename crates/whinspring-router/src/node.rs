//! The state of one node, shared by all its tasks on one thread.
//!
//! Every field is borrowed for the length of one step and never across an `await`.

use {
    crate::{
        admission::Admission,
        beliefs::Beliefs,
        control::Controller,
        crashes::Crashes,
        message::{Body, Envelope},
        meter::Meter,
        metrics::Metrics,
        peers::Peers,
        platform::Platform,
        retries::RetryBudget,
        settings::Settings,
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
    pub view: RefCell<Beliefs>,
    /// Other nodes.
    pub peers: RefCell<Peers>,
    /// Gates of this node, and requests that wait at other nodes' gates.
    pub admission: RefCell<Admission>,
    /// Its part in granting keys.
    pub control: RefCell<Controller>,
    /// What it measures.
    pub meter: RefCell<Meter>,
    /// Its share of the retry budget.
    pub retries: RefCell<RetryBudget>,
    /// Requests that servers were lost with.
    pub crashes: RefCell<Crashes>,
    /// Counters.
    pub metrics: Metrics,
    /// Woken when beliefs change.
    pub changed: Notify,
    /// Whether a planned stop has begun.
    pub leaving: Cell<bool>,
    /// Whether requests wait no more, as a planned stop ends soon.
    pub queue_closed: Cell<bool>,
    /// Woken when `hurried` is set.
    pub queue_closing: Notify,
    /// When the store last answered.
    pub store_contact: Cell<Tick>,
    /// When the store answered again after a failure.
    pub store_recovered: Cell<Tick>,
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
            view: RefCell::default(),
            peers: RefCell::default(),
            admission: RefCell::default(),
            control: RefCell::default(),
            meter: RefCell::default(),
            retries: RefCell::default(),
            crashes: RefCell::default(),
            metrics: Metrics::new(),
            changed: Notify::new(),
            leaving: Cell::new(false),
            queue_closed: Cell::new(false),
            queue_closing: Notify::new(),
            store_contact: Cell::default(),
            store_recovered: Cell::default(),
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
    pub fn set_store_reachable(&self, answered: bool) {
        let now = self.now();
        if answered {
            self.store_contact.set(now);
        }
        if answered && self.store_lost.replace(false) {
            self.store_recovered.set(now);
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
    pub fn close_queue(&self) {
        self.queue_closed.set(true);
        self.queue_closing.notify_waiters();
    }

    /// Waits until requests may wait no more.
    pub async fn until_queue_closed(&self) {
        let queue_closing = self.queue_closing.notified();
        if !self.queue_closed.get() {
            queue_closing.await;
        }
    }

    /// Wakes whoever waits for beliefs to change.
    pub fn notify_change(&self) {
        self.changed.notify_waiters();
    }

    /// Returns whether requests can be served.
    pub fn is_ready(&self) -> bool {
        if self.leaving.get() {
            return false;
        }
        let view = self.view.borrow();
        let Some(routes) = &view.routes else { return false };
        let mut keyed = routes.services.iter().filter(|(_, service)| service.keyed);
        keyed.all(|(name, _)| view.owners.contains_key(name)) && !view.servers.is_empty()
    }
}
