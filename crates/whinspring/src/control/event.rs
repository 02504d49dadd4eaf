//! Inputs and outputs of the control state machine.

use {
    crate::{
        message::Message,
        name::Name,
        record::{Key, Record, Value},
    },
    std::net::SocketAddr,
};

/// Start parameters of a node.
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
    /// Seed of the node's random number generator.
    pub seed: u64,
    /// Addresses of other nodes to pull records from while the platform is down.
    pub peers: Vec<SocketAddr>,
}

/// Destination or source of a message.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Name of the node; empty for an address from the settings whose node is not known yet.
    pub name: Name,
    pub addr: SocketAddr,
}

/// An input of the control state machine.
#[derive(Debug, Clone)]
pub enum Event {
    /// Time passed; sent at least every [`TICK_MS`].
    Tick,
    /// A message of another node arrived.
    Received(Peer, Message),
    /// A report of this node's own holders, for the controller.
    Report(Message),
    /// A write to the platform completed.
    WriteCompleted {
        /// Number of the [`Action::Put`].
        op: u64,
        outcome: WriteOutcome,
    },
    /// Records read from the platform, by a list or a watch.
    Read {
        /// Whether this answers [`Action::List`] rather than [`Action::Watch`].
        full: bool,
        /// Revision up to which the records are complete.
        revision: u64,
        records: Vec<Record>,
    },
    /// A list or watch failed.
    ReadFailed {
        /// Whether the watch's revision is too old, so that a list is required.
        gone: bool,
    },
    /// The platform's list of VMs.
    Vms(Vec<(Name, VmState)>),
    /// A graceful stop of this node began.
    Stop,
}

/// State of a VM according to the platform, whose list may be outdated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmState {
    Live,
    /// About to be stopped.
    Leaving,
    Gone,
}

/// Outcome of a conditional write to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// Written at this version.
    Written(u64),
    /// The record was at another version.
    Conflict {
        /// Current version; zero if the record does not exist.
        version: u64,
        /// Mark of the last write of the record.
        mark: u64,
    },
    /// No reply: the write may or may not have taken effect.
    Unknown,
}

/// An output of the control state machine, executed by the daemon.
#[derive(Debug, Clone)]
pub enum Action {
    /// Send a message to another node; it may be lost.
    Send(Peer, Message),
    /// Write a record if it is at the expected version; completed by [`Event::WriteCompleted`].
    Put {
        /// Number of the write, repeated in the reply.
        op: u64,
        key: Key,
        /// Version that the record must have; zero if it must not exist.
        expect: u64,
        /// Random mark that identifies this write.
        mark: u64,
        /// Content; `None` deletes.
        value: Option<Value>,
    },
    /// Read every record; completed by [`Event::Read`].
    List,
    /// Wait for changes after a revision; completed by [`Event::Read`].
    Watch(u64),
    /// Read the list of VMs; completed by [`Event::Vms`].
    ListVms,
    /// These records changed: the routing view and the held servers must be updated.
    Changed(Vec<Key>),
    /// Write a log line on a change of state.
    Log(String),
    /// Increment the counter of this name.
    Count(&'static str),
}

/// Longest time between two [`Event::Tick`], in milliseconds.
pub const TICK_MS: u64 = 20;
