//! Results of commands and their output formats.

mod log;
mod plan;
mod status;
mod trace;

use {crate::error::Error, serde::Serialize, std::fmt::Display};

pub use {
    log::{KeyLog, RequestLog},
    plan::{PlanConflict, Plans, Progress, ProposedPlan},
    status::{Diagnosis, Owners, Status},
    trace::{Explanation, NodeEvent, OwnerChanges},
};

/// A result that can be printed as text and as JSON.
pub trait View: Serialize + Display {}

impl<T: Serialize + Display> View for T {}

/// Output format of results.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Text for people.
    Text,
    /// One JSON value per line.
    Json,
}

impl Format {
    /// Formats a result, including the final line break.
    pub fn render(self, view: &impl View) -> String {
        match self {
            Self::Text => view.to_string(),
            Self::Json => format!("{}\n", to_json(view)),
        }
    }

    /// Formats an error, including the final line break.
    pub fn render_error(self, error: &Error) -> String {
        match self {
            Self::Text => error_text(error),
            Self::Json => format!("{}\n", to_json(&ErrorBody::from(error))),
        }
    }
}

/// Serializes a value; a serialization error is returned as a JSON object too.
fn to_json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_else(|error| format!("{{\"error\":\"{error}\"}}"))
}

/// JSON form of an error.
#[derive(Debug, Serialize)]
struct ErrorBody {
    error: String,
    number: Option<u16>,
    faults: Vec<String>,
}

impl From<&Error> for ErrorBody {
    fn from(error: &Error) -> Self {
        Self { error: error.to_string(), number: error.number(), faults: faults(error) }
    }
}

/// Returns the text form of an error.
fn error_text(error: &Error) -> String {
    let number = error.number().map(|number| format!(" {number}")).unwrap_or_default();
    let mut text = crate::text::wrap(&format!("error{number}: "), "  ", &error.to_string());
    for fault in faults(error) {
        text.push_str(&crate::text::wrap("  ", "    ", &fault));
    }
    text
}

/// Returns the faults of an invalid file.
fn faults(error: &Error) -> Vec<String> {
    match error {
        Error::InvalidFile { faults, .. } => faults.iter().map(ToString::to_string).collect(),
        _ => Vec::new(),
    }
}
