//! What the controller knows of servers: which can own keys, and which are dead for certain.

use {
    super::Controller,
    crate::{
        message::{Body, LookAt, Looked},
        node::Node,
        platform::{Platform, Reply},
    },
    std::{collections::HashSet, io::ErrorKind, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{net::TcpStream, time::timeout},
    whinspring::{
        name::Name,
        ranges::{Instance, balance::Candidate},
        time::Tick,
    },
};

/// Time for which a server must refuse connections to count as dead.
const DEAD_AFTER: Duration = Duration::from_millis(400);

/// The same for a server that was about to leave: it refuses connections before its last work ends.
const LEFT_AFTER: Duration = Duration::from_millis(2_000);

/// Time between two questions to all nodes about a server.
const LOOK_EVERY: Duration = Duration::from_millis(700);

/// Longest time to try a server's address for another node.
const LOOK_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which a server that refuses connections is not used.
const DOWN_FOR: Duration = Duration::from_millis(1_500);

/// Capacity of a server that has just started, relative to a warm one.
const COLD_CAPACITY: f64 = 0.5;

/// Returns the servers of a service that can own keys.
pub(super) fn candidates<P: Platform>(
    node: &Rc<Node<P>>,
    service: &Name,
    now: Tick,
) -> Vec<Candidate> {
    let beliefs = node.beliefs.borrow();
    let control = node.control.borrow();
    let mut found: Vec<Candidate> = beliefs
        .servers
        .values()
        .filter(|server| server.entry.service == *service)
        .map(|server| {
            let life = server.life();
            let slowness = control.slowness.get(&server.name).copied().unwrap_or(1.0);
            let cold = if now < server.warm { COLD_CAPACITY } else { 1.0 };
            let capacity = f64::from(server.entry.slots) * cold / slowness.clamp(0.3, 10.0);
            let down = control.down.get(&life).is_some_and(|(_, at)| now.since(*at) < DOWN_FOR);
            let leaving = server.leaving.is_some() || server.missing.is_some() || down;
            Candidate { instance: life, capacity, leaving }
        })
        .collect();
    found.sort_by(|a, b| a.instance.cmp(&b.instance));
    found
}

/// Returns whether a server refused connections lately.
pub(super) fn is_down<P: Platform>(node: &Rc<Node<P>>, life: &Instance, now: Tick) -> bool {
    let control = node.control.borrow();
    control.down.get(life).is_some_and(|(_, at)| now.since(*at) < DOWN_FOR / 10)
}

/// Returns whether a server is certain to have ended: it has refused connections for some time,
/// most nodes found the same, and none got an answer meanwhile. A server refuses some nodes also
/// when it has too many connections, or when it is cut off from them.
pub(super) fn is_dead<P: Platform>(node: &Rc<Node<P>>, life: &Instance, addr: SocketAddr) -> bool {
    let now = node.now();
    let stays = node
        .beliefs
        .borrow()
        .servers
        .get(&life.server)
        .is_some_and(|server| server.leaving.is_none() && server.missing.is_none());
    let after = if stays { DEAD_AFTER } else { LEFT_AFTER };
    let control = node.control.borrow();
    let Some((since, _)) = control.down.get(life) else { return false };
    let answered = control.answered.get(&life.server).copied().unwrap_or_default();
    let looks = control.looks.get(&addr);
    let alone = node.peers.borrow().live(now).count() + 1;
    let agreed = looks.map_or(0, |look| look.refused.len()) + 1;
    let reached = looks.is_some_and(|look| look.reached);
    now.since(*since) >= after && answered < *since && !reached && agreed * 3 > alone * 2
}

/// Asks all nodes whether a server refuses them too.
pub(super) fn ask_around<P: Platform>(node: &Rc<Node<P>>, addr: SocketAddr) {
    let now = node.now();
    {
        let mut control = node.control.borrow_mut();
        let look = control.looks.entry(addr).or_default();
        if look.asked != Tick::default() && now.since(look.asked) < LOOK_EVERY {
            return;
        }
        *look = Look { asked: now, ..Look::default() };
    }
    node.send_all(Body::Look(LookAt { addr: addr.to_string() }));
}

/// Tries a server's address for another node, and tells it the result.
pub async fn look_at<P: Platform>(node: Rc<Node<P>>, asker: Name, addr: SocketAddr) {
    let refused = match timeout(LOOK_TIMEOUT, TcpStream::connect(addr)).await {
        Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
        Ok(Ok(_)) => false,
        Err(_) => return,
    };
    node.send(&asker, Body::Looked(Looked { addr: addr.to_string(), refused }));
}

/// What other nodes found at a server's address.
#[derive(Debug, Default)]
pub struct Look {
    /// When they were asked.
    asked: Tick,
    /// Nodes that were refused.
    refused: HashSet<Name>,
    /// Whether a node was not refused.
    reached: bool,
}

impl Look {
    /// Takes what a node found.
    pub fn note(&mut self, from: &Name, refused: bool) {
        if refused {
            self.refused.insert(from.clone());
        }
        self.reached |= !refused;
    }
}

impl Controller {
    /// Notes what a server's reply to an order says of the server.
    pub(super) fn note_reply(&mut self, life: &Instance, reply: &Reply, sent: Tick) {
        match reply {
            Reply::Down | Reply::Replaced => {
                let known = self.down.entry(life.clone()).or_insert((sent, sent));
                let lapsed = sent.since(known.1) > DOWN_FOR;
                *known = (if lapsed { sent } else { known.0 }, sent);
            }
            Reply::Done(_) | Reply::Fenced => {
                self.down.remove(life);
            }
            Reply::Unsent | Reply::Silent => {}
        }
    }
}

/// Returns the present life of a server that has started again under the name of a life.
pub(super) fn reborn<P: Platform>(node: &Rc<Node<P>>, life: &Instance) -> Option<Instance> {
    let beliefs = node.beliefs.borrow();
    let server = beliefs.servers.get(&life.server)?;
    (server.entry.born != life.start_ms).then(|| server.life())
}

/// Returns whether a life of a server has ended: it has started again since, or another server
/// has got its address.
pub(super) fn is_over<P: Platform>(node: &Rc<Node<P>>, life: &Instance) -> bool {
    if reborn(node, life).is_some() {
        return true;
    }
    let beliefs = node.beliefs.borrow();
    let own = beliefs.servers.get(&life.server);
    let control = node.control.borrow();
    let known = own.map(|server| server.entry.addr);
    let Some(addr) = known.or_else(|| control.addresses.get(life).copied()) else { return false };
    let since = own.map(|server| server.since).unwrap_or_default();
    let mut others = beliefs.servers.values().filter(|server| server.name != life.server);
    others.any(|server| server.entry.addr == addr && server.since > since)
}

/// Returns the address of a life of a server, also if its entry is gone.
pub(super) fn address<P: Platform>(node: &Rc<Node<P>>, life: &Instance) -> Option<SocketAddr> {
    let beliefs = node.beliefs.borrow();
    let mut control = node.control.borrow_mut();
    match beliefs.servers.get(&life.server) {
        Some(server) if server.entry.born == life.start_ms => {
            control.addresses.insert(life.clone(), server.entry.addr);
            Some(server.entry.addr)
        }
        Some(_) => None,
        None => control.addresses.get(life).copied(),
    }
}
