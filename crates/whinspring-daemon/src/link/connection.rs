//! One open connection: reads and writes frames, and watches for silence.

use {
    super::handshake::Stream,
    crate::metrics::Traffic,
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

/// Frames that are joined into one write at most.
const MAX_BATCH_FRAMES: usize = 128;

/// Bytes after which a batch is written.
const FLUSH_BYTES: usize = 256 << 10;

/// Capacity of a write buffer that is kept between batches, in bytes.
const MAX_RETAINED_BYTES: usize = 64 << 10;

/// Pause between two looks at a connection with work in flight.
const WATCH_INTERVAL: Duration = Duration::from_millis(25);

/// When a connection is pinged, condemned and closed.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// Silence after which a connection with work in flight is pinged.
    pub ping: Duration,
    /// Silence after which it is condemned.
    pub dead: Duration,
    /// Time without work after which it is closed.
    pub idle: Duration,
}

/// What a connection's frames are handed to.
pub trait FrameHandler: Send + Sync + 'static {
    /// Takes a frame; `false` if it breaks the protocol.
    fn handle_frame(&self, conn: &Arc<Connection>, frame: Frame) -> bool;

    /// Returns whether an answer of the peer is awaited.
    fn is_busy(&self, conn: &Connection) -> bool;

    /// Takes note that the connection has ended.
    fn on_close(&self);

    /// Counts an occurrence.
    fn count(&self, event: &'static str);

    /// Returns the counters of what is written.
    fn traffic(&self) -> Traffic;
}

/// The writing end of an open connection.
#[derive(Debug)]
pub struct Connection {
    /// Frames to write.
    frames: mpsc::UnboundedSender<Frame>,
    /// Frames not yet written.
    backlog: AtomicUsize,
    /// When the connection was opened.
    opened_at: Instant,
    /// Microseconds from the opening to the last frame heard.
    last_received: AtomicU64,
    /// Microseconds from the opening to the last question.
    last_request: AtomicU64,
    /// Wakes the watch when work begins.
    activity: Notify,
    /// Cancelled when the connection has ended.
    closed: CancellationToken,
}

impl Connection {
    /// Queues a frame; it is lost if the connection has ended.
    pub fn send(&self, frame: Frame) {
        self.backlog.fetch_add(1, Ordering::Relaxed);
        let _ = self.frames.send(frame);
    }

    /// Returns how many frames wait to be written.
    pub fn backlog(&self) -> usize {
        self.backlog.load(Ordering::Relaxed)
    }

    /// Notes that something is sent that the peer answers.
    pub fn note_request(&self) {
        self.last_request.store(self.age_us(), Ordering::Relaxed);
    }

    /// Returns whether a question was sent since the peer was last heard.
    pub fn awaits_reply(&self) -> bool {
        self.last_request.load(Ordering::Relaxed) > self.last_received.load(Ordering::Relaxed)
    }

    /// Starts to watch for silence.
    pub fn wake_watchdog(&self) {
        self.activity.notify_one();
    }

    /// Ends the connection.
    pub fn close(&self) {
        self.closed.cancel();
    }

    /// Returns whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.closed.is_cancelled()
    }

    /// Returns the microseconds since the connection was opened.
    fn age_us(&self) -> u64 {
        self.opened_at.elapsed().as_micros() as u64
    }

    /// Returns how long the peer has been silent since `began`.
    fn silence(&self, since: u64) -> Duration {
        let last_received = self.last_received.load(Ordering::Relaxed).max(since);
        Duration::from_micros(self.age_us().saturating_sub(last_received))
    }
}

/// Starts reading and writing an open connection on the current runtime.
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
    let output =
        FrameWriter { writer, buffer: BytesMut::new(), timeouts, traffic: handler.traffic() };
    tokio::spawn(write(conn.clone(), output, queue));
    tokio::spawn(run(conn.clone(), frames, handler, timeouts));
    conn
}

/// Reads and watches until the connection ends.
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

/// Hands frames over until the connection fails.
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

/// Pings a silent connection; returns when it is to be closed.
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
        let stalled = Duration::from_micros(conn.age_us() - before) > timeouts.ping;
        let silent = conn.silence(since) >= timeouts.dead;
        if silent && !stalled && handler.is_busy(conn) {
            handler.count("link_condemned");
            return;
        }
    }
}

/// What frames are written to.
struct FrameWriter {
    /// The socket.
    writer: OwnedWriteHalf,
    /// Encoded frames that are not written yet.
    buffer: BytesMut,
    /// When a write has taken too long.
    timeouts: Timeouts,
    /// Counts what is written.
    traffic: Traffic,
}

/// Writes frames in batches until the connection ends.
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
    /// Writes frames; `false` if the connection fails or takes nothing.
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

    /// Writes out the buffer; `false` if the connection fails or takes nothing.
    async fn flush(&mut self) -> bool {
        let limit = 2 * self.timeouts.dead;
        let done = timeout(limit, self.writer.write_all(&self.buffer)).await;
        self.traffic.bytes.inc_by(self.buffer.len() as u64);
        self.traffic.writes.inc();
        self.buffer.clear();
        if self.buffer.capacity() > MAX_RETAINED_BYTES {
            self.buffer = BytesMut::new();
        }
        matches!(done, Ok(Ok(())))
    }
}
