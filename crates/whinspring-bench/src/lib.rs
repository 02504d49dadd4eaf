//! Experiments over real processes, each started on loopback and stopped by its process id.
//!
//! [`fleet`] starts and stops the processes, [`driver`] sends requests as callers do, [`generator`]
//! sends many of them, and [`verdict`] holds what callers saw against what the servers ran. Each
//! experiment is a module of its own.

pub mod capacity;
pub mod demo;
pub mod driver;
pub mod faults;
pub mod fleet;
pub mod generator;
pub mod path;
pub mod verdict;
