//! One open connection: reads and writes frames, and detects a silent peer.

use {
    super::handshake::Stream,
    crate::metrics::LinkCounters,
    futures_util::StreamExt,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        io::AsyncWriteExt,
        net::tcp::{OwnedReadHalf, OwnedWriteHalf},
        sync::{Notify, mpsc},
        time::{sleep, timeout},
    },
    tokio_util::{
        bytes::BytesMut,
        codec::{Encoder, FramedRead},
        sync::CancellationToken,
    },
    whinspring_wire::{
        frame::FrameCodec,
        link::{Frame, wire},
    },
};

/// Maximum number of frames taken from the queue at once.
const MAX_BATCH_FRAMES: usize = 128;

/// Buffered bytes at which a batch is written early.
const FLUSH_BYTES: usize = 256 << 10;

/// Largest capacity of the write buffer that is kept between batches, in bytes.
const MAX_RETAINED_BYTES: usize = 64 << 10;

/// Interval at which a connection with outstanding work is checked for silence.
const WATCH_INTERVAL: Duration = Duration::from_millis(25);

/// Liveness timeouts of a connection.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// Silence after which a connection with outstanding work is pinged.
    pub ping: Duration,
    /// Silence after which a connection with outstanding work is closed.
    pub dead: Duration,
    /// Time without work after which the connection is closed.
    pub idle: Duration,
}

/// Handles the frames that arrive on a connection.
pub trait FrameHandler: Send + Sync + 'static {
    /// Handles a frame; returns `false` if it violates the protocol.
    fn handle_frame(&self, conn: &Arc<Connection>, frame: Frame) -> bool;

    /// Returns whether work is outstanding on the connection.
    fn is_busy(&self, conn: &Connection) -> bool;

    /// Called once when the connection has closed.
    fn on_close(&self);

    /// Increments the counter of `event`.
    fn count(&self, event: &'static str);

    /// Returns the counters of written bytes and writes.
    fn link_counters(&self) -> LinkCounters;
}

/// Handle to an open connection: sends frames, closes it, and tracks when the peer was heard.
#[derive(Debug)]
pub struct Connection {
    /// Queue of the writing task.
    frames: mpsc::UnboundedSender<Frame>,
    /// Number of frames queued and not yet taken by the writing task.
    backlog: AtomicUsize,
    opened_at: Instant,
    /// Time of the last frame received, in microseconds since the opening.
    last_received: AtomicU64,
    /// Time of the last request sent, in microseconds since the opening.
    last_request: AtomicU64,
    /// Wakes the liveness check when work begins.
    activity: Notify,
    /// Cancelled when the connection closes.
    closed: CancellationToken,
}

impl Connection {
    /// Queues a frame; it is dropped if the connection has closed.
    pub fn send(&self, frame: Frame) {
        self.backlog.fetch_add(1, Ordering::Relaxed);
        let _ = self.frames.send(frame);
    }

    /// Returns the number of frames queued and not yet taken by the writing task.
    pub fn backlog(&self) -> usize {
        self.backlog.load(Ordering::Relaxed)
    }

    /// Records that a message is sent to which the peer replies.
    pub fn note_request(&self) {
        self.last_request.store(self.age_us(), Ordering::Relaxed);
    }

    /// Returns whether a request was sent after the last frame from the peer.
    pub fn awaits_reply(&self) -> bool {
        self.last_request.load(Ordering::Relaxed) > self.last_received.load(Ordering::Relaxed)
    }

    /// Starts the liveness check of an idle connection.
    pub fn wake_watchdog(&self) {
        self.activity.notify_one();
    }

    pub fn close(&self) {
        self.closed.cancel();
    }

    pub fn is_closed(&self) -> bool {
        self.closed.is_cancelled()
    }

    fn age_us(&self) -> u64 {
        self.opened_at.elapsed().as_micros() as u64
    }

    /// Returns how long nothing was received, counted from `since` microseconds at the earliest.
    fn silence(&self, since: u64) -> Duration {
        let last_received = self.last_received.load(Ordering::Relaxed).max(since);
        Duration::from_micros(self.age_us().saturating_sub(last_received))
    }
}

/// Spawns the reading and writing tasks of a connection on the current runtime.
pub fn start<R: FrameHandler>(
    stream: Stream,
    handler: Arc<R>,
    timeouts: Timeouts,
) -> Arc<Connection> {
    let parts = stream.into_parts();
    let (reader, writer) = parts.io.into_split();
    let mut frames = FramedRead::new(reader, parts.codec);
    *frames.read_buffer_mut() = parts.read_buf;
    let (sender, queue) = mpsc::unbounded_channel();
    let conn = Arc::new(Connection {
        frames: sender,
        backlog: AtomicUsize::new(0),
        opened_at: Instant::now(),
        last_received: AtomicU64::new(0),
        last_request: AtomicU64::new(0),
        activity: Notify::new(),
        closed: CancellationToken::new(),
    });
    let output = FrameWriter {
        writer,
        buffer: BytesMut::new(),
        timeouts,
        counters: handler.link_counters(),
    };
    tokio::spawn(write(conn.clone(), output, queue));
    tokio::spawn(run(conn.clone(), frames, handler, timeouts));
    conn
}

/// Reads frames and checks liveness until the connection closes.
async fn run<R: FrameHandler>(
    conn: Arc<Connection>,
    frames: FramedRead<OwnedReadHalf, FrameCodec<wire::Frame>>,
    handler: Arc<R>,
    timeouts: Timeouts,
) {
    tokio::select! {
        () = conn.closed.cancelled() => {}
        () = read(&conn, frames, &*handler) => {}
        () = watch(&conn, &*handler, timeouts) => {}
    }
    conn.close();
    handler.on_close();
}

/// Reads frames and passes them to the handler until the connection fails.
async fn read<R: FrameHandler>(
    conn: &Arc<Connection>,
    mut frames: FramedRead<OwnedReadHalf, FrameCodec<wire::Frame>>,
    handler: &R,
) {
    while let Some(frame) = frames.next().await {
        let Ok(frame) = frame else {
            handler.count("link_broken");
            return;
        };
        let Ok(frame) = Frame::try_from(frame) else {
            handler.count("link_garbage");
            return;
        };
        conn.last_received.store(conn.age_us(), Ordering::Relaxed);
        match frame {
            Frame::Ping(seq) => conn.send(Frame::Pong(seq)),
            Frame::Pong(_) => {}
            frame => {
                if !handler.handle_frame(conn, frame) {
                    handler.count("link_garbage");
                    return;
                }
            }
        }
    }
}

/// Pings a silent connection; returns when the connection must be closed.
async fn watch<R: FrameHandler>(conn: &Connection, handler: &R, timeouts: Timeouts) {
    let mut since = 0;
    let mut pings = 0;
    loop {
        if !handler.is_busy(conn) {
            let woken = timeout(timeouts.idle, conn.activity.notified()).await.is_ok();
            if !woken && conn.silence(0) >= timeouts.idle && !handler.is_busy(conn) {
                handler.count("link_idle_closed");
                return;
            }
            since = conn.age_us();
            pings = 0;
        }
        let before = conn.age_us();
        sleep(WATCH_INTERVAL).await;
        if conn.silence(since) < timeouts.ping {
            pings = 0;
            continue;
        }
        if pings == 0 {
            pings += 1;
            conn.send(Frame::Ping(pings));
            continue;
        }
        // A late wake-up means that this process was stalled, so frames from the peer may
        // have arrived without having been read yet.
        let stalled = Duration::from_micros(conn.age_us() - before) > timeouts.ping;
        let silent = conn.silence(since) >= timeouts.dead;
        if silent && !stalled && handler.is_busy(conn) {
            handler.count("link_condemned");
            return;
        }
    }
}

/// Encodes frames and writes them to the socket.
struct FrameWriter {
    writer: OwnedWriteHalf,
    /// Encoded frames that are not yet written.
    buffer: BytesMut,
    /// Timeouts of the connection, from which the write timeout is derived.
    timeouts: Timeouts,
    counters: LinkCounters,
}

/// Writes queued frames in batches until the connection closes.
async fn write(
    conn: Arc<Connection>,
    mut output: FrameWriter,
    mut queue: mpsc::UnboundedReceiver<Frame>,
) {
    let mut batch = Vec::with_capacity(MAX_BATCH_FRAMES);
    loop {
        let count = tokio::select! {
            count = queue.recv_many(&mut batch, MAX_BATCH_FRAMES) => count,
            () = conn.closed.cancelled() => break,
        };
        conn.backlog.fetch_sub(count, Ordering::Relaxed);
        if !output.write(batch.drain(..)).await {
            break;
        }
    }
    conn.close();
    let _ = output.writer.shutdown().await;
}

impl FrameWriter {
    /// Writes frames; returns `false` if the write fails or times out.
    async fn write(&mut self, frames: impl Iterator<Item = Frame>) -> bool {
        let mut codec = FrameCodec::<wire::Frame>::default();
        for frame in frames {
            if codec.encode(&wire::Frame::from(frame), &mut self.buffer).is_err() {
                return false;
            }
            if self.buffer.len() >= FLUSH_BYTES && !self.flush().await {
                return false;
            }
        }
        self.flush().await
    }

    /// Writes out the buffer; returns `false` if the write fails or times out.
    async fn flush(&mut self) -> bool {
        let limit = 2 * self.timeouts.dead;
        let result = timeout(limit, self.writer.write_all(&self.buffer)).await;
        self.counters.bytes.inc_by(self.buffer.len() as u64);
        self.counters.writes.inc();
        self.buffer.clear();
        if self.buffer.capacity() > MAX_RETAINED_BYTES {
            self.buffer = BytesMut::new();
        }
        matches!(result, Ok(Ok(())))
    }
}
