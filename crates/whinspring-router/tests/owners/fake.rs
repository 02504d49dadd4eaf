//! A store and servers that judge every grant.

use {
    crate::setup::{headers, settings},
    prost::Message,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        cell::RefCell,
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        task::{LocalSet, spawn_local},
        time::{Instant, sleep, sleep_until},
    },
    whinspring::{
        name::Name,
        routes::{Limits, RouteTable, Service},
    },
    whinspring_http::clock::Clock,
    whinspring_router::{
        control, follow,
        message::Beat,
        node::Node,
        peers,
        platform::{
            Changes, Dialect, Grant, Headers, Kind, Listing, Object, Orders, Reply, ServerEntry,
            Store, StoreError,
        },
        record::OwnersRecord,
        settings::Limits as Bounds,
    },
};

/// Longest time that two servers may hold a key; longer ones would begin work on both.
const OVERLAP: Duration = Duration::from_millis(500);

/// Time that an answer takes.
const WAY: Duration = Duration::from_millis(4);

/// Time from the effect of a slow node's write to its answer.
const SLOW_ANSWER: Duration = Duration::from_millis(1_200);

/// The service whose keys are granted.
pub const SERVICE: &str = "bays";

/// A grant at a server.
#[derive(Debug, Clone)]
struct Held {
    first: u16,
    last: u16,
    since: Instant,
    until: Instant,
}

/// A server.
#[derive(Debug, Default)]
struct Server {
    held: Vec<Held>,
    /// Highest fence seen, by range.
    seen: Vec<(u16, u16, u64)>,
    down: bool,
    /// It refuses connections, but holds on to its keys.
    full: bool,
    dark: bool,
    /// Its entry is in the store.
    listed: bool,
    leaving: bool,
    /// Number of its life, and of the life that its entry tells of.
    born: u8,
    told: u8,
}

impl Server {
    /// Takes the keys of a grant out of what is held.
    fn cut_out(&mut self, grant: &Grant) {
        let mut kept = Vec::new();
        for held in self.held.drain(..) {
            if held.last < grant.first || held.first > grant.last {
                kept.push(held);
                continue;
            }
            if held.first < grant.first {
                kept.push(Held { last: grant.first - 1, ..held.clone() });
            }
            if held.last > grant.last {
                kept.push(Held { first: grant.last + 1, ..held });
            }
        }
        self.held = kept;
    }
}

/// How often orders and calls go wrong, of a hundred.
#[derive(Debug, Clone, Copy, Default)]
pub struct Odds {
    /// Orders without an answer that are carried out later.
    pub late: u32,
    /// Orders that arrive after their sender has given up.
    pub slow: u32,
    /// Writes that are done and not answered.
    pub lost: u32,
}

/// Random numbers of a seed.
pub struct Dice(ChaCha8Rng);

impl Default for Dice {
    fn default() -> Self {
        Self(ChaCha8Rng::seed_from_u64(0))
    }
}

/// All that controllers act on.
#[derive(Default)]
pub struct World {
    pub objects: BTreeMap<(u32, Name), Object>,
    pub revision: u64,
    servers: BTreeMap<Name, Server>,
    /// Nodes that the store does not serve.
    pub cut: Vec<Name>,
    pub store_down: bool,
    /// A node whose writes are not answered until long after they took effect.
    pub slow: Option<Name>,
    /// Node that first wrote owners under each term.
    terms: HashMap<u64, Name>,
    /// Nodes that sent orders, one entry an order.
    pub orders: Vec<Name>,
    pub odds: Odds,
    pub rng: Dice,
    /// What broke.
    pub faults: Vec<String>,
    /// Ends of all grants ever taken: server, range, fence, since, until.
    history: Vec<(Name, Held, u64)>,
}

impl World {
    pub fn new(seed: u64, servers: usize) -> Rc<RefCell<Self>> {
        let server = |index| (name(index), Server { listed: true, ..Server::default() });
        Rc::new(RefCell::new(Self {
            objects: BTreeMap::new(),
            revision: 1,
            servers: (0..servers).map(server).collect(),
            cut: Vec::new(),
            store_down: false,
            slow: None,
            terms: HashMap::new(),
            orders: Vec::new(),
            odds: Odds::default(),
            rng: Dice(ChaCha8Rng::seed_from_u64(seed)),
            faults: Vec::new(),
            history: Vec::new(),
        }))
    }

    /// A server's process ends; its grants are lost with it.
    pub fn crash(&mut self, index: usize) {
        let now = Instant::now();
        let server = self.servers.get_mut(&name(index)).unwrap();
        server.down = true;
        server.held.clear();
        let server = name(index);
        for (_, held, _) in self.history.iter_mut().filter(|(name, ..)| *name == server) {
            held.until = held.until.min(now);
        }
    }

    /// A server starts again under its name and holds nothing; its entry tells of it later.
    pub fn rebear(&mut self, index: usize) {
        self.crash(index);
        let server = self.servers.get_mut(&name(index)).unwrap();
        server.seen.clear();
        server.down = false;
        server.born += 1;
    }

    /// The entry of a server tells of its present life.
    pub fn announce(&mut self, index: usize) {
        let server = self.servers.get_mut(&name(index)).unwrap();
        server.told = server.born;
    }

    /// A server answers nobody, but holds on to its keys.
    pub fn darken(&mut self, index: usize, dark: bool) {
        self.servers.get_mut(&name(index)).unwrap().dark = dark;
    }

    /// A server refuses connections, but holds on to its keys.
    pub fn fill(&mut self, index: usize) {
        self.servers.get_mut(&name(index)).unwrap().full = true;
    }

    /// A server ends, and another one gets its address; that one takes orders meant for the first.
    pub fn replace(&mut self, index: usize) {
        self.crash(index);
        let next = Server { listed: true, ..Server::default() };
        self.servers.insert(successor(index), next);
    }

    /// Returns the server that has an address now.
    fn at(&self, addr: SocketAddr) -> Name {
        let index = usize::from(addr.port() - 1_000);
        let next = successor(index);
        if self.servers.contains_key(&next) { next } else { name(index) }
    }

    /// A server's entry goes or comes back.
    pub fn list(&mut self, index: usize, listed: bool) {
        self.servers.get_mut(&name(index)).unwrap().listed = listed;
    }

    /// A server says that it leaves.
    pub fn leave(&mut self, index: usize) {
        self.servers.get_mut(&name(index)).unwrap().leaving = true;
    }

    /// Keys that a server holds now, as a share of all.
    pub fn share(&self, index: usize) -> f64 {
        let now = Instant::now();
        let held = self.servers[&name(index)].held.iter().filter(|held| held.until > now);
        held.map(|held| f64::from(held.last - held.first) + 1.0).sum::<f64>() / 65_536.0
    }

    /// Entries of the servers.
    pub fn entries(&self) -> Vec<Object> {
        let listed = self.servers.iter().filter(|(_, server)| server.listed);
        let object = |(name, server): (&Name, &Server)| Object {
            name: name.clone(),
            revision: self.revision,
            value: vec![u8::from(server.leaving), server.told],
        };
        listed.map(object).collect()
    }

    /// Returns what is lost of a call of a node, if anything.
    fn refuses(&self, node: &Name) -> bool {
        self.store_down || self.cut.contains(node)
    }

    /// Carries a grant out at a server.
    fn take(&mut self, target: &Name, grant: &Grant, arrived: Instant) -> Reply {
        let now = Instant::now();
        let server = self.servers.get_mut(target).unwrap();
        if server.down || server.full {
            return Reply::Down;
        }
        let over = |first: u16, last: u16| first <= grant.last && last >= grant.first;
        if server
            .seen
            .iter()
            .any(|(first, last, fence)| over(*first, *last) && *fence > grant.fence)
        {
            return Reply::Fenced;
        }
        server.seen.push((grant.first, grant.last, grant.fence));
        let until = arrived + grant.hold + grant.hold / 50;
        if until <= now {
            return Reply::Done(None);
        }
        let held = Held { first: grant.first, last: grant.last, since: now, until };
        server.cut_out(grant);
        server.held.push(held.clone());
        self.judge(target, grant, until);
        self.history.push((target.clone(), held, grant.fence));
        Reply::Done(None)
    }

    /// Judges a grant that was taken.
    fn judge(&mut self, target: &Name, grant: &Grant, until: Instant) {
        let over = |held: &Held| held.first <= grant.last && held.last >= grant.first;
        let others = self.history.iter().filter(|(name, held, _)| name != target && over(held));
        for (name, held, fence) in others {
            if *fence >= grant.fence {
                self.faults.push(format!(
                    "{target} took {}..={} with fence {}, {name} had it with {fence} since {:?}",
                    grant.first, grant.last, grant.fence, held.since
                ));
                return;
            }
        }
        let now = Instant::now();
        for (name, server) in self.servers.iter().filter(|(name, _)| *name != target) {
            let held =
                server.held.iter().find(|held| over(held) && held.until.min(until) > now + OVERLAP);
            if let Some(held) = held {
                self.faults.push(format!(
                    "{target} took {}..={}, {name} holds {}..={}",
                    grant.first, grant.last, held.first, held.last
                ));
            }
        }
    }

    /// Writes an object; returns its revision, `None` if the answer is lost.
    fn store(
        &mut self,
        kind: Kind,
        node: &Name,
        name: &str,
        expect: u64,
        value: &[u8],
    ) -> Result<Option<u64>, StoreError> {
        if self.refuses(node) {
            return Err(StoreError::Silent);
        }
        let key = (kind.number(), Name::from(name));
        let known = self.objects.get(&key).map_or(0, |object| object.revision);
        if known != expect {
            return Err(StoreError::Conflict);
        }
        self.revision += 1;
        let revision = self.revision;
        let object = Object { name: name.into(), revision, value: value.to_vec() };
        self.objects.insert(key, object);
        self.judge_writer(kind, node, value);
        let lost = self.rng.0.random_ratio(self.odds.lost, 100);
        Ok((!lost).then_some(revision))
    }

    /// Judges who wrote owners: under each term one node only.
    fn judge_writer(&mut self, kind: Kind, node: &Name, value: &[u8]) {
        if kind != Kind::Owners {
            return;
        }
        let term = OwnersRecord::decode(value).unwrap().term;
        let first = self.terms.entry(term).or_insert_with(|| node.clone());
        if first != node {
            self.faults.push(format!("{node} wrote under term {term} of {first}"));
        }
    }

    /// Carries a release out at a server.
    fn give_up(&mut self, target: &Name, grant: &Grant) -> Reply {
        let server = self.servers.get_mut(target).unwrap();
        if server.down {
            return Reply::Down;
        }
        server.cut_out(grant);
        Reply::Done(Some("token".into()))
    }
}

/// Returns the name of a server.
pub fn name(index: usize) -> Name {
    Name::from(format!("s{index:02}"))
}

/// Returns the name of the server that gets the address of another.
pub fn successor(index: usize) -> Name {
    Name::from(format!("r{index:02}"))
}

/// Returns the address of a server.
fn addr(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + index as u16))
}

/// The platform as one node sees it.
pub struct Platform {
    pub world: Rc<RefCell<World>>,
    node: Name,
    headers: Headers,
}

impl Platform {
    /// Gives an order, which may go wrong.
    async fn order(
        &self,
        addr: SocketAddr,
        grant: &Grant,
        act: fn(&mut World, &Name, &Grant, Instant) -> Reply,
    ) -> Reply {
        let target = self.world.borrow().at(addr);
        let arrived = Instant::now();
        let (dark, slow, delay) = {
            let mut world = self.world.borrow_mut();
            world.orders.push(self.node.clone());
            let Odds { late, slow, .. } = world.odds;
            let late = world.rng.0.random_ratio(late, 100);
            let slow = world.rng.0.random_ratio(slow, 100);
            let delay = world.rng.0.random_range(if slow { 550..900 } else { 2_000..12_000 });
            let delay = (late || slow).then(|| Duration::from_millis(delay));
            (world.servers[&target].dark, slow, delay)
        };
        if dark {
            sleep(Duration::from_millis(500)).await;
            return Reply::Unsent;
        }
        if let Some(delay) = delay {
            let (world, grant) = (self.world.clone(), grant.clone());
            spawn_local(async move {
                sleep(delay).await;
                let arrived = if slow { Instant::now() } else { arrived };
                act(&mut world.borrow_mut(), &target, &grant, arrived);
            });
            sleep(Duration::from_millis(500)).await;
            return Reply::Silent;
        }
        sleep(WAY).await;
        act(&mut self.world.borrow_mut(), &target, grant, arrived)
    }
}

impl Orders for Platform {
    async fn grant(&self, addr: SocketAddr, grant: &Grant) -> Reply {
        self.order(addr, grant, |world, name, grant, at| world.take(name, grant, at)).await
    }

    async fn release(&self, addr: SocketAddr, grant: &Grant) -> Reply {
        self.order(addr, grant, |world, name, grant, _| world.give_up(name, grant)).await
    }
}

impl Store for Platform {
    async fn list(&self, kind: Kind) -> Result<Listing, StoreError> {
        sleep(WAY).await;
        let world = self.world.borrow();
        if world.refuses(&self.node) {
            return Err(StoreError::Silent);
        }
        let items = world.objects.iter().filter(|((number, _), _)| *number == kind.number());
        let items = items.map(|(_, object)| object.clone()).collect();
        Ok(Listing { revision: world.revision, items })
    }

    async fn watch(&self, _: Kind, revision: u64, wait: Duration) -> Result<Changes, StoreError> {
        sleep(wait).await;
        Ok(Changes { revision, events: Vec::new() })
    }

    async fn read(&self, kind: Kind, name: &str) -> Result<Option<Object>, StoreError> {
        sleep(WAY).await;
        let world = self.world.borrow();
        if world.refuses(&self.node) {
            return Err(StoreError::Silent);
        }
        Ok(world.objects.get(&(kind.number(), name.into())).cloned())
    }

    async fn write(
        &self,
        kind: Kind,
        name: &str,
        expect: u64,
        value: &[u8],
    ) -> Result<u64, StoreError> {
        sleep(WAY).await;
        let revision = self.world.borrow_mut().store(kind, &self.node, name, expect, value)?;
        let slow = self.world.borrow().slow.as_ref() == Some(&self.node);
        if slow {
            sleep(SLOW_ANSWER).await;
            return Err(StoreError::Silent);
        }
        revision.ok_or(StoreError::Silent)
    }
}

impl Dialect for Platform {
    fn headers(&self) -> &Headers {
        &self.headers
    }

    fn ready_path(&self) -> &str {
        "/ready"
    }

    fn routes(&self, _: &Object) -> Option<RouteTable> {
        None
    }

    fn server(&self, object: &Object) -> Option<ServerEntry> {
        let index: usize = object.name[1..].parse().ok()?;
        Some(ServerEntry {
            service: SERVICE.into(),
            addr: addr(index),
            domain: "a".into(),
            slots: 2,
            leaving: object.value[0] == 1,
            cold: Duration::ZERO,
            born: object.value[1].into(),
        })
    }
}

/// Starts a node whose controller runs; it hears of others only through [`tell`].
pub fn start(world: &Rc<RefCell<World>>, node: &str) -> Rc<Node<Platform>> {
    start_with(world, node, Bounds::default())
}

/// Starts a node with bounds of its own.
pub fn start_with(world: &Rc<RefCell<World>>, node: &str, limits: Bounds) -> Rc<Node<Platform>> {
    let platform = Platform { world: world.clone(), node: node.into(), headers: headers() };
    let settings = settings(node, limits);
    let node = Node::new(platform, settings, Clock::from_runtime());
    node.note_store(true);
    let services = HashMap::from([(Name::from(SERVICE), Service { keyed: true })]);
    let table = RouteTable::new(1, Vec::new(), services, Limits::default());
    node.beliefs.borrow_mut().routes = Some(Arc::new(table));
    see_servers(&node);
    spawn_local(control::run(node.clone()));
    spawn_local(watch_servers(node.clone()));
    node
}

/// Shows a node the servers' entries as they are now.
fn see_servers(node: &Rc<Node<Platform>>) {
    let listing = {
        let mut world = node.platform.world.borrow_mut();
        world.revision += 1;
        Listing { revision: world.revision, items: world.entries() }
    };
    follow::replace(node, Kind::Servers, listing);
}

/// Shows a node the servers' entries for ever, unless the store does not serve it.
async fn watch_servers(node: Rc<Node<Platform>>) {
    loop {
        sleep(Duration::from_millis(200)).await;
        let cut = node.platform.world.borrow().refuses(node.name());
        if !cut {
            see_servers(&node);
            node.note_store(true);
        }
        let now = node.now();
        node.beliefs.borrow_mut().sweep(now, node.store_back.get());
    }
}

/// Lets nodes hear each other for ever, each unless `deaf` holds.
pub async fn tell(nodes: Vec<Rc<Node<Platform>>>, deaf: Rc<RefCell<bool>>) {
    loop {
        sleep(Duration::from_millis(250)).await;
        if *deaf.borrow() {
            continue;
        }
        for from in &nodes {
            let beat = beat_of(from);
            for to in nodes.iter().filter(|to| to.name() != from.name()) {
                to.control.borrow_mut().hear(to.now(), from.name(), &beat);
                peers::meet(to, from.name(), beat.addr.parse().unwrap());
                let now = to.now();
                let mut peers = to.peers.borrow_mut();
                peers.nodes.get_mut(from.name()).unwrap().hear(now, &beat, now);
            }
        }
    }
}

/// Returns the sign of life of a node.
fn beat_of(node: &Rc<Node<Platform>>) -> Beat {
    let control = node.control.borrow();
    Beat {
        node: node.name().to_string(),
        incarnation: node.incarnation,
        term: control.term(),
        addr: node.settings.advertised.to_string(),
        every: 250,
        share: node.settings.limits.share_percent,
        leads: control.leads(),
        leaving: node.leaving.get(),
        store_age: node.now().since(node.store_heard.get()).as_millis() as u32,
        ..Beat::default()
    }
}

/// Waits until the runtime's time has moved on by so many milliseconds.
pub async fn pass(ms: u64) {
    sleep_until(Instant::now() + Duration::from_millis(ms)).await;
}

/// Runs work on the runtime's own time, which moves on when all wait.
pub fn on_moved_time<F: Future>(seed: u64, work: F) -> F::Output {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().start_paused(true).build().unwrap();
    fastrand::seed(seed);
    LocalSet::new().block_on(&runtime, work)
}
