//! The way back from the holder to the entry.

use {
    super::{CHUNK_BYTES, FlowWindow, ResponsePart, StreamClosed},
    crate::link::InboundStream,
    bytes::Bytes,
    std::sync::Arc,
    tokio::sync::mpsc,
    whinspring_wire::link::{Head, Reason},
};

/// Sends the answer of a request to its entry.
///
/// Dropping it before the end tells the entry that the answer broke off.
#[derive(Debug)]
pub struct ResponseSender {
    /// Where the answer goes.
    transport: Transport,
    /// Credit of the entry.
    response_window: Arc<FlowWindow>,
    /// Whether the last part was sent.
    done: bool,
}

/// Where the entry is.
#[derive(Debug)]
enum Transport {
    /// In this process.
    Local(mpsc::UnboundedSender<ResponsePart>),
    /// Behind a link.
    Remote(Arc<InboundStream>),
}

impl ResponseSender {
    /// Creates the way back within the process.
    pub(super) fn local(
        parts: mpsc::UnboundedSender<ResponsePart>,
        response_window: Arc<FlowWindow>,
    ) -> Self {
        Self { transport: Transport::Local(parts), response_window, done: false }
    }

    /// Creates the way back over a link.
    pub fn remote(stream: Arc<InboundStream>, response_window: Arc<FlowWindow>) -> Self {
        Self { transport: Transport::Remote(stream), response_window, done: false }
    }

    /// Returns the flow whose end tells that the entry has gone.
    pub fn response_window(&self) -> Arc<FlowWindow> {
        self.response_window.clone()
    }

    /// Sends the start of the answer.
    pub fn send_head(&mut self, head: Head) {
        self.done = head.whole;
        self.send(ResponsePart::Head(Box::new(head)));
    }

    /// Waits for credit and sends bytes of the body.
    ///
    /// # Errors
    ///
    /// Fails once the entry has gone.
    pub async fn send_data(&mut self, mut bytes: Bytes, last: bool) -> Result<(), StreamClosed> {
        loop {
            let piece = bytes.split_to(bytes.len().min(CHUNK_BYTES));
            self.response_window.acquire(piece.len()).await?;
            let last = last && bytes.is_empty();
            self.done = last;
            self.send(ResponsePart::Data { bytes: piece, last });
            if bytes.is_empty() {
                return Ok(());
            }
        }
    }

    /// Ends the stream without a whole answer.
    pub fn refuse(mut self, reason: Reason) {
        self.done = true;
        self.send(ResponsePart::Refuse(reason));
    }

    /// Sends a part.
    fn send(&self, part: ResponsePart) {
        match &self.transport {
            Transport::Local(parts) => {
                let _ = parts.send(part);
            }
            Transport::Remote(stream) => stream.send(part),
        }
    }
}

impl Drop for ResponseSender {
    fn drop(&mut self) {
        if !self.done {
            self.send(ResponsePart::Broken);
        }
        self.response_window.close();
    }
}
