//! Single servers that refuse the connections of all nodes: as they are cut off for a moment, or as they
//! have ended.

use {
    crate::fake::{
        Platform, World, advance, call_servers, exchange_heartbeats, name, start, with_paused_clock,
    },
    std::{cell::RefCell, rc::Rc},
    tokio::task::spawn_local,
    whinspring_router::{crashes, node::Node},
};

const SERVERS: usize = 12;
const SEEDS: u64 = 10;

/// Time after which the entry of a server that writes it no more is removed.
const ENTRY_MS: u64 = 2_600;

/// Longest time from the end of a server until others hold its keys: a lease of 4 s that was acknowledged
/// just before, on a slow clock, and a round of the handover.
const OWNED_AFTER_MS: u64 = 4_080 + 220;

/// Time from a suspected crash until it is withdrawn if the server lives.
const WITHDRAWN_AFTER_MS: u64 = 8_500;

/// Starts nodes, one of them in each of two failure domains, and servers in both. Waits until all keys
/// are held.
async fn cluster(world: &Rc<RefCell<World>>, nodes: &[&str]) {
    let far = (0..SERVERS).step_by(2).map(name).chain(["n2".into()]);
    world.borrow_mut().far = far.collect();
    let nodes: Vec<Rc<Node<Platform>>> = nodes.iter().map(|node| start(world, node)).collect();
    spawn_local(exchange_heartbeats(nodes.clone(), Rc::default()));
    for node in nodes {
        spawn_local(call_servers(node, SERVERS));
    }
    advance(6_000).await;
    assert_eq!(held(world), 1.0);
}

/// Returns the fraction of all keys that servers hold now.
fn held(world: &Rc<RefCell<World>>) -> f64 {
    (0..SERVERS).map(|index| world.borrow().share(index)).sum()
}

/// Cuts servers off from all nodes for a while, and waits for the end of the leases before the cut.
async fn cut_servers(world: &Rc<RefCell<World>>, cut: &[usize], cut_ms: u64) {
    cut.iter().for_each(|index| world.borrow_mut().reset_connections(*index, true));
    advance(cut_ms).await;
    cut.iter().for_each(|index| world.borrow_mut().reset_connections(*index, false));
    advance(6_000).await;
}

fn check(world: &Rc<RefCell<World>>, seed: u64) {
    assert_eq!(world.borrow().faults, Vec::<String>::new(), "seed {seed}");
}

/// Guards against two owners of a key: servers that a partition cuts off from all nodes, with resets,
/// are taken for ended while they hold their keys. Other servers of their domain respond.
#[test]
fn servers_that_refuse_connections_for_a_moment_are_not_taken_for_ended() {
    for seed in 0..SEEDS {
        for nodes in [&["n1"][..], &["n1", "n2"]] {
            for cut_ms in [500, 1_000, 1_600, 2_600, 4_500] {
                with_paused_clock(seed, async {
                    let world = World::new(seed, SERVERS);
                    cluster(&world, nodes).await;
                    advance(seed * 130).await;
                    for round in 0..3 {
                        cut_servers(&world, &[2 * round, 2 * round + 5], cut_ms).await;
                        assert_eq!(held(&world), 1.0, "seed {seed}, cut of {cut_ms} ms");
                        check(&world, seed);
                    }
                });
            }
        }
    }
}

/// Guards against the same where the store has removed the entries of the servers, as these are cut off
/// from it, too: a missing entry proves as little as a refusal.
#[test]
fn servers_without_an_entry_that_refuse_connections_are_not_taken_for_ended() {
    for seed in 0..SEEDS {
        with_paused_clock(seed, async {
            let world = World::new(seed, SERVERS);
            cluster(&world, &["n1"]).await;
            advance(seed * 130).await;
            (1..3).for_each(|index| world.borrow_mut().list(index, false));
            cut_servers(&world, &[1, 2], 1_600).await;
            assert_eq!(held(&world), 1.0, "seed {seed}");
            check(&world, seed);
        });
    }
}

/// Guards against keys that are given back to a server that goes on refusing connections, as no command was
/// sent to it for a while: they would have no owner until its next refusal.
#[test]
fn a_server_that_goes_on_refusing_gets_no_keys() {
    for seed in 0..SEEDS {
        with_paused_clock(seed, async {
            let world = World::new(seed, SERVERS);
            cluster(&world, &["n1"]).await;
            advance(seed * 130).await;
            world.borrow_mut().reset_connections(3, true);
            advance(OWNED_AFTER_MS).await;
            for ms in (0..8_000).step_by(100) {
                let others = held(&world) - world.borrow().share(3);
                assert_eq!(others, 1.0, "seed {seed}: after {ms} ms more");
                advance(100).await;
            }
            world.borrow_mut().reset_connections(3, false);
            advance(6_000).await;
            assert!(world.borrow().share(3) > 0.0, "seed {seed}: it gets keys again");
            check(&world, seed);
        });
    }
}

/// Guards against keys that stay without an owner longer than the leases of a crashed server require:
/// those of grants that it acknowledged need no margin for their delivery.
#[test]
fn keys_of_a_crashed_server_move_when_its_leases_have_expired() {
    for seed in 0..SEEDS {
        with_paused_clock(seed, async {
            let world = World::new(seed, SERVERS);
            cluster(&world, &["n1", "n2"]).await;
            advance(seed * 130).await;
            world.borrow_mut().crash(3);
            advance(ENTRY_MS).await;
            world.borrow_mut().list(3, false);
            advance(OWNED_AFTER_MS - ENTRY_MS).await;
            assert_eq!(held(&world), 1.0, "seed {seed}");
            check(&world, seed);
        });
    }
}

/// Returns whether a request is still rejected that two servers seemed to crash by, after `change` was
/// done to them and some time.
fn is_rejected_after(change: fn(&mut World, usize)) -> bool {
    with_paused_clock(1, async {
        let world = World::new(1, SERVERS);
        let node = start(&world, "n1");
        advance(6_000).await;
        for index in [3, 4] {
            let server = node.view.borrow().servers[&name(index)].instance();
            node.crashes.borrow_mut().suspect(node.now(), 7, server);
            change(&mut world.borrow_mut(), index);
        }
        assert!(node.crashes.borrow().is_refused(node.now(), 7));
        advance(WITHDRAWN_AFTER_MS).await;
        crashes::sweep(&node);
        node.crashes.borrow().is_refused(node.now(), 7)
    })
}

/// Guards against a harmless request that is rejected for a minute: the connections on which it ran were
/// reset by a cut of two servers, which refused others for a moment as crashed ones do.
#[test]
fn a_request_is_taken_again_once_its_servers_are_known_to_have_lived() {
    assert!(!is_rejected_after(|_, _| ()));
}

/// Guards against a request that crashes a server each few seconds as its crashes are withdrawn.
#[test]
fn a_request_that_crashed_its_servers_stays_rejected() {
    assert!(is_rejected_after(|world, index| {
        world.restart(index);
        world.publish_entry(index);
    }));
    assert!(is_rejected_after(|world, index| {
        world.crash(index);
        world.list(index, false);
    }));
}
