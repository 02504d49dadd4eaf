//! Stand-in for the platform: versioned objects, watches, and a list of VMs that can lag behind.
//!
//! All state is in memory. Outages, delays and lost responses to writes can be injected.

mod api;
mod faults;
mod store;
mod vms;

use {
    crate::http::{self, RunningServer},
    api::Api,
    std::{io, net::SocketAddr, sync::Arc},
};

/// Largest size of an object value.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Limit of concurrent connections.
const MAX_CONNECTIONS: usize = 100_000;

/// Options of a platform stand-in.
#[derive(Debug, Clone)]
pub struct Options {
    pub listen: SocketAddr,
    /// Number of past revisions from which a watch can start; older ones get status 410.
    pub history: u64,
    /// Seed of the random choice of lost responses.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self { listen: ([127, 0, 0, 1], 0).into(), history: 10_000, seed: 0 }
    }
}

pub async fn start(options: Options) -> io::Result<RunningServer> {
    let api = Api::new(options.history, options.seed);
    http::serve(options.listen, MAX_CONNECTIONS, Arc::new(api)).await
}
