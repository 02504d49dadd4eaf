//! Transfer of request records to the holder of the next owner.
//!
//! A holder records the ids and responses of recent requests to detect duplicates. When a slice or
//! key moves, these records are sent once, without confirmation. If they are lost, the next holder
//! answers a request whose id it does not know as *unknown*, so that no request runs twice.

use {
    crate::shared::Shared,
    parking_lot::Mutex,
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
        time::Duration,
    },
    whinspring::{
        control::Peer,
        holder::{DedupState, Input, Unit},
        name::{Name, ServerId, slice_of},
        request::Place,
        time::Tick,
        view::View,
    },
    whinspring_wire::link::Handover,
};

/// Time for which the records of a server that is not yet held are kept.
const STAGE_TTL: Duration = Duration::from_secs(30);

/// Maximum number of servers that are not yet held and whose records are kept.
const MAX_STAGED: usize = 256;

/// Service of a server and the server's id.
type ServerKey = (Name, ServerId);

/// Request records of servers that this node does not hold yet.
#[derive(Debug, Default)]
pub struct StagedStates(Mutex<HashMap<ServerKey, (Tick, Vec<DedupState>)>>);

impl StagedStates {
    /// Removes and returns the records of a server.
    pub fn take(&self, key: &ServerKey) -> Option<Vec<DedupState>> {
        self.0.lock().remove(key).map(|(_, states)| states)
    }

    /// Adds records of a server and removes expired ones.
    fn insert(&self, now: Tick, key: ServerKey, states: Vec<DedupState>) {
        let mut staged = self.0.lock();
        staged.retain(|_, (at, _)| now.since(*at) < STAGE_TTL);
        if staged.len() < MAX_STAGED {
            staged.entry(key).or_insert((now, Vec::new())).1.extend(states);
        }
    }
}

impl Shared {
    /// Sends the records of released units to the holders of their next owners.
    pub fn hand_over(self: &Arc<Self>, service: &Name, server: ServerId, states: Vec<DedupState>) {
        let view = self.view();
        let mut destinations: BTreeMap<(Name, ServerId), Vec<DedupState>> = BTreeMap::new();
        for state in states {
            match destination(&view, &self.node, service, server, &state.unit) {
                Some(target) => destinations.entry(target).or_default().push(state),
                None => self.metrics.count("memory_without_owner"),
            }
        }
        for ((node, server), memories) in destinations {
            let handover = Handover { service: service.clone(), server, memories };
            let shared = self.clone();
            self.runtime.spawn(async move { shared.send_handover(&node, handover).await });
        }
    }

    /// Stores records that another holder released.
    ///
    /// Records of a server that is not held are staged. The server is looked up again after that,
    /// as it may have become held in between.
    pub fn accept_handover(&self, handover: Handover) {
        self.metrics.count("memory_received");
        let key = (handover.service, handover.server);
        let mut states = Some(handover.memories);
        if self.held_server(&key.0, key.1).is_none() {
            let staged = states.take().unwrap_or_default();
            self.staged.insert(self.clock.now(), key.clone(), staged);
        }
        let Some(held) = self.held_server(&key.0, key.1) else { return };
        if let Some(states) = states.or_else(|| self.staged.take(&key)) {
            held.feed(Input::DedupState(states));
        }
    }

    /// Sends records to a node, or accepts them directly if it is this node.
    async fn send_handover(self: Arc<Self>, node: &Name, handover: Handover) {
        if *node == self.node {
            return self.accept_handover(handover);
        }
        let addr = self.view().addr(node);
        let (Some(addr), Some(links)) = (addr, self.links()) else {
            return self.metrics.count("memory_not_sent");
        };
        let peer = Peer { name: node.clone(), addr };
        let event = match links.hand_over(&peer, handover).await {
            Ok(()) => "memory_sent",
            Err(_) => "memory_not_sent",
        };
        self.metrics.count(event);
    }
}

/// Returns the node and the server that own a unit next, or `None` if its server keeps it or its
/// next holder is unknown.
fn destination(
    view: &View,
    this_node: &Name,
    service: &Name,
    server: ServerId,
    unit: &Unit,
) -> Option<(Name, ServerId)> {
    let service = view.service(service)?;
    let holder = service.holder(server)?;
    if let Some(next) = &holder.next {
        return Some((next.clone(), server));
    }
    if holder.node != *this_node {
        return Some((holder.node.clone(), server));
    }
    let owner = service.owner(&place_in_unit(unit, service.service().slices)?)?;
    let next = owner.next.unwrap_or(owner.server);
    let node = service.holder(next)?.node.clone();
    (next != server).then_some((node, next))
}

/// Returns a key and slice within a unit; `None` for an unkeyed service.
fn place_in_unit(unit: &Unit, slices: u32) -> Option<Place> {
    if slices == 0 {
        return None;
    }
    let (key, slice) = match unit {
        Unit::Slice(slice) => (Name::new(), *slice),
        Unit::Key(key) => (key.clone(), slice_of(key, slices)),
    };
    Some(Place { key, slice })
}
