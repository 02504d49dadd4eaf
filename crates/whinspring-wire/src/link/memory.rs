//! Conversions of what a former holder remembers.

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
    fn from(hand: HandOver) -> Self {
        Self {
            service: hand.service.into(),
            server: hand.server.0,
            memories: hand.memories.into_iter().map(wire::UnitMemory::from).collect(),
        }
    }
}

impl TryFrom<wire::HandOver> for HandOver {
    type Error = BadFrame;

    fn try_from(hand: wire::HandOver) -> Result<Self, BadFrame> {
        let memories = hand.memories.into_iter().map(DedupState::try_from);
        Ok(Self {
            service: hand.service.into(),
            server: ServerId(hand.server),
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
    fn from(known: DedupEntry) -> Self {
        Self {
            key: known.id.key.into(),
            customer: known.id.customer.into(),
            id: known.id.id.into(),
            print: known.fingerprint,
            at_ms: known.at.0,
            answer: known.answer,
        }
    }
}

impl From<wire::Remembered> for DedupEntry {
    fn from(known: wire::Remembered) -> Self {
        let id = RequestId {
            key: known.key.into(),
            customer: known.customer.into(),
            id: known.id.into(),
        };
        Self { id, fingerprint: known.print, at: Wall(known.at_ms), answer: known.answer }
    }
}
