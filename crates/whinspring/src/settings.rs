//! Settings of the daemon, parsed from INI text.
//!
//! [`Settings::parse`] checks the whole text and reports all faults at once, so that an operator
//! can correct a file in one pass. `docs/CONFIG.md` explains the keys and `docs/whinspringd.ini` is
//! a commented example.

use {
    crate::{
        ini::{self, Fault, NAME_HINT, Reader, Section, parse_name},
        name::Name,
    },
    std::{
        fmt::{self, Debug, Formatter},
        net::SocketAddr,
        path::PathBuf,
    },
};

#[derive(Debug, Clone)]
pub struct Settings {
    /// Identity and addresses of this node.
    pub node: Node,
    pub limits: Limits,
    pub log: Log,
}

impl Settings {
    /// Parses settings from INI text.
    ///
    /// # Errors
    ///
    /// Returns all faults of the text, ordered by line.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        let (sections, mut faults) = ini::parse(text);
        ini::reject_unknown(&sections, SECTIONS, &mut faults);
        let node = Node::read(&ini::find(&sections, "node"), &mut faults);
        let limits = Limits::read(&ini::find(&sections, "limits"), &mut faults);
        let log = Log::read(&ini::find(&sections, "log"), &mut faults);
        if let (Some(node), Some(limits), Some(log)) = (node, limits, log)
            && faults.is_empty()
        {
            return Ok(Self { node, limits, log });
        }
        faults.sort_by_key(|fault| fault.line);
        Err(faults)
    }
}

/// Known sections.
const SECTIONS: &[&str] = &["node", "limits", "log"];

/// Identity and addresses of a node.
#[derive(Debug, Clone)]
pub struct Node {
    /// Name of the node's VM.
    pub name: Name,
    /// Failure domain of the VM.
    pub domain: Name,
    /// Name of the deployment; nodes of other deployments are refused.
    pub deployment: Name,
    /// Address that callers connect to.
    pub caller: SocketAddr,
    /// Address that other nodes connect to.
    pub peer: SocketAddr,
    /// Address of the administration port.
    pub admin: SocketAddr,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Source of the deployment's key.
    pub secret: Secret,
    /// Other nodes from which to fetch records while the platform is unavailable.
    pub peers: Vec<SocketAddr>,
}

/// Source of the deployment's key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Secret {
    /// The key itself.
    Key(Key),
    /// A file with one key per line.
    File(PathBuf),
}

/// Shared key with which nodes authenticate each other.
#[derive(Clone, PartialEq, Eq)]
pub struct Key(pub Vec<u8>);

impl Debug for Key {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// Minimum length of a deployment key.
pub const MIN_KEY_BYTES: usize = 16;

impl Key {
    /// Parses a key of at least [`MIN_KEY_BYTES`] from hexadecimal text.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.trim().as_bytes();
        if !digits.len().is_multiple_of(2) || digits.len() < 2 * MIN_KEY_BYTES {
            return None;
        }
        digits.chunks(2).map(parse_byte).collect::<Option<_>>().map(Self)
    }
}

/// Parses a byte from two hexadecimal digits.
fn parse_byte(pair: &[u8]) -> Option<u8> {
    let digit = |byte: u8| char::from(byte).to_digit(16);
    Some((digit(pair[0])? * 16 + digit(pair[1])?) as u8)
}

const KEY_HINT: &str =
    "write at least 32 hexadecimal digits, for example from openssl rand -hex 32";

const ADDR_HINT: &str = "write IP:PORT, such as 10.0.0.4:7000";

const PLATFORM_HINT: &str = "write IP:PORT or http://IP:PORT, such as 10.0.0.2:8500";

impl Node {
    fn read(section: &Section, faults: &mut Vec<Fault>) -> Option<Self> {
        let mut reader = Reader::new(section, faults);
        let name = reader.required("name", NAME_HINT, parse_name);
        let domain = reader.required("domain", NAME_HINT, parse_name);
        let deployment = reader.required("deployment", NAME_HINT, parse_name);
        let caller = reader.required("caller", ADDR_HINT, parse_addr);
        let peer =
            reader.required("peer", "write the IP:PORT that other nodes connect to", parse_peer);
        let admin = reader.required("admin", ADDR_HINT, parse_addr);
        let platform = reader.required("platform", PLATFORM_HINT, parse_platform);
        let secret = read_secret(&mut reader);
        let peers = reader.optional("peers", "write IP:PORT, IP:PORT, ...", parse_peers);
        check_ports(&mut reader, caller, peer, admin);
        reader.close();
        Some(Self {
            name: name?,
            domain: domain?,
            deployment: deployment?,
            caller: caller?,
            peer: peer?,
            admin: admin?,
            platform: platform?,
            secret: secret?,
            peers: peers
                .unwrap_or_default()
                .into_iter()
                .filter(|addr| peer != Some(*addr))
                .collect(),
        })
    }
}

/// Reads `key` or `key_file`, of which exactly one must be set.
fn read_secret(reader: &mut Reader<'_>) -> Option<Secret> {
    let file = reader.optional("key_file", "write the path of a file", parse_path);
    if reader.has("key") && reader.has("key_file") {
        reader.fault("key_file", "both key and key_file are set", "delete one of the two entries");
    }
    if file.is_some() && !reader.has("key") {
        return file.map(Secret::File);
    }
    reader.secret("key", KEY_HINT, Key::parse).map(Secret::Key)
}

/// Reports a fault if two ports of the node have the same address.
fn check_ports(
    reader: &mut Reader<'_>,
    caller: Option<SocketAddr>,
    peer: Option<SocketAddr>,
    admin: Option<SocketAddr>,
) {
    if peer.is_some() && caller == peer {
        reader.fault(
            "peer",
            "the address is already used by caller",
            "give each port its own address",
        );
    }
    if admin.is_some() && (admin == caller || admin == peer) {
        reader.fault(
            "admin",
            "the address is already used by caller or peer",
            "give each port its own address",
        );
    }
}

fn parse_addr(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

/// Parses an address that other nodes can connect to.
fn parse_peer(text: &str) -> Option<SocketAddr> {
    parse_addr(text).filter(|addr| !addr.ip().is_unspecified())
}

/// Parses a comma-separated list of addresses.
fn parse_peers(text: &str) -> Option<Vec<SocketAddr>> {
    let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
    parts.map(parse_peer).collect()
}

fn parse_path(text: &str) -> Option<PathBuf> {
    (!text.is_empty()).then(|| text.into())
}

/// Parses an address with an optional `http://` and trailing slash.
pub fn parse_platform(text: &str) -> Option<SocketAddr> {
    let text = text.strip_prefix("http://").unwrap_or(text);
    parse_peer(text.strip_suffix('/').unwrap_or(text))
}

/// Limits on requests and connections of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of callers' requests in progress.
    pub in_flight: u32,
    /// Idle timeout of callers' connections.
    pub idle_ms: u32,
    /// Time between the announcement of a planned stop and the closing of the callers' port, for
    /// the load balancer to remove the node.
    pub notice_ms: u32,
    /// Maximum time that a planned stop waits for requests in flight.
    pub drain_ms: u32,
}

impl Limits {
    fn read(section: &Section, faults: &mut Vec<Fault>) -> Option<Self> {
        let mut reader = Reader::new(section, faults);
        let in_flight = reader.number("in_flight", 1..=1_000_000, 16_384);
        let idle_ms = reader.number("idle_ms", 1_000..=3_600_000, 75_000);
        let notice_ms = reader.number("notice_ms", 0..=60_000, 5_000);
        let drain_ms = reader.number("drain_ms", 1_000..=3_600_000, 900_000);
        reader.close();
        Some(Self {
            in_flight: in_flight?,
            idle_ms: idle_ms?,
            notice_ms: notice_ms?,
            drain_ms: drain_ms?,
        })
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Log {
    /// Minimum severity of the lines written.
    pub level: Level,
    pub format: Format,
}

/// Severity of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Level {
    /// A failure that needs the attention of an operator.
    Error,
    /// A fault that the system handles itself.
    Warn,
    /// A change of state.
    Info,
    /// Everything else.
    Debug,
}

/// Format of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

impl Log {
    fn read(section: &Section, faults: &mut Vec<Fault>) -> Option<Self> {
        let mut reader = Reader::new(section, faults);
        let level = reader.optional("level", "write error, warn, info or debug", parse_level);
        let format = reader.optional("format", "write text or json", parse_format);
        reader.close();
        Some(Self { level: level.unwrap_or(Level::Info), format: format.unwrap_or(Format::Json) })
    }
}

fn parse_level(text: &str) -> Option<Level> {
    match text {
        "error" => Some(Level::Error),
        "warn" => Some(Level::Warn),
        "info" => Some(Level::Info),
        "debug" => Some(Level::Debug),
        _ => None,
    }
}

fn parse_format(text: &str) -> Option<Format> {
    match text {
        "text" => Some(Format::Text),
        "json" => Some(Format::Json),
        _ => None,
    }
}
