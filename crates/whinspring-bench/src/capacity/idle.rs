//! Cost of a fleet without load.

use {
    crate::fleet::{Daemon, Error, Fleet},
    hyper::Method,
    serde::Serialize,
    std::time::{Duration, Instant},
    tokio::time::sleep,
    whinspring_standin::control::call,
};

/// Length of the measurement.
const TIME: Duration = Duration::from_secs(10);

/// Size of the IPv4 and TCP headers of a segment with TCP timestamps, in bytes.
const HEADER_BYTES: f64 = 52.0;

/// Cost of a node without load, over all nodes of a fleet.
#[derive(Debug, Clone, Serialize)]
pub struct Idle {
    /// Mean CPU usage of the control threads, in cores.
    pub control_cpu: f64,
    /// Highest CPU usage of a node's control threads, in cores.
    pub control_cpu_max: f64,
    /// Mean CPU usage of the processes, in cores.
    pub cpu: f64,
    /// Mean control traffic sent and received, in bytes per second without packet headers.
    pub payload_bytes: f64,
    /// The same with the packet headers of one segment per write and one acknowledgement each.
    pub wire_bytes: f64,
    /// Mean resident memory, in MB.
    pub rss_mb: f64,
    /// Highest resident memory of a node, in MB.
    pub rss_max_mb: f64,
    /// Platform reads per second of the whole fleet.
    pub reads: f64,
    /// Platform writes per second of the whole fleet.
    pub writes: f64,
}

/// Cumulative counters of one daemon.
#[derive(Debug, Default, Clone, Copy)]
struct Totals {
    control: f64,
    process: f64,
    bytes: f64,
    writes: f64,
    rss_mb: f64,
}

/// Measures a fleet for [`TIME`].
pub async fn measure(fleet: &Fleet) -> Result<Idle, Error> {
    let start = Instant::now();
    let before = totals(fleet).await;
    let calls = Calls::read(fleet).await?;
    sleep(TIME).await;
    let after = totals(fleet).await;
    let calls = Calls::read(fleet).await?.since(&calls);
    let seconds = start.elapsed().as_secs_f64();
    let count = before.len() as f64;
    let rates = |value: fn(&Totals) -> f64| -> Vec<f64> {
        let pairs = before.iter().zip(&after);
        pairs.map(|(before, after)| (value(after) - value(before)) / seconds).collect()
    };
    let mean = |values: &[f64]| values.iter().sum::<f64>() / count;
    let largest = |values: &[f64]| values.iter().copied().fold(0.0, f64::max);
    let control = rates(|totals| totals.control);
    let bytes = mean(&rates(|totals| totals.bytes));
    let writes = mean(&rates(|totals| totals.writes));
    let rss: Vec<f64> = after.iter().map(|totals| totals.rss_mb).collect();
    Ok(Idle {
        control_cpu: mean(&control),
        control_cpu_max: largest(&control),
        cpu: mean(&rates(|totals| totals.process)),
        payload_bytes: 2.0 * bytes,
        wire_bytes: 2.0 * (bytes + 2.0 * HEADER_BYTES * writes),
        rss_mb: mean(&rss),
        rss_max_mb: largest(&rss),
        reads: calls.reads / seconds,
        writes: calls.writes / seconds,
    })
}

/// Number of calls received by the platform.
#[derive(Debug, Clone, Copy)]
pub struct Calls {
    /// List and watch calls. Reads of single objects are not counted; nodes use them only for
    /// suspects.
    pub reads: f64,
    /// Put and delete calls.
    pub writes: f64,
}

impl Calls {
    /// Fetches the counts of the platform stand-in.
    pub async fn read(fleet: &Fleet) -> Result<Self, Error> {
        let counts = fleet.store_calls().await?;
        let count = |name: &str| counts[name].as_f64().unwrap_or_default();
        let reads = count("list") + count("watch") + count("vms");
        Ok(Self { reads, writes: count("put") + count("delete") })
    }

    /// Returns the calls since `earlier`.
    pub fn since(&self, earlier: &Self) -> Self {
        Self { reads: self.reads - earlier.reads, writes: self.writes - earlier.writes }
    }
}

async fn totals(fleet: &Fleet) -> Vec<Totals> {
    let mut all = Vec::new();
    for daemon in &fleet.daemons {
        all.push(totals_of(daemon).await);
    }
    all
}

/// Reads the totals of a daemon from `/proc` and its metrics.
async fn totals_of(daemon: &Daemon) -> Totals {
    let usage = daemon.process.usage().unwrap_or_default();
    let page = match call(daemon.admin, Method::GET, "/metrics", "").await {
        Ok(answer) => String::from_utf8_lossy(answer.body()).into_owned(),
        Err(_) => String::new(),
    };
    Totals {
        control: daemon.process.thread_time("control").as_secs_f64(),
        process: usage.cpu.as_secs_f64(),
        bytes: counter(&page, "whinspring_link_bytes_total{purpose=\"control\"}"),
        writes: counter(&page, "whinspring_link_writes_total{purpose=\"control\"}"),
        rss_mb: usage.rss_kb as f64 / 1_024.0,
    }
}

/// Returns the value of a counter on a metrics page, or zero if it is missing.
fn counter(page: &str, name: &str) -> f64 {
    let line = page.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|rest| rest.trim().parse().ok()).unwrap_or_default()
}
