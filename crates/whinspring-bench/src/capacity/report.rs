//! Extrapolation of the measured slopes to the target size.

use {
    super::{Point, fit::Line, requests::Requests, tables::Tables},
    serde_json::{Value as Json, json},
};

/// Nodes of the target deployment.
const NODES: f64 = 1_300.0;

/// Failure domains of the target deployment.
const DOMAINS: f64 = 9.0;

/// Requests per second of the target deployment.
const REQUESTS_PER_S: f64 = 19_000_000.0;

/// Configuration changes per day.
const CHANGES_A_DAY: f64 = 1_300.0;

/// VMs replaced per day.
const REPLACED_A_DAY: f64 = 370.0;

const DAY_S: f64 = 86_400.0;

/// Slices of a service of the target deployment.
const SLICES: f64 = 65_536.0;

/// Time within which the writes after the loss of a failure domain have to be done, in seconds.
const LOSS_WINDOW_S: f64 = 1.0;

/// Fitted slopes and the values extrapolated from them.
pub struct Report {
    json: Json,
}

impl Report {
    /// Fits the measurements and extrapolates them to the target size.
    pub fn new(tables: &Tables, points: &[Point], requests: &Requests) -> Self {
        let line = |value: fn(&Point) -> f64| fit(points, value);
        let bytes = line(|point| point.idle.wire_bytes);
        let cpu = line(|point| point.idle.control_cpu);
        let rss = line(|point| point.idle.rss_mb);
        let reads = line(|point| point.idle.reads);
        let propagation = line(|point| point.propagation.ms.iter().copied().fold(0.0, f64::max));
        let served = fit_served(points);
        let loss_writes = line(|point| point.loss.writes);
        let change_writes = line(|point| point.propagation.writes);
        let change_reads = line(|point| point.propagation.reads);
        let table_mb = tables.slice_bytes.map(|line| line.at(SLICES) / 1e6);
        let a_day =
            |line: &Option<Line>, count: f64| line.map(|line| line.at(NODES) * count / DAY_S);
        let writes =
            sum([a_day(&change_writes, CHANGES_A_DAY), a_day(&loss_writes, REPLACED_A_DAY)]);
        let domain = loss_writes.map(|line| line.at(NODES) * NODES / DOMAINS / LOSS_WINDOW_S);
        let json = json!({
            "slopes": {
                "control_bytes_per_s": bytes,
                "control_cpu_share": cpu,
                "rss_mb": rss,
                "store_reads_per_s": reads,
                "spread_ms": propagation,
                "served_again_ms": served,
                "loss_writes": loss_writes,
                "change_writes": change_writes,
                "change_reads": change_reads,
                "request_cpu": requests.cpu,
                "slice_bytes": tables.slice_bytes,
                "holder_bytes": tables.holder_bytes,
                "apply_us": tables.apply_us,
            },
            "table_mb": table_mb,
            "request_cores_per_node": requests.cpu.map(|line| line.slope * REQUESTS_PER_S / NODES),
            "control_bytes_per_s": at_target(bytes),
            "control_cpu_share": at_target(cpu),
            "rss_mb": at_target(rss),
            "store_writes_per_s": writes,
            "store_writes_domain_loss_per_s": domain,
            "store_reads_per_s": sum([at_target(reads), a_day(&change_reads, CHANGES_A_DAY)]),
            "config_spread_s": at_target(propagation).map(|ms| ms / 1e3),
            "served_again_ms": at_target(served),
        });
        Self { json }
    }

    pub fn to_json(&self) -> &Json {
        &self.json
    }
}

/// Returns the measurements of one fleet as JSON.
pub fn point_json(point: &Point) -> Json {
    json!({
        "nodes": point.nodes,
        "idle": point.idle,
        "spread": point.propagation,
        "loss": point.loss,
    })
}

/// Fits a value by number of nodes.
fn fit(points: &[Point], value: fn(&Point) -> f64) -> Option<Line> {
    let pairs: Vec<_> = points.iter().map(|point| (point.nodes as f64, value(point))).collect();
    Line::fit(&pairs)
}

/// Fits the recovery time by number of nodes; `None` if some keys were not served again.
fn fit_served(points: &[Point]) -> Option<Line> {
    let pairs: Option<Vec<_>> = points
        .iter()
        .map(|point| Some((point.nodes as f64, point.loss.served_again_ms?)))
        .collect();
    Line::fit(&pairs?)
}

/// Returns the value of a fit at the target number of nodes.
fn at_target(line: Option<Line>) -> Option<f64> {
    line.map(|line| line.at(NODES))
}

/// Adds two values; `None` if one is missing.
fn sum(values: [Option<f64>; 2]) -> Option<f64> {
    Some(values[0]? + values[1]?)
}
