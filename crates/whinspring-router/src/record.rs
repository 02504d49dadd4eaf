//! Records that lie in the store, and how owners of keys are written.

use {
    prost::Message,
    whinspring::{
        name::Name,
        ranges::{Instance, Ownership, Span},
    },
};

/// The stored record of the controller.
#[derive(Clone, PartialEq, Message)]
pub struct ControlRecord {
    /// Name of the node; empty once it has stepped down.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Number of that run of its process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Term, rising with each controller.
    #[prost(uint64, tag = "3")]
    pub term: u64,
}

/// The stored record of a node.
#[derive(Clone, PartialEq, Message)]
pub struct NodeRecord {
    /// Address for links.
    #[prost(string, tag = "1")]
    pub addr: String,
}

/// The stored owners of a service's keys.
#[derive(Clone, PartialEq, Message)]
pub struct OwnersRecord {
    /// Term of the controller that wrote it.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Spans in ascending order.
    #[prost(message, repeated, tag = "2")]
    pub spans: Vec<SpanWire>,
}

/// A span of keys and its owner.
#[derive(Clone, PartialEq, Message)]
pub struct SpanWire {
    /// First key.
    #[prost(uint32, tag = "1")]
    pub first: u32,
    /// Last key.
    #[prost(uint32, tag = "2")]
    pub last: u32,
    /// The owner.
    #[prost(message, optional, tag = "3")]
    pub owner: Option<LifeWire>,
    /// Fence number.
    #[prost(uint64, tag = "4")]
    pub fence: u64,
    /// Former owner that has not released the keys yet.
    #[prost(message, optional, tag = "5")]
    pub former: Option<LifeWire>,
}

/// One life of a server.
#[derive(Clone, PartialEq, Message)]
pub struct LifeWire {
    /// Its name.
    #[prost(string, tag = "1")]
    pub server: String,
    /// When it started.
    #[prost(uint64, tag = "2")]
    pub born: u64,
}

impl From<&Instance> for LifeWire {
    fn from(life: &Instance) -> Self {
        Self { server: life.server.to_string(), born: life.start_ms }
    }
}

impl From<LifeWire> for Instance {
    fn from(life: LifeWire) -> Self {
        Self { server: Name::from(life.server), start_ms: life.born }
    }
}

impl From<&Ownership> for OwnersRecord {
    fn from(owned: &Ownership) -> Self {
        Self { term: owned.term, spans: owned.spans.iter().map(SpanWire::from).collect() }
    }
}

impl From<&Span> for SpanWire {
    fn from(span: &Span) -> Self {
        Self {
            first: span.first.into(),
            last: span.last.into(),
            owner: Some((&span.owner).into()),
            fence: span.fence,
            former: span.former.as_ref().map(LifeWire::from),
        }
    }
}

impl TryFrom<SpanWire> for Span {
    type Error = Malformed;

    fn try_from(span: SpanWire) -> Result<Self, Malformed> {
        Ok(Self {
            first: u16::try_from(span.first).map_err(|_| Malformed)?,
            last: u16::try_from(span.last).map_err(|_| Malformed)?,
            owner: span.owner.ok_or(Malformed)?.into(),
            fence: span.fence,
            former: span.former.map(Instance::from),
        })
    }
}

impl TryFrom<OwnersRecord> for Ownership {
    type Error = Malformed;

    fn try_from(record: OwnersRecord) -> Result<Self, Malformed> {
        let mut next = 0;
        let mut spans = Vec::with_capacity(record.spans.len());
        for span in record.spans {
            if span.first != next || span.last < span.first {
                return Err(Malformed);
            }
            next = span.last + 1;
            spans.push(span.try_into()?);
        }
        Ok(Self { term: record.term, spans })
    }
}

/// A record that breaks a rule of its kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Malformed;
