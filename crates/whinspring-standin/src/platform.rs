//! Stand-in for the platform: objects, watches and a lagging list of VMs.
//!
//! It holds everything in memory and can be told to be down, slow, or to lose replies.

mod api;
mod faults;
mod store;
mod vms;

use {
    crate::http::{self, RunningServer},
    api::Api,
    std::{io, net::SocketAddr, sync::Arc},
};

/// Largest value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Largest number of connections at once.
const MAX_CONNECTIONS: usize = 100_000;

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
pub async fn start(options: Options) -> io::Result<RunningServer> {
    let api = Api::new(options.history, options.seed);
    http::serve(options.listen, MAX_CONNECTIONS, Arc::new(api)).await
}
