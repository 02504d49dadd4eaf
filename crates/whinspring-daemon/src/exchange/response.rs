//! The entry's end of a stream.

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

/// The answer to a forwarded request, as it arrives.
///
/// Dropping it before its end cancels the request.
#[derive(Debug)]
pub struct ResponseStream {
    /// What arrived.
    parts: mpsc::UnboundedReceiver<ResponsePart>,
    /// The other end.
    transport: Transport,
    /// Credit for the request's body.
    upload_window: Arc<FlowWindow>,
    /// Whether the last part was handed out.
    done: bool,
}

/// Where the holder is.
#[derive(Debug)]
enum Transport {
    /// In this process.
    Local {
        /// Takes the request's body.
        chunks: mpsc::UnboundedSender<Chunk>,
        /// Credit for the answer's body.
        response_window: Arc<FlowWindow>,
    },
    /// Behind a link.
    Remote(Arc<OutboundStream>),
}

/// Sends a request's body to the holder.
#[derive(Debug)]
pub struct UploadSender {
    /// Credit of the holder.
    upload_window: Arc<FlowWindow>,
    /// Where the bytes go.
    transport: UploadTransport,
}

/// Where the bytes of an upload go.
#[derive(Debug)]
enum UploadTransport {
    /// To this process.
    Local {
        /// Takes the request's body.
        chunks: mpsc::UnboundedSender<Chunk>,
        /// Credit for the answer's body.
        response_window: Arc<FlowWindow>,
    },
    /// To a link.
    Remote(Arc<OutboundStream>),
}

impl ResponseStream {
    /// Creates the entry's end of a stream within the process.
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

    /// Creates the entry's end of a stream over a link.
    pub fn remote(
        parts: mpsc::UnboundedReceiver<ResponsePart>,
        stream: OutboundStream,
        upload_window: Arc<FlowWindow>,
    ) -> Self {
        Self { parts, transport: Transport::Remote(Arc::new(stream)), upload_window, done: false }
    }

    /// Returns the sender of the request's body.
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

    /// Waits for the next part; [`Part::Broken`] once no more comes.
    pub async fn next(&mut self) -> ResponsePart {
        std::future::poll_fn(|cx| self.poll_next(cx)).await
    }

    /// Polls for the next part.
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

    /// Grants the holder a credit for bytes handed out.
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
    /// Waits until the holder asks for the body.
    ///
    /// # Errors
    ///
    /// Fails once the stream has ended.
    pub async fn wait_for_credit(&self) -> Result<(), StreamClosed> {
        self.upload_window.acquire(1).await?;
        self.upload_window.grant(1);
        Ok(())
    }

    /// Waits until the stream has ended.
    pub async fn wait_closed(&self) {
        self.upload_window.wait_closed().await;
    }

    /// Gives the stream up: the body broke off.
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
    /// Fails once the stream has ended.
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
