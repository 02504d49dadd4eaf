//! Streams that a peer opened on a data connection.

use {
    super::{
        Local,
        line::{Line, Receive},
        parts::{Joined, Joiner},
    },
    crate::{
        exchange::{Call, Chunk, Flow, Part, Reply, Serve, Upload, WINDOW_BYTES},
        metrics::Traffic,
    },
    bytes::Bytes,
    parking_lot::Mutex,
    std::{collections::HashMap, sync::Arc},
    tokio::sync::mpsc,
    whinspring::{code::Code, request::Refusal},
    whinspring_wire::link::{Frame, HandOver, Open, Reason},
};

/// Largest hand-over accepted, in bytes.
const MAX_MEMORY_BYTES: usize = 32 << 20;

/// The serving end of one connection.
pub struct Serving<S> {
    /// What the node's links share.
    local: Arc<Local>,
    /// Takes the requests.
    server: Arc<S>,
    /// Open streams.
    streams: Arc<Mutex<Table>>,
    /// Parts of a hand-over whose end has not arrived.
    parts: Mutex<Joiner>,
}

/// Open streams.
#[derive(Debug, Default)]
struct Table {
    /// Number of the last stream that the peer opened.
    last: u64,
    /// Open streams by number.
    open: HashMap<u64, Entry>,
    /// Whether the connection has ended.
    ended: bool,
}

/// An open stream.
#[derive(Debug)]
struct Entry {
    /// Takes the request's body.
    chunks: mpsc::UnboundedSender<Chunk>,
    /// Credit for the answer's body.
    down: Arc<Flow>,
}

/// The serving end of one stream.
#[derive(Debug)]
pub struct Served {
    /// Connection of the stream.
    line: Arc<Line>,
    /// Streams of the connection.
    streams: Arc<Mutex<Table>>,
    /// Number of the stream.
    stream: u64,
}

impl<S: Serve> Serving<S> {
    /// Creates the serving end of a new connection.
    pub fn new(local: Arc<Local>, server: Arc<S>) -> Self {
        local.metrics.links.inc();
        Self { local, server, streams: Arc::default(), parts: Mutex::default() }
    }

    /// Takes a request.
    fn open(&self, line: &Arc<Line>, open: Box<Open>) {
        let (chunks, reader) = mpsc::unbounded_channel();
        let down = Arc::new(Flow::new(WINDOW_BYTES));
        let stream = open.stream;
        let mut table = self.streams.lock();
        if stream <= table.last || table.ended {
            drop(table);
            self.count("link_duplicate_stream");
            return;
        }
        table.last = stream;
        table.open.insert(stream, Entry { chunks, down: down.clone() });
        let first = table.open.len() == 1;
        drop(table);
        if first {
            line.wake();
        }
        let served = Served { line: line.clone(), streams: self.streams.clone(), stream };
        let served = Arc::new(served);
        let deadline = self.local.clock.now() + open.left;
        let upload = Upload::remote(reader, served.clone(), open.whole);
        let reply = Reply::remote(served, down);
        self.server.serve(Call { open, deadline, upload, reply });
    }
}

impl<S: Serve> Serving<S> {
    /// Takes a part of a hand-over; `false` if it is none.
    fn remember(&self, part: Bytes, more: bool) -> bool {
        let joined = self.parts.lock().join(part, more, MAX_MEMORY_BYTES);
        match joined {
            Joined::Partial => true,
            Joined::TooLong => false,
            Joined::Whole(message) => match HandOver::decode(message) {
                Ok(hand) => {
                    self.server.remember(hand);
                    true
                }
                Err(_) => false,
            },
        }
    }
}

impl<S: Serve> Receive for Serving<S> {
    fn receive(&self, line: &Arc<Line>, frame: Frame) -> bool {
        match frame {
            Frame::Open(open) => self.open(line, open),
            Frame::Data { stream, bytes, last } => {
                if let Some(entry) = self.streams.lock().open.get(&stream) {
                    let _ = entry.chunks.send(Chunk { bytes, last });
                }
            }
            Frame::Window { stream, bytes } => {
                if let Some(entry) = self.streams.lock().open.get(&stream) {
                    entry.down.give(bytes as usize);
                }
            }
            Frame::Cancel(stream) => {
                if let Some(entry) = self.streams.lock().open.remove(&stream) {
                    entry.down.shut();
                }
            }
            Frame::Memory { part, more } => return self.remember(part, more),
            _ => return false,
        }
        true
    }

    fn is_busy(&self, _: &Line) -> bool {
        !self.streams.lock().open.is_empty()
    }

    fn closed(&self) {
        let mut table = self.streams.lock();
        table.ended = true;
        for (_, entry) in table.open.drain() {
            entry.down.shut();
        }
        drop(table);
        self.local.metrics.links.dec();
    }

    fn count(&self, event: &'static str) {
        self.local.metrics.count(event);
    }

    fn traffic(&self) -> Traffic {
        self.local.metrics.traffic("data")
    }
}

impl Served {
    /// Sends a part of the answer, unless the stream has been given up.
    pub fn send(&self, part: Part) {
        let stream = self.stream;
        let (frame, last) = match part {
            Part::Head(mut head) => {
                head.stream = stream;
                let last = head.whole;
                (Frame::Head(head), last)
            }
            Part::Data { bytes, last } => (Frame::Data { stream, bytes, last }, last),
            Part::Refuse(reason) => (Frame::Refuse { stream, reason }, true),
            Part::Broken => {
                let refusal = Refusal { code: Code::HolderLost, retry_ms: 0 };
                (Frame::Refuse { stream, reason: Reason::Refused(refusal) }, true)
            }
        };
        let mut table = self.streams.lock();
        let open = match last {
            true => table.open.remove(&stream).is_some(),
            false => table.open.contains_key(&stream),
        };
        if open {
            self.line.send(frame);
        }
    }

    /// Grants the entry a credit for the request's body.
    pub fn grant(&self, bytes: usize) {
        self.line.send(Frame::Window { stream: self.stream, bytes: bytes as u32 });
    }
}
