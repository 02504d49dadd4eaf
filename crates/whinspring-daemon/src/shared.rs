//! State shared between the control loop and the request path.

use {
    crate::{
        clock::Clock,
        exchange::{Call, Serve},
        handover::StagedStates,
        held::{self, HeldServer},
        journal::Journal,
        link::DataLinks,
        metrics::Metrics,
    },
    arc_swap::ArcSwap,
    parking_lot::Mutex,
    std::{
        collections::HashMap,
        sync::{
            Arc, OnceLock, Weak,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        runtime::Handle,
        sync::{mpsc, watch},
        time::{MissedTickBehavior, interval},
    },
    whinspring::{
        entry::EntryState,
        history::History,
        holder::Input,
        message::Message,
        model::Suspect,
        name::{Name, ServerId},
        time::Tick,
        view::View,
    },
    whinspring_wire::link::{Handover, Reason},
};

/// Interval at which held servers check their deadlines.
const TICK_INTERVAL: Duration = Duration::from_millis(5);

/// Channels from the request path to the control loop.
#[derive(Debug, Clone)]
pub struct Reports {
    /// Reports for the controller.
    pub messages: mpsc::UnboundedSender<Message>,
    /// Requests newly or more strongly suspected of crashing servers.
    pub suspects: mpsc::UnboundedSender<Suspect>,
}

/// Service and id of a server.
type ServerKey = (Name, ServerId);

/// State that the control loop writes and the request path reads.
pub struct Shared {
    /// Name of this node.
    pub node: Name,
    pub clock: Clock,
    pub metrics: Arc<Metrics>,
    /// Runtime of the tasks of held servers.
    pub runtime: Handle,
    pub reports: Reports,
    /// Retry budget and load estimates shared by all requests of this entry.
    pub entry_state: Mutex<EntryState>,
    /// Recent events of requests.
    pub journal: Journal,
    /// Ownership changes of keys.
    pub history: Mutex<History>,
    /// Routing view.
    view: ArcSwap<View>,
    /// Incremented with each change of the view.
    view_changes: watch::Sender<u64>,
    incarnation: AtomicU64,
    /// Revision up to which the node has read every record.
    seen_revision: AtomicU64,
    /// Whether this node is the controller.
    controlling: AtomicBool,
    /// Expiry of the node's lease.
    lease_until: AtomicU64,
    /// Held servers.
    held: ArcSwap<HashMap<ServerKey, Arc<HeldServer>>>,
    /// Deduplication state received for servers that this node does not hold yet.
    pub(crate) staged: StagedStates,
    /// Links that carry requests to other nodes.
    links: OnceLock<DataLinks>,
    /// Whether the node has loaded the records.
    synced: AtomicBool,
    /// Whether the node is shutting down.
    leaving: AtomicBool,
    /// Reference to this state, for the tasks of held servers.
    weak_self: Weak<Self>,
}

impl Shared {
    /// Creates the state without records and without a lease.
    pub fn new(
        node: Name,
        incarnation: u64,
        clock: Clock,
        metrics: Arc<Metrics>,
        runtime: Handle,
        reports: Reports,
    ) -> Arc<Self> {
        Arc::new_cyclic(|weak_self| Self {
            view: ArcSwap::from_pointee(View::new(node.clone(), incarnation)),
            node,
            incarnation: AtomicU64::new(incarnation),
            clock,
            metrics,
            runtime,
            reports,
            entry_state: Mutex::default(),
            journal: Journal::new(clock),
            history: Mutex::default(),
            view_changes: watch::Sender::new(0),
            seen_revision: AtomicU64::new(0),
            controlling: AtomicBool::new(false),
            lease_until: AtomicU64::new(0),
            held: ArcSwap::default(),
            staged: StagedStates::default(),
            links: OnceLock::new(),
            synced: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            weak_self: weak_self.clone(),
        })
    }

    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Returns a receiver that is notified of each change of the view.
    pub fn view_changes(&self) -> watch::Receiver<u64> {
        self.view_changes.subscribe()
    }

    pub fn incarnation(&self) -> u64 {
        self.incarnation.load(Ordering::Acquire)
    }

    /// Returns the expiry of the lease.
    pub fn lease_until(&self) -> Tick {
        Tick(self.lease_until.load(Ordering::Acquire))
    }

    /// Returns whether the lease is valid now.
    pub fn is_leased(&self) -> bool {
        self.clock.now() < self.lease_until()
    }

    /// Returns the links to other nodes, once they are set.
    pub fn links(&self) -> Option<&DataLinks> {
        self.links.get()
    }

    /// Returns whether the node is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Returns whether the node has loaded the records and is not shutting down.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.synced.load(Ordering::Relaxed)
    }

    pub fn held_server(&self, service: &Name, server: ServerId) -> Option<Arc<HeldServer>> {
        self.held.load().get(&(service.clone(), server)).cloned()
    }

    pub fn held_servers(&self) -> Vec<Arc<HeldServer>> {
        self.held.load().values().cloned().collect()
    }

    /// Sets the links to other nodes; only the first call has an effect.
    pub fn set_links(&self, links: DataLinks) {
        let _ = self.links.set(links);
    }

    /// Returns the revision up to which the node has read every record.
    pub fn seen_revision(&self) -> u64 {
        self.seen_revision.load(Ordering::Relaxed)
    }

    pub fn is_controller(&self) -> bool {
        self.controlling.load(Ordering::Relaxed)
    }

    /// Sets the record revision and the controller role reported by the control loop.
    pub fn set_control_status(&self, seen_revision: u64, controller: bool) {
        self.seen_revision.store(seen_revision, Ordering::Relaxed);
        self.controlling.store(controller, Ordering::Relaxed);
    }

    /// Marks the records as loaded.
    pub fn set_synced(&self) {
        self.synced.store(true, Ordering::Relaxed);
    }

    /// Switches to a new incarnation, which releases all servers held by the previous one.
    ///
    /// Called by the control loop only.
    pub fn set_incarnation(&self, incarnation: u64) {
        self.incarnation.store(incarnation, Ordering::Release);
        self.set_view(self.view().with_incarnation(incarnation));
    }

    /// Marks the node as shutting down.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Sets the expiry of the lease and passes it to the held servers.
    pub fn set_lease(&self, until: Tick) {
        let before = self.lease_until.swap(until.0, Ordering::AcqRel);
        if before == until.0 {
            return;
        }
        for held in self.held.load().values() {
            held.feed(Input::Lease(until));
        }
    }

    /// Replaces the routing view and updates the held servers to match.
    ///
    /// Called by the control loop only.
    pub fn set_view(&self, view: View) {
        let view = Arc::new(view);
        self.view.store(view.clone());
        self.update_held(&view);
        self.view_changes.send_modify(|count| *count += 1);
    }

    /// Starts, updates and closes held servers according to the view.
    fn update_held(&self, view: &View) {
        let Some(shared) = self.weak_self.upgrade() else { return };
        let before = self.held.load_full();
        let mut after = HashMap::new();
        for held::Assignment { service, server, update } in view.held_servers() {
            let key = (service, server);
            let held = match before.get(&key) {
                Some(held) => {
                    held.feed(Input::Update(Box::new(update)));
                    held.clone()
                }
                None => HeldServer::start(shared.clone(), key.0.clone(), server, update),
            };
            after.insert(key, held);
        }
        let removed = before.iter().filter(|(key, _)| !after.contains_key(key));
        let removed: Vec<Arc<HeldServer>> = removed.map(|(_, held)| held.clone()).collect();
        let added: Vec<ServerKey> =
            after.keys().filter(|key| !before.contains_key(*key)).cloned().collect();
        self.held.store(Arc::new(after));
        for (service, server) in added {
            let states = self.staged.take(&(service.clone(), server));
            if let (Some(held), Some(states)) = (self.held_server(&service, server), states) {
                held.feed(Input::DedupState(states));
            }
        }
        removed.iter().for_each(|held| held.close());
    }
}

impl Serve for Shared {
    fn serve(&self, call: Call) {
        let target = &call.open.target;
        let is_local = target.node == self.node && target.incarnation == self.incarnation();
        let held = self.held_server(&call.open.meta.service, target.server);
        match held.filter(|held| is_local && held.has_term(target.term)) {
            Some(held) => held.submit(call),
            None => {
                self.metrics.count("misrouted");
                call.responder.refuse(Reason::Misrouted);
            }
        }
    }

    fn accept_handover(&self, handover: Handover) {
        Shared::accept_handover(self, handover);
    }
}

/// Sends periodic ticks to the held servers, until the process ends.
pub async fn run_ticks(shared: Arc<Shared>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for held in shared.held.load().values() {
            held.feed(Input::Tick);
        }
    }
}
