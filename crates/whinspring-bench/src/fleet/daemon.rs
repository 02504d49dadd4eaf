//! A daemon process of a fleet.

use {
    super::{
        POLL_INTERVAL,
        error::{DirSnafu, Error},
        ports::free_addr,
        process::Process,
        shape::Shape,
    },
    hyper::{Method, StatusCode},
    snafu::ResultExt,
    std::{
        fmt::Write,
        net::SocketAddr,
        path::Path,
        time::{Duration, Instant},
    },
    whinspring_standin::control::call,
};

/// Limit on the time from a daemon's start until `/ready` returns 200.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Deployment key shared by the daemons of a fleet (`key` in their settings).
const DEPLOYMENT_KEY: &str = "6b1f0c9e5a7d4483b2c61d0f9a3e7854";

/// A daemon process of a fleet.
#[derive(Debug)]
pub struct Daemon {
    /// Name of the VM that the daemon represents.
    pub name: String,
    pub domain: String,
    /// Listen address for callers.
    pub caller: SocketAddr,
    /// Listen address for links from other nodes.
    pub peer: SocketAddr,
    /// Listen address of the admin endpoints.
    pub admin: SocketAddr,
    pub process: Process,
    running: bool,
}

/// Listen addresses assigned to a daemon before its start.
#[derive(Debug, Clone, Copy)]
struct Addrs {
    caller: SocketAddr,
    peer: SocketAddr,
    admin: SocketAddr,
}

impl Daemon {
    /// Starts all daemons of a shape without waiting for their readiness.
    pub(super) async fn start_all(
        dir: &Path,
        shape: &Shape,
        store: SocketAddr,
    ) -> Result<Vec<Self>, Error> {
        let mut addrs = Vec::new();
        for _ in 0..shape.daemons {
            addrs.push(Addrs { caller: free_addr()?, peer: free_addr()?, admin: free_addr()? });
        }
        let peers: Vec<_> = addrs.iter().map(|addrs| addrs.peer.to_string()).collect();
        let peers = peers.join(", ");
        let daemons = addrs.iter().enumerate().map(|(index, addrs)| {
            let name = format!("entry-{}", index + 1);
            let domain = shape.domain(index);
            let text = settings(&name, &domain, *addrs, store, &peers, shape);
            let file = dir.join(format!("{name}.ini"));
            std::fs::write(&file, text).context(DirSnafu)?;
            let args = ["--config".into(), file.into()];
            let process = Process::start(dir, &name, "whinspringd", &args)?;
            let Addrs { caller, peer, admin } = *addrs;
            Ok(Self { name, domain, caller, peer, admin, process, running: true })
        });
        daemons.collect()
    }

    /// Polls `/ready` until it returns 200.
    pub async fn wait_ready(&self) -> Result<(), Error> {
        let end = Instant::now() + READY_TIMEOUT;
        while Instant::now() < end {
            let answer = call(self.admin, Method::GET, "/ready", "").await;
            if answer.is_ok_and(|answer| answer.status() == StatusCode::OK) {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.process.fail_not_ready()
    }

    /// Returns whether the daemon was started and not killed since. An exit by itself is not
    /// noticed.
    pub fn is_running(&self) -> bool {
        self.running
    }

    /// Kills the process (SIGKILL).
    pub async fn kill(&mut self) {
        self.running = false;
        self.process.kill().await;
    }

    /// Restarts the process with the same settings.
    pub async fn restart(&mut self) -> Result<(), Error> {
        self.process.restart().await?;
        self.running = true;
        Ok(())
    }
}

/// Returns the contents of a daemon's settings file.
fn settings(
    name: &str,
    domain: &str,
    addrs: Addrs,
    store: SocketAddr,
    peers: &str,
    shape: &Shape,
) -> String {
    let Addrs { caller, peer, admin } = addrs;
    let deployment = &shape.deployment;
    let mut text = format!(
        "[node]\nname = {name}\ndomain = {domain}\ndeployment = {deployment}\n\
         caller = {caller}\npeer = {peer}\nadmin = {admin}\nplatform = {store}\n\
         key = {DEPLOYMENT_KEY}\npeers = {peers}\n\n[limits]\n"
    );
    for (key, value) in &shape.limits {
        let _ = writeln!(text, "{key} = {value}");
    }
    text
}

/// Fetches `/status` from a daemon's admin address; `None` if it does not answer with JSON.
pub async fn status(admin: SocketAddr) -> Option<serde_json::Value> {
    let answer = call(admin, Method::GET, "/status", "").await.ok()?;
    serde_json::from_slice(answer.body()).ok()
}
