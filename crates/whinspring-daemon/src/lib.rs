//! The parts of `whinspringd`: HTTP in and out, links between nodes, and the control loop.

pub mod clock;
pub mod exchange;
pub mod link;
pub mod metrics;
