//! Settings of the daemon, read from INI text.
//!
//! [`Settings::parse`] checks the whole text and lists every fault at once, so that an operator
//! mends a file in one go. `docs/CONFIG.md` explains the keys and `docs/whinspringd.ini` is a
//! commented example.

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

/// Settings of one daemon.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Who and where this node is.
    pub node: Node,
    /// Bounds on what it takes in.
    pub limits: Limits,
    /// What it logs.
    pub log: Log,
}

impl Settings {
    /// Reads settings from INI text.
    ///
    /// # Errors
    ///
    /// Returns every fault of the text, in the order of their lines.
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

/// Sections that the settings may have.
const SECTIONS: &[&str] = &["node", "limits", "log"];

/// Who and where a node is.
#[derive(Debug, Clone)]
pub struct Node {
    /// Name of the node's VM.
    pub name: Name,
    /// Failure domain of the VM.
    pub domain: Name,
    /// Name of the deployment: nodes of another one are refused.
    pub deployment: Name,
    /// Address that callers connect to.
    pub caller: SocketAddr,
    /// Address that other nodes connect to.
    pub peer: SocketAddr,
    /// Address of the operators' port.
    pub admin: SocketAddr,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Where the deployment's key is.
    pub secret: Secret,
    /// Other nodes to ask for records while the platform is down.
    pub peers: Vec<SocketAddr>,
}

/// Where the deployment's key is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Secret {
    /// In the settings.
    Key(Key),
    /// In a file with one key a line.
    File(PathBuf),
}

/// The key whose possession nodes prove to each other.
#[derive(Clone, PartialEq, Eq)]
pub struct Key(pub Vec<u8>);

impl Debug for Key {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// Fewest bytes of a deployment key.
pub const MIN_KEY_BYTES: usize = 16;

impl Key {
    /// Reads a key of at least [`MIN_KEY_BYTES`] from hexadecimal text.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.trim().as_bytes();
        if !digits.len().is_multiple_of(2) || digits.len() < 2 * MIN_KEY_BYTES {
            return None;
        }
        digits.chunks(2).map(parse_byte).collect::<Option<_>>().map(Self)
    }
}

/// Reads a byte from two hexadecimal digits.
fn parse_byte(pair: &[u8]) -> Option<u8> {
    let digit = |byte: u8| char::from(byte).to_digit(16);
    Some((digit(pair[0])? * 16 + digit(pair[1])?) as u8)
}

/// What a deployment key may be.
const KEY_HINT: &str = "write at least 32 hexadecimal digits, such as openssl rand -hex 32 gives";

/// What a port of this node may be.
const ADDR_HINT: &str = "write IP:PORT, such as 10.0.0.4:7000";

/// What the platform's address may be.
const PLATFORM_HINT: &str = "write IP:PORT or http://IP:PORT, such as 10.0.0.2:8500";

impl Node {
    /// Reads the section `node`.
    fn read(section: &Section, faults: &mut Vec<Fault>) -> Option<Self> {
        let mut reader = Reader::new(section, faults);
        let name = reader.required("name", NAME_HINT, parse_name);
        let domain = reader.required("domain", NAME_HINT, parse_name);
        let deployment = reader.required("deployment", NAME_HINT, parse_name);
        let caller = reader.required("caller", ADDR_HINT, parse_addr);
        let peer = reader.required("peer", "write the IP:PORT that others reach", parse_peer);
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

/// Reads `key` or `key_file`, of which exactly one must be there.
fn read_secret(reader: &mut Reader<'_>) -> Option<Secret> {
    let file = reader.optional("key_file", "write the path of a file", parse_path);
    if reader.has("key") && reader.has("key_file") {
        reader.fault("key_file", "both key and key_file are there", "delete one of the two");
    }
    if file.is_some() && !reader.has("key") {
        return file.map(Secret::File);
    }
    reader.secret("key", KEY_HINT, Key::parse).map(Secret::Key)
}

/// Lists a fault if two ports of the node are the same.
fn check_ports(
    reader: &mut Reader<'_>,
    caller: Option<SocketAddr>,
    peer: Option<SocketAddr>,
    admin: Option<SocketAddr>,
) {
    if peer.is_some() && caller == peer {
        reader.fault("peer", "the address is that of caller", "give each port its own");
    }
    if admin.is_some() && (admin == caller || admin == peer) {
        reader.fault("admin", "the address is that of another port", "give each port its own");
    }
}

/// Reads an address of this node.
fn parse_addr(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

/// Reads an address that other nodes can connect to.
fn parse_peer(text: &str) -> Option<SocketAddr> {
    parse_addr(text).filter(|addr| !addr.ip().is_unspecified())
}

/// Reads a list of addresses.
fn parse_peers(text: &str) -> Option<Vec<SocketAddr>> {
    let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
    parts.map(parse_peer).collect()
}

/// Reads a path.
fn parse_path(text: &str) -> Option<PathBuf> {
    (!text.is_empty()).then(|| text.into())
}

/// Reads an address with or without `http://` before and a slash behind.
pub fn parse_platform(text: &str) -> Option<SocketAddr> {
    let text = text.strip_prefix("http://").unwrap_or(text);
    parse_peer(text.strip_suffix('/').unwrap_or(text))
}

/// Bounds on what a node takes in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Requests of callers in progress at once.
    pub in_flight: u32,
    /// Time for which an idle connection of a caller is kept, in milliseconds.
    pub idle_ms: u32,
    /// Time between the notice of a planned stop and the closing of the callers' port, in
    /// milliseconds: the balancer lets go meanwhile.
    pub notice_ms: u32,
    /// Longest wait of a planned stop for requests in flight, in milliseconds.
    pub drain_ms: u32,
}

impl Limits {
    /// Reads the section `limits`.
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

/// What a node logs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Log {
    /// Least severity of the lines written.
    pub level: Level,
    /// How a line is written.
    pub format: Format,
}

/// Severity of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Level {
    /// Something failed that an operator should look at.
    Error,
    /// Something is wrong that the system deals with.
    Warn,
    /// The state changed.
    Info,
    /// Anything else.
    Debug,
}

/// How a log line is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

impl Log {
    /// Reads the section `log`.
    fn read(section: &Section, faults: &mut Vec<Fault>) -> Option<Self> {
        let mut reader = Reader::new(section, faults);
        let level = reader.optional("level", "write error, warn, info or debug", parse_level);
        let format = reader.optional("format", "write text or json", parse_format);
        reader.close();
        Some(Self { level: level.unwrap_or(Level::Info), format: format.unwrap_or(Format::Json) })
    }
}

/// Reads a severity.
fn parse_level(text: &str) -> Option<Level> {
    match text {
        "error" => Some(Level::Error),
        "warn" => Some(Level::Warn),
        "info" => Some(Level::Info),
        "debug" => Some(Level::Debug),
        _ => None,
    }
}

/// Reads a format.
fn parse_format(text: &str) -> Option<Format> {
    match text {
        "text" => Some(Format::Text),
        "json" => Some(Format::Json),
        _ => None,
    }
}
