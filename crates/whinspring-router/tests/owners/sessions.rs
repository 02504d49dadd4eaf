//! Single faults, one after the other.

use {
    crate::fake::{Odds, World, on_moved_time, pass, start, start_with, tell},
    std::{cell::RefCell, rc::Rc},
    tokio::task::spawn_local,
    whinspring_router::{
        control,
        message::{Beat, Pace},
        settings::Limits,
    },
};

/// Runs a session on the runtime's own time.
fn session<F: Future<Output = ()>>(work: F) {
    on_moved_time(7, work);
}

/// Checks that nothing broke.
fn check(world: &Rc<RefCell<World>>) {
    assert_eq!(world.borrow().faults, Vec::<String>::new());
}

#[test]
fn keys_are_divided_once_servers_have_appeared() {
    session(async {
        let world = World::new(1, 4);
        start(&world, "n1");
        pass(4_000).await;
        for index in 0..4 {
            assert_eq!(world.borrow().share(index), 0.25, "server {index}");
        }
        check(&world);
    });
}

#[test]
fn grants_outlast_an_outage_of_the_store() {
    session(async {
        let world = World::new(1, 4);
        start(&world, "n1");
        pass(4_000).await;
        world.borrow_mut().store_down = true;
        for _ in 0..9 {
            pass(1_000).await;
            assert_eq!(world.borrow().share(0), 0.25);
        }
        world.borrow_mut().store_down = false;
        pass(3_000).await;
        assert_eq!(world.borrow().share(0), 0.25);
        check(&world);
    });
}

#[test]
fn a_controller_without_the_store_ends_its_grants() {
    session(async {
        let world = World::new(1, 4);
        start(&world, "n1");
        pass(4_000).await;
        world.borrow_mut().store_down = true;
        pass(24_000).await;
        assert_eq!(world.borrow().share(0), 0.0);
    });
}

#[test]
fn a_leaving_server_hands_its_keys_over() {
    session(async {
        let world = World::new(1, 4);
        start(&world, "n1");
        pass(4_000).await;
        world.borrow_mut().leave(1);
        pass(1_300).await;
        assert_eq!(world.borrow().share(1), 0.0);
        let held: f64 = (0..4).map(|index| world.borrow().share(index)).sum();
        assert_eq!(held, 1.0);
        check(&world);
    });
}

#[test]
fn keys_of_a_dark_server_are_held_again_once_its_grant_has_run_out() {
    session(async {
        let world = World::new(1, 4);
        start(&world, "n1");
        pass(4_000).await;
        world.borrow_mut().darken(2, true);
        world.borrow_mut().list(2, false);
        pass(8_000).await;
        let held: f64 = [0, 1, 3].iter().map(|index| world.borrow().share(*index)).sum();
        assert_eq!(held, 1.0);
        check(&world);
    });
}

#[test]
fn keys_of_a_crashed_server_are_held_again_within_two_seconds() {
    session(async {
        let world = World::new(1, 4);
        start(&world, "n1");
        pass(4_000).await;
        world.borrow_mut().crash(2);
        pass(2_000).await;
        let held: f64 = [0, 1, 3].iter().map(|index| world.borrow().share(*index)).sum();
        assert_eq!(held, 1.0);
        check(&world);
    });
}

/// A server with too many connections refuses them like one that has ended.
#[test]
fn a_server_that_answers_requests_is_not_dead() {
    session(async {
        let world = World::new(1, 4);
        let node = start(&world, "n1");
        pass(4_000).await;
        world.borrow_mut().fill(2);
        let pace = Pace { server: "s02".into(), count: 1, took: 100, usual: 100 };
        let beat = Beat { paces: vec![pace], ..Beat::default() };
        for _ in 0..15 {
            pass(200).await;
            node.control.borrow_mut().measure(node.now(), &beat);
        }
        assert_eq!(world.borrow().share(2), 0.25);
        check(&world);
    });
}

/// A leaving server refuses connections while its last work ends.
#[test]
fn a_leaving_server_is_not_dead_at_once() {
    session(async {
        let world = World::new(1, 4);
        start(&world, "n1");
        pass(4_000).await;
        world.borrow_mut().leave(1);
        world.borrow_mut().fill(1);
        pass(1_800).await;
        check(&world);
        world.borrow_mut().crash(1);
        pass(3_000).await;
        let held: f64 = [0, 2, 3].iter().map(|index| world.borrow().share(*index)).sum();
        assert_eq!(held, 1.0);
        check(&world);
    });
}

#[test]
fn a_server_at_the_address_of_a_lost_one_gets_no_keys_of_it() {
    session(async {
        let world = World::new(1, 4);
        start(&world, "n1");
        pass(4_000).await;
        world.borrow_mut().replace(2);
        pass(2_500).await;
        world.borrow_mut().list(2, false);
        pass(10_000).await;
        check(&world);
    });
}

/// A controller that the store turns away goes on beside its successor until it hears of it.
#[test]
fn two_controllers_never_grant_a_key_twice() {
    session(async {
        let world = World::new(1, 6);
        let nodes = vec![start(&world, "n1"), start(&world, "n2")];
        let deaf = Rc::new(RefCell::new(false));
        spawn_local(tell(nodes.clone(), deaf.clone()));
        pass(5_000).await;
        let first = nodes.iter().position(|node| node.control.borrow().leads()).unwrap();
        let name = nodes[first].name().clone();
        *deaf.borrow_mut() = true;
        world.borrow_mut().cut.push(name);
        pass(3_000).await;
        assert!(nodes[1 - first].control.borrow().leads());
        world.borrow_mut().leave(0);
        world.borrow_mut().leave(1);
        pass(3_000).await;
        world.borrow_mut().cut.clear();
        *deaf.borrow_mut() = false;
        pass(15_000).await;
        check(&world);
    });
}

#[test]
fn orders_that_are_carried_out_late_break_nothing() {
    session(async {
        let world = World::new(3, 6);
        start(&world, "n1");
        pass(4_000).await;
        world.borrow_mut().odds = Odds { late: 50, ..Odds::default() };
        world.borrow_mut().leave(0);
        pass(2_000).await;
        world.borrow_mut().leave(1);
        pass(20_000).await;
        check(&world);
    });
}

#[test]
fn orders_that_arrive_after_their_sender_gave_up_break_nothing() {
    for seed in 0..10 {
        session(async move {
            let world = World::new(seed, 6);
            start(&world, "n1");
            pass(4_000).await;
            world.borrow_mut().odds = Odds { slow: 40, ..Odds::default() };
            for index in 0..4 {
                world.borrow_mut().leave(index);
                pass(2_500).await;
            }
            pass(5_000).await;
            check(&world);
        });
    }
}

/// A server that has started again takes renewals that were meant for its life before.
#[test]
fn a_reborn_server_that_took_an_older_grant_gives_it_back() {
    for late in [300, 700, 1_500, 2_900] {
        session(async move {
            let world = World::new(1, 4);
            start(&world, "n1");
            pass(4_000).await;
            world.borrow_mut().rebear(2);
            pass(late).await;
            world.borrow_mut().announce(2);
            world.borrow_mut().leave(2);
            pass(8_000).await;
            check(&world);
            let held: f64 = (0..4).map(|index| world.borrow().share(index)).sum();
            assert_eq!(held, 1.0);
        });
    }
}

/// The same with orders of a controller that does not know yet that it has lost its place.
#[test]
fn a_reborn_server_gives_back_what_an_earlier_controller_granted() {
    for seed in 0..20 {
        session(async move {
            let world = World::new(seed, 6);
            let nodes = vec![start(&world, "n1"), start(&world, "n2")];
            let deaf = Rc::new(RefCell::new(false));
            spawn_local(tell(nodes.clone(), deaf.clone()));
            pass(5_000 + seed * 70).await;
            let first = nodes.iter().position(|node| node.control.borrow().leads()).unwrap();
            *deaf.borrow_mut() = true;
            world.borrow_mut().cut.push(nodes[first].name().clone());
            world.borrow_mut().rebear(3);
            pass(500).await;
            world.borrow_mut().announce(3);
            world.borrow_mut().leave(3);
            pass(6_000).await;
            world.borrow_mut().cut.clear();
            *deaf.borrow_mut() = false;
            pass(12_000).await;
            check(&world);
        });
    }
}

/// A controller that stops as planned gives no order once another may take its place, also if it
/// does not know yet that its resignation was written.
#[test]
fn a_controller_that_resigns_orders_nothing_more() {
    for seed in 0..20 {
        session(async move {
            let world = World::new(seed, 6);
            let nodes = vec![start(&world, "n1"), start(&world, "n2")];
            spawn_local(tell(nodes.clone(), Rc::default()));
            pass(5_000 + seed * 70).await;
            let chief = nodes.iter().find(|node| node.control.borrow().leads()).unwrap().clone();
            let orders = || {
                let world = world.borrow();
                world.orders.iter().filter(|node| *node == chief.name()).count()
            };
            world.borrow_mut().slow = Some(chief.name().clone());
            chief.leaving.set(true);
            let leaver = chief.clone();
            spawn_local(async move { control::resign(&leaver).await });
            pass(20).await;
            let before = orders();
            pass(4_000).await;
            assert_eq!(orders(), before, "seed {seed}");
            check(&world);
        });
    }
}

/// A controller learns in the middle of a write that it has lost its place, and reads owners that
/// its successor has written.
#[test]
fn a_deposed_controller_writes_nothing_under_the_term_of_its_successor() {
    for seed in 0..20 {
        session(async move {
            let world = World::new(seed, 9);
            let nodes = vec![start(&world, "n1"), start(&world, "n2")];
            spawn_local(tell(nodes.clone(), Rc::default()));
            pass(5_000 + seed * 70).await;
            let chief = nodes.iter().find(|node| node.control.borrow().leads()).unwrap().clone();
            world.borrow_mut().leave(0);
            pass(100 + seed * 25).await;
            world.borrow_mut().slow = Some(chief.name().clone());
            pass(100).await;
            chief.leaving.set(true);
            let leaver = chief.clone();
            spawn_local(async move { control::resign(&leaver).await });
            for index in 1..7 {
                pass(200).await;
                world.borrow_mut().leave(index);
            }
            pass(6_000).await;
            check(&world);
        });
    }
}

/// Granting keys of many servers takes processor time that not every node has.
#[test]
fn a_node_with_little_processor_time_leaves_its_place_to_another() {
    session(async {
        let world = World::new(1, 6);
        let limits = |cpu_percent| Limits { cpu_percent, ..Limits::default() };
        let weak = start_with(&world, "n1", limits(10));
        pass(4_000).await;
        assert!(weak.control.borrow().leads());
        let strong = start_with(&world, "n2", limits(50));
        spawn_local(tell(vec![weak.clone(), strong.clone()], Rc::default()));
        pass(4_000).await;
        assert!(strong.control.borrow().leads() && !weak.control.borrow().leads());
        pass(8_000).await;
        assert!(strong.control.borrow().leads());
        let held: f64 = (0..6).map(|index| world.borrow().share(index)).sum();
        assert!((held - 1.0).abs() < 0.001, "{held}");
        check(&world);
    });
}
