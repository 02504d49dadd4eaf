//! Calls to the platform in the background.
//!
//! Each call runs as a task of its own and answers with an event, so that a slow platform never
//! holds up the control loop.

use {
    std::time::Duration,
    tokio::{sync::mpsc, time::sleep},
    whinspring::{
        control::{Event, Stored},
        record::{Key, Value},
    },
    whinspring_platform::{Client, Error},
};

/// Longest wait of one watch call, in milliseconds.
const WATCH_WAIT_MS: u64 = 10_000;

/// Pause before a failed read is reported, in milliseconds.
const READ_PAUSE_MS: u64 = 100;

/// Starts calls and sends their answers to the control loop.
pub struct Platform {
    /// Client of the object API.
    client: Client,
    /// Where answers go.
    events: mpsc::UnboundedSender<Event>,
}

impl Platform {
    /// Creates a caller of `client` that answers on `events`.
    pub fn new(client: Client, events: mpsc::UnboundedSender<Event>) -> Self {
        Self { client, events }
    }

    /// Writes a record.
    pub fn put(&self, op: u64, key: Key, expect: u64, mark: u64, value: Option<Value>) {
        let Self { client, events } = self.cloned();
        tokio::spawn(async move {
            let outcome = write(&client, &key, expect, mark, value.as_ref()).await;
            let _ = events.send(Event::Stored { op, outcome });
        });
    }

    /// Reads every record.
    pub fn list(&self) {
        let Self { client, events } = self.cloned();
        tokio::spawn(async move {
            let event = match client.list().await {
                Ok(listing) => {
                    Event::Read { whole: true, revision: listing.revision, records: listing.records }
                }
                Err(_) => failed(false).await,
            };
            let _ = events.send(event);
        });
    }

    /// Waits for changes after a revision.
    pub fn watch(&self, after: u64) {
        let Self { client, events } = self.cloned();
        tokio::spawn(async move {
            let event = match client.watch(after, WATCH_WAIT_MS).await {
                Ok(listing) => {
                    Event::Read { whole: false, revision: listing.revision, records: listing.records }
                }
                Err(error) => failed(matches!(error, Error::TooOld { .. })).await,
            };
            let _ = events.send(event);
        });
    }

    /// Reads the list of VMs; a failure is left out, as the list only lags a little more.
    pub fn vms(&self) {
        let Self { client, events } = self.cloned();
        tokio::spawn(async move {
            let Ok(vms) = client.vms().await else { return };
            let vms = vms.into_iter().map(|vm| (vm.name, vm.leaving)).collect();
            let _ = events.send(Event::Vms(vms));
        });
    }

    /// Returns a copy for a task.
    fn cloned(&self) -> Self {
        Self { client: self.client.clone(), events: self.events.clone() }
    }
}

/// Writes or deletes a record.
async fn write(
    client: &Client,
    key: &Key,
    expect: u64,
    mark: u64,
    value: Option<&Value>,
) -> Stored {
    match value {
        Some(value) => client.put(key, expect, mark, value).await,
        None => client.delete(key, expect, mark).await,
    }
}

/// Returns the event of a failed read after a pause, so that a dead platform is not hammered.
async fn failed(gone: bool) -> Event {
    sleep(Duration::from_millis(READ_PAUSE_MS)).await;
    Event::ReadFailed { gone }
}
