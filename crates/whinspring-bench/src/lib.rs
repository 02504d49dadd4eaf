//! Experiments with real processes on loopback, each signalled only through its process id.
//!
//! [`fleet`] starts and stops the processes, [`driver`] sends requests with retries as callers do,
//! [`generator`] generates load, and [`verdict`] compares the responses with the run logs of the
//! servers. Each experiment has a module of its own.

pub mod demo;
pub mod driver;
pub mod faults;
pub mod fleet;
pub mod generator;
pub mod path;
pub mod verdict;
