//! A TCP relay that closes, stalls, blocks or delays connections.
//!
//! A stalled connection stays open but forwards nothing any more, as after a middlebox has lost
//! its state for the connection, while new connections work.

use {
    bytes::{Bytes, BytesMut},
    std::{future::pending, io, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::{mpsc, watch},
        task::{JoinHandle, JoinSet},
        time::{Instant, sleep_until},
    },
};

/// Buffer size of a read.
const MAX_READ_BYTES: usize = 64 * 1024;

/// Chunks that are queued in each direction of a connection before the relay stops reading.
const MAX_QUEUED_CHUNKS: usize = 64;

/// Direction of the data of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From the connecting side to the target.
    ToTarget,
    /// From the target to the connecting side.
    FromTarget,
    Both,
}

/// Injected faults. Connections are numbered in the order in which they are accepted.
#[derive(Debug, Default, Clone, Copy)]
struct State {
    /// Number of the next connection.
    next: u64,
    /// Connections with a lower number are closed.
    cut_below: u64,
    /// Connections with a lower number forward nothing any more.
    stalled_below: u64,
    /// Whether all connections are blocked, to and from the target.
    blocked: [bool; 2],
    /// Delay in each direction.
    delay: Duration,
}

#[derive(Debug)]
pub struct Relay {
    /// Address that the relay listens on.
    pub addr: SocketAddr,
    state: watch::Sender<State>,
    task: JoinHandle<()>,
}

/// Data that was read, and the time at which it is to be forwarded.
struct Chunk {
    due: Instant,
    data: Bytes,
}

impl Relay {
    /// Listens on `listen` and forwards every connection to `target`.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let addr = listener.local_addr()?;
        let state = watch::Sender::new(State::default());
        let task = tokio::spawn(accept(listener, target, state.clone()));
        Ok(Self { addr, state, task })
    }

    /// Closes every connection that is currently open.
    pub fn cut(&self) {
        self.state.send_modify(|state| state.cut_below = state.next);
    }

    /// Stops forwarding on every connection that is currently open, without closing it; new
    /// connections work.
    pub fn stall(&self) {
        self.state.send_modify(|state| state.stalled_below = state.next);
    }

    /// Blocks or unblocks forwarding on all connections, as a network partition does.
    pub fn block(&self, blocked: bool) {
        self.block_direction(Direction::Both, blocked);
    }

    /// Blocks or unblocks forwarding in one direction, or in both.
    pub fn block_direction(&self, direction: Direction, blocked: bool) {
        self.state.send_modify(|state| match direction {
            Direction::Both => state.blocked = [blocked; 2],
            direction => state.blocked[direction as usize] = blocked,
        });
    }

    /// Sets the delay in each direction; it applies to data read from now on.
    pub fn delay(&self, delay: Duration) {
        self.state.send_modify(|state| state.delay = delay);
    }

    /// Stops listening and closes every connection.
    pub async fn close(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

/// Accepts connections; all of them are closed when this future is dropped.
async fn accept(listener: TcpListener, target: SocketAddr, state: watch::Sender<State>) {
    let mut tasks = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        while tasks.try_join_next().is_some() {}
        let mut number = 0;
        state.send_modify(|state| {
            number = state.next;
            state.next += 1;
        });
        let state = state.subscribe();
        tasks.spawn(async move {
            let _ = relay_connection(stream, target, number, state).await;
        });
    }
}

/// Relays one connection until both sides have closed it, it fails, or it is cut.
async fn relay_connection(
    client: TcpStream,
    target: SocketAddr,
    number: u64,
    state: watch::Receiver<State>,
) -> io::Result<()> {
    let mut watcher = state.clone();
    let target_stream = TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    target_stream.set_nodelay(true)?;
    let (client_read, client_write) = client.into_split();
    let (target_read, target_write) = target_stream.into_split();
    tokio::select! {
        _ = watcher.wait_for(|state| number < state.cut_below) => Ok(()),
        both = async {
            tokio::try_join!(
                forward(client_read, target_write, Direction::ToTarget, number, state.clone()),
                forward(target_read, client_write, Direction::FromTarget, number, state.clone()),
            )
        } => both.map(|_| ()),
    }
}

/// Forwards one direction of a connection.
async fn forward(
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    direction: Direction,
    number: u64,
    state: watch::Receiver<State>,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
    tokio::try_join!(
        read_chunks(from, sender, state.clone()),
        write_chunks(to, receiver, direction, number, state)
    )?;
    Ok(())
}

/// Reads data and sets the time at which it is to be forwarded.
async fn read_chunks(
    mut from: OwnedReadHalf,
    sender: mpsc::Sender<Chunk>,
    state: watch::Receiver<State>,
) -> io::Result<()> {
    loop {
        let mut buffer = BytesMut::with_capacity(MAX_READ_BYTES);
        if from.read_buf(&mut buffer).await? == 0 {
            return Ok(());
        }
        let due = Instant::now() + state.borrow().delay;
        if sender.send(Chunk { due, data: buffer.freeze() }).await.is_err() {
            return Ok(());
        }
    }
}

/// Writes chunks when they are due, unless the connection is blocked or stalled.
async fn write_chunks(
    mut to: OwnedWriteHalf,
    mut receiver: mpsc::Receiver<Chunk>,
    direction: Direction,
    number: u64,
    mut state: watch::Receiver<State>,
) -> io::Result<()> {
    while let Some(chunk) = receiver.recv().await {
        sleep_until(chunk.due).await;
        wait_until_open(direction, number, &mut state).await;
        to.write_all(&chunk.data).await?;
    }
    wait_until_open(direction, number, &mut state).await;
    to.shutdown().await
}

/// Waits until the connection is not blocked; never returns if it is stalled.
async fn wait_until_open(direction: Direction, number: u64, state: &mut watch::Receiver<State>) {
    let open =
        state.wait_for(|state| number >= state.stalled_below && !state.blocked[direction as usize]);
    if open.await.is_err() {
        pending::<()>().await;
    }
}
