//! Faults of all kinds under traffic, judged by what callers saw and what the servers ran.
//!
//! Each case starts a deployment of its own, has callers send requests of all kinds, brings its
//! fault at an instant drawn from the seed, and judges the run. The seed fixes the instants, the
//! victims and the requests, not the order in which processes run.

mod case;
mod evaluation;
mod monitor;
mod traffic;

use {
    crate::fleet::{Error, Fleet, KeyShape, ServerShape, ServiceShape, Shape},
    case::{Case, Scenario},
    evaluation::{Counts, Evaluation},
    monitor::StatusMonitor,
    std::{path::Path, time::Duration},
    traffic::Traffic,
};

/// Name of the keyed service.
const KEYED: &str = "checks";

/// Name of the unkeyed service.
const UNKEYED: &str = "bundles";

/// Text in a path that ends the server which runs it.
const CRASH_MARKER: &str = "poison";

/// Time after the fault's end for which traffic goes on.
const AFTER_FAULT: Duration = Duration::from_secs(2);

/// Runs the cases for each seed; returns whether nothing was broken.
///
/// # Errors
///
/// Fails if a deployment could not be started or steered.
pub async fn run(
    seed: u64,
    seeds: u64,
    only: Option<&str>,
    keep: Option<&Path>,
) -> Result<bool, Error> {
    let mut total = Counts::default();
    let mut passed = true;
    for seed in seed..seed + seeds {
        for case in Case::ALL {
            if only.is_some_and(|name| name != case.name()) {
                continue;
            }
            let evaluation = run_case(case, seed, keep).await?;
            println!("{}", evaluation.to_json(case.name(), seed));
            passed &= evaluation.is_correct();
            total.add(evaluation, case.has_platform_fault());
        }
        total.seeds += 1;
    }
    println!("{}", total.to_json());
    Ok(passed && total.requests > 0)
}

/// Starts a deployment, runs one case on it and stops it.
async fn run_case(case: Case, seed: u64, keep: Option<&Path>) -> Result<Evaluation, Error> {
    let keep = keep.map(|dir| dir.join(format!("{}-{seed}", case.name())));
    let shape = shape(keep.as_deref());
    let fleet = Fleet::start(&shape).await?;
    let mut scenario = Scenario::new(fleet, case, seed);
    let evaluation = run_session(&mut scenario, &shape).await;
    scenario.close().await;
    evaluation
}

/// Declares the services, runs traffic around the fault and judges it.
async fn run_session(scenario: &mut Scenario, shape: &Shape) -> Result<Evaluation, Error> {
    scenario.place_relays().await?;
    for service in &shape.services {
        let commands = scenario.fleet.declare(service).await?;
        scenario.record_plans(&commands);
    }
    for service in &shape.services {
        scenario.fleet.wait_serving(service).await?;
    }
    scenario.choose_victim().await;
    let monitor = StatusMonitor::start(&scenario.fleet);
    let traffic = Traffic::start(&scenario.fleet, scenario.probe_entries(), scenario.seed);
    scenario.inject_fault().await?;
    tokio::time::sleep(AFTER_FAULT).await;
    let log = traffic.stop().await;
    let reverted = monitor.stop().await;
    scenario.check_plans().await;
    scenario.check_servers();
    evaluation::evaluate(scenario, log, reverted)
}

/// Returns the shape of a deployment: half of the keyed servers check no fences.
fn shape(keep: Option<&Path>) -> Shape {
    let server = || ServerShape {
        args: ["--work-ms", "3", "--crash-on", CRASH_MARKER].map(String::from).into(),
        ..ServerShape::default()
    };
    let mut keyed = ServiceShape::new(KEYED, KeyShape::Header, 4, server());
    for server in &mut keyed.servers[2..] {
        server.fenced = false;
    }
    Shape {
        deployment: "faults".into(),
        daemons: 3,
        domains: 3,
        services: vec![keyed, ServiceShape::new(UNKEYED, KeyShape::None, 2, server())],
        limits: Vec::new(),
        keep: keep.map(Path::to_owned),
    }
}
