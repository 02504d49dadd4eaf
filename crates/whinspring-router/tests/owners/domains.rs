//! Servers of another failure domain that refuse connections: as they have ended, or as the domain is
//! cut off.

use {
    crate::fake::{
        Platform, World, advance, call_servers, exchange_heartbeats, name, start, with_paused_clock,
    },
    std::{cell::RefCell, ops::Range, rc::Rc},
    tokio::task::spawn_local,
    whinspring_router::node::Node,
};

const SERVERS: usize = 6;
const SEEDS: u64 = 10;

/// Time after which the entries of servers that do not reach the store are removed.
const ENTRY_MS: u64 = 2_600;

const CUT_MS: u64 = 4_500;

/// Time in which no lease of an ended server has expired.
const HELD_MS: u64 = 1_500;

/// Time in which the keys of an ended server move to others, as its leases have expired.
const EXPIRED_MS: u64 = 5_500;

/// Starts nodes that send requests to servers, one of them in the failure domain `a`; the servers from
/// `first` on are in `b`. Waits until all keys are held.
async fn cluster(world: &Rc<RefCell<World>>, first: usize, nodes: &[&str]) {
    let far = (first..SERVERS).map(name).chain(nodes[1..].iter().map(|node| (*node).into()));
    world.borrow_mut().far = far.collect();
    let nodes: Vec<Rc<Node<Platform>>> = nodes.iter().map(|node| start(world, node)).collect();
    spawn_local(exchange_heartbeats(nodes.clone(), Rc::default()));
    for node in nodes {
        spawn_local(call_servers(node, SERVERS));
    }
    advance(6_000).await;
    assert_eq!(held(world, 0..SERVERS), 1.0);
}

/// Returns the fraction of all keys that some servers hold now.
fn held(world: &Rc<RefCell<World>>, servers: Range<usize>) -> f64 {
    servers.map(|index| world.borrow().share(index)).sum()
}

fn check(world: &Rc<RefCell<World>>, seed: u64) {
    assert_eq!(world.borrow().faults, Vec::<String>::new(), "seed {seed}");
}

/// Cuts the failure domain `b` off for a while. The entries of its servers are removed meanwhile.
async fn cut_domain(world: &Rc<RefCell<World>>, first: usize, cut_ms: u64) {
    world.borrow_mut().is_split = true;
    advance(ENTRY_MS.min(cut_ms)).await;
    (first..SERVERS).for_each(|index| world.borrow_mut().list(index, false));
    advance(cut_ms.saturating_sub(ENTRY_MS)).await;
    world.borrow_mut().is_split = false;
    (first..SERVERS).for_each(|index| world.borrow_mut().list(index, true));
}

/// Guards against two owners of a key: servers behind a partition that refuses connections are taken
/// for ended while they hold their keys and serve callers by way of the nodes there.
#[test]
fn servers_of_a_domain_that_is_cut_off_are_not_taken_for_ended() {
    for seed in 0..SEEDS {
        for first in [2, 4, 5] {
            for nodes in [&["n1"][..], &["n1", "n2"]] {
                with_paused_clock(seed, async {
                    let world = World::new(seed, SERVERS);
                    cluster(&world, first, nodes).await;
                    advance(seed * 130).await;
                    cut_domain(&world, first, CUT_MS + seed * 200).await;
                    advance(6_000).await;
                    assert_eq!(held(&world, 0..SERVERS), 1.0, "seed {seed}");
                    check(&world, seed);
                });
            }
        }
    }
}

/// Guards against the same where a server crashes just before or while its domain is cut off: what shows
/// that the domain is reached must be later than the refusals.
#[test]
fn a_crash_before_a_cut_proves_nothing_of_the_other_servers() {
    for seed in 0..2 * SEEDS {
        with_paused_clock(seed, async {
            let world = World::new(seed, SERVERS);
            cluster(&world, 3, &["n1"]).await;
            world.borrow_mut().crash(3);
            advance(seed * 60).await;
            cut_domain(&world, 3, CUT_MS).await;
            advance(6_000).await;
            check(&world, seed);
        });
    }
}

/// Nothing tells whether the only server of a domain has ended or is cut off: its keys move when its
/// leases have expired, and not before.
#[test]
fn the_keys_of_a_server_that_is_alone_in_its_domain_wait_for_its_leases() {
    with_paused_clock(3, async {
        let world = World::new(3, SERVERS);
        cluster(&world, 5, &["n1"]).await;
        world.borrow_mut().crash(5);
        advance(HELD_MS).await;
        assert!(held(&world, 0..SERVERS) < 1.0);
        advance(ENTRY_MS - HELD_MS).await;
        world.borrow_mut().list(5, false);
        advance(EXPIRED_MS - ENTRY_MS).await;
        assert_eq!(held(&world, 0..SERVERS), 1.0);
        check(&world, 3);
    });
}
