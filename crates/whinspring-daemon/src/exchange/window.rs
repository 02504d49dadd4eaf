//! Credit for one direction of a stream.

use {super::StreamClosed, tokio::sync::Semaphore, tokio_util::sync::CancellationToken};

/// The credit that the reading end has granted, and whether it is still there.
#[derive(Debug)]
pub struct FlowWindow {
    /// Bytes that may be sent.
    credit: Semaphore,
    /// Cancelled once the reading end has gone.
    closed: CancellationToken,
}

impl FlowWindow {
    /// Creates a flow with an initial credit in bytes.
    pub fn new(credit: usize) -> Self {
        Self { credit: Semaphore::new(credit), closed: CancellationToken::new() }
    }

    /// Waits for a credit of `bytes` and uses it.
    ///
    /// # Errors
    ///
    /// Fails once the reading end has gone.
    pub async fn acquire(&self, bytes: usize) -> Result<(), StreamClosed> {
        let permit = self.credit.acquire_many(bytes as u32).await.map_err(|_| StreamClosed)?;
        permit.forget();
        Ok(())
    }

    /// Grants a credit of `bytes`; the sum is bounded by what the semaphore can hold.
    pub fn grant(&self, bytes: usize) {
        let room = Semaphore::MAX_PERMITS - self.credit.available_permits();
        self.credit.add_permits(bytes.min(room));
    }

    /// Tells the writing end that nobody reads any more.
    pub fn close(&self) {
        self.credit.close();
        self.closed.cancel();
    }

    /// Waits until the reading end has gone.
    pub async fn wait_closed(&self) {
        self.closed.cancelled().await;
    }

    /// Returns whether the reading end has gone.
    pub fn is_closed(&self) -> bool {
        self.closed.is_cancelled()
    }
}
