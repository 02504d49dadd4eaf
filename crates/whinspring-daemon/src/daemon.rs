//! Starts the components of a node and runs it until a graceful shutdown completes.
//!
//! There are two runtimes: *control* has a dedicated thread for leases, records and planning;
//! *data* carries requests. The endpoint for callers is started last, so that callers are never
//! accepted before their requests can be handled, and is stopped first.

use {
    crate::{
        admin::Admin,
        caller::{self, Callers},
        clock::Clock,
        control::{self, Inputs, Outputs},
        keys::{self, Keys},
        link::{ControlLinks, DataLinks, Listener, LocalNode, ReplyConns},
        logging,
        metrics::Metrics,
        shared::{Reports, Shared, run_ticks},
    },
    log::{info, warn},
    rand::random,
    snafu::{ResultExt, Snafu},
    std::{
        io,
        net::{self, SocketAddr},
        sync::Arc,
        thread::available_parallelism,
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        runtime::{Builder, Runtime},
        signal::unix::{SignalKind, signal},
        sync::{mpsc, watch},
        time::timeout,
    },
    whinspring::{
        control::Setup,
        settings::{Limits, Settings},
    },
    whinspring_platform::Platform,
};

/// Capacity of the queue of control messages from other nodes.
const INBOX_CAPACITY: usize = 4_096;

/// Largest number of threads of the data runtime.
const MAX_DATA_THREADS: usize = 4;

/// An error that prevents a node from starting.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A runtime could not be started.
    #[snafu(display("cannot start threads: {source}; check the VM's limits"))]
    Threads { source: io::Error },
    /// A listening socket could not be bound.
    #[snafu(display("cannot listen on {addr}: {source}; check that nothing else uses it"))]
    Listen { addr: SocketAddr, source: io::Error },
    /// The deployment keys could not be read.
    #[snafu(display("{source}"))]
    Keys { source: keys::Error },
    /// Signal handlers could not be installed.
    #[snafu(display("cannot receive signals: {source}"))]
    Signals { source: io::Error },
}

/// Runs a node until SIGTERM or SIGINT has stopped it gracefully.
///
/// # Errors
///
/// Returns an error if the node cannot be started.
pub fn run(settings: Settings) -> Result<(), Error> {
    logging::init(&settings.log);
    let control = build_runtime("control", 1)?;
    let data = build_runtime("data", data_threads())?;
    data.block_on(async {
        let node = start_node(&settings, &control, &data).await?;
        stop_signal().await?;
        node.close().await;
        Ok(())
    })?;
    control.shutdown_background();
    data.shutdown_background();
    Ok(())
}

/// Starts a runtime.
fn build_runtime(name: &str, threads: usize) -> Result<Runtime, Error> {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
        .context(ThreadsSnafu)
}

/// A running node.
struct Node {
    callers: Callers,
    admin: Admin,
    listener: Listener,
    /// Links that carry requests to other nodes.
    links: DataLinks,
    /// Links that carry control messages to other nodes.
    control: ControlLinks,
    /// Starts the graceful shutdown of the control loop.
    retire: watch::Sender<bool>,
    /// Turns true once the control loop has shut down gracefully.
    retired: watch::Receiver<bool>,
    /// Longest wait for requests in flight during shutdown.
    drain: Duration,
}

impl Node {
    /// Shuts down gracefully: hands held servers over while callers' requests complete.
    async fn close(mut self) {
        info!("stopping gracefully");
        self.retire.send_replace(true);
        let stopped = async {
            self.callers.close().await;
            let _ = self.retired.wait_for(|retired| *retired).await;
        };
        if timeout(self.drain, stopped).await.is_err() {
            warn!("requests were still in flight after drain_ms; stopping anyway");
        }
        self.listener.close();
        self.links.close();
        self.control.close();
        self.admin.close().await;
        info!("stopped");
    }
}

/// Waits for SIGTERM or SIGINT.
async fn stop_signal() -> Result<(), Error> {
    let mut terminate = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(SignalsSnafu)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Starts the components of a node.
async fn start_node(settings: &Settings, control: &Runtime, data: &Runtime) -> Result<Node, Error> {
    let node = &settings.node;
    let clock = Clock::start();
    let metrics = Arc::new(Metrics::new());
    let incarnation = random();
    let keys = Arc::new(Keys::new(keys::read(&node.secret).context(KeysSnafu)?));
    control.spawn(keys::watch(node.secret.clone(), keys.clone(), metrics.clone()));
    let local = Arc::new(LocalNode {
        deployment: node.deployment.clone(),
        keys,
        node: node.name.clone(),
        incarnation,
        addr: node.peer,
        clock,
        metrics: metrics.clone(),
        reply_conns: ReplyConns::default(),
        control_runtime: control.handle().clone(),
        data_runtime: data.handle().clone(),
    });
    let (messages, reports) = mpsc::unbounded_channel();
    let (suspect_sender, suspects) = mpsc::unbounded_channel();
    let shared = Shared::new(
        node.name.clone(),
        incarnation,
        clock,
        metrics.clone(),
        data.handle().clone(),
        Reports { messages, suspects: suspect_sender },
    );
    let links = DataLinks::new(local.clone());
    shared.set_links(links.clone());
    tokio::spawn(run_ticks(shared.clone()));

    let (inbox_sender, inbox) = mpsc::channel(INBOX_CAPACITY);
    let socket = listen(node.peer).await?;
    let listener = Listener::start(local.clone(), socket, inbox_sender.clone(), shared.clone());
    let (retire, retiring) = watch::channel(false);
    let (retired_sender, retired) = watch::channel(false);
    let setup = Setup {
        name: node.name.clone(),
        addr: node.peer,
        domain: node.domain.clone(),
        incarnation,
        seed: random(),
        peers: node.peers.clone(),
    };
    let inputs = Inputs { inbox, reports, suspects, retire: retiring };
    let control_links = ControlLinks::new(local, inbox_sender);
    let outputs = Outputs {
        links: control_links.clone(),
        platform: Platform::new(node.platform),
        shared: shared.clone(),
        metrics,
        retired: retired_sender,
    };
    control.spawn(control::run(setup, clock, inputs, outputs));

    let admin = listen_std(node.admin)?;
    let admin = Admin::start(shared.clone(), admin).context(ListenSnafu { addr: node.admin })?;
    let callers = listen_std(node.caller)?;
    let callers = Callers::start(shared, callers, callers_setup(&settings.limits))
        .context(ListenSnafu { addr: node.caller })?;
    info!("node {} started in failure domain {}", node.name, node.domain);
    let drain = Duration::from_millis(settings.limits.drain_ms.into());
    Ok(Node { callers, admin, listener, links, control: control_links, retire, retired, drain })
}

/// Returns the settings of the endpoint for callers.
fn callers_setup(limits: &Limits) -> caller::Setup {
    caller::Setup {
        workers: data_threads(),
        in_flight: limits.in_flight,
        idle: Duration::from_millis(limits.idle_ms.into()),
        notice: Duration::from_millis(limits.notice_ms.into()),
    }
}

/// Returns the number of threads of the data runtime.
fn data_threads() -> usize {
    available_parallelism().map_or(1, usize::from).min(MAX_DATA_THREADS)
}

/// Binds a blocking socket, for servers that run their own threads.
fn listen_std(addr: SocketAddr) -> Result<net::TcpListener, Error> {
    net::TcpListener::bind(addr).context(ListenSnafu { addr })
}

/// Binds an asynchronous socket.
async fn listen(addr: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(addr).await.context(ListenSnafu { addr })
}
