//! HTTP connections from callers and to backend servers, and the clock for their deadlines.

pub mod backend;
pub mod caller;
pub mod clock;
pub mod headers;
