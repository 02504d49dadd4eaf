//! Connections to one backend server.
//!
//! A connection is driven by the task that uses it, so that a request is written by the task that
//! has just looked at the clock, and a connection that was closed while it was idle is seen
//! before it is used again.

pub use self::{
    conn::Conn,
    fault::Fault,
    upstream::{Broken, Nothing, Rest, Upstream},
};

use {
    crate::clock::Clock,
    http::HeaderValue,
    parking_lot::Mutex,
    std::{collections::VecDeque, net::SocketAddr, time::Duration},
};

mod conn;
mod fault;
mod guard;
mod upstream;

/// Idle connections that are kept; never more than were in use at once.
const MAX_IDLE: usize = 64;

/// Age at which an idle connection is not used again.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Age at which an idle connection is not used for a request that may run only once.
const FRESH: Duration = Duration::from_millis(1_000);

/// Connections to one backend server.
#[derive(Debug)]
pub struct Backend<R: Rest> {
    /// Clock of the process.
    clock: Clock,
    /// How its connections end.
    close: Close,
    /// What is known of the server and its connections.
    state: Mutex<State<R>>,
}

/// How a connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Close {
    /// What was sent still arrives.
    Orderly,
    /// By a reset: what has not arrived yet is lost.
    Reset,
}

/// The server and its idle connections.
#[derive(Debug)]
struct State<R: Rest> {
    /// Address of the server.
    addr: SocketAddr,
    /// Value of the host header.
    host: HeaderValue,
    /// Idle connections, the one used last at the end.
    idle: VecDeque<Conn<R>>,
}

impl<R: Rest> Backend<R> {
    /// Creates an empty set of connections to the server at `addr`.
    pub fn new(addr: SocketAddr, clock: Clock) -> Self {
        let state = State { addr, host: host(addr), idle: VecDeque::new() };
        Self { clock, close: Close::Orderly, state: Mutex::new(state) }
    }

    /// Sets how connections end.
    #[must_use]
    pub fn closing(self, close: Close) -> Self {
        Self { close, ..self }
    }

    /// Sets the address of the server; a change drops the idle connections.
    pub fn set_addr(&self, addr: SocketAddr) {
        let mut state = self.state.lock();
        if state.addr != addr {
            state.addr = addr;
            state.host = host(addr);
            state.idle.clear();
        }
    }

    /// Returns the value of the host header of requests to the server.
    pub fn host(&self) -> HeaderValue {
        self.state.lock().host.clone()
    }

    /// Returns an idle connection, or opens one.
    ///
    /// # Errors
    ///
    /// Fails if the server takes no connection; nothing was sent then.
    pub async fn take(&self, once: bool) -> Result<Conn<R>, Fault> {
        let oldest = if once { FRESH } else { IDLE_TIMEOUT };
        while let Some(mut conn) = self.pop(oldest) {
            if conn.is_usable().await {
                return Ok(conn);
            }
        }
        self.open().await
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if the server takes no connection.
    pub async fn open(&self) -> Result<Conn<R>, Fault> {
        let addr = self.state.lock().addr;
        Conn::open(addr, self.clock, self.close).await
    }

    /// Drops the connections that have been idle for too long to be used again.
    pub fn sweep(&self) {
        self.state.lock().drop_old();
    }

    /// Drops the idle connections, as one of them may have fallen silent unseen.
    pub fn clear(&self) {
        self.state.lock().idle.clear();
    }

    /// Keeps a connection whose answer was read to its end.
    pub async fn give_back(&self, mut conn: Conn<R>) {
        if !conn.settle().await {
            return;
        }
        let mut state = self.state.lock();
        if state.addr != conn.addr() {
            return;
        }
        state.idle.push_back(conn);
        if state.idle.len() > MAX_IDLE {
            state.idle.pop_front();
        }
    }

    /// Takes the connection that was used last, if it is not too old.
    fn pop(&self, oldest: Duration) -> Option<Conn<R>> {
        let mut state = self.state.lock();
        state.drop_old();
        let fresh = state.idle.back().is_some_and(|conn| conn.age() < oldest);
        if fresh { state.idle.pop_back() } else { None }
    }
}

impl<R: Rest> State<R> {
    /// Drops the connections that have been idle for too long.
    fn drop_old(&mut self) {
        while self.idle.front().is_some_and(|conn| conn.age() >= IDLE_TIMEOUT) {
            self.idle.pop_front();
        }
    }
}

/// Returns the value of the host header of requests to `addr`.
fn host(addr: SocketAddr) -> HeaderValue {
    HeaderValue::from_str(&addr.to_string()).expect("an address is visible ASCII")
}
