//! Control messages to other nodes.

use {
    super::{
        Local,
        line::{Line, Patience, Receive},
        parts::parts,
        pool::{Conn, Kind, Pool},
    },
    crate::metrics::Metrics,
    bytes::Bytes,
    std::{sync::Arc, time::Duration},
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
}

impl ControlLinks {
    /// Creates links that open on demand.
    pub fn new(local: Arc<Local>) -> Self {
        let metrics = local.metrics.clone();
        Self { pool: Pool::new(local, ControlKind { metrics }) }
    }

    /// Sends a message.
    pub fn send(&self, peer: &Peer, message: Message) {
        self.pool.get(peer, encode(&message));
    }

    /// Ends every connection.
    pub fn close(self) {
        self.pool.close();
    }
}

/// Connections that carry control messages.
struct ControlKind {
    /// Counters.
    metrics: Arc<Metrics>,
}

impl Kind for ControlKind {
    type Receiver = Sent;
    type Waiter = Bytes;

    const PURPOSE: Purpose = Purpose::Control;
    const PATIENCE: Patience = Patience {
        ping: Duration::from_millis(50),
        dead: Duration::from_millis(250),
        idle: Duration::from_secs(30),
    };
    const LIMIT: usize = 1;
    const FULL: usize = usize::MAX;

    fn receiver(&self, _: &Hello) -> Sent {
        Sent { metrics: self.metrics.clone() }
    }

    fn load(&self, conn: &Conn<Self>) -> usize {
        conn.line.backlog()
    }

    fn ready(&self, conn: &Arc<Conn<Self>>, message: Bytes) {
        if conn.line.backlog() > MAX_BACKLOG {
            self.metrics.count("control_dropped");
            return;
        }
        for (part, more) in parts(message) {
            conn.line.send(Frame::Control { part, more });
        }
        conn.line.wake();
    }

    fn failed(&self, _: Bytes) {
        self.metrics.count("control_dropped");
    }
}

/// The peer's side of a connection on which only this node sends.
struct Sent {
    /// Counters.
    metrics: Arc<Metrics>,
}

impl Receive for Sent {
    fn receive(&self, _: &Arc<Line>, _: Frame) -> bool {
        false
    }

    fn is_busy(&self, line: &Line) -> bool {
        line.is_unanswered()
    }

    fn closed(&self) {}

    fn count(&self, event: &'static str) {
        self.metrics.count(event);
    }
}
