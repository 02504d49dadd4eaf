//! Index over the node records from the point of view of one node.

use {
    crate::{
        model::{Node, NodeState},
        name::Name,
        record::{Key, Kind, Value},
        rendezvous::rank,
        replica::Replica,
        time::Tick,
    },
    std::collections::{BTreeMap, BTreeSet},
};

const WATCHERS_PER_DOMAIN: usize = 2;

/// Index over the node records, updated incrementally.
#[derive(Debug, Default)]
pub(super) struct NodeIndex {
    /// Nodes that name this node as a lessor, except those that are gone.
    pub lessees: BTreeSet<Name>,
    /// Other nodes without lessors, with the version of their record and when it was first seen.
    pub without_lessors: BTreeMap<Name, (u64, Tick)>,
    /// Other live nodes.
    pub others: BTreeSet<Name>,
    /// Nodes that are not gone.
    entries: BTreeMap<Name, Entry>,
    /// Number of leases that each node grants according to the records.
    lease_counts: BTreeMap<Name, usize>,
    /// Live nodes of each failure domain, ordered by hash.
    domains: BTreeMap<Name, BTreeSet<(u64, Name)>>,
}

/// Indexed values of one record, removed from the index when it changes.
#[derive(Debug)]
struct Entry {
    /// Incarnation of the node.
    incarnation: u64,
    first_seen: Tick,
    /// Failure domain of the node.
    domain: Name,
    lessors: Vec<Name>,
}

impl NodeIndex {
    /// Updates the index after a change of the record `name`; `me` is the name of this node.
    pub fn update(&mut self, now: Tick, replica: &Replica, me: &Name, name: &Name) {
        let former = self.remove(name);
        let Some((version, node)) = node(replica, name).filter(|(_, n)| n.state != NodeState::Gone)
        else {
            return;
        };
        for lessor in &node.lessors {
            *self.lease_counts.entry(lessor.clone()).or_default() += 1;
        }
        if node.lessors.contains(me) {
            self.lessees.insert(name.clone());
        }
        if node.lessors.is_empty() && name != me {
            self.without_lessors.insert(name.clone(), (version, now));
        }
        if node.state == NodeState::Live {
            let domain = self.domains.entry(node.domain.clone()).or_default();
            domain.insert((rank(&[name], 0), name.clone()));
            if name != me {
                self.others.insert(name.clone());
            }
        }
        let known = former.filter(|former| former.incarnation == node.incarnation);
        let entry = Entry {
            incarnation: node.incarnation,
            first_seen: known.map_or(now, |known| known.first_seen),
            domain: node.domain.clone(),
            lessors: node.lessors.clone(),
        };
        self.entries.insert(name.clone(), entry);
    }

    pub fn lease_count(&self, name: &Name) -> usize {
        self.lease_counts.get(name).copied().unwrap_or_default()
    }

    /// Returns when an incarnation of a node was first seen.
    pub fn first_seen(&self, name: &Name, incarnation: u64) -> Option<Tick> {
        let entry = self.entries.get(name).filter(|entry| entry.incarnation == incarnation);
        entry.map(|entry| entry.first_seen)
    }

    /// Returns whether a node watches the platform on behalf of its failure domain.
    pub fn is_watcher(&self, name: &Name) -> bool {
        let domain = self.entries.get(name).and_then(|entry| self.domains.get(&entry.domain));
        domain.is_some_and(|nodes| {
            nodes.iter().take(WATCHERS_PER_DOMAIN).any(|(_, other)| other == name)
        })
    }

    /// Removes the values of a node's former record.
    fn remove(&mut self, name: &Name) -> Option<Entry> {
        let entry = self.entries.remove(name)?;
        for lessor in &entry.lessors {
            let Some(count) = self.lease_counts.get_mut(lessor) else { continue };
            *count -= 1;
            if *count == 0 {
                self.lease_counts.remove(lessor);
            }
        }
        self.lessees.remove(name);
        self.without_lessors.remove(name);
        self.others.remove(name);
        if let Some(domain) = self.domains.get_mut(&entry.domain) {
            domain.remove(&(rank(&[name], 0), name.clone()));
        }
        Some(entry)
    }
}

/// Returns every node record with its version.
pub(crate) fn nodes(replica: &Replica) -> impl Iterator<Item = (u64, &Node)> {
    replica.iter(Kind::Node).filter_map(|record| match &record.value {
        Some(Value::Node(node)) => Some((record.version, node)),
        _ => None,
    })
}

pub(crate) fn live(replica: &Replica) -> impl Iterator<Item = &Node> {
    nodes(replica).map(|(_, node)| node).filter(|node| node.state == NodeState::Live)
}

/// Returns the node of this name with the version of its record.
pub(crate) fn node<'a>(replica: &'a Replica, name: &Name) -> Option<(u64, &'a Node)> {
    let record = replica.get(&Key::new(Kind::Node, name.clone()))?;
    match &record.value {
        Some(Value::Node(node)) => Some((record.version, node)),
        _ => None,
    }
}

/// Returns whether the records show this incarnation of a node as not gone.
pub(crate) fn is_present(replica: &Replica, name: &Name, incarnation: u64) -> bool {
    node(replica, name)
        .is_some_and(|(_, n)| n.incarnation == incarnation && n.state != NodeState::Gone)
}
