//! An attempt to run a request on a server, until its response has been read.

use {
    crate::{admission::Permit, node::Node, platform::Platform},
    bytes::{Bytes, BytesMut},
    hyper::body::Incoming,
    log::info,
    std::{
        io,
        rc::Rc,
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{task::spawn_local, time::timeout},
    whinspring::{gate::ServerOutcome, name::Name, time::Tick},
    whinspring_http::backend::{Conn, ConnectionPool, NoStream},
};

/// Largest response body that is buffered before it is forwarded; longer ones are streamed.
pub const MAX_BUFFERED_BYTES: u64 = 32 << 10;

/// Longest time to read a response that is not forwarded.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(50);

/// An attempt to run a request on a server, until its response has been read.
pub struct Attempt<P: Platform> {
    /// Permit of the gate; its drop frees the slot.
    pub(super) permit: Permit<P>,
    pub(super) node: Rc<Node<P>>,
    /// Counts the request at its server; see [`Server::running`](crate::cluster::Server::running).
    #[expect(dead_code, reason = "counts until it is dropped")]
    pub(super) running: Rc<()>,
    pub(super) backend: Rc<ConnectionPool<NoStream>>,
    /// Outcome to report once the response has been read.
    pub(super) outcome: ServerOutcome,
    pub(super) conn: Option<Conn<NoStream>>,
    /// Number of the sending; all but the first use new connections only.
    pub(super) number: u32,
    /// The unread rest of the response.
    pub(super) body: Option<Incoming>,
    /// Bytes that were read but not forwarded.
    pub(super) prefix: Option<Bytes>,
    pub(super) route: Name,
    pub(super) server: Name,
    /// Whether the server is in another failure domain.
    pub(super) is_outside: bool,
    /// Start of the attempt.
    pub(super) start: Tick,
}

/// What was read of a response body.
pub(super) enum Collected {
    /// The whole body.
    Complete(Bytes),
    /// The first bytes of a body that is too long to buffer.
    Partial(Bytes),
    /// The body was truncated.
    Broken,
}

impl<P: Platform> Attempt<P> {
    /// Returns whether the request was sent to a server before.
    pub(super) fn is_retry(&self) -> bool {
        self.number > 1
    }

    /// Polls for the next bytes of the response body.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        if let Some(prefix) = self.prefix.take() {
            return Poll::Ready(Some(Ok(prefix)));
        }
        let (Some(conn), Some(body)) = (&mut self.conn, &mut self.body) else {
            return Poll::Ready(None);
        };
        match ready!(conn.poll_next(body, cx)) {
            Ok(Some(bytes)) => {
                self.record_bytes(bytes.len());
                Poll::Ready(Some(Ok(bytes)))
            }
            Ok(None) => {
                self.finish();
                Poll::Ready(None)
            }
            Err(_) => {
                self.permit.outcome = ServerOutcome::Failed;
                self.conn = None;
                Poll::Ready(Some(Err(io::ErrorKind::UnexpectedEof.into())))
            }
        }
    }

    /// Counts a request that reached its server, and its bytes if they crossed failure domains.
    pub(super) fn record_sent(&self, bytes: usize) {
        let event = if self.is_outside { "served_outside" } else { "served_inside" };
        self.node.metrics.count(event);
        self.record_bytes(bytes);
    }

    /// Counts bytes of a body that crossed failure domains.
    fn record_bytes(&self, bytes: usize) {
        if self.is_outside {
            self.node.metrics.add("bytes_outside", bytes as u64);
        }
    }

    /// Breaks off the response; the request's `id` and `why` are for the log. A caller that has left
    /// says nothing of the server.
    pub fn abort(&mut self, id: &str, why: &'static str) {
        self.permit.outcome = match why {
            "caller_gone" => ServerOutcome::NotSent,
            _ => ServerOutcome::Failed,
        };
        let elapsed = self.node.now().since(self.start).as_millis() as u64;
        self.node.metrics.count("stream_broken_off");
        info!(event = "stream_broken_off", id, server = self.server.as_str(), route = self.route.as_str(), why, elapsed_ms = elapsed; "the rest of the server's response is not forwarded");
        self.body = None;
        self.conn = None;
    }

    /// Reads a response body up to [`MAX_BUFFERED_BYTES`]; `length` is its expected length.
    pub(super) async fn collect(&mut self, length: Option<u64>) -> Collected {
        let mut all = BytesMut::with_capacity(length.unwrap_or(0) as usize);
        loop {
            let (Some(conn), Some(body)) = (&mut self.conn, &mut self.body) else {
                return Collected::Broken;
            };
            match conn.next(body).await {
                Ok(Some(bytes)) => {
                    all.extend_from_slice(&bytes);
                    self.record_bytes(bytes.len());
                }
                Ok(None) => {
                    self.finish();
                    return Collected::Complete(all.freeze());
                }
                Err(_) => return Collected::Broken,
            }
            if all.len() as u64 > MAX_BUFFERED_BYTES {
                return Collected::Partial(all.freeze());
            }
        }
    }

    /// Sets the outcome to report, also if the rest of the response is not read.
    pub(super) fn set_outcome(&mut self, outcome: ServerOutcome) {
        self.outcome = outcome;
        self.permit.outcome = outcome;
    }

    /// Discards a response that is not forwarded. Drops the connection if the body is long or slow:
    /// the caller is waiting.
    pub(super) async fn drain(&mut self) {
        match timeout(DRAIN_TIMEOUT, self.collect(None)).await {
            Ok(Collected::Complete(_) | Collected::Broken) => {}
            Ok(Collected::Partial(_)) | Err(_) => self.conn = None,
        }
    }

    /// Records the end of the response and releases the connection.
    fn finish(&mut self) {
        self.body = None;
        self.permit.outcome = self.outcome;
        let elapsed = self.node.now().since(self.start);
        let mut meter = self.node.meter.borrow_mut();
        match self.outcome {
            ServerOutcome::Completed => meter.record_latency(&self.route, &self.server, elapsed),
            ServerOutcome::Errored => meter.record_error(&self.server),
            ServerOutcome::Failed | ServerOutcome::Shed | ServerOutcome::NotSent => {}
        }
        drop(meter);
        self.release_conn();
    }

    /// Returns the connection to the pool.
    fn release_conn(&mut self) {
        if let Some(conn) = self.conn.take() {
            let backend = self.backend.clone();
            spawn_local(async move { backend.release(conn).await });
        }
    }
}
