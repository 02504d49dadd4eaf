//! Structured logging.
//!
//! Frequent events are counted in the metrics; log lines are written only for state changes.

use {
    log::{LevelFilter as MaxLevel, set_max_level},
    logforth::{
        append::Stderr,
        layout::{JsonLayout, TextLayout},
        record::{Level as Severity, LevelFilter},
    },
    whinspring::settings::{Format, Level, Log},
};

/// Configures logging to standard error according to the settings.
pub fn init(settings: &Log) {
    let stderr = match settings.format {
        Format::Json => Stderr::default().with_layout(JsonLayout::default()),
        Format::Text => Stderr::default().with_layout(TextLayout::default().no_color()),
    };
    let (severity, max) = levels(settings.level);
    let filter = LevelFilter::MoreSevereEqual(severity);
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter).append(stderr))
        .apply();
    set_max_level(max);
}

/// Converts a level to the types of the logger and of the log macros.
fn levels(level: Level) -> (Severity, MaxLevel) {
    match level {
        Level::Error => (Severity::Error, MaxLevel::Error),
        Level::Warn => (Severity::Warn, MaxLevel::Warn),
        Level::Info => (Severity::Info, MaxLevel::Info),
        Level::Debug => (Severity::Debug, MaxLevel::Debug),
    }
}
