//! Requests over real sockets: what callers get, and what servers see.

mod answers;
mod follow;
mod links;
mod rig;

#[path = "../support/setup.rs"]
mod setup;
