//! Objects as the platform stores them: identity, version and opaque bytes.

use {bytes::Bytes, whinspring::record::Key};

/// An object at one version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    pub key: Key,
    /// Store revision of its last write.
    pub version: u64,
    /// Mark of the last write: a number chosen by the writer that identifies the write.
    pub mark: u64,
    /// Content of the object; `None` if it has been deleted.
    pub value: Option<Bytes>,
}

/// Result of a list or a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Store revision up to which the listing is complete.
    pub revision: u64,
    pub objects: Vec<Object>,
}
