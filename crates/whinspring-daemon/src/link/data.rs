//! Requests to other nodes.

use {
    super::{
        Local,
        asked::Asking,
        line::Patience,
        parts::parts,
        pool::{Conn, Kind, Pool},
    },
    crate::{exchange::Answer, metrics::Metrics},
    std::{sync::Arc, time::Duration},
    tokio::sync::oneshot,
    whinspring::control::Peer,
    whinspring_wire::link::{Frame, HandOver, Hello, Open, Purpose},
};

/// Opens streams to other nodes.
#[derive(Clone)]
pub struct DataLinks {
    /// Connections by peer.
    pool: Arc<Pool<DataKind>>,
}

/// The node could not be reached, and nothing was sent to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unreachable;

impl DataLinks {
    /// Creates links that open on demand.
    pub fn new(local: Arc<Local>) -> Self {
        let metrics = local.metrics.clone();
        Self { pool: Pool::new(local, DataKind { metrics }) }
    }

    /// Sends a request to a node; its answer follows.
    ///
    /// # Errors
    ///
    /// Fails if the node cannot be reached, or another node answers at its address. Whether the
    /// node still runs as the incarnation that the target names is for the node itself to judge.
    pub async fn open(&self, peer: &Peer, open: Box<Open>) -> Result<Answer, Unreachable> {
        let conn = self.conn(peer).await?;
        if conn.hello.node != open.target.node {
            return Err(Unreachable);
        }
        conn.receiver.open(&conn.line, open).map_err(|_| Unreachable)
    }

    /// Sends a node what a former holder remembers; it may be lost on the way.
    ///
    /// # Errors
    ///
    /// Fails if the node cannot be reached.
    pub async fn hand_over(&self, peer: &Peer, hand: HandOver) -> Result<(), Unreachable> {
        let conn = self.conn(peer).await?;
        for (part, more) in parts(hand.encode()) {
            conn.line.send(Frame::Memory { part, more });
        }
        Ok(())
    }

    /// Returns an open connection.
    async fn conn(&self, peer: &Peer) -> Result<Arc<Conn<DataKind>>, Unreachable> {
        let (sender, receiver) = oneshot::channel();
        self.pool.get(peer, sender);
        receiver.await.ok().flatten().ok_or(Unreachable)
    }

    /// Ends every connection.
    pub fn close(self) {
        self.pool.close();
    }
}

/// Connections that carry requests.
struct DataKind {
    /// Counters.
    metrics: Arc<Metrics>,
}

impl Kind for DataKind {
    type Receiver = Asking;
    type Waiter = oneshot::Sender<Option<Arc<Conn<Self>>>>;

    const PURPOSE: Purpose = Purpose::Data;
    const PATIENCE: Patience = Patience {
        ping: Duration::from_millis(200),
        dead: Duration::from_millis(500),
        idle: Duration::from_secs(60),
    };
    const LIMIT: usize = 4;
    const FULL: usize = 32;

    fn receiver(&self, _: &Hello) -> Asking {
        Asking::new(self.metrics.clone())
    }

    fn load(&self, conn: &Conn<Self>) -> usize {
        conn.receiver.len()
    }

    fn ready(&self, conn: &Arc<Conn<Self>>, waiter: Self::Waiter) {
        let _ = waiter.send(Some(conn.clone()));
    }

    fn failed(&self, waiter: Self::Waiter) {
        let _ = waiter.send(None);
    }
}
