//! TCP connections between nodes.
//!
//! A connection starts with a handshake that proves possession of the deployment key. It then
//! carries either control messages or multiplexed requests. Connections are opened on demand and
//! closed when idle. A connection with outstanding work on which the peer falls silent is closed:
//! its requests fail, and later requests open a new connection.

pub use self::{
    accept::Listener,
    control::ControlLinks,
    data::{DataLinks, Unreachable},
    inbound::InboundStream,
    inbox::ReplyConns,
    outbound::OutboundStream,
};

use {
    crate::{clock::Clock, keys::Keys, metrics::Metrics},
    std::{net::SocketAddr, sync::Arc},
    tokio::runtime::Handle,
    whinspring::name::Name,
    whinspring_wire::link::Purpose,
};

mod accept;
mod connection;
mod control;
mod data;
mod handshake;
mod inbound;
mod inbox;
mod outbound;
mod parts;
mod pool;
mod socket;

/// Identity and resources of this node, shared by all its links.
#[derive(Debug)]
pub struct LocalNode {
    pub deployment: Name,
    /// Deployment keys: the first signs, all are accepted.
    pub keys: Arc<Keys>,
    /// Name of the VM that this node runs on.
    pub node: Name,
    /// Random number chosen at each start of the node.
    pub incarnation: u64,
    /// Address on which this node accepts connections from other nodes.
    pub addr: SocketAddr,
    pub clock: Clock,
    pub metrics: Arc<Metrics>,
    /// Accepted control connections, over which replies are sent.
    pub reply_conns: ReplyConns,
    /// Runtime of control links, separate so that request bodies never delay control messages.
    pub control_runtime: Handle,
    pub data_runtime: Handle,
}

impl LocalNode {
    fn runtime(&self, purpose: Purpose) -> &Handle {
        match purpose {
            Purpose::Control => &self.control_runtime,
            Purpose::Data => &self.data_runtime,
        }
    }
}
