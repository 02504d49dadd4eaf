//! Accepts connections from other nodes.

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

/// Maximum number of concurrent handshakes.
const MAX_HANDSHAKES: usize = 256;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Timeouts of accepted connections; the idle timeout exceeds those of the dialing end, which
/// therefore closes first.
const TIMEOUTS: Timeouts = Timeouts {
    ping: Duration::from_millis(200),
    dead: Duration::from_millis(500),
    idle: Duration::from_secs(120),
};

/// Accepts connections from other nodes until it is closed.
#[derive(Debug)]
pub struct Listener {
    task: AbortHandle,
}

impl Listener {
    /// Starts accepting connections; control messages go to `inbox`, requests to `handler`.
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

    /// Stops accepting connections; established connections stay open.
    pub fn close(self) {
        self.task.abort();
    }
}

/// State of the accepting task, shared with the handshakes that it spawns.
struct Acceptor<S> {
    local: Arc<LocalNode>,
    /// Queue for control messages.
    inbox: mpsc::Sender<(Peer, Message)>,
    handler: Arc<S>,
}

impl<S: Serve> Acceptor<S> {
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

    /// Performs the handshake and starts the connection.
    async fn handshake(&self, socket: TcpStream) {
        if set_options(&socket).is_err() {
            return;
        }
        match handshake::accept(&self.local, socket).await {
            Ok((stream, hello)) => self.start(stream, hello),
            Err(error) => self.local.metrics.count(error.event()),
        }
    }

    /// Starts a connection on the runtime of its purpose.
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

/// Re-registers a connection's socket with the current runtime.
fn move_to_current_runtime(stream: Stream) -> io::Result<Stream> {
    let mut parts = stream.into_parts();
    let socket = TcpStream::from_std(parts.io.into_std()?)?;
    let mut moved = Framed::new(socket, parts.codec);
    std::mem::swap(moved.read_buffer_mut(), &mut parts.read_buf);
    Ok(moved)
}
