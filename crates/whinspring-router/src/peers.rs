//! Links to other nodes, and failure detection.
//!
//! Each node opens a link to every other node to send messages, and reads from the links that
//! others opened. A node counts as live while its heartbeats arrive and echo recent ones of this
//! node: a connection may fail in one direction only. Liveness is only a hint.

use {
    crate::{
        admission, catch_up, cold, crashes, follow,
        frame::{self, Frame, MAX_MESSAGE_BYTES},
        limits,
        message::{Body, Envelope, FetchRequest, Heartbeat, Hello},
        node::Node,
        notices, owners,
        platform::{Kind, Platform, Position},
        spread::{self, Recipient},
    },
    bytes::{Bytes, BytesMut},
    futures_util::{SinkExt, StreamExt},
    log::info,
    prost::Message,
    socket2::SockRef,
    std::{collections::HashMap, io, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::mpsc,
        task::spawn_local,
        time::{sleep, timeout},
    },
    tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec},
    whinspring::{name::Name, time::Tick},
};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Time between two heartbeats in a large cluster.
const SLOW_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Number of other nodes above which [`SLOW_HEARTBEAT_INTERVAL`] applies.
const MANY_NODES: usize = 24;

/// Time for which this node must be behind before it fetches a snapshot from another.
const FETCH_DELAY: Duration = Duration::from_millis(250);

/// Minimum time between two fetches of the same kind.
const FETCH_INTERVAL: Duration = Duration::from_millis(1_000);

/// Silence after which a node is removed.
const PEER_RETENTION: Duration = Duration::from_secs(30);

/// Longest time to open a link, or without progress of a write to it.
const LINK_TIMEOUT: Duration = Duration::from_millis(700);

const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Messages that a link queues.
const QUEUE_CAPACITY: usize = 512;

/// Initial buffer of a link, in bytes.
const LINK_BUFFER: usize = 1 << 10;

/// Send buffer of a link's socket, in bytes. A larger one drains so slowly over the network link of a
/// small VM that a write appears to make no progress.
const SEND_BUFFER: usize = 64 << 10;

/// Delay of a heartbeat after which this node assumes that it was frozen itself.
const FROZEN_AFTER: Duration = Duration::from_millis(500);

#[derive(Debug)]
pub struct Peer {
    /// Address for links.
    pub addr: SocketAddr,
    /// When its last heartbeat arrived.
    pub last_heard: Tick,
    /// When the newest heartbeat that it has echoed was sent to it.
    last_echoed: Tick,
    link_opened: Tick,
    /// When it came up, unless it has been told since then what it may have missed.
    untold: Option<Tick>,
    /// Its last heartbeat, without measurements.
    pub heartbeat: Heartbeat,
    /// Messages to send to it.
    queue: mpsc::Sender<Bytes>,
}

#[derive(Debug, Default)]
pub struct Peers {
    /// Nodes by name.
    pub nodes: HashMap<Name, Peer>,
    /// When this node last sent heartbeats.
    last_heartbeat: Tick,
    /// Kinds on which this node is behind: since when, and when it last requested a snapshot.
    behind: HashMap<Kind, (Tick, Tick)>,
}

impl Peers {
    /// Queues a message. Returns `false` if the node is unknown or its queue is full.
    pub fn send(&self, to: &str, frame: &Frame) -> bool {
        self.nodes.get(to).is_some_and(|peer| peer.send(frame))
    }

    /// Queues a message to all nodes; it is dropped for those whose queue is full.
    pub fn send_all(&self, frame: &Frame) {
        for peer in self.nodes.values() {
            peer.send(frame);
        }
    }

    /// Queues a message to some nodes; it is dropped for those whose queue is full.
    pub fn send_each(&self, names: &[Name], frame: &Frame) {
        for name in names {
            self.send(name, frame);
        }
    }

    /// Queues a message to the nodes of a failure domain; it is dropped for those whose queue is
    /// full.
    pub fn send_to_domain(&self, domain: &str, frame: &Frame) {
        for peer in self.nodes.values().filter(|peer| peer.heartbeat.domain == domain) {
            peer.send(frame);
        }
    }

    /// Returns whether to fetch a snapshot of a kind from a node that has a higher revision. The
    /// first fetch is delayed, as the change mostly arrives from the store meanwhile, and only one
    /// node is contacted at a time.
    fn may_fetch(&mut self, now: Tick, kind: Kind) -> bool {
        let (since, requested) = self.behind.entry(kind).or_insert((now, Tick::default()));
        if now.since(*since) > FETCH_INTERVAL {
            *since = now;
        }
        let due = now.since(*since) >= FETCH_DELAY && now.since(*requested) >= FETCH_INTERVAL;
        if due {
            *requested = now;
        }
        due
    }

    /// Returns whether a node that is heard has a later change of a kind than the one at a position.
    pub fn is_ahead(&self, now: Tick, kind: Kind, position: Position) -> bool {
        let mut heard = self.nodes.values().filter(|peer| peer.is_sending(now));
        heard.any(|peer| peer.heartbeat.position(kind) > position)
    }

    /// Returns whether the cluster is so large that few nodes watch the store and forward changes.
    pub fn is_large_cluster(&self) -> bool {
        self.nodes.len() >= spread::MIN_NODES
    }

    /// Returns the time between two heartbeats.
    fn interval(&self) -> Duration {
        if self.nodes.len() > MANY_NODES { SLOW_HEARTBEAT_INTERVAL } else { HEARTBEAT_INTERVAL }
    }

    pub fn is_live(&self, name: &str, now: Tick) -> bool {
        self.nodes.get(name).is_some_and(|peer| peer.is_live(now))
    }

    /// Returns the other nodes as recipients of a change.
    pub fn recipients(&self, now: Tick) -> impl Iterator<Item = Recipient<'_>> {
        self.nodes.iter().map(move |(name, peer)| Recipient {
            name,
            domain: &peer.heartbeat.domain,
            is_live: peer.is_live(now),
            cpu_share: peer.heartbeat.cpu_share,
        })
    }

    /// Returns the live nodes.
    pub fn live(&self, now: Tick) -> impl Iterator<Item = (&Name, &Peer)> {
        self.nodes.iter().filter(move |(_, peer)| peer.is_live(now))
    }
}

impl Peer {
    pub fn is_live(&self, now: Tick) -> bool {
        self.is_sending(now) && self.is_receiving(now)
    }

    /// Queues a message. Returns `false` if the queue is full.
    fn send(&self, frame: &Frame) -> bool {
        self.queue.try_send(frame.bytes(self.heartbeat.unpacks).clone()).is_ok()
    }

    /// Returns whether its heartbeats arrive.
    fn is_sending(&self, now: Tick) -> bool {
        self.heartbeat.incarnation != 0 && now.since(self.last_heard) < self.heartbeat.timeout()
    }

    /// Returns whether it receives what this node sends.
    fn is_receiving(&self, now: Tick) -> bool {
        now.since(self.last_echoed) < self.heartbeat.half_open_after()
    }

    /// Returns whether the link to it has been open for long and it is not known to receive what this
    /// node sends. Its own link may be silent, too, so that it cannot tell.
    fn is_link_silent(&self, now: Tick) -> bool {
        let is_old = now.since(self.link_opened) >= self.heartbeat.half_open_after();
        is_old && !self.is_receiving(now)
    }

    /// Records a heartbeat; `echo` is when the newest heartbeat was sent that the peer has
    /// received. Ignores one that arrives after a later one, over a link that has been replaced.
    pub fn record_heartbeat(&mut self, now: Tick, heartbeat: &Heartbeat, echo: Tick) {
        let known = &self.heartbeat;
        if known.incarnation == heartbeat.incarnation && heartbeat.sent_ms < known.sent_ms {
            return;
        }
        if self.heartbeat.incarnation != heartbeat.incarnation {
            self.last_echoed = now;
        } else if echo <= now {
            self.last_echoed = self.last_echoed.max(echo);
        }
        self.last_heard = now;
        self.heartbeat = Heartbeat { keys: Vec::new(), latencies: Vec::new(), ..heartbeat.clone() };
    }
}

/// Adds a node and opens a link to it. Does nothing if it is known under that address.
pub fn add_peer<P: Platform>(node: &Rc<Node<P>>, name: &Name, addr: SocketAddr) {
    if name == node.name() {
        return;
    }
    let mut peers = node.peers.borrow_mut();
    if peers.nodes.get(name).is_some_and(|peer| peer.addr == addr) {
        return;
    }
    let now = node.now();
    let heartbeat = Heartbeat { node: name.to_string(), ..Heartbeat::default() };
    let queue = open_link(node.name().clone(), addr);
    let peer = Peer {
        addr,
        last_heard: now,
        last_echoed: now,
        link_opened: now,
        untold: Some(now),
        heartbeat,
        queue,
    };
    peers.nodes.insert(name.clone(), peer);
}

/// Opens a link to a node. The link closes when the returned sender is dropped.
fn open_link(own: Name, addr: SocketAddr) -> mpsc::Sender<Bytes> {
    let (queue, messages) = mpsc::channel(QUEUE_CAPACITY);
    spawn_local(write_link(own, addr, messages));
    queue
}

/// Writes queued messages to a node until the queue's sender is dropped. Reconnects on failure;
/// messages that were queued while the node was unreachable are dropped.
async fn write_link(own: Name, addr: SocketAddr, mut messages: mpsc::Receiver<Bytes>) {
    let hello = Frame::new(Body::Hello(Hello { node: own.to_string() }));
    loop {
        let Ok(Ok(socket)) = timeout(LINK_TIMEOUT, TcpStream::connect(addr)).await else {
            while messages.try_recv().is_ok() {}
            if messages.is_closed() {
                return;
            }
            sleep(RETRY_DELAY).await;
            continue;
        };
        let _ = socket.set_nodelay(true);
        let options = SockRef::from(&socket);
        let _ = options.set_tcp_user_timeout(Some(LINK_TIMEOUT));
        let _ = options.set_send_buffer_size(SEND_BUFFER);
        let mut link = FramedWrite::new(socket, codec());
        let mut connected = write_frame(&mut link, hello.bytes(false).clone(), &messages).await;
        while connected && !messages.is_closed() {
            let Some(frame) = messages.recv().await else { return };
            connected = write_frame(&mut link, frame, &messages).await;
        }
    }
}

/// Writes one message. Returns whether the link accepted it.
async fn write_frame(
    link: &mut FramedWrite<TcpStream, LengthDelimitedCodec>,
    frame: Bytes,
    messages: &mpsc::Receiver<Bytes>,
) -> bool {
    let sent = link.feed(frame).await.is_ok() && flush(link, messages).await;
    if link.write_buffer().capacity() > LINK_BUFFER {
        *link.write_buffer_mut() = BytesMut::new();
    }
    sent
}

/// Writes all buffered bytes. Returns `false` if the link has failed, takes no more bytes, or has been
/// replaced. A long message may take much longer than [`LINK_TIMEOUT`] over the network link of a
/// small VM.
async fn flush(
    link: &mut FramedWrite<TcpStream, LengthDelimitedCodec>,
    messages: &mpsc::Receiver<Bytes>,
) -> bool {
    loop {
        let left = link.write_buffer().len();
        match timeout(LINK_TIMEOUT, SinkExt::<Bytes>::flush(link)).await {
            Ok(result) => return result.is_ok(),
            Err(_) if link.write_buffer().len() < left && !messages.is_closed() => {}
            Err(_) => return false,
        }
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_MESSAGE_BYTES).new_codec()
}

/// Accepts links of other nodes. Never returns.
pub async fn accept<P: Platform>(node: Rc<Node<P>>, listener: TcpListener) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            sleep(RETRY_DELAY).await;
            continue;
        };
        let _ = socket.set_nodelay(true);
        spawn_local(read_link(node.clone(), socket));
    }
}

/// Reads messages of a node until its link ends.
async fn read_link<P: Platform>(node: Rc<Node<P>>, socket: TcpStream) {
    let mut link = FramedRead::with_capacity(socket, codec(), LINK_BUFFER);
    let mut from = Name::new();
    loop {
        let Ok(Some(Ok(frame))) = timeout(PEER_RETENTION, link.next()).await else { return };
        let Ok(message) = decode(frame) else {
            node.metrics.count("link_malformed");
            return;
        };
        match message.body {
            Some(Body::Hello(hello)) => from = Name::from(hello.node),
            Some(body) if !from.is_empty() => {
                dispatch(&node, &from, body, Tick::from_millis(message.echo));
            }
            _ => node.metrics.count("link_malformed"),
        }
    }
}

/// Decodes a message, which may be compressed.
fn decode(frame: BytesMut) -> io::Result<Envelope> {
    let message = Envelope::decode(frame)?;
    match &message.body {
        Some(Body::Packed(packed)) => frame::unpack(packed),
        _ => Ok(message),
    }
}

/// Handles a message of another node; `echo` is when the newest heartbeat was sent that it has
/// received.
fn dispatch<P: Platform>(node: &Rc<Node<P>>, from: &Name, body: Body, echo: Tick) {
    match body {
        Body::Hello(_) | Body::Packed(_) => {}
        Body::Heartbeat(heartbeat) => on_heartbeat(node, from, heartbeat, echo),
        Body::Admit(request) => admission::handle_admit(node, from, request),
        Body::Done(done) => admission::handle_done(node, from, &done),
        Body::Check(check) => admission::handle_check(node, from, &check),
        Body::Admitted(admitted) => {
            limits::learn(node, &admitted.limit);
            admission::resolve(node, admitted.number, Ok(admitted.server.into()));
        }
        Body::Rejected(rejected) => {
            let wait = Duration::from_millis(rejected.retry_ms.into());
            admission::resolve(node, rejected.number, Err(wait));
        }
        Body::FetchRequest(fetch) => {
            if let Some(kind) = Kind::from_number(fetch.kind) {
                node.send(from, Body::Snapshot(follow::snapshot(node, kind)));
            }
        }
        Body::Snapshot(snapshot) => follow::adopt_snapshot(node, snapshot),
        // A controller of an earlier version takes refusals for the end of a server; without results
        // it waits for the leases.
        Body::ProbeRequest(_) | Body::ProbeResult(_) => {}
        Body::OwnersChanged(change) => owners::apply_change(node, change),
        Body::HandoversFinished(finished) => owners::apply_handovers(node, finished),
        Body::ServerNotice(notice) => notices::apply_hint(node, notice),
        Body::ObjectsChanged(changed) => follow::apply_forwarded(node, from, changed),
        Body::CrashReport(crash) => crashes::apply_report(node, &crash),
    }
}

/// Fetches a snapshot of a kind from a node that is ahead, unless one was requested just now.
pub fn request_snapshot<P: Platform>(node: &Rc<Node<P>>, from: &Name, kind: Kind) {
    if node.peers.borrow_mut().may_fetch(node.now(), kind) {
        node.send(from, Body::FetchRequest(FetchRequest { kind: kind.number() }));
        node.overtaken.notify_waiters();
    }
}

/// Handles a heartbeat of another node.
fn on_heartbeat<P: Platform>(node: &Rc<Node<P>>, from: &Name, heartbeat: Heartbeat, echo: Tick) {
    let Ok(addr) = heartbeat.addr.parse() else { return };
    add_peer(node, from, addr);
    node.learn_era(heartbeat.era);
    node.learn_era_age(heartbeat.era, Duration::from_millis(heartbeat.era_age_ms));
    let now = node.now();
    let behind = {
        let view = node.view.borrow();
        let mut followed = Kind::REPLICATED.into_iter().filter(|kind| follow::follows(node, *kind));
        followed.find(|kind| heartbeat.position(*kind) > view.position(*kind))
    };
    if let Some(kind) = behind {
        request_snapshot(node, from, kind);
    }
    let mut restarted = false;
    let tell;
    {
        let mut peers = node.peers.borrow_mut();
        let Some(peer) = peers.nodes.get_mut(from) else { return };
        if !peer.is_live(now) {
            peer.untold = Some(now);
            info!(event = "peer_up", peer = from.as_str(); "heartbeat from a node that was not live");
        }
        restarted |=
            peer.heartbeat.incarnation != 0 && peer.heartbeat.incarnation != heartbeat.incarnation;
        if restarted {
            peer.untold = Some(now);
        }
        peer.record_heartbeat(now, &heartbeat, echo);
        tell = peer.untold.take_if(|up| echo > *up && echo <= now).is_some();
    }
    if tell {
        catch_up::tell(node, from, &heartbeat.domain);
    }
    if restarted {
        admission::drop_node(node, from);
    }
    limits::learn(node, &heartbeat.limits);
    let was_silent = node.control.borrow().is_store_silent();
    node.control.borrow_mut().on_heartbeat(now, from, &heartbeat);
    if was_silent && !node.control.borrow().is_store_silent() {
        node.store_returned.notify_waiters();
    }
}

/// Sends heartbeats and detects nodes that have fallen silent. Never returns.
pub async fn run_heartbeats<P: Platform>(node: Rc<Node<P>>) {
    let mut lost: Vec<Name> = Vec::new();
    loop {
        let interval = node.peers.borrow().interval();
        sleep(interval).await;
        let now = node.now();
        reset_after_freeze(&node, now);
        reopen_silent(&node, now);
        send_heartbeats(&node, now);
        let silent: Vec<Name> = {
            let mut peers = node.peers.borrow_mut();
            peers.nodes.retain(|_, peer| now.since(peer.last_heard) < PEER_RETENTION);
            let silent = peers.nodes.iter().filter(|(_, peer)| !peer.is_live(now));
            silent.map(|(name, _)| name.clone()).collect()
        };
        for name in silent.iter().filter(|name| !lost.contains(name)) {
            info!(event = "peer_lost", peer = name.as_str(); "node is not live any more: no heartbeat, or no echo of this node's, within the timeout");
            admission::drop_node(&node, name);
        }
        lost = silent;
    }
}

/// Counts all nodes as heard now if this node was frozen, since the silence was its own.
fn reset_after_freeze<P: Platform>(node: &Rc<Node<P>>, now: Tick) {
    let mut peers = node.peers.borrow_mut();
    let late = now.since(peers.last_heartbeat) > SLOW_HEARTBEAT_INTERVAL + FROZEN_AFTER;
    peers.last_heartbeat = now;
    if late {
        for peer in peers.nodes.values_mut() {
            peer.last_heard = now;
            peer.last_echoed = now;
        }
    }
}

/// Opens new links to nodes that do not receive what this node sends, as far as known. The first new
/// link after an echo is logged: a node that has ended gets some more.
fn reopen_silent<P: Platform>(node: &Rc<Node<P>>, now: Tick) {
    let mut peers = node.peers.borrow_mut();
    for (name, peer) in peers.nodes.iter_mut().filter(|(_, peer)| peer.is_link_silent(now)) {
        let silence = now.since(peer.last_echoed).as_millis() as u64;
        node.metrics.count("link_reopened");
        if peer.link_opened <= peer.last_echoed || peer.is_sending(now) {
            info!(event = "link_reopened", peer = name.as_str(), silence_ms = silence, heard = peer.is_sending(now); "node does not echo this node's heartbeats; opening a new link");
        }
        peer.queue = open_link(node.name().clone(), peer.addr);
        peer.link_opened = now;
    }
}

/// Sends a heartbeat to each node; only the controller gets the measurements.
pub fn send_heartbeats<P: Platform>(node: &Rc<Node<P>>, now: Tick) {
    let heartbeat = {
        let view = node.view.borrow();
        let control = node.control.borrow();
        Heartbeat {
            node: node.name().to_string(),
            domain: node.settings.domain.to_string(),
            addr: node.settings.advertised.to_string(),
            incarnation: node.incarnation,
            leaving: node.leaving.get(),
            store_age_ms: now.since(node.store_contact.get()).as_millis() as u32,
            routes: view.position(Kind::Routes).revision,
            servers: view.position(Kind::Servers).revision,
            owners: view.position(Kind::Owners).revision,
            term: control.term(),
            is_leader: control.is_leader(),
            keys: Vec::new(),
            latencies: Vec::new(),
            interval_ms: node.peers.borrow().interval().as_millis() as u32,
            sent_ms: now.as_millis(),
            store_lost: node.store_lost.get(),
            cpu_share: node.settings.limits.cpu_percent,
            unpacks: true,
            era: node.platform.era(),
            routes_era: view.position(Kind::Routes).era,
            servers_era: view.position(Kind::Servers).era,
            owners_era: view.position(Kind::Owners).era,
            era_age_ms: node.era_age(now).as_millis() as u64,
            relay: node.settings.advertised_relay.to_string(),
            cut_off: node.reach.borrow().is_cut_off().is_some(),
            keeps_limits: true,
            limits: Vec::new(),
            weighs_gates: true,
            evacuations: view.position(Kind::Evacuations).revision,
            evacuations_era: view.position(Kind::Evacuations).era,
            keeps_cold: cold::is_bounded(&node.settings.limits),
        }
    };
    let (keys, latencies) = node.meter.borrow_mut().take();
    let frame = Frame::new(Body::Heartbeat(heartbeat.clone()));
    let measured = Heartbeat { keys, latencies, limits: limits::recent(node), ..heartbeat };
    let controller = node.control.borrow().controller().cloned();
    for (name, peer) in &node.peers.borrow().nodes {
        let frame = match &controller {
            Some(controller) if controller == name => {
                &Frame::new(Body::Heartbeat(measured.clone()))
            }
            _ => &frame,
        };
        let _ = peer.queue.try_send(frame.with_echo(peer.heartbeat.sent_ms));
    }
    if node.control.borrow().is_leader() {
        node.control.borrow_mut().record_measurements(now, &measured);
    }
}
