//! Sends control messages to other nodes.

use {
    super::{
        LocalNode,
        connection::{Connection, Timeouts},
        inbox::Inbox,
        parts::split,
        pool::{LinkKind, Pool, PooledConn},
    },
    crate::metrics::Metrics,
    bytes::Bytes,
    std::{sync::Arc, time::Duration},
    tokio::sync::mpsc,
    whinspring::{control::Peer, message::Message},
    whinspring_wire::{
        control::encode,
        link::{Frame, Hello, Purpose},
    },
};

/// Maximum number of frames queued for one peer; further messages are dropped.
const MAX_BACKLOG: usize = 1_024;

/// Sends control messages to other nodes.
///
/// Sending never blocks. A message is dropped if its peer cannot be reached or its queue is full;
/// the protocol tolerates lost messages.
#[derive(Clone)]
pub struct ControlLinks {
    pool: Arc<Pool<ControlKind>>,
    local: Arc<LocalNode>,
}

impl ControlLinks {
    /// Creates links that open on demand and pass received messages to `inbox`.
    pub fn new(local: Arc<LocalNode>, inbox: mpsc::Sender<(Peer, Message)>) -> Self {
        let metrics = local.metrics.clone();
        let kind = ControlKind { inbox, metrics };
        Self { pool: Pool::new(local.clone(), kind), local }
    }

    /// Sends a message; a reply uses the connection on which its request arrived, if it is still
    /// open.
    pub fn send(&self, peer: &Peer, message: Message) {
        let conn = is_reply(&message).then(|| self.local.reply_conns.get(peer.addr)).flatten();
        match conn {
            Some(conn) => enqueue(&conn, encode(&message), &self.local.metrics),
            None => self.pool.get(peer, encode(&message)),
        }
    }

    pub fn close(self) {
        self.pool.close();
    }
}

/// Links that carry control messages.
struct ControlKind {
    /// Queue for messages received on these links.
    inbox: mpsc::Sender<(Peer, Message)>,
    metrics: Arc<Metrics>,
}

impl LinkKind for ControlKind {
    type Handler = Inbox;
    type Waiter = Bytes;

    const PURPOSE: Purpose = Purpose::Control;
    const TIMEOUTS: Timeouts = Timeouts {
        ping: Duration::from_millis(50),
        dead: Duration::from_millis(250),
        idle: Duration::from_secs(30),
    };
    const MAX_CONNS: usize = 1;
    const FULL_LOAD: usize = usize::MAX;

    fn new_handler(&self, hello: &Hello) -> Inbox {
        Inbox::new(hello.clone(), self.inbox.clone(), self.metrics.clone())
    }

    fn load(&self, pooled: &PooledConn<Self>) -> usize {
        pooled.conn.backlog()
    }

    fn on_ready(&self, pooled: &Arc<PooledConn<Self>>, message: Bytes) {
        pooled.conn.note_request();
        enqueue(&pooled.conn, message, &self.metrics);
        pooled.conn.wake_watchdog();
    }

    fn on_failure(&self, _: Bytes) {
        self.metrics.count("control_dropped");
    }
}

/// Queues a message on a connection, or drops it if the backlog is full.
fn enqueue(conn: &Connection, message: Bytes, metrics: &Metrics) {
    if conn.backlog() > MAX_BACKLOG {
        metrics.count("control_dropped");
        return;
    }
    for (part, more) in split(message) {
        conn.send(Frame::Control { part, more });
    }
}

/// Returns whether a message is a reply to a request of its receiver.
fn is_reply(message: &Message) -> bool {
    matches!(message, Message::Ack { .. } | Message::Lapsed { .. } | Message::Records { .. })
}
