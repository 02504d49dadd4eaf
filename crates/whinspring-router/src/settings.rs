//! Settings of a router node, read from INI text.

use {
    std::{net::SocketAddr, time::Duration},
    whinspring::{
        ini::{self, Fault, NAME_HINT, Reader, Section, parse_name},
        name::Name,
    },
};

#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the node's VM.
    pub name: Name,
    /// Failure domain of the VM.
    pub domain: Name,
    /// Address that callers connect to.
    pub caller: SocketAddr,
    /// Address of the load balancer's readiness probe.
    pub ready: SocketAddr,
    /// Address that links of other nodes are accepted on.
    pub peer: SocketAddr,
    /// Address that other nodes connect to, forwarded to `peer`.
    pub advertised: SocketAddr,
    /// Address that the metrics are served on.
    pub metrics: SocketAddr,
    /// Address of the platform's object store.
    pub store: SocketAddr,
    pub limits: Limits,
}

/// Limits set by the platform.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Time between SIGTERM and the kill.
    pub grace: Duration,
    /// Drain time of a leaving server, in milliseconds.
    pub drain_ms: u32,
    /// Longest lease on keys, in milliseconds.
    pub hold_ms: u32,
    /// Retries allowed per request.
    pub retry_ratio: f64,
    /// Additional retries allowed per window, for all nodes together.
    pub retry_extra: u32,
    /// Log lines per second.
    pub log_lines: u32,
    /// CPU that the node may use, in hundredths of a core; the election of the controller prefers
    /// nodes with more.
    pub cpu_percent: u32,
}

/// Known sections.
const SECTIONS: &[&str] = &["node", "limits"];

const ADDR_HINT: &str = "write IP:PORT, such as 10.0.0.4:7000";

impl Settings {
    /// Parses settings from INI text.
    ///
    /// # Errors
    ///
    /// Returns all faults of the text, in the order of their lines.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        let (sections, mut faults) = ini::parse(text);
        ini::reject_unknown(&sections, SECTIONS, &mut faults);
        let settings = read_node(&ini::find(&sections, "node"), &mut faults)
            .zip(Limits::read(&ini::find(&sections, "limits"), &mut faults))
            .map(|(settings, limits)| Self { limits, ..settings });
        match settings {
            Some(settings) if faults.is_empty() => Ok(settings),
            _ => {
                faults.sort_by_key(|fault| fault.line);
                Err(faults)
            }
        }
    }
}

fn read_node(section: &Section, faults: &mut Vec<Fault>) -> Option<Settings> {
    let mut reader = Reader::new(section, faults);
    let name = reader.required("name", NAME_HINT, parse_name);
    let domain = reader.required("domain", NAME_HINT, parse_name);
    let caller = reader.required("caller", ADDR_HINT, parse_addr);
    let ready = reader.required("ready", ADDR_HINT, parse_addr);
    let peer = reader.required("peer", ADDR_HINT, parse_addr);
    let advertised = reader.optional("advertised", ADDR_HINT, parse_addr);
    let metrics = reader.required("metrics", ADDR_HINT, parse_addr);
    let store = reader.required("store", ADDR_HINT, parse_addr);
    reader.close();
    Some(Settings {
        name: name?,
        domain: domain?,
        caller: caller?,
        ready: ready?,
        peer: peer?,
        advertised: advertised.or(peer)?,
        metrics: metrics?,
        store: store?,
        limits: Limits::default(),
    })
}

fn parse_addr(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            grace: Duration::from_secs(6),
            drain_ms: 2_000,
            hold_ms: 10_000,
            retry_ratio: 0.2,
            retry_extra: 50,
            log_lines: 100,
            cpu_percent: 100,
        }
    }
}

impl Limits {
    fn read(section: &Section, faults: &mut Vec<Fault>) -> Option<Self> {
        let base = Self::default();
        let mut reader = Reader::new(section, faults);
        let grace = reader.optional("grace_s", "write seconds from 1 to 600", parse_seconds);
        let drain_ms = reader.number("drain_ms", 100..=600_000, base.drain_ms);
        let hold_ms = reader.number("hold_ms", 1_000..=600_000, base.hold_ms);
        let retry_ratio = reader.optional("retry_ratio", "write a ratio from 0 to 1", parse_ratio);
        let retry_extra = reader.number("retry_extra", 0..=1_000_000, base.retry_extra);
        let cores = reader.optional("cores", "write cores from 0.01 to 1024", parse_cores);
        let log_lines = reader.number("log_lines", 1..=10_000, base.log_lines);
        reader.close();
        Some(Self {
            grace: grace.unwrap_or(base.grace),
            drain_ms: drain_ms?,
            hold_ms: hold_ms?,
            retry_ratio: retry_ratio.unwrap_or(base.retry_ratio),
            retry_extra: retry_extra?,
            log_lines: log_lines?,
            cpu_percent: cores.unwrap_or(base.cpu_percent),
        })
    }
}

/// Parses a time in seconds, with fractions.
fn parse_seconds(text: &str) -> Option<Duration> {
    let seconds: f64 = text.parse().ok()?;
    (1.0..=600.0).contains(&seconds).then(|| Duration::from_secs_f64(seconds))
}

/// Parses a number of cores, with fractions; returns hundredths.
fn parse_cores(text: &str) -> Option<u32> {
    let cores: f64 = text.parse().ok()?;
    (0.01..=1_024.0).contains(&cores).then_some((cores * 100.0) as u32)
}

/// Parses a ratio from 0 to 1.
fn parse_ratio(text: &str) -> Option<f64> {
    let ratio: f64 = text.parse().ok()?;
    (0.0..=1.0).contains(&ratio).then_some(ratio)
}
