//! Whether requests reach servers that have said that they leave, over drawn sequences of what nodes
//! hear of it: in the store, from each other and from the servers.
//!
//! The nodes run the real code that follows the store, on a clock that only the test moves. A seed
//! draws when servers leave, when nodes are cut off from the store or start, when the store comes
//! back from an older copy, and what nodes tell each other and how late.

use {
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    setup::{headers, settings},
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        sync::Notify,
        task::{JoinHandle, LocalSet, spawn_local},
        time::{Instant, sleep, timeout},
    },
    whinspring::{
        name::Name,
        notices::{Purpose, Source},
        routes::RouteTable,
    },
    whinspring_http::clock::Clock,
    whinspring_router::{
        follow,
        message::{Item, ServerNotice, Snapshot},
        node::Node,
        notices,
        platform::{
            Answer, Changes, Dialect, Grant, Headers, Kind, Listing, Object, Position, Reply,
            ServerControl, ServerEntry, Store, StoreError, Word,
        },
        settings::Limits,
    },
};

#[path = "support/setup.rs"]
mod setup;

/// Number of seeds, unless the variable [`SEEDS_VAR`] sets another.
const SEEDS: u64 = 300;

/// Further seeds that once broke the rule.
const REGRESSIONS: &[u64] = &[1_153];

const SEEDS_VAR: &str = "WHINSPRING_NOTICE_SEEDS";

const SERVERS: usize = 4;

/// The first servers, which do not say in their responses that they leave.
const SILENT_SERVERS: usize = 2;

const NODES: usize = 3;

/// Time in which a leaving server may get requests, as in the nodes' settings.
const DRAIN: Duration = Duration::from_millis(2_000);

const STEPS: usize = 300;

/// Longest time of a cut.
const MAX_CUT: Duration = Duration::from_millis(4_000);

/// Longest time in which a node that starts is told by the others which servers leave.
const MAX_GREETING: Duration = Duration::from_millis(1_500);

/// Time after which a call to the store fails that gets no response.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// States of an entry, its first byte.
const READY: u8 = 0;
const DRAINING: u8 = 1;
const MALFORMED_DRAINING: u8 = 2;

type Entries = BTreeMap<Name, (u64, Vec<u8>)>;

/// The store, with the copies from which it may come back.
#[derive(Default)]
struct World {
    era: u64,
    revision: u64,
    entries: Entries,
    /// Changes since `floor`, by revision; `None` for a removed entry.
    history: BTreeMap<u64, (Name, Option<Vec<u8>>)>,
    /// Revision up to which the history is gone.
    floor: u64,
    /// The state after each change, by time.
    copies: Vec<(Instant, u64, Entries)>,
    /// When each server first told the store that it leaves.
    acks: HashMap<Name, Instant>,
}

impl World {
    fn write(&mut self, name: &Name, value: Option<Vec<u8>>) {
        self.revision += 1;
        match &value {
            Some(value) => self.entries.insert(name.clone(), (self.revision, value.clone())),
            None => self.entries.remove(name),
        };
        if value.as_ref().is_none_or(|value| value[0] != READY) {
            self.acks.entry(name.clone()).or_insert_with(Instant::now);
        }
        self.history.insert(self.revision, (name.clone(), value));
        self.copies.push((Instant::now(), self.revision, self.entries.clone()));
    }

    /// Comes back from a copy that is `age` old, in a new era.
    fn restore(&mut self, age: Duration) {
        let now = Instant::now();
        let Some(copy) = self.copies.iter().rev().find(|(at, ..)| now - *at >= age) else { return };
        (self.revision, self.entries) = (copy.1, copy.2.clone());
        self.copies.clear();
        self.era += 1;
        self.floor = self.revision;
        self.history.clear();
    }

    fn position(&self) -> Position {
        Position::new(self.era, self.revision)
    }

    fn object(&self, name: &Name, revision: u64, value: &[u8]) -> Object {
        Object {
            name: name.clone(),
            position: Position::new(self.era, revision),
            value: value.into(),
        }
    }
}

/// The store as one node reaches it.
struct Platform {
    world: Rc<RefCell<World>>,
    changed: Rc<Notify>,
    /// Whether calls of this node get no response.
    cut: Rc<Cell<bool>>,
    era: Cell<u64>,
    headers: Headers,
}

impl Platform {
    fn check_era(&self) {
        self.era.set(self.era.get().max(self.world.borrow().era));
    }

    /// Returns the changes after a position, or `None` if there are none.
    fn changes(&self, position: Position) -> Option<Result<Changes, StoreError>> {
        self.check_era();
        let world = self.world.borrow();
        if position.era != world.era {
            return Some(Err(StoreError::EraEnded));
        }
        if position.revision < world.floor {
            return Some(Err(StoreError::Compacted));
        }
        let event = |(revision, (name, value)): (&u64, &(Name, Option<Vec<u8>>))| {
            let bytes = value.clone().unwrap_or_default();
            (world.object(name, *revision, &bytes), value.is_none())
        };
        let events: Vec<_> = world.history.range(position.revision + 1..).map(event).collect();
        (!events.is_empty()).then(|| Ok(Changes { position: world.position(), events }))
    }
}

impl Store for Platform {
    fn era(&self) -> u64 {
        self.era.get()
    }

    fn raise_era(&self, era: u64) {
        self.era.set(self.era.get().max(era));
    }

    async fn list(&self, _: Kind) -> Result<Listing, StoreError> {
        if self.cut.get() {
            sleep(CALL_TIMEOUT).await;
            return Err(StoreError::NoResponse);
        }
        self.check_era();
        let world = self.world.borrow();
        let item = |(name, (revision, value)): (&Name, &(u64, Vec<u8>))| {
            world.object(name, *revision, value)
        };
        let items = world.entries.iter().map(item).collect();
        Ok(Listing { position: world.position(), items })
    }

    /// A watch that is cut gets no response any more.
    async fn watch(
        &self,
        _: Kind,
        position: Position,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        let wait_for_changes = async {
            loop {
                let changed = self.changed.notified();
                if self.cut.get() {
                    std::future::pending::<()>().await;
                }
                if let Some(changes) = self.changes(position) {
                    return changes;
                }
                changed.await;
            }
        };
        match timeout(wait, wait_for_changes).await {
            Ok(changes) => changes,
            Err(_) if self.cut.get() => Err(StoreError::NoResponse),
            Err(_) => Ok(Changes { position, events: Vec::new() }),
        }
    }

    async fn read(&self, _: Kind, _: &str) -> Result<Option<Object>, StoreError> {
        Err(StoreError::NoResponse)
    }

    async fn write(&self, _: Kind, _: &str, _: Position, _: &[u8]) -> Result<Position, StoreError> {
        Err(StoreError::NoResponse)
    }
}

impl ServerControl for Platform {
    async fn grant(&self, _: SocketAddr, _: &Grant) -> Answer {
        Reply::Unsent.into()
    }

    async fn release(&self, _: SocketAddr, _: &Grant) -> Answer {
        Reply::Unsent.into()
    }
}

impl Dialect for Platform {
    fn headers(&self) -> &Headers {
        &self.headers
    }

    fn ready_path(&self) -> &str {
        "/ready"
    }

    fn parse_routes(&self, _: &Object) -> Option<RouteTable> {
        None
    }

    fn parse_server(&self, object: &Object) -> Option<ServerEntry> {
        if object.value[0] == MALFORMED_DRAINING {
            return None;
        }
        Some(ServerEntry {
            service: "bays".into(),
            addr: ([10, 0, 0, 1], 80).into(),
            domain: "a".into(),
            slots: 2,
            leaving: object.value[0] == DRAINING,
            warmup: Duration::ZERO,
            start_ms: 0,
        })
    }

    fn is_leaving(&self, object: &Object) -> bool {
        object.value[0] != READY
    }
}

/// A node and what it was told.
struct TestNode {
    node: Rc<Node<Platform>>,
    cut: Rc<Cell<bool>>,
    tasks: Vec<JoinHandle<()>>,
    /// When it first read of each server that it leaves, in a response.
    heard: HashMap<Name, Instant>,
    /// Requests on their way to a connection: the server, and when they are written.
    opening: Vec<(Name, Instant)>,
}

impl TestNode {
    fn start(number: usize, world: &Rc<RefCell<World>>, changed: &Rc<Notify>) -> Self {
        let cut = Rc::new(Cell::new(false));
        let platform = Platform {
            world: world.clone(),
            changed: changed.clone(),
            cut: cut.clone(),
            era: Cell::default(),
            headers: headers(),
        };
        let settings = settings(&format!("n{number}"), Limits::default());
        let node = Node::new(platform, settings, Clock::from_runtime());
        let follower = {
            let node = node.clone();
            spawn_local(async move { follow::run(node, Kind::Servers).await })
        };
        let sweeper = {
            let node = node.clone();
            spawn_local(async move { follow::sweep(node).await })
        };
        let tasks = vec![follower, sweeper];
        Self { node, cut, tasks, heard: HashMap::new(), opening: Vec::new() }
    }

    fn check(&self, server: &Name, purpose: Purpose) -> bool {
        let known = self.node.view.borrow().servers.contains_key(server);
        known && notices::check(&self.node, server, purpose, self.node.now()).is_ok()
    }

    /// Returns whether it was told in any way that the entry of a server says that it leaves.
    fn is_told(&self, server: &Name) -> bool {
        let is_draining =
            |item: &Item| item.name == server.as_str() && item.value.first() != Some(&READY);
        self.node.view.borrow().snapshot(Kind::Servers).items.iter().any(is_draining)
    }

    fn close(self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// What one node sends to another.
enum Told {
    Snapshot(Snapshot),
    Notice(ServerNotice),
}

/// Servers, the store, and nodes, with what is on its way between them.
struct Scene {
    random: ChaCha8Rng,
    world: Rc<RefCell<World>>,
    changed: Rc<Notify>,
    nodes: Vec<TestNode>,
    /// When each server began to leave.
    leaving: HashMap<Name, Instant>,
    /// Entries that servers are about to write, and when.
    writes: Vec<(Instant, Name, Option<Vec<u8>>)>,
    /// Messages between nodes, with the recipient and when they arrive.
    messages: Vec<(Instant, usize, Told)>,
    /// Cuts that end, with the node.
    cuts: Vec<(Instant, usize)>,
}

impl Scene {
    fn new(seed: u64) -> Self {
        let world = Rc::new(RefCell::new(World::default()));
        let changed = Rc::new(Notify::new());
        for number in 0..SERVERS {
            world.borrow_mut().write(&server_name(number), Some(vec![READY]));
        }
        let nodes = (0..NODES).map(|number| TestNode::start(number, &world, &changed)).collect();
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            world,
            changed,
            nodes,
            leaving: HashMap::new(),
            writes: Vec::new(),
            messages: Vec::new(),
            cuts: Vec::new(),
        }
    }

    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }

    /// Lets one thing happen.
    fn draw(&mut self) {
        let node = self.random.random_range(0..NODES);
        let server = server_name(self.random.random_range(0..SERVERS));
        match self.random.random_range(0..1_000) {
            0..8 => self.leave(server),
            8..16 => self.cut(node),
            16..18 => self.restart(node),
            18..21 => self.restore(),
            21..24 => self.world.borrow_mut().compact(),
            24..60 => self.tell(node),
            60..70 => self.rewrite(server),
            _ => {}
        }
    }

    /// A server begins to leave; the store hears of it at once, later or never.
    fn leave(&mut self, server: Name) {
        if self.leaving.contains_key(&server) {
            return;
        }
        let now = Instant::now();
        self.leaving.insert(server.clone(), now);
        let value = match self.random.random_range(0..6) {
            0 => return,
            1 => None,
            2 => Some(vec![MALFORMED_DRAINING]),
            _ => Some(vec![DRAINING]),
        };
        let at = now + self.millis(0..1_500);
        self.writes.push((at, server, value));
    }

    /// A server that the store has lost the notice of writes it again; others write what they are.
    fn rewrite(&mut self, server: Name) {
        let listed = self.world.borrow().entries.get(&server).map(|(_, value)| value.clone());
        let acked = self.world.borrow().acks.contains_key(&server);
        match listed {
            Some(value) if acked && value[0] == READY => self.write(&server, Some(vec![DRAINING])),
            Some(value) => self.write(&server, Some(value)),
            None => {}
        }
    }

    fn write(&mut self, server: &Name, value: Option<Vec<u8>>) {
        self.world.borrow_mut().write(server, value);
        self.changed.notify_waiters();
    }

    fn cut(&mut self, node: usize) {
        let until = Instant::now() + self.millis(300..MAX_CUT.as_millis() as u64);
        self.nodes[node].cut.set(true);
        self.cuts.push((until, node));
    }

    fn restart(&mut self, node: usize) {
        let fresh = TestNode::start(node, &self.world, &self.changed);
        std::mem::replace(&mut self.nodes[node], fresh).close();
        self.messages.retain(|(_, to, _)| *to != node);
        for from in (0..NODES).filter(|from| *from != node).collect::<Vec<_>>() {
            let at = Instant::now() + self.millis(300..MAX_GREETING.as_millis() as u64);
            let notices = notices::known(&self.nodes[from].node, |_| true);
            let kind = Kind::Servers.number();
            let snapshot = Snapshot { kind, notices, ..Snapshot::default() };
            self.messages.push((at, node, Told::Snapshot(snapshot)));
        }
    }

    fn restore(&mut self) {
        let age = self.millis(200..4_000);
        self.world.borrow_mut().restore(age);
        self.changed.notify_waiters();
    }

    /// A node sends what it knows to another, over a link that may be slow.
    fn tell(&mut self, from: usize) {
        let to = (from + 1 + self.random.random_range(0..NODES - 1)) % NODES;
        let at = Instant::now() + self.millis(1..300);
        let snapshot = follow::snapshot(&self.nodes[from].node, Kind::Servers);
        self.messages.push((at, to, Told::Snapshot(snapshot)));
    }

    /// Delivers what is due.
    fn deliver(&mut self) {
        let now = Instant::now();
        for (_, server, value) in
            self.writes.extract_if(.., |(at, ..)| *at <= now).collect::<Vec<_>>()
        {
            self.write(&server, value);
        }
        for (_, to, told) in self.messages.extract_if(.., |(at, ..)| *at <= now).collect::<Vec<_>>()
        {
            match told {
                Told::Snapshot(snapshot) => follow::adopt_snapshot(&self.nodes[to].node, snapshot),
                Told::Notice(notice) => notices::apply_hint(&self.nodes[to].node, notice),
            }
        }
        for (_, node) in self.cuts.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>() {
            self.nodes[node].cut.set(false);
        }
    }

    /// Lets nodes begin requests and write those whose connections are open.
    fn send(&mut self, seed: u64) {
        let now = Instant::now();
        for number in 0..NODES {
            for server in (0..SERVERS).map(server_name) {
                if self.random.random_range(0..3) == 0
                    && self.nodes[number].check(&server, Purpose::Start)
                {
                    let at = now + self.millis(0..500);
                    self.nodes[number].opening.push((server, at));
                }
            }
            let opening = &mut self.nodes[number].opening;
            let due: Vec<_> = opening.extract_if(.., |(_, at)| *at <= now).collect();
            for (server, _) in due {
                if self.nodes[number].check(&server, Purpose::Write) {
                    self.written(seed, number, &server);
                }
            }
        }
    }

    /// Checks a request that is written, and lets the node read the response.
    fn written(&mut self, seed: u64, number: usize, server: &Name) {
        let now = Instant::now();
        let test_node = &mut self.nodes[number];
        if let Some(heard) = test_node.heard.get(server) {
            let late = now - *heard;
            assert!(late <= DRAIN, "seed {seed}: {server} got a request {late:?} after its word");
        }
        let acked = self.world.borrow().acks.get(server).copied();
        if let Some(acked) = acked.filter(|_| test_node.is_told(server)) {
            let late = now - acked;
            assert!(
                late <= DRAIN,
                "seed {seed}: {server} got a request of n{number} {late:?} after the store had its notice"
            );
        }
        let is_silent = (0..SILENT_SERVERS).any(|number| *server == server_name(number));
        if is_silent || !self.leaving.contains_key(server) {
            return;
        }
        let is_news = test_node.heard.insert(server.clone(), now).is_none();
        let life = test_node.node.view.borrow().servers[server].life();
        let word = Word { leaving: true, wait: None };
        notices::hear(&test_node.node, server, life, word, Source::Response);
        if is_news {
            self.announce(number, server);
        }
    }

    /// A node tells the others what it has read; some messages are lost.
    fn announce(&mut self, from: usize, server: &Name) {
        for to in (0..NODES).filter(|to| *to != from).collect::<Vec<_>>() {
            if self.random.random_range(0..4) == 0 {
                continue;
            }
            let life = self.nodes[from].node.view.borrow().servers[server].life();
            let notice = ServerNotice {
                server: server.to_string(),
                start_ms: life.start_ms,
                addr: life.addr.to_string(),
                age_ms: 0,
                relay: false,
            };
            let at = Instant::now() + self.millis(1..300);
            self.messages.push((at, to, Told::Notice(notice)));
        }
    }
}

impl World {
    /// Discards the history.
    fn compact(&mut self) {
        self.floor = self.revision;
        self.history.clear();
    }
}

fn server_name(number: usize) -> Name {
    format!("s{number}").into()
}

async fn play(seed: u64) {
    let mut scene = Scene::new(seed);
    for _ in 0..STEPS {
        let step = scene.millis(20..80);
        sleep(step).await;
        scene.draw();
        scene.deliver();
        scene.send(seed);
    }
    scene.nodes.into_iter().for_each(TestNode::close);
}

#[test]
fn a_server_that_has_said_that_it_leaves_gets_no_late_request() {
    let seeds = std::env::var(SEEDS_VAR).map_or(SEEDS, |text| text.parse().unwrap());
    for seed in (0..seeds).chain(REGRESSIONS.iter().copied()) {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        let runtime = builder.enable_time().start_paused(true).build().unwrap();
        LocalSet::new().block_on(&runtime, play(seed));
    }
}
