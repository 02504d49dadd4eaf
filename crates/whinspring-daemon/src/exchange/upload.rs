//! The rest of a request's body, as the holder reads it.

use {
    super::{Chunk, Flow, Gone, WINDOW_BYTES},
    crate::link::Served,
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
    peer: Peer,
    /// Whether the body is complete.
    done: bool,
}

/// Where the entry is.
#[derive(Debug)]
enum Peer {
    /// In this process.
    Local(Arc<Flow>),
    /// Behind a link.
    Remote(Arc<Served>),
}

impl Upload {
    /// Creates the reading end within the process.
    pub(super) fn local(
        chunks: mpsc::UnboundedReceiver<Chunk>,
        up: Arc<Flow>,
        whole: bool,
    ) -> Self {
        Self { chunks, peer: Peer::Local(up), done: whole }
    }

    /// Creates the reading end over a link.
    pub fn remote(
        chunks: mpsc::UnboundedReceiver<Chunk>,
        served: Arc<Served>,
        whole: bool,
    ) -> Self {
        Self { chunks, peer: Peer::Remote(served), done: whole }
    }

    /// Returns whether no more bytes come.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Asks the entry for the first bytes.
    pub fn open(&self) {
        if !self.done {
            self.grant(WINDOW_BYTES);
        }
    }

    /// Polls for the next bytes; `None` after the last.
    ///
    /// # Errors
    ///
    /// Fails if the entry went away before the last byte.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, Gone>> {
        if self.done {
            return Poll::Ready(Ok(None));
        }
        let Some(chunk) = ready!(self.chunks.poll_recv(cx)) else {
            return Poll::Ready(Err(Gone));
        };
        self.done = chunk.last;
        self.grant(chunk.bytes.len());
        Poll::Ready(Ok(Some(chunk.bytes)))
    }

    /// Grants the entry a credit.
    fn grant(&self, bytes: usize) {
        match &self.peer {
            Peer::Local(up) => up.give(bytes),
            Peer::Remote(served) => served.grant(bytes),
        }
    }
}
