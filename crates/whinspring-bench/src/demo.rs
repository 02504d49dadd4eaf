//! Demo: starts a small deployment, then kills a server and a daemon under mixed traffic.

mod traffic;

use {
    crate::{
        fleet::{CommandOutput, Error, Fleet, KeyShape, ServerShape, ServiceShape, Shape},
        verdict::Verdict,
    },
    std::{path::Path, time::Duration},
    tokio::{sync::watch, task::JoinSet, time::sleep},
    traffic::{DemoCaller, KINDS, Log},
};

/// Time of traffic before the first loss, between the losses, and after the second.
const PHASE_TIME: Duration = Duration::from_secs(4);

/// Number of callers of each kind.
const CALLERS: usize = 3;

/// Index of the server that is killed.
const LOST_SERVER: usize = 1;

/// Index of the daemon that is killed.
const LOST_DAEMON: usize = 1;

/// Runs the demo; returns whether the verdict on all requests is correct.
pub async fn run(seed: u64, keep: Option<&Path>) -> Result<bool, Error> {
    let shape = shape(keep);
    print_step(
        "starting the platform stand-in, 6 backend servers and 3 daemons in 3 failure domains",
    );
    let mut fleet = Fleet::start(&shape).await?;
    let passed = run_session(&mut fleet, &shape, seed).await;
    fleet.close().await;
    print_step("stopped every process");
    passed
}

/// Returns a shape with two keyed services of two servers each and two unkeyed ones of one each.
fn shape(keep: Option<&Path>) -> Shape {
    let server = || ServerShape {
        args: ["--work-ms", "2"].map(String::from).into(),
        ..ServerShape::default()
    };
    let service = |name, key, servers| ServiceShape::new(name, key, servers, server());
    Shape {
        deployment: "demo".into(),
        daemons: 3,
        domains: 3,
        services: vec![
            service("reservations", KeyShape::Path, 2),
            service("checks", KeyShape::Header, 2),
            service("manifests", KeyShape::None, 1),
            service("bundles", KeyShape::None, 1),
        ],
        limits: Vec::new(),
        keep: keep.map(Path::to_owned),
    }
}

/// Declares the services, runs traffic through both losses, and checks its results.
async fn run_session(fleet: &mut Fleet, shape: &Shape, seed: u64) -> Result<bool, Error> {
    for service in &shape.services {
        for command in fleet.declare(service).await? {
            print_command(&command);
        }
    }
    for service in &shape.services {
        fleet.wait_serving(service).await?;
    }
    print_step("every service answers through every daemon");
    let logs = run_traffic(fleet, seed).await?;
    let mut runs = Vec::new();
    for server in &fleet.servers {
        runs.extend(server.runs()?);
    }
    for log in &logs {
        log.print();
    }
    let histories = logs.iter().flat_map(|log| &log.histories);
    let verdict = Verdict::new(histories, &runs);
    println!("summary: {verdict} right={}", verdict.is_correct());
    Ok(verdict.is_correct())
}

/// Runs all callers while a server and later a daemon are killed.
async fn run_traffic(fleet: &mut Fleet, seed: u64) -> Result<Vec<Log>, Error> {
    let entries: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.caller).collect();
    let stop = watch::Sender::new(false);
    let mut callers = JoinSet::new();
    for kind in KINDS {
        for index in 0..CALLERS {
            let number = seed.wrapping_mul(1_000) + index as u64;
            let caller = DemoCaller::new(kind, index, number, entries.clone());
            callers.spawn(caller.run(stop.subscribe()));
        }
    }
    sleep(PHASE_TIME).await;
    let server = &mut fleet.servers[LOST_SERVER];
    print_step(&format!(
        "killing backend server {} (process {})",
        server.name,
        server.process.pid()
    ));
    server.process.kill().await;
    sleep(PHASE_TIME).await;
    let daemon = &mut fleet.daemons[LOST_DAEMON];
    print_step(&format!("killing daemon {} (process {})", daemon.name, daemon.process.pid()));
    daemon.kill().await;
    sleep(PHASE_TIME).await;
    stop.send_replace(true);
    let mut logs = callers.join_all().await;
    logs.sort_by(|one, other| one.name.cmp(&other.name));
    Ok(logs)
}

/// Prints a command of the operators' client and its output.
fn print_command(command: &CommandOutput) {
    println!("$ whinspring {}", command.command);
    for line in command.output.lines() {
        println!("  {line}");
    }
}

/// Prints a step of the demo.
fn print_step(text: &str) {
    println!("== {text}");
}
