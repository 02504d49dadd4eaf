//! Domain types of the records in the platform's object store: nodes, services, holders, owners and
//! plans.
//!
//! Their encoding is defined in `whinspring-wire`.

use {
    crate::name::{Name, ServerId, Slice},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// A whinspring node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Node {
    /// Name of the node's VM.
    pub name: Name,
    /// Random number drawn at process start; tells a restart from a pause.
    pub incarnation: u64,
    /// Address for other nodes.
    pub addr: SocketAddr,
    /// Failure domain of the VM.
    pub domain: Name,
    pub state: NodeState,
    /// Nodes whose acknowledgements extend this node's lease.
    pub lessors: Vec<Name>,
}

/// Lifecycle state of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeState {
    /// Serves requests and may hold servers.
    Live,
    /// Finishes its work and hands over its servers.
    Leaving,
    /// Declared lost after its lease lapsed, or stopped gracefully.
    Gone,
}

/// The term of the node that plans assignments.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Controller {
    pub node: Name,
    pub incarnation: u64,
    /// Rises with each change of the controller.
    pub term: u64,
}

/// A service as declared by operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Name of the service.
    pub name: Name,
    /// Path prefix of the service's requests, starting with a slash.
    pub prefix: Name,
    /// Where a request carries its key; `None` for an unkeyed service.
    pub key: Option<KeyPlace>,
    /// Number of slices of a keyed service; zero for an unkeyed service.
    pub slices: u32,
    /// Deadline of requests that specify none, in milliseconds.
    pub deadline_ms: u32,
    /// Longest accepted deadline, in milliseconds.
    pub cap_ms: u32,
    /// Header that names the customer.
    pub customer: Name,
    /// Shares of customers; a customer that is not listed has a share of 1.
    pub shares: BTreeMap<Name, u32>,
    /// Backend servers by number.
    pub servers: BTreeMap<ServerId, Server>,
}

/// Where a request carries its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyPlace {
    /// In the header of this name.
    Header(Name),
    /// In the path part of this index after the prefix.
    PathPart(u32),
}

/// A backend server as declared by operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Name of the server's VM.
    pub name: Name,
    /// HTTP address.
    pub addr: SocketAddr,
    /// Failure domain of the VM.
    pub domain: Name,
    /// Whether the server checks fencing terms.
    pub fenced: bool,
    /// Number of requests it runs concurrently.
    pub slots: u32,
    /// Number of connections it accepts.
    pub conns: u32,
    /// State requested by operators.
    pub state: ServerState,
}

/// State of a backend server as requested by operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// Serves requests.
    Active,
    /// Finishes its running requests and gets no new work.
    Draining,
    /// Lost; its keys are reassigned to other servers.
    Lost,
}

impl ServerState {
    /// Returns the state as shown to operators.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Active => "active",
            Self::Draining => "draining",
            Self::Lost => "lost",
        }
    }
}

/// The holders of a service's backend servers.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Holders {
    pub terms: BTreeMap<ServerId, Holder>,
}

/// The one node that talks to a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// Node that holds the server.
    pub node: Name,
    /// Incarnation of that node.
    pub incarnation: u64,
    /// Fencing term; rises with each change of the holder.
    pub term: u64,
    /// Node that takes over once the holder has released the server.
    pub next: Option<Name>,
}

/// Number of slices in one segment object; segments keep objects below the platform's size limit.
pub const SEGMENT_SLICES: u32 = 4_096;

/// The owners of a contiguous range of a service's slices.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Segment {
    /// First slice of the range.
    pub first: u32,
    /// Owner of each slice of the range.
    pub owners: Vec<Owner>,
    /// Owners of single hot keys, which take precedence over the owner of their slice.
    pub keys: BTreeMap<Name, Owner>,
}

impl Segment {
    /// Returns the owner of `slice` if this segment covers it.
    pub fn owner(&self, slice: Slice) -> Option<&Owner> {
        self.owners.get(slice.0.checked_sub(self.first)? as usize)
    }
}

/// The backend server that owns a slice or a single key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Owner {
    /// Server that owns the slice.
    pub server: ServerId,
    /// Rises with each change of the owner.
    pub epoch: u64,
    /// Server that takes over once the holder of `server` has released the slice.
    pub next: Option<ServerId>,
}

/// A request suspected of crashing backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspect {
    /// Fingerprint of the request's service, method, path and body.
    pub print: u64,
    /// Number of servers that crashed while running it.
    pub deaths: u32,
    /// Wall-clock time of the last crash, in milliseconds since the Unix epoch.
    pub last_ms: u64,
    /// Whether an operator cleared it, so that it is no longer refused.
    pub cleared: bool,
}

/// A plan of an operator: a sequence of changes that the controller carries out once confirmed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Identifier shown to operators.
    pub id: Name,
    /// Command that the plan was computed for.
    pub intent: Name,
    /// Versions of the records that the plan was computed from, by `kind/name`; zero for a
    /// record that did not exist.
    pub base: BTreeMap<Name, u64>,
    /// Steps that the controller carries out.
    pub steps: Vec<Step>,
    pub state: PlanState,
    /// Number of steps done so far.
    pub done: u32,
    /// Why it failed or was aborted.
    pub reason: Name,
}

/// Progress of a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlanState {
    /// Computed but not confirmed; has no effect yet.
    Proposed,
    /// Confirmed; the controller carries it out.
    Confirmed,
    /// All steps done.
    Finished,
    /// Stopped by an operator.
    Aborted,
    /// A step could not be done.
    Failed,
}

impl PlanState {
    /// Returns the state as shown to operators.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Proposed => "proposed",
            Self::Confirmed => "confirmed",
            Self::Finished => "finished",
            Self::Aborted => "aborted",
            Self::Failed => "failed",
        }
    }
}

/// One step of a plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Replaces the whole declaration of a service.
    Declare(Box<Service>),
    /// Sets the requested state of a server.
    SetState {
        /// Service of the server.
        service: Name,
        /// The server.
        server: ServerId,
        state: ServerState,
    },
    /// Moves a slice to another server.
    MoveSlice {
        /// Service of the slice.
        service: Name,
        /// The slice.
        slice: Slice,
        /// Its new owner.
        to: ServerId,
    },
    /// Assigns a single key to a server independently of its slice.
    MoveKey {
        /// Service of the key.
        service: Name,
        /// The key.
        key: Name,
        /// Its new owner.
        to: ServerId,
    },
    /// Clears a suspected request.
    Clear {
        /// Fingerprint of the request.
        print: u64,
    },
}
