//! Other nodes: links to them, and which of them are alive.
//!
//! Each node opens a link to each other node for what it sends, and reads from the links that
//! others opened. A node counts as alive while its beats arrive and echo those of this node: a
//! connection may fall silent in one direction only. All of this is a hint.

use {
    crate::{
        admission,
        control::servers,
        follow,
        message::{Beat, Body, Envelope, Fetch, Hello},
        node::Node,
        platform::{Kind, Platform},
    },
    bytes::{Bytes, BytesMut},
    futures_util::{SinkExt, StreamExt},
    log::info,
    prost::Message,
    socket2::SockRef,
    std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::mpsc,
        task::spawn_local,
        time::{sleep, timeout},
    },
    tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec},
    whinspring::{name::Name, time::Tick},
};

/// Time between two beats.
const BEAT: Duration = Duration::from_millis(250);

/// The same among many nodes.
const SLOW_BEAT: Duration = Duration::from_millis(500);

/// Other nodes above which beats are slow.
const MANY_NODES: usize = 24;

/// Time for which this node must be behind before it asks another.
const FETCH_AFTER: Duration = Duration::from_millis(250);

/// Time between two questions for the same kind.
const FETCH_EVERY: Duration = Duration::from_millis(1_000);

/// Silence after which a node is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// Longest time to open a link or to write to it.
const LINK_TIMEOUT: Duration = Duration::from_millis(700);

/// Time before a link is opened again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Messages that wait for a link at most.
const QUEUE: usize = 512;

/// Bytes that a link sets aside for messages at first.
const LINK_BUFFER: usize = 1 << 10;

/// Longest message, in bytes.
const MAX_MESSAGE: usize = 16 << 20;

/// Delay of a beat after which this node counts as having been frozen.
const FROZEN_AFTER: Duration = Duration::from_millis(500);

/// Another node.
#[derive(Debug)]
pub struct Peer {
    /// Address for links.
    pub addr: SocketAddr,
    /// When it was last heard.
    pub heard: Tick,
    /// When the last beat was sent to it that it is known to have heard.
    echoed: Tick,
    /// When the link to it was opened.
    opened: Tick,
    /// Its last beat.
    pub beat: Beat,
    /// Takes messages to it.
    queue: mpsc::Sender<Bytes>,
}

/// All other nodes.
#[derive(Debug, Default)]
pub struct Peers {
    /// Nodes by name.
    pub nodes: HashMap<Name, Peer>,
    /// When the last beat was sent.
    beaten: Tick,
    /// Since when this node is behind on a kind, and when it last asked for it.
    behind: HashMap<Kind, (Tick, Tick)>,
}

impl Peers {
    /// Queues a message; returns whether there was room.
    pub fn send(&self, to: &str, frame: Bytes) -> bool {
        self.nodes.get(to).is_some_and(|peer| peer.queue.try_send(frame).is_ok())
    }

    /// Queues a message to all nodes; one whose queue is full misses it.
    pub fn send_all(&self, frame: &Bytes) {
        for peer in self.nodes.values() {
            let _ = peer.queue.try_send(frame.clone());
        }
    }

    /// Queues a message to the nodes of a failure domain.
    pub fn send_near(&self, domain: &str, frame: &Bytes) {
        for peer in self.nodes.values().filter(|peer| peer.beat.domain == domain) {
            let _ = peer.queue.try_send(frame.clone());
        }
    }

    /// Returns whether a kind is to be fetched from a node that knows it at a higher revision: not
    /// at once, as the store mostly tells, and not from several nodes at the same time.
    fn may_fetch(&mut self, now: Tick, kind: Kind) -> bool {
        let (since, asked) = self.behind.entry(kind).or_insert((now, Tick::default()));
        if now.since(*since) > FETCH_EVERY {
            *since = now;
        }
        let due = now.since(*since) >= FETCH_AFTER && now.since(*asked) >= FETCH_EVERY;
        if due {
            *asked = now;
        }
        due
    }

    /// Returns the time between two beats.
    fn interval(&self) -> Duration {
        if self.nodes.len() > MANY_NODES { SLOW_BEAT } else { BEAT }
    }

    /// Returns whether a node is alive.
    pub fn is_live(&self, name: &str, now: Tick) -> bool {
        self.nodes.get(name).is_some_and(|peer| peer.is_live(now))
    }

    /// Returns the nodes that are alive.
    pub fn live(&self, now: Tick) -> impl Iterator<Item = (&Name, &Peer)> {
        self.nodes.iter().filter(move |(_, peer)| peer.is_live(now))
    }
}

impl Peer {
    /// Returns whether the node is alive.
    pub fn is_live(&self, now: Tick) -> bool {
        self.is_heard(now) && self.hears(now)
    }

    /// Returns whether its beats arrive.
    fn is_heard(&self, now: Tick) -> bool {
        self.beat.incarnation != 0 && now.since(self.heard) < self.beat.lost_after()
    }

    /// Returns whether what is sent to it arrives.
    fn hears(&self, now: Tick) -> bool {
        now.since(self.echoed) < self.beat.deaf_after()
    }

    /// Returns whether its beats arrive, and what is sent to it does not.
    fn is_deaf(&self, now: Tick) -> bool {
        self.is_heard(now) && !self.hears(now)
    }

    /// Takes a beat of the node, and when the last beat was sent to it that it has heard.
    pub fn hear(&mut self, now: Tick, beat: &Beat, echo: Tick) {
        if self.beat.incarnation != beat.incarnation {
            self.echoed = now;
        } else if echo <= now {
            self.echoed = self.echoed.max(echo);
        }
        self.heard = now;
        self.beat = Beat { keys: Vec::new(), paces: Vec::new(), ..beat.clone() };
    }
}

/// Takes note of a node and opens a link to it.
pub fn meet<P: Platform>(node: &Rc<Node<P>>, name: &Name, addr: SocketAddr) {
    if name == node.name() {
        return;
    }
    let mut peers = node.peers.borrow_mut();
    if peers.nodes.get(name).is_some_and(|peer| peer.addr == addr) {
        return;
    }
    let now = node.now();
    let beat = Beat { node: name.to_string(), ..Beat::default() };
    let queue = open(node.name().clone(), addr);
    let peer = Peer { addr, heard: now, echoed: now, opened: now, beat, queue };
    peers.nodes.insert(name.clone(), peer);
}

/// Opens a link of a node; it is closed when what takes its messages is dropped.
fn open(own: Name, addr: SocketAddr) -> mpsc::Sender<Bytes> {
    let (queue, messages) = mpsc::channel(QUEUE);
    spawn_local(write(own, addr, messages));
    queue
}

/// Writes messages to a node until it is forgotten.
async fn write(own: Name, addr: SocketAddr, mut messages: mpsc::Receiver<Bytes>) {
    let hello = Envelope::frame(Body::Hello(Hello { node: own.to_string() }));
    loop {
        let Ok(Ok(socket)) = timeout(LINK_TIMEOUT, TcpStream::connect(addr)).await else {
            while messages.try_recv().is_ok() {}
            if messages.is_closed() {
                return;
            }
            sleep(RETRY_PAUSE).await;
            continue;
        };
        let _ = socket.set_nodelay(true);
        let _ = SockRef::from(&socket).set_tcp_user_timeout(Some(LINK_TIMEOUT));
        let mut link = FramedWrite::new(socket, codec());
        let mut passes = pass(&mut link, hello.clone()).await;
        while passes {
            let Some(frame) = messages.recv().await else { return };
            passes = pass(&mut link, frame).await;
        }
    }
}

/// Writes one message; returns whether the link took it.
async fn pass(link: &mut FramedWrite<TcpStream, LengthDelimitedCodec>, frame: Bytes) -> bool {
    let taken = matches!(timeout(LINK_TIMEOUT, link.send(frame)).await, Ok(Ok(())));
    if link.write_buffer().capacity() > LINK_BUFFER {
        *link.write_buffer_mut() = BytesMut::new();
    }
    taken
}

/// Returns the framing of links.
fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_MESSAGE).new_codec()
}

/// Accepts links of other nodes.
pub async fn accept<P: Platform>(node: Rc<Node<P>>, listener: TcpListener) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            sleep(RETRY_PAUSE).await;
            continue;
        };
        let _ = socket.set_nodelay(true);
        spawn_local(read(node.clone(), socket));
    }
}

/// Reads messages of a node until its link ends.
async fn read<P: Platform>(node: Rc<Node<P>>, socket: TcpStream) {
    let mut link = FramedRead::with_capacity(socket, codec(), LINK_BUFFER);
    let mut from = Name::new();
    loop {
        let Ok(Some(Ok(frame))) = timeout(FORGET_AFTER, link.next()).await else { return };
        let Ok(message) = Envelope::decode(frame) else {
            node.metrics.count("link_malformed");
            return;
        };
        match message.body {
            Some(Body::Hello(hello)) => from = Name::from(hello.node),
            Some(body) if !from.is_empty() => {
                handle(&node, &from, body, Tick::from_millis(message.echo));
            }
            _ => node.metrics.count("link_malformed"),
        }
    }
}

/// Takes a message of another node, and when the last beat was sent to it that it has heard.
fn handle<P: Platform>(node: &Rc<Node<P>>, from: &Name, body: Body, echo: Tick) {
    match body {
        Body::Hello(_) => {}
        Body::Beat(beat) => hear(node, from, beat, echo),
        Body::Ask(ask) => admission::handle_ask(node, from, ask),
        Body::Done(done) => admission::handle_done(node, from, &done),
        Body::Check(check) => admission::handle_check(node, from, &check),
        Body::Go(go) => node.admission.borrow_mut().resolve(go.number, Ok(go.server.into())),
        Body::Refuse(refuse) => {
            let wait = Duration::from_millis(refuse.retry.into());
            node.admission.borrow_mut().resolve(refuse.number, Err(wait));
        }
        Body::Fetch(fetch) => {
            if let Some(kind) = Kind::from_number(fetch.kind) {
                let snapshot = node.view.borrow().snapshot(kind);
                node.send(from, Body::Snapshot(snapshot));
            }
        }
        Body::Snapshot(snapshot) => follow::adopt(node, snapshot),
        Body::Look(look) => {
            if let Ok(addr) = look.addr.parse() {
                spawn_local(servers::look_at(node.clone(), from.clone(), addr));
            }
        }
        Body::Looked(looked) => {
            if let Ok(addr) = looked.addr.parse() {
                let mut control = node.control.borrow_mut();
                control.looks.entry(addr).or_default().note(from, looked.refused);
            }
        }
        Body::Moved(moved) => follow::follow_move(node, moved),
        Body::Changed(changed) => follow::follow_change(node, from, changed),
        Body::Crash(crash) => node.crashes.borrow_mut().record(node.now(), crash.print),
    }
}

/// Asks a node that is ahead for all objects of a kind, unless one was asked just now.
pub fn fetch<P: Platform>(node: &Rc<Node<P>>, from: &Name, kind: Kind) {
    if node.peers.borrow_mut().may_fetch(node.now(), kind) {
        node.send(from, Body::Fetch(Fetch { kind: kind.number() }));
    }
}

/// Takes a sign of life.
fn hear<P: Platform>(node: &Rc<Node<P>>, from: &Name, beat: Beat, echo: Tick) {
    let Ok(addr) = beat.addr.parse() else { return };
    meet(node, from, addr);
    let now = node.now();
    let behind = {
        let beliefs = node.view.borrow();
        let claims = [
            (Kind::Routes, beat.routes),
            (Kind::Servers, beat.servers),
            (Kind::Owners, beat.owners),
        ];
        claims.into_iter().find(|(kind, revision)| *revision > beliefs.revision(*kind))
    };
    if let Some((kind, _)) = behind {
        fetch(node, from, kind);
    }
    let mut restarted = false;
    {
        let mut peers = node.peers.borrow_mut();
        let Some(peer) = peers.nodes.get_mut(from) else { return };
        if !peer.is_live(now) {
            info!(event = "peer_up", peer = from.as_str(); "a node is heard");
        }
        restarted |= peer.beat.incarnation != 0 && peer.beat.incarnation != beat.incarnation;
        peer.hear(now, &beat, echo);
    }
    if restarted {
        admission::drop_node(node, from);
    }
    node.control.borrow_mut().hear(now, from, &beat);
}

/// Sends beats for ever, and watches who has fallen silent.
pub async fn beat<P: Platform>(node: Rc<Node<P>>) {
    let mut lost: Vec<Name> = Vec::new();
    loop {
        let interval = node.peers.borrow().interval();
        sleep(interval).await;
        let now = node.now();
        forgive_freeze(&node, now);
        reopen_deaf(&node, now);
        send_beats(&node, now);
        let silent: Vec<Name> = {
            let mut peers = node.peers.borrow_mut();
            peers.nodes.retain(|_, peer| now.since(peer.heard) < FORGET_AFTER);
            let silent = peers.nodes.iter().filter(|(_, peer)| !peer.is_live(now));
            silent.map(|(name, _)| name.clone()).collect()
        };
        for name in silent.iter().filter(|name| !lost.contains(name)) {
            info!(event = "peer_lost", peer = name.as_str(); "a node has fallen silent");
            admission::drop_node(&node, name);
        }
        lost = silent;
    }
}

/// Lets all nodes count as heard if this one was frozen itself.
fn forgive_freeze<P: Platform>(node: &Rc<Node<P>>, now: Tick) {
    let mut peers = node.peers.borrow_mut();
    let late = now.since(peers.beaten) > SLOW_BEAT + FROZEN_AFTER;
    peers.beaten = now;
    if late {
        for peer in peers.nodes.values_mut() {
            peer.heard = now;
            peer.echoed = now;
        }
    }
}

/// Opens new links to the nodes that hear nothing of this one.
fn reopen_deaf<P: Platform>(node: &Rc<Node<P>>, now: Tick) {
    let mut peers = node.peers.borrow_mut();
    let deaf = peers.nodes.iter_mut().filter(|(_, peer)| peer.is_deaf(now));
    for (name, peer) in deaf.filter(|(_, peer)| now.since(peer.opened) >= peer.beat.deaf_after()) {
        let silence = now.since(peer.echoed).as_millis() as u64;
        info!(event = "link_reopened", peer = name.as_str(), silence_ms = silence; "a node is heard and hears nothing");
        peer.queue = open(node.name().clone(), peer.addr);
        peer.opened = now;
    }
}

/// Sends a beat to each node.
pub fn send_beats<P: Platform>(node: &Rc<Node<P>>, now: Tick) {
    let beat = {
        let beliefs = node.view.borrow();
        let control = node.control.borrow();
        Beat {
            node: node.name().to_string(),
            domain: node.settings.domain.to_string(),
            addr: node.settings.advertised.to_string(),
            incarnation: node.incarnation,
            leaving: node.leaving.get(),
            store_age: now.since(node.store_contact.get()).as_millis() as u32,
            routes: beliefs.revision(Kind::Routes),
            servers: beliefs.revision(Kind::Servers),
            owners: beliefs.revision(Kind::Owners),
            term: control.term(),
            leads: control.leads(),
            keys: Vec::new(),
            paces: Vec::new(),
            every: node.peers.borrow().interval().as_millis() as u32,
            sent: now.as_millis(),
            cut_off: node.store_lost.get(),
            share: node.settings.limits.cpu_percent,
        }
    };
    let (keys, paces) = node.meter.borrow_mut().take();
    let frame = Envelope::frame(Body::Beat(beat.clone()));
    let full = Beat { keys, paces, ..beat };
    let controller = node.control.borrow().controller().cloned();
    for (name, peer) in &node.peers.borrow().nodes {
        let frame = match &controller {
            Some(controller) if controller == name => &Envelope::frame(Body::Beat(full.clone())),
            _ => &frame,
        };
        let _ = peer.queue.try_send(Envelope::with_echo(frame, peer.beat.sent));
    }
    if node.control.borrow().leads() {
        node.control.borrow_mut().measure(now, &full);
    }
}
