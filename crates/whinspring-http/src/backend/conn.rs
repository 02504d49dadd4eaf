//! One connection to a backend server.

use {
    super::{
        BodyStream, CallError, CloseMode, RequestBody,
        write_deadline::{GuardedStream, WriteDeadline},
    },
    crate::clock::Clock,
    bytes::{Bytes, BytesMut},
    http::{Request, Response},
    http_body::Body,
    hyper::{
        body::Incoming,
        client::conn::http1::{Builder, Connection, SendRequest},
    },
    socket2::SockRef,
    std::{
        future::poll_fn,
        io,
        net::SocketAddr,
        pin::{Pin, pin},
        sync::Arc,
        task::{Context, Poll, ready},
        time::{Duration, Instant},
    },
    tokio::{net::TcpStream, time::timeout},
    whinspring::time::Tick,
};

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which unacknowledged bytes end a connection.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Reads and writes a socket; `None` once it has ended.
type Driver<R> = Option<Pin<Box<Connection<GuardedStream, RequestBody<R>>>>>;

/// A connection, driven by the task that uses it.
#[derive(Debug)]
pub struct Conn<R: BodyStream> {
    /// Sends requests.
    sender: SendRequest<RequestBody<R>>,
    /// Reads and writes the socket; `None` once it has ended.
    driver: Driver<R>,
    /// Whether the present request may be written.
    deadline: Arc<WriteDeadline>,
    /// Address of the server.
    addr: SocketAddr,
    /// When the connection was last used.
    last_used: Instant,
    /// Whether it has carried a request before.
    reused: bool,
}

impl<R: BodyStream> Conn<R> {
    /// Opens a connection.
    pub async fn open(
        addr: SocketAddr,
        clock: Clock,
        close_mode: CloseMode,
    ) -> Result<Self, CallError> {
        let socket = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
        let socket = socket.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        let socket = socket.map_err(|error| match error.kind() {
            io::ErrorKind::ConnectionRefused => CallError::Refused,
            _ => CallError::Unreachable,
        })?;
        set_socket_options(&socket, close_mode).map_err(|_| CallError::Unreachable)?;
        let deadline = WriteDeadline::new(clock);
        let stream = GuardedStream::new(socket, deadline.clone());
        let handshake = Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(stream).await;
        let (sender, driver) = handshake.map_err(|_| CallError::Unreachable)?;
        let driver = Some(Box::pin(driver));
        Ok(Self { sender, driver, deadline, addr, last_used: Instant::now(), reused: false })
    }

    /// Returns the address of the server.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the time since the connection was last used.
    pub fn idle_time(&self) -> Duration {
        self.last_used.elapsed()
    }

    /// Returns whether the connection has carried a request before.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Returns whether the connection is still open, after a look at the socket.
    pub async fn is_usable(&mut self) -> bool {
        poll_fn(|cx| {
            self.poll_driver(cx);
            Poll::Ready(())
        })
        .await;
        self.driver.is_some() && self.sender.is_ready()
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails, or if no byte was written before `until`.
    pub async fn send(
        &mut self,
        request: Request<RequestBody<R>>,
        until: Tick,
    ) -> Result<Response<Incoming>, CallError> {
        self.deadline.set(until);
        let mut response = pin!(self.sender.try_send_request(request));
        let (driver, deadline) = (&mut self.driver, &self.deadline);
        let response = poll_fn(|cx| {
            poll_driver(driver, cx);
            response.as_mut().poll(cx)
        })
        .await;
        self.last_used = Instant::now();
        self.reused = true;
        response.map_err(|_| if deadline.wrote() { CallError::Sent } else { CallError::Unsent })
    }

    /// Returns the next bytes of an answer; `None` after the last.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails before the end of the answer.
    pub async fn next(&mut self, body: &mut Incoming) -> Result<Option<Bytes>, CallError> {
        poll_fn(|cx| self.poll_next(body, cx)).await
    }

    /// Polls for the next bytes of an answer; `None` after the last.
    pub fn poll_next(
        &mut self,
        body: &mut Incoming,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Option<Bytes>, CallError>> {
        loop {
            self.poll_driver(cx);
            let Some(frame) = ready!(Pin::new(&mut *body).poll_frame(cx)) else {
                return Poll::Ready(Ok(None));
            };
            let frame = frame.map_err(|_| CallError::Sent)?;
            if let Ok(bytes) = frame.into_data() {
                return Poll::Ready(Ok(Some(bytes)));
            }
        }
    }

    /// Returns a whole answer of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails, or if the answer is longer.
    pub async fn collect(&mut self, body: &mut Incoming, limit: usize) -> Result<Bytes, CallError> {
        let Some(first) = self.next(body).await? else { return Ok(Bytes::new()) };
        let Some(second) = self.next(body).await? else { return Ok(first) };
        let mut all = BytesMut::from(first);
        all.extend_from_slice(&second);
        while let Some(bytes) = self.next(body).await? {
            all.extend_from_slice(&bytes);
            if all.len() > limit {
                return Err(CallError::Sent);
            }
        }
        Ok(all.freeze())
    }

    /// Brings the connection to rest after an answer; returns whether it can be used again.
    pub async fn finish(&mut self) -> bool {
        self.last_used = Instant::now();
        poll_fn(|cx| {
            self.poll_driver(cx);
            let mut ready = self.sender.poll_ready(cx);
            if ready.is_pending() {
                self.poll_driver(cx);
                ready = self.sender.poll_ready(cx);
            }
            Poll::Ready(self.driver.is_some() && matches!(ready, Poll::Ready(Ok(()))))
        })
        .await
    }

    /// Reads and writes the socket as far as possible.
    fn poll_driver(&mut self, cx: &mut Context<'_>) {
        poll_driver(&mut self.driver, cx);
    }
}

/// Reads and writes a socket as far as possible.
fn poll_driver<R: BodyStream>(driver: &mut Driver<R>, cx: &mut Context<'_>) {
    let ended = driver.as_mut().is_some_and(|driver| driver.as_mut().poll(cx).is_ready());
    if ended {
        *driver = None;
    }
}

/// Sets the options of a socket.
fn set_socket_options(socket: &TcpStream, close_mode: CloseMode) -> io::Result<()> {
    socket.set_nodelay(true)?;
    let socket = SockRef::from(socket);
    if close_mode == CloseMode::Reset {
        socket.set_linger(Some(Duration::ZERO))?;
    }
    socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))
}
