//! HTTP/1.1 connection to a backend server.

use {
    super::{
        BodyStream, CallError, CloseMode, RequestBody,
        read_limit::{LimitedStream, ReadLimit},
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
        ops::RangeInclusive,
        pin::{Pin, pin},
        sync::Arc,
        task::{Context, Poll, ready},
        time::{Duration, Instant},
    },
    tokio::{net::TcpStream, task::coop, time::timeout},
    whinspring::time::Tick,
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after which a connection with unacknowledged data is closed (`TCP_USER_TIMEOUT`).
const UNACKED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum size of the head of a response.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Statuses of final responses. The parser takes any three digits from 100 on, and 101 for the end of
/// HTTP on the connection, which no request asks for.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Future that reads and writes the socket; `None` once it has completed.
type Driver<R> = Option<Pin<Box<Connection<GuardedStream, RequestBody<R>>>>>;

/// A connection that is driven by the task that uses it.
#[derive(Debug)]
pub struct Conn<R: BodyStream> {
    sender: SendRequest<RequestBody<R>>,
    driver: Driver<R>,
    /// Write deadline of the current request.
    deadline: Arc<WriteDeadline>,
    limit: Arc<ReadLimit>,
    addr: SocketAddr,
    /// When the first connection was opened of those that lead to the same process of the server.
    since: Tick,
    last_used: Instant,
    /// Whether a request was sent on the connection before.
    reused: bool,
}

impl<R: BodyStream> Conn<R> {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if the server cannot be reached or refuses the connection.
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
        let limit = ReadLimit::new();
        let socket = LimitedStream::new(socket, limit.clone());
        let stream = GuardedStream::new(socket, deadline.clone());
        let handshake = Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(stream).await;
        let (sender, driver) = handshake.map_err(|_| CallError::Unreachable)?;
        let driver = Some(Box::pin(driver));
        let (since, last_used, reused) = (clock.now(), Instant::now(), false);
        Ok(Self { sender, driver, deadline, limit, addr, since, last_used, reused })
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns since when the process of the server has been the same, as far as this connection and those
    /// that it follows tell.
    pub fn since(&self) -> Tick {
        self.since
    }

    /// Makes the connection follow one that led to the same process since `since`.
    pub(super) fn follow(&mut self, since: Tick) {
        self.since = self.since.min(since);
    }

    pub fn idle_time(&self) -> Duration {
        self.last_used.elapsed()
    }

    /// Returns whether a request was sent on the connection before.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Polls the socket and returns whether the connection is still open.
    pub async fn is_usable(&mut self) -> bool {
        poll_fn(|cx| {
            self.poll_driver(cx);
            Poll::Ready(())
        })
        .await;
        self.driver.is_some() && self.sender.is_ready()
    }

    /// Sends a request and returns the head of the response.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails, if writing the request has not begun before `until`, if what is
    /// read has no end, or if its status is not one of a final response.
    pub async fn send(
        &mut self,
        request: Request<RequestBody<R>>,
        until: Tick,
    ) -> Result<Response<Incoming>, CallError> {
        self.deadline.set(until);
        self.limit.reset();
        let mut response = pin!(self.sender.try_send_request(request));
        let (driver, deadline) = (&mut self.driver, &self.deadline);
        let response = poll_fn(|cx| {
            poll_driver(driver, cx);
            response.as_mut().poll(cx)
        })
        .await;
        self.last_used = Instant::now();
        self.reused = true;
        let fault = |_| if deadline.wrote() { CallError::Sent } else { CallError::Unsent };
        let response = response.map_err(fault)?;
        if FINAL_STATUSES.contains(&response.status().as_u16()) {
            Ok(response)
        } else {
            Err(CallError::Sent)
        }
    }

    /// Returns the next chunk of a response body; `None` after the last one.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails before the end of the body.
    pub async fn next(&mut self, body: &mut Incoming) -> Result<Option<Bytes>, CallError> {
        poll_fn(|cx| self.poll_next(body, cx)).await
    }

    /// Polls for the next chunk of a response body; `None` after the last one. Yields to other tasks
    /// after some chunks, however small they are.
    pub fn poll_next(
        &mut self,
        body: &mut Incoming,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Option<Bytes>, CallError>> {
        let budget = ready!(coop::poll_proceed(cx));
        loop {
            self.poll_driver(cx);
            let Some(frame) = ready!(Pin::new(&mut *body).poll_frame(cx)) else {
                return Poll::Ready(Ok(None));
            };
            let frame = frame.map_err(|_| CallError::Sent)?;
            if let Ok(bytes) = frame.into_data() {
                self.limit.record_delivery(bytes.len());
                budget.made_progress();
                return Poll::Ready(Ok(Some(bytes)));
            }
        }
    }

    /// Returns the complete response body. A body of at most two chunks is not checked against
    /// `limit`, in bytes.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails, or if a body of more chunks exceeds `limit`.
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

    /// Completes the exchange after a response; returns whether the connection can be reused.
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

    /// Reads and writes the socket without blocking.
    fn poll_driver(&mut self, cx: &mut Context<'_>) {
        poll_driver(&mut self.driver, cx);
    }
}

/// Reads and writes the socket without blocking; clears `driver` once it has completed.
fn poll_driver<R: BodyStream>(driver: &mut Driver<R>, cx: &mut Context<'_>) {
    let ended = driver.as_mut().is_some_and(|driver| driver.as_mut().poll(cx).is_ready());
    if ended {
        *driver = None;
    }
}

fn set_socket_options(socket: &TcpStream, close_mode: CloseMode) -> io::Result<()> {
    socket.set_nodelay(true)?;
    let socket = SockRef::from(socket);
    if close_mode == CloseMode::Reset {
        socket.set_linger(Some(Duration::ZERO))?;
    }
    socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT))
}
