//! Faults of all kinds under traffic, judged by what callers saw and what the servers ran.
//!
//! Each case starts a deployment of its own, has callers send requests of all kinds, brings its
//! fault at an instant drawn from the seed, and judges the run. The seed fixes the instants, the
//! victims and the requests, not the order in which processes run.

mod case;
mod judge;
mod traffic;
mod watch;

use {
    crate::fleet::{Error, Fleet, KeyShape, ServerShape, ServiceShape, Shape},
    case::{Case, Scene},
    judge::{Counts, Judgement},
    std::{path::Path, time::Duration},
    traffic::Traffic,
    watch::Watch,
};

/// Name of the keyed service.
const KEYED: &str = "checks";

/// Name of the unkeyed service.
const UNKEYED: &str = "bundles";

/// Text in a path that ends the server which runs it.
const CRASH: &str = "poison";

/// Time after the fault's end for which traffic goes on.
const AFTER: Duration = Duration::from_secs(2);

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
    let mut right = true;
    for seed in seed..seed + seeds {
        for case in Case::ALL {
            if only.is_some_and(|name| name != case.name()) {
                continue;
            }
            let judgement = run_case(case, seed, keep).await?;
            println!("{}", judgement.line(case.name(), seed));
            right &= judgement.is_right();
            total.add(judgement, case.has_platform_fault());
        }
        total.seeds += 1;
    }
    println!("{}", total.line());
    Ok(right && total.requests > 0)
}

/// Starts a deployment, runs one case on it and stops it.
async fn run_case(case: Case, seed: u64, keep: Option<&Path>) -> Result<Judgement, Error> {
    let keep = keep.map(|dir| dir.join(format!("{}-{seed}", case.name())));
    let shape = shape(keep.as_deref());
    let fleet = Fleet::start(&shape).await?;
    let mut scene = Scene::new(fleet, case, seed);
    let judgement = session(&mut scene, &shape).await;
    scene.close().await;
    judgement
}

/// Declares the services, runs traffic around the fault and judges it.
async fn session(scene: &mut Scene, shape: &Shape) -> Result<Judgement, Error> {
    scene.place_relays().await?;
    for service in &shape.services {
        let said = scene.fleet.declare(service).await?;
        scene.confirmed(&said);
    }
    for service in &shape.services {
        scene.fleet.serving(service).await?;
    }
    scene.choose().await;
    let watch = Watch::start(&scene.fleet);
    let traffic = Traffic::start(&scene.fleet, scene.survivors(), scene.seed);
    scene.play().await?;
    tokio::time::sleep(AFTER).await;
    let log = traffic.stop().await;
    let reverted = watch.stop().await;
    scene.check_plans().await;
    scene.check_servers();
    judge::judge(scene, log, reverted)
}

/// Returns the shape of a deployment: half of the keyed servers check no fences.
fn shape(keep: Option<&Path>) -> Shape {
    let server = || ServerShape {
        args: ["--work-ms", "3", "--crash-on", CRASH].map(String::from).into(),
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
