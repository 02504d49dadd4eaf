//! A deposed controller that still commands: servers that start again under their names have lost the
//! fencing tokens that shut it out, and those that its successors do not reach never had them.

use {
    crate::fake::{Platform, World, advance, exchange_heartbeats, name, start, with_paused_clock},
    std::{cell::RefCell, rc::Rc},
    tokio::task::spawn_local,
    whinspring_router::{control, message::Heartbeat, node::Node},
};

const SERVERS: usize = 6;

/// Time in which the second node finds out that the controller is silent, and takes its place.
const ELECTION_MS: u64 = 2_500;

/// Time in which a server hands its keys over to others.
const MOVE_MS: u64 = 3_000;

/// Time in which the keys of a crashed server move to others, as its leases have expired. The longest is
/// one of the deposed controller, which had no confirmation by the store.
const EXPIRED_MS: u64 = 7_500;

/// Starts two nodes, and cuts the controller off from the store and the other node. Returns the nodes,
/// the controller last.
async fn cut_controller_off(world: &Rc<RefCell<World>>) -> [Rc<Node<Platform>>; 2] {
    let mut nodes = [start(world, "n1"), start(world, "n2")];
    let isolated = Rc::new(RefCell::new(false));
    spawn_local(exchange_heartbeats(nodes.to_vec(), isolated.clone()));
    advance(6_000).await;
    nodes.sort_by_key(|node| node.control.borrow().is_leader());
    *isolated.borrow_mut() = true;
    world.borrow_mut().cut_off.push(nodes[1].name().clone());
    advance(ELECTION_MS).await;
    assert!(nodes.iter().all(|node| node.control.borrow().is_leader()));
    nodes
}

/// Plays a change at server 0, starts it again when its keys are at other servers, after `move_ms`, and
/// checks that no two servers hold a key.
fn play(seed: u64, move_ms: u64, change: fn(&mut World)) {
    with_paused_clock(seed, async {
        let world = World::new(seed, SERVERS);
        let _nodes = cut_controller_off(&world).await;
        change(&mut world.borrow_mut());
        advance(move_ms + 30 * seed).await;
        let others: f64 = (1..SERVERS).map(|index| world.borrow().share(index)).sum();
        assert_eq!(others, 1.0, "seed {seed}: the keys of the server are not at others");
        world.borrow_mut().restart(0);
        world.borrow_mut().publish_entry(0);
        world.borrow_mut().list(0, true);
        advance(8_000).await;
        assert_eq!(world.borrow().faults, Vec::<String>::new(), "seed {seed}");
    });
}

/// Guards against two servers that hold the same keys: one crashed and its keys went to others, and it
/// takes renewals of the controller before, which still reaches it, once it has started again.
#[test]
fn a_crashed_server_that_starts_again_takes_no_renewals_of_a_deposed_controller() {
    let crash = |world: &mut World| {
        world.crash(0);
        world.list(0, false);
    };
    (0..20).for_each(|seed| play(seed, EXPIRED_MS, crash));
}

/// The same after a handover in good order.
#[test]
fn a_server_that_handed_its_keys_over_and_starts_again_takes_no_renewals_of_a_deposed_controller() {
    (0..20).for_each(|seed| play(seed, MOVE_MS, |world| world.leave(0)));
}

/// Time from the election of a controller until the leases of all earlier ones have expired.
const ALL_EXPIRED_MS: u64 = 12_000 + 10_500;

/// Guards against two servers that hold the same keys: the controller is cut off and goes on renewing the
/// leases of a server that the others do not reach, its successor resigns, and the one after that
/// takes the end of the second for the end of both.
#[test]
fn a_controller_waits_for_all_earlier_ones_and_not_only_for_the_last() {
    for seed in 0..10 {
        with_paused_clock(seed, async {
            let world = World::new(seed, SERVERS);
            let mut nodes = ["n1", "n2", "n3"].map(|node| start(&world, node)).to_vec();
            let isolated = Rc::new(RefCell::new(false));
            spawn_local(exchange_heartbeats(nodes.clone(), isolated.clone()));
            advance(6_000).await;
            nodes.sort_by_key(|node| !node.control.borrow().is_leader());
            let others: Vec<_> = nodes[1..].iter().map(|node| node.name().clone()).collect();
            world.borrow_mut().cut_off.push(nodes[0].name().clone());
            world.borrow_mut().unreached = Some((name(0), others));
            world.borrow_mut().leave(0);
            world.borrow_mut().split_off = Some(nodes[0].name().clone());
            while !nodes[1..].iter().any(|node| node.control.borrow().is_leader()) {
                advance(50).await;
            }
            advance(100 + 70 * seed).await;
            nodes[1..].sort_by_key(|node| !node.control.borrow().is_leader());
            control::resign(&nodes[1]).await;
            nodes[1].leaving.set(true);
            advance(ALL_EXPIRED_MS).await;
            assert!(nodes[2].control.borrow().is_leader(), "seed {seed}");
            assert_eq!(world.borrow().faults, Vec::<String>::new(), "seed {seed}");
            let others: f64 = (1..SERVERS).map(|index| world.borrow().share(index)).sum();
            assert_eq!(others, 1.0, "seed {seed}: the keys of the server are not at others");
        });
    }
}

/// Returns a heartbeat of another run of a node.
fn restarted(node: &Node<Platform>) -> Heartbeat {
    Heartbeat { node: node.name().to_string(), incarnation: 7, ..Heartbeat::default() }
}

/// Guards against a successor that waits for controllers which have stopped: their runs are named in the
/// record, so that it knows them by their heartbeats, and they go out of it.
#[test]
fn the_record_of_a_controller_names_the_earlier_ones_that_may_still_act() {
    for is_heard in [false, true] {
        with_paused_clock(0, async {
            let world = World::new(0, SERVERS);
            let [second, first] = cut_controller_off(&world).await;
            let named = || -> Vec<u64> {
                let record = world.borrow().control_record();
                record.earlier.iter().map(|earlier| earlier.incarnation).collect()
            };
            assert_eq!(named(), [first.incarnation]);
            if is_heard {
                let heartbeat = restarted(&first);
                second.control.borrow_mut().on_heartbeat(second.now(), first.name(), &heartbeat);
            }
            advance(4_000).await;
            assert_eq!(named().is_empty(), is_heard);
            advance(10_000).await;
            assert!(named().is_empty() && second.control.borrow().is_leader());
        });
    }
}

/// Guards against keys that wait for a controller that was named in the record and has started again.
#[test]
fn a_controller_does_not_wait_for_earlier_ones_that_have_started_again() {
    with_paused_clock(0, async {
        let world = World::new(0, SERVERS);
        let [second, first] = cut_controller_off(&world).await;
        let third = start(&world, "n3");
        advance(1_000).await;
        control::resign(&second).await;
        second.leaving.set(true);
        let heartbeat = restarted(&first);
        while !third.control.borrow().is_leader() {
            advance(50).await;
        }
        world.borrow_mut().split_off = Some(first.name().clone());
        third.control.borrow_mut().on_heartbeat(third.now(), first.name(), &heartbeat);
        world.borrow_mut().set_unreachable(0, true);
        world.borrow_mut().leave(0);
        advance(9_000).await;
        let others: f64 = (1..SERVERS).map(|index| world.borrow().share(index)).sum();
        assert_eq!(others, 1.0);
    });
}
