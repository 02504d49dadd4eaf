//! A request at a server, until its answer has been read.

use {
    crate::{node::Node, platform::Platform, turns::Turn},
    bytes::{Bytes, BytesMut},
    hyper::body::Incoming,
    std::{
        io,
        rc::Rc,
        task::{Context, Poll, ready},
    },
    tokio::task::spawn_local,
    whinspring::{gate::ServerOutcome, name::Name, time::Tick},
    whinspring_http::backend::{Conn, ConnectionPool, NoStream},
};

/// Body bytes of an answer that are read whole before it is passed on.
pub const WHOLE_BYTES: u64 = 32 << 10;

/// A request at a server, until its answer has been read.
pub struct Sent<P: Platform> {
    /// Its turn at the gate.
    pub(super) turn: Turn<P>,
    /// The node.
    pub(super) node: Rc<Node<P>>,
    /// Connections to the server.
    pub(super) backend: Rc<ConnectionPool<NoStream>>,
    /// How the request ends once its answer has been read.
    pub(super) ending: ServerOutcome,
    /// The connection that carries it.
    pub(super) conn: Option<Conn<NoStream>>,
    /// What is still to come.
    pub(super) body: Option<Incoming>,
    /// Bytes that have been read already.
    pub(super) first: Option<Bytes>,
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
    Whole(Bytes),
    /// The first bytes of a longer one.
    More(Bytes),
    /// It broke off.
    Broken,
}

impl<P: Platform> Sent<P> {
    /// Polls for the next bytes of the answer.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(first)));
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
                    return Collected::Whole(all.freeze());
                }
                Err(_) => return Collected::Broken,
            }
            if all.len() as u64 > WHOLE_BYTES {
                return Collected::More(all.freeze());
            }
        }
    }

    /// Reads the rest of an answer that is not passed on.
    pub(super) async fn drain(&mut self) {
        if let Collected::More(_) = self.collect(None).await {
            self.conn = None;
        }
    }

    /// Notes that the answer has ended.
    fn finish(&mut self) {
        self.body = None;
        self.turn.ending = self.ending;
        let took = self.node.now().since(self.start);
        if self.ending != ServerOutcome::Completed {
            return self.keep();
        }
        self.node.meter.borrow_mut().served(&self.route, &self.server, took);
        self.keep();
    }

    /// Keeps the connection for other requests.
    fn keep(&mut self) {
        if let Some(conn) = self.conn.take() {
            let backend = self.backend.clone();
            spawn_local(async move { backend.release(conn).await });
        }
    }
}
