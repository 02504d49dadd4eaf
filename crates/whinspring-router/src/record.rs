//! Records in the store.

use {
    crate::platform::Location,
    prost::Message,
    std::collections::BTreeSet,
    whinspring::{
        name::Name,
        ranges::{HandoverKey, Instance, Ownership, Span},
    },
};

/// The stored record of the controller.
#[derive(Clone, PartialEq, Message)]
pub struct ControlRecord {
    /// Name of the node; empty after it has resigned.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Incarnation of the node; zero after it has resigned.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Term, which rises with each election.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// Era of the store in which the node was elected.
    #[prost(uint64, tag = "4")]
    pub era: u64,
    /// Whether the store may have lost grants in the history before this era.
    #[prost(bool, tag = "5")]
    pub restored: bool,
    /// Number of consecutive terms, this one included, whose controllers bound their leases.
    #[prost(uint32, tag = "6")]
    pub bounded: u32,
    /// Controllers before this one that were not known to have stopped sending commands; none in records
    /// of earlier versions.
    #[prost(message, repeated, tag = "7")]
    pub earlier: Vec<ControllerRecord>,
}

/// One run of a node as the controller.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ControllerRecord {
    /// Name of the node.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Incarnation of the node.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
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
    /// Spans in ascending order, without gaps.
    #[prost(message, repeated, tag = "2")]
    pub spans: Vec<SpanRecord>,
    /// Locations of the owners and former owners; empty in records of earlier versions.
    #[prost(message, repeated, tag = "3")]
    pub servers: Vec<LocationRecord>,
}

/// Number of servers above which the stored owners name no locations: with those of ten thousand, the
/// record comes near the 1 MiB that a store takes. Nodes that have seen the servers know them anyway.
const MAX_LOCATIONS: usize = 4_000;

/// The location of one instance of a server.
#[derive(Clone, PartialEq, Message)]
pub struct LocationRecord {
    #[prost(message, optional, tag = "1")]
    pub server: Option<InstanceRecord>,
    /// Address that accepts requests and grants.
    #[prost(string, tag = "2")]
    pub addr: String,
    /// Failure domain; empty in records of earlier versions.
    #[prost(string, tag = "3")]
    pub domain: String,
}

/// A span of keys and its owner.
#[derive(Clone, PartialEq, Message)]
pub struct SpanRecord {
    /// First key.
    #[prost(uint32, tag = "1")]
    pub first: u32,
    /// Last key, inclusive.
    #[prost(uint32, tag = "2")]
    pub last: u32,
    #[prost(message, optional, tag = "3")]
    pub owner: Option<InstanceRecord>,
    /// Fencing token.
    #[prost(uint64, tag = "4")]
    pub fence: u64,
    /// Former owner that has not released the keys yet.
    #[prost(message, optional, tag = "5")]
    pub former: Option<InstanceRecord>,
}

/// The range of keys of a handover, and the fencing token of its new owner.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct HandoverRecord {
    #[prost(uint32, tag = "1")]
    pub first: u32,
    /// Last key, inclusive.
    #[prost(uint32, tag = "2")]
    pub last: u32,
    #[prost(uint64, tag = "3")]
    pub fence: u64,
}

/// One instance of a server; a restart under the same name is another instance.
#[derive(Clone, PartialEq, Message)]
pub struct InstanceRecord {
    /// Name of the server.
    #[prost(string, tag = "1")]
    pub server: String,
    /// When it started, in milliseconds since the Unix epoch; zero if unknown.
    #[prost(uint64, tag = "2")]
    pub start_ms: u64,
}

impl From<&Instance> for InstanceRecord {
    fn from(instance: &Instance) -> Self {
        Self { server: instance.server.to_string(), start_ms: instance.start_ms }
    }
}

impl From<InstanceRecord> for Instance {
    fn from(instance: InstanceRecord) -> Self {
        Self { server: Name::from(instance.server), start_ms: instance.start_ms }
    }
}

impl From<&HandoverKey> for HandoverRecord {
    fn from(key: &HandoverKey) -> Self {
        Self { first: key.first.into(), last: key.last.into(), fence: key.fence }
    }
}

impl TryFrom<HandoverRecord> for HandoverKey {
    type Error = MalformedRecord;

    fn try_from(record: HandoverRecord) -> Result<Self, MalformedRecord> {
        Ok(Self {
            first: u16::try_from(record.first).map_err(|_| MalformedRecord)?,
            last: u16::try_from(record.last).map_err(|_| MalformedRecord)?,
            fence: record.fence,
        })
    }
}

impl From<&Ownership> for OwnersRecord {
    fn from(owned: &Ownership) -> Self {
        let spans = owned.spans.iter().map(SpanRecord::from).collect();
        Self { term: owned.term, spans, servers: Vec::new() }
    }
}

impl OwnersRecord {
    /// Returns the record of owners with the locations of those that `locate` knows.
    pub fn with_locations(
        owned: &Ownership,
        locate: impl Fn(&Instance) -> Option<Location>,
    ) -> Self {
        let former = owned.spans.iter().filter_map(|span| span.former.as_ref());
        let mut named: BTreeSet<&Instance> =
            owned.spans.iter().map(|span| &span.owner).chain(former).collect();
        if named.len() > MAX_LOCATIONS {
            named.clear();
        }
        let record = |instance: &Instance| {
            let Location { addr, domain } = locate(instance)?;
            let (addr, domain) = (addr.to_string(), domain.to_string());
            Some(LocationRecord { server: Some(instance.into()), addr, domain })
        };
        Self { servers: named.into_iter().filter_map(record).collect(), ..Self::from(owned) }
    }

    /// Returns the locations that the record names; skips those that cannot be read.
    pub fn locations(&self) -> impl Iterator<Item = (Instance, Location)> {
        let read = |known: &LocationRecord| {
            let domain = Name::from(known.domain.as_str());
            let location = Location { addr: known.addr.parse().ok()?, domain };
            Some((known.server.clone()?.into(), location))
        };
        self.servers.iter().filter_map(read)
    }
}

impl From<&Span> for SpanRecord {
    fn from(span: &Span) -> Self {
        Self {
            first: span.first.into(),
            last: span.last.into(),
            owner: Some((&span.owner).into()),
            fence: span.fence,
            former: span.former.as_ref().map(InstanceRecord::from),
        }
    }
}

impl TryFrom<SpanRecord> for Span {
    type Error = MalformedRecord;

    fn try_from(span: SpanRecord) -> Result<Self, MalformedRecord> {
        Ok(Self {
            first: u16::try_from(span.first).map_err(|_| MalformedRecord)?,
            last: u16::try_from(span.last).map_err(|_| MalformedRecord)?,
            owner: span.owner.ok_or(MalformedRecord)?.into(),
            fence: span.fence,
            former: span.former.map(Instance::from),
        })
    }
}

impl TryFrom<OwnersRecord> for Ownership {
    type Error = MalformedRecord;

    fn try_from(record: OwnersRecord) -> Result<Self, MalformedRecord> {
        let mut next = 0;
        let mut spans = Vec::with_capacity(record.spans.len());
        for span in record.spans {
            if span.first != next || span.last < span.first {
                return Err(MalformedRecord);
            }
            next = span.last + 1;
            spans.push(span.try_into()?);
        }
        Ok(Self { term: record.term, spans })
    }
}

/// Error of a record that breaks a rule of its format.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MalformedRecord;
