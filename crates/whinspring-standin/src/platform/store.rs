//! Versioned objects in memory.
//!
//! Each write increments the revision of the store, and the new revision is the version of the
//! object. Deleted objects are kept as tombstones while a watch can still ask for the deletion.

use {
    base64::{Engine, engine::general_purpose::STANDARD},
    bytes::Bytes,
    serde::{Serialize, Serializer},
    std::collections::BTreeMap,
};

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub(super) struct Id {
    pub(super) kind: String,
    /// Its name within the kind.
    pub(super) name: String,
}

/// An object, or the tombstone of a deleted one.
#[derive(Debug, Clone, Serialize)]
pub(super) struct Entry {
    /// Store revision of its last write.
    pub(super) version: u64,
    /// Mark of its last write: a number chosen by the writer that identifies the write.
    pub(super) mark: u64,
    /// `None` if it has been deleted.
    #[serde(serialize_with = "encode")]
    pub(super) value: Option<Bytes>,
}

/// A conditional write.
#[derive(Debug)]
pub(super) struct Write {
    pub(super) id: Id,
    /// Version that the object must have; zero if it must not exist.
    pub(super) expect: u64,
    /// Number chosen by the writer that identifies the write.
    pub(super) mark: u64,
    /// New content; `None` deletes.
    pub(super) value: Option<Bytes>,
}

/// Result of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The write took effect; holds the new version.
    Written(u64),
    /// The object has another version than expected.
    Conflict {
        /// Current version; zero if it does not exist.
        version: u64,
        /// Mark of its last write; zero if it does not exist.
        mark: u64,
    },
}

/// Response body of a list or a watch.
#[derive(Debug, Serialize)]
pub(super) struct Listing {
    /// Store revision up to which the objects are complete.
    pub(super) revision: u64,
    pub(super) objects: Vec<Item>,
}

#[derive(Debug, Serialize)]
pub(super) struct Item {
    #[serde(flatten)]
    id: Id,
    #[serde(flatten)]
    entry: Entry,
}

#[derive(Debug)]
pub(super) struct Store {
    revision: u64,
    history: u64,
    entries: BTreeMap<Id, Entry>,
    by_revision: BTreeMap<u64, Id>,
}

impl Store {
    /// Returns an empty store whose watches can start up to `history` revisions back.
    pub(super) fn new(history: u64) -> Self {
        Self { revision: 0, history, entries: BTreeMap::new(), by_revision: BTreeMap::new() }
    }

    /// Returns an object; `None` if it does not exist or has been deleted.
    pub(super) fn get(&self, id: &Id) -> Option<&Entry> {
        self.entries.get(id).filter(|entry| entry.value.is_some())
    }

    /// Returns all existing objects.
    pub(super) fn list(&self) -> Listing {
        let live = self.entries.iter().filter(|(_, entry)| entry.value.is_some());
        let objects = live.map(|(id, entry)| Item { id: id.clone(), entry: entry.clone() });
        Listing { revision: self.revision, objects: objects.collect() }
    }

    /// Returns the changes after a revision; `None` if it is too old or in the future.
    pub(super) fn changes(&self, after: u64) -> Option<Listing> {
        if after < self.oldest_revision() || after > self.revision {
            return None;
        }
        let changed = self.by_revision.range(after + 1..).filter_map(|(_, id)| {
            let entry = self.entries.get(id)?.clone();
            Some(Item { id: id.clone(), entry })
        });
        Some(Listing { revision: self.revision, objects: changed.collect() })
    }

    /// Writes or deletes an object if it has the expected version.
    pub(super) fn write(&mut self, write: Write) -> Outcome {
        let (version, mark) = match self.get(&write.id) {
            Some(entry) => (entry.version, entry.mark),
            None => (0, 0),
        };
        let absent = version == 0 && write.value.is_none();
        if version != write.expect || absent {
            return Outcome::Conflict { version, mark };
        }
        self.revision += 1;
        let entry = Entry { version: self.revision, mark: write.mark, value: write.value };
        if let Some(old) = self.entries.insert(write.id.clone(), entry) {
            self.by_revision.remove(&old.version);
        }
        self.by_revision.insert(self.revision, write.id);
        self.purge_deleted();
        Outcome::Written(self.revision)
    }

    /// Returns the oldest revision that a watch can start from.
    fn oldest_revision(&self) -> u64 {
        self.revision.saturating_sub(self.history)
    }

    /// Removes the tombstones that no watch can ask for any more.
    fn purge_deleted(&mut self) {
        let oldest = self.oldest_revision();
        let deleted: Vec<_> = self
            .by_revision
            .range(..=oldest)
            .filter(|(_, id)| self.get(id).is_none())
            .map(|(version, id)| (*version, id.clone()))
            .collect();
        for (version, id) in deleted {
            self.by_revision.remove(&version);
            self.entries.remove(&id);
        }
    }
}

/// Serializes a value as base64.
fn encode<S: Serializer>(value: &Option<Bytes>, serializer: S) -> Result<S::Ok, S::Error> {
    match value {
        Some(bytes) => serializer.serialize_str(&STANDARD.encode(bytes)),
        None => serializer.serialize_none(),
    }
}
