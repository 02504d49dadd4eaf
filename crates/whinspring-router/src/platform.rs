//! What the router needs of the platform that it runs on.
//!
//! An adapter implements [`Store`] for the platform's object store, [`Orders`] for what servers
//! are told about keys, and [`Dialect`] for names of headers and the form of stored objects.

use {
    http::HeaderName,
    snafu::Snafu,
    std::{net::SocketAddr, time::Duration},
    whinspring::{name::Name, ranges::Span, routes::RouteTable},
};

/// Kinds of objects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// The operators' configuration.
    Routes,
    /// Backend servers, written by themselves.
    Servers,
    /// Owners of keys, an object a service.
    Owners,
    /// The controller.
    Control,
    /// Nodes of the router.
    Nodes,
}

impl Kind {
    /// Kinds that each node follows.
    pub const REPLICATED: [Self; 3] = [Self::Routes, Self::Servers, Self::Owners];

    /// Returns the number of the kind on links.
    pub const fn number(self) -> u32 {
        self as u32
    }

    /// Returns the kind of a number.
    pub fn from_number(number: u32) -> Option<Self> {
        Self::REPLICATED.into_iter().find(|kind| kind.number() == number)
    }
}

/// An object as it lies in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Its name.
    pub name: Name,
    /// Revision of its last change.
    pub revision: u64,
    /// Its value.
    pub value: Vec<u8>,
}

/// All objects of a kind.
#[derive(Debug, Clone, Default)]
pub struct Listing {
    /// Revision of the store.
    pub revision: u64,
    /// The objects.
    pub items: Vec<Object>,
}

/// Changes of a kind after a revision.
#[derive(Debug, Clone, Default)]
pub struct Changes {
    /// Revision to watch from next.
    pub revision: u64,
    /// Changed objects; `true` if the object is gone.
    pub events: Vec<(Object, bool)>,
}

/// Why a call to the store failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum StoreError {
    /// The history that a watch asked for is gone.
    #[snafu(display("the store no longer has that history; list the objects anew"))]
    Compacted,
    /// The object has another revision than expected.
    #[snafu(display("the object was changed by somebody else; read it again"))]
    Conflict,
    /// The store refused the call, and nothing was done.
    #[snafu(display("the store refused the call with status {status}; it will be repeated"))]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// No answer came; the call may have been carried out.
    #[snafu(display("the store did not answer; the outcome is unknown"))]
    NoResponse,
    /// The answer could not be read.
    #[snafu(display("the store's answer could not be read"))]
    Malformed,
}

/// The platform's object store.
pub trait Store {
    /// Lists all objects of a kind.
    fn list(&self, kind: Kind) -> impl Future<Output = Result<Listing, StoreError>>;

    /// Waits for changes of a kind after `revision`, at most for `wait`.
    fn watch(
        &self,
        kind: Kind,
        revision: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, StoreError>>;

    /// Reads one object.
    fn read(
        &self,
        kind: Kind,
        name: &str,
    ) -> impl Future<Output = Result<Option<Object>, StoreError>>;

    /// Writes an object that must have the revision `expect`, zero for none; returns the new one.
    fn write(
        &self,
        kind: Kind,
        name: &str,
        expect: u64,
        value: &[u8],
    ) -> impl Future<Output = Result<u64, StoreError>>;
}

/// A backend server as it describes itself.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerEntry {
    /// Its service.
    pub service: Name,
    /// Its address.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Time for which it is still slow after its start.
    pub warmup: Duration,
    /// When it started, in milliseconds since the Unix epoch; zero if it does not say.
    pub born: u64,
}

/// A grant of keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// Name of the server.
    pub server: Name,
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// Fence number.
    pub fence: u64,
    /// Time for which it holds, from its arrival.
    pub hold: Duration,
    /// What the former owner gave to hand its state over.
    pub token: Option<Name>,
}

impl Grant {
    /// Returns the grant of a span to its owner.
    pub fn new(span: &Span, hold: Duration, token: Option<Name>) -> Self {
        let Span { first, last, fence, .. } = *span;
        Self { server: span.owner.server.clone(), first, last, fence, hold, token }
    }
}

/// How a server took an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// It was carried out; a release may give a token.
    Done(Option<Name>),
    /// The server has seen a higher fence number.
    Fenced,
    /// No process listens at the server's address.
    Down,
    /// Another server has the address.
    Replaced,
    /// Nothing was sent.
    Unsent,
    /// No answer; the order may be carried out later.
    NoResponse,
}

/// Orders to the servers of keyed services.
pub trait ServerControl {
    /// Grants keys, or renews a grant.
    fn grant(&self, addr: SocketAddr, grant: &Grant) -> impl Future<Output = Reply>;

    /// Takes keys back; answered when the work on them has ended.
    fn release(&self, addr: SocketAddr, grant: &Grant) -> impl Future<Output = Reply>;
}

/// Names of headers on requests and answers.
#[derive(Debug, Clone)]
pub struct Headers {
    /// The caller's id of a request, echoed by servers.
    pub id: HeaderName,
    /// Milliseconds that the caller waits.
    pub deadline: HeaderName,
    /// Name of the one server that may run the request.
    pub target: HeaderName,
    /// Proof that an answer is a server's.
    pub seal: HeaderName,
    /// Tells that the request was not run.
    pub not_run: HeaderName,
    /// Key of the request.
    pub key: HeaderName,
}

/// How the platform writes what is not the router's own.
pub trait Dialect {
    /// Returns the names of headers.
    fn headers(&self) -> &Headers;

    /// Path of the balancer's question whether the node is ready.
    fn ready_path(&self) -> &str;

    /// Reads a configuration.
    fn parse_routes(&self, object: &Object) -> Option<RouteTable>;

    /// Reads a server's entry; `None` if it names no server that can be used.
    fn parse_server(&self, object: &Object) -> Option<ServerEntry>;
}

/// All that an adapter provides.
pub trait Platform: Store + ServerControl + Dialect + 'static {}

impl<T: Store + ServerControl + Dialect + 'static> Platform for T {}
