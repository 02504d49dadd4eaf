//! Frames of the connections between nodes.
//!
//! [`Frame`] is what the daemon handles; the generated wire type of the same name is what travels.
//! Headers travel as bytes, and a header that is not valid HTTP makes its frame invalid.

pub use crate::generated::link as wire;

use {
    bytes::Bytes,
    http::{HeaderMap, Method, StatusCode},
    prost::Message,
    snafu::{OptionExt, Snafu},
    std::{net::SocketAddr, time::Duration},
    whinspring::{
        code::Code,
        holder::Memory,
        name::{Name, ServerId},
        request::{Meta, Refusal, Target},
    },
};

mod convert;
mod memory;

/// Version of the protocol between nodes.
pub const PROTOCOL_VERSION: u32 = 1;

/// Bytes of a handshake's nonce.
pub const NONCE_BYTES: usize = 32;

/// One frame of a connection between nodes.
#[derive(Debug, Clone)]
pub enum Frame {
    /// First frame of both ends.
    Hello(Hello),
    /// Proves possession of the deployment's key.
    Proof(Bytes),
    /// Asks for a sign of life.
    Ping(u64),
    /// Answers a ping.
    Pong(u64),
    /// A part of an encoded control message.
    Control {
        /// Bytes of this part.
        part: Bytes,
        /// Whether more parts of the message follow.
        more: bool,
    },
    /// Opens a stream with a request.
    Open(Box<Open>),
    /// Starts the answer of a stream.
    Head(Box<Head>),
    /// Bytes of a body, in either direction.
    Data {
        /// Number of the stream.
        stream: u64,
        /// The bytes.
        bytes: Bytes,
        /// Whether the body is complete.
        last: bool,
    },
    /// Allows the other end to send more bytes of a body.
    Window {
        /// Number of the stream.
        stream: u64,
        /// Number of bytes.
        bytes: u32,
    },
    /// Gives a stream up.
    Cancel(u64),
    /// Ends a stream without a whole answer.
    Refuse {
        /// Number of the stream.
        stream: u64,
        /// Why.
        reason: Reason,
    },
    /// A part of an encoded [`HandOver`].
    Memory {
        /// Bytes of this part.
        part: Bytes,
        /// Whether more parts of the hand-over follow.
        more: bool,
    },
}

/// Who is at the other end of a connection, and what it carries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hello {
    /// Version of the protocol.
    pub version: u32,
    /// Name of the deployment.
    pub deployment: Name,
    /// Name of the sender's VM.
    pub node: Name,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Address on which the sender accepts links.
    pub addr: SocketAddr,
    /// What the connection carries.
    pub purpose: Purpose,
    /// Random bytes that the other end's proof covers.
    pub nonce: Bytes,
}

/// What a connection carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Control messages.
    Control,
    /// Requests and their answers.
    Data,
}

/// A request on its way to the holder.
#[derive(Debug, Clone)]
pub struct Open {
    /// Number of the stream.
    pub stream: u64,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: Name,
    /// Headers passed on to the server.
    pub headers: HeaderMap,
    /// What the request is about.
    pub meta: Meta,
    /// Where it goes.
    pub target: Target,
    /// Time until the caller must have an answer.
    pub left: Duration,
    /// First bytes of the body.
    pub body: Bytes,
    /// Whether the body is complete.
    pub whole: bool,
    /// Length of the whole body, if it is known.
    pub length: Option<u64>,
}

/// The start of an answer.
#[derive(Debug, Clone)]
pub struct Head {
    /// Number of the stream.
    pub stream: u64,
    /// HTTP status.
    pub status: StatusCode,
    /// Result code.
    pub code: Code,
    /// Headers passed on to the caller.
    pub headers: HeaderMap,
    /// First bytes of the body.
    pub body: Bytes,
    /// Whether the body is complete.
    pub whole: bool,
    /// Length of the whole body, if it is known.
    pub length: Option<u64>,
    /// Requests that run on the server.
    pub running: u32,
    /// Requests that wait for the server.
    pub queued: u32,
}

/// Why a stream ended without a whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The server is not held at this node under this term.
    Misrouted,
    /// The holder answered with a result of its own.
    Refused(Refusal),
}

/// What a former holder remembers, for the holder of the next owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HandOver {
    /// Service of the requests.
    pub service: Name,
    /// Server that owns the units from now on.
    pub server: ServerId,
    /// Memory of each released unit.
    pub memories: Vec<Memory>,
}

impl HandOver {
    /// Encodes a hand-over, to be sent in parts.
    pub fn encode(self) -> Bytes {
        wire::HandOver::from(self).encode_to_vec().into()
    }

    /// Decodes a hand-over.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no valid hand-over.
    pub fn decode(bytes: Bytes) -> Result<Self, BadFrame> {
        let message = wire::HandOver::decode(bytes).ok();
        message.context(BadFrameSnafu { field: "hand-over" })?.try_into()
    }
}

/// A frame that breaks the protocol.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[snafu(display("the field {field} of a frame is missing or invalid; check the peer's version"))]
pub struct BadFrame {
    /// Name of the field.
    field: &'static str,
}
