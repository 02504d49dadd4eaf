//! One connection of a caller: whether the caller is still there, and whether it is at rest.

use {
    futures_util::FutureExt,
    socket2::SockRef,
    std::{
        cell::Cell,
        convert::Infallible,
        future::poll_fn,
        io,
        mem::MaybeUninit,
        os::fd::AsFd,
        rc::Rc,
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

/// Time that a connection at rest is given to prove that it is.
const IDLE_CHECK_TIME: Duration = Duration::from_millis(50);

task_local! {
    /// The connection that the present task serves.
    static CURRENT: Rc<Conn>;
}

/// A connection of a caller.
#[derive(Debug)]
pub struct Conn {
    /// A second handle of the socket, to see when the caller goes away.
    probe: TcpStream,
    /// Requests in progress.
    in_flight: Cell<usize>,
    /// Whether the next request is awaited.
    awaiting_request: Cell<bool>,
    /// Whether bytes of the next request have arrived.
    request_started: Cell<bool>,
    /// Wakes whoever waits for the connection to rest.
    idle: Notify,
}

/// A request in progress on a connection.
#[derive(Debug)]
pub struct RequestGuard(Rc<Conn>);

impl Conn {
    /// Takes note of a new connection.
    ///
    /// # Errors
    ///
    /// Fails if the process has no room for another handle.
    pub fn new(stream: &net::TcpStream) -> io::Result<Rc<Self>> {
        let socket = std::net::TcpStream::from(stream.as_fd().try_clone_to_owned()?);
        let probe = TcpStream::from_std(socket)?;
        Ok(Rc::new(Self {
            probe,
            in_flight: Cell::new(0),
            awaiting_request: Cell::new(false),
            request_started: Cell::new(false),
            idle: Notify::new(),
        }))
    }

    /// Returns the connection that the present task serves.
    ///
    /// # Panics
    ///
    /// Panics outside of [`Conn::scope`].
    pub fn current() -> Rc<Self> {
        CURRENT.with(Rc::clone)
    }

    /// Serves the connection in `work`.
    pub async fn scope<F: Future>(self: Rc<Self>, work: F) -> F::Output {
        CURRENT.scope(self, work).await
    }

    /// Notes that a request is in progress, until the result is dropped.
    pub fn track_request(self: &Rc<Self>) -> RequestGuard {
        self.in_flight.set(self.in_flight.get() + 1);
        RequestGuard(self.clone())
    }

    /// Waits until the caller has closed its end.
    pub async fn wait_closed(&self) {
        poll_fn(|cx| self.poll_closed(cx)).await;
    }

    /// Polls for the end of the caller's side.
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

    /// Returns whether the caller has closed its end.
    pub fn is_closed(&self) -> bool {
        let state = self.probe.ready(Interest::READABLE).now_or_never();
        match state {
            Some(Ok(state)) => state.is_read_closed(),
            Some(Err(_)) => true,
            None => false,
        }
    }

    /// Returns whether all bytes have been read and the caller has closed its end.
    pub fn is_at_eof(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        matches!(SockRef::from(&self.probe).peek(&mut byte), Ok(0))
    }

    /// Waits until the connection can be closed without a cut: it is at rest, and stays so for a
    /// moment.
    pub async fn wait_closable(&self) {
        loop {
            self.wait_idle().await;
            sleep(IDLE_CHECK_TIME).await;
            if self.is_idle() {
                return;
            }
        }
    }

    /// Waits until no request is in progress and no byte of the next one has arrived.
    async fn wait_idle(&self) {
        while !self.is_idle() {
            self.idle.notified().await;
        }
    }

    /// Returns whether no request is in progress and no byte of the next one has arrived.
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

/// A caller's socket that notes when the next request is awaited.
pub struct CallerStream {
    /// The socket.
    stream: net::TcpStream,
    /// Its connection.
    conn: Rc<Conn>,
}

impl CallerStream {
    /// Takes the socket of a connection.
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
        self.stream.write(buf)
    }

    fn shutdown(self, direction: std::net::Shutdown) -> impl Future<Output = io::Result<()>> {
        self.stream.shutdown(direction)
    }
}

/// Puts a [`CallerStream`] before what speaks HTTP.
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
