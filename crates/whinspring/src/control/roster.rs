//! The nodes as the records show them, from one node's point of view.

use {
    crate::{
        model::{Node, NodeState},
        name::Name,
        record::{Key, Kind, Value},
        replica::Replica,
        time::Tick,
    },
    std::collections::BTreeMap,
    twox_hash::XxHash3_64,
};

/// Nodes in each failure domain that watch the platform.
const WATCHERS: usize = 2;

/// What is worked out from the node records whenever one changes.
#[derive(Debug, Default)]
pub(super) struct Roster {
    /// Nodes that name this node as a lessor, except those that are gone.
    pub lessees: Vec<Name>,
    /// Other nodes without lessors, with the version and when it was first seen.
    pub solos: BTreeMap<Name, (u64, Tick)>,
    /// When each other incarnation was first seen.
    pub known: BTreeMap<Name, (u64, Tick)>,
    /// Leases that each node keeps, by the records.
    pub leased: BTreeMap<Name, usize>,
    /// Other nodes that are live.
    pub others: Vec<Name>,
    /// Whether this node is to watch the platform.
    pub watcher: bool,
}

impl Roster {
    /// Works everything out anew.
    pub fn update(&mut self, now: Tick, replica: &Replica, me: &Name) {
        let present = || nodes(replica).filter(|(_, node)| node.state != NodeState::Gone);
        self.lessees = present()
            .filter(|(_, n)| n.lessors.contains(me))
            .map(|(_, n)| n.name.clone())
            .collect();
        self.leased.clear();
        for lessor in present().flat_map(|(_, node)| &node.lessors) {
            *self.leased.entry(lessor.clone()).or_default() += 1;
        }
        self.others =
            live(replica).filter(|node| node.name != *me).map(|node| node.name.clone()).collect();
        self.watcher = watchers(replica, me);
        self.known = present()
            .map(|(_, node)| {
                let former = self.known.get(&node.name).filter(|known| known.0 == node.incarnation);
                (node.name.clone(), former.copied().unwrap_or((node.incarnation, now)))
            })
            .collect();
        self.solos = present()
            .filter(|(_, node)| node.lessors.is_empty() && node.name != *me)
            .map(|(version, node)| {
                let former = self.solos.get(&node.name).filter(|solo| solo.0 == version);
                (node.name.clone(), former.copied().unwrap_or((version, now)))
            })
            .collect();
    }

    /// Returns for how many nodes `name` is a lessor.
    pub fn load(&self, name: &Name) -> usize {
        self.leased.get(name).copied().unwrap_or_default()
    }
}

/// Returns every node record with its version.
pub(crate) fn nodes(replica: &Replica) -> impl Iterator<Item = (u64, &Node)> {
    replica.iter(Kind::Node).filter_map(|record| match &record.value {
        Some(Value::Node(node)) => Some((record.version, node)),
        _ => None,
    })
}

/// Returns the nodes that serve.
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

/// Returns whether this incarnation of a node may still act.
pub(crate) fn present(replica: &Replica, name: &Name, incarnation: u64) -> bool {
    node(replica, name)
        .is_some_and(|(_, n)| n.incarnation == incarnation && n.state != NodeState::Gone)
}

/// Hashes names and a number into an order that differs from case to case.
pub(crate) fn rank(names: &[&str], number: u64) -> u64 {
    let mut text = names.join("\0");
    text.push('\0');
    XxHash3_64::oneshot_with_seed(number, text.as_bytes())
}

/// Returns whether `me` is among the watchers of its failure domain.
fn watchers(replica: &Replica, me: &Name) -> bool {
    let Some((_, own)) = node(replica, me) else { return false };
    let mine = rank(&[me], 0);
    let before = live(replica).filter(|n| n.domain == own.domain && rank(&[&n.name], 0) < mine);
    own.state == NodeState::Live && before.count() < WATCHERS
}
