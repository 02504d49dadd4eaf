//! What goes into the control part of a node and what comes out of it.

use {
    crate::{
        message::Message,
        name::Name,
        record::{Key, Record, Value},
    },
    std::net::SocketAddr,
};

/// What a node knows of itself at start.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Name of the node's VM.
    pub name: Name,
    /// Address for other nodes.
    pub addr: SocketAddr,
    /// Failure domain of the VM.
    pub domain: Name,
    /// Random number drawn at process start.
    pub incarnation: u64,
    /// Seed of the node's random choices.
    pub seed: u64,
    /// Addresses of other nodes to ask for records while the platform is down.
    pub peers: Vec<SocketAddr>,
}

/// Where a message goes or came from.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Name of the node; empty for an address from the settings whose name is not known yet.
    pub name: Name,
    /// Address of the node.
    pub addr: SocketAddr,
}

/// Something that happened to the node.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time passed; sent at least every [`TICK_MS`].
    Tick,
    /// A message of another node arrived.
    Received(Peer, Message),
    /// A report of this node's own holders, for the controller.
    Report(Message),
    /// A write to the platform ended.
    WriteCompleted {
        /// Number of the [`Action::Put`].
        op: u64,
        /// How it ended.
        outcome: WriteOutcome,
    },
    /// Records read from the platform, by a list or a watch.
    Read {
        /// Whether this answers [`Action::List`] rather than [`Action::Watch`].
        whole: bool,
        /// Revision up to which the records are complete.
        revision: u64,
        /// The records.
        records: Vec<Record>,
    },
    /// A list or watch failed.
    ReadFailed {
        /// Whether the watch's revision is too old, so that only a list helps.
        gone: bool,
    },
    /// The platform's list of VMs.
    Vms(Vec<(Name, VmState)>),
    /// A graceful stop of this node began.
    Stop,
}

/// What the platform says of a VM; it lags.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmState {
    /// It runs.
    Live,
    /// It is about to be stopped.
    Leaving,
    /// It no longer exists.
    Gone,
}

/// How a write to the platform ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// Written at this version.
    Written(u64),
    /// The record was at another version; zero if it does not exist.
    Conflict {
        /// Its present version.
        version: u64,
        /// Mark of its last write.
        mark: u64,
    },
    /// No answer: the write may or may not have taken effect.
    Unknown,
}

/// What the daemon has to do.
#[derive(Debug, Clone)]
pub enum Action {
    /// Send a message to another node; it may be lost.
    Send(Peer, Message),
    /// Write a record if it is at the expected version; answered by [`Event::WriteCompleted`].
    Put {
        /// Number of the write.
        op: u64,
        /// Record to write.
        key: Key,
        /// Version it must have; zero if it must not exist.
        expect: u64,
        /// Mark of this write.
        mark: u64,
        /// Content; `None` deletes.
        value: Option<Value>,
    },
    /// Read every record; answered by [`Event::Read`].
    List,
    /// Wait for changes after a revision; answered by [`Event::Read`].
    Watch(u64),
    /// Read the list of VMs; answered by [`Event::Vms`].
    ListVms,
    /// These records changed: routing view and held servers must be brought up to date.
    Changed(Vec<Key>),
    /// Write a log line on a change of state.
    Log(String),
    /// Add one to a counter of this name.
    Count(&'static str),
}

/// Longest time between two [`Event::Tick`], in milliseconds.
pub const TICK_MS: u64 = 20;
