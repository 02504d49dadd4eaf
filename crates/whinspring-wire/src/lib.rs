//! Wire formats of whinspring: the values that the platform stores and the messages between nodes.
//!
//! Each message has a wire type generated from `proto/` and a domain type in `whinspring`. The
//! modules of this crate convert between the two with `From` and `TryFrom`. Decoding checks sizes
//! and ranges, so that the rest of the system handles only valid domain types.

pub mod control;
pub mod error;
pub mod frame;
pub mod generated;
pub mod link;
pub mod record;
