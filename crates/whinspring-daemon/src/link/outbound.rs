//! Streams that this node opened on a data connection (the entry's side).

use {
    super::connection::{Connection, FrameHandler},
    crate::{
        exchange::{FlowWindow, ResponsePart, ResponseStream, StreamClosed, WINDOW_BYTES},
        metrics::{LinkCounters, Metrics},
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

/// Bytes read after which credit is granted again; batching saves window frames.
const CREDIT_BATCH_BYTES: usize = WINDOW_BYTES / 4;

/// Outbound streams of one connection; handles the frames that arrive for them.
#[derive(Debug)]
pub struct OutboundStreams {
    /// State of the streams.
    table: Mutex<StreamTable>,
    metrics: Arc<Metrics>,
}

/// State of the streams of one connection.
#[derive(Debug, Default)]
struct StreamTable {
    /// Number of the last stream opened; numbers are never reused, so a late frame cannot reach
    /// another stream.
    last_id: u64,
    open: HashMap<u64, StreamEntry>,
    /// Whether the connection has closed.
    closed: bool,
}

#[derive(Debug)]
struct StreamEntry {
    /// Queue for the parts of the response.
    parts: mpsc::UnboundedSender<ResponsePart>,
    /// Flow-control window of the request body.
    upload_window: Arc<FlowWindow>,
}

/// Handle to one outbound stream.
#[derive(Debug)]
pub struct OutboundStream {
    conn: Arc<Connection>,
    streams: Arc<OutboundStreams>,
    stream: u64,
    /// Bytes of the response body read for which no credit has been granted yet.
    uncredited: AtomicUsize,
}

impl OutboundStreams {
    /// Creates the handler of a new connection and counts the connection as open.
    pub fn new(metrics: Arc<Metrics>) -> Self {
        metrics.links.inc();
        Self { table: Mutex::default(), metrics }
    }

    pub fn len(&self) -> usize {
        self.table.lock().open.len()
    }

    /// Opens a stream with a request.
    ///
    /// # Errors
    ///
    /// Fails if the connection has closed; nothing was sent in that case.
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

    /// Queues a part of a response for its stream, and removes the stream after the last part.
    ///
    /// A frame for a stream that is no longer open is counted and dropped.
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

    fn link_counters(&self) -> LinkCounters {
        self.metrics.link_counters("data")
    }
}

impl OutboundStream {
    /// Sends bytes of the request body.
    ///
    /// # Errors
    ///
    /// Fails if the connection has closed.
    pub fn send(&self, bytes: Bytes, last: bool) -> Result<(), StreamClosed> {
        if self.conn.is_closed() {
            return Err(StreamClosed);
        }
        self.conn.send(Frame::Data { stream: self.stream, bytes, last });
        Ok(())
    }

    /// Grants the holder credit for bytes read, in batches of `CREDIT_BATCH_BYTES`.
    pub fn return_credit(&self, bytes: usize) {
        let uncredited = self.uncredited.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if uncredited < CREDIT_BATCH_BYTES {
            return;
        }
        self.uncredited.fetch_sub(uncredited, Ordering::Relaxed);
        self.conn.send(Frame::Window { stream: self.stream, bytes: uncredited as u32 });
    }

    /// Cancels the stream and reports [`ResponsePart::Broken`] to its reader.
    pub fn abort(&self) {
        let entry = self.streams.table.lock().open.remove(&self.stream);
        if let Some(entry) = entry {
            self.conn.send(Frame::Cancel(self.stream));
            let _ = entry.parts.send(ResponsePart::Broken);
        }
    }

    /// Cancels the stream.
    pub fn cancel(&self) {
        let entry = self.streams.table.lock().open.remove(&self.stream);
        if entry.is_some() {
            self.conn.send(Frame::Cancel(self.stream));
        }
    }
}
