//! Stand-in for the platform: objects, watches and a lagging list of VMs.
//!
//! It holds everything in memory and can be told to be down, slow, or to lose replies.

mod api;
mod faults;
mod store;
mod vms;

use {
    crate::http::{self, Running},
    api::Api,
    std::{io, net::SocketAddr, sync::Arc},
};

/// Largest value, in bytes.
pub const VALUE_LIMIT: usize = 1_000_000;

/// Largest number of connections at once.
const CONNS: usize = 100_000;

/// How a platform stand-in is started.
#[derive(Debug, Clone)]
pub struct Options {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Revisions that a watch can look back; older ones are answered with 410.
    pub history: u64,
    /// Seed of the choice of lost replies.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self { listen: ([127, 0, 0, 1], 0).into(), history: 10_000, seed: 0 }
    }
}

/// Starts a platform stand-in.
pub async fn start(options: Options) -> io::Result<Running> {
    let api = Api::new(options.history, options.seed);
    http::serve(options.listen, CONNS, Arc::new(api)).await
}
