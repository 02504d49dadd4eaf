//! A change reaches every node of a large cluster, at a cost to its sender that does not grow with
//! the cluster.

use {
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::collections::BTreeSet,
    whinspring::name::Name,
    whinspring_router::spread::{Member, Recipient, recipients, tells},
};

const DOMAINS: usize = 6;

const SEEDS: u64 = 50;

struct Node {
    name: Name,
    domain: String,
    cpu_share: u32,
    is_live: bool,
}

/// Returns the other nodes of a cluster, as the controller in domain `d0` knows them.
fn cluster(count: usize, rng: &mut ChaCha8Rng) -> Vec<Node> {
    let node = |index: usize| Node {
        name: format!("edge-{index}").into(),
        domain: format!("d{}", index % DOMAINS),
        cpu_share: rng.random_range(1..=5) * 10,
        is_live: true,
    };
    (1..count).map(node).collect()
}

fn known(nodes: &[Node]) -> impl Iterator<Item = Recipient<'_>> {
    nodes.iter().map(|node| Recipient {
        name: &node.name,
        domain: &node.domain,
        is_live: node.is_live,
        cpu_share: node.cpu_share,
    })
}

fn member(node: &Node) -> Member<'_> {
    Member { name: &node.name, domain: &node.domain }
}

/// Returns the nodes that get a change if those in `lost` forward nothing.
fn reached(nodes: &[Node], lost: &[Name]) -> BTreeSet<Name> {
    let found = recipients("d0", known(nodes));
    let mut reached: BTreeSet<Name> = found.direct.into_iter().collect();
    for relay in found.relays.iter().filter(|relay| !lost.contains(relay)) {
        let domain = &nodes.iter().find(|node| node.name == *relay).unwrap().domain;
        let own = nodes.iter().filter(|node| node.domain == *domain);
        reached.extend(own.map(|node| node.name.clone()));
    }
    reached
}

#[test]
fn a_change_reaches_every_node_though_a_relay_of_each_domain_is_lost() {
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for count in [30, 195, 1_300] {
            let nodes = cluster(count, &mut rng);
            let relays = recipients("d0", known(&nodes)).relays;
            let first = rng.random_range(0..2);
            let lost: Vec<Name> = relays.iter().skip(first).step_by(2).cloned().collect();
            assert_eq!(reached(&nodes, &lost).len(), nodes.len(), "seed {seed}, {count} nodes");
        }
    }
}

/// The controller's messages to other failure domains do not grow with the cluster.
#[test]
fn few_messages_leave_the_failure_domain_of_the_sender() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for count in [30, 195, 1_300] {
        let nodes = cluster(count, &mut rng);
        let found = recipients("d0", known(&nodes));
        assert_eq!(found.relays.len(), 2 * (DOMAINS - 1), "{count} nodes");
        let own = nodes.iter().filter(|node| node.domain == "d0");
        assert_eq!(found.direct.len(), own.count(), "{count} nodes");
    }
}

#[test]
fn relays_are_live_nodes_with_the_most_cpu() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let mut nodes = cluster(195, &mut rng);
    for node in nodes.iter_mut().filter(|node| node.cpu_share == 50) {
        node.is_live = false;
    }
    let relays = recipients("d0", known(&nodes)).relays;
    assert_eq!(relays.len(), 2 * (DOMAINS - 1));
    for relay in relays {
        let node = nodes.iter().find(|node| node.name == relay).unwrap();
        assert!(node.is_live, "{relay}");
        let stronger = |other: &&Node| {
            other.is_live && other.domain == node.domain && other.cpu_share > node.cpu_share
        };
        assert!(nodes.iter().filter(stronger).count() <= 1, "{relay}");
    }
}

#[test]
fn a_domain_without_live_nodes_is_sent_to_directly() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut nodes = cluster(60, &mut rng);
    nodes.iter_mut().filter(|node| node.domain == "d3").for_each(|node| node.is_live = false);
    assert_eq!(reached(&nodes, &[]).len(), nodes.len());
}

/// Guards against a node that is told nothing, as all nodes of its failure domain have started with it or
/// it is alone there.
#[test]
fn a_node_that_comes_up_is_told_by_its_domain_and_by_a_few_others() {
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for count in [30, 90] {
            let nodes = cluster(count, &mut rng);
            let newcomer = &nodes[seed as usize % nodes.len()];
            let tellers = nodes.iter().filter(|own| own.name != newcomer.name).filter(|own| {
                let others = known(&nodes).filter(|other| other.name != &own.name);
                tells(member(own), member(newcomer), others)
            });
            let (inside, outside): (Vec<_>, Vec<_>) =
                tellers.partition(|own| own.domain == newcomer.domain);
            let domain = nodes.iter().filter(|node| node.domain == newcomer.domain).count();
            assert_eq!((inside.len(), outside.len()), (domain - 1, 3), "{count} nodes");
        }
    }
}
