//! Sends a response from the holder to the entry.

use {
    super::{CHUNK_BYTES, FlowWindow, ResponsePart, StreamClosed},
    crate::link::InboundStream,
    bytes::Bytes,
    std::sync::Arc,
    tokio::sync::mpsc,
    whinspring_wire::link::{Head, Reason},
};

/// Sends the response of one request to the entry.
///
/// Dropping it before the last part reports [`ResponsePart::Broken`] to the entry.
#[derive(Debug)]
pub struct ResponseSender {
    /// Path to the entry.
    transport: Transport,
    /// Flow-control window that the entry grants.
    response_window: Arc<FlowWindow>,
    /// Whether the last part has been sent.
    done: bool,
}

/// Path to the entry.
#[derive(Debug)]
enum Transport {
    /// The entry is in this process.
    Local(mpsc::UnboundedSender<ResponsePart>),
    /// The entry is another node.
    Remote(Arc<InboundStream>),
}

impl ResponseSender {
    /// Creates the sender for an entry in this process.
    pub(super) fn local(
        parts: mpsc::UnboundedSender<ResponsePart>,
        response_window: Arc<FlowWindow>,
    ) -> Self {
        Self { transport: Transport::Local(parts), response_window, done: false }
    }

    /// Creates the sender for an entry on another node.
    pub fn remote(stream: Arc<InboundStream>, response_window: Arc<FlowWindow>) -> Self {
        Self { transport: Transport::Remote(stream), response_window, done: false }
    }

    /// Returns the window of the response body, which closes when the entry cancels the request.
    pub fn response_window(&self) -> Arc<FlowWindow> {
        self.response_window.clone()
    }

    /// Sends the status, the headers and the first bytes of the body.
    pub fn send_head(&mut self, head: Head) {
        self.done = head.whole;
        self.send(ResponsePart::Head(Box::new(head)));
    }

    /// Waits for credit and sends bytes of the body.
    ///
    /// # Errors
    ///
    /// Fails once the entry has cancelled the request.
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

    /// Ends the stream without a complete response.
    pub fn refuse(mut self, reason: Reason) {
        self.done = true;
        self.send(ResponsePart::Refuse(reason));
    }

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
