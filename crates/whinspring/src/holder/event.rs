//! Inputs and outputs of a holder.

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

/// An event at the server, at a request or in the records.
#[derive(Debug, Clone)]
pub enum Input {
    /// A request arrived.
    Arrive(Job),
    /// The caller disconnected or the entry gave up.
    Cancel(JobId),
    /// The head of the server's answer arrived.
    Head(JobId),
    /// The whole answer arrived; it is recorded if the request is not idempotent.
    Answered {
        job: JobId,
        /// The encoded answer, if it is small enough to be recorded.
        answer: Option<Bytes>,
    },
    /// The server refused the request before running it.
    Shed {
        job: JobId,
        /// Retry delay that the server asked for, in milliseconds.
        retry_ms: u32,
    },
    /// The request failed.
    Failed {
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
        /// Number that the server chose at its start; another one means a restart.
        boot: u64,
        /// Highest term of a grant that it has accepted; zero if none.
        term: u64,
        /// Whether the server announces its shutdown.
        leaving: bool,
        /// Whether the server reports that it is still warming up.
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
    /// Deduplication state that the former holder released arrived.
    DedupState(Vec<DedupState>),
    /// Time passed.
    Tick,
}

/// The content of the records that concerns one server.
#[derive(Debug, Clone)]
pub struct Update {
    pub server: Server,
    /// Fencing term under which this node holds it.
    pub term: u64,
    /// Whether the records name another node as the next holder.
    pub handover: bool,
    /// Slices that the server owns, including those to be released.
    pub slices: Vec<(Slice, Owner)>,
    /// Single keys that the server owns, including those to be released.
    pub keys: Vec<(Name, Owner)>,
    /// Keys of the server's slices that have an owner of their own.
    pub excluded: Vec<Name>,
    /// Number of slices of the service; zero if it is unkeyed.
    pub slice_count: u32,
    /// Shares of customers, for those with a share other than 1.
    pub shares: Vec<(Name, u32)>,
    /// Requests suspected to crash servers.
    pub suspects: Vec<Suspect>,
}

/// A slice or a single key: the unit of grants, releases and handed-over state.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Unit {
    /// All keys of a slice except those that have an owner of their own.
    Slice(Slice),
    /// A single key; the empty key stands for all of an unkeyed service.
    Key(Name),
}

/// Deduplication state of one released unit: its non-idempotent requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DedupState {
    pub unit: Unit,
    pub epoch: u64,
    /// Term of the holder that released it.
    pub term: u64,
    /// Whether no holder serves the unit in this epoch any more. Otherwise the next holder of the
    /// same server does.
    pub epoch_closed: bool,
    /// Calendar time since which the state is complete.
    pub since: Wall,
    pub entries: Vec<DedupEntry>,
}

/// Identity of a non-idempotent request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId {
    /// Key of the request; empty in an unkeyed service.
    pub key: Name,
    pub customer: Name,
    /// Request id given by the caller.
    pub id: Name,
}

/// Deduplication entry of one non-idempotent request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DedupEntry {
    pub id: RequestId,
    /// Fingerprint of service, method, path and body.
    pub fingerprint: u64,
    /// Calendar time of its arrival.
    pub at: Wall,
    /// The recorded answer; `None` if the request may have run without one.
    pub answer: Option<Bytes>,
}

/// An action for the daemon.
#[derive(Debug, Clone)]
pub enum Output {
    /// Send the request to the server, if the lease still holds when its first byte is written.
    Start {
        job: JobId,
        term: u64,
        /// Epoch of the slice or key.
        epoch: u64,
        /// Point after which the first byte must not be written.
        until: Tick,
    },
    /// Answer the request with a result of whinspring's own.
    Refuse(JobId, Refusal),
    /// Answer the request with the recorded answer.
    Replay(JobId, Bytes),
    /// Stop the request on the server: its caller has disconnected or its deadline has passed.
    Abort(JobId),
    /// Send the server a grant of slices and keys under this term.
    Grant {
        /// Number of the grant, echoed by the answer.
        number: u64,
        term: u64,
        /// Slices that the server owns from now on, with their epochs.
        slices: Vec<(Slice, u64)>,
        /// Single keys that the server owns from now on, with their epochs.
        keys: Vec<(Name, u64)>,
    },
    Probe,
    /// Send the message to the controller.
    Report(Message),
    /// Store a new, worse or cleared suspect.
    Suspect(Suspect),
    /// Send the deduplication state of released units to the holders of their next owners.
    HandOver(Vec<DedupState>),
    /// Increment the counter of this name.
    Count(&'static str),
    /// Log a change of state.
    Log(&'static str),
}
