//! Links to other nodes: liveness, lost messages and reconnects.

use {
    crate::rig::{Rig, run},
    bytes::{Bytes, BytesMut},
    futures_util::{SinkExt, StreamExt},
    prost::Message,
    rand::{RngCore, SeedableRng},
    rand_chacha::ChaCha8Rng,
    socket2::SockRef,
    std::{
        cell::Cell,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::spawn_local,
        time::{sleep, timeout},
    },
    tokio_util::codec::{Framed, FramedParts, LengthDelimitedCodec},
    whinspring::{notices::Source, rendezvous::rank},
    whinspring_router::{
        frame::Frame,
        message::{
            Admit, Admitted, Body, Check, Done, Envelope, FetchRequest, HandoversFinished,
            Heartbeat, Hello, Item, ServerLimit, Snapshot,
        },
        peers,
        platform::Kind,
        record::HandoverRecord,
        settings::Limits,
    },
};

/// Longest time until a node detects a change.
const DETECTION_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Interval at which the peer sends heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Heartbeat interval that a peer announces to stay alive after one heartbeat.
pub const LONG_INTERVAL_MS: u32 = 60_000;

pub type Link = Framed<TcpStream, LengthDelimitedCodec>;

const NODE: &str = "n1";

const POOL: &str = "plain";

/// A peer of the node under test whose traffic the test controls.
pub struct FakePeer {
    name: String,
    /// Whether its heartbeats report that the store does not respond.
    pub cut_off: bool,
    /// Term in which its heartbeats say that it is the controller; 0 if it is not.
    pub term: u64,
    /// Time since the store last responded to it, in milliseconds.
    pub store_age: u32,
    /// Heartbeat interval that it announces, in milliseconds.
    pub every: u32,
    /// CPU share that it announces, in hundredths of a core.
    pub cpu_share: u32,
    /// Revision of the last change of the servers that it announces.
    pub servers: u64,
    /// Revision of the last change of the evacuations that it announces.
    pub evacuations: u64,
    /// Whether it announces that its gates keep the limits of servers.
    pub limits: bool,
    /// Whether it announces that its gates keep the limits of cold servers.
    pub cold: bool,
    /// What its heartbeats tell of the limits of servers.
    pub limited: Vec<ServerLimit>,
    /// Whether it announces that it accepts compressed messages.
    unpacks: bool,
    listener: TcpListener,
    /// Address of the node under test for links.
    target: SocketAddr,
    link: Link,
    /// Send time of the last heartbeat that it received.
    echo: u64,
}

impl FakePeer {
    /// Connects a peer to the node under test, and returns the link that the node opens to it.
    /// `has_gate` selects a name that makes the peer the node of the pool's gate; `every` is the
    /// heartbeat interval that it announces, in milliseconds.
    pub async fn connect(rig: &Rig, has_gate: bool, every: u32) -> (Self, Link) {
        let score = |name: &str| rank(&[name, POOL], 0);
        let mut names = (2..).map(|number| format!("n{number}"));
        let name = names.find(|name| (score(name) > score(NODE)) == has_gate).unwrap();
        spawn_local(peers::run_heartbeats(rig.node.clone()));
        let mut peer = Self::join_as(rig, name).await;
        peer.every = every;
        peer.heartbeat().await;
        let link = peer.accept().await;
        (peer, link)
    }

    /// Connects a peer with a name, without heartbeats.
    pub async fn join_as(rig: &Rig, name: String) -> Self {
        let own = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let target = own.local_addr().unwrap();
        spawn_local(peers::accept(rig.node.clone(), own));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let link = framed(TcpStream::connect(target).await.unwrap());
        let cpu_share = Limits::default().cpu_percent;
        let (cut_off, term, store_age, every, unpacks, echo) = (false, 0, 0, 250, false, 0);
        let servers = 0;
        let mut peer = Self {
            name,
            cut_off,
            term,
            store_age,
            every,
            cpu_share,
            servers,
            evacuations: 0,
            limits: true,
            cold: true,
            limited: Vec::new(),
            unpacks,
            listener,
            target,
            link,
            echo,
        };
        peer.send(Body::Hello(Hello { node: peer.name.clone() })).await;
        peer
    }

    /// Opens a new link to the node under test.
    async fn reconnect(&mut self) {
        self.link = framed(TcpStream::connect(self.target).await.unwrap());
        self.send(Body::Hello(Hello { node: self.name.clone() })).await;
    }

    /// Sends a heartbeat and waits until it has been received.
    pub async fn heartbeat(&mut self) {
        self.send_beat().await;
        sleep(HEARTBEAT_INTERVAL).await;
    }

    /// Sends a heartbeat that echoes the last one received.
    pub async fn send_beat(&mut self) {
        let beat = Heartbeat {
            node: self.name.clone(),
            domain: "a".into(),
            addr: self.addr().to_string(),
            incarnation: 7,
            interval_ms: self.every,
            store_lost: self.cut_off,
            term: self.term,
            is_leader: self.term > 0,
            store_age_ms: self.store_age,
            cpu_share: self.cpu_share,
            servers: self.servers,
            evacuations: self.evacuations,
            unpacks: self.unpacks,
            keeps_limits: self.limits,
            keeps_cold: self.cold,
            limits: self.limited.clone(),
            ..Heartbeat::default()
        };
        let echo = self.echo;
        self.write(Envelope { body: Some(Body::Heartbeat(beat)), echo }).await;
    }

    pub async fn send(&mut self, body: Body) {
        self.write(Envelope { body: Some(body), echo: 0 }).await;
    }

    async fn write(&mut self, message: Envelope) {
        self.link.send(Bytes::from(message.encode_to_vec())).await.unwrap();
    }

    /// Returns the next message that is not a heartbeat; sends heartbeats meanwhile.
    pub async fn next(&mut self, link: &mut Link) -> Body {
        let end = Instant::now() + DETECTION_TIMEOUT;
        loop {
            assert!(Instant::now() < end, "no message in time");
            match timeout(HEARTBEAT_INTERVAL, read(link)).await {
                Ok(Body::Heartbeat(beat)) => self.echo = beat.sent_ms,
                Ok(body) => return body,
                Err(_) => self.heartbeat().await,
            }
        }
    }

    /// Accepts a link from the node under test.
    pub async fn accept(&mut self) -> Link {
        let (socket, _) = timeout(DETECTION_TIMEOUT, self.listener.accept())
            .await
            .expect("no link in time")
            .unwrap();
        let mut link = framed(socket);
        let Body::Hello(hello) = read(&mut link).await else { panic!("expected a hello message") };
        assert_eq!(hello.node, NODE);
        link
    }

    /// Reads a message of the node under test; returns it if it is a heartbeat.
    pub async fn read_heartbeat(&mut self, link: &mut Link) -> Option<Heartbeat> {
        let body = timeout(DETECTION_TIMEOUT, read(link)).await.expect("no heartbeat in time");
        let Body::Heartbeat(beat) = body else { return None };
        self.echo = beat.sent_ms;
        Some(beat)
    }

    fn addr(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }
}

fn framed(socket: TcpStream) -> Link {
    Framed::new(socket, codec())
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(16 << 20).new_codec()
}

async fn read(link: &mut Link) -> Body {
    let frame = link.next().await.unwrap().unwrap();
    Envelope::decode(frame).unwrap().body.unwrap()
}

fn is_live(rig: &Rig, peer: &FakePeer) -> bool {
    rig.node.peers.borrow().is_live(&peer.name, rig.node.now())
}

/// Returns a peer's request to the gate on the node under test.
fn admit_message(number: u64) -> Body {
    let (target, deadline) = (500, 10_000);
    let (pool, avoid) = (POOL.to_string(), String::new());
    Body::Admit(Admit {
        pool,
        number,
        priority: 0,
        target,
        deadline,
        avoid,
        exclude: Vec::new(),
        limits: Vec::new(),
    })
}

#[test]
fn a_peer_without_heartbeats_is_lost_and_gets_a_new_link() {
    run(
        |_| None,
        |rig| async move {
            let (mut peer, mut link) = FakePeer::connect(&rig, false, 250).await;
            for _ in 0..20 {
                peer.read_heartbeat(&mut link).await;
                peer.heartbeat().await;
            }
            assert!(is_live(&rig, &peer), "heartbeats pass in both directions");
            for _ in 0..20 {
                peer.heartbeat().await;
            }
            assert!(!is_live(&rig, &peer), "the peer receives no heartbeats");
            let mut fresh = peer.accept().await;
            peer.read_heartbeat(&mut fresh).await;
            peer.heartbeat().await;
            assert!(is_live(&rig, &peer), "the peer receives heartbeats on the new link");
        },
    );
}

/// Guards against two nodes that never hear each other again: the links of both have gone silent, so
/// that neither hears that the other one does not hear it.
#[test]
fn links_that_are_silent_in_both_directions_are_replaced() {
    run(
        |_| None,
        |rig| async move {
            let (mut peer, mut link) = FakePeer::connect(&rig, false, 250).await;
            for _ in 0..4 {
                peer.read_heartbeat(&mut link).await;
                peer.heartbeat().await;
            }
            assert!(is_live(&rig, &peer));
            sleep(DETECTION_TIMEOUT).await;
            assert!(!is_live(&rig, &peer), "nothing passes in either direction");
            let mut fresh = peer.accept().await;
            peer.read_heartbeat(&mut fresh).await;
            peer.reconnect().await;
            peer.heartbeat().await;
            assert!(is_live(&rig, &peer), "both hear each other on new links");
        },
    );
}

/// Guards against slots that stay taken when the message with the end of a request is lost: the
/// gate asks the node of the request whether it still runs.
#[test]
fn a_slot_is_freed_after_a_lost_end() {
    run(
        |_| None,
        |rig| async move {
            let (mut peer, mut link) = FakePeer::connect(&rig, false, 250).await;
            for number in 1..=3 {
                peer.send(admit_message(number)).await;
            }
            for number in 1..=2 {
                let Body::Admitted(admitted) = peer.next(&mut link).await else {
                    panic!("expected a decision")
                };
                assert_eq!(admitted.number, number);
            }
            let Body::Check(check) = peer.next(&mut link).await else { panic!("expected a check") };
            let mut numbers = check.numbers.clone();
            numbers.sort_unstable();
            assert_eq!((check.pool.as_str(), numbers), (POOL, vec![1, 2]));
            peer.send(Body::Done(Done { pool: POOL.into(), number: 1, ..Done::default() })).await;
            let Body::Admitted(admitted) = peer.next(&mut link).await else {
                panic!("expected a decision")
            };
            assert_eq!(admitted.number, 3, "the slot of the first request is free");
        },
    );
}

/// Guards against slots that stay taken: a node reports the end of a request again when the gate
/// requests it.
#[test]
fn the_end_of_a_request_is_reported_again() {
    run(
        |_| None,
        |rig| async move {
            let (mut peer, mut link) = FakePeer::connect(&rig, true, 250).await;
            peer.send(Body::Check(Check { pool: POOL.into(), numbers: vec![99] })).await;
            let Body::Done(done) = peer.next(&mut link).await else {
                panic!("expected the end of the request")
            };
            assert_eq!((done.pool.as_str(), done.number, done.outcome), (POOL, 99, 0));
        },
    );
}

/// Guards against requests that wait in vain because the message to the gate was lost: it is sent
/// again under the same number.
#[test]
fn a_request_to_a_gate_is_sent_again() {
    run(
        |_| None,
        |rig| async move {
            let (mut peer, mut link) = FakePeer::connect(&rig, true, 250).await;
            let mut caller = rig.connect().await;
            let request = "GET /safe/1 HTTP/1.1\r\nhost: a.example\r\nx-id: i1\r\n\r\n";
            caller.write_all(request.as_bytes()).await.unwrap();
            let Body::Admit(first) = peer.next(&mut link).await else {
                panic!("expected an admission request")
            };
            let Body::Admit(again) = peer.next(&mut link).await else {
                panic!("expected the request again")
            };
            assert_eq!((first.number, first.pool), (again.number, again.pool));
        },
    );
}

/// Guards against a request that a server of another service runs: the gate's decision for a request of
/// a killed process arrives at the next process, while one of its requests waits.
#[test]
fn a_decision_for_an_earlier_process_decides_no_request_of_the_next_one() {
    const CALLER: &str =
        "GET /once/1 HTTP/1.1\r\nhost: a.example\r\nx-id: i1\r\nx-deadline: 1500\r\n\r\n";
    let first = Rc::new(Cell::new(0));
    let killed = first.clone();
    run(
        |_| None,
        |rig| async move {
            let (mut peer, mut link) = FakePeer::connect(&rig, true, LONG_INTERVAL_MS).await;
            let mut caller = rig.connect().await;
            caller.write_all(CALLER.as_bytes()).await.unwrap();
            let Body::Admit(admit) = peer.next(&mut link).await else {
                panic!("expected an admission request")
            };
            killed.set(admit.number);
        },
    );
    run(
        |_| None,
        |rig| async move {
            rig.list_servers(&["s1", "s2"]);
            let (mut peer, mut link) = FakePeer::connect(&rig, true, LONG_INTERVAL_MS).await;
            let mut caller = rig.connect().await;
            caller.write_all(CALLER.as_bytes()).await.unwrap();
            let Body::Admit(admit) = peer.next(&mut link).await else {
                panic!("expected an admission request")
            };
            for (number, server) in [(first.get(), "s2"), (admit.number, "s1")] {
                let server = server.into();
                peer.send(Body::Admitted(Admitted { number, server, limit: None })).await;
            }
            while rig.seen.borrow().is_empty() {
                sleep(Duration::from_millis(5)).await;
            }
            assert!(rig.seen.borrow()[0].contains("x-target: s1"), "{:?}", rig.seen.borrow());
        },
    );
}

/// Guards against lost decisions: a gate repeats its decision when the request is sent again.
#[test]
fn a_decision_is_repeated() {
    run(
        |_| None,
        |rig| async move {
            let (mut peer, mut link) = FakePeer::connect(&rig, false, 250).await;
            for number in [7, 8, 7] {
                peer.send(admit_message(number)).await;
                let Body::Admitted(admitted) = peer.next(&mut link).await else {
                    panic!("expected a decision")
                };
                assert_eq!(
                    admitted.number, number,
                    "decisions are repeated also while both slots are taken"
                );
            }
        },
    );
}

/// A new link can carry requests before the first heartbeat.
#[test]
fn a_new_link_carries_requests_before_a_heartbeat() {
    run(
        |_| None,
        |rig| async move {
            let (mut peer, mut link) = FakePeer::connect(&rig, false, 250).await;
            peer.reconnect().await;
            peer.send(admit_message(1)).await;
            let Body::Admitted(admitted) = peer.next(&mut link).await else {
                panic!("expected a decision")
            };
            assert_eq!(admitted.number, 1);
        },
    );
}

/// Makes the node under test know for `left` that its server is leaving.
fn set_leaving(rig: &Rig, left: Duration) {
    let now = rig.node.now();
    let mut view = rig.node.view.borrow_mut();
    let life = view.servers["s1"].life();
    view.notices.record_leaving(&"s1".into(), life, now - left, Source::Store);
}

/// Guards against requests to a server that has left: the node of the gate may learn later than
/// others that the server is leaving.
#[test]
fn a_server_that_has_left_gets_no_request_from_an_outdated_gate() {
    run(
        |_| None,
        |rig| async move {
            let (mut peer, mut link) = FakePeer::connect(&rig, true, LONG_INTERVAL_MS).await;
            sleep(Duration::from_millis(2_100)).await;
            for (left, sent) in [(Duration::from_millis(500), 1), (Duration::from_secs(2), 1)] {
                set_leaving(&rig, left);
                let mut caller = rig.connect().await;
                let request = "GET /once/1 HTTP/1.1\r\nhost: a.example\r\nx-id: i1\r\n\r\n";
                caller.write_all(request.as_bytes()).await.unwrap();
                let Body::Admit(admit) = peer.next(&mut link).await else {
                    panic!("expected an admission request")
                };
                let admitted = Admitted { number: admit.number, server: "s1".into(), limit: None };
                peer.send(Body::Admitted(admitted)).await;
                let mut response = Vec::new();
                while !response.windows(4).any(|end| end == b"\r\n\r\n") {
                    assert!(caller.read_buf(&mut response).await.unwrap() > 0);
                }
                let requests = rig.seen.borrow().iter().filter(|it| it.starts_with("GET")).count();
                assert_eq!(requests, sent, "left {left:?} ago");
                while !matches!(peer.next(&mut link).await, Body::Done(_)) {}
            }
        },
    );
}

/// A relay forwards a message to its failure domain once, not in turn as something to forward.
#[test]
fn a_relay_forwards_finished_handovers_to_its_failure_domain() {
    run(
        |_| None,
        |rig| async move {
            let (mut peer, mut link) = FakePeer::connect(&rig, false, LONG_INTERVAL_MS).await;
            let handovers = vec![HandoverRecord { first: 0, last: 9, fence: 64 }];
            let finished = HandoversFinished { service: POOL.into(), handovers, relay: true };
            peer.send(Body::HandoversFinished(finished.clone())).await;
            let forwarded = peer.next(&mut link).await;
            let plain = HandoversFinished { relay: false, ..finished };
            assert_eq!(forwarded, Body::HandoversFinished(plain.clone()));
            peer.send(Body::HandoversFinished(plain)).await;
            let marker = FetchRequest { kind: Kind::Routes.number() };
            peer.send(Body::FetchRequest(marker)).await;
            let next = peer.next(&mut link).await;
            assert!(matches!(next, Body::Snapshot(_)), "forwarded again: {next:?}");
        },
    );
}

/// A configuration takes longer over a network link of 10 Mbit/s than a link waits for progress.
/// Guards against messages that are given up, and requested again and again.
#[test]
fn a_message_that_takes_long_arrives_over_a_slow_link() {
    const MESSAGE_BYTES: usize = 6 << 20;
    const RECEIVE_BUFFER: usize = 64 << 10;
    const CHUNK_BYTES: usize = 64 << 10;
    const CHUNK_INTERVAL: Duration = Duration::from_millis(52);
    run(
        |_| None,
        |rig| async move {
            let (peer, link) = FakePeer::connect(&rig, false, LONG_INTERVAL_MS).await;
            let FramedParts { mut io, read_buf, .. } = link.into_parts();
            SockRef::from(&io).set_recv_buffer_size(RECEIVE_BUFFER).unwrap();
            let mut value = vec![0; MESSAGE_BYTES];
            ChaCha8Rng::seed_from_u64(1).fill_bytes(&mut value);
            let object = Item { value, ..Item::default() };
            let snapshot = Snapshot { items: vec![object], ..Snapshot::default() };
            assert!(rig.node.send(&peer.name, Body::Snapshot(snapshot.clone())));
            let mut bytes = read_buf.to_vec();
            let mut chunk = vec![0; CHUNK_BYTES];
            while bytes.len() <= MESSAGE_BYTES {
                let count = io.read(&mut chunk).await.unwrap();
                assert!(count > 0, "the link ended after {} bytes", bytes.len());
                bytes.extend_from_slice(&chunk[..count]);
                sleep(CHUNK_INTERVAL).await;
            }
            let mut parts = FramedParts::new::<Bytes>(io, codec());
            parts.read_buf = BytesMut::from(&bytes[..]);
            let mut link = Framed::from_parts(parts);
            let found = loop {
                match read(&mut link).await {
                    Body::Heartbeat(_) => {}
                    body => break body,
                }
            };
            assert_eq!(found, Body::Snapshot(snapshot));
        },
    );
}

#[test]
fn long_messages_are_compressed_for_nodes_that_accept_it() {
    let object =
        Item { name: "s7".into(), revision: 70, value: vec![b'x'; 20_000], ..Item::default() };
    let kind = Kind::Servers.number();
    let snapshot = Snapshot {
        kind,
        revision: 70,
        items: vec![object],
        synced_revision: 70,
        ..Snapshot::default()
    };
    let frame = Frame::new(Body::Snapshot(snapshot.clone()));
    let packed = Envelope::decode(&frame.bytes(true)[..]).unwrap().body.unwrap();
    run(
        |_| None,
        move |rig| async move {
            let (mut peer, mut link) = FakePeer::connect(&rig, false, LONG_INTERVAL_MS).await;
            peer.send(packed.clone()).await;
            peer.heartbeat().await;
            assert!(rig.node.view.borrow().servers.contains_key("s7"), "it was not applied");
            rig.node.send(&peer.name, Body::Snapshot(snapshot.clone()));
            assert_eq!(peer.next(&mut link).await, Body::Snapshot(snapshot.clone()));
            peer.unpacks = true;
            peer.heartbeat().await;
            rig.node.send(&peer.name, Body::Snapshot(snapshot));
            assert_eq!(peer.next(&mut link).await, packed);
        },
    );
}

/// Guards against stale messages that share a slow network link with those of the next link.
#[test]
fn a_link_that_was_replaced_sends_no_more_messages() {
    const MESSAGES: usize = 20;
    const MESSAGE_BYTES: usize = 1 << 20;
    run(
        |_| None,
        |rig| async move {
            let (peer, link) = FakePeer::connect(&rig, false, LONG_INTERVAL_MS).await;
            for _ in 0..MESSAGES {
                let object = Item { value: vec![1; MESSAGE_BYTES], ..Item::default() };
                let snapshot = Snapshot { items: vec![object], ..Snapshot::default() };
                assert!(rig.node.send(&peer.name, Body::Snapshot(snapshot)));
            }
            rig.node.peers.borrow_mut().nodes.clear();
            let mut rest = Vec::new();
            let _ = link.into_inner().read_to_end(&mut rest).await;
            assert!(rest.len() < MESSAGES * MESSAGE_BYTES / 2, "{} bytes were sent", rest.len());
        },
    );
}

#[test]
fn a_heartbeat_that_arrives_after_a_later_one_is_ignored() {
    run(
        |_| None,
        |rig| async move {
            let (mut peer, _link) = FakePeer::connect(&rig, false, LONG_INTERVAL_MS).await;
            for (sent_ms, store_lost) in [(200, false), (100, true)] {
                let node = peer.name.clone();
                let addr = peer.addr().to_string();
                let beat = Heartbeat {
                    node,
                    addr,
                    incarnation: 7,
                    sent_ms,
                    store_lost,
                    ..Default::default()
                };
                peer.send(Body::Heartbeat(beat)).await;
            }
            sleep(HEARTBEAT_INTERVAL).await;
            let peers = rig.node.peers.borrow();
            let known = &peers.nodes[peer.name.as_str()].heartbeat;
            assert_eq!((known.sent_ms, known.store_lost), (200, false));
        },
    );
}
