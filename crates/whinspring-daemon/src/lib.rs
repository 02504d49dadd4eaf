//! Components of `whinspringd`: HTTP endpoints, links between nodes, and the control loop.

pub mod admin;
pub mod backend;
pub mod caller;
pub mod control;
pub mod daemon;
pub mod exchange;
mod handover;
pub mod held;
pub mod journal;
pub mod keys;
pub mod link;
pub mod logging;
pub mod metrics;
pub mod serve;
pub mod shared;
mod trace;

pub use whinspring_http::{clock, headers};
