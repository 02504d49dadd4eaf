//! Small stand-ins for what surrounds whinspring, for tests and the bench.
//!
//! [`platform`] stands in for the platform's object API, [`server`] for a backend server,
//! [`caller`] for a caller and [`relay`] for the network between two processes. [`runs`] judges
//! the run logs that backend servers leave behind. Each can run inside a test or as a process of
//! its own.

pub mod caller;
pub mod command;
pub mod control;
pub mod http;
pub mod pattern;
pub mod platform;
pub mod relay;
pub mod runs;
pub mod server;
