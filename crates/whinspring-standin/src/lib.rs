//! Small stand-ins for what surrounds whinspring, for tests and the bench.
//!
//! [`platform`] stands in for the platform's object API. It can run inside a test or as a process
//! of its own.

pub mod command;
pub mod control;
pub mod http;
pub mod pattern;
pub mod platform;
