//! A whole deployment on loopback: platform stand-in, backend servers and daemons.
//!
//! Every process is a child of this one, writes its output to a file of the fleet's directory, and
//! is stopped by its process id.

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
    process::{Process, Usage},
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

/// Longest wait for a service to answer after its plan was confirmed.
const SERVE_TIMEOUT: Duration = Duration::from_secs(20);

/// Wait between two attempts of anything that is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running deployment.
#[derive(Debug)]
pub struct Fleet {
    /// Platform stand-in.
    pub platform: Process,
    /// Address of the platform stand-in.
    pub store: SocketAddr,
    /// Backend servers of all services, in the order of the shape.
    pub servers: Vec<Server>,
    /// Daemons.
    pub daemons: Vec<Daemon>,
    /// Directory of settings, logs and run logs.
    pub dir: Dir,
    /// The operators' client.
    pub operator: Operator,
}

/// Directory of a fleet.
#[derive(Debug)]
pub enum Dir {
    /// Removed with the fleet.
    Temporary(TempDir),
    /// Kept.
    Kept(PathBuf),
}

impl Dir {
    /// Returns its path.
    pub fn path(&self) -> &Path {
        match self {
            Self::Temporary(dir) => dir.path(),
            Self::Kept(path) => path,
        }
    }

    /// Opens the directory `keep`, or one that is removed with the fleet.
    fn open(keep: Option<&Path>) -> Result<Self, Error> {
        let Some(path) = keep else {
            return Ok(Self::Temporary(tempfile::tempdir().context(DirSnafu)?));
        };
        std::fs::create_dir_all(path).context(DirSnafu)?;
        Ok(Self::Kept(path.into()))
    }
}

impl Fleet {
    /// Starts all processes of a shape and waits until the daemons are ready.
    ///
    /// No service exists before it is declared; see [`Fleet::declare`].
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

    /// Declares a service through the operators' client: plan, then confirmation.
    pub async fn declare(&self, service: &ServiceShape) -> Result<Vec<CommandOutput>, Error> {
        let servers = self.servers_of(&service.name);
        let file = shape::write_service(self.dir.path(), service, &servers)?;
        self.operator.declare(&file).await
    }

    /// Waits until every daemon answers a request for the service from its server.
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

    /// Tells the platform stand-in the state of a VM.
    pub async fn set_vm(&self, name: &str, state: &str) -> Result<(), Error> {
        self.put_json(&format!("/vms/{name}"), &format!(r#"{{"state":"{state}"}}"#)).await
    }

    /// Sets faults of the platform stand-in; JSON as in `docs/ARCHITECTURE.md`.
    pub async fn set_faults(&self, faults: &str) -> Result<(), Error> {
        self.put_json("/faults", faults).await
    }

    /// Returns the calls that the platform stand-in got, by type.
    pub async fn store_calls(&self) -> Result<serde_json::Value, Error> {
        let answer = call(self.store, Method::GET, "/calls", "").await.context(PlatformSnafu)?;
        Ok(serde_json::from_slice(answer.body()).unwrap_or_default())
    }

    /// Returns the servers of a service.
    pub fn servers_of(&self, service: &str) -> Vec<&Server> {
        self.servers.iter().filter(|server| server.service == service).collect()
    }

    /// Stops every process and waits for its end.
    pub async fn close(self) {
        for daemon in self.daemons {
            daemon.process.close().await;
        }
        for server in self.servers {
            server.process.close().await;
        }
        self.platform.close().await;
    }

    /// Puts a JSON body to the platform stand-in.
    async fn put_json(&self, path: &str, body: &str) -> Result<(), Error> {
        let answer = call(self.store, Method::PUT, path, body.to_string()).await;
        let answer = answer.context(PlatformSnafu)?;
        if answer.status() != StatusCode::OK {
            return error::RejectedSnafu { path, status: answer.status() }.fail();
        }
        Ok(())
    }
}

/// Starts the platform stand-in.
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
