//! Parsing and searching of nodes' log files, to explain a request or the owner changes of a key.
//!
//! A line is a JSON object, optionally after a prefix such as the name of its node. Other lines
//! are counted and skipped.

use {
    crate::error::{Error, UnreadableSnafu},
    serde::{Deserialize, Serialize},
    serde_json::{Map, Value},
    snafu::ResultExt,
    std::{fs, path::Path},
};

/// How long before the first event of a request related lines are searched, in milliseconds.
const CONTEXT_BEFORE_MS: u64 = 5_000;

/// How long after the last event of a request related lines are searched, in milliseconds.
const CONTEXT_AFTER_MS: u64 = 2_000;

/// Related lines that are shown at most; the latest are kept.
const MAX_CONTEXT_LINES: usize = 20;

/// Events that may affect every request of a node.
const GLOBAL_EVENTS: &[&str] = &[
    "store_lost",
    "store_regained",
    "controller",
    "deposed",
    "resigned",
    "peer_lost",
    "link_reopened",
    "start",
    "stopping",
    "log_dropped",
];

#[derive(Debug, Clone, Serialize)]
pub struct Line {
    /// Prefix of the line, or the file name without extension if there is none.
    pub source: String,
    /// Time of writing, in milliseconds since midnight.
    pub at_ms: u64,
    pub event: String,
    pub message: String,
    /// Structured fields other than `event`.
    #[serde(rename = "facts")]
    pub fields: Map<String, Value>,
}

/// The parsed lines of log files.
#[derive(Debug, Default)]
pub struct Log {
    /// Lines sorted by time.
    pub lines: Vec<Line>,
    /// Number of lines that could not be parsed.
    pub skipped: usize,
}

/// The JSON object of a line.
#[derive(Debug, Deserialize)]
struct RawLine {
    #[serde(default)]
    timestamp: String,
    #[serde(default)]
    message: String,
    #[serde(default)]
    kvs: Map<String, Value>,
}

impl Log {
    /// Reads log files and sorts their lines by time.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read.
    pub fn read<'a>(paths: impl IntoIterator<Item = &'a Path>) -> Result<Self, Error> {
        let mut log = Self::default();
        for path in paths {
            let text = fs::read_to_string(path).context(UnreadableSnafu { path })?;
            let name = path.file_stem().unwrap_or_default().to_string_lossy();
            log.add_file(&name, &text);
        }
        log.lines.sort_by_key(|line| line.at_ms);
        Ok(log)
    }

    /// Parses the text of a file; a line without a timestamp gets the time of the line before it.
    fn add_file(&mut self, name: &str, text: &str) {
        let mut at_ms = 0;
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            match parse_line(name, line, at_ms) {
                Some(line) => {
                    at_ms = line.at_ms;
                    self.lines.push(line);
                }
                None => self.skipped += 1,
            }
        }
    }

    /// Returns the lines that carry the id of a request.
    pub fn request_lines(&self, id: &str) -> Vec<Line> {
        let about = |line: &&Line| line.text("id") == Some(id);
        self.lines.iter().filter(about).cloned().collect()
    }

    /// Returns lines without a request id that may explain the events of a request.
    pub fn context(&self, request: &[Line]) -> Vec<Line> {
        let (Some(first), Some(last)) = (request.first(), request.last()) else {
            return Vec::new();
        };
        let span = first.at_ms.saturating_sub(CONTEXT_BEFORE_MS)..=last.at_ms + CONTEXT_AFTER_MS;
        let nearby = self.lines.iter().filter(|line| span.contains(&line.at_ms));
        let related = |line: &&Line| {
            line.text("id").is_none() && request.iter().any(|event| line.is_related(event))
        };
        let found: Vec<Line> = nearby.filter(related).cloned().collect();
        found[found.len().saturating_sub(MAX_CONTEXT_LINES)..].to_vec()
    }

    /// Returns the lines about changes of a key's owner.
    pub fn key_changes(&self, key: u64, service: Option<&str>) -> Vec<Line> {
        let about = |line: &&Line| {
            let in_service = service.is_none_or(|name| line.text("service") == Some(name));
            in_service && (line.covers(key) || line.event == "divided")
        };
        self.lines.iter().filter(about).cloned().collect()
    }
}

impl Line {
    /// Returns a field as text.
    fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Returns a field as a number; a number in a string is accepted.
    fn number(&self, name: &str) -> Option<u64> {
        let value = self.fields.get(name)?;
        value.as_u64().or_else(|| value.as_str()?.parse().ok())
    }

    /// Returns whether the line's range `first..=last` contains a key.
    fn covers(&self, key: u64) -> bool {
        let span = self.number("first").zip(self.number("last"));
        span.is_some_and(|(first, last)| (first..=last).contains(&key))
    }

    /// Returns whether the line may explain `other`, a line about a request.
    fn is_related(&self, other: &Self) -> bool {
        if GLOBAL_EVENTS.contains(&self.event.as_str()) {
            return true;
        }
        if other.number("key").is_some_and(|key| self.covers(key)) {
            return true;
        }
        let server = other.text("server").or(other.text("pool"));
        let same_server =
            [self.text("server"), self.text("to"), self.text("former"), self.text("pool")];
        if server.is_some() && same_server.contains(&server) {
            return true;
        }
        let waited = ["refused", "expired"].contains(&other.event.as_str());
        match self.event.as_str() {
            "balance" => waited,
            "routes" => other.number("routes").is_some(),
            _ => false,
        }
    }
}

/// Parses one line; `default_ms` is its time if it has no timestamp.
fn parse_line(name: &str, line: &str, default_ms: u64) -> Option<Line> {
    let brace = line.find('{')?;
    let raw: RawLine = serde_json::from_str(&line[brace..]).ok()?;
    let prefix = line[..brace].trim();
    let mut fields = raw.kvs;
    let event = fields.remove("event")?.as_str()?.to_string();
    Some(Line {
        source: if prefix.is_empty() { name.into() } else { prefix.into() },
        at_ms: day_millis(&raw.timestamp).unwrap_or(default_ms),
        event,
        message: raw.message,
        fields,
    })
}

/// Returns the milliseconds since midnight of a timestamp such as
/// `2026-12-04T00:03:39.249364+00:00`.
fn day_millis(timestamp: &str) -> Option<u64> {
    let (_, time) = timestamp.split_once('T')?;
    let hour: u64 = time.get(0..2)?.parse().ok()?;
    let minute: u64 = time.get(3..5)?.parse().ok()?;
    let second: f64 = time.get(6..12).or(time.get(6..8))?.parse().ok()?;
    Some((hour * 60 + minute) * 60_000 + (second * 1_000.0) as u64)
}
