//! The parts of `whinspringd`: HTTP in and out, links between nodes, and the control loop.

pub mod backend;
pub mod clock;
pub mod exchange;
mod headers;
pub mod held;
pub mod link;
pub mod metrics;
pub mod shared;
mod trace;
