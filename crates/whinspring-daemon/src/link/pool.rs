//! Pool of connections by peer, opened on demand.
//!
//! At most one connection attempt per peer is in progress; callers that need a connection
//! meanwhile wait for that attempt.

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

/// Shortest delay after a failed attempt, in milliseconds.
const MIN_RETRY_MS: u64 = 20;

/// Longest delay after a failed attempt, in milliseconds.
const MAX_RETRY_MS: u64 = 100;

/// Kind of links in a pool: what they carry and how they are managed.
pub trait LinkKind: Send + Sync + Sized + 'static {
    /// Handles the frames of a connection.
    type Handler: FrameHandler;
    /// Request that waits for a connection.
    type Waiter: Send;

    const PURPOSE: Purpose;
    const TIMEOUTS: Timeouts;
    /// Maximum number of connections to one peer.
    const MAX_CONNS: usize;

    /// Creates the frame handler of a new connection.
    fn new_handler(&self, peer: &Hello) -> Self::Handler;

    /// Returns the load of a connection, to compare with [`LinkKind::FULL_LOAD`].
    fn load(&self, pooled: &PooledConn<Self>) -> usize;

    /// Load of the least loaded connection at which another one is opened.
    const FULL_LOAD: usize;

    /// Passes a connection to a request that waited for it.
    fn on_ready(&self, pooled: &Arc<PooledConn<Self>>, waiter: Self::Waiter);

    /// Fails a request that waited, as no connection could be opened.
    fn on_failure(&self, waiter: Self::Waiter);
}

/// An open connection in the pool.
pub struct PooledConn<K: LinkKind> {
    pub conn: Arc<Connection>,
    pub handler: Arc<K::Handler>,
    /// Identity of the peer, as proved by its handshake.
    pub hello: Hello,
}

/// Pool of connections of one kind to all peers.
pub struct Pool<K: LinkKind> {
    local: Arc<LocalNode>,
    kind: K,
    peers: Mutex<HashMap<SocketAddr, PeerEntry<K>>>,
    /// Reference to this pool for the tasks that it spawns.
    weak_self: Weak<Self>,
}

/// State of one peer.
struct PeerEntry<K: LinkKind> {
    conns: Vec<Arc<PooledConn<K>>>,
    /// Whether a connection attempt is in progress.
    opening: bool,
    /// Requests that wait for the attempt.
    waiters: Vec<K::Waiter>,
    /// Earliest time of the next attempt after a failed one.
    retry_at: Option<Instant>,
}

impl<K: LinkKind> Pool<K> {
    pub fn new(local: Arc<LocalNode>, kind: K) -> Arc<Self> {
        Arc::new_cyclic(|weak_self| Self {
            local,
            kind,
            peers: Mutex::new(HashMap::new()),
            weak_self: weak_self.clone(),
        })
    }

    /// Passes the least loaded connection to `waiter`, at once if one is open.
    ///
    /// If none is open, `waiter` waits for the attempt in progress, or fails at once while
    /// attempts are delayed.
    pub fn get(&self, peer: &Peer, waiter: K::Waiter) {
        let mut peers = self.peers.lock();
        let entry = peers.entry(peer.addr).or_default();
        entry.conns.retain(|pooled| !pooled.conn.is_closed());
        let least_loaded = entry.conns.iter().min_by_key(|pooled| self.kind.load(pooled)).cloned();
        let full =
            least_loaded.as_ref().is_none_or(|pooled| self.kind.load(pooled) >= K::FULL_LOAD);
        if full && entry.can_open::<K>() {
            entry.opening = true;
            self.open(peer.clone());
        }
        match least_loaded {
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

    /// Connects to a peer and performs the handshake.
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

    /// Records the outcome of an attempt and completes the waiting requests.
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
    /// Returns whether another connection can be opened now.
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

/// Returns a random delay before the next attempt.
fn retry_delay() -> Duration {
    Duration::from_millis(fastrand::u64(MIN_RETRY_MS..=MAX_RETRY_MS))
}
