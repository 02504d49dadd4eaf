//! Following of the store: each kind is listed once and then watched.
//!
//! Among many nodes a few in each failure domain watch and tell the others there what has changed;
//! they are drawn by the names of the nodes that are alive, so that nobody has to agree on them.
//! A node that the store does not serve, or that has missed a change, learns the same objects from
//! a node that is ahead.

use {
    crate::{
        message::{Body, Changed, Envelope, Item, Moved, Snapshot},
        node::Node,
        peers::{self, Peer},
        platform::{Changes, Kind, Listing, Object, Platform, StoreError},
        record::{OwnersRecord, SpanWire},
    },
    log::info,
    prost::Message,
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
    whinspring::{
        name::Name,
        ranges::{Ownership, Span},
        rendezvous::rank,
    },
};

/// Longest time that a watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(15);

/// Time in which changes gather before they are asked for again.
const GATHER: Duration = Duration::from_millis(250);

/// Nodes up to which each watches the store itself.
const ALL_WATCH: usize = 24;

/// Nodes in each failure domain that watch the store among more than these.
const WATCHERS: usize = 2;

/// Time after the first listing in which the other nodes become known.
const MEET: Duration = Duration::from_millis(1_000);

/// Time between two looks whether this node is to watch the store.
const WATCH_CHECK: Duration = Duration::from_millis(500);

/// Time between two tries after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Time between two looks at servers that are gone.
const SWEEP: Duration = Duration::from_millis(200);

/// Follows a kind for ever.
pub async fn follow<P: Platform>(node: Rc<Node<P>>, kind: Kind) {
    let mut settle = MEET;
    loop {
        match node.platform.list(kind).await {
            Ok(listing) => {
                node.note_store(true);
                let revision = listing.revision;
                let base = node.beliefs.borrow().upto(kind);
                let changes = replace(&node, kind, listing);
                if base > 0 {
                    tell(&node, kind, base, revision, &changes);
                }
                sleep(std::mem::take(&mut settle)).await;
                watch(&node, kind, revision).await;
            }
            Err(error) => failed(&node, kind, error).await,
        }
    }
}

/// Lists a kind until the store answers.
pub async fn learn<P: Platform>(node: &Rc<Node<P>>, kind: Kind) -> Listing {
    loop {
        match node.platform.list(kind).await {
            Ok(listing) => {
                node.note_store(true);
                return listing;
            }
            Err(error) => failed(node, kind, error).await,
        }
    }
}

/// Watches a kind until its history is gone, or lets others tell of it.
async fn watch<P: Platform>(node: &Rc<Node<P>>, kind: Kind, mut revision: u64) {
    loop {
        if let Some(answered) = watched_by_others(node) {
            node.note_store(answered);
            sleep(WATCH_CHECK).await;
            revision = revision.max(node.beliefs.borrow().upto(kind));
            continue;
        }
        match node.platform.watch(kind, revision, WATCH_WAIT).await {
            Ok(changes) => {
                node.note_store(true);
                revision = revision.max(changes.revision);
                if !changes.events.is_empty() {
                    note(node, kind, changes);
                    sleep(GATHER).await;
                }
            }
            Err(StoreError::Compacted) => {
                info!(event = "history_gone", kind:? = kind, revision; "listing anew");
                return;
            }
            Err(error) => failed(node, kind, error).await,
        }
    }
}

/// Returns, if other nodes watch the store for this one, whether it answers any of them.
fn watched_by_others<P: Platform>(node: &Rc<Node<P>>) -> Option<bool> {
    let peers = node.peers.borrow();
    if peers.nodes.len() < ALL_WATCH {
        return None;
    }
    let near = |peer: &Peer| !peer.beat.leaving && peer.beat.domain == *node.settings.domain;
    let live = peers.live(node.now()).filter(|(_, peer)| near(peer));
    let mut others: Vec<(u64, bool)> =
        live.map(|(name, peer)| (rank(&[name], 0), !peer.beat.cut_off)).collect();
    others.sort_unstable();
    let watchers = others.get(..WATCHERS)?;
    let (last, _) = watchers[WATCHERS - 1];
    let answered = watchers.iter().any(|(_, answered)| *answered);
    (rank(&[node.name()], 0) > last && answered).then_some(answered)
}

/// Takes changes over, and tells them to the nodes of the same failure domain.
fn note<P: Platform>(node: &Rc<Node<P>>, kind: Kind, changes: Changes) {
    let base = node.beliefs.borrow().upto(kind);
    tell(node, kind, base, changes.revision, &changes.events);
    node.beliefs.borrow_mut().change(kind, changes, &node.platform, node.clock);
    node.wake();
}

/// Tells the nodes of the same failure domain what has changed between two revisions, if there are
/// so many nodes that not all of them watch.
fn tell<P: Platform>(
    node: &Rc<Node<P>>,
    kind: Kind,
    base: u64,
    upto: u64,
    changes: &[(Object, bool)],
) {
    let peers = node.peers.borrow();
    if peers.nodes.len() < ALL_WATCH {
        return;
    }
    let item = |(object, gone): &(Object, bool)| Item { gone: *gone, ..Item::from(object) };
    let items = changes.iter().map(item).collect();
    let changed = Changed { kind: kind.number(), base, upto, items };
    peers.send_near(&node.settings.domain, &Envelope::frame(Body::Changed(changed)));
}

/// Takes changes over that a node tells of which watches; asks it for everything if some are
/// missing in between.
pub fn follow_change<P: Platform>(node: &Rc<Node<P>>, from: &Name, changed: Changed) {
    let Some(kind) = Kind::from_number(changed.kind) else { return };
    let known = node.beliefs.borrow().upto(kind);
    if changed.upto <= known {
        return;
    }
    if changed.base > known {
        node.metrics.count("change_missed");
        peers::fetch(node, from, kind);
        return;
    }
    let event = |item: Item| {
        let gone = item.gone;
        (Object::from(item), gone)
    };
    let events = changed.items.into_iter().map(event).collect();
    let changes = Changes { revision: changed.upto, events };
    node.beliefs.borrow_mut().change(kind, changes, &node.platform, node.clock);
    node.wake();
}

/// Notes a failed call and waits.
async fn failed<P: Platform>(node: &Rc<Node<P>>, kind: Kind, error: StoreError) {
    node.note_store(false);
    node.metrics.count("store_failed");
    log::debug!(event = "store_failed", kind:? = kind; "{error}");
    sleep(RETRY_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
}

/// Takes a listing over; returns what has changed by that, `true` for objects that are gone.
pub fn replace<P: Platform>(
    node: &Rc<Node<P>>,
    kind: Kind,
    listing: Listing,
) -> Vec<(Object, bool)> {
    take(node, kind, listing, None)
}

/// Takes a listing over that is claimed to hold at a revision.
fn take<P: Platform>(
    node: &Rc<Node<P>>,
    kind: Kind,
    listing: Listing,
    claim: Option<u64>,
) -> Vec<(Object, bool)> {
    let mut beliefs = node.beliefs.borrow_mut();
    let changes = beliefs.replace(kind, listing, claim, &node.platform, node.clock);
    drop(beliefs);
    node.wake();
    changes
}

/// Takes what another node knows, if it is newer.
pub fn adopt<P: Platform>(node: &Rc<Node<P>>, snapshot: Snapshot) {
    let Some(kind) = Kind::from_number(snapshot.kind) else { return };
    let known = {
        let beliefs = node.beliefs.borrow();
        (beliefs.revision(kind), beliefs.upto(kind))
    };
    if (snapshot.revision, snapshot.upto) <= known || snapshot.upto < known.1 {
        return;
    }
    node.metrics.count("adopted");
    let items = snapshot.items.into_iter().map(Object::from);
    let listing = Listing { revision: snapshot.upto, items: items.collect() };
    take(node, kind, listing, Some(snapshot.revision));
}

/// Tells all other nodes how the owners of a service have changed.
pub fn publish<P: Platform>(
    node: &Rc<Node<P>>,
    service: &Name,
    before: &(u64, Rc<Ownership>),
    after: &(u64, Rc<Ownership>),
) {
    let moved = Moved {
        service: service.to_string(),
        base: before.0,
        revision: after.0,
        term: after.1.term,
        spans: after.1.changed_since(&before.1).iter().map(SpanWire::from).collect(),
    };
    node.send_all(Body::Moved(moved));
}

/// Takes a change of owners over, if it was made to what this node knows.
pub fn follow_move<P: Platform>(node: &Rc<Node<P>>, moved: Moved) {
    let service = Name::from(moved.service);
    let known = node.beliefs.borrow().owners.get(&service).cloned();
    let Some((revision, owned)) = known else { return };
    let spans: Result<Vec<Span>, _> = moved.spans.into_iter().map(Span::try_from).collect();
    let Ok(spans) = spans else { return node.metrics.count("link_malformed") };
    if revision != moved.base {
        return;
    }
    let mut next = (*owned).clone();
    next.term = moved.term;
    next.apply(spans);
    let value = OwnersRecord::from(&next).encode_to_vec();
    let object = Object { name: service, revision: moved.revision, value };
    node.beliefs.borrow_mut().wrote(Kind::Owners, object, &node.platform, node.clock);
    node.wake();
}

/// Forgets servers that are gone, for ever.
pub async fn sweep<P: Platform>(node: Rc<Node<P>>) {
    loop {
        sleep(SWEEP).await;
        let now = node.now();
        let back = if node.store_lost.get() { now } else { node.store_back.get() };
        if node.beliefs.borrow_mut().sweep(now, back) {
            node.wake();
        }
    }
}
