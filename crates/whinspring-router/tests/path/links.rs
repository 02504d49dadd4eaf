//! Links to other nodes, and what becomes of them.

use {
    crate::rig::{Rig, run},
    bytes::Bytes,
    futures_util::{SinkExt, StreamExt},
    prost::Message,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::spawn_local,
        time::{sleep, timeout},
    },
    tokio_util::codec::{Framed, LengthDelimitedCodec},
    whinspring::rendezvous::rank,
    whinspring_router::{
        message::{AskWire, Beat, Body, Check, Done, Envelope, Go, Hello},
        peers,
    },
};

/// Time in which a node must notice a change.
const NOTICED: Duration = Duration::from_millis(2_500);

/// Time between two beats of the other node.
const EVERY: Duration = Duration::from_millis(100);

/// The same of a node that is heard once and counts for long, in milliseconds, as it says.
pub const RARE: u32 = 60_000;

pub type Link = Framed<TcpStream, LengthDelimitedCodec>;

/// Name of the node under test.
const OWN: &str = "n1";

/// Pool of the rig's server.
const POOL: &str = "plain";

/// Another node of which a test decides what it hears.
pub struct Other {
    name: String,
    /// Whether it says that the store does not answer it.
    pub cut_off: bool,
    /// Milliseconds between its beats, as it says.
    pub every: u32,
    listener: TcpListener,
    /// Where the node under test takes links.
    target: SocketAddr,
    link: Link,
    /// When the last beat was sent that it has heard.
    echo: u64,
}

impl Other {
    /// Meets the node under test, and returns the link that it opens; the other node has the gate of
    /// the pool or not, and says that so many milliseconds lie between its beats.
    pub async fn meet(rig: &Rig, has_gate: bool, every: u32) -> (Self, Link) {
        let score = |name: &str| rank(&[name, POOL], 0);
        let mut names = (2..).map(|number| format!("n{number}"));
        let name = names.find(|name| (score(name) > score(OWN)) == has_gate).unwrap();
        spawn_local(peers::beat(rig.node.clone()));
        let mut other = Self::join_as(rig, name).await;
        other.every = every;
        other.beat().await;
        let link = other.accept().await;
        (other, link)
    }

    /// Joins the node under test under a name.
    pub async fn join_as(rig: &Rig, name: String) -> Self {
        let own = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let target = own.local_addr().unwrap();
        spawn_local(peers::accept(rig.node.clone(), own));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let link = framed(TcpStream::connect(target).await.unwrap());
        let mut other = Self { name, cut_off: false, every: 250, listener, target, link, echo: 0 };
        other.send(Body::Hello(Hello { node: other.name.clone() })).await;
        other
    }

    /// Opens its link anew.
    async fn reconnect(&mut self) {
        self.link = framed(TcpStream::connect(self.target).await.unwrap());
        self.send(Body::Hello(Hello { node: self.name.clone() })).await;
    }

    /// Sends a beat and waits until it has been heard.
    pub async fn beat(&mut self) {
        self.send_beat().await;
        sleep(EVERY).await;
    }

    /// Sends a beat that echoes what was heard.
    pub async fn send_beat(&mut self) {
        let beat = Beat {
            node: self.name.clone(),
            domain: "a".into(),
            addr: self.addr().to_string(),
            incarnation: 7,
            every: self.every,
            cut_off: self.cut_off,
            ..Beat::default()
        };
        let echo = self.echo;
        self.write(Envelope { body: Some(Body::Beat(beat)), echo }).await;
    }

    /// Sends a message.
    pub async fn send(&mut self, body: Body) {
        self.write(Envelope { body: Some(body), echo: 0 }).await;
    }

    /// Writes a message to its link.
    async fn write(&mut self, message: Envelope) {
        self.link.send(Bytes::from(message.encode_to_vec())).await.unwrap();
    }

    /// Returns the next message that is no beat; beats go on meanwhile.
    pub async fn next(&mut self, link: &mut Link) -> Body {
        let end = Instant::now() + NOTICED;
        loop {
            assert!(Instant::now() < end, "no message");
            match timeout(EVERY, read(link)).await {
                Ok(Body::Beat(beat)) => self.echo = beat.sent,
                Ok(body) => return body,
                Err(_) => self.beat().await,
            }
        }
    }

    /// Accepts a link of the node under test.
    pub async fn accept(&mut self) -> Link {
        let (socket, _) = timeout(NOTICED, self.listener.accept()).await.expect("no link").unwrap();
        let mut link = framed(socket);
        let Body::Hello(hello) = read(&mut link).await else { panic!("no name") };
        assert_eq!(hello.node, OWN);
        link
    }

    /// Reads a beat of the node under test.
    async fn hear(&mut self, link: &mut Link) {
        if let Body::Beat(beat) = timeout(NOTICED, read(link)).await.expect("no beat") {
            self.echo = beat.sent;
        }
    }

    fn addr(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }
}

fn framed(socket: TcpStream) -> Link {
    Framed::new(socket, LengthDelimitedCodec::new())
}

/// Reads a message.
async fn read(link: &mut Link) -> Body {
    let frame = link.next().await.unwrap().unwrap();
    Envelope::decode(frame).unwrap().body.unwrap()
}

fn is_live(rig: &Rig, other: &Other) -> bool {
    rig.node.peers.borrow().is_live(&other.name, rig.node.now())
}

/// Returns a request of the other node for the gate of the node under test.
fn ask(number: u64) -> Body {
    let (target, deadline) = (500, 10_000);
    let (pool, avoid) = (POOL.to_string(), String::new());
    Body::Ask(AskWire { pool, number, priority: 0, target, deadline, avoid })
}

#[test]
fn a_node_that_hears_nothing_is_not_alive_and_gets_a_new_link() {
    run(
        |_| None,
        |rig| async move {
            let (mut other, mut link) = Other::meet(&rig, false, 250).await;
            for _ in 0..20 {
                other.hear(&mut link).await;
                other.beat().await;
            }
            assert!(is_live(&rig, &other), "it hears and is heard");
            for _ in 0..20 {
                other.beat().await;
            }
            assert!(!is_live(&rig, &other), "it is heard and hears nothing");
            let mut fresh = other.accept().await;
            other.hear(&mut fresh).await;
            other.beat().await;
            assert!(is_live(&rig, &other), "it hears over the new link");
        },
    );
}

/// A message that ends a request gets lost: the gate asks for the request and frees its place.
#[test]
fn a_place_whose_end_was_lost_is_free_again() {
    run(
        |_| None,
        |rig| async move {
            let (mut other, mut link) = Other::meet(&rig, false, 250).await;
            for number in 1..=3 {
                other.send(ask(number)).await;
            }
            for number in 1..=2 {
                let Body::Go(go) = other.next(&mut link).await else { panic!("no turn") };
                assert_eq!(go.number, number);
            }
            let Body::Check(check) = other.next(&mut link).await else { panic!("no question") };
            let mut numbers = check.numbers.clone();
            numbers.sort_unstable();
            assert_eq!((check.pool.as_str(), numbers), (POOL, vec![1, 2]));
            other.send(Body::Done(Done { pool: POOL.into(), number: 1, ending: 0 })).await;
            let Body::Go(go) = other.next(&mut link).await else { panic!("no turn") };
            assert_eq!(go.number, 3, "the place of the first is free");
        },
    );
}

/// A node tells again that a request has left, if a gate still counts it.
#[test]
fn a_request_that_is_over_is_told_again() {
    run(
        |_| None,
        |rig| async move {
            let (mut other, mut link) = Other::meet(&rig, true, 250).await;
            other.send(Body::Check(Check { pool: POOL.into(), numbers: vec![99] })).await;
            let Body::Done(done) = other.next(&mut link).await else { panic!("no answer") };
            assert_eq!((done.pool.as_str(), done.number, done.ending), (POOL, 99, 0));
        },
    );
}

/// A request that gets no answer from a gate is asked again under its number.
#[test]
fn a_request_whose_question_was_lost_is_asked_again() {
    run(
        |_| None,
        |rig| async move {
            let (mut other, mut link) = Other::meet(&rig, true, 250).await;
            let mut caller = rig.connect().await;
            let request = "GET /safe/1 HTTP/1.1\r\nhost: a.example\r\nx-id: i1\r\n\r\n";
            caller.write_all(request.as_bytes()).await.unwrap();
            let Body::Ask(first) = other.next(&mut link).await else { panic!("no question") };
            let Body::Ask(again) = other.next(&mut link).await else { panic!("not again") };
            assert_eq!((first.number, first.pool), (again.number, again.pool));
        },
    );
}

/// A turn that got lost is given again when the request is asked for again.
#[test]
fn a_turn_that_was_lost_is_given_again() {
    run(
        |_| None,
        |rig| async move {
            let (mut other, mut link) = Other::meet(&rig, false, 250).await;
            for number in [7, 8, 7] {
                other.send(ask(number)).await;
                let Body::Go(go) = other.next(&mut link).await else { panic!("no turn") };
                assert_eq!(go.number, number, "also while both places are taken");
            }
        },
    );
}

/// A link that is opened anew carries requests before its first beat.
#[test]
fn a_node_is_known_by_the_first_message_on_its_link() {
    run(
        |_| None,
        |rig| async move {
            let (mut other, mut link) = Other::meet(&rig, false, 250).await;
            other.reconnect().await;
            other.send(ask(1)).await;
            let Body::Go(go) = other.next(&mut link).await else { panic!("no turn") };
            assert_eq!(go.number, 1);
        },
    );
}

/// Lets the node under test know for so long that its server leaves.
fn set_leaving(rig: &Rig, left: Duration) {
    let now = rig.node.now();
    let mut beliefs = rig.node.beliefs.borrow_mut();
    beliefs.servers.get_mut("s1").unwrap().leaving = Some(now - left);
}

/// The node of a gate may know later than others that a server leaves.
#[test]
fn a_server_that_has_left_gets_no_request_by_a_gate_that_does_not_know() {
    run(
        |_| None,
        |rig| async move {
            let (mut other, mut link) = Other::meet(&rig, true, RARE).await;
            sleep(Duration::from_millis(2_100)).await;
            for (left, sent) in [(Duration::from_millis(500), 1), (Duration::from_secs(2), 1)] {
                set_leaving(&rig, left);
                let mut caller = rig.connect().await;
                let request = "GET /once/1 HTTP/1.1\r\nhost: a.example\r\nx-id: i1\r\n\r\n";
                caller.write_all(request.as_bytes()).await.unwrap();
                let Body::Ask(ask) = other.next(&mut link).await else { panic!("no question") };
                let go = Go { number: ask.number, server: "s1".into() };
                other.send(Body::Go(go)).await;
                let mut answer = Vec::new();
                while !answer.windows(4).any(|end| end == b"\r\n\r\n") {
                    assert!(caller.read_buf(&mut answer).await.unwrap() > 0);
                }
                let requests = rig.seen.borrow().iter().filter(|it| it.starts_with("GET")).count();
                assert_eq!(requests, sent, "left {left:?} ago");
                while !matches!(other.next(&mut link).await, Body::Done(_)) {}
            }
        },
    );
}
