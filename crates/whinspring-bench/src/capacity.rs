//! What a node costs, measured at sizes that fit one machine and carried on to the size to come.
//!
//! Fleets of daemons over real processes give processor time, memory, traffic, platform calls and
//! times by number of nodes; tables and requests give the costs that do not depend on it. Each
//! slope is a least-squares line over at least four points. Nothing in the result is typed in but
//! the target's size and the events of a day, which come from the users' letter.

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

/// Daemons of each fleet; fewer would not have all their lessors in other failure domains.
const SIZES: [usize; 4] = [9, 18, 36, 81];

/// Failure domains of each fleet.
const DOMAINS: usize = 9;

/// Daemons for each backend server.
const DAEMONS_PER_SERVER: usize = 3;

/// Time that a fleet is left alone before it is measured.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// What was measured of a fleet.
#[derive(Debug, Clone)]
pub struct Point {
    /// Daemons.
    pub nodes: usize,
    /// Cost of doing nothing.
    pub idle: Idle,
    /// Spread of configuration changes.
    pub propagation: Propagation,
    /// Loss of a daemon.
    pub loss: Loss,
}

/// Runs the experiment and prints its figures.
///
/// With `daemons` only a fleet of that size is measured, and nothing is carried on.
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

/// Measures a fleet of so many daemons.
async fn measure(nodes: usize, seed: u64, keep: Option<&Path>) -> Result<Point, Error> {
    let shape = shape(nodes, keep.map(|dir| dir.join(format!("nodes-{nodes}"))));
    let mut fleet = Fleet::start(&shape).await?;
    let point = run_stages(&mut fleet, &shape, seed).await;
    fleet.close().await;
    point
}

/// Runs the stages of one fleet.
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

/// One keyed service whose servers grow with the daemons.
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
