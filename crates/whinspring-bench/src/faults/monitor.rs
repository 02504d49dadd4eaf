//! Monitors the status of every daemon for configuration versions that decrease.

use {
    crate::fleet::{Fleet, status},
    serde_json::Value,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    tokio::{sync::watch, task::JoinSet, time::sleep},
};

/// Interval at which the status of a daemon is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Polls the status of all daemons of a fleet.
#[derive(Debug)]
pub(super) struct StatusMonitor {
    stop: watch::Sender<bool>,
    tasks: JoinSet<u64>,
}

impl StatusMonitor {
    /// Starts one polling task for each daemon.
    pub(super) fn start(fleet: &Fleet) -> Self {
        let stop = watch::Sender::new(false);
        let mut tasks = JoinSet::new();
        for daemon in &fleet.daemons {
            tasks.spawn(poll_status(daemon.admin, stop.subscribe()));
        }
        Self { stop, tasks }
    }

    /// Stops polling and returns how often a version was lower than before.
    pub(super) async fn stop(self) -> u64 {
        self.stop.send_replace(true);
        self.tasks.join_all().await.into_iter().sum()
    }
}

/// Polls one daemon until `stop` is set; returns the number of versions lower than before.
async fn poll_status(admin: SocketAddr, stop: watch::Receiver<bool>) -> u64 {
    let mut highest: BTreeMap<(u64, String), u64> = BTreeMap::new();
    let mut reverted = 0;
    while !*stop.borrow() {
        if let Some(status) = status(admin).await {
            for (name, version) in versions(&status) {
                let incarnation = status["incarnation"].as_u64().unwrap_or_default();
                let highest = highest.entry((incarnation, name)).or_default();
                reverted += u64::from(version < *highest);
                *highest = version.max(*highest);
            }
        }
        sleep(POLL_INTERVAL).await;
    }
    reverted
}

/// Returns the versions of all services in a status, and the store revision under an empty name.
fn versions(status: &Value) -> Vec<(String, u64)> {
    let mut versions = vec![(String::new(), status["seen"].as_u64().unwrap_or_default())];
    for service in status["services"].as_array().into_iter().flatten() {
        let name = service["name"].as_str().unwrap_or_default();
        versions.push((name.into(), service["version"].as_u64().unwrap_or_default()));
    }
    versions
}
