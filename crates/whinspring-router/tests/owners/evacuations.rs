//! Keys of an evacuated failure domain move to other servers, whatever happens meanwhile.

use {
    crate::fake::{
        Platform, World, advance, exchange_heartbeats, name, start_with, with_paused_clock,
    },
    std::{cell::RefCell, rc::Rc, slice},
    tokio::task::spawn_local,
    whinspring_router::{
        evacuations, follow,
        node::Node,
        platform::{Kind, Listing, Object, Position},
        settings::Limits,
    },
};

/// Servers of the service, and the first ones of them that are in the evacuated domain.
const SERVERS: usize = 6;
const FAR: usize = 2;

/// Time in which the keys of a domain move, in milliseconds; well below the bound of an evacuation.
const MOVE_MS: u64 = 1_500;

fn world(seed: u64) -> Rc<RefCell<World>> {
    let world = World::new(seed, SERVERS);
    world.borrow_mut().far = (0..FAR).map(name).collect();
    world
}

fn start(world: &Rc<RefCell<World>>, node: &str) -> Rc<Node<Platform>> {
    start_with(world, node, Limits { evacuate_ms: Some(5_000), ..Limits::default() })
}

/// Lists the evacuated domains to nodes, as the store has them.
fn list(nodes: &[Rc<Node<Platform>>], revision: u64, domains: &[&str]) {
    for node in nodes {
        let position = Position::new(node.era.get(), revision);
        let object = |domain: &&str| Object { name: (*domain).into(), position, value: Vec::new() };
        let items = domains.iter().map(object).collect();
        node.view.borrow_mut().confirm(Kind::Evacuations, node.now());
        follow::apply_listing(node, Kind::Evacuations, Listing { position, items });
    }
}

/// Returns the fraction of all keys that servers hold.
fn share(world: &Rc<RefCell<World>>, servers: std::ops::Range<usize>) -> f64 {
    servers.map(|index| world.borrow().share(index)).sum()
}

fn check(world: &Rc<RefCell<World>>) {
    assert_eq!(world.borrow().faults, Vec::<String>::new());
}

#[test]
fn the_keys_of_an_evacuated_domain_move_to_the_others() {
    with_paused_clock(7, async {
        let world = world(1);
        let node = start(&world, "n1");
        advance(4_000).await;
        assert!(share(&world, 0..FAR) > 0.3);
        list(slice::from_ref(&node), 5, &["b"]);
        assert!(evacuations::remainders(&node)["b"].spans > 0);
        advance(MOVE_MS).await;
        assert_eq!(share(&world, 0..FAR), 0.0);
        assert_eq!(share(&world, FAR..SERVERS), 1.0);
        assert_eq!(evacuations::remainders(&node)["b"].spans, 0);
        check(&world);
    });
}

/// Keys without an owner in use would be lost to callers when the evacuation ends, and a move among
/// evacuated servers only costs.
#[test]
fn keys_stay_where_they_are_if_all_servers_are_evacuated() {
    with_paused_clock(7, async {
        let world = world(1);
        let node = start(&world, "n1");
        advance(4_000).await;
        let before: Vec<f64> = (0..SERVERS).map(|index| world.borrow().share(index)).collect();
        list(&[node], 5, &["a", "b"]);
        advance(8_000).await;
        let after: Vec<f64> = (0..SERVERS).map(|index| world.borrow().share(index)).collect();
        assert_eq!(after, before);
        check(&world);
    });
}

/// The operator changes their mind while handovers run.
#[test]
fn an_evacuation_that_is_cancelled_halfway_leaves_each_key_with_one_owner() {
    for seed in 0..10 {
        with_paused_clock(seed, async move {
            let world = world(seed);
            let node = start(&world, "n1");
            advance(4_000).await;
            list(slice::from_ref(&node), 5, &["b"]);
            advance(350 + seed * 20).await;
            list(slice::from_ref(&node), 6, &[]);
            advance(3_000).await;
            assert_eq!(share(&world, 0..SERVERS), 1.0, "seed {seed}");
            check(&world);
            list(&[node], 7, &["a"]);
            advance(MOVE_MS * 2).await;
            assert_eq!(share(&world, FAR..SERVERS), 0.0, "seed {seed}");
            assert_eq!(share(&world, 0..FAR), 1.0, "seed {seed}");
            check(&world);
        });
    }
}

/// The controller is lost while handovers run: the next one knows of the evacuation and goes on.
#[test]
fn the_next_controller_continues_an_evacuation() {
    for seed in 0..10 {
        with_paused_clock(seed, async move {
            let world = world(seed);
            let nodes = vec![start(&world, "n1"), start(&world, "n2")];
            let isolated = Rc::new(RefCell::new(false));
            spawn_local(exchange_heartbeats(nodes.clone(), isolated.clone()));
            advance(5_000).await;
            let first = nodes.iter().position(|node| node.control.borrow().is_leader()).unwrap();
            list(&nodes, 5, &["b"]);
            advance(seed * 60).await;
            *isolated.borrow_mut() = true;
            world.borrow_mut().cut_off.push(nodes[first].name().clone());
            advance(18_000).await;
            assert!(nodes[1 - first].control.borrow().is_leader(), "seed {seed}");
            assert_eq!(share(&world, 0..FAR), 0.0, "seed {seed}");
            assert_eq!(share(&world, FAR..SERVERS), 1.0, "seed {seed}");
            check(&world);
        });
    }
}

/// A store that does not respond stops no evacuation that the controller knows of: it cannot write new
/// owners, but goes on once it can, without the object being written again.
#[test]
fn an_evacuation_survives_a_silence_of_the_store() {
    with_paused_clock(7, async {
        let world = world(1);
        let node = start(&world, "n1");
        advance(4_000).await;
        world.borrow_mut().store_down = true;
        list(slice::from_ref(&node), 5, &["b"]);
        advance(6_000).await;
        assert!(node.view.borrow().evacuations.is_evacuated("b"));
        world.borrow_mut().store_down = false;
        advance(MOVE_MS * 2).await;
        assert_eq!(share(&world, 0..FAR), 0.0);
        assert_eq!(share(&world, FAR..SERVERS), 1.0);
        check(&world);
    });
}
