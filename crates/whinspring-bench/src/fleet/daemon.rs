//! A daemon of a fleet.

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

/// Longest wait for a daemon to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Key that the daemons of a fleet share.
const DEPLOYMENT_KEY: &str = "6b1f0c9e5a7d4483b2c61d0f9a3e7854";

/// A daemon of a fleet.
#[derive(Debug)]
pub struct Daemon {
    /// Name of its VM.
    pub name: String,
    /// Failure domain of its VM.
    pub domain: String,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for other nodes.
    pub peer: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Its process.
    pub process: Process,
    running: bool,
}

/// Addresses of a daemon to be started.
#[derive(Debug, Clone, Copy)]
struct Addrs {
    caller: SocketAddr,
    peer: SocketAddr,
    admin: SocketAddr,
}

impl Daemon {
    /// Starts all daemons of a shape.
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

    /// Waits until the daemon says that it is ready.
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

    /// Returns whether it was not stopped by this fleet.
    pub fn is_running(&self) -> bool {
        self.running
    }

    /// Kills it.
    pub async fn kill(&mut self) {
        self.running = false;
        self.process.kill().await;
    }

    /// Starts it again with the same settings.
    pub async fn restart(&mut self) -> Result<(), Error> {
        self.process.restart().await?;
        self.running = true;
        Ok(())
    }
}

/// Writes the settings of a daemon.
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

/// Returns the status that a daemon gives on its port for operators.
pub async fn status(admin: SocketAddr) -> Option<serde_json::Value> {
    let answer = call(admin, Method::GET, "/status", "").await.ok()?;
    serde_json::from_slice(answer.body()).ok()
}
