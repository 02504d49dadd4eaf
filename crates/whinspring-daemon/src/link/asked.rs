//! Streams that this node opened on a data connection.

use {
    super::line::{Line, Receive},
    crate::{
        exchange::{Answer, Flow, Gone, Part, WINDOW_BYTES},
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
const REFUND_BYTES: usize = WINDOW_BYTES / 4;

/// The streams of one connection.
#[derive(Debug)]
pub struct Asking {
    /// Open streams by number.
    table: Mutex<Table>,
    /// Counters.
    metrics: Arc<Metrics>,
}

/// Open streams.
#[derive(Debug, Default)]
struct Table {
    /// Number of the last stream; numbers are never used twice.
    last: u64,
    /// Open streams by number.
    open: HashMap<u64, Entry>,
    /// Whether the connection has ended.
    ended: bool,
}

/// An open stream.
#[derive(Debug)]
struct Entry {
    /// Takes the answer.
    parts: mpsc::UnboundedSender<Part>,
    /// Credit for the request's body.
    up: Arc<Flow>,
}

/// The asking end of one stream.
#[derive(Debug)]
pub struct Asked {
    /// Connection of the stream.
    line: Arc<Line>,
    /// Streams of the connection.
    streams: Arc<Asking>,
    /// Number of the stream.
    stream: u64,
    /// Bytes read for which no credit has been granted yet.
    owed: AtomicUsize,
}

impl Asking {
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
    pub fn open(self: &Arc<Self>, line: &Arc<Line>, mut open: Box<Open>) -> Result<Answer, Gone> {
        let (parts, reader) = mpsc::unbounded_channel();
        let up = Arc::new(Flow::new(0));
        let mut table = self.table.lock();
        if table.ended {
            return Err(Gone);
        }
        table.last += 1;
        let stream = table.last;
        table.open.insert(stream, Entry { parts, up: up.clone() });
        open.stream = stream;
        line.send(Frame::Open(open));
        let first = table.open.len() == 1;
        drop(table);
        if first {
            line.wake();
        }
        let (line, streams) = (line.clone(), self.clone());
        let asked = Asked { line, streams, stream, owed: AtomicUsize::new(0) };
        Ok(Answer::remote(reader, asked, up))
    }

    /// Hands a part to its stream, and closes the stream if it is the last one.
    fn hand(&self, stream: u64, part: Part, last: bool) {
        let mut table = self.table.lock();
        let known = if last {
            let entry = table.open.remove(&stream);
            entry.map(|entry| entry.parts.send(part))
        } else {
            let entry = table.open.get(&stream);
            entry.map(|entry| entry.parts.send(part))
        };
        drop(table);
        if known.is_none() {
            self.metrics.count("link_late_frame");
        }
    }
}

impl Receive for Asking {
    fn receive(&self, _: &Arc<Line>, frame: Frame) -> bool {
        match frame {
            Frame::Head(head) => {
                let (stream, last) = (head.stream, head.whole);
                self.hand(stream, Part::Head(head), last);
            }
            Frame::Data { stream, bytes, last } => {
                self.hand(stream, Part::Data { bytes, last }, last);
            }
            Frame::Refuse { stream, reason } => self.hand(stream, Part::Refuse(reason), true),
            Frame::Window { stream, bytes } => {
                if let Some(entry) = self.table.lock().open.get(&stream) {
                    entry.up.give(bytes as usize);
                }
            }
            _ => return false,
        }
        true
    }

    fn is_busy(&self, _: &Line) -> bool {
        !self.table.lock().open.is_empty()
    }

    fn closed(&self) {
        let mut table = self.table.lock();
        table.ended = true;
        for (_, entry) in table.open.drain() {
            let _ = entry.parts.send(Part::Broken);
            entry.up.shut();
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

impl Asked {
    /// Sends bytes of the request's body.
    ///
    /// # Errors
    ///
    /// Fails if the connection has ended.
    pub fn send(&self, bytes: Bytes, last: bool) -> Result<(), Gone> {
        if self.line.is_ended() {
            return Err(Gone);
        }
        self.line.send(Frame::Data { stream: self.stream, bytes, last });
        Ok(())
    }

    /// Grants the holder a credit for bytes read.
    pub fn refund(&self, bytes: usize) {
        let owed = self.owed.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if owed < REFUND_BYTES {
            return;
        }
        self.owed.fetch_sub(owed, Ordering::Relaxed);
        self.line.send(Frame::Window { stream: self.stream, bytes: owed as u32 });
    }

    /// Gives the stream up, and tells its reader that it broke off.
    pub fn abandon(&self) {
        let entry = self.streams.table.lock().open.remove(&self.stream);
        if let Some(entry) = entry {
            self.line.send(Frame::Cancel(self.stream));
            let _ = entry.parts.send(Part::Broken);
        }
    }

    /// Gives the stream up.
    pub fn cancel(&self) {
        let entry = self.streams.table.lock().open.remove(&self.stream);
        if entry.is_some() {
            self.line.send(Frame::Cancel(self.stream));
        }
    }
}
