//! Requests over real sockets: responses to callers and requests to servers.

mod answers;
mod cold;
mod denied;
mod endless;
mod evacuations;
mod follow;
mod health;
mod limits;
mod links;
mod notices;
mod pair;
mod paths;
mod relay;
mod reports;
mod rig;
mod slow;
mod stop;

#[path = "../support/setup.rs"]
mod setup;
