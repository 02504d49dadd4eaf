//! Encoding of records: the values that the platform stores, and records as nodes exchange them.

mod assignment;
mod plan;
mod service;

use {
    crate::{
        error::{BadFieldSnafu, Error, MalformedSnafu, TooLargeSnafu, UnknownTypeSnafu},
        generated::record as wire,
    },
    bytes::Bytes,
    prost::Message,
    snafu::{OptionExt, ResultExt, ensure},
    std::net::SocketAddr,
    whinspring::{
        model::{Controller, Node, NodeState, Plan, Service, Suspect},
        name::Name,
        record::{Key, Kind, Record, Value},
    },
};

/// Maximum size of a value on the platform, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Encodes the value of a record as the platform stores it.
pub fn encode(value: &Value) -> Bytes {
    let bytes = match value {
        Value::Node(node) => wire::Node::from(node).encode_to_vec(),
        Value::Controller(controller) => wire::Controller::from(controller).encode_to_vec(),
        Value::Service(service) => wire::Service::from(service).encode_to_vec(),
        Value::Holders(holders) => wire::Holders::from(holders).encode_to_vec(),
        Value::Segment(segment) => wire::Segment::from(segment).encode_to_vec(),
        Value::Suspect(suspect) => wire::Suspect::from(suspect).encode_to_vec(),
        Value::Plan(plan) => wire::Plan::from(plan).encode_to_vec(),
    };
    bytes.into()
}

/// Decodes the value of a record of `kind`.
///
/// # Errors
///
/// Fails if the bytes exceed [`MAX_VALUE_BYTES`] or are not a valid value of the kind.
pub fn decode(kind: Kind, bytes: &[u8]) -> Result<Value, Error> {
    ensure!(
        bytes.len() <= MAX_VALUE_BYTES,
        TooLargeSnafu { bytes: bytes.len(), limit: MAX_VALUE_BYTES }
    );
    match kind {
        Kind::Node => Ok(Value::Node(decode_message::<wire::Node>(bytes)?.try_into()?)),
        Kind::Controller => {
            Ok(Value::Controller(decode_message::<wire::Controller>(bytes)?.into()))
        }
        Kind::Service => {
            Ok(Value::Service(Service::try_from(decode_message::<wire::Service>(bytes)?)?))
        }
        Kind::Holders => Ok(Value::Holders(decode_message::<wire::Holders>(bytes)?.into())),
        Kind::Segment => Ok(Value::Segment(decode_message::<wire::Segment>(bytes)?.try_into()?)),
        Kind::Suspect => Ok(Value::Suspect(decode_message::<wire::Suspect>(bytes)?.into())),
        Kind::Plan => Ok(Value::Plan(Plan::try_from(decode_message::<wire::Plan>(bytes)?)?)),
    }
}

fn decode_message<M: Message + Default>(bytes: &[u8]) -> Result<M, Error> {
    M::decode(bytes).context(MalformedSnafu)
}

/// Parses an address of the form `ip:port`.
fn parse_addr(text: &str) -> Result<SocketAddr, Error> {
    text.parse().ok().context(BadFieldSnafu { field: "addr" })
}

impl From<&Record> for wire::Record {
    fn from(record: &Record) -> Self {
        Self {
            kind: wire::Kind::from(record.key.kind).into(),
            name: record.key.name.to_string(),
            version: record.version,
            mark: record.mark,
            value: record.value.as_ref().map(encode),
        }
    }
}

impl TryFrom<wire::Record> for Record {
    type Error = Error;

    fn try_from(record: wire::Record) -> Result<Self, Error> {
        let kind = Kind::try_from(record.kind())?;
        let value = record.value.as_deref().map(|bytes| decode(kind, bytes)).transpose()?;
        let key = Key::new(kind, record.name);
        Ok(Self { key, version: record.version, mark: record.mark, value })
    }
}

impl From<Kind> for wire::Kind {
    fn from(kind: Kind) -> Self {
        match kind {
            Kind::Node => Self::Node,
            Kind::Controller => Self::Controller,
            Kind::Service => Self::Service,
            Kind::Holders => Self::Holders,
            Kind::Segment => Self::Segment,
            Kind::Suspect => Self::Suspect,
            Kind::Plan => Self::Plan,
        }
    }
}

impl TryFrom<wire::Kind> for Kind {
    type Error = Error;

    fn try_from(kind: wire::Kind) -> Result<Self, Error> {
        match kind {
            wire::Kind::Unspecified => UnknownTypeSnafu { what: "kind of record" }.fail(),
            wire::Kind::Node => Ok(Self::Node),
            wire::Kind::Controller => Ok(Self::Controller),
            wire::Kind::Service => Ok(Self::Service),
            wire::Kind::Holders => Ok(Self::Holders),
            wire::Kind::Segment => Ok(Self::Segment),
            wire::Kind::Suspect => Ok(Self::Suspect),
            wire::Kind::Plan => Ok(Self::Plan),
        }
    }
}

impl From<&Node> for wire::Node {
    fn from(node: &Node) -> Self {
        Self {
            name: node.name.to_string(),
            incarnation: node.incarnation,
            addr: node.addr.to_string(),
            domain: node.domain.to_string(),
            state: wire::NodeState::from(node.state).into(),
            lessors: node.lessors.iter().map(Name::to_string).collect(),
        }
    }
}

impl TryFrom<wire::Node> for Node {
    type Error = Error;

    fn try_from(node: wire::Node) -> Result<Self, Error> {
        Ok(Self {
            state: node.state().try_into()?,
            addr: parse_addr(&node.addr)?,
            name: node.name.into(),
            incarnation: node.incarnation,
            domain: node.domain.into(),
            lessors: node.lessors.into_iter().map(Name::from).collect(),
        })
    }
}

impl From<NodeState> for wire::NodeState {
    fn from(state: NodeState) -> Self {
        match state {
            NodeState::Live => Self::Live,
            NodeState::Leaving => Self::Leaving,
            NodeState::Gone => Self::Gone,
        }
    }
}

impl TryFrom<wire::NodeState> for NodeState {
    type Error = Error;

    fn try_from(state: wire::NodeState) -> Result<Self, Error> {
        match state {
            wire::NodeState::Unspecified => UnknownTypeSnafu { what: "state of a node" }.fail(),
            wire::NodeState::Live => Ok(Self::Live),
            wire::NodeState::Leaving => Ok(Self::Leaving),
            wire::NodeState::Gone => Ok(Self::Gone),
        }
    }
}

impl From<&Controller> for wire::Controller {
    fn from(controller: &Controller) -> Self {
        Self {
            node: controller.node.to_string(),
            incarnation: controller.incarnation,
            term: controller.term,
        }
    }
}

impl From<wire::Controller> for Controller {
    fn from(controller: wire::Controller) -> Self {
        Self {
            node: controller.node.into(),
            incarnation: controller.incarnation,
            term: controller.term,
        }
    }
}

impl From<&Suspect> for wire::Suspect {
    fn from(suspect: &Suspect) -> Self {
        Self {
            print: suspect.print,
            deaths: suspect.deaths,
            last_ms: suspect.last_ms,
            cleared: suspect.cleared,
        }
    }
}

impl From<wire::Suspect> for Suspect {
    fn from(suspect: wire::Suspect) -> Self {
        Self {
            print: suspect.print,
            deaths: suspect.deaths,
            last_ms: suspect.last_ms,
            cleared: suspect.cleared,
        }
    }
}
