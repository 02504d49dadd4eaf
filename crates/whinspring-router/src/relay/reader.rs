//! A response body that is passed on while it is read.

use {
    bytes::Bytes,
    hyper::body::Incoming,
    std::{
        io,
        rc::Rc,
        task::{Context, Poll, ready},
    },
    tokio::task::spawn_local,
    whinspring_http::{
        backend::{Conn, ConnectionPool, NoStream},
        caller,
    },
};

/// A response body that is passed on while it is read.
pub struct Reader {
    pool: Rc<ConnectionPool<NoStream>>,
    conn: Option<Conn<NoStream>>,
    body: Incoming,
    /// Connection that the body is passed on to.
    receiver: Rc<caller::Conn>,
}

impl Reader {
    /// Creates a reader of a body. Its connection returns to the pool at the end of the body, and is
    /// closed when that of the receiver is.
    pub fn new(
        pool: Rc<ConnectionPool<NoStream>>,
        conn: Conn<NoStream>,
        body: Incoming,
        receiver: Rc<caller::Conn>,
    ) -> Self {
        Self { pool, conn: Some(conn), body, receiver }
    }

    /// Polls for the next bytes of the body.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        let Some(conn) = &mut self.conn else { return Poll::Ready(None) };
        let next = conn.poll_next(&mut self.body, cx);
        if next.is_pending() && self.receiver.poll_closed(cx).is_ready() {
            self.conn = None;
            return Poll::Ready(Some(Err(io::ErrorKind::ConnectionAborted.into())));
        }
        match ready!(next) {
            Ok(Some(bytes)) => Poll::Ready(Some(Ok(bytes))),
            Ok(None) => {
                self.release();
                Poll::Ready(None)
            }
            Err(_) => {
                self.conn = None;
                Poll::Ready(Some(Err(io::ErrorKind::UnexpectedEof.into())))
            }
        }
    }

    /// Returns the connection to the pool.
    fn release(&mut self) {
        if let Some(conn) = self.conn.take() {
            let pool = self.pool.clone();
            spawn_local(async move { pool.release(conn).await });
        }
    }
}
