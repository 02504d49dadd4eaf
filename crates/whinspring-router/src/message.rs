//! Messages between nodes.
//!
//! No message grants a right: ownership and the controller's term are decided by conditional writes
//! to the store, and nodes only pass on what they know of them.

use {
    crate::{
        platform::{Kind, Object, Position},
        record::{HandoverRecord, SpanRecord},
    },
    prost::{Message, Oneof},
    std::time::Duration,
    whinspring::{
        gate::{ServerOutcome, load::Load},
        name::Name,
        ranges::Instance,
    },
};

/// One message on a link.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 15, 16, 20, 21")]
    pub body: Option<Body>,
    /// When the newest heartbeat was sent that the sender has received from the receiver, in
    /// milliseconds of the receiver's clock.
    #[prost(uint64, tag = "14")]
    pub echo: u64,
}

#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    #[prost(message, tag = "1")]
    Heartbeat(Heartbeat),
    /// Requests admission of a request.
    #[prost(message, tag = "2")]
    Admit(Admit),
    #[prost(message, tag = "3")]
    Admitted(Admitted),
    #[prost(message, tag = "4")]
    Rejected(Rejected),
    /// A request has left its server or was cancelled.
    #[prost(message, tag = "5")]
    Done(Done),
    /// Requests the objects of a kind of which the receiver knows a higher revision.
    #[prost(message, tag = "6")]
    FetchRequest(FetchRequest),
    /// All objects of a kind.
    #[prost(message, tag = "7")]
    Snapshot(Snapshot),
    /// A request crashed a server.
    #[prost(message, tag = "8")]
    CrashReport(CrashReport),
    /// Sent by earlier versions only, as is the result.
    #[prost(message, tag = "9")]
    ProbeRequest(ProbeRequest),
    #[prost(message, tag = "10")]
    ProbeResult(ProbeResult),
    /// The owners of a service have changed.
    #[prost(message, tag = "11")]
    OwnersChanged(OwnersChanged),
    /// Asks whether requests are still at their servers.
    #[prost(message, tag = "12")]
    Check(Check),
    /// Names the sender; the first message on a link.
    #[prost(message, tag = "13")]
    Hello(Hello),
    /// Objects have changed in the store.
    #[prost(message, tag = "15")]
    ObjectsChanged(ObjectsChanged),
    /// New owners have been granted their keys.
    #[prost(message, tag = "16")]
    HandoversFinished(HandoversFinished),
    /// A long message, compressed.
    #[prost(message, tag = "20")]
    Packed(Packed),
    /// A server has said that it leaves.
    #[prost(message, tag = "21")]
    ServerNotice(ServerNotice),
}

/// A heartbeat, with what its sender knows and has measured.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// Name of the sender.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Failure domain of the sender.
    #[prost(string, tag = "2")]
    pub domain: String,
    /// Address for links.
    #[prost(string, tag = "3")]
    pub addr: String,
    /// Random number of this run of the process.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Whether the node is stopping.
    #[prost(bool, tag = "5")]
    pub leaving: bool,
    /// Time since the store last responded to the node.
    #[prost(uint32, tag = "6")]
    pub store_age_ms: u32,
    /// Revision of the configuration that the node knows.
    #[prost(uint64, tag = "7")]
    pub routes: u64,
    /// Revision of the list of servers that the node knows.
    #[prost(uint64, tag = "8")]
    pub servers: u64,
    /// Revision of the ownership that the node knows, the highest of all services.
    #[prost(uint64, tag = "9")]
    pub owners: u64,
    /// Highest controller term that the node knows.
    #[prost(uint64, tag = "10")]
    pub term: u64,
    /// Load of keys since the last heartbeat to the controller.
    #[prost(message, repeated, tag = "11")]
    pub keys: Vec<KeyLoad>,
    /// Latencies of servers since the last heartbeat to the controller.
    #[prost(message, repeated, tag = "12")]
    pub latencies: Vec<ServerLatency>,
    /// Whether the node is the controller of `term`.
    #[prost(bool, tag = "13")]
    pub is_leader: bool,
    /// Time between two heartbeats of the node.
    #[prost(uint32, tag = "14")]
    pub interval_ms: u32,
    /// Time of sending on the node's clock.
    #[prost(uint64, tag = "15")]
    pub sent_ms: u64,
    /// Whether the node's last call to the store failed.
    #[prost(bool, tag = "16")]
    pub store_lost: bool,
    /// CPU share of the node, in hundredths of a core.
    #[prost(uint32, tag = "17")]
    pub cpu_share: u32,
    /// Whether the node accepts compressed messages.
    #[prost(bool, tag = "22")]
    pub unpacks: bool,
    /// Era of the store that the node knows.
    #[prost(uint64, tag = "18")]
    pub era: u64,
    /// Eras of the revisions in `routes`, `servers` and `owners`.
    #[prost(uint64, tag = "19")]
    pub routes_era: u64,
    #[prost(uint64, tag = "20")]
    pub servers_era: u64,
    #[prost(uint64, tag = "21")]
    pub owners_era: u64,
    /// Time for which the sender has known the era, from itself or others.
    #[prost(uint64, tag = "32")]
    pub era_age_ms: u64,
    /// Address for requests of nodes that reach no server; empty if the node relays none.
    #[prost(string, tag = "31")]
    pub relay: String,
    /// Whether the node can reach no server.
    #[prost(bool, tag = "23")]
    pub cut_off: bool,
    /// Whether the node's gates keep the limits that servers name.
    #[prost(bool, tag = "24")]
    pub keeps_limits: bool,
    /// What servers have said of their limits of late, to the controller.
    #[prost(message, repeated, tag = "25")]
    pub limits: Vec<ServerLimit>,
    /// Whether the node weights the places of gates by CPU share.
    #[prost(bool, tag = "26")]
    pub weighs_gates: bool,
    /// Revision of the evacuations that the node knows, and its era; zero if it follows none.
    #[prost(uint64, tag = "27")]
    pub evacuations: u64,
    #[prost(uint64, tag = "28")]
    pub evacuations_era: u64,
    /// Whether the node's gates keep the limits of cold servers.
    #[prost(bool, tag = "29")]
    pub keeps_cold: bool,
}

/// Heartbeat intervals without a heartbeat after which a node counts as lost, in tenths.
const MISSED_HEARTBEATS_TENTHS: u32 = 36;

/// Minimum silence after which a node counts as lost.
const MIN_TIMEOUT: Duration = Duration::from_millis(900);

impl Heartbeat {
    /// Returns the position of a kind that the node knows.
    pub fn position(&self, kind: Kind) -> Position {
        match kind {
            Kind::Routes => Position::new(self.routes_era, self.routes),
            Kind::Servers => Position::new(self.servers_era, self.servers),
            Kind::Owners => Position::new(self.owners_era, self.owners),
            Kind::Evacuations => Position::new(self.evacuations_era, self.evacuations),
            Kind::Control | Kind::Nodes => Position::default(),
        }
    }

    /// Returns the silence after which the sender counts as lost.
    pub fn timeout(&self) -> Duration {
        let missing = u64::from(self.interval_ms * MISSED_HEARTBEATS_TENTHS / 10);
        MIN_TIMEOUT.max(Duration::from_millis(missing))
    }

    /// Returns the time without a new echo after which the sender counts as not receiving.
    pub fn half_open_after(&self) -> Duration {
        self.timeout() * 2 + Duration::from_millis(self.interval_ms.into())
    }
}

/// Load that a key caused.
#[derive(Clone, PartialEq, Message)]
pub struct KeyLoad {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(uint32, tag = "2")]
    pub key: u32,
    /// Expected time of the requests on a server of usual speed.
    #[prost(uint32, tag = "3")]
    pub work_ms: u32,
}

/// Latency of a server.
#[derive(Clone, PartialEq, Message)]
pub struct ServerLatency {
    #[prost(string, tag = "1")]
    pub server: String,
    /// Number of requests.
    #[prost(uint32, tag = "2")]
    pub count: u32,
    /// Total time that the requests took.
    #[prost(uint32, tag = "3")]
    pub total_ms: u32,
    /// Total time that the requests were expected to take.
    #[prost(uint32, tag = "4")]
    pub expected_ms: u32,
    /// Responses with an error of the server's own; not counted in `count`.
    #[prost(uint32, tag = "5")]
    pub errors: u32,
}

/// Requests admission of a request at a gate. The numbers 9 and 10 were those of fields that no version
/// has read.
#[derive(Clone, PartialEq, Message)]
pub struct Admit {
    /// Pool that may run it: a server, or a service without keys.
    #[prost(string, tag = "1")]
    pub pool: String,
    /// Number of the request at its node; other processes of the node give out other numbers.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Priority; zero is the highest.
    #[prost(uint32, tag = "3")]
    pub priority: u32,
    /// Milliseconds until the latency target.
    #[prost(uint32, tag = "4")]
    pub target: u32,
    /// Milliseconds until the deadline.
    #[prost(uint32, tag = "5")]
    pub deadline: u32,
    /// Server that should not run it; empty for none.
    #[prost(string, tag = "6")]
    pub avoid: String,
    /// Servers that want nothing from the node now and must not run it.
    #[prost(string, repeated, tag = "7")]
    pub exclude: Vec<String>,
    /// What the node knows of the limits of the pool's servers.
    #[prost(message, repeated, tag = "8")]
    pub limits: Vec<ServerLimit>,
}

/// Admits a request.
#[derive(Clone, PartialEq, Message)]
pub struct Admitted {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Server that runs it.
    #[prost(string, tag = "2")]
    pub server: String,
    /// What the node of the gate knows of the server's limit.
    #[prost(message, optional, tag = "3")]
    pub limit: Option<ServerLimit>,
}

/// What a server has said of how many requests it takes from all nodes. A message that states
/// neither a limit nor that there is none says nothing.
#[derive(Clone, PartialEq, Message)]
pub struct ServerLimit {
    #[prost(string, tag = "1")]
    pub server: String,
    /// Start time of the server, in milliseconds since the Unix epoch; zero if unknown.
    #[prost(uint64, tag = "2")]
    pub start_ms: u64,
    /// Address of the server.
    #[prost(string, tag = "3")]
    pub addr: String,
    /// Requests a second that it takes.
    #[prost(double, optional, tag = "4")]
    pub rate: Option<f64>,
    /// Whether it names no limit any more.
    #[prost(bool, tag = "5")]
    pub lifted: bool,
    /// Time since the statement was made.
    #[prost(uint32, tag = "6")]
    pub age_ms: u32,
}

/// Rejects a request.
#[derive(Clone, PartialEq, Message)]
pub struct Rejected {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Time after which the request may be retried.
    #[prost(uint32, tag = "2")]
    pub retry_ms: u32,
}

/// A request has left its server or was cancelled.
#[derive(Clone, PartialEq, Message)]
pub struct Done {
    /// Pool that was to admit it.
    #[prost(string, tag = "1")]
    pub pool: String,
    /// Number of the request.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Outcome: 0 if the request was not sent, 1 if it ran, 2 if it failed, 3 if the server did not
    /// run it, 4 if the server responded with an error of its own.
    #[prost(uint32, tag = "3")]
    pub outcome: u32,
    /// What the server said of its load in its response.
    #[prost(message, optional, tag = "4")]
    pub load: Option<ServerLoad>,
}

/// Load of a server, as it states it itself.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct ServerLoad {
    /// Requests that run.
    #[prost(uint32, tag = "1")]
    pub running: u32,
    /// Requests that wait.
    #[prost(uint32, tag = "2")]
    pub waiting: u32,
    #[prost(uint32, tag = "3")]
    pub slots: u32,
    /// Time that work takes now, in hundredths of the usual time; zero if not stated.
    #[prost(uint32, tag = "4")]
    pub slowness: u32,
}

/// Names the sender on a link.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// Name of the node.
    #[prost(string, tag = "1")]
    pub node: String,
}

/// Asks whether requests are still at their servers.
#[derive(Clone, PartialEq, Message)]
pub struct Check {
    /// Pool that was to admit them.
    #[prost(string, tag = "1")]
    pub pool: String,
    /// Numbers of the requests at their node.
    #[prost(uint64, repeated, tag = "2")]
    pub numbers: Vec<u64>,
}

/// Requests all objects of a kind.
#[derive(Clone, PartialEq, Message)]
pub struct FetchRequest {
    /// Number of the kind of object.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
}

/// All objects of a kind.
#[derive(Clone, PartialEq, Message)]
pub struct Snapshot {
    /// Number of the kind of object.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// Revision of the last change of the kind.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    #[prost(message, repeated, tag = "3")]
    pub items: Vec<Item>,
    /// Store revision up to which all changes of the kind are included.
    #[prost(uint64, tag = "4")]
    pub synced_revision: u64,
    /// Era of all its revisions.
    #[prost(uint64, tag = "5")]
    pub era: u64,
    /// Servers that leave, or evacuated domains in place of servers, as far as the sender knows.
    #[prost(message, repeated, tag = "6")]
    pub notices: Vec<ServerNotice>,
    /// Requests that crashed servers, as far as the sender knows; for a node that has come up.
    #[prost(message, repeated, tag = "7")]
    pub crashes: Vec<CrashRecord>,
}

/// Objects of a kind that have changed.
#[derive(Clone, PartialEq, Message)]
pub struct ObjectsChanged {
    /// Number of the kind of object.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// Store revision that the changes follow; all later changes of the kind are included.
    #[prost(uint64, tag = "2")]
    pub base: u64,
    /// Store revision up to which changes are included.
    #[prost(uint64, tag = "3")]
    pub synced_revision: u64,
    /// The changed objects in order.
    #[prost(message, repeated, tag = "4")]
    pub items: Vec<Item>,
    /// Era of all its revisions.
    #[prost(uint64, tag = "5")]
    pub era: u64,
    /// Those of the servers that leave.
    #[prost(message, repeated, tag = "6")]
    pub notices: Vec<ServerNotice>,
}

/// Owners of a service that have changed.
#[derive(Clone, PartialEq, Message)]
pub struct OwnersChanged {
    #[prost(string, tag = "1")]
    pub service: String,
    /// Revision of the owners that the change applies to.
    #[prost(uint64, tag = "2")]
    pub base: u64,
    /// Revision of the owners after the change.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Term of the controller that made the change.
    #[prost(uint64, tag = "4")]
    pub term: u64,
    /// The spans that differ.
    #[prost(message, repeated, tag = "5")]
    pub spans: Vec<SpanRecord>,
    /// Whether the receiver forwards the change to its failure domain.
    #[prost(bool, tag = "6")]
    pub relay: bool,
    /// Era of `revision`.
    #[prost(uint64, tag = "7")]
    pub era: u64,
    /// Term of the owners that the change applies to; zero if the sender does not tell.
    #[prost(uint64, tag = "8")]
    pub base_term: u64,
}

/// Handovers of a service that have finished. The store learns of them later: a server that holds
/// the keys serves them at once.
#[derive(Clone, PartialEq, Message)]
pub struct HandoversFinished {
    #[prost(string, tag = "1")]
    pub service: String,
    #[prost(message, repeated, tag = "2")]
    pub handovers: Vec<HandoverRecord>,
    /// Whether the receiver forwards the message to its failure domain.
    #[prost(bool, tag = "3")]
    pub relay: bool,
}

/// A server has said in a response that it leaves. The store may learn of it later or never: the
/// message only keeps requests away from the server.
#[derive(Clone, PartialEq, Message)]
pub struct ServerNotice {
    #[prost(string, tag = "1")]
    pub server: String,
    /// Start time of the server, in milliseconds since the Unix epoch; zero if unknown.
    #[prost(uint64, tag = "2")]
    pub start_ms: u64,
    /// Address of the server.
    #[prost(string, tag = "3")]
    pub addr: String,
    /// Time since the server may have said so first; the highest number if unknown.
    #[prost(uint32, tag = "4")]
    pub age_ms: u32,
    /// Whether the receiver forwards the message to its failure domain.
    #[prost(bool, tag = "5")]
    pub relay: bool,
}

/// One object.
#[derive(Clone, PartialEq, Message)]
pub struct Item {
    #[prost(string, tag = "1")]
    pub name: String,
    /// Revision of its last change.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Its value as stored.
    #[prost(bytes = "vec", tag = "3")]
    pub value: Vec<u8>,
    /// Whether the object is gone.
    #[prost(bool, tag = "4")]
    pub gone: bool,
    /// Era in which owners were learned from the store or their writer; may be an earlier one than
    /// that of the message.
    #[prost(uint64, tag = "5")]
    pub era: u64,
}

/// A request crashed a server.
#[derive(Clone, PartialEq, Message)]
pub struct CrashReport {
    /// Fingerprint of the request.
    #[prost(uint64, tag = "1")]
    pub print: u64,
    /// The server; empty if the sender is of an earlier version.
    #[prost(string, tag = "2")]
    pub server: String,
    /// Start time of its process in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "3")]
    pub start_ms: u64,
}

impl CrashReport {
    /// Creates the report of a request that a process ran, if that is known.
    pub fn new(print: u64, instance: Option<Instance>) -> Self {
        let (server, start_ms) =
            instance.map(|it| (it.server.to_string(), it.start_ms)).unwrap_or_default();
        Self { print, server, start_ms }
    }

    /// Returns the process that seems to have crashed, if the sender names it.
    pub fn instance(&self) -> Option<Instance> {
        let server = Name::from(self.server.as_str());
        (!server.is_empty()).then(|| Instance { server, start_ms: self.start_ms })
    }
}

/// What a node knows of a request that crashed servers.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct CrashRecord {
    /// Fingerprint of the request.
    #[prost(uint64, tag = "1")]
    pub print: u64,
    /// Number of crashes.
    #[prost(uint32, tag = "2")]
    pub count: u32,
    /// Time for which the request is still rejected, if it has crashed enough servers.
    #[prost(uint32, tag = "3")]
    pub left_ms: u32,
}

/// Asks to probe whether a server refuses connections; sent by earlier versions only.
#[derive(Clone, PartialEq, Message)]
pub struct ProbeRequest {
    /// Address of the server.
    #[prost(string, tag = "1")]
    pub addr: String,
}

/// Result of such a probe.
#[derive(Clone, PartialEq, Message)]
pub struct ProbeResult {
    /// Address of the server.
    #[prost(string, tag = "1")]
    pub addr: String,
    /// Whether the server refused the connection.
    #[prost(bool, tag = "2")]
    pub refused: bool,
}

impl Done {
    /// Encodes an outcome.
    pub fn number_of(outcome: ServerOutcome) -> u32 {
        match outcome {
            ServerOutcome::NotSent => 0,
            ServerOutcome::Completed => 1,
            ServerOutcome::Failed => 2,
            ServerOutcome::Shed => 3,
            ServerOutcome::Errored => 4,
        }
    }

    /// Decodes the outcome; an unknown number counts as unused.
    pub fn outcome(&self) -> ServerOutcome {
        match self.outcome {
            1 => ServerOutcome::Completed,
            2 => ServerOutcome::Failed,
            3 => ServerOutcome::Shed,
            4 => ServerOutcome::Errored,
            _ => ServerOutcome::NotSent,
        }
    }
}

impl From<Load> for ServerLoad {
    fn from(load: Load) -> Self {
        let Load { running, waiting, slots, slowness } = load;
        Self { running, waiting, slots, slowness }
    }
}

impl ServerLoad {
    /// Decodes the load; `None` if it cannot be one.
    pub fn load(self) -> Option<Load> {
        let Self { running, waiting, slots, slowness } = self;
        (slots > 0).then_some(Load { running, waiting, slots, slowness })
    }
}

impl From<&Object> for Item {
    fn from(object: &Object) -> Self {
        Self {
            name: object.name.to_string(),
            revision: object.position.revision,
            value: object.value.clone(),
            gone: false,
            era: object.position.era,
        }
    }
}

/// An item and the era of its revision.
impl From<(Item, u64)> for Object {
    fn from((item, era): (Item, u64)) -> Self {
        let position = Position::new(era, item.revision);
        Self { name: Name::from(item.name), position, value: item.value }
    }
}

/// A compressed message.
#[derive(Clone, PartialEq, Message)]
pub struct Packed {
    /// An encoded [`Envelope`], in the DEFLATE format.
    #[prost(bytes = "vec", tag = "1")]
    pub deflated: Vec<u8>,
}
