//! The operators' client of whinspring.
//!
//! [`run`] parses a command, carries it out and prints one result, for people or as JSON. Commands
//! that change something only store a plan; `confirm` marks the plan as confirmed by a conditional
//! update, and the controller carries it out.

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
