//! Connections to one backend server.
//!
//! A connection is driven by the task that uses it, so that a request is written by the task that
//! has just looked at the clock, and a connection that was closed while it was idle is seen
//! before it is used again.

pub use self::{
    body::{BodyAborted, BodyStream, NoStream, RequestBody},
    conn::Conn,
    error::CallError,
};

use {
    crate::clock::Clock,
    http::HeaderValue,
    parking_lot::Mutex,
    std::{collections::VecDeque, net::SocketAddr, time::Duration},
};

mod body;
mod conn;
mod error;
mod write_deadline;

/// Idle connections that are kept; never more than were in use at once.
const MAX_IDLE: usize = 64;

/// Age at which an idle connection is not used again.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Age at which an idle connection is not used for a request that may run only once.
const FRESH_IDLE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Connections to one backend server.
#[derive(Debug)]
pub struct ConnectionPool<R: BodyStream> {
    /// Clock of the process.
    clock: Clock,
    /// How its connections end.
    close_mode: CloseMode,
    /// What is known of the server and its connections.
    state: Mutex<State<R>>,
}

/// How a connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseMode {
    /// What was sent still arrives.
    Graceful,
    /// By a reset: what has not arrived yet is lost.
    Reset,
}

/// The server and its idle connections.
#[derive(Debug)]
struct State<R: BodyStream> {
    /// Address of the server.
    addr: SocketAddr,
    /// Value of the host header.
    host: HeaderValue,
    /// Idle connections, the one used last at the end.
    idle: VecDeque<Conn<R>>,
}

impl<R: BodyStream> ConnectionPool<R> {
    /// Creates an empty set of connections to the server at `addr`.
    pub fn new(addr: SocketAddr, clock: Clock) -> Self {
        let state = State { addr, host: host_header(addr), idle: VecDeque::new() };
        Self { clock, close_mode: CloseMode::Graceful, state: Mutex::new(state) }
    }

    /// Sets how connections end.
    #[must_use]
    pub fn with_close_mode(self, close_mode: CloseMode) -> Self {
        Self { close_mode, ..self }
    }

    /// Sets the address of the server; a change drops the idle connections.
    pub fn set_addr(&self, addr: SocketAddr) {
        let mut state = self.state.lock();
        if state.addr != addr {
            state.addr = addr;
            state.host = host_header(addr);
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
    pub async fn acquire(&self, once: bool) -> Result<Conn<R>, CallError> {
        let max_idle = if once { FRESH_IDLE_TIMEOUT } else { IDLE_TIMEOUT };
        while let Some(mut conn) = self.pop(max_idle) {
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
    pub async fn open(&self) -> Result<Conn<R>, CallError> {
        let addr = self.state.lock().addr;
        Conn::open(addr, self.clock, self.close_mode).await
    }

    /// Drops the connections that have been idle for too long to be used again.
    pub fn evict_expired(&self) {
        self.state.lock().evict_expired();
    }

    /// Drops the idle connections, as one of them may have fallen silent unseen.
    pub fn clear_idle(&self) {
        self.state.lock().idle.clear();
    }

    /// Keeps a connection whose answer was read to its end.
    pub async fn release(&self, mut conn: Conn<R>) {
        if !conn.finish().await {
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
    fn pop(&self, max_idle: Duration) -> Option<Conn<R>> {
        let mut state = self.state.lock();
        state.evict_expired();
        let usable = state.idle.back().is_some_and(|conn| conn.idle_time() < max_idle);
        if usable { state.idle.pop_back() } else { None }
    }
}

impl<R: BodyStream> State<R> {
    /// Drops the connections that have been idle for too long.
    fn evict_expired(&mut self) {
        while self.idle.front().is_some_and(|conn| conn.idle_time() >= IDLE_TIMEOUT) {
            self.idle.pop_front();
        }
    }
}

/// Returns the value of the host header of requests to `addr`.
fn host_header(addr: SocketAddr) -> HeaderValue {
    HeaderValue::from_str(&addr.to_string()).expect("an address is visible ASCII")
}
