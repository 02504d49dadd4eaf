//! Nodes that lose their paths to all servers, while the store and the other nodes reach them.

use {
    crate::fake::{
        Platform, World, advance, call_servers, exchange_heartbeats, start, with_paused_clock,
    },
    std::{cell::RefCell, rc::Rc},
    tokio::task::spawn_local,
    whinspring::name::Name,
    whinspring_router::node::Node,
};

const SERVERS: usize = 12;
const SEEDS: u64 = 10;

/// Time from the start of a cut by which a node that is cut off is no longer the controller.
const RESIGNED_AFTER_MS: u64 = 2_500;

const CUT_MS: u64 = 12_000;

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
