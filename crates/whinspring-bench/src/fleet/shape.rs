//! Composition of a fleet: daemons, failure domains, services and servers.

use {
    super::{
        Server,
        error::{DirSnafu, Error},
    },
    snafu::ResultExt,
    std::{
        fmt::Write,
        path::{Path, PathBuf},
    },
};

/// Composition of a fleet.
#[derive(Debug, Clone)]
pub struct Shape {
    pub deployment: String,
    pub daemons: usize,
    /// Number of failure domains; daemons and servers are assigned to them round-robin.
    pub domains: usize,
    pub services: Vec<ServiceShape>,
    /// Keys and values of the `[limits]` section of the daemons' settings.
    pub limits: Vec<(String, String)>,
    /// Directory in which settings and logs are kept; `None` for a temporary one.
    pub keep: Option<PathBuf>,
}

/// A service of a fleet.
#[derive(Debug, Clone)]
pub struct ServiceShape {
    pub name: String,
    /// Path prefix of requests to the service.
    pub prefix: String,
    /// Location of the key in requests.
    pub key: KeyShape,
    /// Number of slices; ignored for an unkeyed service.
    pub slices: u32,
    /// Maximum accepted deadline, in milliseconds.
    pub cap_ms: u32,
    pub servers: Vec<ServerShape>,
}

/// Location of the key in requests of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyShape {
    /// Header `x-key`.
    Header,
    /// First path segment after the prefix.
    Path,
    /// The service is unkeyed.
    None,
}

/// Options of a backend server.
#[derive(Debug, Clone)]
pub struct ServerShape {
    /// Whether the server checks fencing terms.
    pub fenced: bool,
    /// Number of slots, both declared to the router and enforced by the server.
    pub slots: u32,
    /// Number of connections, both declared to the router and accepted by the server.
    pub conns: u32,
    /// Additional arguments of the stand-in.
    pub args: Vec<String>,
}

impl Shape {
    /// Returns the failure domain of the process with this index.
    pub(super) fn domain(&self, index: usize) -> String {
        format!("domain-{}", index % self.domains + 1)
    }
}

impl ServiceShape {
    /// Returns a service with `servers` identical servers.
    pub fn new(name: &str, key: KeyShape, servers: usize, server: ServerShape) -> Self {
        Self {
            name: name.into(),
            prefix: format!("/{name}"),
            key,
            slices: 256,
            cap_ms: 120_000,
            servers: vec![server; servers],
        }
    }
}

impl Default for ServerShape {
    fn default() -> Self {
        Self { fenced: true, slots: 2, conns: 100, args: Vec::new() }
    }
}

/// Writes the declaration file of a service and returns its path.
pub(super) fn write_service(
    dir: &Path,
    service: &ServiceShape,
    servers: &[&Server],
) -> Result<PathBuf, Error> {
    let key = match service.key {
        KeyShape::Header => "header:x-key",
        KeyShape::Path => "path:0",
        KeyShape::None => "none",
    };
    let mut text = format!(
        "[service]\nname = {}\nprefix = {}\nkey = {key}\ncap_ms = {}\ncustomer = x-customer\n",
        service.name, service.prefix, service.cap_ms
    );
    if service.key != KeyShape::None {
        let _ = writeln!(text, "slices = {}", service.slices);
    }
    for (server, shape) in servers.iter().zip(&service.servers) {
        let fenced = if shape.fenced { "yes" } else { "no" };
        let _ = write!(
            text,
            "\n[server {}]\naddr = {}\ndomain = {}\nfenced = {fenced}\nslots = {}\nconns = {}\n",
            server.name, server.addr, server.domain, shape.slots, shape.conns
        );
    }
    let path = dir.join(format!("{}.ini", service.name));
    std::fs::write(&path, text).context(DirSnafu)?;
    Ok(path)
}
