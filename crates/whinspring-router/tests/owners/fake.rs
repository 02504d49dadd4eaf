//! A fake store and fake servers that check every grant.

use {
    crate::setup::{headers, settings},
    prost::Message,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, HashMap},
        io,
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
        limits::Rate,
        name::Name,
        ranges::{Instance, Ownership},
        routes::{Limits, RouteTable, Service},
    },
    whinspring_http::clock::Clock,
    whinspring_router::{
        control, follow,
        message::Heartbeat,
        node::Node,
        peers,
        platform::{
            Answer, Changes, Dialect, Grant, Headers, Kind, Listing, Object, Position, Reply,
            ServerControl, ServerEntry, Store, StoreError, Word,
        },
        reach,
        record::{ControlRecord, OwnersRecord},
        settings::{Limits as NodeLimits, Settings},
    },
};

/// Longest time for which two servers may hold a key. With a longer overlap both would begin work.
const MAX_OVERLAP: Duration = Duration::from_millis(500);

const RESPONSE_DELAY: Duration = Duration::from_millis(4);

/// Time after which a connection that does not open is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time from the effect of a slow node's write to its response.
const SLOW_RESPONSE_DELAY: Duration = Duration::from_millis(1_200);

/// The service whose keys are granted.
pub const SERVICE: &str = "bays";

/// A lease at a server.
#[derive(Debug, Clone)]
struct Held {
    first: u16,
    last: u16,
    since: Instant,
    until: Instant,
}

#[derive(Debug, Default)]
struct Server {
    held: Vec<Held>,
    /// Highest fencing token seen, by range.
    seen: Vec<(u16, u16, u64)>,
    down: bool,
    /// Whether it refuses connections although it keeps its keys.
    refusing: bool,
    unreachable: bool,
    /// Whether its entry is in the store.
    listed: bool,
    leaving: bool,
    /// Number of its instance, and of the instance that its entry names.
    instance: u8,
    entry_instance: u8,
}

impl Server {
    /// Returns whether no connection to it can be opened.
    fn is_down(&self) -> bool {
        self.down || self.refusing
    }

    /// Removes the keys of a grant from the leases.
    fn remove_keys(&mut self, grant: &Grant) {
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

/// Percentages of commands and calls that fail.
#[derive(Debug, Clone, Copy, Default)]
pub struct FaultRates {
    /// Commands without a response that are carried out later.
    pub late: u32,
    /// Commands that arrive after their sender has timed out.
    pub slow: u32,
    /// Writes that take effect without a response.
    pub lost: u32,
    /// Writes without a response that take effect later if their condition still holds.
    pub stray: u32,
}

/// Longest time after the return of the store until a server has written its entry again.
const REWRITE_DELAY_MS: u64 = 2_000;

/// The store as it was at an instant.
#[derive(Debug, Clone)]
struct Copy {
    at: Instant,
    objects: BTreeMap<(u32, Name), (u64, Vec<u8>)>,
    revision: u64,
}

/// The entries of the servers as they were at an instant.
#[derive(Debug, Clone)]
struct EntryCopy {
    at: Instant,
    values: BTreeMap<Name, Vec<u8>>,
}

/// What the copy has of a server's entry, until the server writes it again.
#[derive(Debug, Clone)]
struct StaleEntry {
    until: Instant,
    value: Option<Vec<u8>>,
}

pub struct SeededRng(ChaCha8Rng);

impl Default for SeededRng {
    fn default() -> Self {
        Self(ChaCha8Rng::seed_from_u64(0))
    }
}

/// The store, the servers and the faults that all nodes share.
#[derive(Default)]
pub struct World {
    objects: BTreeMap<(u32, Name), (u64, Vec<u8>)>,
    pub revision: u64,
    /// Number of times that the store came back from a copy.
    pub era: u64,
    copies: Vec<Copy>,
    entry_copies: Vec<EntryCopy>,
    stale: BTreeMap<Name, StaleEntry>,
    servers: BTreeMap<Name, Server>,
    /// Nodes that the store does not respond to.
    pub cut_off: Vec<Name>,
    /// Nodes that reach no server.
    pub pathless: Vec<Name>,
    /// Server that some nodes do not reach, and these.
    pub unreached: Option<(Name, Vec<Name>)>,
    /// Whether their connections are refused; otherwise these do not open.
    pub refuses_pathless: bool,
    pub store_down: bool,
    /// Whether nodes learn the owners from each other with the heartbeats.
    pub shares_owners: bool,
    /// A node whose writes get a response long after they took effect.
    pub slow: Option<Name>,
    /// Node that first wrote owners in each term.
    terms: HashMap<u64, Name>,
    /// Sender of each command.
    pub commands: Vec<Name>,
    /// Number of commands sent to each server.
    sent_to: HashMap<Name, usize>,
    /// When each node opened its connection to each server.
    conns: HashMap<(Name, Name), Instant>,
    /// Number of commands that each server is carrying out, and the most at any server so far.
    in_flight: HashMap<Name, usize>,
    pub most_in_flight: usize,
    pub fault_rates: FaultRates,
    /// A server that says in its responses that it leaves.
    pub speaking: Option<Name>,
    /// Servers and nodes that are in the failure domain `b` instead of `a`.
    pub far: Vec<Name>,
    /// Node that the others do not hear, and that does not hear them.
    pub split_off: Option<Name>,
    /// Whether the failure domains are cut off from each other, and `b` from the store. Connections
    /// between them are refused.
    pub is_split: bool,
    pub rng: SeededRng,
    /// Violations found.
    pub faults: Vec<String>,
    /// All leases ever granted: server, lease, fencing token.
    history: Vec<(Name, Held, u64)>,
}

impl World {
    pub fn new(seed: u64, servers: usize) -> Rc<RefCell<Self>> {
        let server = |index| (name(index), Server { listed: true, ..Server::default() });
        Rc::new(RefCell::new(Self {
            objects: BTreeMap::new(),
            revision: 1,
            era: 0,
            copies: Vec::new(),
            entry_copies: Vec::new(),
            stale: BTreeMap::new(),
            servers: (0..servers).map(server).collect(),
            cut_off: Vec::new(),
            pathless: Vec::new(),
            unreached: None,
            refuses_pathless: false,
            store_down: false,
            shares_owners: false,
            slow: None,
            terms: HashMap::new(),
            commands: Vec::new(),
            sent_to: HashMap::new(),
            conns: HashMap::new(),
            in_flight: HashMap::new(),
            most_in_flight: 0,
            fault_rates: FaultRates::default(),
            speaking: None,
            far: Vec::new(),
            split_off: None,
            is_split: false,
            rng: SeededRng(ChaCha8Rng::seed_from_u64(seed)),
            faults: Vec::new(),
            history: Vec::new(),
        }))
    }

    /// Ends a server's process; its leases are lost.
    pub fn crash(&mut self, index: usize) {
        let now = Instant::now();
        self.conns.retain(|(_, server), _| *server != name(index));
        let server = self.servers.get_mut(&name(index)).unwrap();
        server.down = true;
        server.held.clear();
        let server = name(index);
        for (_, held, _) in self.history.iter_mut().filter(|(name, ..)| *name == server) {
            held.until = held.until.min(now);
        }
    }

    /// Restarts a server under its name without leases. Its entry names the new instance only after
    /// [`World::publish_entry`].
    pub fn restart(&mut self, index: usize) {
        self.crash(index);
        let server = self.servers.get_mut(&name(index)).unwrap();
        server.seen.clear();
        server.down = false;
        server.instance += 1;
    }

    /// Makes the entry of a server name its current instance.
    pub fn publish_entry(&mut self, index: usize) {
        let server = self.servers.get_mut(&name(index)).unwrap();
        server.entry_instance = server.instance;
    }

    /// Makes a server refuse all commands with usual fencing tokens.
    pub fn show_high_fence(&mut self, index: usize) {
        let server = self.servers.get_mut(&name(index)).unwrap();
        server.seen.push((0, u16::MAX, u64::MAX));
    }

    /// Makes a server respond to nobody while it keeps its keys.
    pub fn set_unreachable(&mut self, index: usize, unreachable: bool) {
        self.servers.get_mut(&name(index)).unwrap().unreachable = unreachable;
    }

    /// Cuts a node off from all servers for good.
    pub fn set_pathless(&mut self, node: &str) {
        self.pathless.push(node.into());
    }

    /// Makes a server refuse connections while it keeps its keys.
    pub fn refuse_connections(&mut self, index: usize) {
        self.servers.get_mut(&name(index)).unwrap().refusing = true;
    }

    /// Ends all connections to a server that lives, and makes it refuse others while `refusing`.
    pub fn reset_connections(&mut self, index: usize, refusing: bool) {
        self.conns.retain(|(_, server), _| *server != name(index));
        self.servers.get_mut(&name(index)).unwrap().refusing = refusing;
    }

    /// Ends a server and gives its address to another one, which refuses the commands meant for the
    /// first.
    pub fn replace(&mut self, index: usize) {
        self.crash(index);
        let next = Server { listed: true, ..Server::default() };
        self.servers.entry(successor(index)).or_insert(next);
    }

    /// Returns the server that has an address now.
    fn at(&self, addr: SocketAddr) -> Name {
        let index = usize::from(addr.port() - 1_000);
        let next = successor(index);
        if self.servers.contains_key(&next) { next } else { name(index) }
    }

    /// Adds or removes a server's entry.
    pub fn list(&mut self, index: usize, listed: bool) {
        self.servers.get_mut(&name(index)).unwrap().listed = listed;
    }

    /// Makes a server announce that it leaves.
    pub fn leave(&mut self, index: usize) {
        self.servers.get_mut(&name(index)).unwrap().leaving = true;
    }

    /// Makes the server that replaced another announce that it leaves.
    pub fn leave_successor(&mut self, index: usize) {
        self.servers.get_mut(&successor(index)).unwrap().leaving = true;
    }

    /// Returns the fraction of all keys that a server holds now.
    pub fn share(&self, index: usize) -> f64 {
        self.share_of(&name(index))
    }

    /// Returns the fraction of all keys that the successor of a server holds now, if it has one.
    pub fn successor_share(&self, index: usize) -> f64 {
        self.share_of(&successor(index))
    }

    fn share_of(&self, server: &Name) -> f64 {
        let now = Instant::now();
        let Some(server) = self.servers.get(server) else { return 0.0 };
        let held = server.held.iter().filter(|held| held.until > now);
        let mut ranges: Vec<(u32, u32)> =
            held.map(|held| (held.first.into(), u32::from(held.last) + 1)).collect();
        ranges.sort_unstable();
        let (mut next, mut count) = (0, 0);
        for (first, end) in ranges {
            count += end.saturating_sub(first.max(next));
            next = next.max(end);
        }
        f64::from(count) / 65_536.0
    }

    /// Returns whether a node's connection to a server is as old as a command requires; opens one if
    /// there is none.
    fn is_connected(&mut self, node: &Name, server: &Name, grant: &Grant) -> bool {
        let now = Instant::now();
        let opened = *self.conns.entry((node.clone(), server.clone())).or_insert(now);
        now - opened >= grant.conn_age
    }

    /// Counts a command that a server carries out.
    fn begin_command(&mut self, server: &Name) {
        let count = self.in_flight.entry(server.clone()).or_default();
        *count += 1;
        self.most_in_flight = self.most_in_flight.max(*count);
    }

    /// Returns how many commands were sent to a server.
    pub fn commands_to(&self, index: usize) -> usize {
        self.sent_to.get(&name(index)).copied().unwrap_or_default()
    }

    /// Stores owners that an earlier controller wrote: `count` spans, dealt out in turn.
    pub fn store_owners(&mut self, count: usize) {
        let instances: Vec<Instance> = (0..count)
            .map(|index| Instance { server: name(index % self.servers.len()), start_ms: 0 })
            .collect();
        let owned = Ownership::split_evenly(1, &instances, || 1);
        let value = OwnersRecord::from(&owned).encode_to_vec();
        self.objects.insert((Kind::Owners.number(), SERVICE.into()), (self.revision, value));
    }

    /// Returns the entries of the servers that the store has.
    pub fn entries(&mut self) -> Vec<Object> {
        let now = Instant::now();
        self.stale.retain(|_, stale| stale.until > now);
        let position = self.position(self.revision);
        let mut values = BTreeMap::new();
        for (name, server) in &self.servers {
            let own = vec![u8::from(server.leaving), server.entry_instance];
            let own = Some(own).filter(|_| server.listed);
            let value = self.stale.get(name).map_or(own, |stale| stale.value.clone());
            values.extend(value.map(|value| (name.clone(), value)));
        }
        self.entry_copies.push(EntryCopy { at: now, values: values.clone() });
        let object = |(name, value)| Object { name, position, value };
        values.into_iter().map(object).collect()
    }

    /// Returns the stored record of the controller.
    pub fn control_record(&self) -> ControlRecord {
        let mut found =
            self.objects.iter().filter(|((kind, _), _)| *kind == Kind::Control.number());
        found.next().map_or_else(ControlRecord::default, |(_, (_, value))| {
            ControlRecord::decode(value.as_slice()).unwrap()
        })
    }

    fn position(&self, revision: u64) -> Position {
        Position::new(self.era, revision)
    }

    /// Brings the store back from a copy of `age`. Servers write their entries again after a while,
    /// in any order.
    pub fn restore(&mut self, age: Duration) {
        let to = Instant::now().checked_sub(age).unwrap();
        self.copies.retain(|copy| copy.at <= to);
        let (objects, revision) = self
            .copies
            .last()
            .map_or((BTreeMap::new(), 1), |copy| (copy.objects.clone(), copy.revision));
        self.objects = objects;
        self.revision = revision;
        self.era += 1;
        self.entry_copies.retain(|copy| copy.at <= to);
        let known = self.entry_copies.last().map(|copy| copy.values.clone()).unwrap_or_default();
        for name in self.servers.keys() {
            let delay = Duration::from_millis(self.rng.0.random_range(0..REWRITE_DELAY_MS));
            let until = Instant::now() + delay;
            self.stale.insert(name.clone(), StaleEntry { until, value: known.get(name).cloned() });
        }
        self.store_down = false;
    }

    /// Returns whether the store refuses calls of a node.
    fn refuses(&self, node: &Name) -> bool {
        self.store_down || self.cut_off.contains(node) || self.is_split && self.far.contains(node)
    }

    /// Returns whether a node and another member of the cluster cannot reach each other, as their
    /// failure domains are cut off from each other.
    fn are_split(&self, node: &Name, other: &Name) -> bool {
        self.is_split && self.far.contains(node) != self.far.contains(other)
    }

    /// Returns whether two nodes do not hear each other.
    fn are_deaf(&self, node: &Name, other: &Name) -> bool {
        let is_off = |node| self.split_off.as_ref() == Some(node);
        is_off(node) || is_off(other) || self.are_split(node, other)
    }

    /// Returns whether connections of a node to a server do not open.
    fn is_lost(&self, node: &Name, server: &Name) -> bool {
        let is_unreached =
            |(name, nodes): &(Name, Vec<Name>)| name == server && nodes.contains(node);
        self.servers[server].unreachable || self.unreached.as_ref().is_some_and(is_unreached)
    }

    fn domain(&self, member: &Name) -> Name {
        if self.far.contains(member) { "b" } else { "a" }.into()
    }

    /// Carries a grant out at a server. It does not shorten an earlier one to the same server.
    fn apply_grant(&mut self, target: &Name, grant: &Grant, arrived: Instant) -> Reply {
        let now = Instant::now();
        let server = self.servers.get_mut(target).unwrap();
        if server.is_down() {
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
        let until = arrived + grant.duration + grant.duration / 50;
        if until <= now {
            return Reply::Done(None);
        }
        let held = Held { first: grant.first, last: grant.last, since: now, until };
        let mut longer = server.held.clone();
        longer.retain(|held| over(held.first, held.last) && held.until > until);
        for held in &mut longer {
            held.first = held.first.max(grant.first);
            held.last = held.last.min(grant.last);
        }
        server.remove_keys(grant);
        server.held.push(held.clone());
        server.held.extend(longer);
        self.check_overlap(target, grant, until);
        self.history.push((target.clone(), held, grant.fence));
        Reply::Done(None)
    }

    /// Checks an accepted grant against the leases of all other servers.
    fn check_overlap(&mut self, target: &Name, grant: &Grant, until: Instant) {
        let over = |held: &Held| held.first <= grant.last && held.last >= grant.first;
        let others = self.history.iter().filter(|(name, held, _)| name != target && over(held));
        for (name, held, fence) in others {
            if *fence >= grant.fence {
                self.faults.push(format!(
                    "{target} got {}..={} with fence {}, {name} had it with {fence} since {:?}",
                    grant.first, grant.last, grant.fence, held.since
                ));
                return;
            }
        }
        let now = Instant::now();
        for (name, server) in self.servers.iter().filter(|(name, _)| *name != target) {
            let held = server
                .held
                .iter()
                .find(|held| over(held) && held.until.min(until) > now + MAX_OVERLAP);
            if let Some(held) = held {
                self.faults.push(format!(
                    "{target} got {}..={}, {name} still holds {}..={}",
                    grant.first, grant.last, held.first, held.last
                ));
            }
        }
    }

    /// Writes an object. Returns its revision, or `None` if the response is lost.
    fn write(
        &mut self,
        kind: Kind,
        node: &Name,
        name: &str,
        expect: u64,
        value: &[u8],
    ) -> Result<Option<u64>, StoreError> {
        if self.refuses(node) {
            return Err(StoreError::NoResponse);
        }
        let key = (kind.number(), Name::from(name));
        let known = self.objects.get(&key).map_or(0, |(revision, _)| *revision);
        if known != expect {
            return Err(StoreError::Conflict);
        }
        self.revision += 1;
        let revision = self.revision;
        self.objects.insert(key, (revision, value.to_vec()));
        let (at, objects) = (Instant::now(), self.objects.clone());
        self.copies.push(Copy { at, objects, revision });
        self.check_writer(kind, node, value);
        let lost = self.rng.0.random_ratio(self.fault_rates.lost, 100);
        Ok((!lost).then_some(revision))
    }

    /// Checks that only one node writes owners in each term.
    fn check_writer(&mut self, kind: Kind, node: &Name, value: &[u8]) {
        if kind != Kind::Owners {
            return;
        }
        let term = OwnersRecord::decode(value).unwrap().term;
        let first = self.terms.entry(term).or_insert_with(|| node.clone());
        if first != node {
            self.faults.push(format!("{node} wrote owners in term {term} of {first}"));
        }
    }

    /// Carries a release out at a server.
    fn apply_release(&mut self, target: &Name, grant: &Grant) -> Reply {
        let server = self.servers.get_mut(target).unwrap();
        if server.down {
            return Reply::Down;
        }
        server.remove_keys(grant);
        Reply::Done(Some("token".into()))
    }
}

/// Returns the name of a server.
pub fn name(index: usize) -> Name {
    Name::from(format!("s{index:02}"))
}

/// Returns the name of the server that replaces another at its address.
pub fn successor(index: usize) -> Name {
    Name::from(format!("r{index:02}"))
}

fn addr(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + index as u16))
}

/// The platform as one node sees it.
pub struct Platform {
    pub world: Rc<RefCell<World>>,
    node: Name,
    /// Highest era that this node knows.
    era: Cell<u64>,
    headers: Headers,
}

impl Platform {
    /// Learns the era of a response, which is discarded if it is of an earlier one.
    fn check_era(&self, era: u64) -> Result<(), StoreError> {
        if era < self.era.get() {
            return Err(StoreError::EraEnded);
        }
        self.era.set(era);
        Ok(())
    }

    /// Sends a write that takes effect later, if its condition still holds.
    fn send_stray(&self, kind: Kind, name: &str, expect: Position, value: &[u8]) {
        let delay = self.world.borrow_mut().rng.0.random_range(300..6_000);
        let (world, node) = (self.world.clone(), self.node.clone());
        let (name, value) = (name.to_string(), value.to_vec());
        spawn_local(async move {
            sleep(Duration::from_millis(delay)).await;
            let _ = world.borrow_mut().write(kind, &node, &name, expect.revision, &value);
        });
    }

    /// Sends a command, which may fail.
    async fn command(
        &self,
        addr: SocketAddr,
        grant: &Grant,
        act: fn(&mut World, &Name, &Grant, Instant) -> Reply,
    ) -> Reply {
        let target = self.world.borrow().at(addr);
        let arrived = Instant::now();
        let (refused, lost, slow, delay) = {
            let mut world = self.world.borrow_mut();
            world.commands.push(self.node.clone());
            *world.sent_to.entry(target.clone()).or_default() += 1;
            let FaultRates { late, slow, .. } = world.fault_rates;
            let late = world.rng.0.random_ratio(late, 100);
            let slow = world.rng.0.random_ratio(slow, 100);
            let delay = world.rng.0.random_range(if slow { 550..900 } else { 2_000..12_000 });
            let delay = (late || slow).then(|| Duration::from_millis(delay));
            let unreachable = world.is_lost(&self.node, &target);
            let pathless = world.pathless.contains(&self.node);
            let refused =
                pathless && world.refuses_pathless || world.are_split(&self.node, &target);
            (refused, unreachable || pathless, slow, delay)
        };
        if refused {
            sleep(RESPONSE_DELAY).await;
            return Reply::Down;
        }
        if lost {
            self.world.borrow_mut().conns.remove(&(self.node.clone(), target));
            sleep(CONNECT_TIMEOUT).await;
            return Reply::Unsent;
        }
        if target != grant.server {
            sleep(RESPONSE_DELAY).await;
            let down = self.world.borrow().servers[&target].down;
            return if down { Reply::Down } else { Reply::Replaced };
        }
        let is_down = self.world.borrow().servers[&target].is_down();
        if !is_down && !self.world.borrow_mut().is_connected(&self.node, &target, grant) {
            sleep(RESPONSE_DELAY).await;
            return Reply::NewConnection;
        }
        if let Some(delay) = delay {
            let (world, grant) = (self.world.clone(), grant.clone());
            self.world.borrow_mut().conns.remove(&(self.node.clone(), target.clone()));
            spawn_local(async move {
                sleep(delay).await;
                let arrived = if slow { Instant::now() } else { arrived };
                act(&mut world.borrow_mut(), &target, &grant, arrived);
            });
            sleep(Duration::from_millis(500)).await;
            return Reply::NoResponse;
        }
        self.world.borrow_mut().begin_command(&target);
        let instance = self.world.borrow().servers[&target].instance;
        sleep(RESPONSE_DELAY).await;
        let mut world = self.world.borrow_mut();
        *world.in_flight.get_mut(&target).unwrap() -= 1;
        if world.servers[&target].instance != instance {
            // The connection has ended with the process that the command was sent to.
            return Reply::NoResponse;
        }
        act(&mut world, &target, grant, arrived)
    }
}

impl Platform {
    /// Adds what the server at an address says of itself to its reply.
    fn answer(&self, addr: SocketAddr, reply: Reply) -> Answer {
        let world = self.world.borrow();
        let leaving = world.speaking == Some(world.at(addr)) && matches!(reply, Reply::Done(_));
        Answer { reply, word: Word { leaving, wait: None } }
    }
}

impl ServerControl for Platform {
    async fn connect(&self, addr: SocketAddr) -> io::Result<()> {
        let (lost, refuses) = {
            let world = self.world.borrow();
            let target = world.at(addr);
            let server = &world.servers[&target];
            let pathless = world.pathless.contains(&self.node);
            let refuses =
                pathless && world.refuses_pathless || world.are_split(&self.node, &target);
            let lost = world.is_lost(&self.node, &target) || pathless && !refuses;
            (lost, server.down || server.refusing || refuses)
        };
        sleep(if lost { CONNECT_TIMEOUT } else { RESPONSE_DELAY }).await;
        match (lost, refuses) {
            (true, _) => Err(io::ErrorKind::TimedOut.into()),
            (_, true) => Err(io::ErrorKind::ConnectionRefused.into()),
            (_, false) => Ok(()),
        }
    }

    async fn grant(&self, addr: SocketAddr, grant: &Grant) -> Answer {
        let reply = self
            .command(addr, grant, |world, name, grant, at| world.apply_grant(name, grant, at))
            .await;
        self.answer(addr, reply)
    }

    async fn release(&self, addr: SocketAddr, grant: &Grant) -> Answer {
        let reply = self
            .command(addr, grant, |world, name, grant, _| world.apply_release(name, grant))
            .await;
        self.answer(addr, reply)
    }
}

impl Store for Platform {
    fn era(&self) -> u64 {
        self.era.get()
    }

    fn raise_era(&self, era: u64) {
        self.era.set(self.era.get().max(era));
    }

    async fn list(&self, kind: Kind) -> Result<Listing, StoreError> {
        sleep(RESPONSE_DELAY).await;
        let world = self.world.borrow();
        if world.refuses(&self.node) {
            return Err(StoreError::NoResponse);
        }
        self.check_era(world.era)?;
        let items = world.objects.iter().filter(|((number, _), _)| *number == kind.number());
        let items = items.map(|((_, name), (revision, value))| Object {
            name: name.clone(),
            position: world.position(*revision),
            value: value.clone(),
        });
        Ok(Listing { position: world.position(world.revision), items: items.collect() })
    }

    async fn watch(
        &self,
        _: Kind,
        position: Position,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        sleep(wait).await;
        Ok(Changes { position, events: Vec::new() })
    }

    async fn read(&self, kind: Kind, name: &str) -> Result<Option<Object>, StoreError> {
        sleep(RESPONSE_DELAY).await;
        let world = self.world.borrow();
        if world.refuses(&self.node) {
            return Err(StoreError::NoResponse);
        }
        self.check_era(world.era)?;
        let found = world.objects.get(&(kind.number(), name.into()));
        Ok(found.map(|(revision, value)| Object {
            name: name.into(),
            position: world.position(*revision),
            value: value.clone(),
        }))
    }

    async fn write(
        &self,
        kind: Kind,
        name: &str,
        expect: Position,
        value: &[u8],
    ) -> Result<Position, StoreError> {
        if expect.era != self.era.get() {
            return Err(StoreError::EraEnded);
        }
        let stray = {
            let mut world = self.world.borrow_mut();
            let stray = world.fault_rates.stray;
            world.rng.0.random_ratio(stray, 100)
        };
        if stray {
            self.send_stray(kind, name, expect, value);
            sleep(Duration::from_millis(1_000)).await;
            return Err(StoreError::NoResponse);
        }
        sleep(RESPONSE_DELAY).await;
        let (revision, era) = {
            let mut world = self.world.borrow_mut();
            (world.write(kind, &self.node, name, expect.revision, value), world.era)
        };
        let revision = revision?;
        let slow = self.world.borrow().slow.as_ref() == Some(&self.node);
        if slow {
            sleep(SLOW_RESPONSE_DELAY).await;
            return Err(StoreError::NoResponse);
        }
        let revision = revision.ok_or(StoreError::NoResponse)?;
        self.check_era(era)?;
        if era != expect.era {
            return Err(StoreError::EraEnded);
        }
        Ok(Position::new(era, revision))
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
        let index: usize = object.name[1..].parse().ok()?;
        Some(ServerEntry {
            service: SERVICE.into(),
            addr: addr(index),
            domain: self.world.borrow().domain(&object.name),
            slots: 2,
            leaving: object.value[0] == 1,
            warmup: Duration::ZERO,
            start_ms: object.value[1].into(),
        })
    }

    fn is_leaving(&self, _: &Object) -> bool {
        false
    }
}

/// Returns the service; its servers take one request a second while they are cold, if the node's
/// settings tell to keep that.
fn service() -> Service {
    Service { keyed: true, cold_rate: Rate::new(1.0), ..Service::default() }
}

/// Starts a node with its controller; it gets heartbeats only through [`exchange_heartbeats`].
pub fn start(world: &Rc<RefCell<World>>, node: &str) -> Rc<Node<Platform>> {
    start_with(world, node, NodeLimits::default())
}

/// Starts a node with the given limits.
pub fn start_with(
    world: &Rc<RefCell<World>>,
    node: &str,
    limits: NodeLimits,
) -> Rc<Node<Platform>> {
    let era = Cell::new(0);
    let platform = Platform { world: world.clone(), node: node.into(), era, headers: headers() };
    let domain = world.borrow().domain(&node.into());
    let settings = Settings { domain, ..settings(node, limits) };
    let node = Node::new(platform, settings, Clock::from_runtime());
    node.set_store_reachable(true);
    let services = HashMap::from([(Name::from(SERVICE), service())]);
    let table = RouteTable::new(1, Vec::new(), services, Limits::default());
    node.view.borrow_mut().routes = Some(Arc::new(table));
    show_servers(&node);
    spawn_local(control::run(node.clone()));
    spawn_local(reach::run(node.clone()));
    spawn_local(watch_servers(node.clone()));
    node
}

/// Lists the servers' current entries to a node.
fn show_servers(node: &Rc<Node<Platform>>) {
    let listing = {
        let mut world = node.platform.world.borrow_mut();
        if node.platform.check_era(world.era).is_err() {
            return;
        }
        world.revision += 1;
        let items = world.entries();
        Listing { position: world.position(world.revision), items }
    };
    node.check_era();
    follow::apply_listing(node, Kind::Servers, listing);
}

/// Lists the servers' entries to a node repeatedly while the store responds to it. Never returns.
async fn watch_servers(node: Rc<Node<Platform>>) {
    loop {
        sleep(Duration::from_millis(200)).await;
        let refused = node.platform.world.borrow().refuses(node.name());
        if !refused {
            show_servers(&node);
        }
        node.set_store_reachable(!refused);
        let now = node.now();
        node.view.borrow_mut().sweep(now, node.store_recovered.get(), node.clock);
    }
}

/// Opens connections to the servers in turn, as requests do. Never returns.
pub async fn call_servers(node: Rc<Node<Platform>>, servers: usize) {
    for index in (0..servers).cycle() {
        sleep(Duration::from_millis(100)).await;
        let opened = node.platform.connect(addr(index)).await.is_ok();
        reach::record_open(&node, &name(index), opened);
    }
}

/// Delivers heartbeats between nodes while `isolated` is false. Never returns.
pub async fn exchange_heartbeats(nodes: Vec<Rc<Node<Platform>>>, isolated: Rc<RefCell<bool>>) {
    loop {
        sleep(Duration::from_millis(250)).await;
        if *isolated.borrow() {
            continue;
        }
        for from in &nodes {
            let heartbeat = heartbeat_of(from);
            let owners = from.view.borrow().snapshot(Kind::Owners);
            for to in nodes.iter().filter(|to| to.name() != from.name()) {
                if from.platform.world.borrow().are_deaf(from.name(), to.name()) {
                    continue;
                }
                to.learn_era(heartbeat.era);
                to.learn_era_age(heartbeat.era, Duration::from_millis(heartbeat.era_age_ms));
                if from.platform.world.borrow().shares_owners {
                    follow::adopt_snapshot(to, owners.clone());
                }
                to.control.borrow_mut().on_heartbeat(to.now(), from.name(), &heartbeat);
                peers::add_peer(to, from.name(), heartbeat.addr.parse().unwrap());
                let now = to.now();
                let mut peers = to.peers.borrow_mut();
                peers.nodes.get_mut(from.name()).unwrap().record_heartbeat(now, &heartbeat, now);
            }
        }
    }
}

fn heartbeat_of(node: &Rc<Node<Platform>>) -> Heartbeat {
    let control = node.control.borrow();
    Heartbeat {
        node: node.name().to_string(),
        domain: node.settings.domain.to_string(),
        incarnation: node.incarnation,
        term: control.term(),
        addr: node.settings.advertised.to_string(),
        interval_ms: 250,
        cpu_share: node.settings.limits.cpu_percent,
        is_leader: control.is_leader(),
        leaving: node.leaving.get(),
        era: node.platform.era(),
        era_age_ms: node.era_age(node.now()).as_millis() as u64,
        cut_off: node.reach.borrow().is_cut_off().is_some(),
        store_age_ms: node.now().since(node.store_contact.get()).as_millis() as u32,
        ..Heartbeat::default()
    }
}

/// Advances the paused clock.
pub async fn advance(ms: u64) {
    sleep_until(Instant::now() + Duration::from_millis(ms)).await;
}

/// Runs a future on Tokio's paused clock, which advances when all tasks wait.
pub fn with_paused_clock<F: Future>(seed: u64, work: F) -> F::Output {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().start_paused(true).build().unwrap();
    fastrand::seed(seed);
    LocalSet::new().block_on(&runtime, work)
}
