//! The entry's side of a stream.

use {
    super::{CHUNK_BYTES, Chunk, FlowWindow, ResponsePart, StreamClosed},
    crate::link::OutboundStream,
    bytes::Bytes,
    std::{
        sync::Arc,
        task::{Context, Poll, ready},
    },
    tokio::sync::mpsc,
};

/// Response to a forwarded request, as it arrives.
///
/// Dropping it before the last part cancels the request at the holder.
#[derive(Debug)]
pub struct ResponseStream {
    /// Parts that have arrived.
    parts: mpsc::UnboundedReceiver<ResponsePart>,
    /// Path to the holder.
    transport: Transport,
    /// Flow-control window of the request body.
    upload_window: Arc<FlowWindow>,
    /// Whether the last part has been returned.
    done: bool,
}

/// Path to the holder.
#[derive(Debug)]
enum Transport {
    /// The holder is in this process.
    Local {
        /// Queue for the request body.
        chunks: mpsc::UnboundedSender<Chunk>,
        /// Flow-control window of the response body.
        response_window: Arc<FlowWindow>,
    },
    /// The holder is another node.
    Remote(Arc<OutboundStream>),
}

/// Sends the request body to the holder.
#[derive(Debug)]
pub struct UploadSender {
    /// Flow-control window that the holder grants.
    upload_window: Arc<FlowWindow>,
    /// Path to the holder.
    transport: UploadTransport,
}

/// Path of the request body to the holder.
#[derive(Debug)]
enum UploadTransport {
    /// The holder is in this process.
    Local {
        /// Queue for the request body.
        chunks: mpsc::UnboundedSender<Chunk>,
        /// Flow-control window of the response body.
        response_window: Arc<FlowWindow>,
    },
    /// The holder is another node.
    Remote(Arc<OutboundStream>),
}

impl ResponseStream {
    /// Creates the entry's side of a stream within the process.
    pub(super) fn local(
        parts: mpsc::UnboundedReceiver<ResponsePart>,
        chunks: mpsc::UnboundedSender<Chunk>,
        upload_window: Arc<FlowWindow>,
        response_window: Arc<FlowWindow>,
    ) -> Self {
        Self {
            parts,
            transport: Transport::Local { chunks, response_window },
            upload_window,
            done: false,
        }
    }

    /// Creates the entry's side of a stream over a link.
    pub fn remote(
        parts: mpsc::UnboundedReceiver<ResponsePart>,
        stream: OutboundStream,
        upload_window: Arc<FlowWindow>,
    ) -> Self {
        Self { parts, transport: Transport::Remote(Arc::new(stream)), upload_window, done: false }
    }

    /// Returns a sender for the request body.
    pub fn upload_sender(&self) -> UploadSender {
        let transport = match &self.transport {
            Transport::Local { chunks, response_window } => UploadTransport::Local {
                chunks: chunks.clone(),
                response_window: response_window.clone(),
            },
            Transport::Remote(stream) => UploadTransport::Remote(stream.clone()),
        };
        UploadSender { upload_window: self.upload_window.clone(), transport }
    }

    /// Waits for the next part; [`ResponsePart::Broken`] if the stream has ended.
    pub async fn next(&mut self) -> ResponsePart {
        std::future::poll_fn(|cx| self.poll_next(cx)).await
    }

    /// Polls for the next part; see [`ResponseStream::next`].
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<ResponsePart> {
        let part = ready!(self.parts.poll_recv(cx)).unwrap_or(ResponsePart::Broken);
        match &part {
            ResponsePart::Head(head) => self.done = head.whole,
            ResponsePart::Data { bytes, last } => {
                self.done = *last;
                self.return_credit(bytes.len());
            }
            ResponsePart::Refuse(_) | ResponsePart::Broken => self.done = true,
        }
        Poll::Ready(part)
    }

    /// Grants the holder credit for bytes that have been read.
    fn return_credit(&self, bytes: usize) {
        match &self.transport {
            Transport::Local { response_window, .. } => response_window.grant(bytes),
            Transport::Remote(stream) => stream.return_credit(bytes),
        }
    }
}

impl Drop for ResponseStream {
    fn drop(&mut self) {
        self.upload_window.close();
        if self.done {
            return;
        }
        match &self.transport {
            Transport::Local { response_window, .. } => response_window.close(),
            Transport::Remote(stream) => stream.cancel(),
        }
    }
}

impl UploadSender {
    /// Waits until the holder grants credit, which means that it wants the body.
    ///
    /// # Errors
    ///
    /// Fails once the stream is closed.
    pub async fn wait_for_credit(&self) -> Result<(), StreamClosed> {
        self.upload_window.acquire(1).await?;
        self.upload_window.grant(1);
        Ok(())
    }

    /// Waits until the stream is closed.
    pub async fn wait_closed(&self) {
        self.upload_window.wait_closed().await;
    }

    /// Cancels the request, as its body is incomplete.
    pub fn abort(&self) {
        match &self.transport {
            UploadTransport::Local { response_window, .. } => response_window.close(),
            UploadTransport::Remote(stream) => stream.abort(),
        }
    }

    /// Waits for credit and sends bytes of the body.
    ///
    /// # Errors
    ///
    /// Fails once the stream is closed.
    pub async fn send(&self, mut bytes: Bytes, last: bool) -> Result<(), StreamClosed> {
        loop {
            let piece = bytes.split_to(bytes.len().min(CHUNK_BYTES));
            self.upload_window.acquire(piece.len()).await?;
            let last = last && bytes.is_empty();
            match &self.transport {
                UploadTransport::Local { chunks, .. } => {
                    chunks.send(Chunk { bytes: piece, last }).map_err(|_| StreamClosed)?;
                }
                UploadTransport::Remote(stream) => stream.send(piece, last)?,
            }
            if bytes.is_empty() {
                return Ok(());
            }
        }
    }
}
