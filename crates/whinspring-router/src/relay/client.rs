//! Relays that this node can use, and the connections to them.

use {
    crate::{
        node::Node,
        peers::{Peer, Peers},
        platform::Platform,
    },
    std::{collections::HashMap, net::SocketAddr, rc::Rc},
    whinspring::{
        name::Name,
        relay::{Candidate, Origin, choose},
        time::Tick,
    },
    whinspring_http::{
        backend::{ConnectionPool, NoStream},
        clock::Clock,
    },
};

/// A relay and the connections to it.
#[derive(Debug, Clone)]
pub struct Relay {
    /// Name of the node.
    pub name: Name,
    pub pool: Rc<ConnectionPool<NoStream>>,
}

/// Connections to relays, by node.
#[derive(Debug, Default)]
pub struct Relays {
    pools: HashMap<Name, Rc<ConnectionPool<NoStream>>>,
}

impl Relays {
    /// Returns the connections to a node at an address.
    fn open(&mut self, name: &Name, addr: SocketAddr, clock: Clock) -> Relay {
        let pool = self.pools.entry(name.clone());
        let pool = pool.or_insert_with(|| Rc::new(ConnectionPool::new(addr, clock)));
        pool.set_addr(addr);
        Relay { name: name.clone(), pool: pool.clone() }
    }

    /// Closes the connections that were idle for too long, and those to nodes that are gone.
    pub fn sweep(&mut self, peers: &Peers) {
        self.pools.retain(|name, _| peers.nodes.contains_key(name));
        self.pools.values().for_each(|pool| pool.evict_expired());
    }
}

/// Returns the relay for requests to a server, if there is one that is not known to fail for it and
/// that is none of `failed`.
pub fn find<P: Platform>(node: &Rc<Node<P>>, server: &Name, failed: &[Name]) -> Option<Relay> {
    let now = node.now();
    let unable = node.detours.borrow().failed_relays(server, now);
    let is_failed = |name: &Name| failed.contains(name) || unable.contains(name);
    let (name, addr) = {
        let peers = node.peers.borrow();
        let usable = usable(&peers, now).filter(|(name, _)| !is_failed(name));
        let candidates: Vec<Candidate<'_>> =
            usable.map(|(name, peer)| Candidate { name, domain: &peer.heartbeat.domain }).collect();
        let domain = node.settings.domain.as_str();
        let is_unable = |peer: &&Peer| peer.heartbeat.domain == domain && !is_usable(peer);
        let unable = 1 + peers.live(now).map(|(_, peer)| peer).filter(is_unable).count();
        let name = choose(server, Origin { domain, unable }, &candidates)?;
        (name.clone(), peers.nodes.get(name)?.heartbeat.relay.parse().ok()?)
    };
    Some(node.relays.borrow_mut().open(&name, addr, node.clock))
}

/// Returns whether there is a relay.
pub fn is_available<P: Platform>(node: &Rc<Node<P>>) -> bool {
    usable(&node.peers.borrow(), node.now()).next().is_some()
}

/// Returns the live nodes that can relay requests.
fn usable(peers: &Peers, now: Tick) -> impl Iterator<Item = (&Name, &Peer)> {
    peers.live(now).filter(|(_, peer)| is_usable(peer))
}

/// Returns whether a node reaches servers and takes requests of other nodes, as it says itself.
fn is_usable(peer: &Peer) -> bool {
    let heartbeat = &peer.heartbeat;
    !heartbeat.leaving && !heartbeat.cut_off && !heartbeat.relay.is_empty()
}
