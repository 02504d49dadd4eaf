//! Time in which a configuration change propagates to every node.

use {
    super::idle::Calls,
    crate::fleet::{Daemon, Error, Fleet, status},
    serde::Serialize,
    std::{
        ffi::OsStr,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{task::JoinSet, time::sleep},
    whinspring::record::{Key, Kind},
    whinspring_platform::Platform,
};

/// Number of changes.
const CHANGES: u32 = 5;

/// Limit on the time for one change to propagate.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval at which the record and the nodes are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Time for the platform calls that follow a change.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Propagation of configuration changes.
#[derive(Debug, Clone, Serialize)]
pub struct Propagation {
    /// Times from the write of the service's record until the last node has applied it, in ms.
    pub ms: Vec<f64>,
    /// Number of changes that did not reach every node in time.
    pub late: u32,
    /// Platform writes per change, including those of the operators' client.
    pub writes: f64,
    /// Platform reads per change.
    pub reads: f64,
}

/// Changes a customer's share several times and measures the propagation of each change.
pub async fn measure(fleet: &Fleet, service: &str) -> Result<Propagation, Error> {
    let calls = Calls::read(fleet).await?;
    let mut ms = Vec::new();
    let mut late = 0;
    for change in 0..CHANGES {
        match measure_change(fleet, service, change + 2).await? {
            Some(time) => ms.push(time.as_secs_f64() * 1e3),
            None => late += 1,
        }
        sleep(SETTLE_TIME).await;
    }
    let calls = Calls::read(fleet).await?.since(&calls);
    let changes = f64::from(CHANGES);
    Ok(Propagation { ms, late, writes: calls.writes / changes, reads: calls.reads / changes })
}

/// Measures one change; `None` if it did not reach every node within [`CHANGE_TIMEOUT`].
async fn measure_change(
    fleet: &Fleet,
    service: &str,
    share: u32,
) -> Result<Option<Duration>, Error> {
    let platform = Platform::new(fleet.store);
    let before = version(&platform, service).await;
    let share = share.to_string();
    let args = ["share", service, &share, "capacity"].map(OsStr::new);
    let time = time_to_all(fleet, &platform, service, before);
    let (result, time) = tokio::join!(fleet.operator.change(args), time);
    result?;
    Ok(time)
}

/// Returns the time from the next version of a service's record until the last node has applied it.
async fn time_to_all(
    fleet: &Fleet,
    platform: &Platform,
    service: &str,
    before: u64,
) -> Option<Duration> {
    let (revision, start) = wait_written(platform, service, before).await?;
    let mut tasks = JoinSet::new();
    for daemon in fleet.daemons.iter().filter(|daemon| daemon.is_running()) {
        tasks.spawn(wait_known(daemon.admin, revision, start + CHANGE_TIMEOUT));
    }
    let known = tasks.join_all().await.into_iter().all(|known| known);
    known.then(|| start.elapsed())
}

/// Waits for a version of a service's record later than `before`; returns it and when it was seen.
async fn wait_written(platform: &Platform, service: &str, before: u64) -> Option<(u64, Instant)> {
    let end = Instant::now() + CHANGE_TIMEOUT;
    while Instant::now() < end {
        let now = version(platform, service).await;
        if now > before {
            return Some((now, Instant::now()));
        }
        sleep(POLL_INTERVAL).await;
    }
    None
}

/// Returns the version of a service's record, or zero if it cannot be read.
async fn version(platform: &Platform, service: &str) -> u64 {
    let key = Key::new(Kind::Service, service);
    let object = platform.get(&key).await.ok().flatten();
    object.map_or(0, |object| object.version)
}

/// Waits until a node has applied a revision; returns whether it did by `end`.
async fn wait_known(admin: SocketAddr, revision: u64, end: Instant) -> bool {
    while Instant::now() < end {
        if seen_revision(admin).await >= revision {
            return true;
        }
        sleep(POLL_INTERVAL).await;
    }
    false
}

/// Returns the revision that a node reports as applied.
async fn seen_revision(admin: SocketAddr) -> u64 {
    let status = status(admin).await.unwrap_or_default();
    status["seen"].as_u64().unwrap_or_default()
}

/// Returns the number of servers held by a daemon, and whether it is the controller.
pub async fn role(daemon: &Daemon) -> (usize, bool) {
    let status = status(daemon.admin).await.unwrap_or_default();
    let held = status["held"].as_array().map_or(0, Vec::len);
    (held, status["controller"].as_bool().unwrap_or_default())
}
