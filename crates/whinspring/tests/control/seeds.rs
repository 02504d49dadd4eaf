//! Runs whose faults, delays and order a seed picks. A failing seed replays exactly.
//!
//! A fixed set of seeds runs by default; `WHINSPRING_SEEDS=1000` runs as many, and
//! `WHINSPRING_SEED=17` only that one.

use {
    crate::{
        fake::World,
        sessions::{confirm, declare, service},
    },
    rand::Rng,
    std::env,
    whinspring::{
        control::{Event, VmState},
        model::{PlanState, Step},
        name::{Name, ServerId, Slice},
        record::{Key, Kind, Value},
    },
};

/// Seeds that run by default.
const SEEDS: u64 = 40;

/// Calls `run` with each seed.
pub fn each_seed(run: impl Fn(u64)) {
    let number = |name: &str| env::var(name).ok().and_then(|text| text.parse().ok());
    let seeds = match number("WHINSPRING_SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..number("WHINSPRING_SEEDS").unwrap_or(SEEDS),
    };
    for seed in seeds {
        println!("seed {seed}");
        run(seed);
    }
}

/// Returns a world of `nodes` nodes in three failure domains with one settled service.
pub fn settled(seed: u64, nodes: usize) -> World {
    let mut world = World::new(seed);
    world.tracing = true;
    for index in 0..nodes {
        world.start(&format!("n{index}"), &format!("d{}", index % 3));
    }
    declare(&mut world, service("checks", 6, 32));
    world.run(4_000);
    world
}

#[test]
fn last_node_takes_over_once_the_other_vms_are_gone() {
    each_seed(|seed| {
        let nodes = 4 + seed as usize % 3;
        let mut world = settled(seed, nodes);
        for index in 1..nodes {
            world.kill(&format!("n{index}"));
            world.vms.insert(format!("n{index}").into(), VmState::Gone);
        }
        world.run(60_000);
        assert_eq!(whole(&world), (6, 32, 1, 1));
    });
}

#[test]
fn stale_list_of_vms_harms_no_live_node() {
    each_seed(|seed| {
        let nodes = 7;
        let mut world = settled(seed, nodes);
        let before = world.objects[&Key::new(Kind::Holders, "checks")].clone();
        for index in 0..nodes {
            world.vms.insert(format!("n{index}").into(), VmState::Gone);
        }
        world.run(15_000);
        world.vms.clear();
        assert_whole(&mut world);
        assert_eq!(world.objects[&before.key], before, "moved for a stale list");
    });
}

/// Does one harmful thing to the world.
fn fault(world: &mut World, nodes: usize) {
    let node = format!("n{}", world.rng.random_range(0..nodes));
    let other = format!("n{}", world.rng.random_range(0..nodes));
    let server = ServerId(world.rng.random_range(0..6));
    match world.rng.random_range(0..13) {
        0 | 1 if world.procs.contains_key(node.as_str()) => {
            let ms = world.rng.random_range(50..3_000);
            world.pause(&node, ms);
        }
        2 => world.kill(&node),
        3 | 4 => {
            world.kill(&node);
            restart(world, nodes);
        }
        5 if node != other => {
            world.cuts.insert((node.clone().min(other.clone()).into(), node.max(other).into()));
        }
        6 => world.cuts.clear(),
        7 => world.outage = !world.outage,
        8 => world.lose = if world.lose == 0 { 300 } else { 0 },
        9 => world.drop = if world.drop == 0 { 100 } else { 0 },
        10 => {
            let up = world.down.contains(&("checks".into(), server));
            world.set_server("checks", server, up);
        }
        11 if !world.cut_off.remove(node.as_str()) => {
            world.cut_off.insert(node.into());
        }
        12 => world.delay = if world.delay == 2_000 { 200_000 } else { 2_000 },
        _ => {}
    }
}

/// Starts the nodes that do not run.
fn restart(world: &mut World, nodes: usize) {
    for index in 0..nodes {
        let name = format!("n{index}");
        if !world.procs.contains_key(name.as_str()) {
            world.start(&name, &format!("d{}", index % 3));
        }
    }
}

/// Ends every fault.
fn heal(world: &mut World, nodes: usize) {
    world.outage = false;
    world.lose = 0;
    world.drop = 0;
    world.delay = 2_000;
    world.cuts.clear();
    world.cut_off.clear();
    restart(world, nodes);
    for id in 0..6 {
        world.set_server("checks", ServerId(id), true);
    }
}

/// Servers held, slices owned, controllers, and nodes that know every record.
type Whole = (usize, usize, usize, usize);

/// Counts what works.
fn whole(world: &World) -> Whole {
    let names: Vec<&Name> = world.procs.keys().collect();
    let held = names.iter().map(|name| world.held(name).len()).sum();
    let owned = names.iter().map(|name| world.owned(name).len()).sum();
    let control = |name: &Name| &world.procs[name].control;
    let controllers = names.iter().filter(|name| control(name).is_controller()).count();
    let knowing = names.iter().filter(|n| control(n).replica().seen() == world.revision).count();
    (held, owned, controllers, knowing)
}

/// Panics unless, but for a single move under way, every server is held, every slice is owned, there
/// is one controller, and all nodes know the same.
fn assert_whole(world: &mut World) {
    let wanted = (6, 32, 1, world.procs.len());
    for _ in 0..20 {
        if whole(world) == wanted {
            return;
        }
        world.run(20);
    }
    assert_eq!(whole(world), wanted, "(servers held, slices owned, controllers, nodes up to date)");
}

#[test]
fn any_faults() {
    each_seed(|seed| {
        let nodes = 2 + seed as usize % 6;
        let mut world = settled(seed, nodes);
        assert_whole(&mut world);
        for _ in 0..30 {
            fault(&mut world, nodes);
            let ms = world.rng.random_range(10..1_500);
            world.run(ms);
        }
        heal(&mut world, nodes);
        world.run(20_000);
        assert_whole(&mut world);
    });
}

#[test]
fn confirmed_plan_survives_faults() {
    each_seed(|seed| {
        let nodes = 3 + seed as usize % 4;
        let mut world = settled(seed, nodes);
        let slices = [1, 5, 9].map(Slice);
        let step = |slice| Step::MoveSlice { service: "checks".into(), slice, to: ServerId(2) };
        confirm(&mut world, "p1", slices.map(step).into());
        confirm(&mut world, "p2", slices.map(step).into());
        for _ in 0..8 {
            let ms = world.rng.random_range(1..60);
            world.run(ms);
            fault(&mut world, nodes);
        }
        heal(&mut world, nodes);
        world.run(20_000);
        assert_whole(&mut world);
        assert_eq!(plan(&world, "p2"), PlanState::Failed);
        match plan(&world, "p1") {
            PlanState::Finished => {}
            PlanState::Failed => assert!(world.losses, "failed without a loss of the target"),
            state => panic!("plan is {state:?}"),
        }
    });
}

/// Returns the state of a plan.
fn plan(world: &World, id: &str) -> PlanState {
    match &world.objects[&Key::new(Kind::Plan, id)].value {
        Some(Value::Plan(plan)) => plan.state,
        _ => panic!("plan {id} is gone"),
    }
}

#[test]
fn loss_of_one_node_is_mended_within_a_second() {
    each_seed(|seed| {
        let nodes = 3 + seed as usize % 6;
        let mut world = settled(seed, nodes);
        let ms = world.rng.random_range(0..200);
        world.run(ms);
        let lost = format!("n{}", world.rng.random_range(0..nodes));
        world.kill(&lost);
        world.run(1_000);
        let held: usize = world.procs.keys().map(|name| world.held(name).len()).sum();
        assert_eq!(held, 6, "servers held after the loss of {lost}");
    });
}

#[test]
fn halves_cut_from_each_other() {
    each_seed(|seed| {
        let nodes = 6;
        let mut world = settled(seed, nodes);
        let before = world.objects[&Key::new(Kind::Holders, "checks")].clone();
        for left in 0..3 {
            for right in 3..6 {
                world.cuts.insert((format!("n{left}").into(), format!("n{right}").into()));
            }
        }
        world.outage = seed % 2 == 0;
        world.run(10_000);
        if world.outage {
            assert_eq!(world.objects[&before.key], before, "moved without the platform");
        }
        heal(&mut world, nodes);
        world.run(20_000);
        assert_whole(&mut world);
    });
}

#[test]
fn rolling_replacement_keeps_every_server_held() {
    each_seed(|seed| {
        let nodes = 4;
        let mut world = settled(seed, nodes);
        for index in 0..nodes {
            let name = format!("n{index}");
            world.feed(&name, Event::Retire);
            let mut steps = 0;
            while !world.procs[name.as_str()].control.retired() {
                world.run(20);
                steps += 1;
                assert!(steps < 250, "{name} does not retire");
            }
            world.kill(&name);
            world.start(&name, &format!("d{}", index % 3));
            world.run(2_000);
        }
        assert_whole(&mut world);
    });
}

#[test]
fn everything_is_replaced_during_an_outage() {
    each_seed(|seed| {
        let nodes = 5;
        let mut world = settled(seed, nodes);
        let accepted = world.objects[&Key::new(Kind::Service, "checks")].clone();
        world.outage = true;
        for index in 1..nodes {
            world.kill(&format!("n{index}"));
        }
        world.run(500);
        restart(&mut world, nodes);
        world.run(5_000);
        for (name, proc) in &world.procs {
            let known = proc.control.replica().get(&accepted.key);
            assert_eq!(known, Some(&accepted), "configuration known to {name}");
        }
        heal(&mut world, nodes);
        world.run(20_000);
        assert_whole(&mut world);
        let Some(Value::Service(_)) = &world.objects[&accepted.key].value else {
            panic!("reverted")
        };
    });
}
