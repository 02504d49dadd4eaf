//! Test doubles (stand-ins) for the processes around whinspring, for tests and benchmarks.
//!
//! [`platform`] replaces the platform's object API, [`server`] a backend server, [`caller`] a
//! caller and [`relay`] the network between two processes. [`runs`] checks the run logs that
//! backend servers write. The platform, the server and the relay can run inside a test or as
//! processes of their own.

pub mod caller;
pub mod command;
pub mod control;
pub mod http;
pub mod pattern;
pub mod platform;
pub mod relay;
pub mod runs;
pub mod server;
