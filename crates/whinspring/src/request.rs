//! A request as the decision logic sees it: no bodies, no sockets.

use crate::{
    code::Code,
    name::{Name, ServerId, Slice},
    time::{Tick, Wall},
};

/// Metadata of a request, derived once by the entry and forwarded with it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Meta {
    pub service: Name,
    /// Key and its slice; `None` for an unkeyed service.
    pub place: Option<Place>,
    /// Customer of the caller; empty if unknown.
    pub customer: Name,
    /// Request id given by the caller; empty if there is none.
    pub id: Name,
    /// Calendar time at which the id was issued, if the id carries it.
    pub issued: Option<Wall>,
    /// Whether the caller marked this as the first attempt with this id.
    pub first: bool,
    /// Whether running the request twice has the same effect as running it once.
    pub idempotent: bool,
    /// Fingerprint of service, method, path and body.
    pub fingerprint: u64,
    /// 1 if the entry has seen a server lost while it ran the request, otherwise 0.
    pub crashes: u32,
}

/// A key and its slice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    pub key: Name,
    pub slice: Slice,
}

/// Number of a request within one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// A request that is queued for, or runs on, a held server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    pub id: JobId,
    pub meta: Meta,
    /// When the caller must have a final answer.
    pub deadline: Tick,
}

/// A refusal or failure that whinspring itself answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    pub code: Code,
    /// Delay after which the caller may retry, in milliseconds; zero if a retry is pointless.
    pub retry_ms: u32,
}

/// The server selected for a request, and the node that holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    pub node: Name,
    pub incarnation: u64,
    pub server: ServerId,
    /// Fencing term of the holder.
    pub term: u64,
    /// Epoch of the slice or key; zero for an unkeyed service.
    pub epoch: u64,
}
