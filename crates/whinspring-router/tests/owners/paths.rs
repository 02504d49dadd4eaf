//! Nodes that lose their paths to all servers, while the store and the other nodes reach them.

use {
    crate::fake::{
        Platform, World, advance, call_servers, exchange_heartbeats, start, with_paused_clock,
    },
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{cell::RefCell, rc::Rc},
    tokio::task::spawn_local,
    whinspring::name::Name,
    whinspring_router::{
        message::{Heartbeat, ServerLatency},
        node::Node,
    },
};

const SERVERS: usize = 12;
const SEEDS: u64 = 10;

/// Time from the start of a cut by which a node that is cut off is no longer the controller.
const RESIGNED_AFTER_MS: u64 = 2_500;

const CUT_MS: u64 = 12_000;

/// Time in which the keys of an ended server move to others, as its leases have expired.
const EXPIRED_MS: u64 = 5_000;

type Nodes = Vec<Rc<Node<Platform>>>;

/// Starts `count` nodes that send requests to servers, and waits until all keys are held.
async fn cluster(world: &Rc<RefCell<World>>, count: usize) -> Nodes {
    let nodes: Nodes = (1..=count).map(|index| start(world, &format!("n{index}"))).collect();
    spawn_local(exchange_heartbeats(nodes.clone(), Rc::default()));
    for node in &nodes {
        spawn_local(call_servers(node.clone(), SERVERS));
    }
    advance(6_000).await;
    assert_eq!(held(world), 1.0);
    nodes
}

/// Returns the fraction of all keys that servers hold now.
fn held(world: &Rc<RefCell<World>>) -> f64 {
    (0..SERVERS).map(|index| world.borrow().share(index)).sum()
}

fn controller(nodes: &Nodes) -> Option<Name> {
    nodes.iter().find(|node| node.control.borrow().is_leader()).map(|node| node.name().clone())
}

/// Cuts the controller and the first other nodes, `count` in all, off from all servers. Returns
/// their names.
fn cut_off(world: &Rc<RefCell<World>>, nodes: &Nodes, count: usize) -> Vec<Name> {
    let first = controller(nodes).unwrap();
    let others = nodes.iter().map(|node| node.name().clone()).filter(|name| *name != first);
    let cut: Vec<Name> = [first.clone()].into_iter().chain(others).take(count).collect();
    world.borrow_mut().pathless.clone_from(&cut);
    cut
}

fn check(world: &Rc<RefCell<World>>) {
    assert_eq!(world.borrow().faults, Vec::<String>::new());
}

#[test]
fn keys_keep_owners_though_the_controller_is_cut_off_from_all_servers() {
    for seed in 0..SEEDS {
        with_paused_clock(seed, async {
            let world = World::new(seed, SERVERS);
            let nodes = cluster(&world, 9).await;
            let cut = cut_off(&world, &nodes, 6);
            for ms in (0..CUT_MS).step_by(100) {
                advance(100).await;
                assert_eq!(held(&world), 1.0, "seed {seed}: keys held after {ms} ms");
                let elected = controller(&nodes).filter(|name| cut.contains(name));
                assert!(ms < RESIGNED_AFTER_MS || elected.is_none(), "seed {seed}: {elected:?}");
            }
            world.borrow_mut().pathless.clear();
            advance(5_000).await;
            assert_eq!(held(&world), 1.0, "seed {seed}");
            check(&world);
        });
    }
}

/// The first to notice may resign, as it does not know of the others yet.
#[test]
fn one_controller_stays_in_office_while_all_nodes_are_cut_off() {
    for seed in 0..SEEDS {
        with_paused_clock(seed, async {
            let world = World::new(seed, SERVERS);
            let nodes = cluster(&world, 5).await;
            cut_off(&world, &nodes, 5);
            advance(2 * RESIGNED_AFTER_MS).await;
            assert!(nodes.iter().all(|node| node.reach.borrow().is_cut_off().is_some()));
            let elected = controller(&nodes);
            assert!(elected.is_some(), "seed {seed}: no controller");
            for _ in 0..50 {
                advance(100).await;
                assert_eq!(controller(&nodes), elected, "seed {seed}");
            }
            world.borrow_mut().pathless.clear();
            advance(3_000).await;
            assert_eq!(held(&world), 1.0, "seed {seed}");
            check(&world);
        });
    }
}

/// Cuts begin and end while keys move, so that controllers resign in the middle of handovers.
#[test]
fn cuts_of_random_nodes_never_give_a_key_to_two_servers() {
    for seed in 0..2 * SEEDS {
        with_paused_clock(seed, async {
            let world = World::new(seed, SERVERS);
            let nodes = cluster(&world, 5).await;
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            for index in 0..6 {
                let cut = nodes.iter().filter(|_| rng.random_bool(0.5));
                let cut = cut.map(|node| node.name().clone()).collect();
                world.borrow_mut().pathless = cut;
                world.borrow_mut().refuses_pathless = rng.random_bool(0.5);
                world.borrow_mut().leave(index);
                advance(rng.random_range(200..4_000)).await;
            }
            world.borrow_mut().pathless.clear();
            advance(15_000).await;
            assert_eq!(held(&world), 1.0, "seed {seed}");
            check(&world);
        });
    }
}

/// Guards against a controller that waits for nodes that are cut off: the keys move once the leases of the
/// crashed server have expired.
#[test]
fn keys_of_a_crashed_server_move_though_most_nodes_are_cut_off() {
    with_paused_clock(4, async {
        let world = World::new(4, SERVERS);
        let nodes = cluster(&world, 5).await;
        let cut = cut_off(&world, &nodes, 5);
        world.borrow_mut().pathless = cut[1..].to_vec();
        advance(3_000).await;
        world.borrow_mut().crash(2);
        advance(EXPIRED_MS).await;
        assert_eq!(held(&world), 1.0);
        check(&world);
    });
}

/// A controller whose connections are all refused must not take the servers for dead: they still hold
/// their keys when its paths are back.
#[test]
fn refusals_to_a_controller_without_paths_give_no_key_to_two_servers() {
    for seed in 0..2 * SEEDS {
        with_paused_clock(seed, async {
            let world = World::new(seed, SERVERS);
            let nodes = cluster(&world, 1).await;
            world.borrow_mut().leave(1);
            advance(20 + seed * 10).await;
            cut_off(&world, &nodes, 1);
            world.borrow_mut().refuses_pathless = true;
            advance(1_000 + seed * 100).await;
            world.borrow_mut().pathless.clear();
            advance(8_000).await;
            assert_eq!(held(&world), 1.0, "seed {seed}");
            check(&world);
        });
    }
}

/// Returns the share of a server after a node, which may be cut off, has measured that it is slow.
fn share_of_slow_server(cut_off: bool) -> f64 {
    with_paused_clock(5, async {
        let world = World::new(5, SERVERS);
        let nodes = cluster(&world, 1).await;
        let slow = ServerLatency {
            server: "s02".into(),
            count: 50,
            total_ms: 50_000,
            expected_ms: 5_000,
            errors: 0,
        };
        let heartbeat = Heartbeat { cut_off, latencies: vec![slow], ..Heartbeat::default() };
        for _ in 0..10 {
            nodes[0].control.borrow_mut().record_measurements(nodes[0].now(), &heartbeat);
            advance(500).await;
        }
        check(&world);
        world.borrow().share(2)
    })
}

#[test]
fn what_a_node_that_is_cut_off_measures_moves_no_keys() {
    let usual = 1.0 / SERVERS as f64;
    assert!(share_of_slow_server(false) < 0.8 * usual);
    assert!((share_of_slow_server(true) - usual).abs() < 0.01 * usual);
}
