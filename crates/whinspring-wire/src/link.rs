//! Frames of the connections between nodes.
//!
//! [`Frame`] is the domain type; [`wire::Frame`] is the generated type that is sent. Header names
//! and values are sent as bytes; one that is not valid HTTP makes its frame invalid.

pub use crate::generated::link as wire;

use {
    bytes::Bytes,
    http::{HeaderMap, Method, StatusCode},
    prost::Message,
    snafu::{OptionExt, Snafu},
    std::{net::SocketAddr, time::Duration},
    whinspring::{
        code::Code,
        holder::DedupState,
        name::{Name, ServerId},
        request::{Meta, Refusal, Target},
    },
};

mod convert;
mod memory;

/// Version of the protocol between nodes.
pub const PROTOCOL_VERSION: u32 = 1;

/// Size of the nonce in a handshake, in bytes.
pub const NONCE_BYTES: usize = 32;

/// One frame of a connection between nodes.
#[derive(Debug, Clone)]
pub enum Frame {
    /// First frame that each end sends.
    Hello(Hello),
    /// HMAC that proves possession of the deployment key.
    Proof(Bytes),
    /// Liveness check with a sequence number.
    Ping(u64),
    /// Reply to the ping with this sequence number.
    Pong(u64),
    /// Part of an encoded control message.
    Control {
        part: Bytes,
        /// Whether more parts of the message follow.
        more: bool,
    },
    /// Opens a stream with a request.
    Open(Box<Open>),
    /// Starts the response of a stream.
    Head(Box<Head>),
    /// Bytes of a request or response body.
    Data {
        /// Number of the stream.
        stream: u64,
        bytes: Bytes,
        /// Whether the body is complete.
        last: bool,
    },
    /// Grants the other end flow-control credit for its body.
    Window {
        /// Number of the stream.
        stream: u64,
        /// Credit, in bytes.
        bytes: u32,
    },
    /// Cancels the stream with this number.
    Cancel(u64),
    /// Ends a stream without a complete response.
    Refuse {
        /// Number of the stream.
        stream: u64,
        reason: Reason,
    },
    /// Part of an encoded [`Handover`].
    Memory {
        part: Bytes,
        /// Whether more parts of the handover follow.
        more: bool,
    },
}

/// First frame of a handshake: identity of the sender and purpose of the connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hello {
    /// Protocol version of the sender.
    pub version: u32,
    pub deployment: Name,
    /// Name of the sender's VM.
    pub node: Name,
    /// Number that differs at each start of the sender.
    pub incarnation: u64,
    /// Address on which the sender accepts connections from other nodes.
    pub addr: SocketAddr,
    /// What the connection carries.
    pub purpose: Purpose,
    /// Random bytes that the proof of the other end covers, against replay.
    pub nonce: Bytes,
}

/// Kind of traffic that a connection carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    Control,
    /// Requests and their responses.
    Data,
}

/// Request forwarded from an entry to a holder.
#[derive(Debug, Clone)]
pub struct Open {
    /// Number of the stream.
    pub stream: u64,
    pub method: Method,
    pub path: Name,
    /// Headers that are forwarded to the server.
    pub headers: HeaderMap,
    /// Service, key, customer and identity of the request.
    pub meta: Meta,
    /// Node, server, term and epoch to which the request is routed.
    pub target: Target,
    /// Time left until the deadline of the request.
    pub left: Duration,
    /// First bytes of the body.
    pub body: Bytes,
    /// Whether the body is complete.
    pub whole: bool,
    /// Length of the complete body, if known.
    pub length: Option<u64>,
}

/// Start of a response.
#[derive(Debug, Clone)]
pub struct Head {
    /// Number of the stream.
    pub stream: u64,
    pub status: StatusCode,
    pub code: Code,
    /// Headers that are forwarded to the caller.
    pub headers: HeaderMap,
    /// First bytes of the body.
    pub body: Bytes,
    /// Whether the body is complete.
    pub whole: bool,
    /// Length of the complete body, if known.
    pub length: Option<u64>,
    /// Requests that are running on the server.
    pub running: u32,
    /// Requests that are queued for the server.
    pub queued: u32,
}

/// Reason why a stream ended without a complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The node does not hold the server under the term of the request.
    Misrouted,
    /// The holder refused the request with a result code.
    Refused(Refusal),
}

/// Request records of a former holder, for duplicate detection by the holder of the next owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Handover {
    /// Service of the requests.
    pub service: Name,
    /// Server that owns the units after the handover.
    pub server: ServerId,
    /// Request records of each released slice or key.
    pub memories: Vec<DedupState>,
}

impl Handover {
    /// Encodes a handover, to be sent in [`Frame::Memory`] parts.
    pub fn encode(self) -> Bytes {
        wire::HandOver::from(self).encode_to_vec().into()
    }

    /// Decodes a handover.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a valid handover.
    pub fn decode(bytes: Bytes) -> Result<Self, BadFrame> {
        let message = wire::HandOver::decode(bytes).ok();
        message.context(BadFrameSnafu { field: "hand-over" })?.try_into()
    }
}

/// Error of a frame with a missing or invalid field.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[snafu(display("frame field {field} is missing or invalid; check the peer's version"))]
pub struct BadFrame {
    field: &'static str,
}
