//! CPU time of requests by request rate.

use {
    super::fit::Line,
    crate::{
        driver::Request,
        fleet::{Error, Fleet, KeyShape, ServerShape, ServiceShape, Shape},
        generator::{self, Load},
    },
    hyper::Method,
    rand::Rng,
    rand_chacha::ChaCha8Rng,
    serde_json::{Value as Json, json},
    std::{path::Path, time::Duration},
};

/// Requests per second over the whole fleet.
const RATES: [f64; 4] = [1_000.0, 2_000.0, 4_000.0, 8_000.0];

/// Number of daemons. Two of three requests are forwarded to another daemon.
const DAEMONS: usize = 3;

/// Maximum number of requests in flight.
const WORKERS: usize = 64;

/// Time before recording starts.
const WARMUP: Duration = Duration::from_secs(1);

/// Length of the recorded interval of each rate.
const TIME: Duration = Duration::from_secs(5);

/// CPU time of requests.
#[derive(Debug)]
pub struct Requests {
    /// CPU usage of all daemons, in cores, by requests per second.
    pub cpu: Option<Line>,
    /// Number of requests without a verified response from their server.
    pub failed: u64,
}

impl Requests {
    pub fn to_json(&self) -> Json {
        json!({ "request_cpu": self.cpu, "request_failed": self.failed })
    }
}

/// Measures small keyed requests at several rates.
pub async fn measure(seed: u64, keep: Option<&Path>) -> Result<Requests, Error> {
    let server = ServerShape { slots: 64, conns: 200, ..ServerShape::default() };
    let shape = Shape {
        deployment: "requests".into(),
        daemons: DAEMONS,
        domains: DAEMONS,
        services: vec![ServiceShape::new("checks", KeyShape::Header, DAEMONS, server)],
        limits: Vec::new(),
        keep: keep.map(|dir| dir.join("requests")),
    };
    let fleet = Fleet::start(&shape).await?;
    let result = measure_rates(&fleet, &shape, seed).await;
    fleet.close().await;
    result
}

/// Declares the service and measures each rate.
async fn measure_rates(fleet: &Fleet, shape: &Shape, seed: u64) -> Result<Requests, Error> {
    let service = &shape.services[0];
    fleet.declare(service).await?;
    fleet.wait_serving(service).await?;
    let entries: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.caller).collect();
    let mut points = Vec::new();
    let mut failed = 0;
    for rate in RATES {
        let load = Load {
            entries: entries.clone(),
            workers: WORKERS,
            rate: Some(rate),
            warmup: WARMUP,
            time: TIME,
            seed,
        };
        let before = cpu(fleet);
        let tally = generator::run(&load, draw_request).await;
        let seconds = (WARMUP + TIME).as_secs_f64();
        points.push((tally.rate(), (cpu(fleet) - before) / seconds));
        failed += tally.refused + tally.unknown + tally.lost;
    }
    Ok(Requests { cpu: Line::fit(&points), failed })
}

/// Returns the total CPU time of the daemons, in seconds.
fn cpu(fleet: &Fleet) -> f64 {
    let usages = fleet.daemons.iter().filter_map(|daemon| daemon.process.usage());
    usages.map(|usage| usage.cpu.as_secs_f64()).sum()
}

/// Creates a small request with a random key.
fn draw_request(random: &mut ChaCha8Rng) -> Request {
    let mut request = Request::new(Method::GET, "/checks/standing");
    request.key = format!("key-{}", random.random::<u32>());
    request
}
