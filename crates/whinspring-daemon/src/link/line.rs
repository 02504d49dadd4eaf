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
const BATCH_FRAMES: usize = 128;

/// Bytes after which a batch is written.
const BATCH_BYTES: usize = 256 << 10;

/// Capacity of a write buffer that is kept between batches, in bytes.
const KEEP_BYTES: usize = 64 << 10;

/// Pause between two looks at a connection with work in flight.
const WATCH_PAUSE: Duration = Duration::from_millis(25);

/// When a connection is pinged, condemned and closed.
#[derive(Debug, Clone, Copy)]
pub struct Patience {
    /// Silence after which a connection with work in flight is pinged.
    pub ping: Duration,
    /// Silence after which it is condemned.
    pub dead: Duration,
    /// Time without work after which it is closed.
    pub idle: Duration,
}

/// What a connection's frames are handed to.
pub trait Receive: Send + Sync + 'static {
    /// Takes a frame; `false` if it breaks the protocol.
    fn receive(&self, line: &Arc<Line>, frame: Frame) -> bool;

    /// Returns whether an answer of the peer is awaited.
    fn is_busy(&self, line: &Line) -> bool;

    /// Takes note that the connection has ended.
    fn closed(&self);

    /// Counts an occurrence.
    fn count(&self, event: &'static str);

    /// Returns the counters of what is written.
    fn traffic(&self) -> Traffic;
}

/// The writing end of an open connection.
#[derive(Debug)]
pub struct Line {
    /// Frames to write.
    frames: mpsc::UnboundedSender<Frame>,
    /// Frames not yet written.
    backlog: AtomicUsize,
    /// When the connection was opened.
    start: Instant,
    /// Microseconds from the opening to the last frame heard.
    heard: AtomicU64,
    /// Microseconds from the opening to the last question.
    asked: AtomicU64,
    /// Wakes the watch when work begins.
    work: Notify,
    /// Cancelled when the connection has ended.
    ended: CancellationToken,
}

impl Line {
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
    pub fn ask(&self) {
        self.asked.store(self.age(), Ordering::Relaxed);
    }

    /// Returns whether a question was sent since the peer was last heard.
    pub fn is_unanswered(&self) -> bool {
        self.asked.load(Ordering::Relaxed) > self.heard.load(Ordering::Relaxed)
    }

    /// Starts to watch for silence.
    pub fn wake(&self) {
        self.work.notify_one();
    }

    /// Ends the connection.
    pub fn end(&self) {
        self.ended.cancel();
    }

    /// Returns whether the connection has ended.
    pub fn is_ended(&self) -> bool {
        self.ended.is_cancelled()
    }

    /// Returns the microseconds since the connection was opened.
    fn age(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    /// Returns how long the peer has been silent since `began`.
    fn silence(&self, began: u64) -> Duration {
        let heard = self.heard.load(Ordering::Relaxed).max(began);
        Duration::from_micros(self.age().saturating_sub(heard))
    }
}

/// Starts reading and writing an open connection on the current runtime.
pub fn start<R: Receive>(stream: Stream, receiver: Arc<R>, patience: Patience) -> Arc<Line> {
    let parts = stream.into_parts();
    let (reader, writer) = parts.io.into_split();
    let mut frames = FramedRead::new(reader, parts.codec);
    *frames.read_buffer_mut() = parts.read_buf;
    let (sender, queue) = mpsc::unbounded_channel();
    let line = Arc::new(Line {
        frames: sender,
        backlog: AtomicUsize::new(0),
        start: Instant::now(),
        heard: AtomicU64::new(0),
        asked: AtomicU64::new(0),
        work: Notify::new(),
        ended: CancellationToken::new(),
    });
    tokio::spawn(write(line.clone(), writer, queue, patience, receiver.traffic()));
    tokio::spawn(serve(line.clone(), frames, receiver, patience));
    line
}

/// Reads and watches until the connection ends.
async fn serve<R: Receive>(
    line: Arc<Line>,
    frames: FramedRead<OwnedReadHalf, FrameCodec<wire::Frame>>,
    receiver: Arc<R>,
    patience: Patience,
) {
    tokio::select! {
        () = line.ended.cancelled() => {}
        () = read(&line, frames, &*receiver) => {}
        () = watch(&line, &*receiver, patience) => {}
    }
    line.end();
    receiver.closed();
}

/// Hands frames over until the connection fails.
async fn read<R: Receive>(
    line: &Arc<Line>,
    mut frames: FramedRead<OwnedReadHalf, FrameCodec<wire::Frame>>,
    receiver: &R,
) {
    while let Some(frame) = frames.next().await {
        let Ok(frame) = frame else {
            receiver.count("link_broken");
            return;
        };
        let Ok(frame) = Frame::try_from(frame) else {
            receiver.count("link_garbage");
            return;
        };
        line.heard.store(line.age(), Ordering::Relaxed);
        match frame {
            Frame::Ping(seq) => line.send(Frame::Pong(seq)),
            Frame::Pong(_) => {}
            frame => {
                if !receiver.receive(line, frame) {
                    receiver.count("link_garbage");
                    return;
                }
            }
        }
    }
}

/// Pings a silent connection; returns when it is to be closed.
async fn watch<R: Receive>(line: &Line, receiver: &R, patience: Patience) {
    let mut began = 0;
    let mut pings = 0;
    loop {
        if !receiver.is_busy(line) {
            let woken = timeout(patience.idle, line.work.notified()).await.is_ok();
            if !woken && line.silence(0) >= patience.idle && !receiver.is_busy(line) {
                receiver.count("link_idle_closed");
                return;
            }
            began = line.age();
            pings = 0;
        }
        let before = line.age();
        sleep(WATCH_PAUSE).await;
        if line.silence(began) < patience.ping {
            pings = 0;
            continue;
        }
        if pings == 0 {
            pings += 1;
            line.send(Frame::Ping(pings));
            continue;
        }
        let paused = Duration::from_micros(line.age() - before) > patience.ping;
        let silent = line.silence(began) >= patience.dead;
        if silent && !paused && receiver.is_busy(line) {
            receiver.count("link_condemned");
            return;
        }
    }
}

/// Writes frames in batches until the connection ends.
async fn write(
    line: Arc<Line>,
    mut writer: OwnedWriteHalf,
    mut queue: mpsc::UnboundedReceiver<Frame>,
    patience: Patience,
    traffic: Traffic,
) {
    let mut codec = FrameCodec::<wire::Frame>::default();
    let mut batch = Vec::with_capacity(BATCH_FRAMES);
    let mut buffer = BytesMut::new();
    loop {
        let count = tokio::select! {
            count = queue.recv_many(&mut batch, BATCH_FRAMES) => count,
            () = line.ended.cancelled() => break,
        };
        line.backlog.fetch_sub(count, Ordering::Relaxed);
        for frame in batch.drain(..) {
            if codec.encode(&wire::Frame::from(frame), &mut buffer).is_err() {
                line.end();
                return;
            }
            if buffer.len() < BATCH_BYTES {
                continue;
            }
            if !flush(&mut writer, &mut buffer, patience, &traffic).await {
                line.end();
                return;
            }
        }
        if !flush(&mut writer, &mut buffer, patience, &traffic).await {
            break;
        }
        if buffer.capacity() > KEEP_BYTES {
            buffer = BytesMut::new();
        }
    }
    line.end();
    let _ = writer.shutdown().await;
}

/// Writes out the buffer; `false` if the connection fails or takes nothing.
async fn flush(
    writer: &mut OwnedWriteHalf,
    buffer: &mut BytesMut,
    patience: Patience,
    traffic: &Traffic,
) -> bool {
    traffic.bytes.inc_by(buffer.len() as u64);
    traffic.writes.inc();
    let written = timeout(2 * patience.dead, writer.write_all(buffer)).await;
    buffer.clear();
    matches!(written, Ok(Ok(())))
}
