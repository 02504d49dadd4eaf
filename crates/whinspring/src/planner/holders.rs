//! Which node holds each server: near the server, evenly spread, never two at once.

use {
    super::{Memory, Write, holders_of},
    crate::{
        control::nodes,
        model::{Holder, Holders, Service},
        name::Name,
        rank::rank,
        record::{Key, Kind, Value},
        replica::Replica,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Handovers of a service that are under way at once for the sake of balance.
const MAX_HANDOVERS: usize = 4;

/// Cost of one held server in the choice of a node.
const COUNT_COST: usize = 2;

/// Cost of a node outside the server's failure domain.
const FAR_COST: usize = 3;

/// The live nodes by failure domain and number of servers, so that the best is found at once.
#[derive(Debug, Default)]
pub struct Pool {
    /// Servers held, or about to be held, by each live node.
    nodes: BTreeMap<Name, Load>,
    /// Nodes of each failure domain by number of servers and hash.
    domains: BTreeMap<Name, BTreeSet<(usize, u64, Name)>>,
}

/// What one live node holds.
#[derive(Debug)]
struct Load {
    /// Number of servers.
    count: usize,
    /// Failure domain of the node.
    domain: Name,
    /// Order among nodes with as many servers.
    tie: u64,
    /// Incarnation of the node.
    incarnation: u64,
}

impl Pool {
    /// Counts what each live node holds over all services.
    pub fn new(replica: &Replica) -> Self {
        let mut pool = Self::default();
        for node in nodes::live(replica) {
            let tie = rank(&[&node.name], 0);
            let (domain, incarnation) = (node.domain.clone(), node.incarnation);
            pool.nodes.insert(node.name.clone(), Load { count: 0, domain, tie, incarnation });
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
            domain.insert((load.count, load.tie, name.clone()));
        }
        pool
    }

    /// Returns whether the node of this name serves.
    fn is_live(&self, name: &Name) -> bool {
        self.nodes.contains_key(name)
    }

    /// Changes the number of servers of a node.
    fn count(&mut self, name: &Name, change: impl Fn(usize) -> usize) {
        let Some(load) = self.nodes.get_mut(name) else { return };
        let domain = self.domains.entry(load.domain.clone()).or_default();
        domain.remove(&(load.count, load.tie, name.clone()));
        load.count = change(load.count);
        domain.insert((load.count, load.tie, name.clone()));
    }

    /// Returns the best node for one more server of `domain`, and counts it there.
    fn take(&mut self, domain: &Name) -> Option<Name> {
        let name = self.best(domain)?;
        self.count(&name, |count| count + 1);
        Some(name)
    }

    /// Returns the best node for one more server of `domain`.
    fn best(&self, domain: &Name) -> Option<Name> {
        let firsts = self.domains.iter().filter_map(|(of, nodes)| Some((of, nodes.first()?)));
        let order =
            |(of, first): &(&Name, &(usize, u64, Name))| (cost(first.0, *of == domain), first.1);
        firsts.min_by_key(order).map(|(_, first)| first.2.clone())
    }

    /// Returns the cost of one more server of `domain` on a node.
    fn cost(&self, name: &Name, domain: &Name) -> usize {
        self.nodes.get(name).map_or(usize::MAX, |load| cost(load.count, load.domain == *domain))
    }

    /// Returns the present incarnation of a live node.
    fn incarnation(&self, name: &Name) -> u64 {
        self.nodes.get(name).map_or(0, |load| load.incarnation)
    }
}

/// Returns the cost of one more server on a node that has `count`.
fn cost(count: usize, near: bool) -> usize {
    count * COUNT_COST + if near { 0 } else { FAR_COST }
}

/// Returns the holders of `service` as they should be, if they differ from the records.
pub fn plan(
    replica: &Replica,
    memory: &Memory,
    service: &Service,
    pool: &mut Pool,
) -> Option<Write> {
    let before = holders_of(replica, &service.name).cloned().unwrap_or_default();
    let mut holders = before.clone();
    drop_removed(replica, service, &mut holders);
    for (id, server) in &service.servers {
        let Some(holder) = holders.terms.get_mut(id) else {
            let first = pool.take(&server.domain).map(|node| hold(pool, node, 1));
            holders.terms.extend(first.map(|holder| (*id, holder)));
            continue;
        };
        let released = memory.servers.get(&(service.name.clone(), *id)) == Some(&holder.term);
        tend(replica, released, &server.domain, holder, pool);
    }
    balance(service, &mut holders, pool);
    (holders != before).then(|| Write {
        key: Key::new(Kind::Holders, service.name.clone()),
        value: Some(Value::Holders(holders)),
    })
}

/// Returns a holder that has just taken over.
fn hold(pool: &Pool, node: Name, term: u64) -> Holder {
    let incarnation = pool.incarnation(&node);
    Holder { node, incarnation, term, next: None }
}

/// Removes holders of servers that are no longer declared.
fn drop_removed(replica: &Replica, service: &Service, holders: &mut Holders) {
    holders.terms.retain(|id, _| {
        service.servers.contains_key(id) || super::segments::owns(replica, service, *id)
    });
}

/// Replaces a holder that is gone, has released the server, or leaves.
fn tend(replica: &Replica, released: bool, domain: &Name, holder: &mut Holder, pool: &mut Pool) {
    let gone = !nodes::is_present(replica, &holder.node, holder.incarnation);
    let next = holder.next.clone().filter(|name| pool.is_live(name));
    if gone || released {
        if let Some(node) = next.or_else(|| pool.take(domain)) {
            *holder = hold(pool, node, holder.term + 1);
        }
        return;
    }
    let leaving = !pool.is_live(&holder.node);
    if next.is_none() && (leaving || holder.next.is_some()) {
        holder.next = pool.take(domain).or(holder.next.take());
    }
}

/// Begins a few handovers that make the spread more even.
fn balance(service: &Service, holders: &mut Holders, pool: &mut Pool) {
    let mut under_way = holders.terms.values().filter(|holder| holder.next.is_some()).count();
    for (id, holder) in &mut holders.terms {
        if under_way >= MAX_HANDOVERS {
            return;
        }
        let Some(server) = service.servers.get(id) else { continue };
        if holder.next.is_some() || !pool.is_live(&holder.node) {
            continue;
        }
        pool.count(&holder.node, |count| count.saturating_sub(1));
        let present = pool.cost(&holder.node, &server.domain);
        let best = pool.best(&server.domain);
        let best = best.filter(|best| pool.cost(best, &server.domain) + COUNT_COST <= present);
        let after = best.unwrap_or_else(|| holder.node.clone());
        pool.count(&after, |count| count + 1);
        if after != holder.node {
            holder.next = Some(after);
            under_way += 1;
        }
    }
}
