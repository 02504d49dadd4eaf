//! Flow-control window of one direction of a stream.

use {super::StreamClosed, tokio::sync::Semaphore, tokio_util::sync::CancellationToken};

/// Credit granted by the reader, and whether the reader has closed the stream.
#[derive(Debug)]
pub struct FlowWindow {
    /// Bytes that the writer may still send.
    credit: Semaphore,
    /// Cancelled once the reader has closed the stream.
    closed: CancellationToken,
}

impl FlowWindow {
    /// Creates a window with an initial credit in bytes.
    pub fn new(credit: usize) -> Self {
        Self { credit: Semaphore::new(credit), closed: CancellationToken::new() }
    }

    /// Waits for a credit of `bytes` and consumes it.
    ///
    /// # Errors
    ///
    /// Fails once the reader has closed the stream.
    pub async fn acquire(&self, bytes: usize) -> Result<(), StreamClosed> {
        let permit = self.credit.acquire_many(bytes as u32).await.map_err(|_| StreamClosed)?;
        permit.forget();
        Ok(())
    }

    /// Grants a credit of `bytes`, capped at the maximum of the semaphore, which panics beyond it.
    pub fn grant(&self, bytes: usize) {
        let room = Semaphore::MAX_PERMITS - self.credit.available_permits();
        self.credit.add_permits(bytes.min(room));
    }

    /// Closes the window: pending and later calls of [`FlowWindow::acquire`] fail.
    pub fn close(&self) {
        self.credit.close();
        self.closed.cancel();
    }

    /// Waits until the reader has closed the stream.
    pub async fn wait_closed(&self) {
        self.closed.cancelled().await;
    }

    pub fn is_closed(&self) -> bool {
        self.closed.is_cancelled()
    }
}
