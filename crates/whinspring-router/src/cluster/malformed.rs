//! Entries of servers that another writer has left in a form that cannot be parsed.

use {std::collections::HashSet, whinspring::name::Name};

/// Entries of servers that cannot be parsed.
#[derive(Debug, Default)]
pub struct MalformedEntries {
    pub(super) names: HashSet<Name>,
    /// Entries since the last call of [`MalformedEntries::take_count`].
    count: u64,
}

impl MalformedEntries {
    /// Counts an entry; returns whether it was not malformed before.
    pub(super) fn record(&mut self, name: &Name) -> bool {
        self.count += 1;
        self.names.insert(name.clone())
    }

    /// Returns the number of objects that are malformed now.
    pub fn number(&self) -> usize {
        self.names.len()
    }

    /// Returns the number of malformed entries that were read since the last call.
    pub fn take_count(&mut self) -> u64 {
        std::mem::take(&mut self.count)
    }
}
