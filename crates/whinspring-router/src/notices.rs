//! What servers say of themselves, as this node hears it: in the store, in their responses, and from
//! other nodes. [`whinspring::notices`] decides what follows from it.

use {
    crate::{
        cluster::ClusterState,
        evacuations,
        message::{Body, ServerNotice},
        node::Node,
        owners,
        platform::{Answer, Platform, Reply, Word},
        reach,
    },
    log::info,
    std::{net::SocketAddr, rc::Rc, time::Duration},
    whinspring::{
        name::Name,
        notices::{Life, Purpose, Refusal, Source, Wait},
        ranges::Instance,
        time::Tick,
    },
};

/// Time before the end of a server's drain at which it gets its last request.
const DRAIN_MARGIN: Duration = Duration::from_millis(700);

/// The same in a large cluster, where most nodes hear of a server's notice from a watcher, over a
/// link that carries hundreds of other changes.
const RELAYED_DRAIN_MARGIN: Duration = Duration::from_millis(1_300);

/// Checks whether a request may go to a server at `now`, as far as this node knows.
pub fn check<P: Platform>(
    node: &Rc<Node<P>>,
    server: &Name,
    purpose: Purpose,
    now: Tick,
) -> Result<(), Refusal> {
    Usable::of(node).check(&node.view.borrow(), server, purpose, now)
}

/// Times for which servers get requests that leave, or whose failure domain is evacuated.
#[derive(Debug, Clone, Copy)]
pub struct Usable {
    drain: Duration,
    evacuation: Duration,
}

impl Usable {
    pub fn of<P: Platform>(node: &Rc<Node<P>>) -> Self {
        Self { drain: usable_drain(node), evacuation: evacuations::usable_time(node) }
    }

    /// Checks whether a request may go to a server at `now`, as far as the view knows.
    pub fn check(
        self,
        view: &ClusterState,
        server: &Name,
        purpose: Purpose,
        now: Tick,
    ) -> Result<(), Refusal> {
        evacuations::check(view, server, purpose, now, self.evacuation)?;
        view.notices.check(server, purpose, now, self.drain)
    }
}

/// Returns the time for which a leaving server gets requests.
pub fn usable_drain<P: Platform>(node: &Rc<Node<P>>) -> Duration {
    let drain = Duration::from_millis(node.settings.limits.drain_ms.into());
    drain.saturating_sub(drain_margin(node))
}

/// Returns the time before the end of a drain or of an evacuation at which a server gets its last
/// request.
pub fn drain_margin<P: Platform>(node: &Rc<Node<P>>) -> Duration {
    let is_large = node.peers.borrow().is_large_cluster();
    if is_large { RELAYED_DRAIN_MARGIN } else { DRAIN_MARGIN }
}

/// Records what a server has said in a response of its own. The first node that hears that a server
/// leaves tells the others.
pub fn hear<P: Platform>(
    node: &Rc<Node<P>>,
    server: &Name,
    life: Life,
    word: Word,
    source: Source,
) {
    if word.leaving && record_leaving(node, server, life, node.now(), source) {
        announce(node, server, life);
    }
    if let Some(wait) = word.wait {
        record_pause(node, server, life, wait, source);
    }
}

/// Records what a server has said in its response to a grant or a release; returns the result of the
/// command. A pause holds back requests only: grants go on, or the server would lose its keys.
pub fn hear_answer<P: Platform>(
    node: &Rc<Node<P>>,
    instance: &Instance,
    addr: SocketAddr,
    answer: Answer,
) -> Reply {
    let life = Life { start_ms: instance.start_ms, addr };
    hear(node, &instance.server, life, answer.word, Source::Command);
    reach::record_reply(node, &instance.server, &answer.reply);
    answer.reply
}

/// Records that a server wants nothing from this node for some time.
fn record_pause<P: Platform>(
    node: &Rc<Node<P>>,
    server: &Name,
    life: Life,
    wait: Wait,
    source: Source,
) {
    let now = node.now();
    let time_ms = wait.time.as_millis() as u64;
    if !wait.exact {
        node.metrics.count("bad_retry_after");
        info!(event = "bad_retry_after", server = server.as_str(), source = source.text(), wait_ms = time_ms; "server gave a time to come back that is unreadable or too long; using another");
    }
    if node.view.borrow_mut().notices.record_pause(server, life, now, wait.time, source) {
        info!(event = "server_paused", server = server.as_str(), source = source.text(), wait_ms = time_ms; "server wants nothing from this node for a while");
        node.paused.notify_waiters();
    }
}

/// Waits until a server wants nothing from this node, or its failure domain is evacuated and may get
/// no more; returns why.
pub async fn until_paused<P: Platform>(node: &Rc<Node<P>>, server: &Name) -> Refusal {
    loop {
        let paused = node.paused.notified();
        if let Err(refusal) = check(node, server, Purpose::Write, node.now())
            && (refusal != Refusal::Left || evacuations::is_evacuated(node, server))
        {
            return refusal;
        }
        paused.await;
    }
}

/// Starts a request of this node on a server, unless the server is not to get it now.
pub fn start<P: Platform>(node: &Rc<Node<P>>, server: &Name) -> Result<(), Refusal> {
    let now = node.now();
    check(node, server, Purpose::Start, now)?;
    node.view.borrow_mut().notices.record_start(server, now);
    Ok(())
}

/// Returns the servers that want nothing from this node now.
pub fn paused<P: Platform>(node: &Rc<Node<P>>) -> Vec<Name> {
    let view = node.view.borrow();
    view.notices.paused(node.now()).into_iter().cloned().collect()
}

/// Checks whether a request without a key may start on any server of a service, other than the
/// excluded ones; returns what the first one says that may be used again otherwise.
pub fn check_service<P: Platform>(
    node: &Rc<Node<P>>,
    service: &Name,
    exclude: &[Name],
) -> Result<(), Refusal> {
    let now = node.now();
    let usable = Usable::of(node);
    let view = node.view.borrow();
    let mut found = Refusal::Left;
    for server in view.servers.values().filter(|server| server.entry.service == *service) {
        if usable.check(&view, &server.name, Purpose::Place, now).is_err() {
            continue;
        }
        match usable.check(&view, &server.name, Purpose::Start, now) {
            Ok(()) if exclude.contains(&server.name) => {}
            Ok(()) => return Ok(()),
            Err(refusal) if found.wait().is_none_or(|wait| refusal.wait() < Some(wait)) => {
                found = refusal;
            }
            Err(_) => {}
        }
    }
    Err(found)
}

/// Tells the node of a gate that a server has left, as it went on assigning it.
pub fn correct_gate<P: Platform>(node: &Rc<Node<P>>, gate_node: &Name, server: &Name) {
    for notice in known(node, |name| name == server) {
        node.send(gate_node, Body::ServerNotice(notice));
    }
}

/// Returns what this node knows of servers that leave, for other nodes.
pub fn known<P: Platform>(
    node: &Rc<Node<P>>,
    is_included: impl Fn(&Name) -> bool,
) -> Vec<ServerNotice> {
    let now = node.now();
    let view = node.view.borrow();
    let leaving = view.notices.leaving().filter(|(name, ..)| is_included(name));
    let notice = |(name, life, since): (&Name, Life, Tick)| {
        let Life { start_ms, addr } = life;
        let (server, addr) = (name.to_string(), addr.to_string());
        ServerNotice { server, start_ms, addr, age_ms: age_ms(now, since), relay: false }
    };
    leaving.map(notice).collect()
}

/// Returns the age of a notice as told to other nodes; the highest number if it is unknown.
pub fn age_ms(now: Tick, since: Tick) -> u32 {
    match since == Tick::default() {
        true => u32::MAX,
        false => now.since(since).as_millis() as u32,
    }
}

/// Records that a server leaves. Returns whether the node counts from this notice.
fn record_leaving<P: Platform>(
    node: &Rc<Node<P>>,
    server: &Name,
    life: Life,
    since: Tick,
    source: Source,
) -> bool {
    let counts = node.view.borrow_mut().notices.record_leaving(server, life, since, source);
    if counts {
        let age = node.now().since(since).as_millis() as u64;
        info!(event = "server_leaving", server = server.as_str(), source = source.text(), age_ms = age; "server announced that it leaves");
        node.notify_change();
    }
    counts
}

/// Tells all other nodes that a server leaves, so that gates stop placing requests there and the
/// controller moves its keys before the store says so.
fn announce<P: Platform>(node: &Rc<Node<P>>, server: &Name, life: Life) {
    let Life { start_ms, addr } = life;
    let (server, addr) = (server.to_string(), addr.to_string());
    let notice = ServerNotice { server, start_ms, addr, age_ms: 0, relay: false };
    let relayed = ServerNotice { relay: true, ..notice.clone() };
    owners::send_to_all(node, Body::ServerNotice(notice), Body::ServerNotice(relayed));
}

/// Records what another node has heard of a server, and forwards it if this node is a relay.
pub fn apply_hint<P: Platform>(node: &Rc<Node<P>>, mut notice: ServerNotice) {
    if std::mem::take(&mut notice.relay) {
        owners::forward(node, Body::ServerNotice(notice.clone()));
    }
    let Ok(addr) = notice.addr.parse() else { return node.metrics.count("link_malformed") };
    let life = Life { start_ms: notice.start_ms, addr };
    let since = node.now() - Duration::from_millis(notice.age_ms.into());
    record_leaving(node, &Name::from(notice.server), life, since, Source::Peer);
}

/// Records what another node knows of servers that leave.
pub fn apply_known<P: Platform>(node: &Rc<Node<P>>, notices: Vec<ServerNotice>) {
    notices.into_iter().for_each(|notice| apply_hint(node, notice));
}

/// Counts the notices since the last call by source.
pub fn count<P: Platform>(node: &Rc<Node<P>>) {
    let counts = node.view.borrow_mut().notices.take_counts();
    for (source, count) in counts {
        node.metrics.add(event_of(source), count);
    }
}

const fn event_of(source: Source) -> &'static str {
    match source {
        Source::Store => "notice_store",
        Source::Response => "notice_response",
        Source::Command => "notice_command",
        Source::Peer => "notice_peer",
    }
}
