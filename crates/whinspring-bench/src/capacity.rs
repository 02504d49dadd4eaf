//! Capacity of a deployment, measured at sizes that fit one machine and extrapolated to the target.
//!
//! Fleets of several sizes give CPU time, memory, traffic, platform calls and latencies by number
//! of nodes; tables and requests give the costs that do not depend on it. Each slope is a
//! least-squares fit over at least four points. The only constants that are not measured are the
//! size of the target and the number of events per day, which the users gave.

mod fit;
mod idle;
mod loss;
mod propagation;
mod report;
mod requests;
mod tables;

use {
    crate::fleet::{Error, Fleet, KeyShape, ServerShape, ServiceShape, Shape},
    idle::Idle,
    loss::Loss,
    propagation::Propagation,
    report::Report,
    std::{
        path::{Path, PathBuf},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Number of daemons of each fleet. With fewer, some lessors of a daemon would share its failure
/// domain.
const SIZES: [usize; 4] = [9, 18, 36, 81];

/// Number of failure domains of each fleet.
const DOMAINS: usize = 9;

/// Number of daemons per backend server.
const DAEMONS_PER_SERVER: usize = 3;

/// Time without load before a fleet is measured.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Measurements of a fleet of one size.
#[derive(Debug, Clone)]
pub struct Point {
    /// Number of daemons.
    pub nodes: usize,
    /// Cost without load.
    pub idle: Idle,
    /// Propagation of configuration changes.
    pub propagation: Propagation,
    /// Effects of the loss of a daemon.
    pub loss: Loss,
}

/// Runs the experiment and prints its results as JSON lines.
///
/// With `daemons`, only a fleet of that size is measured and nothing is extrapolated.
pub async fn run(seed: u64, keep: Option<&Path>, daemons: Option<usize>) -> Result<bool, Error> {
    if let Some(nodes) = daemons {
        println!("{}", report::point_json(&measure(nodes, seed, keep).await?));
        return Ok(true);
    }
    let tables = tables::measure();
    println!("{}", tables.to_json());
    let mut points = Vec::new();
    for nodes in SIZES {
        let point = measure(nodes, seed, keep).await?;
        println!("{}", report::point_json(&point));
        points.push(point);
    }
    let requests = requests::measure(seed, keep).await?;
    println!("{}", requests.to_json());
    let report = Report::new(&tables, &points, &requests);
    println!("{}", report.to_json());
    Ok(true)
}

/// Measures a fleet of `nodes` daemons.
async fn measure(nodes: usize, seed: u64, keep: Option<&Path>) -> Result<Point, Error> {
    let shape = shape(nodes, keep.map(|dir| dir.join(format!("nodes-{nodes}"))));
    let mut fleet = Fleet::start(&shape).await?;
    let point = run_stages(&mut fleet, &shape, seed).await;
    fleet.close().await;
    point
}

/// Declares the service and takes all measurements of a running fleet.
async fn run_stages(fleet: &mut Fleet, shape: &Shape, seed: u64) -> Result<Point, Error> {
    let service = &shape.services[0];
    fleet.declare(service).await?;
    fleet.wait_serving(service).await?;
    sleep(SETTLE_TIME).await;
    let idle = idle::measure(fleet).await?;
    let propagation = propagation::measure(fleet, &service.name).await?;
    let loss = loss::measure(fleet, seed).await?;
    Ok(Point { nodes: shape.daemons, idle, propagation, loss })
}

/// Returns a shape with one keyed service whose number of servers is proportional to the daemons.
fn shape(nodes: usize, keep: Option<PathBuf>) -> Shape {
    let servers = (nodes / DAEMONS_PER_SERVER).max(2);
    let server =
        ServerShape { args: vec!["--threads".into(), "1".into()], ..ServerShape::default() };
    Shape {
        deployment: "capacity".into(),
        daemons: nodes,
        domains: DOMAINS.min(nodes),
        services: vec![ServiceShape::new("checks", KeyShape::Header, servers, server)],
        limits: Vec::new(),
        keep,
    }
}
