//! State of a caller's connection: whether the caller has disconnected, whether it is idle, and whether
//! it reads what is written to it.

use {
    futures_util::{FutureExt, poll},
    socket2::SockRef,
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        convert::Infallible,
        future::{pending, poll_fn},
        io,
        mem::MaybeUninit,
        net::Shutdown,
        os::fd::AsFd,
        pin::pin,
        rc::{Rc, Weak},
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{io::Interest, net::TcpStream, sync::Notify, task_local, time::sleep},
    xitca_io::{
        io::{AsyncBufRead, AsyncBufWrite, BoundedBuf, BoundedBufMut},
        net,
    },
    xitca_service::Service,
};

/// Time that a connection must stay idle before it is closed, because a request may be on its way.
const IDLE_CHECK_TIME: Duration = Duration::from_millis(50);

task_local! {
    /// Connection that the current task serves.
    static CURRENT: Rc<Conn>;
}

/// A connection of a caller.
#[derive(Debug)]
pub struct Conn {
    /// Duplicate of the socket that detects when the caller disconnects.
    probe: TcpStream,
    /// Number of requests in progress.
    in_flight: Cell<usize>,
    /// Whether a read of the next request is pending.
    awaiting_request: Cell<bool>,
    /// Whether bytes of the next request have arrived.
    request_started: Cell<bool>,
    /// Wakes the task that waits for the connection to become idle.
    idle: Notify,
    /// Limit on writes that make no progress, if there is one.
    stalls: Option<Rc<Stalls>>,
    /// Wakes the write that is to be given up.
    given_up: Notify,
    /// Whether the caller did not read what was written.
    stalled: Cell<bool>,
}

/// Limits writes to callers that do not read.
///
/// Each connection holds a bounded number of bytes while it waits for its caller. If too many wait, the
/// one that has waited for longest is closed.
#[derive(Debug)]
pub struct Stalls {
    /// Longest time in which a caller takes no byte.
    limit: Duration,
    /// Most connections that may wait at a time.
    max_waiting: usize,
    /// Connections that wait, the oldest first.
    waiting: RefCell<BTreeMap<u64, Weak<Conn>>>,
    last: Cell<u64>,
}

/// A write that waits for its caller, until it is dropped.
struct Waiting<'a> {
    stalls: &'a Stalls,
    number: u64,
}

impl Stalls {
    pub fn new(limit: Duration, max_waiting: usize) -> Rc<Self> {
        let (waiting, last) = (RefCell::default(), Cell::new(0));
        Rc::new(Self { limit, max_waiting, waiting, last })
    }

    /// Returns the number of connections whose callers take no bytes at the moment.
    pub fn waiting(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Records that a connection waits; gives up the oldest one if there are too many.
    fn enter(&self, conn: &Rc<Conn>) -> Waiting<'_> {
        let number = self.last.get() + 1;
        self.last.set(number);
        let mut waiting = self.waiting.borrow_mut();
        waiting.insert(number, Rc::downgrade(conn));
        if waiting.len() > self.max_waiting {
            let oldest = waiting.pop_first().and_then(|(_, conn)| conn.upgrade());
            oldest.inspect(|conn| conn.given_up.notify_one());
        }
        Waiting { stalls: self, number }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.stalls.waiting.borrow_mut().remove(&self.number);
    }
}

/// Marks a request as in progress until it is dropped.
#[derive(Debug)]
pub struct RequestGuard(Rc<Conn>);

impl Conn {
    /// Creates the state of a new connection.
    ///
    /// # Errors
    ///
    /// Fails if the process has no file descriptor left for the duplicate of the socket.
    pub fn new(stream: &net::TcpStream) -> io::Result<Rc<Self>> {
        let socket = std::net::TcpStream::from(stream.as_fd().try_clone_to_owned()?);
        let probe = TcpStream::from_std(socket)?;
        Ok(Rc::new(Self {
            probe,
            in_flight: Cell::new(0),
            awaiting_request: Cell::new(false),
            request_started: Cell::new(false),
            idle: Notify::new(),
            stalls: None,
            given_up: Notify::new(),
            stalled: Cell::new(false),
        }))
    }

    /// Creates the state of a new connection that is closed if its caller does not read. The socket
    /// buffers at most `send_buffer` bytes.
    ///
    /// # Errors
    ///
    /// Fails as [`Conn::new`] does, or if the size of the buffer cannot be set.
    pub fn with_stalls(
        stream: &net::TcpStream,
        stalls: &Rc<Stalls>,
        send_buffer: usize,
    ) -> io::Result<Rc<Self>> {
        let mut conn = Self::new(stream)?;
        SockRef::from(&conn.probe).set_send_buffer_size(send_buffer)?;
        if let Some(conn) = Rc::get_mut(&mut conn) {
            conn.stalls = Some(stalls.clone());
        }
        Ok(conn)
    }

    /// Returns whether the connection was closed because the caller did not read.
    pub fn is_stalled(&self) -> bool {
        self.stalled.get()
    }

    /// Completes a write. If the caller takes no byte in time, resets the connection, so that the write
    /// fails and what the socket has buffered is discarded.
    async fn complete_write<T>(self: Rc<Self>, write: impl Future<Output = T>) -> T {
        let mut write = pin!(write);
        if let Poll::Ready(written) = poll!(write.as_mut()) {
            return written;
        }
        let Some(stalls) = &self.stalls else { return write.await };
        let _waiting = stalls.enter(&self);
        tokio::select! {
            biased;
            written = write.as_mut() => return written,
            () = sleep(stalls.limit) => {}
            () = self.given_up.notified() => {}
        }
        self.stalled.set(true);
        let socket = SockRef::from(&self.probe);
        let _ = socket.set_linger(Some(Duration::ZERO));
        let _ = socket.shutdown(Shutdown::Both);
        write.await
    }

    /// Returns the connection that the current task serves.
    ///
    /// # Panics
    ///
    /// Panics outside of [`Conn::scope`].
    pub fn current() -> Rc<Self> {
        CURRENT.with(Rc::clone)
    }

    /// Runs `work` with this connection as the current one.
    pub async fn scope<F: Future>(self: Rc<Self>, work: F) -> F::Output {
        CURRENT.scope(self, work).await
    }

    /// Marks a request as in progress until the returned guard is dropped.
    pub fn track_request(self: &Rc<Self>) -> RequestGuard {
        self.in_flight.set(self.in_flight.get() + 1);
        RequestGuard(self.clone())
    }

    /// Waits until the caller has closed its side of the connection.
    pub async fn wait_closed(&self) {
        poll_fn(|cx| self.poll_closed(cx)).await;
    }

    /// Polls for the caller to close its side of the connection.
    pub fn poll_closed(&self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            if ready!(self.probe.poll_read_ready(cx)).is_err() || self.is_closed() {
                return Poll::Ready(());
            }
            let _ = self
                .probe
                .try_io(Interest::READABLE, || Err::<(), _>(io::ErrorKind::WouldBlock.into()));
        }
    }

    /// Returns whether the caller has closed its side of the connection.
    pub fn is_closed(&self) -> bool {
        let state = self.probe.ready(Interest::READABLE).now_or_never();
        match state {
            Some(Ok(state)) => state.is_read_closed(),
            Some(Err(_)) => true,
            None => false,
        }
    }

    /// Waits for ever if the caller has closed its side of the connection, and not at all otherwise: the
    /// handler of the request ends as soon as [`Conn::wait_closed`] does.
    ///
    /// The socket is asked directly. What the runtime knows of it may be as old as the last time at which
    /// it looked, which is seconds where there is little processor time.
    pub async fn ensure_open(&self) {
        if self.has_closed() {
            pending::<()>().await;
        }
    }

    /// Returns whether the caller has closed its side, as far as the socket shows behind unread data.
    fn has_closed(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.probe).peek(&mut byte);
        let is_at_end = peeked
            .map_or_else(|error| error.kind() != io::ErrorKind::WouldBlock, |bytes| bytes == 0);
        is_at_end || self.is_closed()
    }

    /// Returns whether the caller has closed its side and all data has been read.
    pub fn is_at_eof(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        matches!(SockRef::from(&self.probe).peek(&mut byte), Ok(0))
    }

    /// Returns whether bytes have arrived that have not been read. The socket is asked directly, as in
    /// [`Conn::ensure_open`].
    fn has_unread(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        matches!(SockRef::from(&self.probe).peek(&mut byte), Ok(1))
    }

    /// Waits until the connection can be closed without interrupting a request: it has been idle
    /// and is still idle a moment later, with no unread bytes of a next request.
    pub async fn wait_closable(&self) {
        loop {
            self.wait_idle().await;
            sleep(IDLE_CHECK_TIME).await;
            if self.is_idle() && !self.has_unread() {
                return;
            }
        }
    }

    /// Waits until the connection is idle: no request is in progress, and no byte of the next one
    /// has arrived.
    async fn wait_idle(&self) {
        while !self.is_idle() {
            self.idle.notified().await;
        }
    }

    fn is_idle(&self) -> bool {
        self.in_flight.get() == 0 && self.awaiting_request.get() && !self.request_started.get()
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let conn = &self.0;
        conn.in_flight.set(conn.in_flight.get() - 1);
        conn.request_started.set(false);
    }
}

/// A caller's socket that records whether the next request is awaited or has started.
pub struct CallerStream {
    stream: net::TcpStream,
    conn: Rc<Conn>,
}

impl CallerStream {
    pub fn new(stream: net::TcpStream, conn: Rc<Conn>) -> Self {
        Self { stream, conn }
    }
}

impl AsyncBufRead for CallerStream {
    async fn read<B: BoundedBufMut>(&self, buf: B) -> (io::Result<usize>, B) {
        self.conn.awaiting_request.set(true);
        self.conn.idle.notify_one();
        let (read, buf) = self.stream.read(buf).await;
        self.conn.awaiting_request.set(false);
        if matches!(read, Ok(bytes) if bytes > 0) {
            self.conn.request_started.set(true);
        }
        (read, buf)
    }
}

impl AsyncBufWrite for CallerStream {
    fn write<B: BoundedBuf>(&self, buf: B) -> impl Future<Output = (io::Result<usize>, B)> {
        self.conn.clone().complete_write(self.stream.write(buf))
    }

    fn shutdown(self, direction: std::net::Shutdown) -> impl Future<Output = io::Result<()>> {
        self.stream.shutdown(direction)
    }
}

/// Wraps accepted sockets in [`CallerStream`]; takes the place of a TLS acceptor.
pub struct Acceptor;

impl Service for Acceptor {
    type Response = Acceptor;
    type Error = Infallible;

    async fn call(&self, (): ()) -> Result<Acceptor, Infallible> {
        Ok(Acceptor)
    }
}

impl Service<net::TcpStream> for Acceptor {
    type Response = CallerStream;
    type Error = Infallible;

    async fn call(&self, stream: net::TcpStream) -> Result<CallerStream, Infallible> {
        Ok(CallerStream::new(stream, Conn::current()))
    }
}
