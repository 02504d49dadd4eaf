//! Credit for one direction of a stream.

use {super::Gone, tokio::sync::Semaphore, tokio_util::sync::CancellationToken};

/// The credit that the reading end has granted, and whether it is still there.
#[derive(Debug)]
pub struct Flow {
    /// Bytes that may be sent.
    credit: Semaphore,
    /// Cancelled once the reading end has gone.
    gone: CancellationToken,
}

impl Flow {
    /// Creates a flow with an initial credit in bytes.
    pub fn new(credit: usize) -> Self {
        Self { credit: Semaphore::new(credit), gone: CancellationToken::new() }
    }

    /// Waits for a credit of `bytes` and uses it.
    ///
    /// # Errors
    ///
    /// Fails once the reading end has gone.
    pub async fn take(&self, bytes: usize) -> Result<(), Gone> {
        let permit = self.credit.acquire_many(bytes as u32).await.map_err(|_| Gone)?;
        permit.forget();
        Ok(())
    }

    /// Grants a credit of `bytes`; the sum is bounded by what the semaphore can hold.
    pub fn give(&self, bytes: usize) {
        let room = Semaphore::MAX_PERMITS - self.credit.available_permits();
        self.credit.add_permits(bytes.min(room));
    }

    /// Tells the writing end that nobody reads any more.
    pub fn shut(&self) {
        self.credit.close();
        self.gone.cancel();
    }

    /// Waits until the reading end has gone.
    pub async fn gone(&self) {
        self.gone.cancelled().await;
    }

    /// Returns whether the reading end has gone.
    pub fn is_gone(&self) -> bool {
        self.gone.is_cancelled()
    }
}
