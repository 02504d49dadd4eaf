//! Reading and conditional writing of records.

use {
    crate::error::{Error, InvalidRecordSnafu},
    snafu::ResultExt,
    std::{future::Future, time::Duration},
    uuid::Uuid,
    whinspring::{
        control::WriteOutcome,
        plan::Records,
        record::{Key, Record, Value},
    },
    whinspring_platform::{Object, Platform},
    whinspring_wire::record,
};

/// A store of versioned records.
pub trait Store {
    fn list(&self) -> impl Future<Output = Result<Records, Error>>;

    /// Returns a record, if it exists.
    fn get(&self, key: &Key) -> impl Future<Output = Result<Option<Record>, Error>>;

    /// Writes a record if it is at version `expect`; zero means that it must not exist. `mark`
    /// identifies the write, so that a retry can recognise it in the record.
    fn put(
        &self,
        key: &Key,
        expect: u64,
        mark: u64,
        value: &Value,
    ) -> impl Future<Output = Result<WriteOutcome, Error>>;
}

impl Store for Platform {
    async fn list(&self) -> Result<Records, Error> {
        let listing = Platform::list(self).await?;
        let mut records = Records::new();
        for object in listing.objects {
            let record = decode(object)?;
            records.insert(record.key.clone(), record);
        }
        Ok(records)
    }

    async fn get(&self, key: &Key) -> Result<Option<Record>, Error> {
        Platform::get(self, key).await?.map(decode).transpose()
    }

    async fn put(
        &self,
        key: &Key,
        expect: u64,
        mark: u64,
        value: &Value,
    ) -> Result<WriteOutcome, Error> {
        Ok(Platform::put(self, key, expect, mark, record::encode(value)).await?)
    }
}

fn decode(object: Object) -> Result<Record, Error> {
    let value = object.value.map(|bytes| record::decode(object.key.kind, &bytes)).transpose();
    let value = value.context(InvalidRecordSnafu { key: object.key.to_string() })?;
    Ok(Record { key: object.key, version: object.version, mark: object.mark, value })
}

/// Retries of a write that got no reply.
const MAX_RETRIES: u32 = 4;

/// Delay before the first retry; it doubles with each further retry.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Result of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The record was written, at this version.
    Written(u64),
    /// The write did not take effect: the record was at another version.
    Conflict,
    /// A reply was lost and the record now holds another write, so this one may have taken effect
    /// before it or not at all.
    Ambiguous,
}

/// Writes a record if it is at version `expect`, with retries if a reply is lost.
///
/// A retry repeats the write unchanged. If the first attempt took effect, the retry gets a conflict
/// that carries its own mark, unless the record has been written again since.
///
/// # Errors
///
/// Fails with [`Error::OutcomeUnknown`] if the platform replies to no attempt.
pub async fn write(
    store: &impl Store,
    key: &Key,
    expect: u64,
    value: &Value,
) -> Result<Outcome, Error> {
    let mark = Uuid::new_v4().as_u64_pair().0;
    let mut delay = RETRY_DELAY;
    for attempt in 0..=MAX_RETRIES {
        match store.put(key, expect, mark, value).await? {
            WriteOutcome::Written(version) => return Ok(Outcome::Written(version)),
            WriteOutcome::Conflict { version, mark: found } if found == mark => {
                return Ok(Outcome::Written(version));
            }
            WriteOutcome::Conflict { .. } if attempt > 0 => return Ok(Outcome::Ambiguous),
            WriteOutcome::Conflict { .. } => return Ok(Outcome::Conflict),
            WriteOutcome::Unknown if attempt < MAX_RETRIES => tokio::time::sleep(delay).await,
            WriteOutcome::Unknown => {}
        }
        delay *= 2;
    }
    Err(Error::OutcomeUnknown)
}
