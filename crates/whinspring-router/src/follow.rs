//! Replication of the store's objects: each kind is listed once and then watched.
//!
//! In a large cluster only a few nodes of each failure domain watch the store and forward changes
//! to the others there. They are the live nodes with the most CPU, and among equals those that rank
//! first by a hash of their names, which needs no agreement. A node that cannot reach the store, or
//! that has missed a change, fetches a snapshot from a node that is ahead.

use {
    crate::{
        catch_up, cold, crashes, evacuations,
        frame::Frame,
        message::{Body, Item, ObjectsChanged, ServerNotice, Snapshot},
        node::Node,
        notices,
        peers::{self, Peer},
        platform::{Changes, Kind, Listing, Object, Platform, Position, StoreError},
        spread,
    },
    log::{info, warn},
    std::{collections::HashSet, rc::Rc, time::Duration},
    tokio::time::sleep,
    whinspring::{name::Name, time::Tick},
};

const WATCH_TIMEOUT: Duration = Duration::from_secs(15);

/// The same at the controller. A watch that begins in a short silence of the store hangs at all nodes
/// at once; this one ends, so that heartbeats show the others that they are behind.
const LEADER_WATCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a watch while the store may not respond. A watch that begins while the store is
/// silent gets no response after that either.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which a watch is not replaced though another node is ahead: the store may be slow.
const MIN_WATCH_TIME: Duration = Duration::from_millis(2_000);

/// Time between two watches in which changes are batched.
const BATCH_DELAY: Duration = Duration::from_millis(250);

/// Nodes in each failure domain that watch the store in a larger cluster.
const WATCHERS_PER_DOMAIN: usize = 2;

/// Delay of the first watch, in which the other nodes become known.
const DISCOVERY_DELAY: Duration = Duration::from_millis(1_000);

/// Time between two checks whether this node has to watch the store.
const WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(500);

const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Longest time between two calls to a store that does not respond, of a node that has others to watch
/// it: while hundreds of nodes call in vain, only the answers to a few of them tell anything.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_600);

/// The same at a node that watches the store, for kinds other than the one that it probes with.
const MAX_WATCHER_DELAY: Duration = Duration::from_millis(800);

/// Time between two checks for servers that are gone.
const SWEEP_INTERVAL: Duration = Duration::from_millis(200);

/// Lists and watches a kind. Never returns.
pub async fn run<P: Platform>(node: Rc<Node<P>>, kind: Kind) {
    let mut delay = DISCOVERY_DELAY;
    let mut failures = 0;
    loop {
        let asked = node.now();
        match node.platform.list(kind).await {
            Ok(listing) => {
                failures = 0;
                node.set_store_reachable(true);
                let position = listing.position;
                let base = node.view.borrow().synced(kind);
                let changes = apply_listing(&node, kind, listing);
                node.view.borrow_mut().confirm(kind, asked);
                if base != Position::default() {
                    let message = changed_message(&node, kind, base, position, &changes);
                    forward_changes(&node, message);
                }
                sleep(std::mem::take(&mut delay)).await;
                watch(&node, kind, position).await;
            }
            Err(error) => {
                back_off(&node, kind, error, failures).await;
                failures += 1;
            }
        }
    }
}

pub async fn list_with_retry<P: Platform>(node: &Rc<Node<P>>, kind: Kind) -> Listing {
    let mut failures = 0;
    loop {
        match node.platform.list(kind).await {
            Ok(listing) => {
                node.set_store_reachable(true);
                return listing;
            }
            Err(error) => {
                back_off(node, kind, error, failures).await;
                failures += 1;
            }
        }
    }
}

/// Watches a kind, or relies on other nodes to forward its changes, until the store has compacted
/// the history that a watch needs, or has come back in a new era.
async fn watch<P: Platform>(node: &Rc<Node<P>>, kind: Kind, mut position: Position) {
    let mut interrupted = false;
    let mut failures = 0;
    loop {
        if let Some(heard) = last_delegated(node, kind) {
            node.set_store_reachable(true);
            node.view.borrow_mut().confirm(kind, heard);
            sleep(WATCH_CHECK_INTERVAL).await;
            position = position.max(node.view.borrow().synced(kind));
            continue;
        }
        if position.era != node.platform.era() {
            return;
        }
        let wait = if interrupted { PROBE_TIMEOUT } else { watch_timeout(node, kind) };
        let gap = node.now().since(node.view.borrow().confirmed(kind));
        let outcome = tokio::select! {
            outcome = node.platform.watch(kind, position, wait) => outcome,
            () = node.era_ended.notified() => return,
            () = node.store_returned.notified() => {
                interrupted = true;
                continue;
            }
            () = until_overtaken(node, kind) => {
                info!(event = "watch_replaced", kind:? = kind, revision:% = position; "another node has a change that this node's watch did not bring; watching anew");
                interrupted = true;
                continue;
            }
        };
        interrupted = false;
        match outcome {
            Ok(changes) => {
                failures = 0;
                node.set_store_reachable(true);
                position = position.max(changes.position);
                let now = node.now();
                let is_empty = changes.events.is_empty();
                if !is_empty {
                    let since = now - gap.saturating_sub(BATCH_DELAY);
                    apply_changes(node, kind, changes.latest(), since);
                }
                node.view.borrow_mut().confirm(kind, now);
                if !is_empty {
                    sleep(BATCH_DELAY).await;
                }
            }
            Err(StoreError::Compacted) => {
                info!(event = "history_gone", kind:? = kind, revision:% = position; "the store has compacted the history; listing again");
                return;
            }
            Err(StoreError::EraEnded) => return node.check_era(),
            Err(error) => {
                back_off(node, kind, error, failures).await;
                failures += 1;
            }
        }
    }
}

/// Waits until a watch that begins now seems to hang: another node has learned of a change.
async fn until_overtaken<P: Platform>(node: &Rc<Node<P>>, kind: Kind) {
    sleep(MIN_WATCH_TIME).await;
    loop {
        node.overtaken.notified().await;
        let known = node.view.borrow().position(kind);
        if node.peers.borrow().is_ahead(node.now(), kind, known) {
            return;
        }
    }
}

/// Returns for how long to watch: a short time if this node has to find out when the store responds
/// again.
fn watch_timeout<P: Platform>(node: &Rc<Node<P>>, kind: Kind) -> Duration {
    let is_leader = node.control.borrow().is_leader();
    let is_watcher = is_leader || near_watchers(node, kind).is_none_or(|near| near.includes_self);
    match node.store_lost.get() {
        true if is_watcher => PROBE_TIMEOUT,
        _ if is_leader => LEADER_WATCH_TIMEOUT,
        _ => WATCH_TIMEOUT,
    }
}

/// Returns when another node was last heard that watches the store for this node and can reach it;
/// `None` if there is none. The controller watches it in any case.
fn last_delegated<P: Platform>(node: &Rc<Node<P>>, kind: Kind) -> Option<Tick> {
    if node.control.borrow().is_leader() {
        return None;
    }
    near_watchers(node, kind).filter(|near| !near.includes_self)?.heard
}

/// The nodes that watch the store for one failure domain.
struct Watchers {
    /// Whether this node ranks among them.
    includes_self: bool,
    /// When another of them was last heard that the store responds to, if there is one.
    heard: Option<Tick>,
}

/// Returns the nodes that watch a kind for the failure domain of this node, or `None` if each node has
/// to watch it itself. Nodes of earlier versions watch no evacuations.
fn near_watchers<P: Platform>(node: &Rc<Node<P>>, kind: Kind) -> Option<Watchers> {
    let peers = node.peers.borrow();
    if !peers.is_large_cluster() {
        return None;
    }
    let is_near =
        |peer: &Peer| !peer.heartbeat.leaving && peer.heartbeat.domain == *node.settings.domain;
    let is_watcher = |peer: &Peer| {
        kind != Kind::Evacuations || peer.heartbeat.position(kind) != Position::default()
    };
    let live = peers.live(node.now()).filter(|(_, peer)| is_near(peer) && is_watcher(peer));
    let order = |name, peer: &Peer| spread::order(name, peer.heartbeat.cpu_share);
    let mut others: Vec<_> =
        live.map(|(name, peer)| (order(name, peer), last_reached(peer))).collect();
    others.sort_unstable();
    let watchers = others.get(..WATCHERS_PER_DOMAIN)?;
    let (last, _) = watchers[WATCHERS_PER_DOMAIN - 1];
    let own = spread::order(node.name(), node.settings.limits.cpu_percent);
    Some(Watchers {
        includes_self: own <= last,
        heard: watchers.iter().filter_map(|(_, heard)| *heard).max(),
    })
}

/// Returns when a node was last heard if the store responds to it.
fn last_reached(peer: &Peer) -> Option<Tick> {
    (!peer.heartbeat.store_lost).then_some(peer.last_heard)
}

/// Applies changes that happened after `since`, and forwards them to the nodes of the same failure
/// domain.
fn apply_changes<P: Platform>(node: &Rc<Node<P>>, kind: Kind, changes: Changes, since: Tick) {
    let base = node.view.borrow().synced(kind);
    let message = changed_message(node, kind, base, changes.position, &changes.events);
    let mut view = node.view.borrow_mut();
    view.apply_changes_since(kind, changes, since, &node.platform, node.clock);
    drop(view);
    forward_changes(node, message);
    node.notify_change();
}

/// Returns the message that forwards the changes between two positions to the nodes of the same
/// failure domain, if the cluster is so large that not every node watches the store.
fn changed_message<P: Platform>(
    node: &Rc<Node<P>>,
    kind: Kind,
    base: Position,
    synced: Position,
    changes: &[(Object, bool)],
) -> Option<ObjectsChanged> {
    if !node.peers.borrow().is_large_cluster() {
        return None;
    }
    let item = |(object, gone): &(Object, bool)| Item { gone: *gone, ..Item::from(object) };
    Some(ObjectsChanged {
        kind: kind.number(),
        base: if base.era == synced.era { base.revision } else { u64::MAX },
        synced_revision: synced.revision,
        items: changes.iter().map(item).collect(),
        era: synced.era,
        notices: Vec::new(),
    })
}

/// Forwards changes that this node has applied, with the age of the notices among them.
fn forward_changes<P: Platform>(node: &Rc<Node<P>>, message: Option<ObjectsChanged>) {
    let Some(mut message) = message else { return };
    if message.kind == Kind::Servers.number() {
        let names: HashSet<&str> = message.items.iter().map(|item| item.name.as_str()).collect();
        message.notices = notices::known(node, |name| names.contains(name.as_str()));
    } else if message.kind == Kind::Evacuations.number() {
        message.notices = evacuations::ages(node);
    }
    let frame = Frame::new(Body::ObjectsChanged(message));
    node.peers.borrow().send_to_domain(&node.settings.domain, &frame);
}

/// Applies changes that a watching node forwards. Fetches a snapshot from it if there is a gap.
pub fn apply_forwarded<P: Platform>(node: &Rc<Node<P>>, from: &Name, changed: ObjectsChanged) {
    let kind = Kind::from_number(changed.kind).filter(|kind| follows(node, *kind));
    let Some(kind) = kind else { return };
    node.learn_era(changed.era);
    let known = node.view.borrow().synced(kind);
    let position = Position::new(changed.era, changed.synced_revision);
    if position <= known {
        return;
    }
    if Position::new(changed.era, changed.base) > known {
        node.metrics.count("change_missed");
        peers::request_snapshot(node, from, kind);
        return;
    }
    let event = |item: Item| {
        let gone = item.gone;
        (Object::from((item, changed.era)), gone)
    };
    let events = changed.items.into_iter().map(event).collect();
    let changes = Changes { position, events };
    node.view.borrow_mut().apply_changes(kind, changes, &node.platform, node.clock);
    apply_ages(node, kind, changed.notices);
    node.notify_change();
}

/// Returns all objects of a kind, and the servers that leave, to send to another node.
pub fn snapshot<P: Platform>(node: &Rc<Node<P>>, kind: Kind) -> Snapshot {
    let snapshot = node.view.borrow().snapshot(kind);
    match kind {
        Kind::Servers => Snapshot { notices: notices::known(node, |_| true), ..snapshot },
        Kind::Evacuations => Snapshot { notices: evacuations::ages(node), ..snapshot },
        _ => snapshot,
    }
}

/// Records a failed call and waits before the next attempt, or until the store is known to respond
/// again; `failures` calls have failed before this one.
async fn back_off<P: Platform>(node: &Rc<Node<P>>, kind: Kind, error: StoreError, failures: u32) {
    let returned = node.store_returned.notified();
    node.set_store_reachable(error == StoreError::EraEnded);
    node.metrics.count("store_failed");
    log::debug!(event = "store_failed", kind:? = kind; "{error}");
    let delay = retry_delay(node, kind, failures).mul_f64(0.5 + fastrand::f64());
    tokio::select! {
        () = sleep(delay) => {}
        () = returned => sleep(RETRY_DELAY.mul_f64(fastrand::f64() / 2.0)).await,
    }
}

/// Returns the mean time between two calls to a store that does not respond. In a large cluster it
/// grows, except at the nodes that find out for the others when the store responds again.
fn retry_delay<P: Platform>(node: &Rc<Node<P>>, kind: Kind, failures: u32) -> Duration {
    let is_leader = node.control.borrow().is_leader();
    let most = match near_watchers(node, kind) {
        None => RETRY_DELAY,
        Some(near) if !is_leader && !near.includes_self => MAX_RETRY_DELAY,
        Some(_) if kind == Kind::Servers => RETRY_DELAY,
        Some(_) => MAX_WATCHER_DELAY,
    };
    (RETRY_DELAY * (1 << failures.min(8))).min(most)
}

/// Applies a listing. Returns the changes, with `true` for objects that are gone.
pub fn apply_listing<P: Platform>(
    node: &Rc<Node<P>>,
    kind: Kind,
    listing: Listing,
) -> Vec<(Object, bool)> {
    apply_listing_at(node, kind, listing, None)
}

/// Applies a listing; `claimed` is the position of its last change, if another node sent it.
fn apply_listing_at<P: Platform>(
    node: &Rc<Node<P>>,
    kind: Kind,
    listing: Listing,
    claimed: Option<Position>,
) -> Vec<(Object, bool)> {
    node.learn_era(listing.position.era);
    log_loss(node, kind, &listing);
    let mut view = node.view.borrow_mut();
    let changes = view.apply_listing(kind, listing, claimed, &node.platform, node.clock);
    drop(view);
    node.notify_change();
    changes
}

/// Logs what the store has lost, if a listing is the first one of a new era.
fn log_loss<P: Platform>(node: &Rc<Node<P>>, kind: Kind, listing: &Listing) {
    let Some(loss) = node.view.borrow().loss(kind, listing) else { return };
    node.metrics.count("history_lost");
    warn!(event = "history_lost", kind:? = kind, before:% = loss.before, revision:% = listing.position, gone = loss.gone, reverted = loss.reverted; "the store has come back from an older copy; promises that were kept stand");
}

/// Applies a snapshot of another node, if it is newer than what this node has. Newer owners and
/// notices of servers that leave are kept whatever the store has.
pub fn adopt_snapshot<P: Platform>(node: &Rc<Node<P>>, mut snapshot: Snapshot) {
    catch_up::apply_crashes(node, std::mem::take(&mut snapshot.crashes));
    let kind = Kind::from_number(snapshot.kind).filter(|kind| follows(node, *kind));
    let Some(kind) = kind else { return };
    let notices = std::mem::take(&mut snapshot.notices);
    adopt_objects(node, kind, snapshot);
    apply_ages(node, kind, notices);
}

/// Applies what another node tells of the age of notices or of evacuations.
fn apply_ages<P: Platform>(node: &Rc<Node<P>>, kind: Kind, notices: Vec<ServerNotice>) {
    match kind {
        Kind::Evacuations => evacuations::apply_ages(node, &notices),
        _ => notices::apply_known(node, notices),
    }
}

/// Returns whether this node keeps a copy of a kind.
pub fn follows<P: Platform>(node: &Rc<Node<P>>, kind: Kind) -> bool {
    kind != Kind::Evacuations || node.settings.limits.evacuate_ms.is_some()
}

fn adopt_objects<P: Platform>(node: &Rc<Node<P>>, kind: Kind, snapshot: Snapshot) {
    if kind == Kind::Owners {
        node.view.borrow_mut().learn_snapshot(&snapshot, node.now());
    }
    let known = {
        let view = node.view.borrow();
        (view.position(kind), view.synced(kind))
    };
    let claimed = Position::new(snapshot.era, snapshot.revision);
    let synced = Position::new(snapshot.era, snapshot.synced_revision);
    if (claimed, synced) <= known || synced < known.1 {
        return;
    }
    node.metrics.count("adopted");
    let items = snapshot.items.into_iter().map(|item| Object::from((item, snapshot.era)));
    let listing = Listing { position: synced, items: items.collect() };
    apply_listing_at(node, kind, listing, Some(claimed));
}

/// Counts the objects that could not be read, and the entries of servers that are malformed.
fn count_malformed<P: Platform>(node: &Rc<Node<P>>) {
    let mut view = node.view.borrow_mut();
    let counts = [
        ("unreadable_object", node.platform.take_unreadable()),
        ("bad_entry", view.malformed.take_count()),
    ];
    for (event, count) in counts.into_iter().filter(|(_, count)| *count > 0) {
        node.metrics.add(event, count);
    }
    node.metrics.malformed.set(view.malformed.number() as i64);
}

/// Removes servers that are gone. Never returns.
pub async fn sweep<P: Platform>(node: Rc<Node<P>>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        notices::count(&node);
        count_malformed(&node);
        cold::sweep(&node);
        crashes::sweep(&node);
        node.metrics.buffered.set(node.buffers.used() as i64);
        node.metrics.stalled.set(node.stalls.waiting() as i64);
        let now = node.now();
        node.detours.borrow_mut().sweep(node.now());
        node.relays.borrow_mut().sweep(&node.peers.borrow());
        let back = if node.store_lost.get() { now } else { node.store_recovered.get() };
        if node.view.borrow_mut().sweep(now, back, node.clock) {
            node.notify_change();
        }
        if !node.view.borrow().evacuations.is_empty() {
            node.paused.notify_waiters();
        }
    }
}
