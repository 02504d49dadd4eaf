//! What a holder remembers goes to the holder of the next owner.
//!
//! It is sent once. If it is lost, the next holder answers ids that it does not know as *unknown*,
//! so that nothing runs twice.

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
        holder::{Input, Memory, Unit},
        name::{Name, ServerId, slice_of},
        request::Place,
        time::Tick,
        view::View,
    },
    whinspring_wire::link::HandOver,
};

/// Time for which memory of a server that is not held yet is kept.
const STAGE_TTL: Duration = Duration::from_secs(30);

/// Servers whose memory is kept that way at most.
const MAX_STAGED: usize = 256;

/// A server: its service and number.
type ServerKey = (Name, ServerId);

/// Memory of servers that this node does not hold yet.
#[derive(Debug, Default)]
pub struct Staged(Mutex<HashMap<ServerKey, (Tick, Vec<Memory>)>>);

impl Staged {
    /// Takes the memory of a server.
    pub fn take(&self, key: &ServerKey) -> Option<Vec<Memory>> {
        self.0.lock().remove(key).map(|(_, memories)| memories)
    }

    /// Keeps the memory of a server.
    fn keep(&self, now: Tick, key: ServerKey, memories: Vec<Memory>) {
        let mut staged = self.0.lock();
        staged.retain(|_, (at, _)| now.since(*at) < STAGE_TTL);
        if staged.len() < MAX_STAGED {
            staged.entry(key).or_insert((now, Vec::new())).1.extend(memories);
        }
    }
}

impl Shared {
    /// Sends memory that a held server released to the holders of the next owners.
    pub fn hand_over(self: &Arc<Self>, service: &Name, server: ServerId, memories: Vec<Memory>) {
        let view = self.view();
        let mut ways: BTreeMap<(Name, ServerId), Vec<Memory>> = BTreeMap::new();
        for memory in memories {
            match destination(&view, &self.node, service, server, &memory.unit) {
                Some(way) => ways.entry(way).or_default().push(memory),
                None => self.metrics.count("memory_without_owner"),
            }
        }
        for ((node, server), memories) in ways {
            let hand = HandOver { service: service.clone(), server, memories };
            let shared = self.clone();
            self.runtime.spawn(async move { shared.send_memory(&node, hand).await });
        }
    }

    /// Takes memory that another holder released.
    pub fn remember(&self, hand: HandOver) {
        self.metrics.count("memory_received");
        let key = (hand.service, hand.server);
        let mut memories = Some(hand.memories);
        if self.held_server(&key.0, key.1).is_none() {
            let kept = memories.take().unwrap_or_default();
            self.staged.keep(self.clock.now(), key.clone(), kept);
        }
        let Some(held) = self.held_server(&key.0, key.1) else { return };
        if let Some(memories) = memories.or_else(|| self.staged.take(&key)) {
            held.feed(Input::Memory(memories));
        }
    }

    /// Sends memory to a node.
    async fn send_memory(self: Arc<Self>, node: &Name, hand: HandOver) {
        if *node == self.node {
            return self.remember(hand);
        }
        let addr = self.view().addr(node);
        let (Some(addr), Some(links)) = (addr, self.links()) else {
            return self.metrics.count("memory_not_sent");
        };
        let peer = Peer { name: node.clone(), addr };
        let event = match links.hand_over(&peer, hand).await {
            Ok(()) => "memory_sent",
            Err(_) => "memory_not_sent",
        };
        self.metrics.count(event);
    }
}

/// Returns the node and the server that a unit goes to.
fn destination(
    view: &View,
    me: &Name,
    service: &Name,
    server: ServerId,
    unit: &Unit,
) -> Option<(Name, ServerId)> {
    let service = view.service(service)?;
    let holder = service.holder(server)?;
    if let Some(next) = &holder.next {
        return Some((next.clone(), server));
    }
    if holder.node != *me {
        return Some((holder.node.clone(), server));
    }
    let owner = service.owner(&place(unit, service.service().slices)?)?;
    let next = owner.next.unwrap_or(owner.server);
    let node = service.holder(next)?.node.clone();
    (next != server).then_some((node, next))
}

/// Returns a place within a unit; `None` for an unkeyed service.
fn place(unit: &Unit, slices: u32) -> Option<Place> {
    if slices == 0 {
        return None;
    }
    let (key, slice) = match unit {
        Unit::Slice(slice) => (Name::new(), *slice),
        Unit::Key(key) => (key.clone(), slice_of(key, slices)),
    };
    Some(Place { key, slice })
}
