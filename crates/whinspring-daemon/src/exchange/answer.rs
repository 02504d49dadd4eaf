//! The entry's end of a stream.

use {
    super::{CHUNK_BYTES, Chunk, Flow, Gone, Part},
    crate::link::Asked,
    bytes::Bytes,
    std::{
        sync::Arc,
        task::{Context, Poll, ready},
    },
    tokio::sync::mpsc,
};

/// The answer to a forwarded request, as it arrives.
///
/// Dropping it before its end cancels the request.
#[derive(Debug)]
pub struct Answer {
    /// What arrived.
    parts: mpsc::UnboundedReceiver<Part>,
    /// The other end.
    peer: Peer,
    /// Credit for the request's body.
    up: Arc<Flow>,
    /// Whether the last part was handed out.
    done: bool,
}

/// Where the holder is.
#[derive(Debug)]
enum Peer {
    /// In this process.
    Local {
        /// Takes the request's body.
        chunks: mpsc::UnboundedSender<Chunk>,
        /// Credit for the answer's body.
        down: Arc<Flow>,
    },
    /// Behind a link.
    Remote(Arc<Asked>),
}

/// Sends a request's body to the holder.
#[derive(Debug)]
pub struct Uplink {
    /// Credit of the holder.
    up: Arc<Flow>,
    /// Where the bytes go.
    to: To,
}

/// Where the bytes of an upload go.
#[derive(Debug)]
enum To {
    /// To this process.
    Local {
        /// Takes the request's body.
        chunks: mpsc::UnboundedSender<Chunk>,
        /// Credit for the answer's body.
        down: Arc<Flow>,
    },
    /// To a link.
    Remote(Arc<Asked>),
}

impl Answer {
    /// Creates the entry's end of a stream within the process.
    pub(super) fn local(
        parts: mpsc::UnboundedReceiver<Part>,
        chunks: mpsc::UnboundedSender<Chunk>,
        up: Arc<Flow>,
        down: Arc<Flow>,
    ) -> Self {
        Self { parts, peer: Peer::Local { chunks, down }, up, done: false }
    }

    /// Creates the entry's end of a stream over a link.
    pub fn remote(parts: mpsc::UnboundedReceiver<Part>, asked: Asked, up: Arc<Flow>) -> Self {
        Self { parts, peer: Peer::Remote(Arc::new(asked)), up, done: false }
    }

    /// Returns the sender of the request's body.
    pub fn uplink(&self) -> Uplink {
        let to = match &self.peer {
            Peer::Local { chunks, down } => {
                To::Local { chunks: chunks.clone(), down: down.clone() }
            }
            Peer::Remote(asked) => To::Remote(asked.clone()),
        };
        Uplink { up: self.up.clone(), to }
    }

    /// Waits for the next part; [`Part::Broken`] once no more comes.
    pub async fn next(&mut self) -> Part {
        std::future::poll_fn(|cx| self.poll_next(cx)).await
    }

    /// Polls for the next part.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Part> {
        let part = ready!(self.parts.poll_recv(cx)).unwrap_or(Part::Broken);
        match &part {
            Part::Head(head) => self.done = head.whole,
            Part::Data { bytes, last } => {
                self.done = *last;
                self.refund(bytes.len());
            }
            Part::Refuse(_) | Part::Broken => self.done = true,
        }
        Poll::Ready(part)
    }

    /// Grants the holder a credit for bytes handed out.
    fn refund(&self, bytes: usize) {
        match &self.peer {
            Peer::Local { down, .. } => down.give(bytes),
            Peer::Remote(asked) => asked.refund(bytes),
        }
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        self.up.shut();
        if self.done {
            return;
        }
        match &self.peer {
            Peer::Local { down, .. } => down.shut(),
            Peer::Remote(asked) => asked.cancel(),
        }
    }
}

impl Uplink {
    /// Waits until the holder asks for the body.
    ///
    /// # Errors
    ///
    /// Fails once the stream has ended.
    pub async fn asked(&self) -> Result<(), Gone> {
        self.up.take(1).await?;
        self.up.give(1);
        Ok(())
    }

    /// Waits until the stream has ended.
    pub async fn closed(&self) {
        self.up.gone().await;
    }

    /// Gives the stream up: the body broke off.
    pub fn abandon(&self) {
        match &self.to {
            To::Local { down, .. } => down.shut(),
            To::Remote(asked) => asked.abandon(),
        }
    }

    /// Waits for credit and sends bytes of the body.
    ///
    /// # Errors
    ///
    /// Fails once the stream has ended.
    pub async fn send(&self, mut bytes: Bytes, last: bool) -> Result<(), Gone> {
        loop {
            let piece = bytes.split_to(bytes.len().min(CHUNK_BYTES));
            self.up.take(piece.len()).await?;
            let last = last && bytes.is_empty();
            match &self.to {
                To::Local { chunks, .. } => {
                    chunks.send(Chunk { bytes: piece, last }).map_err(|_| Gone)?;
                }
                To::Remote(asked) => asked.send(piece, last)?,
            }
            if bytes.is_empty() {
                return Ok(());
            }
        }
    }
}
