//! Versioned records, which the platform stores and nodes replicate.
//!
//! The platform assigns each write a revision that increases over the whole store. The version of a
//! record is the revision of its last write, and a node never replaces a record by one of a lower
//! version.

use {
    crate::{
        model::{Controller, Holders, Node, Plan, Segment, Service, Suspect},
        name::Name,
    },
    std::fmt::{self, Display, Formatter},
};

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// A whinspring node, named by its VM.
    Node,
    /// The controller's term; one record named `controller`.
    Controller,
    /// A service, named by the service.
    Service,
    /// Holders of a service's servers, named by the service.
    Holders,
    /// Owners of slices, named `service.index`.
    Segment,
    /// A suspected request, named by its fingerprint in hexadecimal.
    Suspect,
    /// An operator's plan, named by its identifier.
    Plan,
}

impl Kind {
    pub const ALL: &[Self] = &[
        Self::Node,
        Self::Controller,
        Self::Service,
        Self::Holders,
        Self::Segment,
        Self::Suspect,
        Self::Plan,
    ];

    /// Returns the name used in object paths.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Node => "node",
            Self::Controller => "controller",
            Self::Service => "service",
            Self::Holders => "holders",
            Self::Segment => "segment",
            Self::Suspect => "suspect",
            Self::Plan => "plan",
        }
    }

    /// Returns the kind of this name; `None` if it is unknown.
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|kind| kind.as_str() == text)
    }
}

/// The identity of a record.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    pub kind: Kind,
    /// Unique within the kind.
    pub name: Name,
}

impl Key {
    pub fn new(kind: Kind, name: impl Into<Name>) -> Self {
        Self { kind, name: name.into() }
    }

    /// Parses a key written as `kind/name`; `None` if the slash is missing or the kind is unknown.
    pub fn parse(text: &str) -> Option<Self> {
        let (kind, name) = text.split_once('/')?;
        Some(Self::new(Kind::parse(kind)?, name))
    }

    /// Returns the key of the segment `index` of a service.
    pub fn segment(service: &str, index: u32) -> Self {
        Self::new(Kind::Segment, format!("{service}.{index}"))
    }
}

impl Display for Key {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.as_str(), self.name)
    }
}

/// The content of a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Value {
    /// A whinspring node.
    Node(Node),
    /// The controller's term.
    Controller(Controller),
    /// A service.
    Service(Service),
    /// Holders of a service's servers.
    Holders(Holders),
    /// Owners of slices.
    Segment(Segment),
    /// A suspected request.
    Suspect(Suspect),
    /// An operator's plan.
    Plan(Plan),
}

/// A record at a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    pub key: Key,
    /// Store revision of its last write.
    pub version: u64,
    /// Random number drawn by the writer; shows whether a write whose reply was lost took effect.
    pub mark: u64,
    /// Content; `None` if the record was deleted.
    pub value: Option<Value>,
}
