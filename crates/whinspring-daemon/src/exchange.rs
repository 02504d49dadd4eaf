//! One request and its answer between an entry and a holder.
//!
//! The two ends are the same whether the holder is another node or this one: the entry has an
//! [`Answer`], the holder a [`Call`]. Bodies flow in both directions under a credit that the
//! reading end grants, so that a slow reader holds up its own stream only.

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
    whinspring_wire::link::{HandOver, Head, Open, Reason},
};

mod call;
mod response;
mod response_sender;
mod upload;
mod window;

/// Largest piece of a body sent at once, in bytes.
pub const CHUNK_BYTES: usize = 64 << 10;

/// Bytes of a body that may be on their way in one direction of a stream.
pub const WINDOW_BYTES: usize = 256 << 10;

/// What arrives at the entry.
#[derive(Debug)]
pub enum ResponsePart {
    /// The start of the answer.
    Head(Box<Head>),
    /// Bytes of the body.
    Data {
        /// The bytes.
        bytes: Bytes,
        /// Whether the body is complete.
        last: bool,
    },
    /// No whole answer comes.
    Refuse(Reason),
    /// The connection to the holder was lost, or the holder broke off.
    Broken,
}

/// Bytes of a request's body that arrive at the holder.
#[derive(Debug)]
pub struct Chunk {
    /// The bytes.
    pub bytes: Bytes,
    /// Whether the body is complete.
    pub last: bool,
}

/// The other end of a stream has gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamClosed;

/// Takes what other nodes send to the servers that this node holds.
pub trait Serve: Send + Sync + 'static {
    /// Takes a request; its reply comes later.
    fn serve(&self, call: Call);

    /// Takes what a former holder remembers.
    fn accept_handover(&self, handover: HandOver);
}

/// Opens a stream within the process.
pub fn open_local(open: Box<Open>, deadline: Tick) -> (ResponseStream, Call) {
    let (parts, part_reader) = mpsc::unbounded_channel();
    let (chunks, chunk_reader) = mpsc::unbounded_channel();
    let upload_window = Arc::new(FlowWindow::new(0));
    let response_window = Arc::new(FlowWindow::new(WINDOW_BYTES));
    let answer =
        ResponseStream::local(part_reader, chunks, upload_window.clone(), response_window.clone());
    let upload = Upload::local(chunk_reader, upload_window, open.whole);
    let reply = ResponseSender::local(parts, response_window);
    (answer, Call { open, deadline, upload, reply })
}
