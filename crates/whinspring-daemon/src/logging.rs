//! Structured logs.
//!
//! Counters tell what happens all the time; a log line is written only when a state changes.

use {
    log::{LevelFilter as Max, set_max_level},
    logforth::{
        append::Stderr,
        layout::{JsonLayout, TextLayout},
        record::{Level, LevelFilter},
    },
};

/// The shape of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// One JSON object a line.
    Json,
    /// Text for people.
    Text,
}

/// Sends the process's log lines of `level` and above to standard error.
pub fn start(level: Level, format: Format) {
    let stderr = match format {
        Format::Json => Stderr::default().with_layout(JsonLayout::default()),
        Format::Text => Stderr::default().with_layout(TextLayout::default().no_color()),
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(LevelFilter::MoreSevereEqual(level)).append(stderr))
        .apply();
    set_max_level(max(level));
}

/// Returns the level of the `log` crate for `level`.
fn max(level: Level) -> Max {
    match level {
        Level::Error => Max::Error,
        Level::Warn => Max::Warn,
        Level::Info => Max::Info,
        _ => Max::Debug,
    }
}
