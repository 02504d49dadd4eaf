//! Following of the store: each kind is listed once and then watched.
//!
//! A node that the store does not serve, or whose watch has fallen silent, learns the same objects
//! from a node that knows a higher revision.

use {
    crate::{
        message::{Body, Moved, OwnersRecord, Snapshot, SpanWire},
        node::Node,
        platform::{Kind, Listing, Object, Platform, StoreError},
    },
    log::info,
    prost::Message,
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
    whinspring::{
        name::Name,
        ranges::{Ownership, Span},
    },
};

/// Longest time that a watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_secs(15);

/// Time in which changes gather before they are asked for again.
const GATHER: Duration = Duration::from_millis(250);

/// Time between two tries after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Time between two looks at servers that are gone.
const SWEEP: Duration = Duration::from_millis(200);

/// Follows a kind for ever.
pub async fn follow<P: Platform>(node: Rc<Node<P>>, kind: Kind) {
    loop {
        match node.platform.list(kind).await {
            Ok(listing) => {
                node.note_store(true);
                let revision = listing.revision;
                replace(&node, kind, listing);
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

/// Watches a kind until its history is gone.
async fn watch<P: Platform>(node: &Rc<Node<P>>, kind: Kind, mut revision: u64) {
    loop {
        match node.platform.watch(kind, revision, WATCH_WAIT).await {
            Ok(changes) => {
                node.note_store(true);
                revision = revision.max(changes.revision);
                if !changes.events.is_empty() {
                    let dialect = &node.platform;
                    node.beliefs.borrow_mut().change(kind, changes, dialect, node.clock);
                    node.wake();
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

/// Notes a failed call and waits.
async fn failed<P: Platform>(node: &Rc<Node<P>>, kind: Kind, error: StoreError) {
    node.note_store(false);
    node.metrics.count("store_failed");
    log::debug!(event = "store_failed", kind:? = kind; "{error}");
    sleep(RETRY_PAUSE.mul_f64(0.5 + fastrand::f64())).await;
}

/// Takes a listing over.
pub fn replace<P: Platform>(node: &Rc<Node<P>>, kind: Kind, listing: Listing) {
    take(node, kind, listing, None);
}

/// Takes a listing over that is claimed to hold at a revision.
fn take<P: Platform>(node: &Rc<Node<P>>, kind: Kind, listing: Listing, claim: Option<u64>) {
    node.beliefs.borrow_mut().replace(kind, listing, claim, &node.platform, node.clock);
    node.wake();
}

/// Takes what another node knows, if it is newer.
pub fn adopt<P: Platform>(node: &Rc<Node<P>>, snapshot: Snapshot) {
    let Some(kind) = Kind::from_number(snapshot.kind) else { return };
    if snapshot.revision <= node.beliefs.borrow().revision(kind) {
        return;
    }
    node.metrics.count("adopted");
    let items = snapshot.items.into_iter().map(|item| Object {
        name: Name::from(item.name),
        revision: item.revision,
        value: item.value,
    });
    let listing = Listing { revision: snapshot.revision, items: items.collect() };
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
        spans: after.1.changed(&before.1).iter().map(SpanWire::from).collect(),
    };
    let names: Vec<Name> = node.peers.borrow().nodes.keys().cloned().collect();
    for name in names {
        node.send(&name, Body::Moved(moved.clone()));
    }
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
