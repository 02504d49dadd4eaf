//! Interface to the platform that the router runs on.
//!
//! An adapter implements [`Store`] for the object store, [`ServerControl`] for grants of keys to
//! servers, and [`Dialect`] for header names and the format of stored objects.

use {
    http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header::RETRY_AFTER},
    snafu::Snafu,
    std::{
        collections::HashSet,
        fmt::{self, Display, Formatter},
        io,
        net::SocketAddr,
        time::Duration,
    },
    tokio::net::TcpStream,
    whinspring::{
        name::Name,
        notices::{Life, Wait, parse_wait},
        ranges::Span,
        routes::RouteTable,
    },
};

/// Kinds of stored objects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// The operators' configuration.
    Routes,
    /// Backend servers, registered by themselves.
    Servers,
    /// Owners of keys, one object per service.
    Owners,
    /// The elected controller.
    Control,
    Nodes,
    /// The operators' requests to evacuate failure domains, which are the names of the objects.
    Evacuations,
}

impl Kind {
    /// Kinds that each node keeps a copy of, if its settings use them.
    pub const REPLICATED: [Self; 4] =
        [Self::Routes, Self::Servers, Self::Owners, Self::Evacuations];

    /// Returns the number of the kind in messages between nodes.
    pub const fn number(self) -> u32 {
        self as u32
    }

    /// Returns the replicated kind with a number.
    pub fn from_number(number: u32) -> Option<Self> {
        Self::REPLICATED.into_iter().find(|kind| kind.number() == number)
    }
}

/// A position in the history of the store.
///
/// The store may come back from an older copy of itself. Each time its era rises by one, and it
/// gives out revisions again that it had given out before, so that revisions of different eras
/// cannot be compared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// Era of the store; zero for a store without eras.
    pub era: u64,
    pub revision: u64,
}

impl Position {
    pub const fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }
}

/// Writes `ERA/REVISION`, or the revision alone for a store without eras.
impl Display for Position {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.era {
            0 => write!(f, "{}", self.revision),
            era => write!(f, "{era}/{}", self.revision),
        }
    }
}

/// A stored object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    pub name: Name,
    /// Position of its last change, in the era in which it was read.
    pub position: Position,
    pub value: Vec<u8>,
}

#[derive(Debug, Clone, Default)]
pub struct Listing {
    /// Position of the store at the time of the listing.
    pub position: Position,
    pub items: Vec<Object>,
}

#[derive(Debug, Clone, Default)]
pub struct Changes {
    /// Position from which to watch next.
    pub position: Position,
    /// Changed objects; `true` if the object was deleted.
    pub events: Vec<(Object, bool)>,
}

impl Changes {
    /// Returns the last change of each object. Operators may write a whole configuration many times
    /// within one batch.
    pub fn latest(mut self) -> Self {
        let mut seen = HashSet::new();
        self.events.reverse();
        self.events.retain(|(object, _)| seen.insert(object.name.clone()));
        self.events.reverse();
        self
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum StoreError {
    /// The history that a watch requested was compacted.
    #[snafu(display("the store has compacted the requested history; list the objects again"))]
    Compacted,
    /// The object has a revision other than expected.
    #[snafu(display("the object has a different revision than expected; read it again"))]
    Conflict,
    /// The store refused the call, and nothing was done.
    #[snafu(display("the store refused the call with status {status}; it will be retried"))]
    Refused { status: u16 },
    /// No response; the call may have taken effect.
    #[snafu(display("the store did not respond; the call may have taken effect"))]
    NoResponse,
    /// The call or its response belongs to an era of the store that has ended.
    #[snafu(display("the store has come back from an older copy since; read the object again"))]
    EraEnded,
    /// The response is malformed.
    #[snafu(display("the store's response is malformed"))]
    Malformed,
}

pub trait Store {
    /// Returns the highest era that is known.
    fn era(&self) -> u64;

    /// Records an era that another node has learned of. Responses of earlier eras are discarded
    /// from now on.
    fn raise_era(&self, era: u64);

    /// Returns how many objects could not be read since the last call. They are left out of listings
    /// and changes.
    fn take_unreadable(&self) -> u64 {
        0
    }

    fn list(&self, kind: Kind) -> impl Future<Output = Result<Listing, StoreError>>;

    /// Waits for changes of a kind after `position`, at most for `wait`.
    fn watch(
        &self,
        kind: Kind,
        position: Position,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, StoreError>>;

    fn read(
        &self,
        kind: Kind,
        name: &str,
    ) -> impl Future<Output = Result<Option<Object>, StoreError>>;

    /// Writes an object if its position is `expect`, with revision zero if it does not exist;
    /// returns the new position. Fails with [`StoreError::EraEnded`] if `expect` is of an era that
    /// has ended; the write may then have taken effect in a later one.
    fn write(
        &self,
        kind: Kind,
        name: &str,
        expect: Position,
        value: &[u8],
    ) -> impl Future<Output = Result<Position, StoreError>>;
}

/// A backend server's own registration.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerEntry {
    pub service: Name,
    pub addr: SocketAddr,
    pub domain: Name,
    /// Maximum of concurrent requests.
    pub slots: u32,
    /// Whether it is draining before it stops.
    pub leaving: bool,
    /// Remaining time of its warm-up.
    pub warmup: Duration,
    /// Start time in milliseconds since the Unix epoch; zero if unknown.
    pub start_ms: u64,
}

impl ServerEntry {
    pub fn life(&self) -> Life {
        Life { start_ms: self.start_ms, addr: self.addr }
    }

    pub fn location(&self) -> Location {
        Location { addr: self.addr, domain: self.domain.clone() }
    }
}

/// Where an instance of a server runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Location {
    /// Address that accepts requests and grants.
    pub addr: SocketAddr,
    /// Failure domain; empty if unknown.
    pub domain: Name,
}

/// Least time in which a server ends, its keys are given to others, and it starts again under its name.
pub const RESTART_TIME: Duration = Duration::from_millis(400);

/// A lease on a range of keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    pub server: Name,
    pub first: u16,
    /// Last key, inclusive.
    pub last: u16,
    /// Fencing token.
    pub fence: u64,
    /// Duration of the lease from the arrival of the grant.
    pub duration: Duration,
    /// The former owner's token for the handover of its state.
    pub token: Option<Name>,
    /// Time for which the process that takes the command must have been the same, as far as connections
    /// to it tell; zero allows any.
    pub conn_age: Duration,
}

impl Grant {
    /// Creates the grant of a span to its owner.
    pub fn new(span: &Span, duration: Duration, token: Option<Name>, conn_age: Duration) -> Self {
        let Span { first, last, fence, .. } = *span;
        Self { server: span.owner.server.clone(), first, last, fence, duration, token, conn_age }
    }
}

/// Result of a command to a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// Carried out; a release may return a handover token.
    Done(Option<Name>),
    /// Refused: the server has seen a higher fencing token.
    Fenced,
    /// The connection was refused: no process listens at the address, or a partition resets connections
    /// to it. Nothing was sent.
    Down,
    /// Another server uses the address.
    Replaced,
    /// Nothing was sent.
    Unsent,
    /// Nothing was sent, as the process may be younger than required. A new connection to it is open.
    NewConnection,
    /// No response; the command may still take effect.
    NoResponse,
}

/// What a server says of itself in one response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Word {
    /// Whether it leaves.
    pub leaving: bool,
    /// How long it wants nothing from this node, after it has turned something away.
    pub wait: Option<Wait>,
}

impl Word {
    /// Reads what the headers of a response say.
    pub fn read(status: StatusCode, headers: &HeaderMap, names: &Headers) -> Self {
        let leaving = headers.get(&names.leaving);
        let leaving = leaving.is_some_and(|value| value.as_bytes().trim_ascii() != b"0");
        let is_refusal = status == StatusCode::SERVICE_UNAVAILABLE;
        let values = headers.get_all(RETRY_AFTER).iter().map(HeaderValue::as_bytes);
        Self { leaving, wait: parse_wait(values).filter(|_| is_refusal) }
    }
}

/// Result of a command, and what the server says of itself in its response, if there is one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    pub reply: Reply,
    pub word: Word,
}

impl From<Reply> for Answer {
    fn from(reply: Reply) -> Self {
        Self { reply, word: Word::default() }
    }
}

/// Commands to the servers of keyed services.
///
/// A server refuses a command that is meant for another server at its address
/// ([`Reply::Replaced`]). It cannot tell one that is meant for an earlier process under its name: only the
/// connection can ([`Grant::conn_age`]).
pub trait ServerControl {
    /// Grants keys, or renews a grant.
    fn grant(&self, addr: SocketAddr, grant: &Grant) -> impl Future<Output = Answer>;

    /// Opens a connection to a server and closes it again.
    fn connect(&self, addr: SocketAddr) -> impl Future<Output = io::Result<()>> {
        async move { TcpStream::connect(addr).await.map(drop) }
    }

    /// Revokes keys; completes when the server has finished its requests on them.
    fn release(&self, addr: SocketAddr, grant: &Grant) -> impl Future<Output = Answer>;
}

/// Names of headers on requests and responses.
#[derive(Debug, Clone)]
pub struct Headers {
    /// Request id set by the caller and echoed by servers.
    pub id: HeaderName,
    /// Time that the caller waits, in milliseconds.
    pub deadline: HeaderName,
    /// Name of the one server that may run the request.
    pub target: HeaderName,
    /// Set by a server on each success, as proof that the response is its own.
    pub seal: HeaderName,
    /// Set by a server that did not run the request.
    pub not_run: HeaderName,
    pub key: HeaderName,
    /// Set by a server that leaves on all its responses.
    pub leaving: HeaderName,
    /// Requests a second that a server takes from all nodes, as long as it sets it.
    pub limit: HeaderName,
    /// Load of a server as it answers: `RUNNING,WAITING,SLOTS[,SLOWNESS]`.
    pub load: HeaderName,
    /// Milliseconds for which the server remains cold, where it sets it.
    pub cold: HeaderName,
}

/// Header names and object formats of the platform.
pub trait Dialect {
    fn headers(&self) -> &Headers;

    /// Path of the load balancer's readiness probe.
    fn ready_path(&self) -> &str;

    /// Parses a configuration; `None` if it is invalid.
    fn parse_routes(&self, object: &Object) -> Option<RouteTable>;

    /// Parses a server's registration; `None` if the server cannot be used.
    fn parse_server(&self, object: &Object) -> Option<ServerEntry>;

    /// Returns whether a registration says that its server is not to be used any more, also if the
    /// rest of it is malformed.
    fn is_leaving(&self, object: &Object) -> bool;
}

/// All traits that an adapter implements.
pub trait Platform: Store + ServerControl + Dialect + 'static {}

impl<T: Store + ServerControl + Dialect + 'static> Platform for T {}
