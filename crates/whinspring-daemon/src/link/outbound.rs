//! Streams that this node opened on a data connection.

use {
    super::connection::{Connection, FrameHandler},
    crate::{
        exchange::{FlowWindow, ResponsePart, ResponseStream, StreamClosed, WINDOW_BYTES},
        metrics::{Metrics, Traffic},
    },
    bytes::Bytes,
    parking_lot::Mutex,
    std::{
        collections::HashMap,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
    },
    tokio::sync::mpsc,
    whinspring_wire::link::{Frame, Open},
};

/// Bytes read after which credit is granted anew.
const CREDIT_BATCH_BYTES: usize = WINDOW_BYTES / 4;

/// The streams of one connection.
#[derive(Debug)]
pub struct OutboundStreams {
    /// Open streams by number.
    table: Mutex<StreamTable>,
    /// Counters.
    metrics: Arc<Metrics>,
}

/// Open streams.
#[derive(Debug, Default)]
struct StreamTable {
    /// Number of the last stream; numbers are never used twice.
    last_id: u64,
    /// Open streams by number.
    open: HashMap<u64, StreamEntry>,
    /// Whether the connection has ended.
    closed: bool,
}

/// An open stream.
#[derive(Debug)]
struct StreamEntry {
    /// Takes the answer.
    parts: mpsc::UnboundedSender<ResponsePart>,
    /// Credit for the request's body.
    upload_window: Arc<FlowWindow>,
}

/// The asking end of one stream.
#[derive(Debug)]
pub struct OutboundStream {
    /// Connection of the stream.
    conn: Arc<Connection>,
    /// Streams of the connection.
    streams: Arc<OutboundStreams>,
    /// Number of the stream.
    stream: u64,
    /// Bytes read for which no credit has been granted yet.
    uncredited: AtomicUsize,
}

impl OutboundStreams {
    /// Creates an empty table.
    pub fn new(metrics: Arc<Metrics>) -> Self {
        metrics.links.inc();
        Self { table: Mutex::default(), metrics }
    }

    /// Returns how many streams are open.
    pub fn len(&self) -> usize {
        self.table.lock().open.len()
    }

    /// Opens a stream.
    ///
    /// # Errors
    ///
    /// Fails if the connection has ended; nothing was sent then.
    pub fn open(
        self: &Arc<Self>,
        conn: &Arc<Connection>,
        mut open: Box<Open>,
    ) -> Result<ResponseStream, StreamClosed> {
        let (parts, reader) = mpsc::unbounded_channel();
        let upload_window = Arc::new(FlowWindow::new(0));
        let mut table = self.table.lock();
        if table.closed {
            return Err(StreamClosed);
        }
        table.last_id += 1;
        let stream = table.last_id;
        table.open.insert(stream, StreamEntry { parts, upload_window: upload_window.clone() });
        open.stream = stream;
        conn.send(Frame::Open(open));
        let first = table.open.len() == 1;
        drop(table);
        if first {
            conn.wake_watchdog();
        }
        let (conn, streams) = (conn.clone(), self.clone());
        let outbound = OutboundStream { conn, streams, stream, uncredited: AtomicUsize::new(0) };
        Ok(ResponseStream::remote(reader, outbound, upload_window))
    }

    /// Hands a part to its stream, and closes the stream if it is the last one.
    fn deliver(&self, stream: u64, part: ResponsePart, last: bool) {
        let mut table = self.table.lock();
        let delivered = if last {
            let entry = table.open.remove(&stream);
            entry.map(|entry| entry.parts.send(part))
        } else {
            let entry = table.open.get(&stream);
            entry.map(|entry| entry.parts.send(part))
        };
        drop(table);
        if delivered.is_none() {
            self.metrics.count("link_late_frame");
        }
    }
}

impl FrameHandler for OutboundStreams {
    fn handle_frame(&self, _: &Arc<Connection>, frame: Frame) -> bool {
        match frame {
            Frame::Head(head) => {
                let (stream, last) = (head.stream, head.whole);
                self.deliver(stream, ResponsePart::Head(head), last);
            }
            Frame::Data { stream, bytes, last } => {
                self.deliver(stream, ResponsePart::Data { bytes, last }, last);
            }
            Frame::Refuse { stream, reason } => {
                self.deliver(stream, ResponsePart::Refuse(reason), true)
            }
            Frame::Window { stream, bytes } => {
                if let Some(entry) = self.table.lock().open.get(&stream) {
                    entry.upload_window.grant(bytes as usize);
                }
            }
            _ => return false,
        }
        true
    }

    fn is_busy(&self, _: &Connection) -> bool {
        !self.table.lock().open.is_empty()
    }

    fn on_close(&self) {
        let mut table = self.table.lock();
        table.closed = true;
        for (_, entry) in table.open.drain() {
            let _ = entry.parts.send(ResponsePart::Broken);
            entry.upload_window.close();
        }
        drop(table);
        self.metrics.links.dec();
    }

    fn count(&self, event: &'static str) {
        self.metrics.count(event);
    }

    fn traffic(&self) -> Traffic {
        self.metrics.traffic("data")
    }
}

impl OutboundStream {
    /// Sends bytes of the request's body.
    ///
    /// # Errors
    ///
    /// Fails if the connection has ended.
    pub fn send(&self, bytes: Bytes, last: bool) -> Result<(), StreamClosed> {
        if self.conn.is_closed() {
            return Err(StreamClosed);
        }
        self.conn.send(Frame::Data { stream: self.stream, bytes, last });
        Ok(())
    }

    /// Grants the holder a credit for bytes read.
    pub fn return_credit(&self, bytes: usize) {
        let uncredited = self.uncredited.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if uncredited < CREDIT_BATCH_BYTES {
            return;
        }
        self.uncredited.fetch_sub(uncredited, Ordering::Relaxed);
        self.conn.send(Frame::Window { stream: self.stream, bytes: uncredited as u32 });
    }

    /// Gives the stream up, and tells its reader that it broke off.
    pub fn abort(&self) {
        let entry = self.streams.table.lock().open.remove(&self.stream);
        if let Some(entry) = entry {
            self.conn.send(Frame::Cancel(self.stream));
            let _ = entry.parts.send(ResponsePart::Broken);
        }
    }

    /// Gives the stream up.
    pub fn cancel(&self) {
        let entry = self.streams.table.lock().open.remove(&self.stream);
        if entry.is_some() {
            self.conn.send(Frame::Cancel(self.stream));
        }
    }
}
