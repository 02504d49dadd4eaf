//! Which node holds each server: near the server, evenly spread, never two at once.

use {
    super::{Memory, Write, holders_of},
    crate::{
        control::roster,
        model::{Holder, Holders, Node, NodeState, Service},
        name::{Name, ServerId},
        record::{Key, Kind, Value},
        replica::Replica,
    },
    std::collections::BTreeMap,
};

/// Handovers of a service that are under way at once for the sake of balance.
const MAX_HANDOVERS: usize = 4;

/// Cost of one held server in the choice of a node.
const COUNT_COST: usize = 2;

/// Cost of a node outside the server's failure domain.
const FAR_COST: usize = 3;

/// Servers held, or about to be held, by each node over all services.
pub type Counts = BTreeMap<Name, usize>;

/// Returns how many servers each live node holds.
pub fn counts(replica: &Replica) -> Counts {
    let mut counts: Counts = roster::live(replica).map(|node| (node.name.clone(), 0)).collect();
    for record in replica.iter(Kind::Holders) {
        let Some(Value::Holders(holders)) = &record.value else { continue };
        for holder in holders.terms.values() {
            let node = holder.next.as_ref().unwrap_or(&holder.node);
            if let Some(count) = counts.get_mut(node) {
                *count += 1;
            }
        }
    }
    counts
}

/// Returns the holders of `service` as they should be, if they differ from the records.
pub fn plan(
    replica: &Replica,
    memory: &Memory,
    service: &Service,
    counts: &mut Counts,
) -> Option<Write> {
    let before = holders_of(replica, &service.name).cloned().unwrap_or_default();
    let mut holders = before.clone();
    drop_removed(replica, service, &mut holders);
    for (id, server) in &service.servers {
        let Some(holder) = holders.terms.get_mut(id) else {
            if let Some(holder) = first(replica, service, *id, &server.domain, counts) {
                holders.terms.insert(*id, holder);
            }
            continue;
        };
        tend(replica, memory, service, (*id, &server.domain), holder, counts);
    }
    balance(replica, service, &mut holders, counts);
    (holders != before).then(|| Write {
        key: Key::new(Kind::Holders, service.name.clone()),
        value: Some(Value::Holders(holders)),
    })
}

/// Removes holders of servers that are no longer declared.
fn drop_removed(replica: &Replica, service: &Service, holders: &mut Holders) {
    holders.terms.retain(|id, _| {
        service.servers.contains_key(id) || super::segments::owns(replica, service, *id)
    });
}

/// Returns the first holder of a server.
fn first(
    replica: &Replica,
    service: &Service,
    id: ServerId,
    domain: &Name,
    counts: &mut Counts,
) -> Option<Holder> {
    let node = choose(replica, service, id, domain, counts)?;
    *counts.entry(node.name.clone()).or_default() += 1;
    Some(Holder { node: node.name.clone(), incarnation: node.incarnation, term: 1, next: None })
}

/// Replaces a holder that is gone, has released the server, or leaves.
fn tend(
    replica: &Replica,
    memory: &Memory,
    service: &Service,
    (id, domain): (ServerId, &Name),
    holder: &mut Holder,
    counts: &mut Counts,
) {
    let gone = !roster::present(replica, &holder.node, holder.incarnation);
    let released = memory.servers.get(&(service.name.clone(), id)) == Some(&holder.term);
    let next = holder.next.clone().filter(|name| is_live(replica, name));
    if gone || released {
        let chosen =
            next.as_ref().and_then(|name| roster::node(replica, name)).map(|(_, node)| node);
        let Some(node) = chosen.or_else(|| choose(replica, service, id, domain, counts)) else {
            return;
        };
        if next.is_none() {
            *counts.entry(node.name.clone()).or_default() += 1;
        }
        *holder = Holder {
            node: node.name.clone(),
            incarnation: node.incarnation,
            term: holder.term + 1,
            next: None,
        };
        return;
    }
    let leaving = !is_live(replica, &holder.node);
    if next.is_none() && (leaving || holder.next.is_some()) {
        let Some(node) = choose(replica, service, id, domain, counts) else { return };
        *counts.entry(node.name.clone()).or_default() += 1;
        holder.next = Some(node.name.clone());
    }
}

/// Begins a few handovers that make the spread more even.
fn balance(replica: &Replica, service: &Service, holders: &mut Holders, counts: &mut Counts) {
    let mut under_way = holders.terms.values().filter(|holder| holder.next.is_some()).count();
    for (id, holder) in &mut holders.terms {
        if under_way >= MAX_HANDOVERS {
            return;
        }
        let Some(server) = service.servers.get(id) else { continue };
        if holder.next.is_some() || !is_live(replica, &holder.node) {
            continue;
        }
        let Some((_, node)) = roster::node(replica, &holder.node) else { continue };
        let Some(count) = counts.get_mut(&holder.node) else { continue };
        *count = count.saturating_sub(1);
        let present = cost(node, &server.domain, counts);
        let best = choose(replica, service, *id, &server.domain, counts);
        let best = best.filter(|best| cost(best, &server.domain, counts) + COUNT_COST <= present);
        let after = best.map_or(&holder.node, |best| &best.name).clone();
        *counts.entry(after.clone()).or_default() += 1;
        if after != holder.node {
            holder.next = Some(after);
            under_way += 1;
        }
    }
}

/// Returns the best live node for a server.
fn choose<'a>(
    replica: &'a Replica,
    service: &Service,
    id: ServerId,
    domain: &Name,
    counts: &Counts,
) -> Option<&'a Node> {
    let order = |node: &&Node| {
        let tie = roster::rank(&[&node.name, &service.name], u64::from(id.0));
        (cost(node, domain, counts), tie)
    };
    roster::live(replica).min_by_key(order)
}

/// Returns the cost of one more server of `domain` on `node`.
fn cost(node: &Node, domain: &Name, counts: &Counts) -> usize {
    let count = counts.get(&node.name).copied().unwrap_or_default();
    count * COUNT_COST + if node.domain == *domain { 0 } else { FAR_COST }
}

/// Returns whether the node of this name serves.
fn is_live(replica: &Replica, name: &Name) -> bool {
    roster::node(replica, name).is_some_and(|(_, node)| node.state == NodeState::Live)
}
