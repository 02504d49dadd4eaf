//! What a node that has come up is told by others, as the store does not have it.
//!
//! A node that has started, or was not heard for a while, has missed what the others heard of servers
//! and requests: which servers leave, and which requests crash the servers that run them. It is told
//! once, as soon as it echoes a heartbeat, by the nodes that [`spread::tells`] names. What it is told
//! is what the others know, with the time that is left of it, so that it makes no difference how many
//! of them tell it.

use {
    crate::{
        crashes::Crash,
        message::{Body, CrashRecord, Snapshot},
        node::Node,
        notices,
        platform::{Kind, Platform},
        spread::{self, Member},
    },
    log::info,
    std::{rc::Rc, time::Duration},
    whinspring::name::Name,
};

/// Tells a node of a failure domain that has come up what it may have missed, if this node is to do so.
pub fn tell<P: Platform>(node: &Rc<Node<P>>, to: &Name, domain: &str) {
    if !is_teller(node, Member { name: to, domain }) {
        return;
    }
    let notices = notices::known(node, |_| true);
    let crashes = known_crashes(node);
    if notices.is_empty() && crashes.is_empty() {
        return;
    }
    info!(event = "peer_told", peer = to.as_str(), notices = notices.len(), crashes = crashes.len(); "told a node that has come up what it may have missed");
    let kind = Kind::Servers.number();
    node.send(to, Body::Snapshot(Snapshot { kind, notices, crashes, ..Snapshot::default() }));
}

/// Records what another node knows of requests that crashed servers.
pub fn apply_crashes<P: Platform>(node: &Rc<Node<P>>, told: Vec<CrashRecord>) {
    let now = node.now();
    for CrashRecord { print, count, left_ms } in told {
        let until = now + Duration::from_millis(left_ms.into());
        node.crashes.borrow_mut().merge(now, Crash { print, count, until });
    }
}

fn is_teller<P: Platform>(node: &Rc<Node<P>>, newcomer: Member<'_>) -> bool {
    let peers = node.peers.borrow();
    let own = Member { name: node.name(), domain: &node.settings.domain };
    !peers.is_large_cluster() || spread::tells(own, newcomer, peers.recipients(node.now()))
}

fn known_crashes<P: Platform>(node: &Rc<Node<P>>) -> Vec<CrashRecord> {
    let now = node.now();
    let record = |Crash { print, count, until }| {
        let left_ms = until.since(now).as_millis() as u32;
        CrashRecord { print, count, left_ms }
    };
    node.crashes.borrow().recent(now).into_iter().map(record).collect()
}
