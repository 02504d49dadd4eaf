//! Each key has at most one owner, whatever happens to controllers, servers, commands and the
//! store.
//!
//! Controllers run on Tokio's paused clock, which advances when all tasks wait. The store and the
//! servers are fakes that check every grant. Faults and their times are drawn from seeds.

mod domains;
mod evacuations;
mod fake;
mod outages;
mod paths;
mod refusals;
mod restarts;
mod restores;
mod scenarios;
mod seeds;

#[path = "../support/setup.rs"]
mod setup;
