//! Two nodes that know each other, of which the first one may not reach the server.

use {
    crate::{
        rig::{Rig, Script, TEST_TIMEOUT, serve},
        setup::settings,
    },
    std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, TcpSocket, TcpStream},
        task::{LocalSet, spawn_local},
        time::{sleep, timeout},
    },
    whinspring_router::{
        peers, reach,
        settings::{Limits, Settings},
    },
};

/// Time in which a connection over loopback opens.
const OPEN_TIME: Duration = Duration::from_millis(200);

/// What happens to the first node's connections to the server.
#[derive(Debug, Clone, Copy)]
pub enum Cut {
    /// They open.
    None,
    Refused,
    /// They never open.
    Hanging,
    /// They are refused, and the node does not find out that it reaches no server.
    Unnoticed,
}

pub struct Pair {
    /// The node that may be cut off.
    pub entry: Rig,
    /// The node that reaches the server.
    pub relay: Rig,
    /// Keeps the address that the first node uses for the server as it is.
    _blocked: Vec<TcpStream>,
    _listener: Option<TcpListener>,
}

/// Runs a test on one thread.
pub fn run<F: Future<Output = ()>>(script: Script, cut: Cut, test: impl FnOnce(Pair) -> F) {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let pair = Pair::start(script, cut, None).await;
        timeout(TEST_TIMEOUT, test(pair)).await.expect("the test timed out");
    });
}

/// Runs a test of a node that is cut off and whose only relay follows a script. The test gets the requests that the relay got.
pub fn run_with_relay<F: Future<Output = ()>>(
    script: Script,
    test: impl FnOnce(Pair, Rc<RefCell<Vec<String>>>) -> F,
) {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let requests = Rc::new(RefCell::new(Vec::new()));
        spawn_local(serve(listener, script, requests.clone()));
        let pair = Pair::start(|_| None, Cut::Refused, Some(addr)).await;
        timeout(TEST_TIMEOUT, pair.wait_until_cut_off()).await.expect("the node is not cut off");
        requests.borrow_mut().clear();
        timeout(TEST_TIMEOUT, test(pair, requests)).await.expect("the test timed out");
    });
}

impl Pair {
    /// Starts the nodes; the second one tells the first one to use `relay` instead of itself, if that
    /// is given.
    async fn start(script: Script, cut: Cut, relay: Option<SocketAddr>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = listener.local_addr().unwrap();
        let seen = Rc::new(RefCell::new(Vec::new()));
        spawn_local(serve(listener, script, seen.clone()));
        let (unreachable, listener, blocked) = match cut {
            Cut::None => (server, None, Vec::new()),
            Cut::Refused | Cut::Unnoticed => (unused_addr().await, None, Vec::new()),
            Cut::Hanging => hanging_addr().await,
        };
        let entry = start_node("n1", unreachable, seen.clone(), None).await;
        let relay = start_node("n2", server, seen, relay).await;
        entry.node.platform.pathless.set(!matches!(cut, Cut::None));
        if !matches!(cut, Cut::None | Cut::Unnoticed) {
            spawn_local(reach::run(entry.node.clone()));
        }
        let addr = relay.node.settings.advertised;
        peers::add_peer(&entry.node, &"n2".into(), addr);
        let pair = Self { entry, relay, _blocked: blocked, _listener: listener };
        while !pair.is_linked() {
            sleep(Duration::from_millis(10)).await;
        }
        pair
    }

    /// Sends requests until one is served.
    pub async fn wait_until_served(&self) {
        let mut number = 0;
        loop {
            number += 1;
            let request = build_request("/safe/first", &format!("first{number}"));
            if self.entry.send(&request).await.starts_with("HTTP/1.1 200") {
                return self.entry.seen.borrow_mut().clear();
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Sends requests until the node that is cut off has learned that it is.
    async fn wait_until_cut_off(&self) {
        let mut number = 0;
        while !self.entry.node.is_cut_off() {
            number += 1;
            self.entry.send(&build_request("/safe/first", &format!("first{number}"))).await;
        }
    }

    /// Returns whether both nodes have heard of each other.
    fn is_linked(&self) -> bool {
        [(&self.entry, "n2"), (&self.relay, "n1")].iter().all(|(rig, peer)| {
            let peers = rig.node.peers.borrow();
            peers.nodes.get(*peer).is_some_and(|peer| peer.heartbeat.incarnation != 0)
        })
    }
}

pub fn build_request(path: &str, id: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a.example\r\nx-id: {id}\r\nx-deadline: 1500\r\n\r\n")
}

async fn start_node(
    name: &str,
    server: SocketAddr,
    seen: Rc<RefCell<Vec<String>>>,
    relay: Option<SocketAddr>,
) -> Rig {
    let links = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = links.local_addr().unwrap();
    let settings = Settings { peer, advertised: peer, ..settings(name, Limits::default()) };
    let rig = Rig::start_node(settings, server, seen, relay).await;
    spawn_local(peers::accept(rig.node.clone(), links));
    spawn_local(peers::run_heartbeats(rig.node.clone()));
    rig
}

/// Returns an address that refuses connections.
async fn unused_addr() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap()
}

/// Returns an address at which connections never open, as its queue of new ones is full, and what
/// keeps it so.
async fn hanging_addr() -> (SocketAddr, Option<TcpListener>, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let addr = listener.local_addr().unwrap();
    let mut open = Vec::new();
    while let Ok(Ok(stream)) = timeout(OPEN_TIME, TcpStream::connect(addr)).await {
        open.push(stream);
    }
    (addr, Some(listener), open)
}
