//! A request at a server, until its answer has been read.

use {
    crate::{admission::Permit, node::Node, platform::Platform},
    bytes::{Bytes, BytesMut},
    hyper::body::Incoming,
    std::{
        io,
        rc::Rc,
        task::{Context, Poll, ready},
    },
    tokio::task::spawn_local,
    whinspring::{gate::Ending, name::Name, time::Tick},
    whinspring_http::backend::{Backend, Conn, Nothing},
};

/// Body bytes of an answer that are read whole before it is passed on.
pub const MAX_BUFFERED_BYTES: u64 = 32 << 10;

/// A request at a server, until its answer has been read.
pub struct Attempt<P: Platform> {
    /// Its turn at the gate.
    pub(super) permit: Permit<P>,
    /// The node.
    pub(super) node: Rc<Node<P>>,
    /// Connections to the server.
    pub(super) backend: Rc<Backend<Nothing>>,
    /// How the request ends once its answer has been read.
    pub(super) ending: Ending,
    /// The connection that carries it.
    pub(super) conn: Option<Conn<Nothing>>,
    /// What is still to come.
    pub(super) body: Option<Incoming>,
    /// Bytes that have been read already.
    pub(super) prefix: Option<Bytes>,
    /// Its route.
    pub(super) route: Name,
    /// The server.
    pub(super) server: Name,
    /// When it was sent.
    pub(super) start: Tick,
}

/// What was read of a short answer.
pub(super) enum Collected {
    /// All of it.
    Complete(Bytes),
    /// The first bytes of a longer one.
    Partial(Bytes),
    /// It broke off.
    Broken,
}

impl<P: Platform> Attempt<P> {
    /// Polls for the next bytes of the answer.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        if let Some(prefix) = self.prefix.take() {
            return Poll::Ready(Some(Ok(prefix)));
        }
        let (Some(conn), Some(body)) = (&mut self.conn, &mut self.body) else {
            return Poll::Ready(None);
        };
        match ready!(conn.poll_next(body, cx)) {
            Ok(Some(bytes)) => Poll::Ready(Some(Ok(bytes))),
            Ok(None) => {
                self.finish();
                Poll::Ready(None)
            }
            Err(_) => {
                self.conn = None;
                Poll::Ready(Some(Err(io::ErrorKind::UnexpectedEof.into())))
            }
        }
    }

    /// Reads an answer, or the start of a long one.
    pub(super) async fn collect(&mut self, length: Option<u64>) -> Collected {
        let mut all = BytesMut::with_capacity(length.unwrap_or(0) as usize);
        loop {
            let (Some(conn), Some(body)) = (&mut self.conn, &mut self.body) else {
                return Collected::Broken;
            };
            match conn.next(body).await {
                Ok(Some(bytes)) => all.extend_from_slice(&bytes),
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

    /// Reads the rest of an answer that is not passed on.
    pub(super) async fn drain(&mut self) {
        if let Collected::Partial(_) = self.collect(None).await {
            self.conn = None;
        }
    }

    /// Notes that the answer has ended.
    fn finish(&mut self) {
        self.body = None;
        self.permit.ending = self.ending;
        let elapsed = self.node.now().since(self.start);
        if self.ending != Ending::Ran {
            return self.release_conn();
        }
        self.node.meter.borrow_mut().record_latency(&self.route, &self.server, elapsed);
        self.release_conn();
    }

    /// Keeps the connection for other requests.
    fn release_conn(&mut self) {
        if let Some(conn) = self.conn.take() {
            let backend = self.backend.clone();
            spawn_local(async move { backend.give_back(conn).await });
        }
    }
}
