//! Control messages between nodes.
//!
//! Requests and their bodies use separate connections, so that bulk data never delays a heartbeat.

use crate::{
    name::{Name, ServerId, Slice},
    record::Record,
};

/// A control message from one node to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Asks a lessor to extend the sender's lease.
    Heartbeat {
        /// Incarnation of the sender.
        incarnation: u64,
        /// Rises with each heartbeat of the incarnation.
        seq: u64,
        /// Version of the node record that names the lessors of the sender's lease.
        version: u64,
        /// Store revision up to which the sender knows every record.
        seen: u64,
    },
    /// Extends the lease, counted from when the heartbeat of the same number was sent.
    Ack {
        /// Incarnation that the heartbeat named.
        incarnation: u64,
        /// Number of the heartbeat.
        seq: u64,
        /// Store revision up to which the sender knows every record.
        seen: u64,
    },
    /// Asks another lessor of a node whether the node's lease has lapsed there too.
    AskLapse {
        /// Node that seems lost.
        node: Name,
        /// Incarnation of that node.
        incarnation: u64,
        /// Version of the node record that names the lessors.
        version: u64,
    },
    /// Promises not to extend the lease of this incarnation for records up to `version`.
    Lapsed {
        /// Node that seems lost.
        node: Name,
        /// Incarnation of that node.
        incarnation: u64,
        /// Version of the node record that names the lessors.
        version: u64,
    },
    /// Requests the records changed after a revision.
    Pull {
        /// Store revision up to which the sender knows every record.
        seen: u64,
    },
    /// Records changed since the receiver's revision.
    Records {
        /// Revision that the receiver must have seen to apply the batch.
        after: u64,
        /// Revision up to which the receiver knows every record after applying the batch.
        seen: u64,
        records: Vec<Record>,
    },
    /// Reports to the controller that a backend server is lost and that its holder sends it no more
    /// work.
    ServerLost {
        /// Service of the server.
        service: Name,
        /// The server.
        server: ServerId,
        /// Term of the holder that reports.
        term: u64,
    },
    /// Reports to the controller that a backend server answers again.
    ServerBack {
        /// Service of the server.
        service: Name,
        /// The server.
        server: ServerId,
        /// Term of the holder that reports.
        term: u64,
    },
    /// Reports to the controller that a backend server announced its own stop.
    ServerLeaving {
        /// Service of the server.
        service: Name,
        /// The server.
        server: ServerId,
        /// Term of the holder that reports.
        term: u64,
    },
    /// Reports to the controller that the holder starts no more work on these slices and keys.
    SlicesReleased {
        /// Service of the slices.
        service: Name,
        /// Server that owned them.
        server: ServerId,
        /// Term of the holder that reports.
        term: u64,
        /// Released slices with the epoch released.
        slices: Vec<(Slice, u64)>,
        /// Released single keys with the epoch released.
        keys: Vec<(Name, u64)>,
    },
    /// Reports to the controller that the holder will not use a server again in this term.
    ServerReleased {
        /// Service of the server.
        service: Name,
        /// The server.
        server: ServerId,
        /// Term that ends.
        term: u64,
    },
    /// Reports to the controller the load of the slices and hot keys that a server owns.
    Load {
        /// Service of the server.
        service: Name,
        /// The server.
        server: ServerId,
        /// Share of the server's slots in use, in thousandths.
        busy: u32,
        /// Microseconds of slot time per second, by slice, largest first.
        slices: Vec<(Slice, u64)>,
        /// Microseconds of slot time per second, by hot key, largest first.
        keys: Vec<(Name, u64)>,
    },
}
