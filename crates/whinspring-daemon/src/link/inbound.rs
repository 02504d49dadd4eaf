//! Streams that a peer opened on a data connection (the holder's side).

use {
    super::{
        LocalNode,
        connection::{Connection, FrameHandler},
        parts::{Reassembled, Reassembler},
    },
    crate::{
        exchange::{
            Call, Chunk, FlowWindow, ResponsePart, ResponseSender, Serve, Upload, WINDOW_BYTES,
        },
        metrics::LinkCounters,
    },
    bytes::Bytes,
    parking_lot::Mutex,
    std::{collections::HashMap, sync::Arc},
    tokio::sync::mpsc,
    whinspring::{code::Code, request::Refusal},
    whinspring_wire::link::{Frame, Handover, Open, Reason},
};

const MAX_HANDOVER_BYTES: usize = 32 << 20;

/// Inbound streams of one connection; handles the frames that arrive for them.
pub struct InboundStreams<S> {
    local: Arc<LocalNode>,
    /// Handles requests and handovers.
    handler: Arc<S>,
    /// State of the streams.
    streams: Arc<Mutex<StreamTable>>,
    /// Parts of an incomplete handover.
    reassembler: Mutex<Reassembler>,
}

/// State of the streams of one connection.
#[derive(Debug, Default)]
struct StreamTable {
    /// Number of the last stream that the peer opened; numbers only increase.
    last_id: u64,
    open: HashMap<u64, StreamEntry>,
    /// Whether the connection has closed.
    closed: bool,
}

#[derive(Debug)]
struct StreamEntry {
    /// Queue for the request body.
    chunks: mpsc::UnboundedSender<Chunk>,
    /// Flow-control window of the response body.
    response_window: Arc<FlowWindow>,
}

/// Handle to one inbound stream.
#[derive(Debug)]
pub struct InboundStream {
    conn: Arc<Connection>,
    streams: Arc<Mutex<StreamTable>>,
    stream: u64,
}

impl<S: Serve> InboundStreams<S> {
    /// Creates the handler of a new connection and counts the connection as open.
    pub fn new(local: Arc<LocalNode>, handler: Arc<S>) -> Self {
        local.metrics.links.inc();
        Self { local, handler, streams: Arc::default(), reassembler: Mutex::default() }
    }

    /// Opens a stream for a request and passes the request to the handler.
    fn open(&self, conn: &Arc<Connection>, open: Box<Open>) {
        let (chunks, reader) = mpsc::unbounded_channel();
        let response_window = Arc::new(FlowWindow::new(WINDOW_BYTES));
        let stream = open.stream;
        let mut table = self.streams.lock();
        if stream <= table.last_id || table.closed {
            drop(table);
            self.count("link_duplicate_stream");
            return;
        }
        table.last_id = stream;
        table.open.insert(stream, StreamEntry { chunks, response_window: response_window.clone() });
        let first = table.open.len() == 1;
        drop(table);
        if first {
            conn.wake_watchdog();
        }
        let inbound = InboundStream { conn: conn.clone(), streams: self.streams.clone(), stream };
        let inbound = Arc::new(inbound);
        let deadline = self.local.clock.now() + open.left;
        let upload = Upload::remote(reader, inbound.clone(), open.whole);
        let responder = ResponseSender::remote(inbound, response_window);
        self.handler.serve(Call { open, deadline, upload, responder });
    }
}

impl<S: Serve> InboundStreams<S> {
    /// Adds a part of a handover; returns `false` if the handover is too large or malformed.
    fn receive_handover_part(&self, part: Bytes, more: bool) -> bool {
        let joined = self.reassembler.lock().join(part, more, MAX_HANDOVER_BYTES);
        match joined {
            Reassembled::Partial => true,
            Reassembled::TooLarge => false,
            Reassembled::Complete(message) => match Handover::decode(message) {
                Ok(handover) => {
                    self.handler.accept_handover(handover);
                    true
                }
                Err(_) => false,
            },
        }
    }
}

impl<S: Serve> FrameHandler for InboundStreams<S> {
    fn handle_frame(&self, conn: &Arc<Connection>, frame: Frame) -> bool {
        match frame {
            Frame::Open(open) => self.open(conn, open),
            Frame::Data { stream, bytes, last } => {
                if let Some(entry) = self.streams.lock().open.get(&stream) {
                    let _ = entry.chunks.send(Chunk { bytes, last });
                }
            }
            Frame::Window { stream, bytes } => {
                if let Some(entry) = self.streams.lock().open.get(&stream) {
                    entry.response_window.grant(bytes as usize);
                }
            }
            Frame::Cancel(stream) => {
                if let Some(entry) = self.streams.lock().open.remove(&stream) {
                    entry.response_window.close();
                }
            }
            Frame::Memory { part, more } => return self.receive_handover_part(part, more),
            _ => return false,
        }
        true
    }

    fn is_busy(&self, _: &Connection) -> bool {
        !self.streams.lock().open.is_empty()
    }

    fn on_close(&self) {
        let mut table = self.streams.lock();
        table.closed = true;
        for (_, entry) in table.open.drain() {
            entry.response_window.close();
        }
        drop(table);
        self.local.metrics.links.dec();
    }

    fn count(&self, event: &'static str) {
        self.local.metrics.count(event);
    }

    fn link_counters(&self) -> LinkCounters {
        self.local.metrics.link_counters("data")
    }
}

impl InboundStream {
    /// Sends a part of the response, unless the stream has been cancelled.
    pub fn send(&self, part: ResponsePart) {
        let stream = self.stream;
        let (frame, last) = match part {
            ResponsePart::Head(mut head) => {
                head.stream = stream;
                let last = head.whole;
                (Frame::Head(head), last)
            }
            ResponsePart::Data { bytes, last } => (Frame::Data { stream, bytes, last }, last),
            ResponsePart::Refuse(reason) => (Frame::Refuse { stream, reason }, true),
            ResponsePart::Broken => {
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
            self.conn.send(frame);
        }
    }

    /// Grants the entry credit for the request body.
    pub fn grant_credit(&self, bytes: usize) {
        self.conn.send(Frame::Window { stream: self.stream, bytes: bytes as u32 });
    }
}
