//! The node's replica of the configuration, the servers and the owners of keys.
//!
//! Each kind of object is kept as the store sent it, with its revision, so that a snapshot can be
//! sent to a node that cannot reach the store. Only the owners of keys, which are large and change
//! often, are kept in decoded form alone. A lower revision never replaces a higher one, and a
//! lower version of the routes never replaces a higher one.

use {
    crate::{
        message::{Item, Snapshot},
        platform::{Changes, Dialect, Kind, Listing, Object, ServerEntry},
        record::OwnersRecord,
    },
    log::info,
    prost::Message,
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    whinspring::{
        name::Name,
        notices::{Life, Notices, Source},
        ranges::{HandoverKey, Instance, Ownership, Span},
        routes::RouteTable,
        time::Tick,
    },
    whinspring_http::{
        backend::{ConnectionPool, NoStream},
        clock::Clock,
    },
};

/// Time after the store's return for which a server without an entry is still used: entries that
/// expired during an outage are back within two seconds.
const OUTAGE_GRACE: Duration = Duration::from_millis(2_300);

/// Time for which a server without an entry is still used while the store responds.
const REMOVAL_GRACE: Duration = Duration::from_millis(300);

/// New servers of one change that are logged one by one.
const MAX_LOGGED: u32 = 8;

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
    /// When its warm-up ends.
    pub warm_at: Tick,
}

impl Server {
    pub fn instance(&self) -> Instance {
        Instance { server: self.name.clone(), start_ms: self.entry.start_ms }
    }

    pub fn life(&self) -> Life {
        self.entry.life()
    }
}

/// Objects of one kind as the store sent them.
#[derive(Debug, Default)]
struct KindCache {
    /// Revision of the last change of the kind.
    revision: u64,
    /// Store revision up to which all changes of the kind are included.
    synced_revision: u64,
    items: BTreeMap<Name, Object>,
}

/// The node's replica of the store's objects.
#[derive(Debug, Default)]
pub struct ClusterState {
    /// Objects by kind, undecoded.
    raw: HashMap<Kind, KindCache>,
    /// The configuration.
    pub routes: Option<Arc<RouteTable>>,
    /// Servers by name.
    pub servers: HashMap<Name, Server>,
    /// What servers have said of themselves.
    pub notices: Notices,
    /// Owners by service, with the revision of their object.
    pub owners: HashMap<Name, (u64, Rc<Ownership>)>,
    /// Handovers by service that have finished, though the owners still name the former one.
    handed_over: HashMap<Name, HashSet<HandoverKey>>,
}

impl ClusterState {
    /// Returns the revision of the last known change of a kind.
    pub fn revision(&self, kind: Kind) -> u64 {
        self.raw.get(&kind).map_or(0, |raw| raw.revision)
    }

    /// Returns all objects of a kind, to send to another node.
    pub fn snapshot(&self, kind: Kind) -> Snapshot {
        let Some(raw) = self.raw.get(&kind) else { return Snapshot::default() };
        let items = match kind {
            Kind::Owners => self.owners.iter().map(owners_item).collect(),
            _ => raw.items.values().map(Item::from).collect(),
        };
        Snapshot {
            kind: kind.number(),
            revision: raw.revision,
            items,
            synced_revision: raw.synced_revision,
        }
    }

    /// Returns the store revision up to which all changes of a kind are included.
    pub fn synced_revision(&self, kind: Kind) -> u64 {
        self.raw.get(&kind).map_or(0, |raw| raw.synced_revision)
    }

    /// Replaces all objects of a kind, unless newer ones are known. Returns the changes, with
    /// `true` for objects that are gone.
    ///
    /// The store's revision rises with changes of any kind. The revision of this kind is therefore
    /// that of its newest object, or `claimed_revision` if another node sent the listing.
    pub fn apply_listing(
        &mut self,
        kind: Kind,
        listing: Listing,
        claimed_revision: Option<u64>,
        dialect: &impl Dialect,
        clock: Clock,
    ) -> Vec<(Object, bool)> {
        let raw = self.raw.entry(kind).or_default();
        if listing.revision < raw.synced_revision {
            return Vec::new();
        }
        raw.synced_revision = listing.revision;
        let newest = listing.items.iter().map(|item| item.revision).max().unwrap_or_default();
        raw.revision = raw.revision.max(claimed_revision.unwrap_or(newest));
        let known = std::mem::take(&mut raw.items);
        raw.items = listing.items.into_iter().map(|item| (item.name.clone(), item)).collect();
        let is_new = |item: &&Object| known.get(&item.name) != Some(*item);
        let fresh = raw.items.values().filter(is_new).cloned().map(|item| (item, false));
        let mut changes: Vec<(Object, bool)> = fresh.collect();
        let gone = known.into_values().filter(|item| !raw.items.contains_key(&item.name));
        changes.extend(gone.map(|item| (item, true)));
        self.decode_changes(kind, &changes, dialect, clock);
        changes
    }

    /// Applies changes of a kind.
    pub fn apply_changes(
        &mut self,
        kind: Kind,
        changes: Changes,
        dialect: &impl Dialect,
        clock: Clock,
    ) {
        if changes.events.is_empty() {
            return;
        }
        let raw = self.raw.entry(kind).or_default();
        raw.synced_revision = raw.synced_revision.max(changes.revision);
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
        self.decode_changes(kind, &events, dialect, clock);
    }

    /// Applies one object that was written or read by this node, or changed by the controller.
    pub fn apply_object(
        &mut self,
        kind: Kind,
        object: Object,
        dialect: &impl Dialect,
        clock: Clock,
    ) {
        let revision = object.revision;
        self.apply_changes(
            kind,
            Changes { revision, events: vec![(object, false)] },
            dialect,
            clock,
        );
    }

    /// Applies the owners of a service's keys, unless newer ones are known.
    pub fn apply_owners(&mut self, service: Name, revision: u64, owned: Rc<Ownership>) {
        if self.owners.get(&service).is_some_and(|(known, _)| *known >= revision) {
            return;
        }
        let raw = self.raw.entry(Kind::Owners).or_default();
        raw.synced_revision = raw.synced_revision.max(revision);
        raw.revision = raw.revision.max(revision);
        let object = Object { name: service.clone(), revision, value: Vec::new() };
        raw.items.insert(service.clone(), object);
        self.set_owners(service, revision, owned);
    }

    /// Sets the owners of a service's keys, and forgets handovers that they no longer contain.
    fn set_owners(&mut self, service: Name, revision: u64, owned: Rc<Ownership>) {
        if let Some(finished) = self.handed_over.get_mut(&service) {
            finished.retain(|key| owned.is_pending(key));
        }
        self.owners.insert(service, (revision, owned));
    }

    /// Notes handovers that have finished, unless they are not known or no longer pending.
    pub fn note_handovers(&mut self, service: &Name, finished: &[HandoverKey]) {
        let Some((_, owned)) = self.owners.get(service) else { return };
        let pending = finished.iter().filter(|key| owned.is_pending(key)).copied();
        self.handed_over.entry(service.clone()).or_default().extend(pending);
    }

    /// Returns the span that contains a key if its owner has been granted the keys, as far as this
    /// node knows.
    pub fn granted_span(&self, service: &Name, key: u16) -> Option<&Span> {
        let (_, owned) = self.owners.get(service)?;
        let finished = self.handed_over.get(service);
        let is_granted = |span: &&Span| {
            span.former.is_none()
                || finished.is_some_and(|finished| finished.contains(&span.handover()))
        };
        owned.find(key).filter(is_granted)
    }

    /// Decodes the objects of a kind that are new or have changed.
    fn decode_changes(
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

    fn decode_routes<'a>(
        &mut self,
        fresh: impl Iterator<Item = &'a Object>,
        dialect: &impl Dialect,
    ) {
        for object in fresh {
            let Some(table) = dialect.parse_routes(object) else { continue };
            let known = self.routes.as_ref().map_or(0, |routes| routes.version);
            if table.version > known || self.routes.is_none() {
                info!(event = "routes", version = table.version, revision = object.revision; "applied a new configuration");
                self.routes = Some(Arc::new(table));
            }
        }
    }

    fn decode_servers<'a>(
        &mut self,
        fresh: impl Iterator<Item = &'a Object>,
        dialect: &impl Dialect,
        clock: Clock,
    ) {
        let now = clock.now();
        let Some(raw) = self.raw.get(&Kind::Servers) else { return };
        let mut added = 0;
        for object in fresh {
            let Some(entry) = dialect.parse_server(object) else { continue };
            added += u32::from(update_server(
                &mut self.servers,
                &mut self.notices,
                object,
                entry,
                clock,
                added < MAX_LOGGED,
            ));
        }
        if added > MAX_LOGGED {
            info!(event = "servers", come = added, known = self.servers.len(), revision = raw.revision; "more new servers than are logged one by one");
        }
        for server in self.servers.values_mut() {
            if !raw.items.contains_key(&server.name) && server.missing.is_none() {
                info!(event = "server_missing", server = server.name.as_str(), revision = raw.revision; "server has no entry in the store any more");
                server.missing = Some(now);
            }
        }
    }

    fn decode_owners<'a>(&mut self, fresh: impl Iterator<Item = &'a Object>) {
        for object in fresh {
            let known = self.owners.get(&object.name).map_or(0, |(revision, _)| *revision);
            if object.revision <= known {
                continue;
            }
            let record = OwnersRecord::decode(object.value.as_slice()).ok();
            let owned = record.and_then(|record| Ownership::try_from(record).ok());
            let Some(owned) = owned else {
                log::warn!(event = "bad_owners", service = object.name.as_str(); "cannot decode the owners of a service; keeping the known ones");
                continue;
            };
            self.set_owners(object.name.clone(), object.revision, Rc::new(owned));
        }
        let items = self.raw.get_mut(&Kind::Owners).map(|raw| raw.items.values_mut());
        items.into_iter().flatten().for_each(|item| item.value = Vec::new());
    }

    /// Removes servers that are gone. Returns whether there were any.
    ///
    /// Closes connections that have been idle for too long as well.
    pub fn sweep(&mut self, now: Tick, store_back: Tick) -> bool {
        self.servers.values().for_each(|server| server.backend.evict_expired());
        self.notices.evict(now, |name| self.servers.contains_key(name));
        let before = self.servers.len();
        self.servers.retain(|_, server| {
            let Some(since) = server.missing else { return true };
            now < since + REMOVAL_GRACE || now < store_back + OUTAGE_GRACE
        });
        self.servers.len() != before
    }
}

/// Encodes the owners of a service for a snapshot.
fn owners_item((service, (revision, owned)): (&Name, &(u64, Rc<Ownership>))) -> Item {
    let value = OwnersRecord::from(&**owned).encode_to_vec();
    Item { name: service.to_string(), revision: *revision, value, gone: false }
}

/// Applies a server's entry. Returns whether the server or its instance is new.
fn update_server(
    servers: &mut HashMap<Name, Server>,
    notices: &mut Notices,
    object: &Object,
    entry: ServerEntry,
    clock: Clock,
    log: bool,
) -> bool {
    let now = clock.now();
    let warm_at = now + entry.warmup;
    notices.record_life(&object.name, entry.life(), now);
    if entry.leaving
        && notices.record_leaving(&object.name, entry.life(), now, Source::Store)
        && log
    {
        info!(event = "server_leaving", server = object.name.as_str(), service = entry.service.as_str(), source = Source::Store.text(), age_ms = 0, revision = object.revision; "server announced that it leaves");
    }
    match servers.get_mut(&object.name) {
        Some(server)
            if server.entry.addr == entry.addr && server.entry.start_ms == entry.start_ms =>
        {
            server.missing = None;
            server.entry = entry;
            false
        }
        _ => {
            if log {
                info!(event = "server", server = object.name.as_str(), service = entry.service.as_str(), born = entry.start_ms, revision = object.revision; "new server or new instance of a server");
            }
            let server = Server {
                name: object.name.clone(),
                backend: Rc::new(ConnectionPool::new(entry.addr, clock)),
                known_since: now,
                missing: None,
                warm_at,
                entry,
            };
            servers.insert(object.name.clone(), server);
            true
        }
    }
}
