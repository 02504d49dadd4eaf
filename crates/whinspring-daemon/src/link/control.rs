//! Control messages to other nodes.

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

/// Frames that may wait to be written to one peer.
const MAX_BACKLOG: usize = 1_024;

/// Sends control messages to other nodes.
///
/// Sending never blocks. A message is lost if its peer cannot be reached, as the state machine
/// at both ends expects.
#[derive(Clone)]
pub struct ControlLinks {
    /// Connections by peer.
    pool: Arc<Pool<ControlKind>>,
    /// What the node's links share.
    local: Arc<LocalNode>,
}

impl ControlLinks {
    /// Creates links that open on demand; what arrives over them goes to `inbox`.
    pub fn new(local: Arc<LocalNode>, inbox: mpsc::Sender<(Peer, Message)>) -> Self {
        let metrics = local.metrics.clone();
        let kind = ControlKind { inbox, metrics };
        Self { pool: Pool::new(local.clone(), kind), local }
    }

    /// Sends a message; an answer goes back the way that its question came.
    pub fn send(&self, peer: &Peer, message: Message) {
        let conn = is_reply(&message).then(|| self.local.reply_conns.get(peer.addr)).flatten();
        match conn {
            Some(conn) => enqueue(&conn, encode(&message), &self.local.metrics),
            None => self.pool.get(peer, encode(&message)),
        }
    }

    /// Ends every connection.
    pub fn close(self) {
        self.pool.close();
    }
}

/// Connections that carry control messages.
struct ControlKind {
    /// Takes what peers answer.
    inbox: mpsc::Sender<(Peer, Message)>,
    /// Counters.
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

/// Queues a message on a connection.
fn enqueue(conn: &Connection, message: Bytes, metrics: &Metrics) {
    if conn.backlog() > MAX_BACKLOG {
        metrics.count("control_dropped");
        return;
    }
    for (part, more) in split(message) {
        conn.send(Frame::Control { part, more });
    }
}

/// Returns whether a message answers one of its receiver.
fn is_reply(message: &Message) -> bool {
    matches!(message, Message::Ack { .. } | Message::Lapsed { .. } | Message::Records { .. })
}
