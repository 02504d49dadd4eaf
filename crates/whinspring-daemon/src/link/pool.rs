//! Open connections by peer, opened on demand.
//!
//! At most one connection to a peer is being opened at any time; whatever needs it meanwhile
//! waits for the same attempt.

use {
    super::{
        Local, handshake,
        line::{Line, Patience, Receive, start},
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
const RETRY_LEAST_MS: u64 = 20;

/// Longest pause after a failed attempt, in milliseconds.
const RETRY_MOST_MS: u64 = 100;

/// What a pool opens connections for.
pub trait Kind: Send + Sync + Sized + 'static {
    /// What takes a connection's frames.
    type Receiver: Receive;
    /// What waits for a connection.
    type Waiter: Send;

    /// What the connections carry.
    const PURPOSE: Purpose;
    /// Silence and idleness that are borne.
    const PATIENCE: Patience;
    /// Connections to one peer at most.
    const LIMIT: usize;

    /// Creates the receiver of a new connection.
    fn receiver(&self, peer: &Hello) -> Self::Receiver;

    /// Returns how much work a connection carries; a new one is opened above [`Kind::FULL`].
    fn load(&self, conn: &Conn<Self>) -> usize;

    /// Load above which another connection is opened.
    const FULL: usize;

    /// Hands a connection to what waited for it.
    fn ready(&self, conn: &Arc<Conn<Self>>, waiter: Self::Waiter);

    /// Tells what waited that there is no connection.
    fn failed(&self, waiter: Self::Waiter);
}

/// An open connection.
pub struct Conn<K: Kind> {
    /// Its writing end.
    pub line: Arc<Line>,
    /// What takes its frames.
    pub receiver: Arc<K::Receiver>,
    /// Who is at the other end.
    pub hello: Hello,
}

/// Connections of one kind to all peers.
pub struct Pool<K: Kind> {
    /// What the node's links share.
    local: Arc<Local>,
    /// What the connections are for.
    kind: K,
    /// Peers by address.
    peers: Mutex<HashMap<SocketAddr, Entry<K>>>,
    /// This pool, for its tasks.
    me: Weak<Self>,
}

/// Connections to one peer.
struct Entry<K: Kind> {
    /// Open connections.
    conns: Vec<Arc<Conn<K>>>,
    /// Whether one is being opened.
    opening: bool,
    /// What waits for it.
    waiters: Vec<K::Waiter>,
    /// No attempt is made before this point.
    after: Option<Instant>,
}

impl<K: Kind> Pool<K> {
    /// Creates an empty pool.
    pub fn new(local: Arc<Local>, kind: K) -> Arc<Self> {
        Arc::new_cyclic(|me| Self {
            local,
            kind,
            peers: Mutex::new(HashMap::new()),
            me: me.clone(),
        })
    }

    /// Hands the best connection to `waiter`, at once if one is open.
    pub fn get(&self, peer: &Peer, waiter: K::Waiter) {
        let mut peers = self.peers.lock();
        let entry = peers.entry(peer.addr).or_default();
        entry.conns.retain(|conn| !conn.line.is_ended());
        let best = entry.conns.iter().min_by_key(|conn| self.kind.load(conn)).cloned();
        let full = best.as_ref().is_none_or(|conn| self.kind.load(conn) >= K::FULL);
        if full && entry.may_open::<K>() {
            entry.opening = true;
            self.open(peer.clone());
        }
        match best {
            Some(conn) => {
                drop(peers);
                self.kind.ready(&conn, waiter);
            }
            None if entry.opening => entry.waiters.push(waiter),
            None => {
                drop(peers);
                self.kind.failed(waiter);
            }
        }
    }

    /// Ends every connection.
    pub fn close(&self) {
        for (_, entry) in self.peers.lock().drain() {
            entry.conns.iter().for_each(|conn| conn.line.end());
        }
    }

    /// Opens a connection in the background.
    fn open(&self, peer: Peer) {
        let Some(pool) = self.me.upgrade() else { return };
        let runtime = self.local.runtime(K::PURPOSE).clone();
        runtime.spawn(async move {
            let conn = pool.dial(&peer).await;
            pool.opened(peer.addr, conn);
        });
    }

    /// Opens a connection and shakes hands.
    async fn dial(&self, peer: &Peer) -> Option<Arc<Conn<K>>> {
        let socket = match connect(peer.addr).await {
            Ok(socket) => socket,
            Err(_) => {
                self.local.metrics.count("link_connect_failed");
                return None;
            }
        };
        match handshake::dial(&self.local, socket, peer, K::PURPOSE).await {
            Ok((stream, hello)) => {
                let receiver = Arc::new(self.kind.receiver(&hello));
                let line =
                    start(stream, receiver.clone(), K::PATIENCE, self.local.written(K::PURPOSE));
                Some(Arc::new(Conn { line, receiver, hello }))
            }
            Err(error) => {
                self.local.metrics.count(error.event());
                None
            }
        }
    }

    /// Takes in how an attempt ended.
    fn opened(&self, addr: SocketAddr, conn: Option<Arc<Conn<K>>>) {
        let mut peers = self.peers.lock();
        let entry = peers.entry(addr).or_default();
        entry.opening = false;
        entry.after = match &conn {
            Some(_) => None,
            None => Some(Instant::now() + pause()),
        };
        entry.conns.extend(conn.clone());
        let waiters = std::mem::take(&mut entry.waiters);
        drop(peers);
        for waiter in waiters {
            match &conn {
                Some(conn) => self.kind.ready(conn, waiter),
                None => self.kind.failed(waiter),
            }
        }
    }
}

impl<K: Kind> Entry<K> {
    /// Returns whether another connection may be opened now.
    fn may_open<L: Kind>(&self) -> bool {
        let paused = self.after.is_some_and(|after| Instant::now() < after);
        !self.opening && !paused && self.conns.len() < L::LIMIT
    }
}

impl<K: Kind> Default for Entry<K> {
    fn default() -> Self {
        Self { conns: Vec::new(), opening: false, waiters: Vec::new(), after: None }
    }
}

/// Returns a random pause after a failed attempt.
fn pause() -> Duration {
    Duration::from_millis(fastrand::u64(RETRY_LEAST_MS..=RETRY_MOST_MS))
}
