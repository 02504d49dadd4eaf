//! Control messages that arrive.

use {
    super::{
        connection::{Connection, FrameHandler},
        parts::{Reassembled, Reassembler},
    },
    crate::metrics::{Metrics, Traffic},
    parking_lot::Mutex,
    std::{collections::HashMap, net::SocketAddr, sync::Arc},
    tokio::sync::mpsc,
    whinspring::{control::Peer, message::Message},
    whinspring_wire::{
        control::{MAX_MESSAGE_BYTES, decode},
        error::Error,
        link::{Frame, Hello},
    },
};

/// Joins the parts of a peer's control messages.
pub struct Inbox {
    /// The peer.
    peer: Peer,
    /// Takes whole messages.
    inbox: mpsc::Sender<(Peer, Message)>,
    /// Parts of a message whose end has not arrived.
    reassembler: Mutex<Reassembler>,
    /// Counters.
    metrics: Arc<Metrics>,
}

impl Inbox {
    /// Creates the inbox of a connection.
    pub fn new(hello: Hello, inbox: mpsc::Sender<(Peer, Message)>, metrics: Arc<Metrics>) -> Self {
        let peer = Peer { name: hello.node, addr: hello.addr };
        Self { peer, inbox, reassembler: Mutex::default(), metrics }
    }

    /// Hands a whole message over; `false` if it is none.
    fn deliver(&self, bytes: &[u8]) -> bool {
        match decode(bytes) {
            Ok(message) => {
                if self.inbox.try_send((self.peer.clone(), message)).is_err() {
                    self.count("control_inbox_full");
                }
                true
            }
            Err(Error::UnknownType { .. }) => {
                self.count("control_unknown_type");
                true
            }
            Err(_) => false,
        }
    }
}

impl FrameHandler for Inbox {
    fn handle_frame(&self, _: &Arc<Connection>, frame: Frame) -> bool {
        let Frame::Control { part, more } = frame else { return false };
        let joined = self.reassembler.lock().join(part, more, MAX_MESSAGE_BYTES);
        match joined {
            Reassembled::Partial => true,
            Reassembled::Complete(message) => self.deliver(&message),
            Reassembled::TooLarge => false,
        }
    }

    fn is_busy(&self, conn: &Connection) -> bool {
        conn.awaits_reply()
    }

    fn on_close(&self) {}

    fn count(&self, event: &'static str) {
        self.metrics.count(event);
    }

    fn traffic(&self) -> Traffic {
        self.metrics.traffic("control")
    }
}

/// Accepted connections over which answers go back the way that the question came.
///
/// A question and its answer on one connection prove that it works both ways, so that it need not
/// be pinged.
#[derive(Debug, Default)]
pub struct ReplyConns {
    /// The latest connection of each peer.
    conns: Mutex<HashMap<SocketAddr, Arc<Connection>>>,
}

impl ReplyConns {
    /// Adds the connection of a peer.
    pub fn put(&self, addr: SocketAddr, conn: Arc<Connection>) {
        let mut conns = self.conns.lock();
        conns.retain(|_, conn| !conn.is_closed());
        conns.insert(addr, conn);
    }

    /// Returns the connection for an answer, if the peer has one open.
    pub fn get(&self, addr: SocketAddr) -> Option<Arc<Connection>> {
        let conn = self.conns.lock().get(&addr).cloned();
        conn.filter(|conn| !conn.is_closed())
    }
}
