//! Connections: callers' coming in, backend servers' going out, and the clock that judges both.

pub mod backend;
pub mod caller;
pub mod clock;
pub mod headers;
