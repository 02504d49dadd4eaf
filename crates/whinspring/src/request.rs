//! A request as the decision logic sees it: no bodies, no sockets.

use crate::{
    code::Code,
    name::{Name, ServerId, Slice},
    time::{Tick, Wall},
};

/// What a request is about, worked out once by the entry and sent along with it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Meta {
    /// Service of the request.
    pub service: Name,
    /// Key and its slice; `None` for an unkeyed service.
    pub place: Option<Place>,
    /// Customer of the caller; empty if unknown.
    pub customer: Name,
    /// The caller's request id; empty if there is none.
    pub id: Name,
    /// Calendar time at which the id was issued, if the id carries it.
    pub issued: Option<Wall>,
    /// Whether the caller marked this as the first sending of the id.
    pub first: bool,
    /// Whether running the request twice does no harm.
    pub idempotent: bool,
    /// Fingerprint of service, method, path and body.
    pub fingerprint: u64,
    /// 1 if the entry has seen a server lost while it ran the request, otherwise 0.
    pub crashes: u32,
}

/// The key of a request and where it belongs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// The key.
    pub key: Name,
    /// The key's slice.
    pub slice: Slice,
}

/// Number of a request within one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// A request that waits for, or runs on, a held server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Its number.
    pub id: JobId,
    /// What it is about.
    pub meta: Meta,
    /// When the caller must have a final answer.
    pub deadline: Tick,
}

/// A refusal or failure that whinspring itself answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The result.
    pub code: Code,
    /// When the caller may come back, in milliseconds from now; zero if that is of no use.
    pub retry_ms: u32,
}

/// The server chosen for a request and the node that holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Node that holds the server.
    pub node: Name,
    /// Incarnation of that node.
    pub incarnation: u64,
    /// The server.
    pub server: ServerId,
    /// Term of the holder.
    pub term: u64,
    /// Epoch of the slice or key; zero for an unkeyed service.
    pub epoch: u64,
}
