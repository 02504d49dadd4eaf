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
const READ_BYTES: usize = 64 * 1024;

/// Reads that may be under way in each direction.
const READS: usize = 64;

/// Directions of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// From who connected to the target.
    Forth,
    /// From the target to who connected.
    Back,
    /// Both.
    Both,
}

/// What the relay does to connections; each is known by its number.
#[derive(Debug, Default, Clone, Copy)]
struct State {
    /// Number of the next connection.
    next: u64,
    /// Connections below this number are cut.
    cut: u64,
    /// Connections below this number pass nothing any more.
    stalled: u64,
    /// Directions in which no connection passes anything, for now.
    blocked: [bool; 2],
    /// Delay each way.
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

/// A piece of a stream and when it is due at the other side.
struct Piece {
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
        self.state.send_modify(|state| state.cut = state.next);
    }

    /// Lets every connection that is open now pass nothing any more; new ones work.
    pub fn stall(&self) {
        self.state.send_modify(|state| state.stalled = state.next);
    }

    /// Stops or resumes passing anything on all connections, as a network partition does.
    pub fn block(&self, blocked: bool) {
        self.block_way(Way::Both, blocked);
    }

    /// Stops or resumes passing anything in one direction.
    pub fn block_way(&self, way: Way, blocked: bool) {
        self.state.send_modify(|state| match way {
            Way::Both => state.blocked = [blocked; 2],
            way => state.blocked[way as usize] = blocked,
        });
    }

    /// Sets the delay each way.
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
            let _ = connection(stream, target, number, state).await;
        });
    }
}

/// Carries one connection until one side closes it or it is cut.
async fn connection(
    near: TcpStream,
    target: SocketAddr,
    number: u64,
    state: watch::Receiver<State>,
) -> io::Result<()> {
    let mut watcher = state.clone();
    let far = TcpStream::connect(target).await?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::select! {
        _ = watcher.wait_for(|state| number < state.cut) => Ok(()),
        both = async {
            tokio::try_join!(
                carry(near_read, far_write, Way::Forth, number, state.clone()),
                carry(far_read, near_write, Way::Back, number, state.clone()),
            )
        } => both.map(|_| ()),
    }
}

/// Carries one direction of a connection.
async fn carry(
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    way: Way,
    number: u64,
    state: watch::Receiver<State>,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::channel(READS);
    tokio::try_join!(take(from, sender, state.clone()), give(to, receiver, way, number, state))?;
    Ok(())
}

/// Reads pieces and stamps them with the time they are due.
async fn take(
    mut from: OwnedReadHalf,
    sender: mpsc::Sender<Piece>,
    state: watch::Receiver<State>,
) -> io::Result<()> {
    loop {
        let mut buffer = BytesMut::with_capacity(READ_BYTES);
        if from.read_buf(&mut buffer).await? == 0 {
            return Ok(());
        }
        let due = Instant::now() + state.borrow().delay;
        if sender.send(Piece { due, data: buffer.freeze() }).await.is_err() {
            return Ok(());
        }
    }
}

/// Writes pieces when they are due, as long as the connection passes anything.
async fn give(
    mut to: OwnedWriteHalf,
    mut receiver: mpsc::Receiver<Piece>,
    way: Way,
    number: u64,
    mut state: watch::Receiver<State>,
) -> io::Result<()> {
    while let Some(piece) = receiver.recv().await {
        sleep_until(piece.due).await;
        passes(way, number, &mut state).await;
        to.write_all(&piece.data).await?;
    }
    passes(way, number, &mut state).await;
    to.shutdown().await
}

/// Waits until the connection passes something; for ever if it is stalled.
async fn passes(way: Way, number: u64, state: &mut watch::Receiver<State>) {
    let passing = state.wait_for(|state| number >= state.stalled && !state.blocked[way as usize]);
    if passing.await.is_err() {
        pending::<()>().await;
    }
}
