//! Accepts connections of other nodes.

use {
    super::{
        Local,
        handshake::{self, Stream},
        line::{Line, Patience, Receive, start},
        parts::{Joined, Joiner},
        served::Serving,
        socket::tune,
    },
    crate::{exchange::Serve, metrics::Metrics},
    parking_lot::Mutex,
    std::{io, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{Semaphore, mpsc},
        task::AbortHandle,
        time::sleep,
    },
    tokio_util::codec::Framed,
    whinspring::{control::Peer, message::Message},
    whinspring_wire::{
        control::{MAX_MESSAGE_BYTES, decode},
        error::Error,
        link::{Frame, Hello, Purpose},
    },
};

/// Handshakes that may go on at once.
const MAX_HANDSHAKES: usize = 256;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Silence and idleness that are borne on accepted connections.
const PATIENCE: Patience = Patience {
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
        local: Arc<Local>,
        socket: TcpListener,
        inbox: mpsc::Sender<(Peer, Message)>,
        server: Arc<S>,
    ) -> Self {
        let runtime = local.data.clone();
        let acceptor = Arc::new(Acceptor { local, inbox, server });
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
    local: Arc<Local>,
    /// Takes control messages.
    inbox: mpsc::Sender<(Peer, Message)>,
    /// Takes requests.
    server: Arc<S>,
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
                        acceptor.shake(stream).await;
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
    async fn shake(&self, socket: TcpStream) {
        if tune(&socket).is_err() {
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
        let written = self.local.written(hello.purpose);
        match hello.purpose {
            Purpose::Control => {
                let peer = Peer { name: hello.node, addr: hello.addr };
                let inbox = Inbox::new(peer, self.inbox.clone(), self.local.metrics.clone());
                runtime.spawn(async move {
                    let Ok(stream) = adopt(stream) else { return };
                    start(stream, Arc::new(inbox), PATIENCE, written);
                });
            }
            Purpose::Data => {
                let serving = Serving::new(self.local.clone(), self.server.clone());
                runtime.spawn(async move {
                    let Ok(stream) = adopt(stream) else { return };
                    start(stream, Arc::new(serving), PATIENCE, written);
                });
            }
        }
    }
}

/// Moves a connection to the current runtime.
fn adopt(stream: Stream) -> io::Result<Stream> {
    let mut parts = stream.into_parts();
    let socket = TcpStream::from_std(parts.io.into_std()?)?;
    let mut moved = Framed::new(socket, parts.codec);
    std::mem::swap(moved.read_buffer_mut(), &mut parts.read_buf);
    Ok(moved)
}

/// Joins the parts of a peer's control messages.
struct Inbox {
    /// The peer.
    peer: Peer,
    /// Takes whole messages.
    inbox: mpsc::Sender<(Peer, Message)>,
    /// Parts of a message whose end has not arrived.
    parts: Mutex<Joiner>,
    /// Counters.
    metrics: Arc<Metrics>,
}

impl Inbox {
    /// Creates the inbox of a connection.
    fn new(peer: Peer, inbox: mpsc::Sender<(Peer, Message)>, metrics: Arc<Metrics>) -> Self {
        Self { peer, inbox, parts: Mutex::default(), metrics }
    }

    /// Hands a whole message over; `false` if it is none.
    fn deliver(&self, bytes: &[u8]) -> bool {
        match decode(bytes) {
            Ok(message) => {
                if self.inbox.try_send((self.peer.clone(), message)).is_err() {
                    self.count("control_inbox_full");
                }
                true
            }
            Err(Error::UnknownType { .. }) => {
                self.count("control_unknown_type");
                true
            }
            Err(_) => false,
        }
    }
}

impl Receive for Inbox {
    fn receive(&self, _: &Arc<Line>, frame: Frame) -> bool {
        let Frame::Control { part, more } = frame else { return false };
        let joined = self.parts.lock().join(part, more, MAX_MESSAGE_BYTES);
        match joined {
            Joined::Partial => true,
            Joined::Whole(message) => self.deliver(&message),
            Joined::TooLong => false,
        }
    }

    fn is_busy(&self, _: &Line) -> bool {
        false
    }

    fn closed(&self) {}

    fn count(&self, event: &'static str) {
        self.metrics.count(event);
    }
}
