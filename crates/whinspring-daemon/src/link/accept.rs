//! Accepts connections of other nodes.

use {
    super::{
        LocalNode,
        connection::{Timeouts, start},
        handshake::{self, Stream},
        inbound::InboundStreams,
        inbox::Inbox,
        socket::set_options,
    },
    crate::exchange::Serve,
    std::{io, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{Semaphore, mpsc},
        task::AbortHandle,
        time::sleep,
    },
    tokio_util::codec::Framed,
    whinspring::{control::Peer, message::Message},
    whinspring_wire::link::{Hello, Purpose},
};

/// Handshakes that may go on at once.
const MAX_HANDSHAKES: usize = 256;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Silence and idleness that are borne on accepted connections.
const TIMEOUTS: Timeouts = Timeouts {
    ping: Duration::from_millis(200),
    dead: Duration::from_millis(500),
    idle: Duration::from_secs(120),
};

/// Accepts connections of other nodes until it is closed.
#[derive(Debug)]
pub struct Listener {
    /// The accepting task.
    task: AbortHandle,
}

impl Listener {
    /// Starts to accept connections.
    ///
    /// Control messages go to `inbox`, requests to `server`.
    pub fn start<S: Serve>(
        local: Arc<LocalNode>,
        socket: TcpListener,
        inbox: mpsc::Sender<(Peer, Message)>,
        handler: Arc<S>,
    ) -> Self {
        let runtime = local.data_runtime.clone();
        let acceptor = Arc::new(Acceptor { local, inbox, handler });
        let task = runtime.spawn(acceptor.run(socket)).abort_handle();
        Self { task }
    }

    /// Accepts no more connections; those open stay open.
    pub fn close(self) {
        self.task.abort();
    }
}

/// What accepted connections are handed to.
struct Acceptor<S> {
    /// What the node's links share.
    local: Arc<LocalNode>,
    /// Takes control messages.
    inbox: mpsc::Sender<(Peer, Message)>,
    /// Takes requests.
    handler: Arc<S>,
}

impl<S: Serve> Acceptor<S> {
    /// Accepts connections.
    async fn run(self: Arc<Self>, socket: TcpListener) {
        let handshakes = Arc::new(Semaphore::new(MAX_HANDSHAKES));
        loop {
            let Ok(permit) = handshakes.clone().acquire_owned().await else { return };
            match socket.accept().await {
                Ok((stream, _)) => {
                    let acceptor = self.clone();
                    tokio::spawn(async move {
                        acceptor.handshake(stream).await;
                        drop(permit);
                    });
                }
                Err(_) => {
                    self.local.metrics.count("link_accept_failed");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Shakes hands and starts the connection.
    async fn handshake(&self, socket: TcpStream) {
        if set_options(&socket).is_err() {
            return;
        }
        match handshake::accept(&self.local, socket).await {
            Ok((stream, hello)) => self.start(stream, hello),
            Err(error) => self.local.metrics.count(error.event()),
        }
    }

    /// Starts a connection where its kind runs.
    fn start(&self, stream: Stream, hello: Hello) {
        let runtime = self.local.runtime(hello.purpose);
        match hello.purpose {
            Purpose::Control => {
                let local = self.local.clone();
                let addr = hello.addr;
                let inbox = Inbox::new(hello, self.inbox.clone(), local.metrics.clone());
                runtime.spawn(async move {
                    let Ok(stream) = move_to_current_runtime(stream) else { return };
                    let conn = start(stream, Arc::new(inbox), TIMEOUTS);
                    local.reply_conns.put(addr, conn);
                });
            }
            Purpose::Data => {
                let streams = InboundStreams::new(self.local.clone(), self.handler.clone());
                runtime.spawn(async move {
                    let Ok(stream) = move_to_current_runtime(stream) else { return };
                    start(stream, Arc::new(streams), TIMEOUTS);
                });
            }
        }
    }
}

/// Moves a connection to the current runtime.
fn move_to_current_runtime(stream: Stream) -> io::Result<Stream> {
    let mut parts = stream.into_parts();
    let socket = TcpStream::from_std(parts.io.into_std()?)?;
    let mut moved = Framed::new(socket, parts.codec);
    std::mem::swap(moved.read_buffer_mut(), &mut parts.read_buf);
    Ok(moved)
}
