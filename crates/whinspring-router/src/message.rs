//! What nodes tell each other.
//!
//! Nothing here grants a right: ownership and the controller's term are decided by conditional
//! writes to the store, and nodes only pass on what they know of them.

use {
    crate::{platform::Object, record::SpanWire},
    bytes::Bytes,
    prost::{Message, Oneof},
    std::time::Duration,
    whinspring::{gate::ServerOutcome, name::Name},
};

/// One message on a link.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// What it is about.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 15")]
    pub body: Option<Body>,
    /// When the last beat was sent that the sender has heard from the receiver, in milliseconds of
    /// the receiver's clock.
    #[prost(uint64, tag = "14")]
    pub echo: u64,
}

impl Envelope {
    /// Returns a message as it is written to links.
    pub fn frame(body: Body) -> Bytes {
        Self { body: Some(body), echo: 0 }.encode_to_vec().into()
    }

    /// Returns a written message with an echo: fields of a message may follow each other anywhere.
    pub fn with_echo(frame: &Bytes, echo: u64) -> Bytes {
        let tail = Self { body: None, echo };
        let mut bytes = Vec::with_capacity(frame.len() + tail.encoded_len());
        bytes.extend_from_slice(frame);
        bytes.extend(tail.encode_to_vec());
        bytes.into()
    }
}

/// The kinds of messages.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// A sign of life.
    #[prost(message, tag = "1")]
    Beat(Beat),
    /// Asks to run a request.
    #[prost(message, tag = "2")]
    Ask(AskWire),
    /// Lets a request run.
    #[prost(message, tag = "3")]
    Go(Go),
    /// Turns a request away.
    #[prost(message, tag = "4")]
    Refuse(Refuse),
    /// A request has left its server, or is not wanted any more.
    #[prost(message, tag = "5")]
    Done(Done),
    /// Asks for an object that the receiver knows at a higher revision.
    #[prost(message, tag = "6")]
    Fetch(Fetch),
    /// Objects as they lie in the store.
    #[prost(message, tag = "7")]
    Snapshot(Snapshot),
    /// A request crashed a server.
    #[prost(message, tag = "8")]
    Crash(Crash),
    /// Asks whether a server refuses connections.
    #[prost(message, tag = "9")]
    Look(LookAt),
    /// Tells whether a server refuses connections.
    #[prost(message, tag = "10")]
    Looked(Looked),
    /// Owners that have changed.
    #[prost(message, tag = "11")]
    Moved(Moved),
    /// Asks whether requests are still at their servers.
    #[prost(message, tag = "12")]
    Check(Check),
    /// Tells who sends on the link; the first message on it.
    #[prost(message, tag = "13")]
    Hello(Hello),
    /// Objects that have changed in the store.
    #[prost(message, tag = "15")]
    Changed(Changed),
}

/// A sign of life, with what its node knows and has measured.
#[derive(Clone, PartialEq, Message)]
pub struct Beat {
    /// Name of the node.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Failure domain.
    #[prost(string, tag = "2")]
    pub domain: String,
    /// Address for links.
    #[prost(string, tag = "3")]
    pub addr: String,
    /// Number of this run of the process.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Whether it is stopping.
    #[prost(bool, tag = "5")]
    pub leaving: bool,
    /// Milliseconds since the store last answered it.
    #[prost(uint32, tag = "6")]
    pub store_age: u32,
    /// Revision of the configuration that it knows.
    #[prost(uint64, tag = "7")]
    pub routes: u64,
    /// Revision of the list of servers that it knows.
    #[prost(uint64, tag = "8")]
    pub servers: u64,
    /// Revision of the ownership that it knows, the highest of all services.
    #[prost(uint64, tag = "9")]
    pub owners: u64,
    /// Term of the controller that it knows.
    #[prost(uint64, tag = "10")]
    pub term: u64,
    /// Work of each key since the last beat to the controller.
    #[prost(message, repeated, tag = "11")]
    pub keys: Vec<KeyWork>,
    /// Times of each server since the last beat to the controller.
    #[prost(message, repeated, tag = "12")]
    pub paces: Vec<Pace>,
    /// Whether it is the controller, under `term`.
    #[prost(bool, tag = "13")]
    pub leads: bool,
    /// Milliseconds between two beats of its node.
    #[prost(uint32, tag = "14")]
    pub every: u32,
    /// When it was sent, in milliseconds of its node's clock.
    #[prost(uint64, tag = "15")]
    pub sent: u64,
    /// Whether the store did not answer its last call.
    #[prost(bool, tag = "16")]
    pub cut_off: bool,
    /// Processor time that its node may use, in hundredths of a core.
    #[prost(uint32, tag = "17")]
    pub share: u32,
}

/// Beats that may be missing before their node counts as lost, in tenths.
const MISSING_TENTHS: u32 = 36;

/// Shortest silence after which a node counts as lost.
const LOST_AFTER: Duration = Duration::from_millis(900);

impl Beat {
    /// Returns the silence after which its node counts as lost.
    pub fn lost_after(&self) -> Duration {
        let missing = u64::from(self.every * MISSING_TENTHS / 10);
        LOST_AFTER.max(Duration::from_millis(missing))
    }

    /// Returns the time without an echo after which its node hears nothing of the receiver.
    pub fn deaf_after(&self) -> Duration {
        self.lost_after() * 2 + Duration::from_millis(self.every.into())
    }
}

/// Work that a key caused.
#[derive(Clone, PartialEq, Message)]
pub struct KeyWork {
    /// Service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Key.
    #[prost(uint32, tag = "2")]
    pub key: u32,
    /// Work, in milliseconds of a usual server.
    #[prost(uint32, tag = "3")]
    pub work: u32,
}

/// How long a server took.
#[derive(Clone, PartialEq, Message)]
pub struct Pace {
    /// Name of the server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// Requests.
    #[prost(uint32, tag = "2")]
    pub count: u32,
    /// Milliseconds that they took.
    #[prost(uint32, tag = "3")]
    pub took: u32,
    /// Milliseconds that they take usually.
    #[prost(uint32, tag = "4")]
    pub usual: u32,
}

/// Asks a gate to run a request.
#[derive(Clone, PartialEq, Message)]
pub struct AskWire {
    /// Pool that may run it: a server, or a service without keys.
    #[prost(string, tag = "1")]
    pub pool: String,
    /// Number of the request at its node.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// Urgency; zero is the highest.
    #[prost(uint32, tag = "3")]
    pub priority: u32,
    /// Milliseconds until the target.
    #[prost(uint32, tag = "4")]
    pub target: u32,
    /// Milliseconds until the deadline.
    #[prost(uint32, tag = "5")]
    pub deadline: u32,
    /// Server to be avoided.
    #[prost(string, tag = "6")]
    pub avoid: String,
}

/// Lets a request run.
#[derive(Clone, PartialEq, Message)]
pub struct Go {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Server that shall run it.
    #[prost(string, tag = "2")]
    pub server: String,
}

/// Turns a request away.
#[derive(Clone, PartialEq, Message)]
pub struct Refuse {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Milliseconds until it may come back.
    #[prost(uint32, tag = "2")]
    pub retry: u32,
}

/// A request has left its server, or is not wanted any more.
#[derive(Clone, PartialEq, Message)]
pub struct Done {
    /// Pool that it was asked of.
    #[prost(string, tag = "1")]
    pub pool: String,
    /// Number of the request.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// How it ended: zero if it was not sent, one if it ran, two if it failed.
    #[prost(uint32, tag = "3")]
    pub ending: u32,
}

/// Tells who sends on a link.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// Name of the node.
    #[prost(string, tag = "1")]
    pub node: String,
}

/// Asks whether requests are still at their servers.
#[derive(Clone, PartialEq, Message)]
pub struct Check {
    /// Pool that they were asked of.
    #[prost(string, tag = "1")]
    pub pool: String,
    /// Numbers of the requests at their node.
    #[prost(uint64, repeated, tag = "2")]
    pub numbers: Vec<u64>,
}

/// Asks for objects.
#[derive(Clone, PartialEq, Message)]
pub struct Fetch {
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
    /// The objects.
    #[prost(message, repeated, tag = "3")]
    pub items: Vec<Item>,
    /// Revision of the store up to which no change of the kind is left out.
    #[prost(uint64, tag = "4")]
    pub upto: u64,
}

/// Objects of a kind that have changed.
#[derive(Clone, PartialEq, Message)]
pub struct Changed {
    /// Number of the kind of object.
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    /// Revision of the store that the changes follow; none of the kind is left out after it.
    #[prost(uint64, tag = "2")]
    pub base: u64,
    /// Revision of the store up to which they go.
    #[prost(uint64, tag = "3")]
    pub upto: u64,
    /// The changed objects in order.
    #[prost(message, repeated, tag = "4")]
    pub items: Vec<Item>,
}

/// Owners of a service that have changed.
#[derive(Clone, PartialEq, Message)]
pub struct Moved {
    /// Service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Revision that the change was made to.
    #[prost(uint64, tag = "2")]
    pub base: u64,
    /// Revision of the change.
    #[prost(uint64, tag = "3")]
    pub revision: u64,
    /// Term of the controller.
    #[prost(uint64, tag = "4")]
    pub term: u64,
    /// The spans that are not as they were.
    #[prost(message, repeated, tag = "5")]
    pub spans: Vec<SpanWire>,
}

/// One object.
#[derive(Clone, PartialEq, Message)]
pub struct Item {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Revision of its last change.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Its value as the store keeps it.
    #[prost(bytes = "vec", tag = "3")]
    pub value: Vec<u8>,
    /// Whether it is gone.
    #[prost(bool, tag = "4")]
    pub gone: bool,
}

/// A server was lost with a request.
#[derive(Clone, PartialEq, Message)]
pub struct Crash {
    /// Fingerprint of the request.
    #[prost(uint64, tag = "1")]
    pub print: u64,
}

/// Asks whether a server refuses connections.
#[derive(Clone, PartialEq, Message)]
pub struct LookAt {
    /// Address of the server.
    #[prost(string, tag = "1")]
    pub addr: String,
}

/// Tells whether a server refuses connections.
#[derive(Clone, PartialEq, Message)]
pub struct Looked {
    /// Address of the server.
    #[prost(string, tag = "1")]
    pub addr: String,
    /// Whether it does.
    #[prost(bool, tag = "2")]
    pub refused: bool,
}

impl Done {
    /// Returns the number of an ending.
    pub fn number_of(ending: ServerOutcome) -> u32 {
        match ending {
            ServerOutcome::NotSent => 0,
            ServerOutcome::Completed => 1,
            ServerOutcome::Failed => 2,
        }
    }

    /// Returns how the request ended.
    pub fn ending(&self) -> ServerOutcome {
        match self.ending {
            1 => ServerOutcome::Completed,
            2 => ServerOutcome::Failed,
            _ => ServerOutcome::NotSent,
        }
    }
}

impl From<&Object> for Item {
    fn from(object: &Object) -> Self {
        Self {
            name: object.name.to_string(),
            revision: object.revision,
            value: object.value.clone(),
            gone: false,
        }
    }
}

impl From<Item> for Object {
    fn from(item: Item) -> Self {
        Self { name: Name::from(item.name), revision: item.revision, value: item.value }
    }
}
