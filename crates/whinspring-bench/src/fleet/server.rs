//! A backend server stand-in process of a fleet.

use {
    super::{
        error::{DirSnafu, Error},
        process::Process,
        shape::{ServerShape, ServiceShape},
    },
    snafu::ResultExt,
    std::{
        ffi::OsString,
        net::SocketAddr,
        path::{Path, PathBuf},
    },
    whinspring_standin::runs::{Line, read},
};

#[derive(Debug)]
pub struct Server {
    /// Name of the VM that the server represents.
    pub name: String,
    /// Name of the service.
    pub service: String,
    pub domain: String,
    /// Listen address, unchanged by a restart.
    pub addr: SocketAddr,
    pub process: Process,
    run_log: PathBuf,
}

impl Server {
    /// Starts a server on a free port and waits until it listens.
    pub(super) async fn start(
        dir: &Path,
        service: &ServiceShape,
        shape: &ServerShape,
        index: usize,
        domain: String,
    ) -> Result<Self, Error> {
        let name = format!("{}-{}", service.name, index + 1);
        let run_log = dir.join(format!("{name}.runs"));
        let addr = super::free_addr()?;
        let mut args: Vec<OsString> = Vec::new();
        let mut push_option = |name: &str, value: OsString| args.extend([name.into(), value]);
        push_option("--listen", addr.to_string().into());
        push_option("--name", name.clone().into());
        push_option("--slots", shape.slots.to_string().into());
        push_option("--conns", shape.conns.to_string().into());
        push_option("--run-log", run_log.clone().into());
        if shape.fenced {
            args.push("--fenced".into());
        }
        args.extend(shape.args.iter().map(OsString::from));
        let mut process = Process::start(dir, &name, "whinspring-standin-server", &args)?;
        process.wait_listening().await?;
        Ok(Self { name, service: service.name.clone(), domain, addr, process, run_log })
    }

    /// Reads the run log of the server.
    pub fn runs(&self) -> Result<Vec<Line>, Error> {
        read(&self.run_log).context(DirSnafu)
    }
}
