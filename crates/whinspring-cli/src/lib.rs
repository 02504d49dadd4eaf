//! The operators' client of whinspring.
//!
//! [`run`] parses a command, executes it and prints one result as text or JSON. Commands that
//! change something only store a plan; `confirm` marks the plan as confirmed with a conditional
//! write, and the controller executes it.

pub mod command;
pub mod error;
pub mod exit;
pub mod intent;
pub mod log;
pub mod node;
pub mod options;
pub mod plans;
pub mod query;
pub mod store;
pub mod text;
pub mod view;

mod run;

pub use run::{Output, dispatch, run};
