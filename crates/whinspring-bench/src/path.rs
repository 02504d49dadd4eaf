//! End-to-end path: throughput, added latency and memory with one daemon and with nine.
//!
//! The servers have no service time and many slots, so that they are not the bottleneck. As a
//! baseline, the same requests are sent directly to the servers in the same run, at the same
//! concurrency and rate.

mod bodies;
mod report;

use {
    crate::{
        driver::Request,
        fleet::{Error, Fleet, KeyShape, ServerShape, ServiceShape, Shape},
        generator::{self, Load, Tally},
    },
    hyper::Method,
    rand::Rng,
    rand_chacha::ChaCha8Rng,
    report::{Stage, Summary},
    std::{net::SocketAddr, path::Path, time::Duration},
    whinspring_standin::runs::duplicate_ids,
};

/// Number of concurrent workers, spread over the daemons or servers.
const WORKERS: usize = 64;

/// Requests per second at which latency is compared: half of the target rate of one daemon.
const PACED_RATE: f64 = 7_500.0;

/// Time before recording starts.
const WARMUP: Duration = Duration::from_secs(2);

/// Length of the recorded interval.
const TIME: Duration = Duration::from_secs(6);

/// Number of servers of the keyed service.
const SERVERS: usize = 4;

/// Number of distinct keys.
const KEYS: u32 = 100_000;

/// One request in this many is not idempotent.
const WRITE_ONE_IN: u32 = 10;

/// Runs the experiment and prints its results; returns whether no request was lost or run twice.
///
/// Without `daemons`, a fleet of one daemon and then one of nine are measured.
pub async fn run(seed: u64, keep: Option<&Path>, daemons: Option<usize>) -> Result<bool, Error> {
    let sizes = daemons.map_or(vec![1, 9], |daemons| vec![daemons]);
    let mut stages = Vec::new();
    for daemons in sizes {
        stages.push(measure(daemons, seed, keep).await?);
    }
    let summary = Summary::new(&stages);
    println!("{}", summary.to_json());
    Ok(summary.lost == 0 && summary.doubled == 0)
}

/// Measures a fleet of a number of daemons.
async fn measure(daemons: usize, seed: u64, keep: Option<&Path>) -> Result<Stage, Error> {
    let keep = keep.map(|dir| dir.join(format!("daemons-{daemons}")));
    let shape = shape(daemons, keep);
    let mut fleet = Fleet::start(&shape).await?;
    let stage = run_stages(&mut fleet, &shape, seed).await;
    fleet.close().await;
    let stage = stage?;
    println!("{}", stage.to_json());
    Ok(stage)
}

/// Returns a shape with a keyed service for small requests and an unkeyed one for large bodies.
fn shape(daemons: usize, keep: Option<std::path::PathBuf>) -> Shape {
    let server = ServerShape { slots: 64, conns: 200, ..ServerShape::default() };
    let bundles = ServerShape { slots: 8, ..ServerShape::default() };
    Shape {
        deployment: "path".into(),
        daemons,
        domains: daemons.min(3),
        services: vec![
            ServiceShape::new("checks", KeyShape::Header, SERVERS, server),
            ServiceShape::new("bundles", KeyShape::None, 2, bundles),
        ],
        limits: Vec::new(),
        keep,
    }
}

/// Declares the services and takes all measurements of a running fleet.
async fn run_stages(fleet: &mut Fleet, shape: &Shape, seed: u64) -> Result<Stage, Error> {
    for service in &shape.services {
        fleet.declare(service).await?;
    }
    for service in &shape.services {
        fleet.wait_serving(service).await?;
    }
    let entries: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.caller).collect();
    let full = generator::run(&load(&entries, None, seed), draw_request).await;
    let before = cpu(fleet);
    let paced = generator::run(&load(&entries, Some(PACED_RATE), seed), draw_request).await;
    let cpu = cpu(fleet).saturating_sub(before);
    let direct = measure_direct(seed).await?;
    for lost in [&full, &paced, &direct].iter().filter_map(|tally| tally.first_lost.as_ref()) {
        println!("lost request, expected a verified response: {:?} {lost:?}", lost.outcome());
    }
    let bodies = bodies::run(&entries).await;
    let mut doubled_ids = 0;
    for server in fleet.servers_of("checks") {
        let mut runs = server.runs()?;
        runs.retain(|line| line.method != "GET");
        doubled_ids += duplicate_ids(&runs).len() as u64;
    }
    let peaks = fleet.daemons.iter().filter_map(|daemon| daemon.process.usage());
    let peak_kb = peaks.map(|usage| usage.peak_kb).max().unwrap_or_default();
    let daemons = fleet.daemons.len();
    let cpu_us = cpu.as_micros() as f64 / (PACED_RATE * (WARMUP + TIME).as_secs_f64());
    Ok(Stage::new(&full, &paced, &direct, &bodies).with_fleet(
        daemons,
        cpu_us,
        peak_kb,
        doubled_ids,
    ))
}

/// Returns the total CPU time of the daemons.
fn cpu(fleet: &Fleet) -> Duration {
    let usages = fleet.daemons.iter().filter_map(|daemon| daemon.process.usage());
    usages.map(|usage| usage.cpu).sum()
}

/// Sends the same requests directly to servers that do not check fencing terms.
async fn measure_direct(seed: u64) -> Result<Tally, Error> {
    let server = ServerShape { fenced: false, slots: 64, conns: 200, args: Vec::new() };
    let shape = Shape {
        deployment: "direct".into(),
        daemons: 0,
        domains: 1,
        services: vec![ServiceShape::new("checks", KeyShape::Header, SERVERS, server)],
        limits: Vec::new(),
        keep: None,
    };
    let fleet = Fleet::start(&shape).await?;
    let addrs: Vec<_> = fleet.servers.iter().map(|server| server.addr).collect();
    let tally = generator::run(&load(&addrs, Some(PACED_RATE), seed), draw_request).await;
    fleet.close().await;
    Ok(tally)
}

fn load(entries: &[SocketAddr], rate: Option<f64>, seed: u64) -> Load {
    let entries = entries.to_vec();
    Load { entries, workers: WORKERS, rate, warmup: WARMUP, time: TIME, seed }
}

/// Creates a small request with a random key.
fn draw_request(random: &mut ChaCha8Rng) -> Request {
    let key = random.random_range(0..KEYS);
    let write = random.random_ratio(1, WRITE_ONE_IN);
    let method = if write { Method::POST } else { Method::GET };
    let mut request = Request::new(method, "/checks/standing");
    request.key = format!("supplier-{key}");
    if write {
        request.body = format!(r#"{{"supplier":{key},"kind":"verification"}}"#).into();
    }
    request
}
