//! What a fleet consists of.

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

/// Number of daemons, domains and services of a fleet.
#[derive(Debug, Clone)]
pub struct Shape {
    /// Name of the deployment.
    pub deployment: String,
    /// Number of daemons.
    pub daemons: usize,
    /// Number of failure domains, over which daemons and servers are spread in turn.
    pub domains: usize,
    /// Services with their servers.
    pub services: Vec<ServiceShape>,
    /// Lines added to the `[limits]` section of the daemons' settings.
    pub limits: Vec<(String, String)>,
    /// Directory to keep settings and logs in; without it they are removed with the fleet.
    pub keep: Option<PathBuf>,
}

/// A service of a fleet.
#[derive(Debug, Clone)]
pub struct ServiceShape {
    /// Name of the service.
    pub name: String,
    /// Path prefix of its requests.
    pub prefix: String,
    /// Where its requests carry their key.
    pub key: KeyShape,
    /// Number of slices of a keyed service.
    pub slices: u32,
    /// Longest deadline accepted, in milliseconds.
    pub cap_ms: u32,
    /// Servers.
    pub servers: Vec<ServerShape>,
}

/// Where requests of a service carry their key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyShape {
    /// In the header `x-key`.
    Header,
    /// In the first part of the path after the prefix.
    Path,
    /// Nowhere: the service is unkeyed.
    None,
}

/// A backend server of a fleet.
#[derive(Debug, Clone)]
pub struct ServerShape {
    /// Whether it checks fences.
    pub fenced: bool,
    /// Slots declared and used.
    pub slots: u32,
    /// Connections declared and accepted.
    pub conns: u32,
    /// Further arguments of the stand-in.
    pub args: Vec<String>,
}

impl Shape {
    /// Returns the name of the domain in which the process of this index stands.
    pub(super) fn domain(&self, index: usize) -> String {
        format!("domain-{}", index % self.domains + 1)
    }
}

impl ServiceShape {
    /// Returns a service of `servers` servers of the same kind.
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

/// Writes the declaration of a service and returns its path.
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
