//! Tables shared between the control loop and the request path.

use {
    crate::{
        clock::Clock,
        exchange::{Call, Serve},
        handover::StagedMemory,
        held::{self, Held},
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

/// Time between two looks at the held servers' deadlines.
const TICK: Duration = Duration::from_millis(5);

/// Where the request path sends what the control loop has to know.
#[derive(Debug, Clone)]
pub struct Reports {
    /// Takes reports for the controller.
    pub messages: mpsc::UnboundedSender<Message>,
    /// Takes new or worse suspicions.
    pub suspects: mpsc::UnboundedSender<Suspect>,
}

/// A server that this node holds.
type HeldKey = (Name, ServerId);

/// What the control loop writes and the request path reads.
pub struct Shared {
    /// Name of this node.
    pub node: Name,
    /// Clock of the process.
    pub clock: Clock,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Where held servers are run.
    pub runtime: Handle,
    /// Where reports go.
    pub reports: Reports,
    /// What all requests of this entry share.
    pub budget: Mutex<EntryState>,
    /// What happened lately to requests.
    pub journal: Journal,
    /// Who owned what when.
    pub history: Mutex<History>,
    /// The routing view.
    view: ArcSwap<View>,
    /// Rises with each change of the view.
    changes: watch::Sender<u64>,
    /// Present incarnation of this node.
    incarnation: AtomicU64,
    /// Revision up to which the node knows every record.
    seen: AtomicU64,
    /// Whether this node is the controller.
    controls: AtomicBool,
    /// Point until which the node's lease holds.
    lease: AtomicU64,
    /// Held servers.
    held: ArcSwap<HashMap<HeldKey, Arc<Held>>>,
    /// Memory of servers that this node does not hold yet.
    pub(crate) staged: StagedMemory,
    /// Links for requests to other nodes.
    links: OnceLock<DataLinks>,
    /// Whether the node has learned the records.
    known: AtomicBool,
    /// Whether the node takes no new requests.
    leaving: AtomicBool,
    /// These tables, for the tasks of held servers.
    me: Weak<Self>,
}

impl Shared {
    /// Creates tables without records and without a lease.
    pub fn new(
        node: Name,
        incarnation: u64,
        clock: Clock,
        metrics: Arc<Metrics>,
        runtime: Handle,
        reports: Reports,
    ) -> Arc<Self> {
        Arc::new_cyclic(|me| Self {
            view: ArcSwap::from_pointee(View::new(node.clone(), incarnation)),
            node,
            incarnation: AtomicU64::new(incarnation),
            clock,
            metrics,
            runtime,
            reports,
            budget: Mutex::default(),
            journal: Journal::new(clock),
            history: Mutex::default(),
            changes: watch::Sender::new(0),
            seen: AtomicU64::new(0),
            controls: AtomicBool::new(false),
            lease: AtomicU64::new(0),
            held: ArcSwap::default(),
            staged: StagedMemory::default(),
            links: OnceLock::new(),
            known: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            me: me.clone(),
        })
    }

    /// Returns the present routing view.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Returns a receiver that is told of each change of the view.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns the present incarnation of this node.
    pub fn incarnation(&self) -> u64 {
        self.incarnation.load(Ordering::Acquire)
    }

    /// Returns the point until which the lease holds.
    pub fn lease(&self) -> Tick {
        Tick(self.lease.load(Ordering::Acquire))
    }

    /// Returns whether the lease holds now.
    pub fn is_leased(&self) -> bool {
        self.clock.now() < self.lease()
    }

    /// Returns the links for requests to other nodes, once they are set.
    pub fn links(&self) -> Option<&DataLinks> {
        self.links.get()
    }

    /// Returns whether the node takes no new requests.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Returns whether the node can answer requests.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.known.load(Ordering::Relaxed)
    }

    /// Returns a held server.
    pub fn held(&self, service: &Name, server: ServerId) -> Option<Arc<Held>> {
        self.held.load().get(&(service.clone(), server)).cloned()
    }

    /// Returns every held server.
    pub fn all_held(&self) -> Vec<Arc<Held>> {
        self.held.load().values().cloned().collect()
    }

    /// Sets the links for requests to other nodes; only the first call has an effect.
    pub fn set_links(&self, links: DataLinks) {
        let _ = self.links.set(links);
    }

    /// Returns the revision up to which the node knows every record.
    pub fn seen(&self) -> u64 {
        self.seen.load(Ordering::Relaxed)
    }

    /// Returns whether this node is the controller.
    pub fn is_controller(&self) -> bool {
        self.controls.load(Ordering::Relaxed)
    }

    /// Sets what the control loop says of the node.
    pub fn set_control(&self, seen: u64, controller: bool) {
        self.seen.store(seen, Ordering::Relaxed);
        self.controls.store(controller, Ordering::Relaxed);
    }

    /// Notes that the node has learned the records.
    pub fn set_known(&self) {
        self.known.store(true, Ordering::Relaxed);
    }

    /// Goes on as another incarnation: what the former one held is given up.
    ///
    /// Called by the control loop only.
    pub fn set_incarnation(&self, incarnation: u64) {
        self.incarnation.store(incarnation, Ordering::Release);
        self.update(self.view().with_incarnation(incarnation));
    }

    /// Notes that the node takes no new requests.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Sets the point until which the lease holds.
    pub fn set_lease(&self, until: Tick) {
        let before = self.lease.swap(until.0, Ordering::AcqRel);
        if before == until.0 {
            return;
        }
        for held in self.held.load().values() {
            held.feed(Input::Lease(until));
        }
    }

    /// Replaces the routing view and brings the held servers into line with it.
    ///
    /// Called by the control loop only.
    pub fn update(&self, view: View) {
        let view = Arc::new(view);
        self.view.store(view.clone());
        self.update_held(&view);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Creates, updates and closes held servers.
    fn update_held(&self, view: &View) {
        let Some(me) = self.me.upgrade() else { return };
        let before = self.held.load_full();
        let mut after = HashMap::new();
        for held::Record { service, server, update } in view.held_servers() {
            let key = (service, server);
            let entry = match before.get(&key) {
                Some(entry) => {
                    entry.feed(Input::Update(Box::new(update)));
                    entry.clone()
                }
                None => Held::start(me.clone(), key.0.clone(), server, update),
            };
            after.insert(key, entry);
        }
        let gone = before.iter().filter(|(key, _)| !after.contains_key(key));
        let gone: Vec<Arc<Held>> = gone.map(|(_, held)| held.clone()).collect();
        let new: Vec<HeldKey> =
            after.keys().filter(|key| !before.contains_key(*key)).cloned().collect();
        self.held.store(Arc::new(after));
        for (service, server) in new {
            let memories = self.staged.take(&(service.clone(), server));
            if let (Some(held), Some(memories)) = (self.held(&service, server), memories) {
                held.feed(Input::DedupState(memories));
            }
        }
        gone.iter().for_each(|held| held.close());
    }
}

impl Serve for Shared {
    fn serve(&self, call: Call) {
        let target = &call.open.target;
        let mine = target.node == self.node && target.incarnation == self.incarnation();
        let held = self.held(&call.open.meta.service, target.server);
        match held.filter(|held| mine && held.is_under(target.term)) {
            Some(held) => held.arrive(call),
            None => {
                self.metrics.count("misrouted");
                call.reply.refuse(Reason::Misrouted);
            }
        }
    }

    fn accept_handover(&self, hand: Handover) {
        Shared::accept_handover(self, hand);
    }
}

/// Tells the held servers that time passes, until the process ends.
pub async fn run_ticks(shared: Arc<Shared>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for held in shared.held.load().values() {
            held.feed(Input::Tick);
        }
    }
}
