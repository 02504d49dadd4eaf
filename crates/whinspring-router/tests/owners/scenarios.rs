//! Scenarios with single faults.

use {
    crate::fake::{
        FaultRates, Platform, SERVICE, World, advance, exchange_heartbeats, start, start_with,
        with_paused_clock,
    },
    std::{cell::RefCell, rc::Rc, time::Duration},
    tokio::task::spawn_local,
    whinspring_router::{
        control, follow, limits,
        message::{Heartbeat, KeyLoad, ServerLatency, ServerLimit},
        node::Node,
        platform::{Kind, Store},
        settings::Limits,
    },
};

/// Most commands a second to a server that does not respond.
const COMMANDS_PER_S: usize = 4;

/// Runs a scenario on the paused clock.
fn scenario<F: Future<Output = ()>>(work: F) {
    with_paused_clock(7, work);
}

/// Checks that no rule was violated.
fn check(world: &Rc<RefCell<World>>) {
    assert_eq!(world.borrow().faults, Vec::<String>::new());
}

#[test]
fn keys_are_divided_once_servers_have_appeared() {
    scenario(async {
        let world = World::new(1, 4);
        start(&world, "n1");
        advance(4_000).await;
        for index in 0..4 {
            assert_eq!(world.borrow().share(index), 0.25, "server {index}");
        }
        check(&world);
    });
}

#[test]
fn grants_outlast_an_outage_of_the_store() {
    scenario(async {
        let world = World::new(1, 4);
        start(&world, "n1");
        advance(4_000).await;
        world.borrow_mut().store_down = true;
        for _ in 0..9 {
            advance(1_000).await;
            assert_eq!(world.borrow().share(0), 0.25);
        }
        world.borrow_mut().store_down = false;
        advance(3_000).await;
        assert_eq!(world.borrow().share(0), 0.25);
        check(&world);
    });
}

#[test]
fn a_controller_without_the_store_ends_its_grants() {
    scenario(async {
        let world = World::new(1, 4);
        start(&world, "n1");
        advance(4_000).await;
        world.borrow_mut().store_down = true;
        advance(24_000).await;
        assert_eq!(world.borrow().share(0), 0.0);
    });
}

#[test]
fn a_leaving_server_hands_its_keys_over() {
    scenario(async {
        let world = World::new(1, 4);
        start(&world, "n1");
        advance(4_000).await;
        world.borrow_mut().leave(1);
        advance(1_300).await;
        assert_eq!(world.borrow().share(1), 0.0);
        let held: f64 = (0..4).map(|index| world.borrow().share(index)).sum();
        assert_eq!(held, 1.0);
        check(&world);
    });
}

/// The store knows nothing yet: the server says it in its responses to grants.
#[test]
fn a_server_that_leaves_by_its_own_word_hands_its_keys_over() {
    scenario(async {
        let world = World::new(1, 4);
        start(&world, "n1");
        advance(4_000).await;
        world.borrow_mut().speaking = Some("s01".into());
        advance(3_000).await;
        assert_eq!(world.borrow().share(1), 0.0);
        let held: f64 = (0..4).map(|index| world.borrow().share(index)).sum();
        assert_eq!(held, 1.0);
        check(&world);
    });
}

#[test]
fn keys_of_an_unreachable_server_are_granted_again_after_its_lease_expires() {
    scenario(async {
        let world = World::new(1, 4);
        start(&world, "n1");
        advance(4_000).await;
        world.borrow_mut().set_unreachable(2, true);
        world.borrow_mut().list(2, false);
        advance(8_000).await;
        let held: f64 = [0, 1, 3].iter().map(|index| world.borrow().share(*index)).sum();
        assert_eq!(held, 1.0);
        check(&world);
    });
}

/// A server with too many connections refuses further ones like a dead server.
#[test]
fn a_server_that_answers_requests_is_not_dead() {
    scenario(async {
        let world = World::new(1, 4);
        let node = start(&world, "n1");
        advance(4_000).await;
        world.borrow_mut().refuse_connections(2);
        let latency = ServerLatency {
            server: "s02".into(),
            count: 1,
            total_ms: 100,
            expected_ms: 100,
            errors: 0,
        };
        let heartbeat = Heartbeat { latencies: vec![latency], ..Heartbeat::default() };
        for _ in 0..15 {
            advance(200).await;
            node.control.borrow_mut().record_measurements(node.now(), &heartbeat);
        }
        assert_eq!(world.borrow().share(2), 0.25);
        check(&world);
    });
}

/// Guards against a planner that takes errors within milliseconds for speed and gives keys to the
/// server that sends them. If all servers send errors, no keys move.
#[test]
fn keys_leave_a_server_that_responds_with_errors() {
    for failing in [&["s02"][..], &["s00", "s01", "s02", "s03"]] {
        scenario(async {
            let world = World::new(1, 4);
            let node = start(&world, "n1");
            advance(4_000).await;
            let measured = |server: &str, is_failing: bool| {
                let (count, errors) = if is_failing { (1, 9) } else { (10, 0) };
                let total_ms = count * 130;
                let server = server.into();
                ServerLatency { server, count, total_ms, expected_ms: total_ms, errors }
            };
            let run = async |failing: &[&str]| {
                for _ in 0..25 {
                    advance(200).await;
                    let servers = ["s00", "s01", "s02", "s03"];
                    let latencies =
                        servers.map(|server| measured(server, failing.contains(&server))).into();
                    let keys = (0..40).map(|number| KeyLoad {
                        service: SERVICE.into(),
                        key: number * 65_536 / 40,
                        work_ms: 20,
                    });
                    let heartbeat =
                        Heartbeat { keys: keys.collect(), latencies, ..Heartbeat::default() };
                    node.control.borrow_mut().record_measurements(node.now(), &heartbeat);
                }
            };
            run(&[]).await;
            let before = world.borrow().share(2);
            run(failing).await;

            let during = world.borrow().share(2);
            match failing.len() {
                1 => assert!(during < 0.1, "{before} {during}"),
                _ => assert_eq!(during, before),
            }
            run(&[]).await;
            run(&[]).await;
            run(&[]).await;
            let after = world.borrow().share(2);
            assert!(after > 0.15, "{after}");
            check(&world);
        });
    }
}

/// A server that limits its requests to a seventh of what arrives for its keys: most of them go to
/// the others, and come back once the limit is lifted.
#[test]
fn keys_leave_a_server_while_it_limits_its_requests() {
    scenario(async {
        let world = World::new(1, 4);
        let node = start(&world, "n1");
        advance(4_000).await;
        let loaded = |count: u32| {
            let key = |number: u32| KeyLoad {
                service: SERVICE.into(),
                key: number * 65_536 / count,
                work_ms: 20,
            };
            let latency = |server: &str| ServerLatency {
                server: server.into(),
                count: 2,
                total_ms: 260,
                expected_ms: 260,
                errors: 0,
            };
            Heartbeat {
                keys: (0..count).map(key).collect(),
                latencies: ["s00", "s01", "s02", "s03"].map(latency).into(),
                ..Heartbeat::default()
            }
        };
        let run = async |rate: Option<f64>| {
            for _ in 0..50 {
                advance(200).await;
                node.control.borrow_mut().record_measurements(node.now(), &loaded(40));
                limits::learn(&node, &[limit_of(&node, "s02", rate)]);
            }
        };
        run(None).await;
        let before = world.borrow().share(2);
        assert!(before > 0.2, "{before}");
        run(Some(1.0)).await;
        let limited = world.borrow().share(2);
        assert!(limited < 0.1, "{limited}");
        run(None).await;
        let after = world.borrow().share(2);
        assert!(after > 0.15, "{after}");
        check(&world);
    });
}

/// Guards against a planner that gives a cold server half of a warm one's keys whatever it tolerates,
/// and against keys that stay away once the server is warm.
#[test]
fn keys_leave_a_server_that_becomes_cold_and_come_back() {
    scenario(async {
        let world = World::new(1, 4);
        let (cold_overrun, cold_slack) = (Some(1.5), Some(2.0));
        let limits = Limits { cold_overrun, cold_slack, ..Limits::default() };
        let node = start_with(&world, "n1", limits);
        advance(4_000).await;
        let key = |number: u32| KeyLoad {
            service: SERVICE.into(),
            key: number * 65_536 / 40,
            work_ms: 20,
        };
        let loaded = Heartbeat { keys: (0..40).map(key).collect(), ..Heartbeat::default() };
        let run = async |rounds: u32, left_ms: u64| {
            for _ in 0..rounds {
                advance(200).await;
                let now = node.now();
                node.control.borrow_mut().record_measurements(now, &loaded);
                let left = Duration::from_millis(left_ms);
                let mut view = node.view.borrow_mut();
                view.servers.get_mut("s02").unwrap().record_warmup(left, now, now);
            }
        };
        run(50, 0).await;
        let before = world.borrow().share(2);
        assert!(before > 0.2, "{before}");
        run(50, 5_000).await;
        let cold = world.borrow().share(2);
        assert!(cold < 0.1, "{cold}");
        run(25, 0).await;
        let after = world.borrow().share(2);
        assert!(after > 0.15, "{after}");
        check(&world);
    });
}

/// Returns what a node says of the limit of a server.
fn limit_of(node: &Rc<Node<Platform>>, server: &str, rate: Option<f64>) -> ServerLimit {
    let life = node.view.borrow().servers[server].life();
    ServerLimit {
        server: server.into(),
        start_ms: life.start_ms,
        addr: life.addr.to_string(),
        rate,
        lifted: rate.is_none(),
        age_ms: 0,
    }
}

/// A leaving server refuses connections while its last requests end.
#[test]
fn a_leaving_server_is_not_dead_at_once() {
    scenario(async {
        let world = World::new(1, 4);
        start(&world, "n1");
        advance(4_000).await;
        world.borrow_mut().leave(1);
        world.borrow_mut().refuse_connections(1);
        advance(1_800).await;
        check(&world);
        world.borrow_mut().crash(1);
        advance(3_000).await;
        let held: f64 = [0, 2, 3].iter().map(|index| world.borrow().share(*index)).sum();
        assert_eq!(held, 1.0);
        check(&world);
    });
}

#[test]
fn a_server_at_the_address_of_a_lost_one_gets_no_keys_of_it() {
    scenario(async {
        let world = World::new(1, 4);
        start(&world, "n1");
        advance(4_000).await;
        world.borrow_mut().replace(2);
        advance(2_500).await;
        world.borrow_mut().list(2, false);
        advance(10_000).await;
        check(&world);
    });
}

/// A grant that a server has refused does not prolong the time for which it may hold the keys.
#[test]
fn a_handover_ends_though_the_former_owner_refuses_every_command() {
    scenario(async {
        let world = World::new(1, 4);
        start(&world, "n1");
        advance(4_000).await;
        world.borrow_mut().show_high_fence(1);
        world.borrow_mut().leave(1);
        advance(8_000).await;
        let held: f64 = [0, 2, 3].iter().map(|index| world.borrow().share(*index)).sum();
        assert_eq!(held, 1.0);
        check(&world);
    });
}

/// Load pattern: a new controller grants thousands of ranges at once. Each command that a server
/// carries out at the same time takes a connection and its buffers.
#[test]
fn the_leases_of_one_server_are_renewed_one_after_the_other() {
    scenario(async {
        let world = World::new(1, 4);
        world.borrow_mut().store_owners(256);
        let node = start(&world, "n1");
        follow::apply_listing(&node, Kind::Owners, node.platform.list(Kind::Owners).await.unwrap());
        advance(20_000).await;
        for index in 0..4 {
            assert_eq!(world.borrow().share(index), 0.25, "server {index}");
        }
        assert_eq!(world.borrow().most_in_flight, 1);
        check(&world);
    });
}

/// Load pattern: a server with many ranges of keys is cut off. A command for each of them, again and
/// again, would occupy the controller and its connections.
#[test]
fn a_server_that_does_not_respond_gets_few_commands() {
    const SPANS: usize = 256;
    scenario(async {
        let world = World::new(1, 4);
        world.borrow_mut().store_owners(SPANS);
        let node = start(&world, "n1");
        follow::apply_listing(&node, Kind::Owners, node.platform.list(Kind::Owners).await.unwrap());
        advance(20_000).await;
        assert_eq!(world.borrow().share(1), 0.25);
        world.borrow_mut().set_unreachable(1, true);
        advance(2_000).await;
        world.borrow_mut().list(1, false);
        let before = world.borrow().commands_to(1);
        advance(3_000).await;
        let sent = world.borrow().commands_to(1) - before;
        assert!((1..=3 * COMMANDS_PER_S).contains(&sent), "{sent} commands");
        advance(7_000).await;
        let held: f64 = [0, 2, 3].iter().map(|index| world.borrow().share(*index)).sum();
        assert_eq!(held, 1.0);
        check(&world);
    });
}

/// The entry of a server that has ended may come back, so that it seems to be newer than that of
/// the server that has its address now.
#[test]
fn an_old_entry_that_returns_does_not_end_the_server_at_its_address() {
    scenario(async {
        let world = World::new(1, 4);
        start(&world, "n1");
        advance(4_000).await;
        world.borrow_mut().replace(2);
        world.borrow_mut().list(2, false);
        advance(8_000).await;
        assert!(world.borrow().successor_share(2) > 0.1);
        world.borrow_mut().list(2, true);
        advance(500).await;
        world.borrow_mut().leave_successor(2);
        advance(2_000).await;
        world.borrow_mut().list(2, false);
        advance(8_000).await;
        check(&world);
        assert_eq!(world.borrow().successor_share(2), 0.0);
    });
}

/// A controller that cannot reach the store continues next to its successor until it hears of it.
#[test]
fn two_controllers_never_grant_a_key_twice() {
    scenario(async {
        let world = World::new(1, 6);
        let nodes = vec![start(&world, "n1"), start(&world, "n2")];
        let isolated = Rc::new(RefCell::new(false));
        spawn_local(exchange_heartbeats(nodes.clone(), isolated.clone()));
        advance(5_000).await;
        let first = nodes.iter().position(|node| node.control.borrow().is_leader()).unwrap();
        let name = nodes[first].name().clone();
        *isolated.borrow_mut() = true;
        world.borrow_mut().cut_off.push(name);
        advance(3_000).await;
        assert!(nodes[1 - first].control.borrow().is_leader());
        world.borrow_mut().leave(0);
        world.borrow_mut().leave(1);
        advance(3_000).await;
        world.borrow_mut().cut_off.clear();
        *isolated.borrow_mut() = false;
        advance(15_000).await;
        check(&world);
    });
}

/// A controller without the store gives long grants, and the shorter ones of its successor to the
/// same server do not end them.
#[test]
fn keys_wait_for_the_long_grants_of_an_earlier_controller() {
    scenario(async {
        let world = World::new(1, 6);
        let nodes = vec![start(&world, "n1"), start(&world, "n2")];
        let isolated = Rc::new(RefCell::new(false));
        spawn_local(exchange_heartbeats(nodes.clone(), isolated.clone()));
        advance(5_000).await;
        let first = nodes.iter().position(|node| node.control.borrow().is_leader()).unwrap();
        let next = &nodes[1 - first];
        world.borrow_mut().cut_off.push(nodes[first].name().clone());
        advance(3_000).await;
        *isolated.borrow_mut() = true;
        while !next.control.borrow().is_leader() {
            advance(50).await;
        }
        advance(1_000).await;
        world.borrow_mut().set_unreachable(0, true);
        world.borrow_mut().list(0, false);
        *isolated.borrow_mut() = false;
        advance(14_000).await;
        check(&world);
        let held: f64 = (1..6).map(|index| world.borrow().share(index)).sum();
        assert_eq!(held, 1.0);
    });
}

#[test]
fn orders_that_are_carried_out_late_break_nothing() {
    scenario(async {
        let world = World::new(3, 6);
        start(&world, "n1");
        advance(4_000).await;
        world.borrow_mut().fault_rates = FaultRates { late: 50, ..FaultRates::default() };
        world.borrow_mut().leave(0);
        advance(2_000).await;
        world.borrow_mut().leave(1);
        advance(20_000).await;
        check(&world);
    });
}

#[test]
fn orders_that_arrive_after_their_sender_gave_up_break_nothing() {
    for seed in 0..10 {
        scenario(async move {
            let world = World::new(seed, 6);
            start(&world, "n1");
            advance(4_000).await;
            world.borrow_mut().fault_rates = FaultRates { slow: 40, ..FaultRates::default() };
            for index in 0..4 {
                world.borrow_mut().leave(index);
                advance(2_500).await;
            }
            advance(5_000).await;
            check(&world);
        });
    }
}

/// A server that has restarted accepts renewals that were meant for its previous instance.
#[test]
fn a_restarted_server_releases_a_grant_meant_for_its_former_instance() {
    for late in [300, 700, 1_500, 2_900] {
        scenario(async move {
            let world = World::new(1, 4);
            start(&world, "n1");
            advance(4_000).await;
            world.borrow_mut().restart(2);
            advance(late).await;
            world.borrow_mut().publish_entry(2);
            world.borrow_mut().leave(2);
            advance(8_000).await;
            check(&world);
            let held: f64 = (0..4).map(|index| world.borrow().share(index)).sum();
            assert_eq!(held, 1.0);
        });
    }
}

/// The same with commands of a controller that does not know yet that it was deposed.
#[test]
fn a_restarted_server_releases_grants_of_an_earlier_controller() {
    for seed in 0..20 {
        scenario(async move {
            let world = World::new(seed, 6);
            let nodes = vec![start(&world, "n1"), start(&world, "n2")];
            let isolated = Rc::new(RefCell::new(false));
            spawn_local(exchange_heartbeats(nodes.clone(), isolated.clone()));
            advance(5_000 + seed * 70).await;
            let first = nodes.iter().position(|node| node.control.borrow().is_leader()).unwrap();
            *isolated.borrow_mut() = true;
            world.borrow_mut().cut_off.push(nodes[first].name().clone());
            world.borrow_mut().restart(3);
            advance(500).await;
            world.borrow_mut().publish_entry(3);
            world.borrow_mut().leave(3);
            advance(6_000).await;
            world.borrow_mut().cut_off.clear();
            *isolated.borrow_mut() = false;
            advance(12_000).await;
            check(&world);
        });
    }
}

/// A controller that resigns for a planned stop must send no commands once another node may be
/// elected, also if the response to its resignation is late.
#[test]
fn a_controller_that_resigns_orders_nothing_more() {
    for seed in 0..20 {
        scenario(async move {
            let world = World::new(seed, 6);
            let nodes = vec![start(&world, "n1"), start(&world, "n2")];
            spawn_local(exchange_heartbeats(nodes.clone(), Rc::default()));
            advance(5_000 + seed * 70).await;
            let leader =
                nodes.iter().find(|node| node.control.borrow().is_leader()).unwrap().clone();
            let commands = || {
                let world = world.borrow();
                world.commands.iter().filter(|node| *node == leader.name()).count()
            };
            world.borrow_mut().slow = Some(leader.name().clone());
            leader.leaving.set(true);
            let leaving = leader.clone();
            spawn_local(async move { control::resign(&leaving).await });
            advance(20).await;
            let before = commands();
            advance(4_000).await;
            assert_eq!(commands(), before, "seed {seed}");
            check(&world);
        });
    }
}

/// A controller learns during a write that it was deposed, and reads owners that its successor
/// wrote.
#[test]
fn a_deposed_controller_writes_nothing_under_the_term_of_its_successor() {
    for seed in 0..20 {
        scenario(async move {
            let world = World::new(seed, 9);
            let nodes = vec![start(&world, "n1"), start(&world, "n2")];
            spawn_local(exchange_heartbeats(nodes.clone(), Rc::default()));
            advance(5_000 + seed * 70).await;
            let leader =
                nodes.iter().find(|node| node.control.borrow().is_leader()).unwrap().clone();
            world.borrow_mut().leave(0);
            advance(100 + seed * 25).await;
            world.borrow_mut().slow = Some(leader.name().clone());
            advance(100).await;
            leader.leaving.set(true);
            let leaving = leader.clone();
            spawn_local(async move { control::resign(&leaving).await });
            for index in 1..7 {
                advance(200).await;
                world.borrow_mut().leave(index);
            }
            advance(6_000).await;
            check(&world);
        });
    }
}

/// Granting the keys of many servers takes CPU time that not every node has.
#[test]
fn a_node_with_little_processor_time_leaves_its_place_to_another() {
    scenario(async {
        let world = World::new(1, 6);
        let limits = |cpu_percent| Limits { cpu_percent, ..Limits::default() };
        let weak = start_with(&world, "n1", limits(10));
        advance(4_000).await;
        assert!(weak.control.borrow().is_leader());
        let strong = start_with(&world, "n2", limits(50));
        spawn_local(exchange_heartbeats(vec![weak.clone(), strong.clone()], Rc::default()));
        advance(4_000).await;
        assert!(strong.control.borrow().is_leader() && !weak.control.borrow().is_leader());
        advance(8_000).await;
        assert!(strong.control.borrow().is_leader());
        let held: f64 = (0..6).map(|index| world.borrow().share(index)).sum();
        assert!((held - 1.0).abs() < 0.001, "{held}");
        check(&world);
    });
}
