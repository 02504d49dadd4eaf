//! A small deployment from nothing to a lost server and a lost daemon, under requests of all kinds.

mod traffic;

use {
    crate::{
        fleet::{Error, Fleet, KeyShape, Said, ServerShape, ServiceShape, Shape},
        verdict::Verdict,
    },
    std::{path::Path, time::Duration},
    tokio::{sync::watch, task::JoinSet, time::sleep},
    traffic::{Customer, KINDS, Log},
};

/// Traffic before the first loss, between the losses, and after the second.
const PHASE: Duration = Duration::from_secs(4);

/// Callers of each kind.
const CALLERS: usize = 3;

/// Server that is killed, by its place in the fleet.
const LOST_SERVER: usize = 1;

/// Daemon that is killed.
const LOST_DAEMON: usize = 1;

/// Runs the demo; returns whether every answer was right.
pub async fn run(seed: u64, keep: Option<&Path>) -> Result<bool, Error> {
    let shape = shape(keep);
    say("starting the platform stand-in, 6 backend servers and 3 daemons in 3 failure domains");
    let mut fleet = Fleet::start(&shape).await?;
    let right = session(&mut fleet, &shape, seed).await;
    fleet.close().await;
    say("stopped every process");
    right
}

/// Two keyed services of two servers and two unkeyed ones of one.
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

/// Declares the services, sends traffic through both losses, and judges it.
async fn session(fleet: &mut Fleet, shape: &Shape, seed: u64) -> Result<bool, Error> {
    for service in &shape.services {
        for said in fleet.declare(service).await? {
            show(&said);
        }
    }
    for service in &shape.services {
        fleet.serving(service).await?;
    }
    say("every service answers through every daemon");
    let logs = traffic(fleet, seed).await?;
    let mut runs = Vec::new();
    for server in &fleet.servers {
        runs.extend(server.runs()?);
    }
    for log in &logs {
        log.print();
    }
    let stories = logs.iter().flat_map(|log| &log.stories);
    let verdict = Verdict::new(stories, &runs);
    println!("summary: {verdict} right={}", verdict.is_right());
    Ok(verdict.is_right())
}

/// Runs all callers while one server and one daemon are killed.
async fn traffic(fleet: &mut Fleet, seed: u64) -> Result<Vec<Log>, Error> {
    let entries: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.caller).collect();
    let stop = watch::Sender::new(false);
    let mut callers = JoinSet::new();
    for kind in KINDS {
        for index in 0..CALLERS {
            let number = seed.wrapping_mul(1_000) + index as u64;
            let customer = Customer::new(kind, index, number, entries.clone());
            callers.spawn(customer.run(stop.subscribe()));
        }
    }
    sleep(PHASE).await;
    let server = &mut fleet.servers[LOST_SERVER];
    say(&format!("killing backend server {} (process {})", server.name, server.process.pid()));
    server.process.kill().await;
    sleep(PHASE).await;
    let daemon = &mut fleet.daemons[LOST_DAEMON];
    say(&format!("killing daemon {} (process {})", daemon.name, daemon.process.pid()));
    daemon.kill().await;
    sleep(PHASE).await;
    stop.send_replace(true);
    let mut logs = callers.join_all().await;
    logs.sort_by(|one, other| one.name.cmp(&other.name));
    Ok(logs)
}

/// Prints a command of the operators' client and its output.
fn show(said: &Said) {
    println!("$ whinspring {}", said.command);
    for line in said.output.lines() {
        println!("  {line}");
    }
}

/// Prints what happens.
fn say(text: &str) {
    println!("== {text}");
}
