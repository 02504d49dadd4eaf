//! Fault injection under traffic, evaluated from the responses and the run logs of the servers.
//!
//! Each case starts its own deployment, sends requests of all kinds, injects its fault at an
//! instant drawn from the seed, and evaluates the run. The seed determines the instants, the
//! victims and the requests, but not the scheduling of the processes.

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

const KEYED: &str = "checks";

const UNKEYED: &str = "bundles";

/// Text in a request path that makes the stand-in server abort its process.
const CRASH_MARKER: &str = "poison";

/// Time for which traffic continues after the case's actions.
const AFTER_FAULT: Duration = Duration::from_secs(2);

/// Runs all cases, or `only` one, for each seed; returns whether all of them passed.
///
/// # Errors
///
/// Fails if a deployment could not be started or controlled.
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

/// Runs one case on a deployment of its own.
async fn run_case(case: Case, seed: u64, keep: Option<&Path>) -> Result<Evaluation, Error> {
    let keep = keep.map(|dir| dir.join(format!("{}-{seed}", case.name())));
    let shape = shape(keep.as_deref());
    let fleet = Fleet::start(&shape).await?;
    let mut scenario = Scenario::new(fleet, case, seed);
    let evaluation = run_session(&mut scenario, &shape).await;
    scenario.close().await;
    evaluation
}

/// Declares the services, injects the fault under traffic and evaluates the run.
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

/// Returns the shape of a deployment in which half of the keyed servers do not check fencing terms.
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
