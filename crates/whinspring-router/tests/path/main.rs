//! Requests over real sockets: responses to callers and requests to servers.

mod answers;
mod follow;
mod links;
mod notices;
mod pair;
mod relay;
mod rig;

#[path = "../support/setup.rs"]
mod setup;
