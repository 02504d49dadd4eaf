//! A node under test with one scripted server.

use {
    crate::setup::{headers, settings},
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        future::pending,
        io::{self, Write as _},
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::{LocalSet, spawn_blocking, spawn_local},
        time::{sleep, timeout},
    },
    whinspring::{
        limits::Rate,
        name::Name,
        ranges::Ownership,
        routes::{Limits, Route, RouteTable, Service, TrafficSplit},
    },
    whinspring_http::clock::Clock,
    whinspring_router::{
        admission, cold, follow,
        frontend::{self, Connections},
        node::Node,
        platform::{
            Answer, Changes, Dialect, Grant, Headers, Kind, Listing, Object, Position, Reply,
            ServerControl, ServerEntry, Store, StoreError,
        },
        relay,
        settings::{Limits as NodeLimits, Settings},
    },
};

/// Time after which a test fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Settings of the limits of cold servers.
pub const COLD_OVERRUN: f64 = 1.5;
pub const COLD_SLACK: f64 = 2.0;

/// Requests a second that a cold server of the service tolerates, once it is set.
pub const COLD_RATE: f64 = 4.0;

/// Separates the start of a response from the bytes that follow it without end.
pub const FLOOD: &str = "<flood>";

/// Size of one write of a flood.
const FLOOD_BYTES: usize = 16 << 10;

/// Pause between the pieces of a request.
const PIECE_DELAY: Duration = Duration::from_millis(20);

/// A platform with one server and a store that only lists objects.
pub struct Platform {
    /// Number of watches that were started.
    pub watches: Cell<u32>,
    /// Number of objects that were read.
    pub reads: Cell<u32>,
    /// How long the last watch asked the store to wait.
    pub wait: Cell<Duration>,
    /// Whether watches get no answer and do not end.
    pub silent: Cell<bool>,
    /// Whether nothing changes, and any node may become the controller.
    pub calm: Cell<bool>,
    /// Objects that the store lists.
    pub listing: RefCell<Listing>,
    /// Whether watches fail as the history was compacted; reset by a listing.
    pub compacted: Cell<bool>,
    /// Highest era that the node knows.
    pub era: Cell<u64>,
    /// Address of the server.
    pub server: Cell<SocketAddr>,
    /// Whether probes reach no server.
    pub pathless: Cell<bool>,
    /// Address of the servers in the failure domain `b`, if probes do not reach these.
    pub far: Cell<Option<SocketAddr>>,
    headers: Headers,
}

impl Store for Platform {
    fn era(&self) -> u64 {
        self.era.get()
    }

    fn raise_era(&self, era: u64) {
        self.era.set(self.era.get().max(era));
    }

    async fn list(&self, _: Kind) -> Result<Listing, StoreError> {
        self.compacted.set(false);
        let listing = self.listing.borrow().clone();
        self.raise_era(listing.position.era);
        Ok(listing)
    }

    async fn watch(
        &self,
        _: Kind,
        position: Position,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        self.watches.set(self.watches.get() + 1);
        self.wait.set(wait);
        if self.silent.get() {
            pending::<()>().await;
        }
        if self.calm.get() {
            sleep(wait).await;
            return Ok(Changes { position, events: Vec::new() });
        }
        if self.compacted.get() {
            return Err(StoreError::Compacted);
        }
        Err(StoreError::NoResponse)
    }

    async fn read(&self, _: Kind, _: &str) -> Result<Option<Object>, StoreError> {
        self.reads.set(self.reads.get() + 1);
        if self.calm.get() { Ok(None) } else { Err(StoreError::NoResponse) }
    }

    async fn write(&self, _: Kind, _: &str, _: Position, _: &[u8]) -> Result<Position, StoreError> {
        if self.calm.get() { Ok(Position::new(0, 2)) } else { Err(StoreError::NoResponse) }
    }
}

impl ServerControl for Platform {
    async fn connect(&self, addr: SocketAddr) -> io::Result<()> {
        let is_refused = self.pathless.get() || self.far.get() == Some(addr);
        if is_refused { Err(io::ErrorKind::ConnectionRefused.into()) } else { Ok(()) }
    }

    async fn grant(&self, _: SocketAddr, _: &Grant) -> Answer {
        Reply::Unsent.into()
    }

    async fn release(&self, _: SocketAddr, _: &Grant) -> Answer {
        Reply::Unsent.into()
    }
}

impl Dialect for Platform {
    fn headers(&self) -> &Headers {
        &self.headers
    }

    fn ready_path(&self) -> &str {
        "/ready"
    }

    fn parse_routes(&self, _: &Object) -> Option<RouteTable> {
        None
    }

    /// The value of an object is the time for which its server remains cold, in milliseconds.
    fn parse_server(&self, object: &Object) -> Option<ServerEntry> {
        let left = str::from_utf8(&object.value).ok()?.parse().unwrap_or(0);
        let is_far = object.name.starts_with('b');
        Some(ServerEntry {
            service: "plain".into(),
            addr: self.far.get().filter(|_| is_far).unwrap_or(self.server.get()),
            domain: if is_far { "b" } else { "a" }.into(),
            slots: 2,
            leaving: false,
            warmup: Duration::from_millis(left),
            start_ms: 0,
        })
    }

    fn is_leaving(&self, _: &Object) -> bool {
        false
    }
}

/// Returns the response to a request; `None` closes the connection, `wait` leaves the request
/// unanswered, and a response that starts with `close:` is the last one on its connection. What
/// follows [`FLOOD`] is sent without end.
pub type Script = fn(&str) -> Option<String>;

/// A running node and the requests that its server received.
#[derive(Clone)]
pub struct Rig {
    pub node: Rc<Node<Platform>>,
    pub seen: Rc<RefCell<Vec<String>>>,
    frontend: SocketAddr,
    /// Connections of callers.
    pub callers: Rc<Connections>,
    /// Connections of other nodes that use this one as a relay.
    pub relaying: Rc<Connections>,
}

impl Rig {
    /// Starts a node whose server follows a script.
    async fn start(limits: NodeLimits, script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = listener.local_addr().unwrap();
        let seen = Rc::new(RefCell::new(Vec::new()));
        spawn_local(serve(listener, script, seen.clone()));
        let (cold_overrun, cold_slack) = (Some(COLD_OVERRUN), Some(COLD_SLACK));
        let limits = NodeLimits { cold_overrun, cold_slack, ..limits };
        Self::start_node(settings("n1", limits), server, seen, None).await
    }

    /// Starts a node that knows its server at an address. It tells others to use `relay` instead of
    /// itself, if that is given.
    pub async fn start_node(
        settings: Settings,
        server: SocketAddr,
        seen: Rc<RefCell<Vec<String>>>,
        relay: Option<SocketAddr>,
    ) -> Self {
        let relayed = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let advertised_relay = relay.unwrap_or(relayed.local_addr().unwrap());
        let settings = Settings { advertised_relay, ..settings };
        let node = Node::new(platform(server), settings, Clock::start());
        node.view.borrow_mut().routes = Some(Arc::new(table(false)));
        let entry = Object { name: "s1".into(), position: Position::new(0, 1), value: Vec::new() };
        follow::apply_listing(
            &node,
            Kind::Servers,
            Listing { position: Position::new(0, 1), items: vec![entry] },
        );
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let frontend = listener.local_addr().unwrap();
        let callers = Rc::new(Connections::default());
        spawn_local(frontend::serve(node.clone(), listener, callers.clone()));
        spawn_local(admission::run(node.clone()));
        let relaying = Rc::new(Connections::default());
        spawn_local(relay::server::serve(node.clone(), relayed, relaying.clone()));
        Self { node, seen, frontend, callers, relaying }
    }

    /// Makes the service keyed, with all keys at the server.
    pub fn set_keyed(&self) {
        let mut view = self.node.view.borrow_mut();
        view.routes = Some(Arc::new(table(true)));
        let owner = view.servers["s1"].instance();
        let owned = Ownership::split_evenly(1, &[owner], || 1);
        view.apply_owners("plain".into(), Position::new(0, 1), Rc::new(owned), self.node.now());
    }

    /// Changes the longest body of a request.
    pub fn set_body_limit(&self, bytes: usize) {
        let mut table = table(false);
        table.limits.body_bytes = bytes;
        self.node.view.borrow_mut().routes = Some(Arc::new(table));
    }

    /// Lets responses take a minute.
    pub fn set_stream_time(&self) {
        let mut table = table(false);
        let route = table.find("a.example", "/safe/1").unwrap().as_ref().clone();
        let timeout = Duration::from_secs(60);
        let routes = vec![Route { timeout, ..route }];
        table = RouteTable::new(2, routes, table.services, table.limits);
        self.node.view.borrow_mut().routes = Some(Arc::new(table));
    }

    /// Gives the service a rate for cold servers.
    pub fn set_cold_rate(&self, keyed: bool) {
        let mut table = table(keyed);
        table.services.get_mut("plain").unwrap().cold_rate = Rate::new(COLD_RATE);
        self.node.view.borrow_mut().routes = Some(Arc::new(table));
        self.node.cold.borrow_mut().members.record_listing();
        cold::sweep(&self.node);
    }

    /// Changes the server's entry: it remains cold for some time.
    pub fn set_cold(&self, revision: u64, left_ms: u64) {
        let position = Position::new(0, revision);
        let value = left_ms.to_string().into_bytes();
        let entry = Object { name: "s1".into(), position, value };
        let mut view = self.node.view.borrow_mut();
        let changes = Changes { position, events: vec![(entry, false)] };
        view.apply_changes(Kind::Servers, changes, &self.node.platform, self.node.clock);
    }

    /// Lists servers in the store, all at the address of the one.
    pub fn list_servers(&self, names: &[&str]) {
        let item = |name: &&str| Object {
            name: (*name).into(),
            position: Position::new(0, 2),
            value: Vec::new(),
        };
        let listing =
            Listing { position: Position::new(0, 2), items: names.iter().map(item).collect() };
        follow::apply_listing(&self.node, Kind::Servers, listing);
    }

    /// Connects as a caller.
    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.frontend).await.unwrap()
    }

    /// Connects as a node that uses this one as a relay.
    pub async fn connect_relay(&self) -> TcpStream {
        TcpStream::connect(self.node.settings.advertised_relay).await.unwrap()
    }

    /// Sends a request on a new connection and returns the response.
    pub async fn send(&self, request: &str) -> String {
        self.send_pieces(&[request.as_bytes()]).await
    }

    /// Sends a request in pieces, with a pause after each, and returns the response.
    pub async fn send_pieces(&self, pieces: &[&[u8]]) -> String {
        let mut socket = self.connect().await;
        for piece in pieces {
            let _ = socket.write_all(piece).await;
            sleep(PIECE_DELAY).await;
        }
        read_response(&mut socket).await
    }

    /// Sends a request as a node that uses this one as a relay.
    pub async fn send_relayed(&self, request: &str) -> String {
        let mut socket = self.connect_relay().await;
        socket.write_all(request.as_bytes()).await.unwrap();
        read_response(&mut socket).await
    }
}

/// Reads a response, or what there is of it when the connection ends.
pub async fn read_response(socket: &mut TcpStream) -> String {
    let mut response = Vec::new();
    while !is_whole(&response) {
        if socket.read_buf(&mut response).await.unwrap_or(0) == 0 {
            break;
        }
    }
    String::from_utf8_lossy(&response).into_owned()
}

/// Returns whether a response with a content length is complete.
fn is_whole(response: &[u8]) -> bool {
    let text = String::from_utf8_lossy(response).to_ascii_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    length.is_some_and(|length| body.len() >= length.trim().parse::<usize>().unwrap())
}

/// Runs a test on one thread.
pub fn run<F: Future<Output = ()>>(script: Script, test: impl FnOnce(Rig) -> F) {
    run_with(NodeLimits::default(), script, test);
}

/// Runs a test of a node with limits on one thread.
pub fn run_with<F: Future<Output = ()>>(
    limits: NodeLimits,
    script: Script,
    test: impl FnOnce(Rig) -> F,
) {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let rig = Rig::start(limits, script).await;
        timeout(TEST_TIMEOUT, test(rig)).await.expect("the test timed out");
    });
}

/// Accepts connections of nodes.
pub async fn serve(listener: TcpListener, script: Script, seen: Rc<RefCell<Vec<String>>>) {
    while let Ok((socket, _)) = listener.accept().await {
        spawn_local(follow_script(socket, script, seen.clone()));
    }
}

/// Responds to the requests on a connection.
async fn follow_script(mut socket: TcpStream, script: Script, seen: Rc<RefCell<Vec<String>>>) {
    let mut bytes = Vec::new();
    loop {
        let end = |bytes: &[u8]| bytes.windows(4).any(|window| window == b"\r\n\r\n");
        while !end(&bytes) {
            if socket.read_buf(&mut bytes).await.unwrap_or(0) == 0 {
                if !bytes.is_empty() {
                    seen.borrow_mut().push("gone".into());
                }
                return;
            }
        }
        let request = String::from_utf8_lossy(&std::mem::take(&mut bytes)).into_owned();
        seen.borrow_mut().push(request.clone());
        match script(&request) {
            Some(response) if response == "wait" => {
                let _ = socket.read_buf(&mut bytes).await;
                seen.borrow_mut().push("gone".into());
                return;
            }
            Some(response) if response.contains(FLOOD) => {
                flood(socket, response).await;
                seen.borrow_mut().push("gone".into());
                return;
            }
            Some(response) if response.starts_with("close:") => {
                socket.write_all(&response.as_bytes()["close:".len()..]).await.unwrap();
                return;
            }
            Some(response) => socket.write_all(response.as_bytes()).await.unwrap(),
            None => return,
        }
    }
}

/// Sends what stands before [`FLOOD`], then what stands after it again and again, until the node
/// closes the connection. On a thread of its own, as a server is another process.
async fn flood(socket: TcpStream, response: String) {
    let socket = socket.into_std().unwrap();
    socket.set_nonblocking(false).unwrap();
    spawn_blocking(move || {
        let (start, again) = response.split_once(FLOOD).unwrap();
        let again = again.repeat(FLOOD_BYTES / again.len());
        let mut sent = (&socket).write_all(start.as_bytes());
        while sent.is_ok() {
            sent = (&socket).write_all(again.as_bytes());
        }
    })
    .await
    .unwrap();
}

fn platform(server: SocketAddr) -> Platform {
    let headers = headers();
    let listing = RefCell::new(Listing { position: Position::new(0, 1), items: Vec::new() });
    let (watches, wait, era) = (Cell::new(0), Cell::default(), Cell::new(0));
    let (silent, calm, compacted) = (Cell::new(false), Cell::new(false), Cell::new(false));
    let (server, pathless, far) = (Cell::new(server), Cell::new(false), Cell::new(None));
    Platform {
        watches,
        reads: Cell::new(0),
        wait,
        silent,
        calm,
        listing,
        compacted,
        era,
        server,
        pathless,
        far,
        headers,
    }
}

fn table(keyed: bool) -> RouteTable {
    let route = |prefix: &str, idempotent| Route {
        name: prefix.into(),
        host: "a.example".into(),
        prefix: prefix.into(),
        idempotent,
        timeout: Duration::from_millis(2_000),
        latency_target: Duration::from_millis(500),
        priority: 1,
        splits: vec![TrafficSplit { service: "plain".into(), weight: 1 }],
        max_attempts: 2,
    };
    let services = HashMap::from([(Name::from("plain"), Service { keyed, ..Service::default() })]);
    let limits = Limits { body_bytes: 100, ..Limits::default() };
    RouteTable::new(1, vec![route("/safe/", true), route("/once/", false)], services, limits)
}
