//! Background calls to the platform.
//!
//! Each call runs in its own task and reports its result as an event, so that a slow platform
//! never blocks the control loop.

use {
    crate::metrics::Metrics,
    std::{sync::Arc, time::Duration},
    tokio::{sync::mpsc, time::sleep},
    whinspring::{
        control::{Event, VmState, WriteOutcome},
        record::{Key, Value},
    },
    whinspring_platform::{self as api, Error, Platform, RecordListing},
};

/// Timeout of one long-polling watch call.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Delay before a failed read is reported, which limits the retry rate.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// Starts calls and sends their results to the control loop.
#[derive(Clone)]
pub struct PlatformCalls {
    /// Client of the platform's object API.
    client: Platform,
    /// Receives the results.
    events: mpsc::UnboundedSender<Event>,
    metrics: Arc<Metrics>,
}

impl PlatformCalls {
    pub fn new(
        client: Platform,
        events: mpsc::UnboundedSender<Event>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self { client, events, metrics }
    }

    /// Starts writing or deleting a record, provided it is at version `expect`.
    ///
    /// `mark` identifies the write, so that its effect is recognised if the response was lost.
    pub fn put(&self, op: u64, key: Key, expect: u64, mark: u64, value: Option<Value>) {
        let calls = self.clone();
        calls.metrics.count("platform_writes");
        tokio::spawn(async move {
            let outcome = calls.write(&key, expect, mark, value.as_ref()).await;
            let _ = calls.events.send(Event::WriteCompleted { op, outcome });
        });
    }

    /// Starts a read of every record.
    pub fn list(&self) {
        let calls = self.clone();
        calls.metrics.count("platform_reads");
        tokio::spawn(async move {
            let event = match calls.client.read_all().await {
                Ok(listing) => calls.read_event(true, listing),
                Err(_) => read_failure(false).await,
            };
            let _ = calls.events.send(event);
        });
    }

    /// Starts waiting for changes after a revision.
    pub fn watch(&self, after: u64) {
        let calls = self.clone();
        calls.metrics.count("platform_reads");
        tokio::spawn(async move {
            let event = match calls.client.read_changes(after, WATCH_WAIT).await {
                Ok(listing) => calls.read_event(false, listing),
                Err(error) => read_failure(matches!(error, Error::Gone { .. })).await,
            };
            let _ = calls.events.send(event);
        });
    }

    /// Starts a read of the list of VMs. A failure is ignored; the next read updates the list.
    pub fn list_vms(&self) {
        let calls = self.clone();
        calls.metrics.count("platform_reads");
        tokio::spawn(async move {
            let Ok(vms) = calls.client.vms().await else { return };
            let vms = vms.into_iter().map(|vm| (vm.name, vm_state(vm.state))).collect();
            let _ = calls.events.send(Event::Vms(vms));
        });
    }

    /// Writes or deletes a record.
    async fn write(
        &self,
        key: &Key,
        expect: u64,
        mark: u64,
        value: Option<&Value>,
    ) -> WriteOutcome {
        let stored = self.client.store_record(key, expect, mark, value).await;
        stored.unwrap_or_else(|_| {
            self.metrics.count("platform_writes_refused");
            WriteOutcome::Unknown
        })
    }

    /// Converts a listing of records into an event; counts records that cannot be decoded.
    fn read_event(&self, whole: bool, listing: RecordListing) -> Event {
        for _ in &listing.invalid {
            self.metrics.count("records_not_understood");
        }
        Event::Read { full: whole, revision: listing.revision, records: listing.records }
    }
}

/// Returns the event of a failed read after a delay, so that an unavailable platform is not
/// flooded with retries.
async fn read_failure(gone: bool) -> Event {
    sleep(READ_PAUSE).await;
    Event::ReadFailed { gone }
}

fn vm_state(state: api::VmState) -> VmState {
    match state {
        api::VmState::Live => VmState::Live,
        api::VmState::Leaving => VmState::Leaving,
        api::VmState::Gone => VmState::Gone,
    }
}
