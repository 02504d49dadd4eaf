//! What a node believes of the configuration, the servers and the owners of keys.
//!
//! Each kind of object is kept as the store sent it, under the revision at which it held, so that
//! it can be passed on to a node that the store does not serve. A lower revision never replaces a
//! higher one, and a lower version of the routes never a higher one.

use {
    crate::{
        message::{Item, Snapshot},
        platform::{Changes, Dialect, Kind, Listing, Object, ServerEntry},
        record::OwnersRecord,
    },
    log::info,
    prost::Message,
    std::{
        collections::{BTreeMap, HashMap},
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    whinspring::{
        name::Name,
        ranges::{Instance, Ownership},
        routes::RouteTable,
        time::Tick,
    },
    whinspring_http::{
        backend::{ConnectionPool, NoStream},
        clock::Clock,
    },
};

/// Time for which a server without an entry is still used: entries that lapsed while the store
/// was away come back within two seconds of its return.
const LAPSE_GRACE: Duration = Duration::from_millis(2_300);

/// Time for which a server without an entry is still used while the store answers.
const GONE_GRACE: Duration = Duration::from_millis(300);

/// Servers that come at once and are told of one by one.
const MOST_TOLD: u32 = 8;

/// A backend server.
#[derive(Debug)]
pub struct Server {
    /// Its name.
    pub name: Name,
    /// How it describes itself.
    pub entry: ServerEntry,
    /// Connections to it.
    pub backend: Rc<ConnectionPool<NoStream>>,
    /// Since when it is known.
    pub since: Tick,
    /// Since when it has no entry.
    pub missing: Option<Tick>,
    /// Since when it is about to leave.
    pub leaving: Option<Tick>,
    /// When it is no longer slow after its start.
    pub warm: Tick,
}

impl Server {
    /// Returns the life of the server.
    pub fn life(&self) -> Instance {
        Instance { server: self.name.clone(), start_ms: self.entry.born }
    }
}

/// Objects of one kind as the store sent them.
#[derive(Debug, Default)]
struct Raw {
    /// Revision of the last change of the kind.
    revision: u64,
    /// Revision of the store up to which no change of the kind is left out.
    upto: u64,
    /// The objects.
    items: BTreeMap<Name, Object>,
}

/// What a node believes.
#[derive(Debug, Default)]
pub struct Beliefs {
    /// Objects by kind.
    raw: HashMap<Kind, Raw>,
    /// The configuration.
    pub routes: Option<Arc<RouteTable>>,
    /// Servers by name.
    pub servers: HashMap<Name, Server>,
    /// Owners by service, with the revision of their object.
    pub owners: HashMap<Name, (u64, Rc<Ownership>)>,
}

impl Beliefs {
    /// Returns the revision at which objects of a kind held.
    pub fn revision(&self, kind: Kind) -> u64 {
        self.raw.get(&kind).map_or(0, |raw| raw.revision)
    }

    /// Returns all objects of a kind, to pass on.
    pub fn snapshot(&self, kind: Kind) -> Snapshot {
        let Some(raw) = self.raw.get(&kind) else { return Snapshot::default() };
        let items = raw.items.values().map(Item::from).collect();
        Snapshot { kind: kind.number(), revision: raw.revision, items, upto: raw.upto }
    }

    /// Returns the revision of the store up to which no change of a kind is left out.
    pub fn upto(&self, kind: Kind) -> u64 {
        self.raw.get(&kind).map_or(0, |raw| raw.upto)
    }

    /// Takes all objects of a kind over, unless newer ones are known; returns what has changed by
    /// that, `true` for objects that are gone.
    ///
    /// The store's revision rises with each change of any kind, so that what is claimed to be known
    /// of a kind is the revision of its own last change, or `claim` where another node said so.
    pub fn replace(
        &mut self,
        kind: Kind,
        listing: Listing,
        claim: Option<u64>,
        dialect: &impl Dialect,
        clock: Clock,
    ) -> Vec<(Object, bool)> {
        let raw = self.raw.entry(kind).or_default();
        if listing.revision < raw.upto {
            return Vec::new();
        }
        raw.upto = listing.revision;
        let newest = listing.items.iter().map(|item| item.revision).max().unwrap_or_default();
        raw.revision = raw.revision.max(claim.unwrap_or(newest));
        let known = std::mem::take(&mut raw.items);
        raw.items = listing.items.into_iter().map(|item| (item.name.clone(), item)).collect();
        let is_new = |item: &&Object| known.get(&item.name) != Some(*item);
        let fresh = raw.items.values().filter(is_new).cloned().map(|item| (item, false));
        let mut changes: Vec<(Object, bool)> = fresh.collect();
        let gone = known.into_values().filter(|item| !raw.items.contains_key(&item.name));
        changes.extend(gone.map(|item| (item, true)));
        self.decode(kind, &changes, dialect, clock);
        changes
    }

    /// Takes changes of a kind over.
    pub fn change(&mut self, kind: Kind, changes: Changes, dialect: &impl Dialect, clock: Clock) {
        if changes.events.is_empty() {
            return;
        }
        let raw = self.raw.entry(kind).or_default();
        raw.upto = raw.upto.max(changes.revision);
        let newest = changes.events.iter().map(|(object, _)| object.revision).max();
        raw.revision = raw.revision.max(newest.unwrap_or_default());
        let mut events = changes.events;
        events.retain(|(object, gone)| {
            let known = raw.items.get(&object.name).map_or(0, |item| item.revision);
            if object.revision < known {
                return false;
            }
            if *gone {
                raw.items.remove(&object.name);
            } else {
                raw.items.insert(object.name.clone(), object.clone());
            }
            true
        });
        self.decode(kind, &events, dialect, clock);
    }

    /// Takes one object over that this node has just written.
    pub fn wrote(&mut self, kind: Kind, object: Object, dialect: &impl Dialect, clock: Clock) {
        let revision = object.revision;
        self.change(kind, Changes { revision, events: vec![(object, false)] }, dialect, clock);
    }

    /// Reads the objects of a kind that are new or have changed.
    fn decode(
        &mut self,
        kind: Kind,
        changes: &[(Object, bool)],
        dialect: &impl Dialect,
        clock: Clock,
    ) {
        let fresh = changes.iter().filter(|(_, gone)| !gone).map(|(object, _)| object);
        match kind {
            Kind::Routes => self.decode_routes(fresh, dialect),
            Kind::Servers => self.decode_servers(fresh, dialect, clock),
            Kind::Owners => self.decode_owners(fresh),
            Kind::Control | Kind::Nodes => {}
        }
    }

    /// Reads the configuration.
    fn decode_routes<'a>(
        &mut self,
        fresh: impl Iterator<Item = &'a Object>,
        dialect: &impl Dialect,
    ) {
        for object in fresh {
            let Some(table) = dialect.routes(object) else { continue };
            let known = self.routes.as_ref().map_or(0, |routes| routes.version);
            if table.version > known || self.routes.is_none() {
                info!(event = "routes", version = table.version, revision = object.revision; "new configuration");
                self.routes = Some(Arc::new(table));
            }
        }
    }

    /// Reads the servers.
    fn decode_servers<'a>(
        &mut self,
        fresh: impl Iterator<Item = &'a Object>,
        dialect: &impl Dialect,
        clock: Clock,
    ) {
        let now = clock.now();
        let Some(raw) = self.raw.get(&Kind::Servers) else { return };
        let mut come = 0;
        for object in fresh {
            let Some(entry) = dialect.server(object) else { continue };
            come +=
                u32::from(note_server(&mut self.servers, object, entry, clock, come < MOST_TOLD));
        }
        if come > MOST_TOLD {
            info!(event = "servers", come, known = self.servers.len(), revision = raw.revision; "many servers have come");
        }
        for server in self.servers.values_mut() {
            if !raw.items.contains_key(&server.name) && server.missing.is_none() {
                info!(event = "server_missing", server = server.name.as_str(), revision = raw.revision; "a server's entry is gone");
                server.missing = Some(now);
            }
        }
    }

    /// Reads the owners.
    fn decode_owners<'a>(&mut self, fresh: impl Iterator<Item = &'a Object>) {
        for object in fresh {
            let known = self.owners.get(&object.name).map_or(0, |(revision, _)| *revision);
            if object.revision <= known {
                continue;
            }
            let record = OwnersRecord::decode(object.value.as_slice()).ok();
            let owned = record.and_then(|record| Ownership::try_from(record).ok());
            let Some(owned) = owned else {
                log::warn!(event = "bad_owners", service = object.name.as_str(); "owners cannot be read");
                continue;
            };
            self.owners.insert(object.name.clone(), (object.revision, Rc::new(owned)));
        }
    }

    /// Forgets servers that are gone; returns whether there were any.
    ///
    /// Drops connections that have been idle for too long, too.
    pub fn sweep(&mut self, now: Tick, store_back: Tick) -> bool {
        self.servers.values().for_each(|server| server.backend.evict_expired());
        let before = self.servers.len();
        self.servers.retain(|_, server| {
            let Some(since) = server.missing else { return true };
            now < since + GONE_GRACE || now < store_back + LAPSE_GRACE
        });
        self.servers.len() != before
    }
}

/// Takes a server's entry over; returns whether a server or a life of one has come.
fn note_server(
    servers: &mut HashMap<Name, Server>,
    object: &Object,
    entry: ServerEntry,
    clock: Clock,
    tells: bool,
) -> bool {
    let now = clock.now();
    let warm = now + entry.cold;
    match servers.get_mut(&object.name) {
        Some(server) if server.entry.addr == entry.addr && server.entry.born == entry.born => {
            server.missing = None;
            server.leaving = if entry.leaving { server.leaving.or(Some(now)) } else { None };
            server.entry = entry;
            false
        }
        _ => {
            if tells {
                info!(event = "server", server = object.name.as_str(), service = entry.service.as_str(), born = entry.born, revision = object.revision; "a server has come");
            }
            let server = Server {
                name: object.name.clone(),
                backend: Rc::new(ConnectionPool::new(entry.addr, clock)),
                since: now,
                missing: None,
                leaving: entry.leaving.then_some(now),
                warm,
                entry,
            };
            servers.insert(object.name.clone(), server);
            true
        }
    }
}
