//! What a holder is told and what it wants done.

use {
    crate::{
        message::Message,
        model::{Owner, Server, Suspect},
        name::{Name, Slice},
        request::{Job, JobId, Refusal},
        time::{Tick, Wall},
    },
    bytes::Bytes,
};

/// What happened to the server or to a request.
#[derive(Debug, Clone)]
pub enum Input {
    /// A request arrived.
    Arrive(Job),
    /// The caller went away or the entry gave up.
    Cancel(JobId),
    /// The head of the server's answer arrived.
    Head(JobId),
    /// The whole answer arrived; it is recorded if the request may not be repeated.
    Answered {
        /// The request.
        job: JobId,
        /// The encoded answer, if it is small enough to be recorded.
        answer: Option<Bytes>,
    },
    /// The server refused the request before running it.
    Shed {
        /// The request.
        job: JobId,
        /// Wait that the server asked for, in milliseconds.
        retry_ms: u32,
    },
    /// The request failed.
    Failed {
        /// The request.
        job: JobId,
        /// Whether a byte of it may have reached the server.
        sent: bool,
    },
    /// The server refused the request before running it, because it lacks the grant.
    Fenced(JobId),
    /// The server refused a grant because it has seen a higher term.
    Outranked,
    /// A probe or grant was answered.
    Up {
        /// Number of the grant that this answers; zero for a probe.
        grant: u64,
        /// Number the server drew at its start.
        boot: u64,
        /// Highest term it has accepted a grant of; zero if none.
        term: u64,
        /// Whether the server says that it is leaving.
        leaving: bool,
        /// Whether the server says that it is still warming up.
        cold: bool,
    },
    /// A probe, grant or connection attempt failed.
    Down {
        /// Whether the connection was refused rather than timed out.
        refused: bool,
    },
    /// The records of this server, its slices or suspects changed.
    Update(Box<Update>),
    /// The node's lease was extended to this point, or lapsed if it is in the past.
    Lease(Tick),
    /// Memory that the former holder released arrived.
    DedupState(Vec<DedupState>),
    /// Time passed.
    Tick,
}

/// What the records say of the server.
#[derive(Debug, Clone)]
pub struct Update {
    /// Declaration of the server.
    pub server: Server,
    /// Fencing term under which this node holds it.
    pub term: u64,
    /// Whether the records name another node as the next holder.
    pub handover: bool,
    /// Slices the server owns, with those to be released.
    pub slices: Vec<(Slice, Owner)>,
    /// Single keys the server owns, with those to be released.
    pub keys: Vec<(Name, Owner)>,
    /// Keys of the server's slices that have an owner of their own.
    pub excluded: Vec<Name>,
    /// Number of the service's slices; zero if it is unkeyed.
    pub slice_count: u32,
    /// Shares of customers other than 1.
    pub shares: Vec<(Name, u32)>,
    /// Requests under suspicion.
    pub suspects: Vec<Suspect>,
}

/// A slice or a single key: what is granted, released and remembered as one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Unit {
    /// All keys of a slice but those that have an owner of their own.
    Slice(Slice),
    /// A single key; the empty key stands for all of an unkeyed service.
    Key(Name),
}

/// What a holder remembers of the unrepeatable requests of one released unit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DedupState {
    /// The released unit.
    pub unit: Unit,
    /// Epoch that was released.
    pub epoch: u64,
    /// Term of the holder that released it.
    pub term: u64,
    /// Whether no holder serves the unit in this epoch any more; otherwise the next holder of
    /// the same server does.
    pub epoch_closed: bool,
    /// Calendar time from which the memory is complete.
    pub since: Wall,
    /// The requests.
    pub entries: Vec<DedupEntry>,
}

/// What tells an unrepeatable request from any other.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId {
    /// Key of the request; empty in an unkeyed service.
    pub key: Name,
    /// Customer of the caller.
    pub customer: Name,
    /// The caller's id.
    pub id: Name,
}

/// What a holder remembers of one unrepeatable request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DedupEntry {
    /// Key, customer and id of the request.
    pub id: RequestId,
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Calendar time of the request's arrival.
    pub at: Wall,
    /// The recorded answer; `None` if the request may have run without one.
    pub answer: Option<Bytes>,
}

/// What the daemon has to do.
#[derive(Debug, Clone)]
pub enum Output {
    /// Send the request to the server, if the lease still holds when its first byte is written.
    Start {
        /// The request.
        job: JobId,
        /// Fencing term to send.
        term: u64,
        /// Epoch of the slice or key to send.
        epoch: u64,
        /// Point after which the first byte must not be written.
        until: Tick,
    },
    /// Answer the request with a result of whinspring's own.
    Refuse(JobId, Refusal),
    /// Answer the request with the recorded answer.
    Replay(JobId, Bytes),
    /// Stop the request on the server: its caller is gone or its deadline has passed.
    Abort(JobId),
    /// Send the server a grant of slices and keys under this term.
    Grant {
        /// Number of the grant, named by the answer.
        number: u64,
        /// Fencing term.
        term: u64,
        /// Slices and epochs that the server owns from now on.
        slices: Vec<(Slice, u64)>,
        /// Single keys and epochs that the server owns from now on.
        keys: Vec<(Name, u64)>,
    },
    /// Probe the server.
    Probe,
    /// Tell the controller.
    Report(Message),
    /// Store a new or worse suspicion.
    Suspect(Suspect),
    /// Units are released; send the memory of each to the holder of its next owner.
    HandOver(Vec<DedupState>),
    /// Add one to a counter of this name.
    Count(&'static str),
    /// Write a log line on a change of state.
    Log(&'static str),
}
