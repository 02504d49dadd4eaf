//! Versioned records: the unit that the platform stores and that nodes exchange.
//!
//! The platform gives each write a revision that rises over the whole store. A record's version
//! is the revision of its last write, and a node never replaces a record by one of a lower
//! version.

use {
    crate::{
        model::{Controller, Holders, Node, Plan, Segment, Service, Suspect},
        name::Name,
    },
    std::fmt::{self, Display, Formatter},
};

/// The kind of a record.
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
    /// Every kind.
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

    /// Returns the kind named `text`, if there is one.
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|kind| kind.as_str() == text)
    }
}

/// The identity of a record.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// Its kind.
    pub kind: Kind,
    /// Its name within the kind.
    pub name: Name,
}

impl Key {
    /// Returns the key of `name` within `kind`.
    pub fn new(kind: Kind, name: impl Into<Name>) -> Self {
        Self { kind, name: name.into() }
    }

    /// Returns the key written as `kind/name`, if `text` is one.
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
    /// Its identity.
    pub key: Key,
    /// Store revision of its last write.
    pub version: u64,
    /// Mark of the write, drawn by the writer: settles a write whose reply was lost.
    pub mark: u64,
    /// Its content; `None` once deleted.
    pub value: Option<Value>,
}
