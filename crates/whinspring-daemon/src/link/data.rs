//! Sends requests to other nodes.

use {
    super::{
        LocalNode,
        connection::Timeouts,
        outbound::OutboundStreams,
        parts::split,
        pool::{LinkKind, Pool, PooledConn},
    },
    crate::{exchange::ResponseStream, metrics::Metrics},
    std::{sync::Arc, time::Duration},
    tokio::sync::oneshot,
    whinspring::control::Peer,
    whinspring_wire::link::{Frame, Handover, Hello, Open, Purpose},
};

/// Opens request streams to other nodes.
#[derive(Clone)]
pub struct DataLinks {
    pool: Arc<Pool<DataKind>>,
}

/// The node is unreachable and nothing was sent to it, so the request can be retried safely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unreachable;

impl DataLinks {
    pub fn new(local: Arc<LocalNode>) -> Self {
        let metrics = local.metrics.clone();
        Self { pool: Pool::new(local, DataKind { metrics }) }
    }

    /// Sends a request to a node and returns the stream of its response.
    ///
    /// # Errors
    ///
    /// Fails if the node cannot be reached, or if another node answers at its address. The
    /// incarnation in the target is checked by the node itself.
    pub async fn open(&self, peer: &Peer, open: Box<Open>) -> Result<ResponseStream, Unreachable> {
        let pooled = self.connect(peer).await?;
        if pooled.hello.node != open.target.node {
            return Err(Unreachable);
        }
        pooled.handler.open(&pooled.conn, open).map_err(|_| Unreachable)
    }

    /// Sends the request records of a former holder to a node; delivery is not confirmed.
    ///
    /// # Errors
    ///
    /// Fails if the node cannot be reached.
    pub async fn hand_over(&self, peer: &Peer, handover: Handover) -> Result<(), Unreachable> {
        let pooled = self.connect(peer).await?;
        for (part, more) in split(handover.encode()) {
            pooled.conn.send(Frame::Memory { part, more });
        }
        Ok(())
    }

    /// Returns an open connection to a peer.
    async fn connect(&self, peer: &Peer) -> Result<Arc<PooledConn<DataKind>>, Unreachable> {
        let (sender, receiver) = oneshot::channel();
        self.pool.get(peer, sender);
        receiver.await.ok().flatten().ok_or(Unreachable)
    }

    pub fn close(self) {
        self.pool.close();
    }
}

/// Links that carry requests.
struct DataKind {
    metrics: Arc<Metrics>,
}

impl LinkKind for DataKind {
    type Handler = OutboundStreams;
    type Waiter = oneshot::Sender<Option<Arc<PooledConn<Self>>>>;

    const PURPOSE: Purpose = Purpose::Data;
    const TIMEOUTS: Timeouts = Timeouts {
        ping: Duration::from_millis(200),
        dead: Duration::from_millis(500),
        idle: Duration::from_secs(60),
    };
    const MAX_CONNS: usize = 4;
    const FULL_LOAD: usize = 32;

    fn new_handler(&self, _: &Hello) -> OutboundStreams {
        OutboundStreams::new(self.metrics.clone())
    }

    fn load(&self, pooled: &PooledConn<Self>) -> usize {
        pooled.handler.len()
    }

    fn on_ready(&self, pooled: &Arc<PooledConn<Self>>, waiter: Self::Waiter) {
        let _ = waiter.send(Some(pooled.clone()));
    }

    fn on_failure(&self, waiter: Self::Waiter) {
        let _ = waiter.send(None);
    }
}
