//! Assembles a node from its parts and runs it until a graceful stop ends.
//!
//! Two runtimes: *control* has a thread of its own for leases, records and planning; *data*
//! carries requests. The parts are started from the inside out, so that nothing answers callers
//! before it can refuse them properly, and stopped from the outside in.

use {
    crate::{
        clock::Clock,
        control::{self, Inputs, Outputs},
        link::{ControlLinks, DataLinks, Listener, Local},
        logging,
        metrics::Metrics,
        shared::{Reports, Shared, run_ticks},
    },
    log::info,
    rand::random,
    snafu::{ResultExt, Snafu},
    std::{
        fs, io,
        net::SocketAddr,
        path::{Path, PathBuf},
        sync::Arc,
        thread::available_parallelism,
    },
    tokio::{
        net::TcpListener,
        runtime::{Builder, Runtime},
        signal::unix::{SignalKind, signal},
        sync::{mpsc, watch},
    },
    whinspring::{
        control::Setup,
        settings::{Key, Secret, Settings},
    },
    whinspring_platform::Platform,
};

/// Control messages that wait for the control loop at most.
const INBOX: usize = 4_096;

/// Threads that carry requests at most.
const DATA_THREADS: usize = 4;

/// Why a node could not be started.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A runtime could not be started.
    #[snafu(display("cannot start threads: {source}; check the VM's limits"))]
    Threads {
        /// The system's error.
        source: io::Error,
    },
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {addr}: {source}; check that nothing else uses it"))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The file of the deployment's key cannot be read.
    #[snafu(display("cannot read {}: {source}; check `key_file`", file.display()))]
    ReadKey {
        /// The file.
        file: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The file of the deployment's key does not hold a key.
    #[snafu(display("{} holds no key; write at least 32 hexadecimal digits", file.display()))]
    BadKey {
        /// The file.
        file: PathBuf,
    },
    /// Signals cannot be received.
    #[snafu(display("cannot receive signals: {source}"))]
    Signals {
        /// The system's error.
        source: io::Error,
    },
}

/// Runs a node until SIGTERM or SIGINT has stopped it gracefully.
///
/// # Errors
///
/// Returns an error if the node cannot be started.
pub fn run(settings: Settings) -> Result<(), Error> {
    logging::start(settings.log.level, settings.log.format);
    let control = runtime("control", 1)?;
    let threads = available_parallelism().map_or(1, usize::from).min(DATA_THREADS);
    let data = runtime("data", threads)?;
    let node = data.block_on(start(&settings, &control, &data))?;
    data.block_on(node.serve())?;
    control.shutdown_background();
    data.shutdown_background();
    Ok(())
}

/// Starts a runtime.
fn runtime(name: &str, threads: usize) -> Result<Runtime, Error> {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
        .context(ThreadsSnafu)
}
