//! Conversions between request records of a former holder and their wire types.

use {
    super::{BadFrame, BadFrameSnafu, HandOver, wire},
    snafu::OptionExt,
    whinspring::{
        holder::{DedupEntry, DedupState, RequestId, Unit},
        name::{ServerId, Slice},
        time::Wall,
    },
};

impl From<HandOver> for wire::HandOver {
    fn from(handover: HandOver) -> Self {
        Self {
            service: handover.service.into(),
            server: handover.server.0,
            memories: handover.memories.into_iter().map(wire::UnitMemory::from).collect(),
        }
    }
}

impl TryFrom<wire::HandOver> for HandOver {
    type Error = BadFrame;

    fn try_from(handover: wire::HandOver) -> Result<Self, BadFrame> {
        let memories = handover.memories.into_iter().map(DedupState::try_from);
        Ok(Self {
            service: handover.service.into(),
            server: ServerId(handover.server),
            memories: memories.collect::<Result<_, _>>()?,
        })
    }
}

impl From<DedupState> for wire::UnitMemory {
    fn from(memory: DedupState) -> Self {
        let unit = match memory.unit {
            Unit::Slice(slice) => wire::unit_memory::Unit::Slice(slice.0),
            Unit::Key(key) => wire::unit_memory::Unit::Key(key.into()),
        };
        Self {
            unit: Some(unit),
            epoch: memory.epoch,
            term: memory.term,
            last: memory.epoch_closed,
            since_ms: memory.since.0,
            entries: memory.entries.into_iter().map(wire::Remembered::from).collect(),
        }
    }
}

impl TryFrom<wire::UnitMemory> for DedupState {
    type Error = BadFrame;

    fn try_from(memory: wire::UnitMemory) -> Result<Self, BadFrame> {
        let unit = match memory.unit.context(BadFrameSnafu { field: "unit" })? {
            wire::unit_memory::Unit::Slice(slice) => Unit::Slice(Slice(slice)),
            wire::unit_memory::Unit::Key(key) => Unit::Key(key.into()),
        };
        Ok(Self {
            unit,
            epoch: memory.epoch,
            term: memory.term,
            epoch_closed: memory.last,
            since: Wall(memory.since_ms),
            entries: memory.entries.into_iter().map(DedupEntry::from).collect(),
        })
    }
}

impl From<DedupEntry> for wire::Remembered {
    fn from(remembered: DedupEntry) -> Self {
        Self {
            key: remembered.id.key.into(),
            customer: remembered.id.customer.into(),
            id: remembered.id.id.into(),
            print: remembered.fingerprint,
            at_ms: remembered.at.0,
            answer: remembered.answer,
        }
    }
}

impl From<wire::Remembered> for DedupEntry {
    fn from(remembered: wire::Remembered) -> Self {
        let id = RequestId {
            key: remembered.key.into(),
            customer: remembered.customer.into(),
            id: remembered.id.into(),
        };
        Self {
            id,
            fingerprint: remembered.print,
            at: Wall(remembered.at_ms),
            answer: remembered.answer,
        }
    }
}
