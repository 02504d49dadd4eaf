//! Ranges of numeric keys and the servers that own them.
//!
//! An [`Ownership`] covers the keys of one service without gaps or overlaps. It is stored as one
//! object under one revision, so that each change is a single conditional write. Every span carries
//! the fencing token of its owner's last grant. While a span is being transferred, it also names
//! its former owner, until that one has released it.

use crate::name::Name;

pub mod balance;
pub mod demand;
pub mod vacancy;

pub const MAX_KEY: u16 = u16::MAX;

/// An instance of a backend server: a restart under the same name is another instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Instance {
    pub server: Name,
    /// Start time in milliseconds since the Unix epoch; zero if unknown.
    pub start_ms: u64,
}

impl Instance {
    /// Returns whether it is a later process of the same server, so that the other one has ended. An entry
    /// that a node has not seen change yet names an earlier one.
    pub fn succeeds(&self, other: &Self) -> bool {
        self.server == other.server && self.start_ms > other.start_ms
    }
}

/// A range of keys with one owner; `first` and `last` are inclusive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Span {
    pub first: u16,
    pub last: u16,
    pub owner: Instance,
    /// Fencing token of the owner's grant.
    pub fence: u64,
    /// Former owner, as long as it has not released the keys.
    pub former: Option<Instance>,
}

/// Identifies the handover of a span to its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct HandoverKey {
    pub first: u16,
    pub last: u16,
    /// Fencing token of the new owner.
    pub fence: u64,
}

impl Span {
    /// Returns the key of the handover to the span's owner.
    pub fn handover(&self) -> HandoverKey {
        HandoverKey { first: self.first, last: self.last, fence: self.fence }
    }

    pub fn key_count(&self) -> u32 {
        u32::from(self.last - self.first) + 1
    }

    /// Returns whether the next span has the same owner and neither is being transferred.
    fn can_merge(&self, next: &Self) -> bool {
        self.owner == next.owner && self.former.is_none() && next.former.is_none()
    }
}

/// The owners of all keys of one service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ownership {
    /// Term of the controller that wrote this version.
    pub term: u64,
    /// Spans in ascending order of keys.
    pub spans: Vec<Span>,
}

impl Ownership {
    /// Divides all keys evenly among `owners`; `fence` returns a new fencing token for each span.
    pub fn split_evenly(term: u64, owners: &[Instance], mut fence: impl FnMut() -> u64) -> Self {
        let count = owners.len() as u32;
        let keys = u32::from(MAX_KEY) + 1;
        let span = |(index, owner): (usize, &Instance)| {
            let first = keys * index as u32 / count;
            let last = keys * (index as u32 + 1) / count - 1;
            let owner = owner.clone();
            Span { first: first as u16, last: last as u16, owner, fence: fence(), former: None }
        };
        Self { term, spans: owners.iter().enumerate().map(span).collect() }
    }

    /// Returns the span that contains a key.
    pub fn find(&self, key: u16) -> Option<&Span> {
        let index = self.spans.partition_point(|span| span.last < key);
        self.spans.get(index).filter(|span| span.first <= key)
    }

    /// Returns whether a handover is still pending.
    pub fn is_pending(&self, key: &HandoverKey) -> bool {
        let span = self.find(key.first);
        span.is_some_and(|span| span.former.is_some() && span.handover() == *key)
    }

    /// Splits spans at the bounds of `first..=last`; returns the indices of the spans within it.
    pub fn split_range(&mut self, first: u16, last: u16) -> std::ops::Range<usize> {
        self.split_before(first);
        if last < MAX_KEY {
            self.split_before(last + 1);
        }
        let start = self.spans.partition_point(|span| span.last < first);
        let end = self.spans.partition_point(|span| span.first <= last);
        start..end
    }

    /// Returns the spans that are missing from `before` or differ there.
    pub fn changed_since(&self, before: &Self) -> Vec<Span> {
        let differs = |span: &&Span| before.find(span.first) != Some(*span);
        self.spans.iter().filter(differs).cloned().collect()
    }

    /// Replaces the keys of the `changed` spans by these spans.
    pub fn apply(&mut self, changed: Vec<Span>) {
        for span in changed {
            let range = self.split_range(span.first, span.last);
            self.spans.splice(range, [span]);
        }
    }

    /// Merges adjacent spans of the same owner, with a new fencing token for each merged span; returns
    /// whether any were merged.
    pub fn merge_adjacent(&mut self, mut fence: impl FnMut() -> u64) -> bool {
        let before = self.spans.len();
        let mut merged: Vec<Span> = Vec::with_capacity(before);
        let mut extended = false;
        for span in self.spans.drain(..) {
            match merged.last_mut() {
                Some(last) if last.can_merge(&span) => {
                    last.last = span.last;
                    extended = true;
                }
                _ => {
                    if let Some(last) = merged.last_mut()
                        && std::mem::take(&mut extended)
                    {
                        last.fence = fence();
                    }
                    merged.push(span);
                }
            }
        }
        if let Some(last) = merged.last_mut()
            && extended
        {
            last.fence = fence();
        }
        self.spans = merged;
        self.spans.len() != before
    }

    /// Splits the span that contains `key`, so that a span begins there.
    fn split_before(&mut self, key: u16) {
        let index = self.spans.partition_point(|span| span.last < key);
        let Some(span) = self.spans.get_mut(index) else { return };
        if span.first >= key {
            return;
        }
        let mut tail = span.clone();
        span.last = key - 1;
        tail.first = key;
        self.spans.insert(index + 1, tail);
    }
}
