//! What happened lately to requests that carry an id, for operators who ask.
//!
//! The journal is bounded: each shard forgets its oldest notes. A request's notes are all in the
//! shard of its id, so that one look finds them.

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

/// Parts of the journal that are locked apart.
const SHARDS: usize = 16;

/// Notes that a shard keeps.
const SHARD_CAPACITY: usize = 4_096;

/// Where something happened to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hop {
    /// At the node that the caller is connected to.
    Entry,
    /// At the node that holds the server.
    Holder,
}

impl Hop {
    /// Returns the hop as operators read it.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Holder => "holder",
        }
    }
}

/// What happened to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EventKind {
    /// It arrived from a caller.
    Received {
        /// Its service.
        service: Name,
        /// Whether it may run twice.
        repeatable: bool,
    },
    /// It was forwarded to a holder.
    Forwarded(Target),
    /// A try ended without an answer.
    Failed(Outcome),
    /// The caller was answered.
    Answered(Code),
    /// It arrived at the holder of a server.
    Queued(ServerId),
    /// It was given to the server.
    Started {
        /// The server.
        server: ServerId,
        /// Fencing term that went with it.
        term: u64,
        /// Epoch that went with it.
        epoch: u64,
    },
    /// The recorded answer of an earlier sending was given again.
    Replayed,
    /// The holder refused it.
    Refused(Code),
    /// Its run on the server ended.
    Ended(&'static str),
}

impl EventKind {
    /// Returns what happened as operators read it.
    pub fn text(&self) -> String {
        match self {
            Self::Received { service, repeatable: true } => format!("received for {service}"),
            Self::Received { service, repeatable: false } => {
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

    /// Returns the result code that goes with it.
    pub fn code(&self) -> Option<Code> {
        match self {
            Self::Answered(code) | Self::Refused(code) => Some(*code),
            Self::Failed(Outcome::Refused(refusal)) => Some(refusal.code),
            _ => None,
        }
    }
}

/// Returns an outcome as operators read it.
fn outcome_text(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Refused(_) => "the holder refused",
        Outcome::Misrouted => "that node does not hold the server",
        Outcome::Unreachable => "the holder could not be reached, nothing was sent",
        Outcome::Broken => "the link to the holder was lost after sending",
        Outcome::Cut => "the answer was cut",
    }
}

/// One note.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JournalEvent {
    /// Id of the request.
    pub id: Name,
    /// Calendar time.
    pub at: Wall,
    /// Where it happened.
    pub hop: Hop,
    /// What happened.
    pub kind: EventKind,
}

/// The latest notes of this node.
#[derive(Debug)]
pub struct Journal {
    clock: Clock,
    shards: [Mutex<VecDeque<JournalEvent>>; SHARDS],
}

impl Journal {
    /// Creates an empty journal.
    pub fn new(clock: Clock) -> Self {
        Self { clock, shards: std::array::from_fn(|_| Mutex::default()) }
    }

    /// Adds a note on a request, unless it has no id.
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

    /// Returns the notes on a request, in order.
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
