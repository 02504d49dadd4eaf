//! Assigns each server to the one node that holds it.
//!
//! Prefers nodes in the server's failure domain and spreads servers evenly over the nodes.

use {
    super::{Observations, Write, holders_of},
    crate::{
        control::nodes,
        model::{Holder, Holders, Service},
        name::Name,
        record::{Key, Kind, Value},
        rendezvous::rank,
        replica::Replica,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Limit on the concurrent handovers of a service when handovers are started to balance nodes.
const MAX_HANDOVERS: usize = 4;

/// Cost of a node for each server that it holds.
const SERVER_COST: usize = 2;

/// Additional cost of a node outside the server's failure domain.
const CROSS_DOMAIN_COST: usize = 3;

/// Live nodes, indexed by failure domain and number of servers to find the cheapest one quickly.
#[derive(Debug, Default)]
pub struct Pool {
    /// Number of servers that each live node holds or is about to hold.
    nodes: BTreeMap<Name, Load>,
    /// Nodes of each failure domain, ordered by number of servers, then by hash of the name.
    domains: BTreeMap<Name, BTreeSet<(usize, u64, Name)>>,
}

#[derive(Debug)]
struct Load {
    count: usize,
    domain: Name,
    /// Hash of the name, which orders nodes with the same number of servers.
    tie_break: u64,
    incarnation: u64,
}

impl Pool {
    /// Counts the servers of each live node over all services.
    pub fn new(replica: &Replica) -> Self {
        let mut pool = Self::default();
        for node in nodes::live(replica) {
            let tie_break = rank(&[&node.name], 0);
            let (domain, incarnation) = (node.domain.clone(), node.incarnation);
            pool.nodes.insert(node.name.clone(), Load { count: 0, domain, tie_break, incarnation });
        }
        for record in replica.iter(Kind::Holders) {
            let Some(Value::Holders(holders)) = &record.value else { continue };
            for holder in holders.terms.values() {
                let node = holder.next.as_ref().unwrap_or(&holder.node);
                if let Some(load) = pool.nodes.get_mut(node) {
                    load.count += 1;
                }
            }
        }
        for (name, load) in &pool.nodes {
            let domain = pool.domains.entry(load.domain.clone()).or_default();
            domain.insert((load.count, load.tie_break, name.clone()));
        }
        pool
    }

    fn is_live(&self, name: &Name) -> bool {
        self.nodes.contains_key(name)
    }

    fn update_count(&mut self, name: &Name, change: impl Fn(usize) -> usize) {
        let Some(load) = self.nodes.get_mut(name) else { return };
        let domain = self.domains.entry(load.domain.clone()).or_default();
        domain.remove(&(load.count, load.tie_break, name.clone()));
        load.count = change(load.count);
        domain.insert((load.count, load.tie_break, name.clone()));
    }

    /// Adds a server of `domain` to the cheapest node and returns that node.
    fn assign(&mut self, domain: &Name) -> Option<Name> {
        let name = self.cheapest(domain)?;
        self.update_count(&name, |count| count + 1);
        Some(name)
    }

    /// Returns the node with the lowest cost for one more server of `domain`.
    fn cheapest(&self, domain: &Name) -> Option<Name> {
        let candidates =
            self.domains.iter().filter_map(|(name, nodes)| Some((name, nodes.first()?)));
        let order = |(name, first): &(&Name, &(usize, u64, Name))| {
            (cost(first.0, *name == domain), first.1)
        };
        candidates.min_by_key(order).map(|(_, first)| first.2.clone())
    }

    fn cost(&self, name: &Name, domain: &Name) -> usize {
        self.nodes.get(name).map_or(usize::MAX, |load| cost(load.count, load.domain == *domain))
    }

    /// Returns a live node's current incarnation, or 0 if the node is not live.
    fn incarnation(&self, name: &Name) -> u64 {
        self.nodes.get(name).map_or(0, |load| load.incarnation)
    }
}

/// Returns the cost of one more server on a node that has `count` servers.
fn cost(count: usize, same_domain: bool) -> usize {
    count * SERVER_COST + if same_domain { 0 } else { CROSS_DOMAIN_COST }
}

/// Returns the write that brings the holders of `service` to the desired state, if they differ.
pub fn reconcile(
    replica: &Replica,
    observed: &Observations,
    service: &Service,
    pool: &mut Pool,
) -> Option<Write> {
    let before = holders_of(replica, &service.name).cloned().unwrap_or_default();
    let mut holders = before.clone();
    remove_undeclared(replica, service, &mut holders);
    for (id, server) in &service.servers {
        let Some(holder) = holders.terms.get_mut(id) else {
            let first = pool.assign(&server.domain).map(|node| new_holder(pool, node, 1));
            holders.terms.extend(first.map(|holder| (*id, holder)));
            continue;
        };
        let released =
            observed.released_servers.get(&(service.name.clone(), *id)) == Some(&holder.term);
        reconcile_holder(replica, released, &server.domain, holder, pool);
    }
    start_handovers(service, &mut holders, pool);
    (holders != before).then(|| Write {
        key: Key::new(Kind::Holders, service.name.clone()),
        value: Some(Value::Holders(holders)),
    })
}

fn new_holder(pool: &Pool, node: Name, term: u64) -> Holder {
    let incarnation = pool.incarnation(&node);
    Holder { node, incarnation, term, next: None }
}

/// Removes the holders of servers that are no longer declared and own nothing.
fn remove_undeclared(replica: &Replica, service: &Service, holders: &mut Holders) {
    holders.terms.retain(|id, _| {
        service.servers.contains_key(id) || super::segments::owns(replica, service, *id)
    });
}

/// Replaces a holder that is gone or has released the server, and names the next one if it leaves.
fn reconcile_holder(
    replica: &Replica,
    released: bool,
    domain: &Name,
    holder: &mut Holder,
    pool: &mut Pool,
) {
    let gone = !nodes::is_present(replica, &holder.node, holder.incarnation);
    let next = holder.next.clone().filter(|name| pool.is_live(name));
    if gone || released {
        if let Some(node) = next.or_else(|| pool.assign(domain)) {
            *holder = new_holder(pool, node, holder.term + 1);
        }
        return;
    }
    let leaving = !pool.is_live(&holder.node);
    if next.is_none() && (leaving || holder.next.is_some()) {
        holder.next = pool.assign(domain).or(holder.next.take());
    }
}

/// Starts handovers to nodes with a lower cost, up to [`MAX_HANDOVERS`] at a time.
fn start_handovers(service: &Service, holders: &mut Holders, pool: &mut Pool) {
    let mut ongoing = holders.terms.values().filter(|holder| holder.next.is_some()).count();
    for (id, holder) in &mut holders.terms {
        if ongoing >= MAX_HANDOVERS {
            return;
        }
        let Some(server) = service.servers.get(id) else { continue };
        if holder.next.is_some() || !pool.is_live(&holder.node) {
            continue;
        }
        pool.update_count(&holder.node, |count| count.saturating_sub(1));
        let current_cost = pool.cost(&holder.node, &server.domain);
        let best = pool.cheapest(&server.domain);
        let best =
            best.filter(|best| pool.cost(best, &server.domain) + SERVER_COST <= current_cost);
        let after = best.unwrap_or_else(|| holder.node.clone());
        pool.update_count(&after, |count| count + 1);
        if after != holder.node {
            holder.next = Some(after);
            ongoing += 1;
        }
    }
}
