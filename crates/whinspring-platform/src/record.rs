//! Reads and writes records, which are objects with a decoded value.
//!
//! A record that this version cannot decode is listed separately, so that one invalid object does
//! not prevent a node from reading the others.

use {
    crate::{
        client::Platform,
        error::Error,
        object::{Listing, Object},
    },
    std::time::Duration,
    whinspring::{
        control::WriteOutcome,
        record::{Key, Record, Value},
    },
    whinspring_wire::record::{decode, encode},
};

/// Records of a list or a watch.
#[derive(Debug)]
pub struct RecordListing {
    /// Store revision up to which the listing is complete.
    pub revision: u64,
    /// Records that could be decoded.
    pub records: Vec<Record>,
    /// Records that could not be decoded.
    pub invalid: Vec<InvalidRecord>,
}

/// A record that could not be decoded.
#[derive(Debug)]
pub struct InvalidRecord {
    pub key: Key,
    pub version: u64,
    pub source: whinspring_wire::error::Error,
}

impl TryFrom<Object> for Record {
    type Error = InvalidRecord;

    fn try_from(object: Object) -> Result<Self, InvalidRecord> {
        let Object { key, version, mark, value } = object;
        match value.map(|bytes| decode(key.kind, &bytes)).transpose() {
            Ok(value) => Ok(Self { key, version, mark, value }),
            Err(source) => Err(InvalidRecord { key, version, source }),
        }
    }
}

impl From<Listing> for RecordListing {
    fn from(listing: Listing) -> Self {
        let mut records =
            Self { revision: listing.revision, records: Vec::new(), invalid: Vec::new() };
        for object in listing.objects {
            match Record::try_from(object) {
                Ok(record) => records.records.push(record),
                Err(record) => records.invalid.push(record),
            }
        }
        records
    }
}

impl Platform {
    /// Returns every record.
    pub async fn read_all(&self) -> Result<RecordListing, Error> {
        Ok(self.list().await?.into())
    }

    /// Returns the records changed after the revision `after`, waiting up to `wait` for a change.
    ///
    /// Fails with [`Error::Gone`] if the platform no longer retains these changes.
    pub async fn read_changes(&self, after: u64, wait: Duration) -> Result<RecordListing, Error> {
        Ok(self.watch(after, wait).await?.into())
    }

    /// Writes a record, or deletes it if `value` is `None`, provided it is at version `expect`.
    ///
    /// The outcomes are those of [`Platform::put`].
    pub async fn store_record(
        &self,
        key: &Key,
        expect: u64,
        mark: u64,
        value: Option<&Value>,
    ) -> Result<WriteOutcome, Error> {
        match value {
            Some(value) => self.put(key, expect, mark, encode(value)).await,
            None => self.delete(key, expect, mark).await,
        }
    }
}
