//! Which nodes the controller sends a change to, and which of them forward it.
//!
//! Load pattern: servers leave, come or fall silent by the dozen, and the owners of thousands of
//! keys change several times a second. If the controller sent every change to every node, each
//! would cross its network link as often as there are nodes, and the link would delay its calls to
//! the store and its commands to the servers. In a large cluster it sends a change to the nodes of
//! its own failure domain, and to a few relays in each other one. Each relay forwards it to its
//! failure domain, so that the loss of one relay loses nothing. The nodes that watch the store for
//! their failure domain are chosen in the same order.

use {
    std::{cmp::Reverse, collections::BTreeMap},
    whinspring::{name::Name, rendezvous::rank},
};

/// Number of other nodes from which changes are forwarded by relays.
pub const MIN_NODES: usize = 24;

/// Relays in each failure domain.
const RELAYS_PER_DOMAIN: usize = 2;

/// Nodes outside its failure domain that tell a node that has come up what it may have missed.
const OUTSIDE_TELLERS: usize = 3;

/// Order in which the nodes of a failure domain are chosen to serve the others. VMs with more CPU
/// come first: their network links are faster, too.
pub fn order(name: &Name, cpu_share: u32) -> (Reverse<u32>, u64) {
    (Reverse(cpu_share), rank(&[name], 0))
}

/// Another node, as this one knows it.
#[derive(Debug, Clone, Copy)]
pub struct Recipient<'a> {
    pub name: &'a Name,
    /// Its failure domain; empty if unknown.
    pub domain: &'a str,
    pub is_live: bool,
    /// Its CPU share, in hundredths of a core.
    pub cpu_share: u32,
}

/// A node and its failure domain.
#[derive(Debug, Clone, Copy)]
pub struct Member<'a> {
    pub name: &'a Name,
    pub domain: &'a str,
}

/// Recipients of a change, by what they do with it.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Recipients {
    /// Nodes that only apply it.
    pub direct: Vec<Name>,
    /// Nodes that also forward it to their failure domain.
    pub relays: Vec<Name>,
}

/// Returns the recipients of a change that a node of failure domain `own` makes.
///
/// The relays of a failure domain are its live nodes with the most CPU. A failure domain without a
/// live node has none, and its nodes are sent to directly.
pub fn recipients<'a>(own: &str, nodes: impl Iterator<Item = Recipient<'a>>) -> Recipients {
    let mut found = Recipients::default();
    let mut domains: BTreeMap<&str, Vec<Recipient<'a>>> = BTreeMap::new();
    for node in nodes {
        if node.domain == own || node.domain.is_empty() {
            found.direct.push(node.name.clone());
        } else {
            domains.entry(node.domain).or_default().push(node);
        }
    }
    for nodes in domains.into_values() {
        let mut live: Vec<&Recipient<'a>> = nodes.iter().filter(|node| node.is_live).collect();
        live.sort_by_key(|node| order(node.name, node.cpu_share));
        live.truncate(RELAYS_PER_DOMAIN);
        if live.is_empty() {
            found.direct.extend(nodes.iter().map(|node| node.name.clone()));
        }
        found.relays.extend(live.into_iter().map(|node| node.name.clone()));
    }
    found
}

/// Returns whether a node tells one that has come up what it may have missed. The nodes of its failure
/// domain do, and a few others, drawn by name: the whole domain may have started at once.
pub fn tells<'a>(
    own: Member<'_>,
    newcomer: Member<'_>,
    others: impl Iterator<Item = Recipient<'a>>,
) -> bool {
    if own.domain == newcomer.domain {
        return true;
    }
    let order = |name: &Name| rank(&[newcomer.name, name], 0);
    let own_order = order(own.name);
    let outside = others.filter(|other| other.is_live && other.domain != newcomer.domain);
    outside.filter(|other| order(other.name) > own_order).count() < OUTSIDE_TELLERS
}
