//! The node's replica of the configuration, the servers and the owners of keys.
//!
//! Each kind of object is kept as the store sent it, with its revision, so that a snapshot can be
//! sent to a node that cannot reach the store. Only the owners of keys, which are large and change
//! often, are kept in decoded form alone. An earlier position never replaces a later one.
//!
//! The store may come back from an older copy of itself, in a new era. What is listed then is the
//! state of the store, but takes back nothing that the node has acted on: a lower version of the
//! routes never replaces a higher one, owners of an earlier term or of an earlier revision in one
//! term never replace later ones, a server that has announced that it leaves still does, and one
//! that has ended is not used again unless it writes its entry again.

pub use self::{malformed::MalformedEntries, server::Server};

use {
    self::former::FormerServers,
    crate::{
        message::{Item, Snapshot},
        platform::{Changes, Dialect, Kind, Listing, Location, Object, Position, ServerEntry},
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
        evacuation::Evacuations,
        limits::Limits,
        name::Name,
        notices::{Notices, Source},
        ranges::{HandoverKey, Instance, Ownership, Span, vacancy::Vacancies},
        routes::RouteTable,
        time::Tick,
    },
    whinspring_http::clock::Clock,
};

mod former;
mod malformed;
mod server;

/// Time after the store's return for which a server without an entry is still used: entries that
/// expired during an outage are back within two seconds.
const OUTAGE_GRACE: Duration = Duration::from_millis(2_300);

/// Time for which a server without an entry is still used while the store responds.
const REMOVAL_GRACE: Duration = Duration::from_millis(300);

/// Time for which a removed server is remembered.
const ENDED_RETENTION: Duration = Duration::from_secs(120);

/// Time after which an entry that came back with a copy of the store counts again for a server that
/// was removed: that of a server that has ended expires earlier.
const RETURN_DELAY: Duration = Duration::from_secs(10);

/// New servers of one change that are logged one by one.
const MAX_LOGGED: u32 = 8;

/// Objects of one kind as the store sent them.
#[derive(Debug, Default)]
struct KindCache {
    /// Position of the last change of the kind.
    position: Position,
    /// Position of the store up to which all changes of the kind are included.
    synced: Position,
    /// When the store was last known to have no later change of the kind; zero if never.
    confirmed: Tick,
    items: BTreeMap<Name, Object>,
}

/// What the store had lost when a kind was first listed in a new era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Loss {
    /// Position of the kind's last change before.
    pub before: Position,
    /// Number of objects that are gone.
    pub gone: usize,
    /// Number of objects whose revision is lower than before.
    pub reverted: usize,
}

/// A server that was removed from the view.
#[derive(Debug)]
struct Ended {
    start_ms: u64,
    /// When its entry disappeared.
    gone: Tick,
    /// When it was removed, and in which era.
    at: Tick,
    era: u64,
    /// Its entry that came back with the copy of a later era, and when.
    back: Option<(Tick, Object, ServerEntry)>,
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
    /// Failure domains that the operators evacuate.
    pub evacuations: Evacuations,
    /// How many requests servers take.
    pub limits: Limits,
    /// Owners by service, with the position at which the controller of their term wrote them.
    pub owners: HashMap<Name, (Position, Rc<Ownership>)>,
    /// Servers that were removed, by name.
    ended: HashMap<Name, Ended>,
    /// Locations of instances without entries.
    former: FormerServers,
    /// Entries that name no server because they are malformed.
    pub malformed: MalformedEntries,
    /// Keys by service that are handed over, and since when.
    vacancies: HashMap<Name, Vacancies>,
    /// Handovers by service that have finished, though the owners still name the former one.
    handed_over: HashMap<Name, HashSet<HandoverKey>>,
}

impl ClusterState {
    /// Returns the position of the last known change of a kind.
    pub fn position(&self, kind: Kind) -> Position {
        self.raw.get(&kind).map_or(Position::default(), |raw| raw.position)
    }

    /// Returns the position of an object in the store as last learned, with revision zero if the
    /// store is not known to have it in this era.
    pub fn stored_position(&self, kind: Kind, name: &Name, era: u64) -> Position {
        let found = self.raw.get(&kind).and_then(|raw| raw.items.get(name));
        let current = found.map(|object| object.position).filter(|position| position.era == era);
        current.unwrap_or(Position::new(era, 0))
    }

    /// Forgets an object that the store does not have.
    pub fn forget_object(&mut self, kind: Kind, name: &Name) {
        if let Some(raw) = self.raw.get_mut(&kind) {
            raw.items.remove(name);
        }
    }

    /// Returns all objects of a kind, to send to another node, without the notices of servers.
    pub fn snapshot(&self, kind: Kind) -> Snapshot {
        let Some(raw) = self.raw.get(&kind) else { return Snapshot::default() };
        let items = match kind {
            Kind::Owners => self.owners.iter().map(|known| self.owners_item(known)).collect(),
            _ => raw.items.values().map(Item::from).collect(),
        };
        Snapshot {
            kind: kind.number(),
            revision: raw.position.revision,
            items,
            synced_revision: raw.synced.revision,
            era: raw.synced.era,
            notices: Vec::new(),
            crashes: Vec::new(),
        }
    }

    /// Encodes the owners of a service for a snapshot.
    fn owners_item(&self, known: (&Name, &(Position, Rc<Ownership>))) -> Item {
        let (service, (position, owned)) = known;
        let locate = |instance: &Instance| self.location(instance);
        let value = OwnersRecord::with_locations(owned, locate).encode_to_vec();
        let (name, Position { era, revision }) = (service.to_string(), *position);
        Item { name, revision, value, gone: false, era }
    }

    /// Returns the position of the store up to which all changes of a kind are included.
    pub fn synced(&self, kind: Kind) -> Position {
        self.raw.get(&kind).map_or(Position::default(), |raw| raw.synced)
    }

    /// Returns when the store was last known to have no later change of a kind; zero if never.
    pub fn confirmed(&self, kind: Kind) -> Tick {
        self.raw.get(&kind).map_or(Tick::default(), |raw| raw.confirmed)
    }

    /// Records that all changes of a kind before `at` are known.
    pub fn confirm(&mut self, kind: Kind, at: Tick) {
        let raw = self.raw.entry(kind).or_default();
        raw.confirmed = raw.confirmed.max(at);
    }

    /// Returns what a listing of a kind shows to be lost, if it is the first one of a new era.
    pub fn loss(&self, kind: Kind, listing: &Listing) -> Option<Loss> {
        let raw = self.raw.get(&kind)?;
        if raw.synced == Position::default() || listing.position.era <= raw.synced.era {
            return None;
        }
        let found: HashMap<&Name, u64> =
            listing.items.iter().map(|item| (&item.name, item.position.revision)).collect();
        let gone = raw.items.keys().filter(|name| !found.contains_key(name)).count();
        let is_older = |item: &&Object| {
            found.get(&item.name).is_some_and(|revision| *revision < item.position.revision)
        };
        let reverted = raw.items.values().filter(is_older).count();
        Some(Loss { before: raw.synced, gone, reverted })
    }

    /// Replaces all objects of a kind, unless newer ones are known. Returns the changes, with
    /// `true` for objects that are gone.
    ///
    /// The store's revision rises with changes of any kind. The position of this kind is therefore
    /// that of its newest object, or `claimed` if another node sent the listing.
    ///
    /// What is listed may have changed at any time since the kind was last confirmed.
    pub fn apply_listing(
        &mut self,
        kind: Kind,
        listing: Listing,
        claimed: Option<Position>,
        dialect: &impl Dialect,
        clock: Clock,
    ) -> Vec<(Object, bool)> {
        let raw = self.raw.entry(kind).or_default();
        if listing.position < raw.synced {
            return Vec::new();
        }
        let base = base_position(kind, listing.position.era);
        let since = raw.confirmed;
        raw.synced = listing.position;
        let newest = listing.items.iter().map(|item| item.position).max().unwrap_or(base);
        raw.position = raw.position.max(claimed.unwrap_or(newest)).max(base);
        let mut listing = listing;
        listing
            .items
            .iter_mut()
            .for_each(|item| keep_routes(&self.routes, raw, kind, item, dialect));
        let known = std::mem::take(&mut raw.items);
        raw.items = listing.items.into_iter().map(|item| (item.name.clone(), item)).collect();
        let is_new = |item: &&Object| known.get(&item.name) != Some(*item);
        let fresh = raw.items.values().filter(is_new).cloned().map(|item| (item, false));
        let mut changes: Vec<(Object, bool)> = fresh.collect();
        let gone = known.into_values().filter(|item| !raw.items.contains_key(&item.name));
        changes.extend(gone.map(|item| (item, true)));
        self.decode_changes(kind, &changes, since, dialect, clock);
        changes
    }

    /// Applies changes of a kind that have just happened.
    pub fn apply_changes(
        &mut self,
        kind: Kind,
        changes: Changes,
        dialect: &impl Dialect,
        clock: Clock,
    ) {
        self.apply_changes_since(kind, changes, clock.now(), dialect, clock);
    }

    /// Applies changes of a kind that may have happened at any time after `since`.
    pub fn apply_changes_since(
        &mut self,
        kind: Kind,
        changes: Changes,
        since: Tick,
        dialect: &impl Dialect,
        clock: Clock,
    ) {
        if changes.events.is_empty() {
            return;
        }
        let raw = self.raw.entry(kind).or_default();
        raw.synced = raw.synced.max(changes.position);
        let newest = changes.events.iter().map(|(object, _)| object.position).max();
        raw.position = raw.position.max(newest.unwrap_or_default());
        let mut events = changes.events;
        for (object, _) in events.iter_mut().filter(|(_, gone)| !gone) {
            keep_routes(&self.routes, raw, kind, object, dialect);
        }
        events.retain(|(object, gone)| {
            let known = raw.items.get(&object.name).map(|item| item.position);
            if object.position < known.unwrap_or_default() {
                return false;
            }
            if *gone {
                raw.items.remove(&object.name);
            } else {
                raw.items.insert(object.name.clone(), object.clone());
            }
            true
        });
        self.decode_changes(kind, &events, since, dialect, clock);
    }

    /// Applies one object that was written or read by this node, or changed by the controller.
    pub fn apply_object(
        &mut self,
        kind: Kind,
        object: Object,
        dialect: &impl Dialect,
        clock: Clock,
    ) {
        let position = object.position;
        self.apply_changes(
            kind,
            Changes { position, events: vec![(object, false)] },
            dialect,
            clock,
        );
    }

    /// Applies the owners of a service's keys that the store has at a position, unless newer ones
    /// are known.
    pub fn apply_owners(
        &mut self,
        service: Name,
        position: Position,
        owned: Rc<Ownership>,
        now: Tick,
    ) {
        let raw = self.raw.entry(Kind::Owners).or_default();
        let known = raw.items.get(&service).map(|item| item.position);
        if known.is_none_or(|known| known < position) {
            raw.synced = raw.synced.max(position);
            raw.position = raw.position.max(position);
            let object = Object { name: service.clone(), position, value: Vec::new() };
            raw.items.insert(service.clone(), object);
        }
        self.learn_owners(service, position, owned, now);
    }

    /// Keeps owners that this or another node knows, unless newer ones are known, whatever the
    /// store has. Only one node writes owners in a term, and a term lies in one era.
    pub fn learn_owners(
        &mut self,
        service: Name,
        position: Position,
        owned: Rc<Ownership>,
        now: Tick,
    ) {
        let order = |position: &Position, owned: &Ownership| (owned.term, position.revision);
        let new = order(&position, &owned);
        if self.owners.get(&service).is_some_and(|(at, known)| order(at, known) >= new) {
            return;
        }
        if let Some(finished) = self.handed_over.get_mut(&service) {
            finished.retain(|key| owned.is_pending(key));
        }
        self.vacancies.entry(service.clone()).or_default().update(&owned, now);
        self.owners.insert(service, (position, owned));
    }

    /// Keeps the owners that another node knows, unless newer ones are known.
    pub fn learn_snapshot(&mut self, snapshot: &Snapshot, now: Tick) {
        for item in &snapshot.items {
            let object = Object::from((item.clone(), item.era));
            if let Some(owned) = self.decode_owner(&object, now) {
                self.learn_owners(object.name, object.position, Rc::new(owned), now);
            }
        }
    }

    /// Returns the location of a server instance, also if its entry is gone.
    pub fn location(&self, instance: &Instance) -> Option<Location> {
        match self.servers.get(&instance.server) {
            Some(server) if server.entry.start_ms == instance.start_ms => {
                Some(server.entry.location())
            }
            Some(_) => None,
            None => self.former.get(instance).cloned(),
        }
    }

    /// Notes handovers that have finished, unless they are not known or no longer pending.
    pub fn note_handovers(&mut self, service: &Name, finished: &[HandoverKey]) {
        let Some((_, owned)) = self.owners.get(service) else { return };
        let pending = finished.iter().filter(|key| owned.is_pending(key)).copied();
        self.handed_over.entry(service.clone()).or_default().extend(pending);
    }

    /// Returns whether the owner of a span is known to have been granted the keys although the owners
    /// still name the former one.
    pub fn is_handed_over(&self, service: &Name, span: &Span) -> bool {
        self.handed_over.get(service).is_some_and(|finished| finished.contains(&span.handover()))
    }

    /// Returns the span that contains a key if its owner has been granted the keys, as far as this
    /// node knows.
    pub fn granted_span(&self, service: &Name, key: u16) -> Option<&Span> {
        let (_, owned) = self.owners.get(service)?;
        let is_granted = |span: &&Span| span.former.is_none() || self.is_handed_over(service, span);
        owned.find(key).filter(is_granted)
    }

    /// Returns since when a key has had no owner that can serve it, if this is so and known.
    pub fn vacant_since(&self, service: &Name, key: u16) -> Option<Tick> {
        match self.granted_span(service, key) {
            Some(span) => self.former.gone_since(&span.owner),
            None => self.vacancies.get(service)?.since(key),
        }
    }

    /// Decodes the objects of a kind that are new or have changed after `since`.
    fn decode_changes(
        &mut self,
        kind: Kind,
        changes: &[(Object, bool)],
        since: Tick,
        dialect: &impl Dialect,
        clock: Clock,
    ) {
        let fresh = changes.iter().filter(|(_, gone)| !gone).map(|(object, _)| object);
        match kind {
            Kind::Routes => self.decode_routes(fresh, dialect),
            Kind::Servers => self.decode_servers(fresh, since, dialect, clock),
            Kind::Owners => self.decode_owners(fresh, clock.now()),
            Kind::Evacuations => self.decode_evacuations(changes, since, clock.now()),
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
                info!(event = "routes", version = table.version, revision:% = object.position; "applied a new configuration");
                self.routes = Some(Arc::new(table));
            }
        }
    }

    fn decode_servers<'a>(
        &mut self,
        fresh: impl Iterator<Item = &'a Object>,
        since: Tick,
        dialect: &impl Dialect,
        clock: Clock,
    ) {
        let now = clock.now();
        let mut added = 0;
        for object in fresh {
            let Some(entry) = dialect.parse_server(object) else {
                let leaving = dialect.is_leaving(object).then_some(since);
                let is_new = self.malformed.record(&object.name);
                note_malformed(&self.servers, &mut self.notices, object, leaving, now, is_new);
                continue;
            };
            self.malformed.names.remove(&object.name);
            let gone = gone_since(&self.servers, &self.ended, &object.name, &entry);
            if has_ended(&mut self.ended, object, &entry, now) {
                continue;
            }
            let since = gone.map_or(since, |gone| since.min(gone));
            let log = added < MAX_LOGGED;
            added += u32::from(self.update_server(object, entry, since, clock, log));
        }
        let Some(raw) = self.raw.get(&Kind::Servers) else { return };
        self.malformed.names.retain(|name| raw.items.contains_key(name));
        if added > MAX_LOGGED {
            info!(event = "servers", come = added, known = self.servers.len(), revision:% = raw.position; "more new servers than are logged one by one");
        }
        for server in self.servers.values_mut() {
            if !raw.items.contains_key(&server.name) && server.missing.is_none() {
                info!(event = "server_missing", server = server.name.as_str(), revision:% = raw.position; "server has no entry in the store any more");
                server.missing = Some(now);
            }
        }
    }

    fn decode_owners<'a>(&mut self, fresh: impl Iterator<Item = &'a Object>, now: Tick) {
        for object in fresh {
            if let Some(owned) = self.decode_owner(object, now) {
                self.learn_owners(object.name.clone(), object.position, Rc::new(owned), now);
            }
        }
        let items = self.raw.get_mut(&Kind::Owners).map(|raw| raw.items.values_mut());
        items.into_iter().flatten().for_each(|item| item.value = Vec::new());
    }

    /// Applies a server's entry, which changed after `since`. Returns whether the server or its instance
    /// is new.
    fn update_server(
        &mut self,
        object: &Object,
        entry: ServerEntry,
        since: Tick,
        clock: Clock,
        log: bool,
    ) -> bool {
        let now = clock.now();
        let known = self.servers.get(&object.name);
        if known.is_some_and(|server| server.is_former_life(object, &entry)) {
            return false;
        }
        self.notices.record_life(&object.name, entry.life(), now);
        if entry.leaving
            && self.notices.record_leaving(&object.name, entry.life(), since, Source::Store)
            && log
        {
            let age = now.since(since).as_millis() as u64;
            info!(event = "server_leaving", server = object.name.as_str(), service = entry.service.as_str(), source = Source::Store.text(), age_ms = age, revision:% = object.position; "server announced that it leaves");
        }
        match self.servers.get_mut(&object.name) {
            Some(server)
                if server.entry.addr == entry.addr && server.entry.start_ms == entry.start_ms =>
            {
                server.update(object, entry, since, now);
                false
            }
            _ => {
                if log {
                    info!(event = "server", server = object.name.as_str(), service = entry.service.as_str(), born = entry.start_ms, revision:% = object.position; "new server or new instance of a server");
                }
                let server = Server::new(object, entry, since, clock);
                if let Some(before) = self.servers.insert(object.name.clone(), server) {
                    self.former.record(before.instance(), before.entry.location(), now);
                }
                true
            }
        }
    }

    /// Decodes the owners of a service and keeps the locations of those without entries; `None` if
    /// they are malformed.
    fn decode_owner(&mut self, object: &Object, now: Tick) -> Option<Ownership> {
        let record = OwnersRecord::decode(object.value.as_slice()).ok();
        let known = record.and_then(|record| {
            let locations: Vec<_> = record.locations().collect();
            Some((Ownership::try_from(record).ok()?, locations))
        });
        let Some((owned, locations)) = known else {
            log::warn!(event = "bad_owners", service = object.name.as_str(); "cannot decode the owners of a service; keeping the known ones");
            return None;
        };
        for (instance, location) in locations {
            let listed = self.servers.get(&instance.server);
            if listed.is_none_or(|server| server.instance() != instance) {
                self.former.learn(instance, location, now);
            }
        }
        Some(owned)
    }

    /// Applies changed evacuations, which the store acknowledged after `since`. What a listing of a new
    /// era lacks was lost, not deleted.
    fn decode_evacuations(&mut self, changes: &[(Object, bool)], since: Tick, now: Tick) {
        let era = self.synced(Kind::Evacuations).era;
        for (Object { name, position, .. }, gone) in changes {
            let domain = name.as_str();
            if !gone && self.evacuations.record(name, since) {
                let age_ms = now.since(since).as_millis() as u64;
                info!(event = "evacuation_started", domain, age_ms, revision:% = position; "the operator evacuates a failure domain");
            } else if *gone && position.era < era {
                info!(event = "evacuation_lost", domain, revision:% = position; "the store has lost the request to evacuate a failure domain; keeping it for a while");
                self.evacuations.record_lost(name, now);
            } else if *gone && self.evacuations.record_deleted(name, now) {
                info!(event = "evacuation_ended", domain, revision:% = position; "the failure domain is used again");
            }
        }
    }

    /// Ends evacuations that the store has lost and nobody has requested again.
    fn sweep_evacuations(&mut self, now: Tick) -> bool {
        let ended = self.evacuations.sweep(now);
        for domain in &ended {
            info!(event = "evacuation_ended", domain = domain.as_str(); "the store has lost the request to evacuate, and nobody wrote it again; the failure domain is used again");
        }
        !ended.is_empty()
    }

    /// Removes servers that are gone, and takes back those whose entries came back to stay. Returns
    /// whether there were any.
    ///
    /// Closes connections that have been idle for too long as well.
    pub fn sweep(&mut self, now: Tick, store_back: Tick, clock: Clock) -> bool {
        self.servers.values().for_each(|server| server.backend.evict_expired());
        self.notices.evict(now, |name| self.servers.contains_key(name));
        self.limits.evict(now, |name| self.servers.contains_key(name));
        self.former.evict(now);
        let era = self.synced(Kind::Servers).era;
        let before = self.servers.len();
        let (ended, former) = (&mut self.ended, &mut self.former);
        self.servers.retain(|_, server| {
            let Some(since) = server.missing else { return true };
            server.is_gone |= since >= store_back + OUTAGE_GRACE;
            let may_return = !server.is_gone && now < store_back + OUTAGE_GRACE;
            let used = now < since + REMOVAL_GRACE || may_return;
            if !used {
                let start_ms = server.entry.start_ms;
                let known = Ended { start_ms, gone: since, at: now, era, back: None };
                ended.insert(server.name.clone(), known);
                former.record(server.instance(), server.entry.location(), now);
            }
            used
        });
        let removed = self.servers.len() != before;
        let ended = self.sweep_evacuations(now);
        self.take_back(now, clock) || removed || ended
    }

    /// Uses servers again whose entries came back with a copy and did not expire since. Returns
    /// whether there were any.
    fn take_back(&mut self, now: Tick, clock: Clock) -> bool {
        let listed = self.raw.get(&Kind::Servers);
        let mut back = Vec::new();
        self.ended.retain(|name, ended| {
            let due = ended.back.take_if(|(at, ..)| now.since(*at) >= RETURN_DELAY);
            if let Some((_, object, entry)) = due {
                back.extend(
                    Some((object, entry, ended.gone))
                        .filter(|_| listed.is_some_and(|listed| listed.items.contains_key(name))),
                );
                return false;
            }
            ended.back.is_some() || now.since(ended.at) < ENDED_RETENTION
        });
        let any = !back.is_empty();
        for (object, entry, since) in back {
            self.update_server(&object, entry, since, clock, true);
        }
        any
    }
}

/// Returns the position of a kind without objects. That of no evacuations differs from that of a node
/// that has not listed any, so that such a node fetches a snapshot from others.
const fn base_position(kind: Kind, era: u64) -> Position {
    Position::new(era, matches!(kind, Kind::Evacuations) as u64)
}

/// Keeps the value of the newest routes that are known, also for nodes that hear of them from this
/// one, until the operator has written them again.
fn keep_routes(
    routes: &Option<Arc<RouteTable>>,
    raw: &KindCache,
    kind: Kind,
    object: &mut Object,
    dialect: &impl Dialect,
) {
    let Some(known) = raw.items.get(&object.name).filter(|_| kind == Kind::Routes) else { return };
    let Some(routes) = routes.as_ref().filter(|_| known.value != object.value) else { return };
    if dialect.parse_routes(object).is_some_and(|table| table.version < routes.version) {
        object.value = known.value.clone();
    }
}

/// Returns whether an entry is that of a server that was removed in an earlier era and has not
/// written it again.
fn has_ended(
    ended: &mut HashMap<Name, Ended>,
    object: &Object,
    entry: &ServerEntry,
    now: Tick,
) -> bool {
    let Some(known) = ended.get_mut(&object.name) else { return false };
    let same = known.start_ms == entry.start_ms && object.position.era > known.era;
    let first = known.back.as_ref().is_none_or(|(_, back, _)| back.position == object.position);
    if !same || !first {
        ended.remove(&object.name);
        return false;
    }
    known.back.get_or_insert_with(|| (now, object.clone(), entry.clone()));
    true
}

/// Returns since when a server has had no entry in the store, if it is known without one. An entry
/// that comes back and says that it leaves is no newer than that: the store may have lost the first.
fn gone_since(
    servers: &HashMap<Name, Server>,
    ended: &HashMap<Name, Ended>,
    name: &Name,
    entry: &ServerEntry,
) -> Option<Tick> {
    match servers.get(name) {
        Some(server) => server.gone_since().filter(|_| server.life() == entry.life()),
        None => ended.get(name).filter(|it| it.start_ms == entry.start_ms).map(|it| it.gone),
    }
}

/// Keeps using a server whose entry is malformed as it was known, but for what the entry says of its
/// leaving, and since when.
fn note_malformed(
    servers: &HashMap<Name, Server>,
    notices: &mut Notices,
    object: &Object,
    leaving: Option<Tick>,
    now: Tick,
    log: bool,
) {
    let server = object.name.as_str();
    let known = servers.get(server).map(Server::life);
    if log {
        log::warn!(event = "bad_entry", server, known = known.is_some(), leaving = leaving.is_some(), revision:% = object.position; "cannot parse the entry of a server; keeping what is known of it");
    }
    let (Some(life), Some(since)) = (known, leaving) else { return };
    if notices.record_leaving(&object.name, life, since, Source::Store) {
        let age = now.since(since).as_millis() as u64;
        info!(event = "server_leaving", server, source = Source::Store.text(), age_ms = age, revision:% = object.position; "server announced that it leaves");
    }
}
