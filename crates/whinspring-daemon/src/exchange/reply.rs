//! The way back from the holder to the entry.

use {
    super::{CHUNK_BYTES, Flow, Gone, Part},
    crate::link::Served,
    bytes::Bytes,
    std::sync::Arc,
    tokio::sync::mpsc,
    whinspring_wire::link::{Head, Reason},
};

/// Sends the answer of a request to its entry.
///
/// Dropping it before the end tells the entry that the answer broke off.
#[derive(Debug)]
pub struct Reply {
    /// Where the answer goes.
    to: To,
    /// Credit of the entry.
    down: Arc<Flow>,
    /// Whether the last part was sent.
    done: bool,
}

/// Where the entry is.
#[derive(Debug)]
enum To {
    /// In this process.
    Local(mpsc::UnboundedSender<Part>),
    /// Behind a link.
    Remote(Arc<Served>),
}

impl Reply {
    /// Creates the way back within the process.
    pub(super) fn local(parts: mpsc::UnboundedSender<Part>, down: Arc<Flow>) -> Self {
        Self { to: To::Local(parts), down, done: false }
    }

    /// Creates the way back over a link.
    pub fn remote(served: Arc<Served>, down: Arc<Flow>) -> Self {
        Self { to: To::Remote(served), down, done: false }
    }

    /// Returns the flow whose end tells that the entry has gone.
    pub fn flow(&self) -> Arc<Flow> {
        self.down.clone()
    }

    /// Sends the start of the answer.
    pub fn head(&mut self, head: Head) {
        self.done = head.whole;
        self.send(Part::Head(Box::new(head)));
    }

    /// Waits for credit and sends bytes of the body.
    ///
    /// # Errors
    ///
    /// Fails once the entry has gone.
    pub async fn data(&mut self, mut bytes: Bytes, last: bool) -> Result<(), Gone> {
        loop {
            let piece = bytes.split_to(bytes.len().min(CHUNK_BYTES));
            self.down.take(piece.len()).await?;
            let last = last && bytes.is_empty();
            self.done = last;
            self.send(Part::Data { bytes: piece, last });
            if bytes.is_empty() {
                return Ok(());
            }
        }
    }

    /// Ends the stream without a whole answer.
    pub fn refuse(mut self, reason: Reason) {
        self.done = true;
        self.send(Part::Refuse(reason));
    }

    /// Sends a part.
    fn send(&self, part: Part) {
        match &self.to {
            To::Local(parts) => {
                let _ = parts.send(part);
            }
            To::Remote(served) => served.send(part),
        }
    }
}

impl Drop for Reply {
    fn drop(&mut self) {
        if !self.done {
            self.send(Part::Broken);
        }
        self.down.shut();
    }
}
