//! Control messages to other nodes.

use {
    super::{
        Local,
        inbox::Inbox,
        line::{Line, Patience},
        parts::parts,
        pool::{Conn, Kind, Pool},
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
    local: Arc<Local>,
}

impl ControlLinks {
    /// Creates links that open on demand; what arrives over them goes to `inbox`.
    pub fn new(local: Arc<Local>, inbox: mpsc::Sender<(Peer, Message)>) -> Self {
        let metrics = local.metrics.clone();
        let kind = ControlKind { inbox, metrics };
        Self { pool: Pool::new(local.clone(), kind), local }
    }

    /// Sends a message; an answer goes back the way that its question came.
    pub fn send(&self, peer: &Peer, message: Message) {
        let line = is_answer(&message).then(|| self.local.answers.get(peer.addr)).flatten();
        match line {
            Some(line) => queue(&line, encode(&message), &self.local.metrics),
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

impl Kind for ControlKind {
    type Receiver = Inbox;
    type Waiter = Bytes;

    const PURPOSE: Purpose = Purpose::Control;
    const PATIENCE: Patience = Patience {
        ping: Duration::from_millis(50),
        dead: Duration::from_millis(250),
        idle: Duration::from_secs(30),
    };
    const LIMIT: usize = 1;
    const FULL: usize = usize::MAX;

    fn receiver(&self, hello: &Hello) -> Inbox {
        Inbox::new(hello.clone(), self.inbox.clone(), self.metrics.clone())
    }

    fn load(&self, conn: &Conn<Self>) -> usize {
        conn.line.backlog()
    }

    fn ready(&self, conn: &Arc<Conn<Self>>, message: Bytes) {
        conn.line.ask();
        queue(&conn.line, message, &self.metrics);
        conn.line.wake();
    }

    fn failed(&self, _: Bytes) {
        self.metrics.count("control_dropped");
    }
}

/// Queues a message on a connection.
fn queue(line: &Line, message: Bytes, metrics: &Metrics) {
    if line.backlog() > MAX_BACKLOG {
        metrics.count("control_dropped");
        return;
    }
    for (part, more) in parts(message) {
        line.send(Frame::Control { part, more });
    }
}

/// Returns whether a message answers one of its receiver.
fn is_answer(message: &Message) -> bool {
    matches!(message, Message::Ack { .. } | Message::Lapsed { .. } | Message::Records { .. })
}
