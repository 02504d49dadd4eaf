//! Streams that carry one request and its response between an entry and a holder.
//!
//! Both sides work alike whether the holder is another node or this one: the entry has a
//! [`ResponseStream`], the holder a [`Call`]. Bodies are subject to credit-based flow control in
//! both directions, so that a slow reader blocks only its own stream.

pub use self::{
    call::Call,
    response::{ResponseStream, UploadSender},
    response_sender::ResponseSender,
    upload::Upload,
    window::FlowWindow,
};

use {
    bytes::Bytes,
    std::sync::Arc,
    tokio::sync::mpsc,
    whinspring::time::Tick,
    whinspring_wire::link::{Handover, Head, Open, Reason},
};

mod call;
mod response;
mod response_sender;
mod upload;
mod window;

/// Largest piece of a body in one message, in bytes.
pub const CHUNK_BYTES: usize = 64 << 10;

/// Flow-control window of each direction of a stream: bytes that may be sent and not yet read.
pub const WINDOW_BYTES: usize = 256 << 10;

/// Part of a response, as it arrives at the entry.
#[derive(Debug)]
pub enum ResponsePart {
    /// Status, headers and first bytes of the body.
    Head(Box<Head>),
    /// Further bytes of the body.
    Data {
        bytes: Bytes,
        /// Whether the body is complete.
        last: bool,
    },
    /// The stream ended without a complete response, for this reason.
    Refuse(Reason),
    /// The connection to the holder was lost, or the holder dropped the response.
    Broken,
}

/// Bytes of a request body, as they arrive at the holder.
#[derive(Debug)]
pub struct Chunk {
    pub bytes: Bytes,
    /// Whether the body is complete.
    pub last: bool,
}

/// The other end has closed the stream, or its connection was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamClosed;

/// Handles requests and handovers for the servers that this node holds.
pub trait Serve: Send + Sync + 'static {
    /// Starts handling a request; the response is sent through [`Call::responder`].
    fn serve(&self, call: Call);

    /// Stores the request records of a former holder.
    fn accept_handover(&self, handover: Handover);
}

/// Opens a stream to a holder in the same process.
pub fn open_local(open: Box<Open>, deadline: Tick) -> (ResponseStream, Call) {
    let (parts, part_reader) = mpsc::unbounded_channel();
    let (chunks, chunk_reader) = mpsc::unbounded_channel();
    let upload_window = Arc::new(FlowWindow::new(0));
    let response_window = Arc::new(FlowWindow::new(WINDOW_BYTES));
    let response =
        ResponseStream::local(part_reader, chunks, upload_window.clone(), response_window.clone());
    let upload = Upload::local(chunk_reader, upload_window, open.whole);
    let responder = ResponseSender::local(parts, response_window);
    (response, Call { open, deadline, upload, responder })
}
