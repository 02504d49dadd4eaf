//! Objects as the platform holds them: identity, version and opaque bytes.

use {bytes::Bytes, whinspring::record::Key};

/// An object at a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Its identity.
    pub key: Key,
    /// Store revision of its last write.
    pub version: u64,
    /// Mark of the last write, drawn by the writer.
    pub mark: u64,
    /// Its content; `None` once deleted.
    pub value: Option<Bytes>,
}

/// Objects read by a list or a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Store revision up to which the objects are complete.
    pub revision: u64,
    /// The objects.
    pub objects: Vec<Object>,
}
