//! Receives control messages.

use {
    super::{
        connection::{Connection, FrameHandler},
        parts::{Reassembled, Reassembler},
    },
    crate::metrics::{LinkCounters, Metrics},
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

/// Reassembles and decodes the control messages of one connection.
pub struct Inbox {
    /// Sender of the messages.
    peer: Peer,
    /// Queue for decoded messages.
    messages: mpsc::Sender<(Peer, Message)>,
    /// Parts of an incomplete message.
    reassembler: Mutex<Reassembler>,
    metrics: Arc<Metrics>,
}

impl Inbox {
    pub fn new(
        hello: Hello,
        messages: mpsc::Sender<(Peer, Message)>,
        metrics: Arc<Metrics>,
    ) -> Self {
        let peer = Peer { name: hello.node, addr: hello.addr };
        Self { peer, messages, reassembler: Mutex::default(), metrics }
    }

    /// Decodes and queues a complete message; returns `false` if it is malformed.
    ///
    /// A message of a type unknown to this version, or one that does not fit the queue, is
    /// counted and dropped.
    fn deliver(&self, bytes: &[u8]) -> bool {
        match decode(bytes) {
            Ok(message) => {
                if self.messages.try_send((self.peer.clone(), message)).is_err() {
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

    fn link_counters(&self) -> LinkCounters {
        self.metrics.link_counters("control")
    }
}

/// Accepted control connections by peer, over which replies to requests are sent.
///
/// A request and its reply on one connection prove that it works in both directions, so it does
/// not have to be pinged.
#[derive(Debug, Default)]
pub struct ReplyConns {
    /// Latest connection accepted from each peer.
    conns: Mutex<HashMap<SocketAddr, Arc<Connection>>>,
}

impl ReplyConns {
    /// Adds a connection and removes closed ones.
    pub fn put(&self, addr: SocketAddr, conn: Arc<Connection>) {
        let mut conns = self.conns.lock();
        conns.retain(|_, conn| !conn.is_closed());
        conns.insert(addr, conn);
    }

    /// Returns the connection for a reply, if one from the peer is open.
    pub fn get(&self, addr: SocketAddr) -> Option<Arc<Connection>> {
        let conn = self.conns.lock().get(&addr).cloned();
        conn.filter(|conn| !conn.is_closed())
    }
}
