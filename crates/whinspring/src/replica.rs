//! A node's replica of all records.
//!
//! The replica always equals the platform's state at one revision, [`Replica::seen`]: batches are
//! applied atomically, and a batch that would leave a gap is rejected. A holder that sees the
//! record assigning it a server therefore also knows every earlier change of owners. The version of
//! a record never decreases.

use {
    crate::record::{Key, Kind, Record},
    std::collections::BTreeMap,
};

/// Number of deletions kept for peers that pull changes.
const MAX_TOMBSTONES: usize = 4_096;

/// All records as of one revision of the platform.
#[derive(Debug, Default)]
pub struct Replica {
    records: BTreeMap<Key, Record>,
    /// Deleted records, kept so that deletions reach peers.
    tombstones: BTreeMap<Key, Record>,
    /// Keys of live and deleted records by version.
    versions: BTreeMap<u64, Key>,
    /// Revision up to which every record is known.
    seen: u64,
    /// Revision up to which tombstones may have been dropped.
    compacted: u64,
}

/// A batch of records that brings another node up to date.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// Revision that the other node must have seen.
    pub after: u64,
    /// Revision that it has seen after applying the batch.
    pub seen: u64,
    /// The records in ascending order of version.
    pub records: Vec<Record>,
}

impl Replica {
    /// Returns the record of `key`, or `None` if it does not exist or was deleted.
    pub fn get(&self, key: &Key) -> Option<&Record> {
        self.records.get(key)
    }

    /// Returns the existing records of a kind in order of name.
    pub fn iter(&self, kind: Kind) -> impl Iterator<Item = &Record> {
        let first = Key::new(kind, "");
        self.records
            .range(first..)
            .map(|(_, record)| record)
            .take_while(move |r| r.key.kind == kind)
    }

    /// Returns the revision up to which every record is known.
    pub fn seen(&self) -> u64 {
        self.seen
    }

    /// Returns the version that a conditional write of `key` must name, zero if it does not exist.
    pub fn version(&self, key: &Key) -> u64 {
        self.get(key).map_or(0, |record| record.version)
    }

    /// Returns the version of the last known write of `key`, including a deletion.
    pub fn last_version(&self, key: &Key) -> u64 {
        let deleted = self.tombstones.get(key).map_or(0, |record| record.version);
        self.version(key).max(deleted)
    }

    /// Returns the changes since revision `after`.
    ///
    /// If tombstones since then have been dropped, the result contains all records.
    pub fn changes(&self, after: u64) -> Changes {
        let after = if after < self.compacted { 0 } else { after };
        let keys = self.versions.range(after + 1..).map(|(_, key)| key);
        let records =
            keys.filter_map(|key| self.records.get(key).or_else(|| self.tombstones.get(key)));
        Changes { after, seen: self.seen, records: records.cloned().collect() }
    }

    /// Applies `records`, which must be all changes after revision `after` up to `seen`.
    ///
    /// Returns the keys that changed; none if the batch is outdated or would leave a gap.
    pub fn apply(&mut self, after: u64, seen: u64, records: Vec<Record>) -> Vec<Key> {
        if after > self.seen || seen <= self.seen {
            return Vec::new();
        }
        let applied = self.seen;
        let mut changed = Vec::new();
        for record in records {
            if record.version <= applied || record.version <= self.last_version(&record.key) {
                continue;
            }
            changed.push(record.key.clone());
            self.insert(record);
        }
        self.seen = seen;
        self.compact();
        changed
    }

    /// Replaces the former version of a record.
    fn insert(&mut self, record: Record) {
        let key = record.key.clone();
        let former = self.records.remove(&key).or_else(|| self.tombstones.remove(&key));
        if let Some(former) = former {
            self.versions.remove(&former.version);
        }
        self.versions.insert(record.version, key.clone());
        let table = if record.value.is_some() { &mut self.records } else { &mut self.tombstones };
        table.insert(key, record);
    }

    /// Drops the oldest tombstones beyond [`MAX_TOMBSTONES`].
    fn compact(&mut self) {
        while self.tombstones.len() > MAX_TOMBSTONES {
            let oldest = self.tombstones.values().map(|record| record.version).min();
            let Some(key) = oldest.and_then(|version| self.versions.remove(&version)) else {
                return;
            };
            self.compacted = oldest.unwrap_or_default();
            self.tombstones.remove(&key);
        }
    }
}
