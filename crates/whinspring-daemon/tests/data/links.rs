//! Links: authentication, control messages, streams, flow control, liveness.

use {
    crate::{
        callers::until,
        path::pair,
        peer::RawPeer,
        rig::{KEY, bind, local, start_link_node},
    },
    bytes::Bytes,
    http::{HeaderMap, Method, StatusCode},
    parking_lot::Mutex,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{io::AsyncWriteExt, net::TcpStream, sync::mpsc},
    whinspring::{
        code::Code,
        control::Peer,
        message::Message,
        name::ServerId,
        request::{Meta, Target},
    },
    whinspring_daemon::{
        exchange::{Call, ResponsePart, ResponseStream, Serve, WINDOW_BYTES},
        link::{ControlLinks, DataLinks, LocalNode},
    },
    whinspring_standin::{relay::Relay, server::Options},
    whinspring_wire::{
        frame::MAX_FRAME_BYTES,
        link::{Frame, Handover, Head, Open, Reason},
    },
};

/// Queues the calls that arrive until a test takes them.
#[derive(Default)]
struct QueuedCalls(Mutex<Vec<Call>>);

impl Serve for QueuedCalls {
    fn serve(&self, call: Call) {
        self.0.lock().push(call);
    }

    fn accept_handover(&self, _: Handover) {}
}

impl QueuedCalls {
    /// Waits for a call of `path` and removes it from the queue.
    async fn take(&self, path: &str) -> Call {
        loop {
            let found = {
                let mut calls = self.0.lock();
                let index = calls.iter().position(|call| call.open.path == path);
                index.map(|index| calls.remove(index))
            };
            if let Some(call) = found {
                return call;
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
}

/// Returns a request for `path` to node `b`.
pub fn open(path: &str) -> Box<Open> {
    let meta = Meta {
        service: "checks".into(),
        place: None,
        customer: "".into(),
        id: "".into(),
        issued: None,
        first: true,
        idempotent: true,
        fingerprint: 0,
        crashes: 0,
    };
    let target =
        Target { node: "b".into(), incarnation: 1, server: ServerId(0), term: 1, epoch: 1 };
    Box::new(Open {
        stream: 0,
        method: Method::GET,
        path: path.into(),
        headers: HeaderMap::new(),
        meta,
        target,
        left: Duration::from_secs(60),
        body: Bytes::new(),
        whole: true,
        length: Some(0),
    })
}

/// Returns the start of a response with the body `text`; `whole` tells whether it is complete.
pub fn head(stream: u64, text: &'static str, whole: bool) -> Head {
    Head {
        stream,
        status: StatusCode::OK,
        code: Code::Done,
        headers: HeaderMap::new(),
        body: text.into(),
        whole,
        length: None,
        running: 0,
        queued: 0,
    }
}

/// Waits for the head of a response and returns the first bytes of its body.
async fn body(response: &mut ResponseStream) -> Bytes {
    match response.next().await {
        ResponsePart::Head(head) => head.body,
        other => panic!("{other:?}"),
    }
}

/// Returns the link settings of node `a`.
fn node_a() -> Arc<LocalNode> {
    local("a", ([127, 0, 0, 1], 1).into(), KEY)
}

/// Returns control links whose received messages are discarded.
fn control_links(local: Arc<LocalNode>) -> ControlLinks {
    ControlLinks::new(local, mpsc::channel(1).0)
}

/// Returns a control message whose encoding has at least `bytes` bytes.
fn message(bytes: usize) -> Message {
    let keys = (0..bytes / 100).map(|number| (format!("{number:0100}").into(), 1)).collect();
    let (service, slices) = ("checks".into(), Vec::new());
    Message::Load { service, server: ServerId(1), busy: 0, slices, keys }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn control_messages_of_any_size_arrive_in_order_with_their_sender() {
    let mut b = start_link_node("b", KEY, Arc::new(QueuedCalls::default())).await;
    let links = control_links(node_a());
    let sent = [message(100), message(3 << 20), message(200)];
    for message in &sent {
        links.send(&b.peer, message.clone());
    }
    for message in &sent {
        let (peer, got) = b.inbox.recv().await.expect("listener is running");
        assert_eq!((peer.name.as_str(), &got), ("a", message));
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replies_use_the_connection_of_the_request() {
    let mut b = start_link_node("b", KEY, Arc::new(QueuedCalls::default())).await;
    let (inbox, mut replies) = mpsc::channel(16);
    let a = ControlLinks::new(node_a(), inbox);
    let back = control_links(b.local.clone());
    for seq in 0..5 {
        a.send(&b.peer, Message::Heartbeat { incarnation: 1, seq, version: 1, seen: 1 });
        let (peer, _) = b.inbox.recv().await.expect("listener is running");
        back.send(&peer, Message::Ack { incarnation: 1, seq, seen: 1 });
        let (peer, reply) = replies.recv().await.expect("link is open");
        assert_eq!(peer.name, "b");
        assert_eq!(reply, Message::Ack { incarnation: 1, seq, seen: 1 });
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn control_link_that_falls_silent_is_replaced() {
    let mut b = start_link_node("b", KEY, Arc::new(QueuedCalls::default())).await;
    let relay = Relay::start(([127, 0, 0, 1], 0).into(), b.peer.addr).await.expect("loopback");
    let peer = Peer { name: "b".into(), addr: relay.addr };
    let links = control_links(node_a());
    links.send(&peer, message(100));
    assert!(b.inbox.recv().await.is_some());
    relay.stall();
    let got = async {
        loop {
            links.send(&peer, message(100));
            let pause = Duration::from_millis(20);
            if tokio::time::timeout(pause, b.inbox.recv()).await.is_ok() {
                return;
            }
        }
    };
    got.await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unauthenticated_nodes_are_refused_and_counted() {
    let mut b = start_link_node("b", KEY, Arc::new(QueuedCalls::default())).await;
    let counted = |event| b.local.metrics.event_count(event);
    let addr = ([127, 0, 0, 1], 1).into();
    control_links(local("x", addr, b"another key")).send(&b.peer, message(100));
    until(|| counted("link_stranger") == 1).await;
    let other = LocalNode { deployment: "other".into(), ..into_inner(node_a()) };
    control_links(Arc::new(other)).send(&b.peer, message(100));
    until(|| counted("link_stranger") == 2).await;
    control_links(node_a()).send(&b.peer, message(100));
    let (peer, _) = b.inbox.recv().await.expect("listener is running");
    assert_eq!(peer.name, "a");
    assert!(b.inbox.try_recv().is_err());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn key_rotation_keeps_open_links() {
    let mut b = start_link_node("b", KEY, Arc::new(QueuedCalls::default())).await;
    let a = node_a();
    let open_before = control_links(a.clone());
    open_before.send(&b.peer, message(1));
    b.inbox.recv().await.expect("listener is running");

    let [old, new] = [KEY.to_vec(), b"the next key of the deployment".to_vec()];
    b.local.keys.replace(vec![old.clone(), new.clone()]);
    a.keys.replace(vec![new.clone(), old]);
    control_links(a.clone()).send(&b.peer, message(2));
    b.inbox.recv().await.expect("new key is accepted along with the old one");

    b.local.keys.replace(vec![new]);
    control_links(node_a()).send(&b.peer, message(3));
    until(|| b.local.metrics.event_count("link_stranger") == 1).await;
    open_before.send(&b.peer, message(4));
    let (peer, _) = b.inbox.recv().await.expect("open link stays connected");
    assert_eq!(peer.name, "a");
}

fn into_inner(local: Arc<LocalNode>) -> LocalNode {
    Arc::into_inner(local).expect("only one reference exists")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_frames_oversized_frames_and_other_versions_are_counted() {
    let mut b = start_link_node("b", KEY, Arc::new(QueuedCalls::default())).await;
    let counted = |event| b.local.metrics.event_count(event);
    let mut socket = TcpStream::connect(b.peer.addr).await.expect("listener accepts");
    socket.write_all(b"GET / HTTP/1.1\r\n\r\n").await.expect("socket is writable");
    until(|| counted("link_garbage") == 1).await;
    let mut socket = TcpStream::connect(b.peer.addr).await.expect("listener accepts");
    let length = (MAX_FRAME_BYTES as u32 + 1).to_be_bytes();
    socket.write_all(&length).await.expect("socket is writable");
    until(|| counted("link_garbage") == 2).await;
    RawPeer::say_hello(b.peer.addr, 99).await;
    until(|| counted("link_version_mismatch") == 1).await;
    let silent = TcpStream::connect(b.peer.addr).await.expect("listener accepts");
    until(|| counted("link_handshake_timeout") == 1).await;
    drop(silent);
    control_links(node_a()).send(&b.peer, message(100));
    assert!(b.inbox.recv().await.is_some());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crossed_late_and_duplicate_replies_never_reach_another_stream() {
    let (listener, addr) = bind().await;
    let a = node_a();
    let links = DataLinks::new(a.clone());
    let peer = Peer { name: "b".into(), addr };
    let accept = tokio::spawn(RawPeer::accept(listener));
    let mut first = links.open(&peer, open("/first")).await.expect("peer accepts");
    let mut raw = accept.await.expect("handshake succeeds");
    let mut second = links.open(&peer, open("/second")).await.expect("peer accepts");
    let one = raw.expect_open("/first").await;
    let two = raw.expect_open("/second").await;
    raw.send(Frame::Head(Box::new(head(two, "second", true)))).await;
    raw.send(Frame::Head(Box::new(head(two, "second again", true)))).await;
    raw.send(Frame::Data { stream: two, bytes: "late".into(), last: true }).await;
    raw.send(Frame::Head(Box::new(head(one + two + 7, "unknown stream", true)))).await;
    raw.send(Frame::Head(Box::new(head(one, "fi", false)))).await;
    raw.send(Frame::Data { stream: one, bytes: "rst".into(), last: true }).await;
    raw.send(Frame::Data { stream: one, bytes: "late".into(), last: true }).await;
    assert_eq!(body(&mut second).await, "second");
    assert_eq!(body(&mut first).await, "fi");
    let ResponsePart::Data { bytes, last: true } = first.next().await else {
        panic!("expected the last data")
    };
    assert_eq!(bytes, "rst");
    let mut third = links.open(&peer, open("/third")).await.expect("link is open");
    let three = raw.expect_open("/third").await;
    assert!(three > two, "stream numbers are never reused");
    raw.send(Frame::Head(Box::new(head(three, "third", true)))).await;
    assert_eq!(body(&mut third).await, "third");
    assert_eq!(a.metrics.event_count("link_late_frame"), 4);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_reader_blocks_only_its_own_stream() {
    let calls = Arc::new(QueuedCalls::default());
    let b = start_link_node("b", KEY, calls.clone()).await;
    let links = DataLinks::new(node_a());
    let mut slow = links.open(&b.peer, open("/slow")).await.expect("b accepts");
    let mut call = calls.take("/slow").await;
    call.responder.send_head(head(0, "", false));
    let total = 8 * WINDOW_BYTES;
    let sending = tokio::spawn(async move {
        let mut sent = 0;
        while sent < total {
            let piece = Bytes::from(vec![7; 10_000]);
            let last = sent + piece.len() >= total;
            let done = call.responder.send_data(piece.clone(), last);
            if tokio::time::timeout(Duration::from_millis(500), done).await.is_err() {
                return sent;
            }
            sent += piece.len();
        }
        sent
    });
    let mut quick = links.open(&b.peer, open("/quick")).await.expect("b accepts");
    calls.take("/quick").await.responder.send_head(head(0, "quick", true));
    assert_eq!(body(&mut quick).await, "quick");
    let sent = sending.await.expect("sender finishes");
    assert!((WINDOW_BYTES - 10_000..=WINDOW_BYTES).contains(&sent), "sent {sent} unread bytes");
    assert_eq!(body(&mut slow).await, "");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_data_link_is_condemned_alone() {
    let calls = Arc::new(QueuedCalls::default());
    let b = start_link_node("b", KEY, calls.clone()).await;
    let relay = Relay::start(([127, 0, 0, 1], 0).into(), b.peer.addr).await.expect("loopback");
    let peer = Peer { name: "b".into(), addr: relay.addr };
    let a = node_a();
    let links = DataLinks::new(a.clone());
    let mut lost = links.open(&peer, open("/lost")).await.expect("b accepts");
    let call = calls.take("/lost").await;
    relay.stall();
    assert!(matches!(lost.next().await, ResponsePart::Broken));
    assert_eq!(a.metrics.event_count("link_condemned"), 1);
    let mut new = links.open(&peer, open("/new")).await.expect("b accepts");
    calls.take("/new").await.responder.send_head(head(0, "new", true));
    assert_eq!(body(&mut new).await, "new");
    call.responder.response_window().wait_closed().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_request_keeps_its_link_while_the_peer_answers_pings() {
    let calls = Arc::new(QueuedCalls::default());
    let b = start_link_node("b", KEY, calls.clone()).await;
    let a = node_a();
    let links = DataLinks::new(a.clone());
    let mut quiet = links.open(&b.peer, open("/quiet")).await.expect("b accepts");
    let mut call = calls.take("/quiet").await;
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    call.responder.send_head(head(0, "at last", true));
    assert_eq!(body(&mut quiet).await, "at last");
    assert_eq!(a.metrics.event_count("link_condemned"), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn dropped_response_cancels_the_request_at_its_holder() {
    let calls = Arc::new(QueuedCalls::default());
    let b = start_link_node("b", KEY, calls.clone()).await;
    let links = DataLinks::new(node_a());
    let response = links.open(&b.peer, open("/dropped")).await.expect("b accepts");
    let call = calls.take("/dropped").await;
    drop(response);
    call.responder.response_window().wait_closed().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unreachable_node_is_reported_before_anything_is_sent() {
    let (listener, addr): (_, SocketAddr) = bind().await;
    drop(listener);
    let links = DataLinks::new(node_a());
    let peer = Peer { name: "b".into(), addr };
    assert!(links.open(&peer, open("/x")).await.is_err());
    let calls = Arc::new(QueuedCalls::default());
    let b = start_link_node("b", KEY, calls.clone()).await;
    let wrong = Peer { name: "c".into(), addr: b.peer.addr };
    assert!(DataLinks::new(node_a()).open(&wrong, open("/x")).await.is_err());
    let mut other = open("/x");
    other.target.node = "c".into();
    assert!(links.open(&b.peer, other).await.is_err());
    assert!(calls.0.lock().is_empty());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_for_another_incarnation_or_term_is_misrouted() {
    let pair = pair("b", Options::default()).await;
    let links = DataLinks::new(node_a());
    let peer = Peer { name: "b".into(), addr: pair.b.addr };
    let bundles = |incarnation, term| {
        let mut open = open("/bundles/x");
        open.meta.service = "bundles".into();
        open.target = Target { incarnation, term, ..open.target };
        open
    };
    for (incarnation, term) in [(2, 1), (1, 2), (1, 0)] {
        let response = links.open(&peer, bundles(incarnation, term)).await;
        let part = response.expect("b accepts").next().await;
        assert!(matches!(part, ResponsePart::Refuse(Reason::Misrouted)), "{part:?}");
    }
    let response = links.open(&peer, bundles(1, 1)).await;
    let part = response.expect("b accepts").next().await;
    assert!(matches!(part, ResponsePart::Head(_)), "{part:?}");
}
