//! Stand-in for a backend server.
//!
//! It runs work in a few slots and queues the rest inside, as real ones do. It can check fencing
//! terms and grants, shed load, start cold, drain, honour cancellation and deadlines, misreport
//! its load, and die of a given request. A run log tells what it ran.

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

/// How a backend server stand-in is started.
#[derive(Debug, Clone)]
pub struct Options {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Name used in answers and in the run log.
    pub name: String,
    /// Whether it checks fencing terms and grants.
    pub fenced: bool,
    /// Work it runs at once.
    pub slots: usize,
    /// Connections it serves at once; further ones are accepted and closed.
    pub conns: usize,
    /// Time that work holds a slot; the timer's step is one millisecond.
    pub work: Duration,
    /// Time that a probe takes, holding a slot if one is free.
    pub probe: Duration,
    /// Time from the start during which it is cold and [`COLD_FACTOR`] times slower.
    pub cold: Duration,
    /// Work queued inside above which it sheds; `None` never sheds.
    pub shed_above: Option<usize>,
    /// Whether its load report is always zero.
    pub zero_load: bool,
    /// Text in path or body of a request that makes the process abort while it runs.
    pub crash_on: Option<String>,
    /// Time added before a request is looked at and before it is answered.
    pub latency: Duration,
    /// Header that carries the key, for answers and the run log.
    pub key_header: String,
    /// Run log to append to.
    pub run_log: Option<PathBuf>,
}

/// How many times slower work is while the server is cold.
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

/// Starts a backend server stand-in.
pub async fn start(options: Options) -> io::Result<RunningServer> {
    let (listen, conns) = (options.listen, options.conns);
    let log = Log::open(options.run_log.as_deref())?;
    http::serve(listen, conns, Arc::new(Server::new(options, log))).await
}
