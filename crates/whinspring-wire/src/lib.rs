//! Wire types of whinspring: what the platform stores and what nodes send each other.
//!
//! Each message has a wire type generated from `proto/` and a domain type in `whinspring`. The
//! modules here convert between the two by `From` and `TryFrom`, and check sizes and ranges on the
//! way in, so that the rest of the system meets only valid domain types.

pub mod control;
pub mod error;
pub mod frame;
pub mod generated;
pub mod link;
pub mod record;
