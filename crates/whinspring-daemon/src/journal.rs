//! In-memory log of recent events of requests that carry an id, shown to operators on demand.
//!
//! The journal is bounded: each shard drops its oldest events. All events of a request are in the
//! shard of its id, so that a query reads one shard.

use {
    parking_lot::Mutex,
    std::{collections::VecDeque, hash::Hasher},
    twox_hash::XxHash3_64,
    whinspring::{
        code::Code,
        entry::Outcome,
        name::{Name, ServerId},
        request::Target,
        time::Wall,
    },
    whinspring_http::clock::Clock,
};

/// Number of independently locked shards.
const SHARDS: usize = 16;

/// Number of events kept by a shard.
const SHARD_CAPACITY: usize = 4_096;

/// Node at which an event occurred.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hop {
    /// The node that the caller is connected to.
    Entry,
    /// The node that holds the server.
    Holder,
}

impl Hop {
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Holder => "holder",
        }
    }
}

/// Kind of an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EventKind {
    /// The request arrived from a caller.
    Received {
        service: Name,
        /// Whether the request is idempotent.
        idempotent: bool,
    },
    /// The request was forwarded to a holder.
    Forwarded(Target),
    /// An attempt ended without a response.
    Failed(Outcome),
    /// The caller was answered.
    Answered(Code),
    /// The request arrived at the holder of a server.
    Queued(ServerId),
    /// The request was sent to the server.
    Started {
        server: ServerId,
        /// Fencing term sent with it.
        term: u64,
        /// Ownership epoch sent with it.
        epoch: u64,
    },
    /// The recorded response of an earlier attempt was replayed.
    Replayed,
    /// The holder refused the request.
    Refused(Code),
    /// The run on the server ended.
    Ended(&'static str),
}

impl EventKind {
    /// Returns the description shown to operators.
    pub fn text(&self) -> String {
        match self {
            Self::Received { service, idempotent: true } => format!("received for {service}"),
            Self::Received { service, idempotent: false } => {
                format!("received for {service}, unrepeatable")
            }
            Self::Forwarded(target) => {
                format!("forwarded to {} for {}, term {}", target.node, target.server, target.term)
            }
            Self::Failed(outcome) => format!("no answer: {}", outcome_text(outcome)),
            Self::Answered(_) => "answered the caller".into(),
            Self::Queued(server) => format!("taken in for {server}"),
            Self::Started { server, term, epoch } => {
                format!("given to {server}, term {term}, epoch {epoch}")
            }
            Self::Replayed => "gave the recorded answer again".into(),
            Self::Refused(_) => "refused".into(),
            Self::Ended(how) => (*how).into(),
        }
    }

    /// Returns the result code, if the event has one.
    pub fn code(&self) -> Option<Code> {
        match self {
            Self::Answered(code) | Self::Refused(code) => Some(*code),
            Self::Failed(Outcome::Refused(refusal)) => Some(refusal.code),
            _ => None,
        }
    }
}

/// Returns the description of an outcome shown to operators.
fn outcome_text(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Refused(_) => "the holder refused",
        Outcome::Misrouted => "that node does not hold the server",
        Outcome::Unreachable => "the holder could not be reached, nothing was sent",
        Outcome::Broken => "the link to the holder was lost after sending",
        Outcome::Cut => "the answer was cut",
    }
}

/// An event of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JournalEvent {
    /// Id of the request.
    pub id: Name,
    /// Wall-clock time.
    pub at: Wall,
    pub hop: Hop,
    pub kind: EventKind,
}

/// The most recent events of requests at this node.
#[derive(Debug)]
pub struct Journal {
    clock: Clock,
    shards: [Mutex<VecDeque<JournalEvent>>; SHARDS],
}

impl Journal {
    pub fn new(clock: Clock) -> Self {
        Self { clock, shards: std::array::from_fn(|_| Mutex::default()) }
    }

    /// Adds an event of a request; requests without an id are ignored.
    pub fn add(&self, id: &Name, hop: Hop, kind: EventKind) {
        if id.is_empty() {
            return;
        }
        let event = JournalEvent { id: id.clone(), at: self.clock.wall(), hop, kind };
        let mut shard = self.shard(id).lock();
        if shard.len() == SHARD_CAPACITY {
            shard.pop_front();
        }
        shard.push_back(event);
    }

    /// Returns the events of a request, in order.
    pub fn events_of(&self, id: &str) -> Vec<JournalEvent> {
        let shard = self.shard(id).lock();
        shard.iter().filter(|event| event.id == id).cloned().collect()
    }

    /// Returns the shard of an id.
    fn shard(&self, id: &str) -> &Mutex<VecDeque<JournalEvent>> {
        let mut hasher = XxHash3_64::new();
        hasher.write(id.as_bytes());
        &self.shards[hasher.finish() as usize % SHARDS]
    }
}
