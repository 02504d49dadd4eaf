//! Links between nodes.
//!
//! A connection opens with a handshake that proves possession of the deployment's key, and then
//! carries either control messages or multiplexed requests. Connections are opened on demand and
//! closed when idle. One that has work in flight and falls silent is condemned alone: its
//! requests fail, and the next ones open a new connection.

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

/// What a node's links share.
#[derive(Debug)]
pub struct LocalNode {
    /// Name of the deployment.
    pub deployment: Name,
    /// Keys of the deployment: the first is used, the others are accepted too.
    pub keys: Arc<Keys>,
    /// Name of this node's VM.
    pub node: Name,
    /// Incarnation of this node.
    pub incarnation: u64,
    /// Address on which this node accepts links.
    pub addr: SocketAddr,
    /// Clock of the process.
    pub clock: Clock,
    /// Counters.
    pub metrics: Arc<Metrics>,
    /// Connections over which control messages are answered.
    pub reply_conns: ReplyConns,
    /// Where control links run, so that bulk data never delays them.
    pub control_runtime: Handle,
    /// Where data links run.
    pub data_runtime: Handle,
}

impl LocalNode {
    /// Returns where links of this purpose run.
    fn runtime(&self, purpose: Purpose) -> &Handle {
        match purpose {
            Purpose::Control => &self.control_runtime,
            Purpose::Data => &self.data_runtime,
        }
    }
}
