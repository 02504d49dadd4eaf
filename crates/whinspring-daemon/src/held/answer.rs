//! Recorded answers of unrepeatable requests.

use {
    bytes::Bytes,
    prost::Message,
    whinspring::code::Code,
    whinspring_wire::link::{Head, wire},
};

/// Largest answer that is recorded, in bytes of its body.
pub const MAX_RECORD_BYTES: usize = 64 << 10;

/// Encodes a whole answer.
pub fn encode_answer(head: &Head) -> Bytes {
    wire::Head::from(head.clone()).encode_to_vec().into()
}

/// Decodes a recorded answer.
pub fn decode_answer(record: &[u8]) -> Option<Head> {
    let head = wire::Head::decode(record).ok()?;
    let head = Head::try_from(head).ok()?;
    Some(Head { code: Code::Replayed, ..head })
}
