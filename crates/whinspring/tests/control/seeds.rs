//! Randomised runs: a seed determines faults, delays and order, so that a failing seed replays
//! exactly.
//!
//! A fixed set of seeds runs by default; `WHINSPRING_SEEDS=1000` runs that many seeds, and
//! `WHINSPRING_SEED=17` only the given one.

use {
    crate::{
        fake::Simulation,
        sessions::{service, write_confirmed_plan, write_declaration},
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

/// Number of seeds that run by default.
const SEEDS: u64 = 40;

pub fn for_each_seed(run: impl Fn(u64)) {
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

/// Returns a converged simulation of one service and `nodes` nodes in three failure domains.
pub fn start_settled(seed: u64, nodes: usize) -> Simulation {
    let mut sim = Simulation::new(seed);
    sim.tracing = true;
    for index in 0..nodes {
        sim.start(&format!("n{index}"), &format!("d{}", index % 3));
    }
    write_declaration(&mut sim, service("checks", 6, 32));
    sim.run(4_000);
    sim
}

#[test]
fn last_node_takes_over_after_other_vms_are_gone() {
    for_each_seed(|seed| {
        let nodes = 4 + seed as usize % 3;
        let mut sim = start_settled(seed, nodes);
        for index in 1..nodes {
            sim.kill(&format!("n{index}"));
            sim.vms.insert(format!("n{index}").into(), VmState::Gone);
        }
        sim.run(60_000);
        assert_eq!(progress(&sim), (6, 32, 1, 1));
    });
}

#[test]
fn stale_vm_list_does_not_remove_live_nodes() {
    for_each_seed(|seed| {
        let nodes = 7;
        let mut sim = start_settled(seed, nodes);
        let before = sim.objects[&Key::new(Kind::Holders, "checks")].clone();
        for index in 0..nodes {
            sim.vms.insert(format!("n{index}").into(), VmState::Gone);
        }
        sim.run(15_000);
        sim.vms.clear();
        assert_converged(&mut sim);
        assert_eq!(
            sim.objects[&before.key], before,
            "holders changed because of an outdated VM list"
        );
    });
}

/// Injects one random fault, or ends one.
fn inject_fault(sim: &mut Simulation, nodes: usize) {
    let node = format!("n{}", sim.rng.random_range(0..nodes));
    let other = format!("n{}", sim.rng.random_range(0..nodes));
    let server = ServerId(sim.rng.random_range(0..6));
    match sim.rng.random_range(0..13) {
        0 | 1 if sim.processes.contains_key(node.as_str()) => {
            let ms = sim.rng.random_range(50..3_000);
            sim.pause(&node, ms);
        }
        2 => sim.kill(&node),
        3 | 4 => {
            sim.kill(&node);
            start_missing(sim, nodes);
        }
        5 if node != other => {
            sim.partitions.insert((node.clone().min(other.clone()).into(), node.max(other).into()));
        }
        6 => sim.partitions.clear(),
        7 => sim.outage = !sim.outage,
        8 => sim.reply_loss = if sim.reply_loss == 0 { 300 } else { 0 },
        9 => sim.message_loss = if sim.message_loss == 0 { 100 } else { 0 },
        10 => {
            let up = sim.failed_servers.contains(&("checks".into(), server));
            sim.set_server_up("checks", server, up);
        }
        11 if !sim.isolated.remove(node.as_str()) => {
            sim.isolated.insert(node.into());
        }
        12 => sim.max_delay = if sim.max_delay == 2_000 { 200_000 } else { 2_000 },
        _ => {}
    }
}

/// Starts the nodes that are not running.
fn start_missing(sim: &mut Simulation, nodes: usize) {
    for index in 0..nodes {
        let name = format!("n{index}");
        if !sim.processes.contains_key(name.as_str()) {
            sim.start(&name, &format!("d{}", index % 3));
        }
    }
}

/// Ends every fault and starts the missing nodes.
fn clear_faults(sim: &mut Simulation, nodes: usize) {
    sim.outage = false;
    sim.reply_loss = 0;
    sim.message_loss = 0;
    sim.max_delay = 2_000;
    sim.partitions.clear();
    sim.isolated.clear();
    start_missing(sim, nodes);
    for id in 0..6 {
        sim.set_server_up("checks", ServerId(id), true);
    }
}

/// Number of servers held, slices owned, controllers, and nodes that know every record.
type Progress = (usize, usize, usize, usize);

fn progress(sim: &Simulation) -> Progress {
    let names: Vec<&Name> = sim.processes.keys().collect();
    let held = names.iter().map(|name| sim.held_servers(name).len()).sum();
    let owned = names.iter().map(|name| sim.owned_slices(name).len()).sum();
    let control = |name: &Name| &sim.processes[name].control;
    let controllers = names.iter().filter(|name| control(name).is_controller()).count();
    let current = names.iter().filter(|n| control(n).replica().seen() == sim.revision).count();
    (held, owned, controllers, current)
}

/// Panics unless every server is held, every slice is owned, there is one controller and all nodes
/// know every record; runs for up to 400 ms so that a move in progress can finish.
fn assert_converged(sim: &mut Simulation) {
    let wanted = (6, 32, 1, sim.processes.len());
    for _ in 0..20 {
        if progress(sim) == wanted {
            return;
        }
        sim.run(20);
    }
    assert_eq!(
        progress(sim),
        wanted,
        "(servers held, slices owned, controllers, nodes up to date)"
    );
}

#[test]
fn random_faults_converge() {
    for_each_seed(|seed| {
        let nodes = 2 + seed as usize % 6;
        let mut sim = start_settled(seed, nodes);
        assert_converged(&mut sim);
        for _ in 0..30 {
            inject_fault(&mut sim, nodes);
            let ms = sim.rng.random_range(10..1_500);
            sim.run(ms);
        }
        clear_faults(&mut sim, nodes);
        sim.run(20_000);
        assert_converged(&mut sim);
    });
}

#[test]
fn confirmed_plan_survives_faults() {
    for_each_seed(|seed| {
        let nodes = 3 + seed as usize % 4;
        let mut sim = start_settled(seed, nodes);
        let slices = [1, 5, 9].map(Slice);
        let step = |slice| Step::MoveSlice { service: "checks".into(), slice, to: ServerId(2) };
        write_confirmed_plan(&mut sim, "p1", slices.map(step).into());
        write_confirmed_plan(&mut sim, "p2", slices.map(step).into());
        for _ in 0..8 {
            let ms = sim.rng.random_range(1..60);
            sim.run(ms);
            inject_fault(&mut sim, nodes);
        }
        clear_faults(&mut sim, nodes);
        sim.run(20_000);
        assert_converged(&mut sim);
        assert_eq!(plan_state(&sim, "p2"), PlanState::Failed);
        match plan_state(&sim, "p1") {
            PlanState::Finished => {}
            PlanState::Failed => {
                assert!(sim.server_lost, "plan failed although no server was lost")
            }
            state => panic!("expected a finished or failed plan, got {state:?}"),
        }
    });
}

fn plan_state(sim: &Simulation, id: &str) -> PlanState {
    match &sim.objects[&Key::new(Kind::Plan, id)].value {
        Some(Value::Plan(plan)) => plan.state,
        _ => panic!("plan {id} does not exist"),
    }
}

#[test]
fn servers_are_held_within_a_second_of_node_loss() {
    for_each_seed(|seed| {
        let nodes = 3 + seed as usize % 6;
        let mut sim = start_settled(seed, nodes);
        let ms = sim.rng.random_range(0..200);
        sim.run(ms);
        let lost = format!("n{}", sim.rng.random_range(0..nodes));
        sim.kill(&lost);
        sim.run(1_000);
        let held: usize = sim.processes.keys().map(|name| sim.held_servers(name).len()).sum();
        assert_eq!(held, 6, "servers held after the loss of {lost}");
    });
}

#[test]
fn network_partition_into_halves() {
    for_each_seed(|seed| {
        let nodes = 6;
        let mut sim = start_settled(seed, nodes);
        let before = sim.objects[&Key::new(Kind::Holders, "checks")].clone();
        for left in 0..3 {
            for right in 3..6 {
                sim.partitions.insert((format!("n{left}").into(), format!("n{right}").into()));
            }
        }
        sim.outage = seed % 2 == 0;
        sim.run(10_000);
        if sim.outage {
            assert_eq!(
                sim.objects[&before.key], before,
                "holders changed during a platform outage"
            );
        }
        clear_faults(&mut sim, nodes);
        sim.run(20_000);
        assert_converged(&mut sim);
    });
}

#[test]
fn rolling_replacement_keeps_every_server_held() {
    for_each_seed(|seed| {
        let nodes = 4;
        let mut sim = start_settled(seed, nodes);
        for index in 0..nodes {
            let name = format!("n{index}");
            sim.inject(&name, Event::Stop);
            let mut steps = 0;
            while !sim.processes[name.as_str()].control.is_stopped() {
                sim.run(20);
                steps += 1;
                assert!(steps < 250, "{name} did not stop within 5 s");
            }
            sim.kill(&name);
            sim.start(&name, &format!("d{}", index % 3));
            sim.run(2_000);
        }
        assert_converged(&mut sim);
    });
}

#[test]
fn nodes_are_replaced_during_platform_outage() {
    for_each_seed(|seed| {
        let nodes = 5;
        let mut sim = start_settled(seed, nodes);
        let accepted = sim.objects[&Key::new(Kind::Service, "checks")].clone();
        sim.outage = true;
        for index in 1..nodes {
            sim.kill(&format!("n{index}"));
        }
        sim.run(500);
        start_missing(&mut sim, nodes);
        sim.run(5_000);
        for (name, proc) in &sim.processes {
            let known = proc.control.replica().get(&accepted.key);
            assert_eq!(known, Some(&accepted), "configuration known to {name}");
        }
        clear_faults(&mut sim, nodes);
        sim.run(20_000);
        assert_converged(&mut sim);
        let Some(Value::Service(_)) = &sim.objects[&accepted.key].value else {
            panic!("declaration was removed")
        };
    });
}
