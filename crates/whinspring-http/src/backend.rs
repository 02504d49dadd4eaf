//! Connection pool of one backend server.
//!
//! A connection is driven by the task that uses it. The task that has just checked the clock
//! therefore also writes the request, and a connection that was closed while idle is detected
//! before it is reused.

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
    whinspring::time::Tick,
};

mod body;
mod conn;
mod error;
mod read_limit;
mod write_deadline;

/// Maximum number of idle connections.
const MAX_IDLE: usize = 64;

/// Idle time after which a connection is not reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Idle time after which a connection is not reused for a request that may run only once.
const FRESH_IDLE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Connection pool of one backend server.
#[derive(Debug)]
pub struct ConnectionPool<R: BodyStream> {
    clock: Clock,
    close_mode: CloseMode,
    /// Time after a response in which a new connection leads to the same process of the server.
    restart_time: Duration,
    state: Mutex<State<R>>,
}

/// How connections are closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseMode {
    /// Data that was sent is still delivered.
    Graceful,
    /// By a TCP reset: data that is not yet delivered is discarded.
    Reset,
}

/// Address of the server and its idle connections.
#[derive(Debug)]
struct State<R: BodyStream> {
    addr: SocketAddr,
    /// Value of the `Host` header.
    host: HeaderValue,
    /// Idle connections, the most recently used one last.
    idle: VecDeque<Conn<R>>,
    last: Option<LastResponse>,
}

/// The last response of the server.
#[derive(Debug)]
struct LastResponse {
    /// When it ended.
    ended: Tick,
    /// Since when its connection has led to the same process.
    since: Tick,
}

impl<R: BodyStream> ConnectionPool<R> {
    /// Creates an empty pool for the server at `addr`.
    pub fn new(addr: SocketAddr, clock: Clock) -> Self {
        let state = State { addr, host: host_header(addr), idle: VecDeque::new(), last: None };
        let (close_mode, restart_time) = (CloseMode::Graceful, Duration::ZERO);
        Self { clock, close_mode, restart_time, state: Mutex::new(state) }
    }

    #[must_use]
    pub fn with_close_mode(self, close_mode: CloseMode) -> Self {
        Self { close_mode, ..self }
    }

    /// Sets the least time in which a server that has responded can end and start again.
    #[must_use]
    pub fn with_restart_time(self, restart_time: Duration) -> Self {
        Self { restart_time, ..self }
    }

    /// Sets the address of the server; if it changes, closes the idle connections.
    pub fn set_addr(&self, addr: SocketAddr) {
        let mut state = self.state.lock();
        if state.addr != addr {
            state.addr = addr;
            state.host = host_header(addr);
            state.idle.clear();
            state.last = None;
        }
    }

    /// Returns the value of the `Host` header for requests to the server.
    pub fn host(&self) -> HeaderValue {
        self.state.lock().host.clone()
    }

    /// Returns an idle connection or opens a new one.
    ///
    /// A connection for a request that may run only `once` must have been in use recently.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be opened; nothing was sent in that case.
    pub async fn acquire(&self, once: bool) -> Result<Conn<R>, CallError> {
        let max_idle = if once { FRESH_IDLE_TIMEOUT } else { IDLE_TIMEOUT };
        while let Some(mut conn) = self.pop(max_idle) {
            if conn.is_usable().await {
                return Ok(conn);
            }
        }
        self.open().await
    }

    /// Returns a connection to a process that has been the same for at least `age`, see [`Conn::since`];
    /// unless it `allows_reused`, one on which no request was sent before. If there is none, there is one
    /// to a younger process for later calls when this returns.
    ///
    /// # Errors
    ///
    /// Fails if there is no idle connection and none can be opened.
    pub async fn acquire_aged(
        &self,
        age: Duration,
        allows_reused: bool,
    ) -> Result<Option<Conn<R>>, CallError> {
        let mut others = Vec::new();
        let mut aged = None;
        while let Some(mut conn) = self.pop(IDLE_TIMEOUT) {
            if !conn.is_usable().await {
                continue;
            }
            if self.age(&conn) >= age && (allows_reused || !conn.is_reused()) {
                aged = Some(conn);
                break;
            }
            others.push(conn);
        }
        let has_younger = others.iter().any(|conn| allows_reused || !conn.is_reused());
        if aged.is_none() && !has_younger {
            match self.open().await {
                Ok(conn) if self.age(&conn) >= age => aged = Some(conn),
                Ok(conn) => others.insert(0, conn),
                Err(error) => {
                    self.keep_all(others);
                    return Err(error);
                }
            }
        }
        self.keep_all(others);
        Ok(aged)
    }

    /// Puts idle connections back that were taken out one after the other.
    fn keep_all(&self, conns: Vec<Conn<R>>) {
        let mut state = self.state.lock();
        conns.into_iter().rev().for_each(|conn| state.keep(conn));
    }

    /// Opens a new connection.
    ///
    /// # Errors
    ///
    /// Fails if the server cannot be reached or refuses the connection.
    pub async fn open(&self) -> Result<Conn<R>, CallError> {
        let addr = self.state.lock().addr;
        let mut conn = Conn::open(addr, self.clock, self.close_mode).await?;
        if let Some(last) = &self.state.lock().last
            && self.clock.now().since(last.ended) < self.restart_time
        {
            conn.follow(last.since);
        }
        Ok(conn)
    }

    /// Closes the connections that have been idle for too long to be reused.
    pub fn evict_expired(&self) {
        self.state.lock().evict_expired();
    }

    /// Closes all idle connections, for use after a call timed out: the others may be dead, too.
    pub fn clear_idle(&self) {
        self.state.lock().idle.clear();
    }

    /// Returns a connection to the pool after its response was read completely.
    pub async fn release(&self, mut conn: Conn<R>) {
        let is_open = conn.finish().await;
        let mut state = self.state.lock();
        let may_follow = !self.restart_time.is_zero() && state.addr == conn.addr();
        if may_follow && conn.is_reused() {
            state.last = Some(LastResponse { ended: self.clock.now(), since: conn.since() });
        }
        if is_open {
            state.keep(conn);
        }
    }

    fn age(&self, conn: &Conn<R>) -> Duration {
        self.clock.now().since(conn.since())
    }

    /// Takes the most recently used connection, if it was idle for less than `max_idle`.
    fn pop(&self, max_idle: Duration) -> Option<Conn<R>> {
        let mut state = self.state.lock();
        state.evict_expired();
        let usable = state.idle.back().is_some_and(|conn| conn.idle_time() < max_idle);
        if usable { state.idle.pop_back() } else { None }
    }
}

impl<R: BodyStream> State<R> {
    /// Keeps an idle connection, unless it leads to a former address.
    fn keep(&mut self, conn: Conn<R>) {
        if self.addr != conn.addr() {
            return;
        }
        self.idle.push_back(conn);
        if self.idle.len() > MAX_IDLE {
            self.idle.pop_front();
        }
    }

    fn evict_expired(&mut self) {
        while self.idle.front().is_some_and(|conn| conn.idle_time() >= IDLE_TIMEOUT) {
            self.idle.pop_front();
        }
    }
}

fn host_header(addr: SocketAddr) -> HeaderValue {
    HeaderValue::from_str(&addr.to_string()).expect("an address is visible ASCII")
}
