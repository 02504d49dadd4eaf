//! Request body after its first bytes, as the holder reads it.

use {
    super::{Chunk, FlowWindow, StreamClosed, WINDOW_BYTES},
    crate::link::InboundStream,
    bytes::Bytes,
    std::{
        sync::Arc,
        task::{Context, Poll, ready},
    },
    tokio::sync::mpsc,
};

/// Request body after its first bytes.
///
/// No credit is granted before [`Upload::start`]. A request that is refused while it is queued
/// has therefore not consumed its body, which cannot be read twice, and can be retried.
#[derive(Debug)]
pub struct Upload {
    /// Chunks that have arrived.
    chunks: mpsc::UnboundedReceiver<Chunk>,
    /// Path to the entry, for granting credit.
    transport: Transport,
    /// Whether the body is complete.
    done: bool,
}

/// Path to the entry.
#[derive(Debug)]
enum Transport {
    /// The entry is in this process.
    Local(Arc<FlowWindow>),
    /// The entry is another node.
    Remote(Arc<InboundStream>),
}

impl Upload {
    /// Creates the reader of a body from this process.
    pub(super) fn local(
        chunks: mpsc::UnboundedReceiver<Chunk>,
        upload_window: Arc<FlowWindow>,
        whole: bool,
    ) -> Self {
        Self { chunks, transport: Transport::Local(upload_window), done: whole }
    }

    /// Creates the reader of a body from another node.
    pub fn remote(
        chunks: mpsc::UnboundedReceiver<Chunk>,
        stream: Arc<InboundStream>,
        whole: bool,
    ) -> Self {
        Self { chunks, transport: Transport::Remote(stream), done: whole }
    }

    /// Returns whether the body is complete.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Grants the initial credit, on which the entry starts to send.
    pub fn start(&self) {
        if !self.done {
            self.grant_credit(WINDOW_BYTES);
        }
    }

    /// Polls for the next bytes; `None` after the last.
    ///
    /// # Errors
    ///
    /// Fails if the stream closes before the last byte.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, StreamClosed>> {
        if self.done {
            return Poll::Ready(Ok(None));
        }
        let Some(chunk) = ready!(self.chunks.poll_recv(cx)) else {
            return Poll::Ready(Err(StreamClosed));
        };
        self.done = chunk.last;
        self.grant_credit(chunk.bytes.len());
        Poll::Ready(Ok(Some(chunk.bytes)))
    }

    /// Grants the entry credit in bytes.
    fn grant_credit(&self, bytes: usize) {
        match &self.transport {
            Transport::Local(upload_window) => upload_window.grant(bytes),
            Transport::Remote(stream) => stream.grant_credit(bytes),
        }
    }
}
