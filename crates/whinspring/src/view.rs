//! The routing view: the records that an entry needs to find the target of a request.
//!
//! A view is immutable. A changed record yields a new view that shares all unchanged services.

use {
    crate::{
        holder::Update,
        model::{Holder, Holders, Node, NodeState, Owner, Segment, Server, Service, Suspect},
        name::{Name, ServerId, Slice},
        record::{Record, Value},
        request::Place,
    },
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
};

/// The routing state of a node.
#[derive(Debug, Clone)]
pub struct View {
    node_name: Name,
    incarnation: u64,
    nodes: Arc<BTreeMap<Name, Versioned<Node>>>,
    services: BTreeMap<Name, Arc<ServiceView>>,
    prefixes: Arc<BTreeMap<Name, Name>>,
    suspects: Arc<BTreeMap<Name, Versioned<Suspect>>>,
}

/// A server that this node holds.
#[derive(Debug, Clone)]
pub struct Held {
    pub service: Name,
    pub server: ServerId,
    /// Input for its [`Holder`](crate::holder::Holder).
    pub update: Update,
}

impl View {
    /// Returns an empty view of the node `node_name` in this incarnation.
    pub fn new(node_name: Name, incarnation: u64) -> Self {
        Self {
            node_name,
            incarnation,
            nodes: Arc::default(),
            services: BTreeMap::new(),
            prefixes: Arc::default(),
            suspects: Arc::default(),
        }
    }

    /// Returns this view with changed records of any kind. A record that is not newer than the
    /// known version is ignored.
    pub fn with_records<'a>(&self, records: impl Iterator<Item = &'a Record>) -> Self {
        let mut view = self.clone();
        let mut declared = false;
        for record in records {
            declared |= view.apply(record);
        }
        if declared {
            view.prefixes = Arc::new(view.collect_prefixes());
        }
        view
    }

    pub fn with_incarnation(&self, incarnation: u64) -> Self {
        Self { incarnation, ..self.clone() }
    }

    /// Returns whether no service is known yet.
    pub fn is_empty(&self) -> bool {
        self.prefixes.is_empty()
    }

    /// Returns the service with the longest prefix of `path` that ends at a path segment.
    pub fn service_for(&self, path: &str) -> Option<&Arc<ServiceView>> {
        let path = path.split('?').next().unwrap_or_default();
        let mut rest = path.trim_end_matches('/');
        loop {
            let prefix = if rest.is_empty() { "/" } else { rest };
            if let Some(name) = self.prefixes.get(prefix) {
                return self.services.get(name);
            }
            rest = &rest[..rest.rfind('/')?];
        }
    }

    /// Returns the service of this name, if it is declared.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceView>> {
        self.services.get(name).filter(|service| service.declared.is_some())
    }

    /// Returns the declared services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceView>> {
        self.services.values().filter(|service| service.declared.is_some())
    }

    pub fn node(&self, name: &str) -> Option<&Node> {
        self.nodes.get(name)?.value.as_ref()
    }

    /// Returns the address of a node that has not been declared gone.
    pub fn addr(&self, node: &str) -> Option<SocketAddr> {
        let node = self.node(node)?;
        (node.state != NodeState::Gone).then_some(node.addr)
    }

    /// Returns whether the node of the holder still runs in the same incarnation and may serve.
    pub fn serves(&self, holder: &Holder) -> bool {
        let Some(node) = self.node(&holder.node) else { return false };
        node.incarnation == holder.incarnation && node.state != NodeState::Gone
    }

    /// Returns the servers of all services that this node holds.
    pub fn held_servers(&self) -> Vec<Held> {
        self.services().flat_map(|service| self.held_servers_of(service)).collect()
    }

    /// Returns the servers of one service that this node holds.
    pub fn held_servers_of(&self, service: &ServiceView) -> Vec<Held> {
        let Some(declared) = &service.declared else { return Vec::new() };
        let held = service.held_by(&self.node_name, self.incarnation);
        if held.is_empty() {
            return Vec::new();
        }
        let mut updates: BTreeMap<ServerId, Update> = held
            .into_iter()
            .filter_map(|(id, holder)| {
                let server = declared.servers.get(&id)?;
                Some((id, self.bare_update(declared, server, holder)))
            })
            .collect();
        service.add_owned(&mut updates);
        let name = &declared.name;
        updates
            .into_iter()
            .map(|(server, update)| Held { service: name.clone(), server, update })
            .collect()
    }

    /// Returns an update without slices and keys.
    fn bare_update(&self, service: &Service, server: &Server, holder: &Holder) -> Update {
        Update {
            server: server.clone(),
            term: holder.term,
            handover: holder.next.is_some(),
            slices: Vec::new(),
            keys: Vec::new(),
            excluded: Vec::new(),
            slice_count: if service.key.is_some() { service.slices } else { 0 },
            shares: service.shares.iter().map(|(name, share)| (name.clone(), *share)).collect(),
            suspects: self.suspects.values().filter_map(|known| known.value.clone()).collect(),
        }
    }

    /// Applies a record; returns whether the declaration of a service changed.
    fn apply(&mut self, record: &Record) -> bool {
        use crate::record::Kind;
        let name = &record.key.name;
        match record.key.kind {
            Kind::Node => {
                let value = match &record.value {
                    Some(Value::Node(node)) => Some(node.clone()),
                    _ => None,
                };
                upsert(&mut self.nodes, name, record.version, value);
            }
            Kind::Suspect => {
                let value = match &record.value {
                    Some(Value::Suspect(suspect)) => Some(suspect.clone()),
                    _ => None,
                };
                upsert(&mut self.suspects, name, record.version, value);
            }
            Kind::Service => return self.service_mut(name).declare(record),
            Kind::Holders => self.service_mut(name).set_holders(record),
            Kind::Segment => {
                let Some((service, index)) = name.rsplit_once('.') else { return false };
                let Ok(index) = index.parse() else { return false };
                self.service_mut(&Name::from(service)).set_segment(index, record);
            }
            Kind::Controller | Kind::Plan => {}
        }
        false
    }

    fn service_mut(&mut self, name: &Name) -> &mut ServiceView {
        Arc::make_mut(self.services.entry(name.clone()).or_default())
    }

    fn collect_prefixes(&self) -> BTreeMap<Name, Name> {
        let declared = self.services().filter_map(|service| service.declared.as_ref());
        declared.map(|service| (normal_prefix(&service.prefix), service.name.clone())).collect()
    }
}

/// One service: its declaration, holders and owners.
#[derive(Debug, Default, Clone)]
pub struct ServiceView {
    declared: Option<Arc<Service>>,
    holders: Arc<Holders>,
    segments: BTreeMap<u32, Versioned<Arc<Segment>>>,
    versions: Versions,
}

impl ServiceView {
    /// Returns the declaration.
    ///
    /// # Panics
    ///
    /// Panics if the service is not declared; a [`View`] returns declared services only.
    pub fn service(&self) -> &Service {
        self.declared.as_ref().expect("a view returns declared services only")
    }

    pub fn version(&self) -> u64 {
        self.versions.service
    }

    /// Returns the owner of a key: its own owner if it has one, otherwise the owner of its slice.
    pub fn owner(&self, place: &Place) -> Option<&Owner> {
        let segment = self.segment_of(place.slice)?;
        segment.keys.get(&place.key).or_else(|| segment.owner(place.slice))
    }

    pub fn segment(&self, index: u32) -> Option<&Arc<Segment>> {
        self.segments.get(&index)?.value.as_ref()
    }

    pub fn holder(&self, server: ServerId) -> Option<&Holder> {
        self.holders.terms.get(&server)
    }

    pub fn server(&self, server: ServerId) -> Option<&Server> {
        self.declared.as_ref()?.servers.get(&server)
    }

    fn segment_of(&self, slice: Slice) -> Option<&Segment> {
        let index = slice.0 / crate::model::SEGMENT_SLICES;
        self.segments.get(&index)?.value.as_deref()
    }

    fn held_by(&self, node_name: &Name, incarnation: u64) -> Vec<(ServerId, &Holder)> {
        let terms = self.holders.terms.iter();
        terms
            .filter(|(_, holder)| holder.node == *node_name && holder.incarnation == incarnation)
            .map(|(id, holder)| (*id, holder))
            .collect()
    }

    /// Adds slices and keys to the updates of their owners.
    fn add_owned(&self, updates: &mut BTreeMap<ServerId, Update>) {
        for segment in self.segments.values().filter_map(|known| known.value.as_deref()) {
            for (slice, owner) in (segment.first..).zip(&segment.owners) {
                let Some(update) = updates.get_mut(&owner.server) else { continue };
                update.slices.push((Slice(slice), owner.clone()));
            }
            for (key, owner) in &segment.keys {
                self.add_owned_key(key, owner, segment, updates);
            }
        }
    }

    fn add_owned_key(
        &self,
        key: &Name,
        owner: &Owner,
        segment: &Segment,
        updates: &mut BTreeMap<ServerId, Update>,
    ) {
        if let Some(update) = updates.get_mut(&owner.server) {
            update.keys.push((key.clone(), owner.clone()));
        }
        let Some(declared) = &self.declared else { return };
        if declared.slices == 0 {
            return;
        }
        let slice = crate::name::slice_of(key, declared.slices);
        let Some(base) = segment.owner(slice) else { return };
        if base.server == owner.server {
            return;
        }
        if let Some(update) = updates.get_mut(&base.server) {
            update.excluded.push(key.clone());
        }
    }

    /// Applies the record of the service; returns whether it changed anything.
    fn declare(&mut self, record: &Record) -> bool {
        if record.version <= self.versions.service {
            return false;
        }
        self.versions.service = record.version;
        self.declared = match &record.value {
            Some(Value::Service(service)) => Some(Arc::new(service.clone())),
            _ => None,
        };
        true
    }

    fn set_holders(&mut self, record: &Record) {
        if record.version <= self.versions.holders {
            return;
        }
        self.versions.holders = record.version;
        self.holders = match &record.value {
            Some(Value::Holders(holders)) => Arc::new(holders.clone()),
            _ => Arc::default(),
        };
    }

    fn set_segment(&mut self, index: u32, record: &Record) {
        let known = self.segments.entry(index).or_default();
        if record.version <= known.version {
            return;
        }
        known.version = record.version;
        known.value = match &record.value {
            Some(Value::Segment(segment)) => Some(Arc::new(segment.clone())),
            _ => None,
        };
    }
}

#[derive(Debug, Default, Clone, Copy)]
struct Versions {
    service: u64,
    holders: u64,
}

/// The content of a record at a version; `None` once deleted.
#[derive(Debug, Clone)]
struct Versioned<T> {
    version: u64,
    value: Option<T>,
}

impl<T> Default for Versioned<T> {
    fn default() -> Self {
        Self { version: 0, value: None }
    }
}

/// Replaces an entry of a shared table by one of a higher version.
fn upsert<T: Clone>(
    table: &mut Arc<BTreeMap<Name, Versioned<T>>>,
    name: &Name,
    version: u64,
    value: Option<T>,
) {
    if table.get(name).is_some_and(|known| known.version >= version) {
        return;
    }
    Arc::make_mut(table).insert(name.clone(), Versioned { version, value });
}

/// Returns a prefix without trailing slashes, except for the root.
fn normal_prefix(prefix: &str) -> Name {
    let bare = prefix.trim_end_matches('/');
    Name::from(if bare.is_empty() { "/" } else { bare })
}
