//! Stand-in for a backend server.
//!
//! It runs a limited number of requests at once and queues the rest. It can check fencing terms
//! and grants, shed load, be slow after its start, drain, honour cancellation and deadlines,
//! report a false load, and abort on a given request. It records its runs in a run log.

mod api;
mod fence;
mod recorder;
mod request;
mod work;

use {
    crate::{
        http::{self, RunningServer},
        runs::Log,
    },
    api::Server,
    std::{io, net::SocketAddr, path::PathBuf, sync::Arc, time::Duration},
};

pub use work::Echo;

/// Options of a backend server stand-in.
#[derive(Debug, Clone)]
pub struct Options {
    pub listen: SocketAddr,
    /// Name used in responses and in the run log.
    pub name: String,
    /// Whether the server checks fencing terms and grants.
    pub fenced: bool,
    /// Number of requests that run at once.
    pub slots: usize,
    /// Limit of concurrent connections; further ones are accepted and closed.
    pub conns: usize,
    /// Time for which a request holds a slot; the resolution of the timer is one millisecond.
    pub work: Duration,
    /// Duration of a probe, which holds a slot if one is free.
    pub probe: Duration,
    /// Time after the start during which requests take [`COLD_FACTOR`] times as long.
    pub cold: Duration,
    /// Limit of queued requests, above which load is shed; `None` never sheds.
    pub shed_above: Option<usize>,
    /// Whether the load report is always zero.
    pub zero_load: bool,
    /// Text in the path or body of a request that makes the process abort during the run.
    pub crash_on: Option<String>,
    /// Delay added before a request is handled and again before the response is sent.
    pub latency: Duration,
    /// Name of the header that carries the key, for responses and the run log.
    pub key_header: String,
    /// File to which the run log is appended; `None` writes no log.
    pub run_log: Option<PathBuf>,
}

/// Factor by which requests take longer while the server is cold.
pub const COLD_FACTOR: u32 = 4;

impl Default for Options {
    fn default() -> Self {
        Self {
            listen: ([127, 0, 0, 1], 0).into(),
            name: "server".into(),
            fenced: false,
            slots: 2,
            conns: 100,
            work: Duration::ZERO,
            probe: Duration::from_millis(5),
            cold: Duration::ZERO,
            shed_above: None,
            zero_load: false,
            crash_on: None,
            latency: Duration::ZERO,
            key_header: "x-key".into(),
            run_log: None,
        }
    }
}

pub async fn start(options: Options) -> io::Result<RunningServer> {
    let (listen, conns) = (options.listen, options.conns);
    let log = Log::open(options.run_log.as_deref())?;
    http::serve(listen, conns, Arc::new(Server::new(options, log))).await
}
