//! A small TCP relay that cuts, stalls or delays what passes.
//!
//! Stalled connections stay open and pass nothing any more, like connections that something
//! between the two ends has lost track of, while new ones work.

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

/// Largest read, in bytes.
const MAX_READ_BYTES: usize = 64 * 1024;

/// Reads that may be under direction in each direction.
const MAX_QUEUED_CHUNKS: usize = 64;

/// Directions of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From who connected to the target.
    ToTarget,
    /// From the target to who connected.
    FromTarget,
    /// Both.
    Both,
}

/// What the relay does to connections; each is known by its number.
#[derive(Debug, Default, Clone, Copy)]
struct State {
    /// Number of the next connection.
    next: u64,
    /// Connections below this number are cut.
    cut_below: u64,
    /// Connections below this number pass nothing any more.
    stalled_below: u64,
    /// Directions in which no connection passes anything, for now.
    blocked: [bool; 2],
    /// Delay each direction.
    delay: Duration,
}

/// A running relay.
#[derive(Debug)]
pub struct Relay {
    /// Address it listens on.
    pub addr: SocketAddr,
    state: watch::Sender<State>,
    task: JoinHandle<()>,
}

/// A chunk of a stream and when it is due at the other side.
struct Chunk {
    due: Instant,
    data: Bytes,
}

impl Relay {
    /// Starts a relay from `listen` to `target`.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let addr = listener.local_addr()?;
        let state = watch::Sender::new(State::default());
        let task = tokio::spawn(accept(listener, target, state.clone()));
        Ok(Self { addr, state, task })
    }

    /// Closes every connection that is open now.
    pub fn cut(&self) {
        self.state.send_modify(|state| state.cut_below = state.next);
    }

    /// Lets every connection that is open now pass nothing any more; new ones work.
    pub fn stall(&self) {
        self.state.send_modify(|state| state.stalled_below = state.next);
    }

    /// Stops or resumes passing anything on all connections, as a network partition does.
    pub fn block(&self, blocked: bool) {
        self.block_direction(Direction::Both, blocked);
    }

    /// Stops or resumes passing anything in one direction.
    pub fn block_direction(&self, direction: Direction, blocked: bool) {
        self.state.send_modify(|state| match direction {
            Direction::Both => state.blocked = [blocked; 2],
            direction => state.blocked[direction as usize] = blocked,
        });
    }

    /// Sets the delay each direction.
    pub fn delay(&self, delay: Duration) {
        self.state.send_modify(|state| state.delay = delay);
    }

    /// Stops listening and cuts every connection.
    pub async fn close(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

/// Accepts connections; all are cut when this is dropped.
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

/// Carries one connection until one side closes it or it is cut.
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

/// Carries one direction of a connection.
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

/// Reads pieces and stamps them with the time they are due.
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

/// Writes pieces when they are due, as long as the connection passes anything.
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

/// Waits until the connection passes something; for ever if it is stalled.
async fn wait_until_open(direction: Direction, number: u64, state: &mut watch::Receiver<State>) {
    let open =
        state.wait_for(|state| number >= state.stalled_below && !state.blocked[direction as usize]);
    if open.await.is_err() {
        pending::<()>().await;
    }
}
