//! Views of log files.

use {
    crate::{
        log::{Line, Log},
        text::wrap,
    },
    serde::Serialize,
    serde_json::Value,
    std::fmt::{self, Display, Formatter},
    whinspring::code::Code,
};

/// The log lines of a request.
#[derive(Debug, Serialize)]
pub struct RequestLog {
    pub id: String,
    /// Lines that carry the id, in order of time.
    pub lines: Vec<Line>,
    /// Other lines that may explain them.
    #[serde(rename = "around")]
    pub context: Vec<Line>,
}

impl RequestLog {
    /// Selects the lines of a request.
    pub fn new(log: &Log, id: &str) -> Self {
        let lines = log.request_lines(id);
        let context = log.context(&lines);
        Self { id: id.into(), lines, context }
    }
}

impl Display for RequestLog {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&wrap("request ", "  ", &self.id))?;
        write_lines(f, &self.lines)?;
        if !self.context.is_empty() {
            f.write_str("related events:\n")?;
        }
        write_lines(f, &self.context)
    }
}

/// The log lines about changes of a key's owner.
#[derive(Debug, Serialize)]
pub struct KeyLog {
    pub key: u64,
    /// The lines, in order of time.
    pub lines: Vec<Line>,
}

impl KeyLog {
    /// Selects the lines of a key.
    pub fn new(log: &Log, key: u64, service: Option<&str>) -> Self {
        Self { key, lines: log.key_changes(key, service) }
    }
}

impl Display for KeyLog {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&wrap("key ", "  ", &self.key.to_string()))?;
        write_lines(f, &self.lines)
    }
}

/// Writes lines, each with its time of day and source.
fn write_lines(f: &mut Formatter<'_>, lines: &[Line]) -> fmt::Result {
    for line in lines {
        let first = format!("  {} {} {}: ", format_time(line.at_ms), line.source, line.event);
        let fields: Vec<String> = line.fields.iter().filter_map(format_field).collect();
        f.write_str(&wrap(&first, "    ", &format!("{} ({})", line.message, fields.join(", "))))?;
    }
    Ok(())
}

/// Formats a field, result codes with their class; `None` for empty fields and for `id`, which the
/// heading shows.
fn format_field((name, value): (&String, &Value)) -> Option<String> {
    let text = match value {
        Value::String(text) => text.clone(),
        value => value.to_string(),
    };
    if name == "id" || text.is_empty() {
        return None;
    }
    let code = (name == "code").then(|| text.parse().ok().and_then(Code::from_number)).flatten();
    Some(match code {
        Some(code) => format!("{name} {text} {}", code.class().as_str()),
        None => format!("{name} {text}"),
    })
}

/// Formats a time of day, such as `20:41:07.250`.
fn format_time(at_ms: u64) -> String {
    let (second, ms) = (at_ms / 1_000, at_ms % 1_000);
    format!("{:02}:{:02}:{:02}.{ms:03}", second / 3_600, second / 60 % 60, second % 60)
}
