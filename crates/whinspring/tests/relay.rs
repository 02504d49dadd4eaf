//! Choice of the node that sends the requests of a node that reaches no server.

use {
    std::collections::HashMap,
    whinspring::{
        name::Name,
        relay::{Candidate, Origin, choose},
    },
};

const SERVERS: usize = 200;

fn nodes(domains: &[&'static str]) -> Vec<(Name, &'static str)> {
    let name = |number: usize| Name::from(format!("n{number}"));
    domains.iter().enumerate().map(|(number, domain)| (name(number), *domain)).collect()
}

/// Returns the number of servers for which each node is chosen.
fn choices(nodes: &[(Name, &'static str)], unable: usize) -> HashMap<Name, usize> {
    let candidates: Vec<Candidate<'_>> =
        nodes.iter().map(|(name, domain)| Candidate { name, domain }).collect();
    let mut counts = HashMap::new();
    for server in 0..SERVERS {
        let origin = Origin { domain: "a", unable };
        if let Some(name) = choose(&format!("s{server}"), origin, &candidates) {
            *counts.entry(name.clone()).or_default() += 1;
        }
    }
    counts
}

#[test]
fn without_candidates_there_is_no_relay() {
    assert!(choices(&[], 1).is_empty());
}

#[test]
fn relays_of_the_own_failure_domain_are_preferred() {
    let counts = choices(&nodes(&["a", "a", "b", "c"]), 1);
    assert_eq!(counts.len(), 2, "{counts:?}");
    assert!(counts.contains_key("n0") && counts.contains_key("n1"), "{counts:?}");
}

/// Load pattern: most of a failure domain is cut off, and its last node would send for all.
#[test]
fn a_lone_node_does_not_send_for_its_whole_failure_domain() {
    let counts = choices(&nodes(&["a", "b", "b", "c"]), 2);
    assert_eq!(counts.len(), 4, "{counts:?}");
    assert!(counts.values().all(|count| (SERVERS / 8..SERVERS / 2).contains(count)), "{counts:?}");
}

#[test]
fn the_loss_of_a_relay_moves_only_its_servers() {
    let all = nodes(&["b", "b", "c", "c"]);
    let candidates: Vec<Candidate<'_>> =
        all.iter().map(|(name, domain)| Candidate { name, domain }).collect();
    let origin = Origin { domain: "a", unable: 1 };
    for server in 0..SERVERS {
        let server = format!("s{server}");
        let before = choose(&server, origin, &candidates).unwrap();
        let after = choose(&server, origin, &candidates[1..]).unwrap();
        assert!(before == after || before == candidates[0].name, "{server}");
    }
}
