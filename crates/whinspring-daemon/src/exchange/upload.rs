//! The rest of a request's body, as the holder reads it.

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

/// Bytes of a request's body after the first ones.
///
/// Nothing arrives before [`Upload::open`], so that a request refused while it was queued has
/// not used up a body that cannot be read twice.
#[derive(Debug)]
pub struct Upload {
    /// What arrived.
    chunks: mpsc::UnboundedReceiver<Chunk>,
    /// Where credit is granted.
    transport: Transport,
    /// Whether the body is complete.
    done: bool,
}

/// Where the entry is.
#[derive(Debug)]
enum Transport {
    /// In this process.
    Local(Arc<FlowWindow>),
    /// Behind a link.
    Remote(Arc<InboundStream>),
}

impl Upload {
    /// Creates the reading end within the process.
    pub(super) fn local(
        chunks: mpsc::UnboundedReceiver<Chunk>,
        upload_window: Arc<FlowWindow>,
        whole: bool,
    ) -> Self {
        Self { chunks, transport: Transport::Local(upload_window), done: whole }
    }

    /// Creates the reading end over a link.
    pub fn remote(
        chunks: mpsc::UnboundedReceiver<Chunk>,
        stream: Arc<InboundStream>,
        whole: bool,
    ) -> Self {
        Self { chunks, transport: Transport::Remote(stream), done: whole }
    }

    /// Returns whether no more bytes come.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Asks the entry for the first bytes.
    pub fn start(&self) {
        if !self.done {
            self.grant_credit(WINDOW_BYTES);
        }
    }

    /// Polls for the next bytes; `None` after the last.
    ///
    /// # Errors
    ///
    /// Fails if the entry went away before the last byte.
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

    /// Grants the entry a credit.
    fn grant_credit(&self, bytes: usize) {
        match &self.transport {
            Transport::Local(upload_window) => upload_window.grant(bytes),
            Transport::Remote(stream) => stream.grant_credit(bytes),
        }
    }
}
