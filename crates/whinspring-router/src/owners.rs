//! What the controller tells the other nodes of the owners of keys.
//!
//! Changes of owners follow each other by term and revision; a node that has missed one fetches a snapshot.
//! Finished handovers are announced as soon as the new owner has been granted the keys, before the
//! store knows of them, so that no request waits for the write. Both only direct requests: a server
//! rejects requests on keys that it does not hold. In a large cluster they go by way of relays.

use {
    crate::{
        frame::Frame,
        message::{Body, HandoversFinished, OwnersChanged},
        node::Node,
        platform::{Platform, Position},
        record::{HandoverRecord, SpanRecord},
        spread,
    },
    std::rc::Rc,
    whinspring::{
        name::Name,
        ranges::{HandoverKey, Ownership, Span},
    },
};

/// Sends the changed owners of a service to all other nodes.
pub fn publish<P: Platform>(
    node: &Rc<Node<P>>,
    service: &Name,
    before: &(Position, Rc<Ownership>),
    after: &(Position, Rc<Ownership>),
) {
    let change = OwnersChanged {
        service: service.to_string(),
        base: before.0.revision,
        revision: after.0.revision,
        term: after.1.term,
        spans: after.1.changed_since(&before.1).iter().map(SpanRecord::from).collect(),
        relay: false,
        era: after.0.era,
        base_term: before.1.term,
    };
    let relayed = OwnersChanged { relay: true, ..change.clone() };
    send_to_all(node, Body::OwnersChanged(change), Body::OwnersChanged(relayed));
}

/// Applies changed owners, if they follow the revision that this node has, and forwards them if
/// this node is a relay.
pub fn apply_change<P: Platform>(node: &Rc<Node<P>>, mut change: OwnersChanged) {
    if std::mem::take(&mut change.relay) {
        forward(node, Body::OwnersChanged(change.clone()));
    }
    let service = Name::from(change.service);
    let known = node.view.borrow().owners.get(&service).cloned();
    let is_base = |(position, owned): &(Position, Rc<Ownership>)| {
        position.revision == change.base && [0, owned.term].contains(&change.base_term)
    };
    let Some((_, owned)) = known.filter(is_base) else { return };
    let spans: Result<Vec<Span>, _> = change.spans.into_iter().map(Span::try_from).collect();
    let Ok(spans) = spans else { return node.metrics.count("link_malformed") };
    let mut next = (*owned).clone();
    next.term = change.term;
    next.apply(spans);
    let position = Position::new(change.era, change.revision);
    node.view.borrow_mut().apply_owners(service, position, Rc::new(next), node.now());
    node.notify_change();
}

/// Tells all nodes, this one included, that new owners have been granted their keys.
pub fn announce_handovers<P: Platform>(
    node: &Rc<Node<P>>,
    service: &Name,
    handovers: &[HandoverKey],
) {
    let finished = HandoversFinished {
        service: service.to_string(),
        handovers: handovers.iter().map(HandoverRecord::from).collect(),
        relay: false,
    };
    let relayed = HandoversFinished { relay: true, ..finished.clone() };
    let body = Body::HandoversFinished(finished.clone());
    send_to_all(node, body, Body::HandoversFinished(relayed));
    apply_handovers(node, finished);
}

/// Notes finished handovers, and forwards them if this node is a relay.
pub fn apply_handovers<P: Platform>(node: &Rc<Node<P>>, mut finished: HandoversFinished) {
    if std::mem::take(&mut finished.relay) {
        forward(node, Body::HandoversFinished(finished.clone()));
    }
    let handovers: Result<Vec<HandoverKey>, _> =
        finished.handovers.into_iter().map(HandoverKey::try_from).collect();
    let Ok(handovers) = handovers else { return node.metrics.count("link_malformed") };
    node.view.borrow_mut().note_handovers(&Name::from(finished.service), &handovers);
    node.notify_change();
}

/// Sends a message to all other nodes, in a large cluster by way of relays, which get `relayed`.
pub fn send_to_all<P: Platform>(node: &Rc<Node<P>>, body: Body, relayed: Body) {
    let now = node.now();
    let peers = node.peers.borrow();
    let frame = Frame::new(body);
    if !peers.is_large_cluster() {
        return peers.send_all(&frame);
    }
    let found = spread::recipients(&node.settings.domain, peers.recipients(now));
    peers.send_each(&found.direct, &frame);
    peers.send_each(&found.relays, &Frame::new(relayed));
}

/// Sends a message to the other nodes of this node's failure domain.
pub fn forward<P: Platform>(node: &Rc<Node<P>>, body: Body) {
    node.peers.borrow().send_to_domain(&node.settings.domain, &Frame::new(body));
}
