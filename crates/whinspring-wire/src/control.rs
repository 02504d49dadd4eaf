//! Encoding of control messages between nodes.

use {
    crate::{
        error::{BadFieldSnafu, Error, MalformedSnafu, TooLargeSnafu, UnknownTypeSnafu},
        generated::{
            control::{self as wire, message::Message as Payload},
            record,
        },
    },
    bytes::Bytes,
    prost::Message as _,
    snafu::{OptionExt, ResultExt, ensure},
    whinspring::{
        message::Message,
        name::{Name, ServerId, Slice},
        record::Record,
    },
};

pub const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Encodes a control message.
pub fn encode(message: &Message) -> Bytes {
    wire::Message::from(message).encode_to_vec().into()
}

/// Decodes a control message.
///
/// Records of a kind unknown to this version are skipped.
///
/// # Errors
///
/// Fails if the bytes exceed [`MAX_MESSAGE_BYTES`] or are not a valid message. A message of a type
/// unknown to this version gives [`Error::UnknownType`].
pub fn decode(bytes: &[u8]) -> Result<Message, Error> {
    ensure!(
        bytes.len() <= MAX_MESSAGE_BYTES,
        TooLargeSnafu { bytes: bytes.len(), limit: MAX_MESSAGE_BYTES }
    );
    wire::Message::decode(bytes).context(MalformedSnafu)?.try_into()
}

impl From<&Message> for wire::Message {
    fn from(message: &Message) -> Self {
        let payload = match message {
            Message::Heartbeat { incarnation, seq, version, seen } => {
                Payload::Heartbeat(wire::Heartbeat {
                    incarnation: *incarnation,
                    seq: *seq,
                    version: *version,
                    seen: *seen,
                })
            }
            Message::Ack { incarnation, seq, seen } => {
                Payload::Ack(wire::Ack { incarnation: *incarnation, seq: *seq, seen: *seen })
            }
            Message::AskLapse { node, incarnation, version } => {
                Payload::AskLapse(lapse_message(node, *incarnation, *version))
            }
            Message::Lapsed { node, incarnation, version } => {
                Payload::Lapsed(lapse_message(node, *incarnation, *version))
            }
            Message::Pull { seen } => Payload::Pull(wire::Pull { seen: *seen }),
            Message::Records { after, seen, records } => Payload::Records(wire::Records {
                after: *after,
                seen: *seen,
                records: records.iter().map(record::Record::from).collect(),
            }),
            Message::ServerLost { service, server, term } => {
                Payload::ServerLost(server_report(service, *server, *term))
            }
            Message::ServerBack { service, server, term } => {
                Payload::ServerBack(server_report(service, *server, *term))
            }
            Message::ServerLeaving { service, server, term } => {
                Payload::ServerLeaving(server_report(service, *server, *term))
            }
            Message::ServerReleased { service, server, term } => {
                Payload::ServerReleased(server_report(service, *server, *term))
            }
            Message::SlicesReleased { service, server, term, slices, keys } => {
                let (slices, slice_epochs) = slice_columns(slices);
                let (keys, key_epochs) = key_columns(keys);
                Payload::SlicesReleased(wire::SlicesReleased {
                    service: service.to_string(),
                    server: server.0,
                    term: *term,
                    slices,
                    slice_epochs,
                    keys,
                    key_epochs,
                })
            }
            Message::Load { service, server, busy, slices, keys } => {
                let (slices, slice_loads) = slice_columns(slices);
                let (keys, key_loads) = key_columns(keys);
                Payload::Load(wire::Load {
                    service: service.to_string(),
                    server: server.0,
                    busy: *busy,
                    slices,
                    slice_loads,
                    keys,
                    key_loads,
                })
            }
        };
        Self { message: Some(payload) }
    }
}

impl TryFrom<wire::Message> for Message {
    type Error = Error;

    fn try_from(message: wire::Message) -> Result<Self, Error> {
        match message.message.context(UnknownTypeSnafu { what: "control message" })? {
            Payload::Heartbeat(heartbeat) => Ok(Self::Heartbeat {
                incarnation: heartbeat.incarnation,
                seq: heartbeat.seq,
                version: heartbeat.version,
                seen: heartbeat.seen,
            }),
            Payload::Ack(ack) => {
                Ok(Self::Ack { incarnation: ack.incarnation, seq: ack.seq, seen: ack.seen })
            }
            Payload::AskLapse(lapse) => Ok(Self::AskLapse {
                node: lapse.node.into(),
                incarnation: lapse.incarnation,
                version: lapse.version,
            }),
            Payload::Lapsed(lapse) => Ok(Self::Lapsed {
                node: lapse.node.into(),
                incarnation: lapse.incarnation,
                version: lapse.version,
            }),
            Payload::Pull(pull) => Ok(Self::Pull { seen: pull.seen }),
            Payload::Records(message) => Ok(Self::Records {
                after: message.after,
                seen: message.seen,
                records: known_records(message.records)?,
            }),
            Payload::ServerLost(report) => Ok(Self::ServerLost {
                service: report.service.into(),
                server: ServerId(report.server),
                term: report.term,
            }),
            Payload::ServerBack(report) => Ok(Self::ServerBack {
                service: report.service.into(),
                server: ServerId(report.server),
                term: report.term,
            }),
            Payload::ServerLeaving(report) => Ok(Self::ServerLeaving {
                service: report.service.into(),
                server: ServerId(report.server),
                term: report.term,
            }),
            Payload::ServerReleased(report) => Ok(Self::ServerReleased {
                service: report.service.into(),
                server: ServerId(report.server),
                term: report.term,
            }),
            Payload::SlicesReleased(released) => Ok(Self::SlicesReleased {
                service: released.service.into(),
                server: ServerId(released.server),
                term: released.term,
                slices: slice_pairs(released.slices, released.slice_epochs)?,
                keys: key_pairs(released.keys, released.key_epochs)?,
            }),
            Payload::Load(load) => Ok(Self::Load {
                service: load.service.into(),
                server: ServerId(load.server),
                busy: load.busy,
                slices: slice_pairs(load.slices, load.slice_loads)?,
                keys: key_pairs(load.keys, load.key_loads)?,
            }),
        }
    }
}

/// Builds the message that asks for or confirms the expiry of a node's lease.
fn lapse_message(node: &Name, incarnation: u64, version: u64) -> wire::Lapse {
    wire::Lapse { node: node.to_string(), incarnation, version }
}

fn server_report(service: &Name, server: ServerId, term: u64) -> wire::ServerReport {
    wire::ServerReport { service: service.to_string(), server: server.0, term }
}

/// Converts records, and skips those of a kind unknown to this version.
fn known_records(records: Vec<record::Record>) -> Result<Vec<Record>, Error> {
    let known = |record: &record::Record| record.kind() != record::Kind::Unspecified;
    records.into_iter().filter(known).map(Record::try_from).collect()
}

/// Splits pairs of a slice and its epoch or load into two columns.
fn slice_columns(pairs: &[(Slice, u64)]) -> (Vec<u32>, Vec<u64>) {
    pairs.iter().map(|(slice, number)| (slice.0, *number)).unzip()
}

/// Splits pairs of a key and its epoch or load into two columns.
fn key_columns(pairs: &[(Name, u64)]) -> (Vec<String>, Vec<u64>) {
    pairs.iter().map(|(key, number)| (key.to_string(), *number)).unzip()
}

/// Joins a column of slices with the column of their epochs or loads.
fn slice_pairs(slices: Vec<u32>, numbers: Vec<u64>) -> Result<Vec<(Slice, u64)>, Error> {
    ensure!(slices.len() == numbers.len(), BadFieldSnafu { field: "slices" });
    Ok(slices.into_iter().map(Slice).zip(numbers).collect())
}

/// Joins a column of keys with the column of their epochs or loads.
fn key_pairs(keys: Vec<String>, numbers: Vec<u64>) -> Result<Vec<(Name, u64)>, Error> {
    ensure!(keys.len() == numbers.len(), BadFieldSnafu { field: "keys" });
    Ok(keys.into_iter().map(Name::from).zip(numbers).collect())
}
