//! A complete deployment on loopback: platform stand-in, backend servers and daemons.
//!
//! Every process is a child of this one and writes its output to a file in the fleet's directory.
//! It is signalled only through its process id.

mod daemon;
mod error;
mod operator;
mod ports;
mod process;
mod server;
mod shape;

pub use {
    daemon::{Daemon, status},
    error::Error,
    operator::{CommandOutput, Operator},
    ports::free_addr,
    process::{Process, Usage, program_path},
    server::Server,
    shape::{KeyShape, ServerShape, ServiceShape, Shape},
};

use {
    error::{DirSnafu, PlatformSnafu},
    hyper::{Method, StatusCode},
    snafu::ResultExt,
    std::{
        net::SocketAddr,
        path::{Path, PathBuf},
        time::{Duration, Instant},
    },
    tempfile::TempDir,
    whinspring_standin::{
        caller::{Call, Caller},
        control::call,
    },
};

/// Limit on the time from the confirmation of a service's plan to its first responses.
const SERVE_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval at which readiness and process output are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running deployment.
#[derive(Debug)]
pub struct Fleet {
    pub platform: Process,
    /// Listen address of the platform stand-in.
    pub store: SocketAddr,
    /// Backend servers of all services, in the order of [`Shape::services`].
    pub servers: Vec<Server>,
    pub daemons: Vec<Daemon>,
    /// Directory for settings, process output and run logs.
    pub dir: Dir,
    pub operator: Operator,
}

/// Directory of a fleet.
#[derive(Debug)]
pub enum Dir {
    /// Deleted when the fleet is dropped.
    Temporary(TempDir),
    /// Left in place for inspection.
    Kept(PathBuf),
}

impl Dir {
    pub fn path(&self) -> &Path {
        match self {
            Self::Temporary(dir) => dir.path(),
            Self::Kept(path) => path,
        }
    }

    /// Creates the directory `keep`, or a temporary one if none is given.
    fn open(keep: Option<&Path>) -> Result<Self, Error> {
        let Some(path) = keep else {
            return Ok(Self::Temporary(tempfile::tempdir().context(DirSnafu)?));
        };
        std::fs::create_dir_all(path).context(DirSnafu)?;
        Ok(Self::Kept(path.into()))
    }
}

impl Fleet {
    /// Starts all processes of a shape, registers their VMs as live and waits until the daemons are
    /// ready.
    ///
    /// No service exists until it is declared with [`Fleet::declare`].
    pub async fn start(shape: &Shape) -> Result<Self, Error> {
        let dir = Dir::open(shape.keep.as_deref())?;
        let (platform, store) = start_platform(dir.path()).await?;
        let mut servers = Vec::new();
        for service in &shape.services {
            for (index, server) in service.servers.iter().enumerate() {
                let domain = shape.domain(index);
                servers.push(Server::start(dir.path(), service, server, index, domain).await?);
            }
        }
        let daemons = Daemon::start_all(dir.path(), shape, store).await?;
        let operator = Operator::new(dir.path(), store);
        let fleet = Self { platform, store, servers, daemons, dir, operator };
        for daemon in &fleet.daemons {
            fleet.set_vm(&daemon.name, "live").await?;
        }
        for server in &fleet.servers {
            fleet.set_vm(&server.name, "live").await?;
        }
        for daemon in &fleet.daemons {
            daemon.wait_ready().await?;
        }
        Ok(fleet)
    }

    /// Declares a service through the operators' client: creates the plan, then confirms it.
    pub async fn declare(&self, service: &ServiceShape) -> Result<Vec<CommandOutput>, Error> {
        let servers = self.servers_of(&service.name);
        let file = shape::write_service(self.dir.path(), service, &servers)?;
        self.operator.declare(&file).await
    }

    /// Waits until every running daemon returns a verified response for a request to the service.
    pub async fn wait_serving(&self, service: &ServiceShape) -> Result<(), Error> {
        let end = Instant::now() + SERVE_TIMEOUT;
        let caller = Caller::new();
        for daemon in self.daemons.iter().filter(|daemon| daemon.is_running()) {
            let path = format!("{}/ready-check", service.prefix);
            let call = Call::new(daemon.caller, Method::GET, path)
                .header("x-key", "ready-check")
                .header("whinspring-deadline-ms", "2000");
            loop {
                let reply = caller.send(&call).await;
                if reply.is_right() {
                    break;
                }
                if Instant::now() > end {
                    let (service, daemon) = (service.name.clone(), daemon.name.clone());
                    return error::NotServingSnafu {
                        service,
                        daemon,
                        status: reply.status,
                        code: reply.code,
                    }
                    .fail();
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Sets the state of a VM in the platform stand-in.
    pub async fn set_vm(&self, name: &str, state: &str) -> Result<(), Error> {
        self.put_json(&format!("/vms/{name}"), &format!(r#"{{"state":"{state}"}}"#)).await
    }

    /// Sets the faults that the platform stand-in injects. `faults` is the JSON body described in
    /// `docs/ARCHITECTURE.md`.
    pub async fn set_faults(&self, faults: &str) -> Result<(), Error> {
        self.put_json("/faults", faults).await
    }

    pub fn servers_of(&self, service: &str) -> Vec<&Server> {
        self.servers.iter().filter(|server| server.service == service).collect()
    }

    /// Kills every process and waits until it has exited.
    pub async fn close(self) {
        for daemon in self.daemons {
            daemon.process.close().await;
        }
        for server in self.servers {
            server.process.close().await;
        }
        self.platform.close().await;
    }

    /// Sends a JSON body to the platform stand-in with PUT and expects status 200.
    async fn put_json(&self, path: &str, body: &str) -> Result<(), Error> {
        let answer = call(self.store, Method::PUT, path, body.to_string()).await;
        let answer = answer.context(PlatformSnafu)?;
        if answer.status() != StatusCode::OK {
            return error::RejectedSnafu { path, status: answer.status() }.fail();
        }
        Ok(())
    }
}

/// Starts the platform stand-in on a port chosen by the system.
async fn start_platform(dir: &Path) -> Result<(Process, SocketAddr), Error> {
    let mut process = Process::start(
        dir,
        "platform",
        "whinspring-standin-platform",
        &["--listen".into(), "127.0.0.1:0".into()],
    )?;
    let addr = process.wait_listening().await?;
    Ok((process, addr))
}
