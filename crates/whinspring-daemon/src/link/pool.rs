//! Open connections by peer, opened on demand.
//!
//! At most one connection to a peer is being opened at any time; whatever needs it meanwhile
//! waits for the same attempt.

use {
    super::{
        LocalNode,
        connection::{Connection, FrameHandler, Timeouts, start},
        handshake,
        socket::connect,
    },
    parking_lot::Mutex,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Weak},
        time::{Duration, Instant},
    },
    whinspring::control::Peer,
    whinspring_wire::link::{Hello, Purpose},
};

/// Shortest pause after a failed attempt, in milliseconds.
const MIN_RETRY_MS: u64 = 20;

/// Longest pause after a failed attempt, in milliseconds.
const MAX_RETRY_MS: u64 = 100;

/// What a pool opens connections for.
pub trait LinkKind: Send + Sync + Sized + 'static {
    /// What takes a connection's frames.
    type Handler: FrameHandler;
    /// What waits for a connection.
    type Waiter: Send;

    /// What the connections carry.
    const PURPOSE: Purpose;
    /// Silence and idleness that are borne.
    const TIMEOUTS: Timeouts;
    /// Connections to one peer at most.
    const MAX_CONNS: usize;

    /// Creates the receiver of a new connection.
    fn new_handler(&self, peer: &Hello) -> Self::Handler;

    /// Returns how much work a connection carries; a new one is opened above [`Kind::FULL`].
    fn load(&self, pooled: &PooledConn<Self>) -> usize;

    /// Load above which another connection is opened.
    const FULL_LOAD: usize;

    /// Hands a connection to what waited for it.
    fn on_ready(&self, pooled: &Arc<PooledConn<Self>>, waiter: Self::Waiter);

    /// Tells what waited that there is no connection.
    fn on_failure(&self, waiter: Self::Waiter);
}

/// An open connection.
pub struct PooledConn<K: LinkKind> {
    /// Its writing end.
    pub conn: Arc<Connection>,
    /// What takes its frames.
    pub handler: Arc<K::Handler>,
    /// Who is at the other end.
    pub hello: Hello,
}

/// Connections of one kind to all peers.
pub struct Pool<K: LinkKind> {
    /// What the node's links share.
    local: Arc<LocalNode>,
    /// What the connections are for.
    kind: K,
    /// Peers by address.
    peers: Mutex<HashMap<SocketAddr, PeerEntry<K>>>,
    /// This pool, for its tasks.
    weak_self: Weak<Self>,
}

/// Connections to one peer.
struct PeerEntry<K: LinkKind> {
    /// Open connections.
    conns: Vec<Arc<PooledConn<K>>>,
    /// Whether one is being opened.
    opening: bool,
    /// What waits for it.
    waiters: Vec<K::Waiter>,
    /// No attempt is made before this point.
    retry_at: Option<Instant>,
}

impl<K: LinkKind> Pool<K> {
    /// Creates an empty pool.
    pub fn new(local: Arc<LocalNode>, kind: K) -> Arc<Self> {
        Arc::new_cyclic(|weak_self| Self {
            local,
            kind,
            peers: Mutex::new(HashMap::new()),
            weak_self: weak_self.clone(),
        })
    }

    /// Hands the best connection to `waiter`, at once if one is open.
    pub fn get(&self, peer: &Peer, waiter: K::Waiter) {
        let mut peers = self.peers.lock();
        let entry = peers.entry(peer.addr).or_default();
        entry.conns.retain(|pooled| !pooled.conn.is_closed());
        let best = entry.conns.iter().min_by_key(|pooled| self.kind.load(pooled)).cloned();
        let full = best.as_ref().is_none_or(|pooled| self.kind.load(pooled) >= K::FULL_LOAD);
        if full && entry.can_open::<K>() {
            entry.opening = true;
            self.open(peer.clone());
        }
        match best {
            Some(pooled) => {
                drop(peers);
                self.kind.on_ready(&pooled, waiter);
            }
            None if entry.opening => entry.waiters.push(waiter),
            None => {
                drop(peers);
                self.kind.on_failure(waiter);
            }
        }
    }

    /// Ends every connection.
    pub fn close(&self) {
        for (_, entry) in self.peers.lock().drain() {
            entry.conns.iter().for_each(|pooled| pooled.conn.close());
        }
    }

    /// Opens a connection in the background.
    fn open(&self, peer: Peer) {
        let Some(pool) = self.weak_self.upgrade() else { return };
        let runtime = self.local.runtime(K::PURPOSE).clone();
        runtime.spawn(async move {
            let pooled = pool.dial(&peer).await;
            pool.finish_open(peer.addr, pooled);
        });
    }

    /// Opens a connection and shakes hands.
    async fn dial(&self, peer: &Peer) -> Option<Arc<PooledConn<K>>> {
        let socket = match connect(peer.addr).await {
            Ok(socket) => socket,
            Err(_) => {
                self.local.metrics.count("link_connect_failed");
                return None;
            }
        };
        match handshake::dial(&self.local, socket, peer, K::PURPOSE).await {
            Ok((stream, hello)) => {
                let handler = Arc::new(self.kind.new_handler(&hello));
                let conn = start(stream, handler.clone(), K::TIMEOUTS);
                Some(Arc::new(PooledConn { conn, handler, hello }))
            }
            Err(error) => {
                self.local.metrics.count(error.event());
                None
            }
        }
    }

    /// Takes in how an attempt ended.
    fn finish_open(&self, addr: SocketAddr, pooled: Option<Arc<PooledConn<K>>>) {
        let mut peers = self.peers.lock();
        let entry = peers.entry(addr).or_default();
        entry.opening = false;
        entry.retry_at = match &pooled {
            Some(_) => None,
            None => Some(Instant::now() + retry_delay()),
        };
        entry.conns.extend(pooled.clone());
        let waiters = std::mem::take(&mut entry.waiters);
        drop(peers);
        for waiter in waiters {
            match &pooled {
                Some(pooled) => self.kind.on_ready(pooled, waiter),
                None => self.kind.on_failure(waiter),
            }
        }
    }
}

impl<K: LinkKind> PeerEntry<K> {
    /// Returns whether another connection may be opened now.
    fn can_open<L: LinkKind>(&self) -> bool {
        let delayed = self.retry_at.is_some_and(|retry_at| Instant::now() < retry_at);
        !self.opening && !delayed && self.conns.len() < L::MAX_CONNS
    }
}

impl<K: LinkKind> Default for PeerEntry<K> {
    fn default() -> Self {
        Self { conns: Vec::new(), opening: false, waiters: Vec::new(), retry_at: None }
    }
}

/// Returns a random pause after a failed attempt.
fn retry_delay() -> Duration {
    Duration::from_millis(fastrand::u64(MIN_RETRY_MS..=MAX_RETRY_MS))
}
