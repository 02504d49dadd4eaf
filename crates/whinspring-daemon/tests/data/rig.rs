//! Test fixture: nodes and backend servers in one process, configured by explicit records.

use {
    std::{
        collections::BTreeMap,
        net::{SocketAddr, TcpListener},
        sync::Arc,
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        runtime::Handle,
        sync::mpsc,
    },
    whinspring::{
        control::Peer,
        message::Message,
        model::{
            Holder, Holders, KeyPlace, Node, NodeState, Owner, Segment, Server, ServerState,
            Service,
        },
        name::{Name, ServerId},
        record::{Key, Kind, Record, Value},
        time::Tick,
        view::View,
    },
    whinspring_daemon::{
        caller::{Callers, Setup},
        clock::Clock,
        exchange::Serve,
        keys::Keys,
        link::{DataLinks, Listener, LocalNode, ReplyConns},
        metrics::Metrics,
        shared::{Reports, Shared, run_ticks},
    },
    whinspring_standin::{
        http::RunningServer,
        server::{self, Options},
    },
};

/// Key of the deployment in tests.
pub const KEY: &[u8] = b"a key of the deployment for tests";

/// Largest number of callers' requests in progress at a node.
pub const MAX_IN_FLIGHT: u32 = 1_000;

/// Slices of the keyed service.
pub const SLICES: u32 = 8;

/// Default deadline of the services; long enough to be met on a loaded machine.
pub const DEADLINE_MS: u32 = 20_000;

/// Returns the link settings of a node.
pub fn local(name: &str, addr: SocketAddr, key: &[u8]) -> Arc<LocalNode> {
    Arc::new(LocalNode {
        deployment: "test".into(),
        keys: Arc::new(Keys::new(vec![key.to_vec()])),
        node: name.into(),
        incarnation: 1,
        addr,
        clock: Clock::start(),
        metrics: Arc::new(Metrics::new()),
        reply_conns: ReplyConns::default(),
        control_runtime: Handle::current(),
        data_runtime: Handle::current(),
    })
}

/// Binds a socket on loopback; returns it and its address.
pub async fn bind() -> (tokio::net::TcpListener, SocketAddr) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let addr = listener.local_addr().expect("socket is bound");
    (listener, addr)
}

/// A node that accepts links only.
pub struct LinkNode {
    /// Its link settings.
    pub local: Arc<LocalNode>,
    /// Name and address used by other nodes.
    pub peer: Peer,
    /// Control messages received.
    pub inbox: mpsc::Receiver<(Peer, Message)>,
    _listener: Listener,
}

/// Starts a node that accepts links only and hands requests to `server`.
pub async fn start_link_node<S: Serve>(name: &str, key: &[u8], server: Arc<S>) -> LinkNode {
    let (socket, addr) = bind().await;
    let local = local(name, addr, key);
    let (sender, inbox) = mpsc::channel(64);
    let listener = Listener::start(local.clone(), socket, sender, server);
    LinkNode { local, peer: Peer { name: name.into(), addr }, inbox, _listener: listener }
}

/// A node with the complete data plane.
pub struct Daemon {
    /// Name of the node.
    pub name: Name,
    /// Address for other nodes, as in the records.
    pub addr: SocketAddr,
    /// Address for callers.
    pub callers_addr: SocketAddr,
    pub shared: Arc<Shared>,
    /// Its endpoint for callers.
    pub callers: Callers,
    /// Receivers that keep the report channels open.
    _reports:
        (mpsc::UnboundedReceiver<Message>, mpsc::UnboundedReceiver<whinspring::model::Suspect>),
    /// Receiver that keeps the inbox open.
    _inbox: mpsc::Receiver<(Peer, Message)>,
}

/// Starts a node without records.
pub async fn daemon(name: &str) -> Daemon {
    let (socket, addr) = bind().await;
    let local = local(name, addr, KEY);
    let (messages, reports) = mpsc::unbounded_channel();
    let (suspect_sender, suspects) = mpsc::unbounded_channel();
    let shared = Shared::new(
        name.into(),
        1,
        local.clock,
        local.metrics.clone(),
        Handle::current(),
        Reports { messages, suspects: suspect_sender },
    );
    shared.set_links(DataLinks::new(local.clone()));
    tokio::spawn(run_ticks(shared.clone()));
    let (sender, inbox) = mpsc::channel(64);
    let _ = Listener::start(local.clone(), socket, sender, shared.clone());
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let callers_addr = listener.local_addr().expect("socket is bound");
    let setup = Setup {
        workers: 2,
        in_flight: MAX_IN_FLIGHT,
        idle: Duration::from_secs(60),
        notice: Duration::from_millis(100),
    };
    let callers = Callers::start(shared.clone(), listener, setup).expect("endpoint starts");
    Daemon {
        name: name.into(),
        addr,
        callers_addr,
        shared,
        callers,
        _reports: (reports, suspects),
        _inbox: inbox,
    }
}

/// Starts a backend server stand-in.
pub async fn server(options: Options) -> RunningServer {
    server::start(options).await.expect("loopback")
}

/// A backend server in the records: its address and the node that holds it.
pub struct Placement {
    /// Address of the server.
    pub addr: SocketAddr,
    /// Name of its holder.
    pub holder: Name,
}

/// Applies to every node the records of a keyed service `checks` below `/checks`, whose key is in
/// the header `x-key`, and of an unkeyed service `bundles` below `/bundles`.
pub async fn publish(daemons: &[&Daemon], checks: &[Placement], bundles: &[Placement]) {
    let mut records: Vec<Record> = daemons.iter().map(|daemon| node(daemon)).collect();
    if !checks.is_empty() {
        records.extend(service("checks", checks, true));
    }
    records.extend(service("bundles", bundles, false));
    for daemon in daemons {
        let view = View::new(daemon.name.clone(), 1).with_records(records.iter());
        daemon.shared.set_lease(Tick(u64::MAX / 2));
        daemon.shared.set_view(view);
    }
    for daemon in daemons {
        wait_until_up(daemon).await;
    }
}

/// Waits until every server that a node holds has answered a probe or grant.
async fn wait_until_up(daemon: &Daemon) {
    let held = daemon.shared.held_servers().len() as u64;
    while daemon.shared.metrics.event_count("server_answered") < held {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Builds the record of a node.
fn node(daemon: &Daemon) -> Record {
    let node = Node {
        name: daemon.name.clone(),
        incarnation: 1,
        addr: daemon.addr,
        domain: "a".into(),
        state: NodeState::Live,
        lessors: Vec::new(),
    };
    record(Kind::Node, &daemon.name, Value::Node(node))
}

/// Builds the records of a service.
fn service(name: &str, servers: &[Placement], keyed: bool) -> Vec<Record> {
    let declared = servers.iter().zip(0..).map(|(placed, id)| {
        let server = Server {
            name: format!("{name}-{id}").into(),
            addr: placed.addr,
            domain: "a".into(),
            fenced: true,
            slots: 2,
            conns: 100,
            state: ServerState::Active,
        };
        (ServerId(id), server)
    });
    let slices = if keyed { SLICES } else { 0 };
    let service = Service {
        name: name.into(),
        prefix: format!("/{name}").into(),
        key: keyed.then(|| KeyPlace::Header("x-key".into())),
        slices,
        deadline_ms: DEADLINE_MS,
        cap_ms: 60_000,
        customer: "x-customer".into(),
        shares: BTreeMap::new(),
        servers: declared.collect(),
    };
    let terms = servers.iter().map(|placed| holder(&placed.holder, 1, None)).collect();
    let mut records =
        vec![record(Kind::Service, name, Value::Service(service)), holders(name, 1, terms)];
    if keyed {
        records.push(segment(name, 1, servers.len() as u32, None));
    }
    records
}

/// Builds the holder entry of a server.
pub fn holder(node: &str, term: u64, next: Option<&str>) -> Holder {
    Holder { node: node.into(), incarnation: 1, term, next: next.map(Name::from) }
}

/// Builds the owner entry of a slice.
pub fn owner(server: u32, epoch: u64, next: Option<u32>) -> Owner {
    Owner { server: ServerId(server), epoch, next: next.map(ServerId) }
}

/// Builds the record of a service's slices, spread over its servers; `other` overrides one slice.
pub fn segment(service: &str, version: u64, servers: u32, other: Option<(u32, Owner)>) -> Record {
    let mut owners: Vec<Owner> = (0..SLICES).map(|slice| owner(slice % servers, 1, None)).collect();
    if let Some((slice, owner)) = other {
        owners[slice as usize] = owner;
    }
    let segment = Segment { first: 0, owners, keys: BTreeMap::new() };
    let record = record(Kind::Segment, &format!("{service}.0"), Value::Segment(segment));
    Record { version, ..record }
}

/// Builds the record of a service's holders, in the order of the servers' numbers.
pub fn holders(service: &str, version: u64, terms: Vec<Holder>) -> Record {
    let terms = (0..).map(ServerId).zip(terms).collect();
    let record = record(Kind::Holders, service, Value::Holders(Holders { terms }));
    Record { version, ..record }
}

/// Applies a changed record to every node.
pub fn change(daemons: &[&Daemon], record: &Record) {
    for daemon in daemons {
        let view = daemon.shared.view().with_records([record].into_iter());
        daemon.shared.set_view(view);
    }
}

/// Builds a record at version 1.
fn record(kind: Kind, name: &str, value: Value) -> Record {
    Record { key: Key::new(kind, name), version: 1, mark: 0, value: Some(value) }
}

/// A backend server that answers probes and grants, sends a fixed script in response to every
/// other request and then closes the connection.
pub struct ScriptedServer {
    pub addr: SocketAddr,
    /// Lower-cased heads of the other requests.
    pub heads: mpsc::UnboundedReceiver<String>,
}

impl ScriptedServer {
    /// Starts a server that answers probes and grants only.
    pub async fn silent() -> Self {
        Self::run(None).await
    }

    /// Starts a server with this script.
    pub async fn start(script: Vec<u8>) -> Self {
        Self::run(Some(script)).await
    }

    async fn run(script: Option<Vec<u8>>) -> Self {
        let (listener, addr) = bind().await;
        let (sender, heads) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                tokio::spawn(serve_script(socket, script.clone(), sender.clone()));
            }
        });
        Self { addr, heads }
    }
}

/// Serves one connection of a [`ScriptedServer`].
async fn serve_script(
    mut socket: TcpStream,
    script: Option<Vec<u8>>,
    heads: mpsc::UnboundedSender<String>,
) {
    let status = "{\"boot\":1,\"term\":1,\"state\":\"ready\"}";
    let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{status}", status.len());
    let mut buffer = Vec::new();
    while socket.read_buf(&mut buffer).await.is_ok_and(|bytes| bytes > 0) {
        let text = String::from_utf8_lossy(&buffer);
        let whole = text.contains("\r\n\r\n") && (text.starts_with("GET") || text.ends_with('}'));
        let is_probe = text.contains(" /_whinspring/");
        if !text.contains("\r\n\r\n") || (is_probe && !whole) {
            continue;
        }
        if !is_probe {
            let _ = heads.send(text.to_lowercase());
        }
        if is_probe {
            let _ = socket.write_all(response.as_bytes()).await;
            buffer.clear();
        } else if let Some(script) = script {
            let _ = socket.write_all(&script).await;
            return;
        }
    }
}
