//! Each key has one owner, whatever becomes of controllers, servers, orders and the store.
//!
//! Controllers run on the runtime's time, which moves by itself when all wait. The store and the
//! servers are fakes; the servers judge every grant. Seeds pick the faults and their moments.

mod fake;
mod scenarios;
mod seeds;

#[path = "../support/setup.rs"]
mod setup;
