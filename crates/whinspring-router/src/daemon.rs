//! Starts a node and runs it until a planned shutdown ends.

use {
    crate::{
        admission, control,
        endpoints::{self, Endpoint},
        evacuations, follow,
        frontend::{self, BACKLOG, Connections},
        node::Node,
        peers,
        platform::{Kind, Platform, Position},
        reach,
        record::NodeRecord,
        relay,
        settings::Settings,
        shutdown::{self, FLUSH_DELAY},
    },
    log::info,
    prost::Message,
    snafu::{ResultExt, Snafu},
    std::{io, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, TcpSocket},
        runtime::{Builder, Runtime},
        signal::unix::{Signal, SignalKind, signal},
        task::{LocalSet, spawn_local},
        time::sleep,
    },
    whinspring::name::Name,
    whinspring_http::clock::Clock,
};

/// Delay before another attempt to write the node's record.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(300);

#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display("cannot start the runtime: {source}; check the VM's limits"))]
    Runtime { source: io::Error },
    #[snafu(display("cannot listen on {addr}: {source}; another process may use the address"))]
    Listen { addr: SocketAddr, source: io::Error },
}

/// The process of a node: its runtime and its signal handlers.
#[derive(Debug)]
pub struct Daemon {
    runtime: Runtime,
    signals: Signals,
}

/// Signals that the process handles. One that arrives before the node runs is kept until then.
#[derive(Debug)]
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Daemon {
    /// Starts the runtime and installs the signal handlers. To be called before anything else, as
    /// a signal without a handler ends the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the runtime cannot be started.
    pub fn start() -> Result<Self, Error> {
        let runtime = Builder::new_current_thread().enable_all().build().context(RuntimeSnafu)?;
        let guard = runtime.enter();
        let signals = Signals {
            terminate: signal(SignalKind::terminate()).context(RuntimeSnafu)?,
            interrupt: signal(SignalKind::interrupt()).context(RuntimeSnafu)?,
            hangup: signal(SignalKind::hangup()).context(RuntimeSnafu)?,
        };
        drop(guard);
        Ok(Self { runtime, signals })
    }

    /// Runs a node until SIGTERM or SIGINT has stopped it; SIGHUP calls `reload`.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be listened on.
    pub fn run<P: Platform>(
        self,
        platform: P,
        settings: Settings,
        reload: impl Fn() + 'static,
    ) -> Result<(), Error> {
        let local = LocalSet::new();
        local.block_on(&self.runtime, run_node(platform, settings, self.signals, reload))
    }
}

/// Starts the tasks of a node and runs until its shutdown.
async fn run_node<P: Platform>(
    platform: P,
    settings: Settings,
    mut signals: Signals,
    reload: impl Fn() + 'static,
) -> Result<(), Error> {
    let node = Node::new(platform, settings, Clock::start());
    let settings = &node.settings;
    let links = listen(settings.peer)?;
    let relayed = listen(settings.relay)?;
    let ready = listen(settings.ready)?;
    let metrics = listen(settings.metrics)?;
    let callers = listen(settings.caller)?;
    info!(event = "start", node = node.name().as_str(), incarnation = node.incarnation; "started in failure domain {}", settings.domain);
    spawn_local(peers::accept(node.clone(), links));
    spawn_local(endpoints::serve(node.clone(), ready, Endpoint::Ready));
    spawn_local(endpoints::serve(node.clone(), metrics, Endpoint::Metrics));
    let connections = Rc::new(Connections::default());
    spawn_local(frontend::serve(node.clone(), callers, connections.clone()));
    let relaying = Rc::new(Connections::default());
    spawn_local(relay::server::serve(node.clone(), relayed, relaying.clone()));
    spawn_local(register(node.clone()));
    spawn_local(follow::run(node.clone(), Kind::Routes));
    spawn_local(follow::run(node.clone(), Kind::Servers));
    if follow::follows(&node, Kind::Evacuations) {
        spawn_local(follow::run(node.clone(), Kind::Evacuations));
        spawn_local(evacuations::run(node.clone()));
    }
    spawn_local(follow::sweep(node.clone()));
    spawn_local(load_owners(node.clone()));
    spawn_local(peers::run_heartbeats(node.clone()));
    spawn_local(admission::run(node.clone()));
    spawn_local(reach::run(node.clone()));
    spawn_local(control::run(node.clone()));
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
            _ = signals.hangup.recv() => reload()
        }
    }
    shutdown::run(&node, &connections, &relaying).await;
    info!(event = "stop"; "stopped");
    sleep(FLUSH_DELAY).await;
    Ok(())
}

/// Loads the owners of keys once; later changes come from the controller.
async fn load_owners<P: Platform>(node: Rc<Node<P>>) {
    let listing = follow::list_with_retry(&node, Kind::Owners).await;
    follow::apply_listing(&node, Kind::Owners, listing);
}

/// Registers this node in each era of the store. Never returns.
async fn register<P: Platform>(node: Rc<Node<P>>) {
    loop {
        let era = register_once(&node).await;
        while node.platform.era() == era {
            node.era_ended.notified().await;
        }
    }
}

/// Registers this node in the store and loads the other nodes. Returns the era in which it is
/// registered.
async fn register_once<P: Platform>(node: &Rc<Node<P>>) -> u64 {
    let record = NodeRecord { addr: node.settings.advertised.to_string() };
    let value = record.encode_to_vec();
    let name = node.name().clone();
    loop {
        let known = node.platform.read(Kind::Nodes, &name).await;
        node.set_store_reachable(known.is_ok());
        let era = node.platform.era();
        let done = match known {
            Ok(Some(object)) if object.value == value => true,
            Ok(known) => {
                let absent = Position::new(era, 0);
                let position = known.map_or(absent, |object| object.position);
                node.platform.write(Kind::Nodes, &name, position, &value).await.is_ok()
            }
            Err(_) => false,
        };
        if done {
            break;
        }
        sleep(REGISTER_RETRY_DELAY).await;
    }
    let era = node.platform.era();
    for object in follow::list_with_retry(node, Kind::Nodes).await.items {
        let record = NodeRecord::decode(object.value.as_slice());
        let addr = record.ok().and_then(|record| record.addr.parse().ok());
        if let Some(addr) = addr {
            peers::add_peer(node, &Name::from(object.name.as_str()), addr);
        }
    }
    node.cold.borrow_mut().members.record_listing();
    peers::send_heartbeats(node, node.now());
    era
}

fn listen(addr: SocketAddr) -> Result<TcpListener, Error> {
    let socket = TcpSocket::new_v4().context(ListenSnafu { addr })?;
    socket.set_reuseaddr(true).context(ListenSnafu { addr })?;
    socket.bind(addr).context(ListenSnafu { addr })?;
    socket.listen(BACKLOG).context(ListenSnafu { addr })
}
