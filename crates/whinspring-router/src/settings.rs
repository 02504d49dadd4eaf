//! Settings of a router node, read from INI text.

use {
    std::{net::SocketAddr, ops::RangeInclusive, time::Duration},
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
    /// Address that requests of nodes that reach no server are accepted on.
    pub relay: SocketAddr,
    /// Address that other nodes connect to, forwarded to `relay`.
    pub advertised_relay: SocketAddr,
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
    /// Time after which the servers of an evacuated failure domain may get no more requests, in
    /// milliseconds; `None` if the deployment evacuates none.
    pub evacuate_ms: Option<u32>,
    /// Longest lease on keys, in milliseconds.
    pub hold_ms: u32,
    /// Retries allowed per request.
    pub retry_ratio: f64,
    /// Additional retries allowed per window, for all nodes together.
    pub retry_extra: f64,
    /// Log lines per second.
    pub log_lines: u32,
    /// CPU that the node may use, in hundredths of a core; the election of the controller prefers
    /// nodes with more.
    pub cpu_percent: u32,
    /// Requests that a cold server may get in any second, as a multiple of its rate; `None` turns the
    /// limits of cold servers off.
    pub cold_overrun: Option<f64>,
    /// Requests that it may get besides in any second; `None` turns the limits of cold servers off.
    pub cold_slack: Option<f64>,
}

/// Known sections.
const SECTIONS: &[&str] = &["node", "limits"];

/// Longest time of a limit, in milliseconds.
const MAX_TIME_MS: f64 = 86_400_000.0;

const ADDR_HINT: &str = "write IP:PORT, such as 10.0.0.4:7000";

impl Settings {
    /// Parses settings from INI text.
    ///
    /// # Errors
    ///
    /// Returns all faults of the text, in the order of their lines.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        match Self::load(text) {
            (Some(settings), faults) if faults.is_empty() => Ok(settings),
            (_, faults) => Err(faults),
        }
    }

    /// Reads settings from INI text as far as a node can run with them: a limit that cannot be used
    /// is replaced by the nearest one that can, or by its default. Returns `None` if the name, the
    /// failure domain or an address is missing, and all faults in the order of their lines.
    pub fn load(text: &str) -> (Option<Self>, Vec<Fault>) {
        let (sections, mut faults) = ini::parse(text);
        ini::reject_unknown(&sections, SECTIONS, &mut faults);
        let limits = Limits::read(&ini::find(&sections, "limits"), &mut faults);
        let settings = read_node(&ini::find(&sections, "node"), &mut faults)
            .map(|settings| Self { limits, ..settings });
        faults.sort_by_key(|fault| fault.line);
        (settings, faults)
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
    let relay = reader.optional("relay", ADDR_HINT, parse_addr).or(peer.map(next_port));
    let advertised_relay = reader.optional("advertised_relay", ADDR_HINT, parse_addr);
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
        relay: relay?,
        advertised_relay: advertised_relay.or(relay)?,
        metrics: metrics?,
        store: store?,
        limits: Limits::default(),
    })
}

fn parse_addr(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

/// Returns the address with the next port.
fn next_port(addr: SocketAddr) -> SocketAddr {
    SocketAddr::new(addr.ip(), addr.port().saturating_add(1))
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            grace: Duration::from_secs(6),
            drain_ms: 2_000,
            evacuate_ms: None,
            hold_ms: 10_000,
            retry_ratio: 0.2,
            retry_extra: 50.0,
            log_lines: 100,
            cpu_percent: 100,
            cold_overrun: None,
            cold_slack: None,
        }
    }
}

impl Limits {
    /// Reads the limits that are set; the others keep their defaults.
    fn read(section: &Section, faults: &mut Vec<Fault>) -> Self {
        let base = Self::default();
        let section = without_empty(section);
        let mut reader = Reader::new(&section, faults);
        let grace_s = limit(&mut reader, "grace_s", 0.0..=3_600.0, base.grace.as_secs_f64());
        let drain_ms = limit(&mut reader, "drain_ms", 0.0..=MAX_TIME_MS, base.drain_ms.into());
        let evacuate_ms = optional_limit(&mut reader, "evacuate_ms", 0.0..=MAX_TIME_MS);
        let hold_ms = limit(&mut reader, "hold_ms", 1.0..=MAX_TIME_MS, base.hold_ms.into());
        let retry_ratio = limit(&mut reader, "retry_ratio", 0.0..=1.0, base.retry_ratio);
        let retry_extra = limit(&mut reader, "retry_extra", 0.0..=1e9, base.retry_extra);
        let cores = limit(&mut reader, "cores", 0.001..=1e6, f64::from(base.cpu_percent) / 100.0);
        let log_lines = limit(&mut reader, "log_lines", 1.0..=10_000.0, base.log_lines.into());
        let cold_overrun = optional_limit(&mut reader, "cold_overrun", 0.0..=1_000.0);
        let cold_slack = optional_limit(&mut reader, "cold_slack", 0.0..=1e6);
        reader.close();
        Self {
            grace: Duration::from_secs_f64(grace_s),
            drain_ms: drain_ms as u32,
            evacuate_ms: evacuate_ms.map(|ms| ms as u32),
            hold_ms: hold_ms as u32,
            retry_ratio,
            retry_extra,
            log_lines: log_lines as u32,
            cpu_percent: ((cores * 100.0) as u32).max(1),
            cold_overrun,
            cold_slack,
        }
    }
}

/// Returns the section without entries that have no value: the platform leaves the value out if it
/// does not have it.
fn without_empty(section: &Section) -> Section {
    let mut section = section.clone();
    section.entries.retain(|entry| !entry.value.is_empty());
    section
}

/// Returns the number that is set for a limit, or `default` if none is.
fn limit(
    reader: &mut Reader<'_>,
    key: &'static str,
    range: RangeInclusive<f64>,
    default: f64,
) -> f64 {
    optional_limit(reader, key, range).unwrap_or(default)
}

/// Returns the number that is set for a limit. Reports a fault and returns the nearest end of
/// `range` if it is out of range, and `None` if it is not set or no number.
fn optional_limit(
    reader: &mut Reader<'_>,
    key: &'static str,
    range: RangeInclusive<f64>,
) -> Option<f64> {
    let hint = format!("write a number from {} to {}", range.start(), range.end());
    let is_number = |number: &f64| number.is_finite();
    let value = reader.optional(key, &hint, |text| text.parse().ok().filter(is_number))?;
    if !range.contains(&value) {
        reader.fault(key, &format!("`{value}` is out of range"), &hint);
    }
    Some(value.clamp(*range.start(), *range.end()))
}
