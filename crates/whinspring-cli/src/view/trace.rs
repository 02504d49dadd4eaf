//! Views of the requests and owner changes that nodes have recorded.

use {
    crate::{
        node::{Event, KeyHistory, OwnerChange, RequestTrace},
        text::wrap,
    },
    serde::Serialize,
    std::fmt::{self, Display, Formatter},
    whinspring::code::Code,
};

/// The events of a request on all nodes.
#[derive(Debug, Serialize)]
pub struct Explanation {
    pub id: String,
    /// Events in order of time.
    pub events: Vec<NodeEvent>,
}

/// An event and the node that recorded it.
#[derive(Debug, Serialize)]
pub struct NodeEvent {
    pub node: String,
    #[serde(flatten)]
    pub event: Event,
}

impl Explanation {
    /// Merges the events that nodes recorded for a request.
    pub fn new(id: &str, traces: Vec<RequestTrace>) -> Self {
        let mut events = Vec::new();
        for trace in traces {
            let node = trace.node;
            events.extend(
                trace.events.into_iter().map(|event| NodeEvent { node: node.clone(), event }),
            );
        }
        events.sort_by(|a, b| (a.event.at_ms, &a.node).cmp(&(b.event.at_ms, &b.node)));
        Self { id: id.into(), events }
    }
}

impl Display for Explanation {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&wrap("request ", "  ", &self.id))?;
        let start = self.events.first().map_or(0, |event| event.event.at_ms);
        for event in &self.events {
            let NodeEvent { node, event } = event;
            let code = event.code.map(code_text).unwrap_or_default();
            let first = format!("  +{} ms {} {node}: ", event.at_ms - start, event.hop);
            f.write_str(&wrap(&first, "    ", &format!("{}{code}", event.text)))?;
        }
        Ok(())
    }
}

/// Formats a result code with its class and text.
fn code_text(number: u16) -> String {
    match Code::from_number(number) {
        Some(code) => format!(" ({number}, {}: {})", code.class().as_str(), code.text()),
        None => format!(" ({number})"),
    }
}

/// The owner changes of a key.
#[derive(Debug, Serialize)]
pub struct OwnerChanges {
    pub key: String,
    /// Changes, the latest first.
    pub changes: Vec<OwnerChange>,
}

impl OwnerChanges {
    /// Merges the owner changes that nodes recorded for a key. If several nodes recorded a change,
    /// the earliest entry is kept.
    pub fn new(key: &str, service: Option<&str>, histories: Vec<KeyHistory>) -> Self {
        let mut changes: Vec<_> =
            histories.into_iter().flat_map(|history| history.changes).collect();
        changes.retain(|change| service.is_none_or(|name| change.service == name));
        changes.sort();
        changes.dedup_by(|a, b| (&a.service, a.version) == (&b.service, b.version));
        changes.sort_by_key(|change| std::cmp::Reverse(change.version));
        Self { key: key.into(), changes }
    }
}

impl Display for OwnerChanges {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&wrap("key ", "  ", &self.key))?;
        for change in &self.changes {
            let OwnerChange { service, version, at_ms, former, server, epoch, cause } = change;
            let former = former.map(|former| format!("s{former} -> ")).unwrap_or_default();
            let line = format!("{former}s{server}, epoch {epoch}, version {version}, {cause}");
            f.write_str(&wrap(&format!("  {} {service}: ", format_utc(*at_ms)), "    ", &line))?;
        }
        Ok(())
    }
}

const DAY_MS: u64 = 86_400_000;

/// Formats a time in UTC, such as `2026-12-03 20:41:07`.
fn format_utc(at_ms: u64) -> String {
    let (year, month, day) = civil_date(at_ms / DAY_MS);
    let second = at_ms % DAY_MS / 1_000;
    let (hour, minute, second) = (second / 3_600, second / 60 % 60, second % 60);
    format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02}")
}

/// Converts days since 1970-01-01 to year, month and day.
fn civil_date(mut day: u64) -> (u64, u64, u64) {
    let mut year = 1970;
    while day >= days_in_year(year) {
        day -= days_in_year(year);
        year += 1;
    }
    let february = days_in_year(year) - 337;
    let mut month = 1;
    for days in [31, february, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31] {
        if day < days {
            break;
        }
        day -= days;
        month += 1;
    }
    (year, month, day + 1)
}

fn days_in_year(year: u64) -> u64 {
    let leap = year.is_multiple_of(4) && !year.is_multiple_of(100) || year.is_multiple_of(400);
    if leap { 366 } else { 365 }
}
