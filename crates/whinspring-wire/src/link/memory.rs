//! Conversions between request records of a former holder and their wire types.

use {
    super::{BadFrame, BadFrameSnafu, Handover, wire},
    snafu::OptionExt,
    whinspring::{
        holder::{DedupEntry, DedupState, RequestId, Unit},
        name::{ServerId, Slice},
        time::Wall,
    },
};

impl From<Handover> for wire::HandOver {
    fn from(handover: Handover) -> Self {
        Self {
            service: handover.service.into(),
            server: handover.server.0,
            memories: handover.memories.into_iter().map(wire::UnitMemory::from).collect(),
        }
    }
}

impl TryFrom<wire::HandOver> for Handover {
    type Error = BadFrame;

    fn try_from(handover: wire::HandOver) -> Result<Self, BadFrame> {
        let states = handover.memories.into_iter().map(DedupState::try_from);
        Ok(Self {
            service: handover.service.into(),
            server: ServerId(handover.server),
            memories: states.collect::<Result<_, _>>()?,
        })
    }
}

impl From<DedupState> for wire::UnitMemory {
    fn from(state: DedupState) -> Self {
        let unit = match state.unit {
            Unit::Slice(slice) => wire::unit_memory::Unit::Slice(slice.0),
            Unit::Key(key) => wire::unit_memory::Unit::Key(key.into()),
        };
        Self {
            unit: Some(unit),
            epoch: state.epoch,
            term: state.term,
            last: state.epoch_closed,
            since_ms: state.since.0,
            entries: state.entries.into_iter().map(wire::Remembered::from).collect(),
        }
    }
}

impl TryFrom<wire::UnitMemory> for DedupState {
    type Error = BadFrame;

    fn try_from(state: wire::UnitMemory) -> Result<Self, BadFrame> {
        let unit = match state.unit.context(BadFrameSnafu { field: "unit" })? {
            wire::unit_memory::Unit::Slice(slice) => Unit::Slice(Slice(slice)),
            wire::unit_memory::Unit::Key(key) => Unit::Key(key.into()),
        };
        Ok(Self {
            unit,
            epoch: state.epoch,
            term: state.term,
            epoch_closed: state.last,
            since: Wall(state.since_ms),
            entries: state.entries.into_iter().map(DedupEntry::from).collect(),
        })
    }
}

impl From<DedupEntry> for wire::Remembered {
    fn from(entry: DedupEntry) -> Self {
        Self {
            key: entry.id.key.into(),
            customer: entry.id.customer.into(),
            id: entry.id.id.into(),
            print: entry.fingerprint,
            at_ms: entry.at.0,
            answer: entry.answer,
        }
    }
}

impl From<wire::Remembered> for DedupEntry {
    fn from(entry: wire::Remembered) -> Self {
        let id = RequestId {
            key: entry.key.into(),
            customer: entry.customer.into(),
            id: entry.id.into(),
        };
        Self { id, fingerprint: entry.print, at: Wall(entry.at_ms), answer: entry.answer }
    }
}
