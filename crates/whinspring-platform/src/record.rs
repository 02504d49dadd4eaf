//! Records on top of the objects: the platform's bytes as whinspring's own types.
//!
//! A record that this version cannot read is listed as a fault beside the others, so that one bad
//! object never keeps a node from the rest.

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

/// Records read by a list or a watch.
#[derive(Debug)]
pub struct Reading {
    /// Store revision up to which the records are complete.
    pub revision: u64,
    /// The records that could be read.
    pub records: Vec<Record>,
    /// The others.
    pub faults: Vec<Fault>,
}

/// A record that cannot be read.
#[derive(Debug)]
pub struct Fault {
    /// Identity of the record.
    pub key: Key,
    /// Its version.
    pub version: u64,
    /// What is wrong with its value.
    pub source: whinspring_wire::error::Error,
}

impl TryFrom<Object> for Record {
    type Error = Fault;

    fn try_from(object: Object) -> Result<Self, Fault> {
        let Object { key, version, mark, value } = object;
        match value.map(|bytes| decode(key.kind, &bytes)).transpose() {
            Ok(value) => Ok(Self { key, version, mark, value }),
            Err(source) => Err(Fault { key, version, source }),
        }
    }
}

impl From<Listing> for Reading {
    fn from(listing: Listing) -> Self {
        let mut reading =
            Self { revision: listing.revision, records: Vec::new(), faults: Vec::new() };
        for object in listing.objects {
            match Record::try_from(object) {
                Ok(record) => reading.records.push(record),
                Err(fault) => reading.faults.push(fault),
            }
        }
        reading
    }
}

impl Platform {
    /// Returns every record.
    pub async fn read_all(&self) -> Result<Reading, Error> {
        Ok(self.list().await?.into())
    }

    /// Returns the records changed after the revision `after`, waiting up to `wait` for a change.
    ///
    /// Fails with [`Error::Gone`] if the platform no longer has these changes.
    pub async fn read_changes(&self, after: u64, wait: Duration) -> Result<Reading, Error> {
        Ok(self.watch(after, wait).await?.into())
    }

    /// Writes a record, or deletes it for `None`, if it is at version `expect`.
    ///
    /// Outcomes as for [`Platform::put`].
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
