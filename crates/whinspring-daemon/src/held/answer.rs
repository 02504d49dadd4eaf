//! Recorded responses of non-idempotent requests.

use {
    bytes::Bytes,
    prost::Message,
    whinspring::code::Code,
    whinspring_wire::link::{Head, wire},
};

/// Largest body of a recorded response.
pub const MAX_RECORD_BYTES: usize = 64 << 10;

/// Encodes a complete response.
pub fn encode_response(head: &Head) -> Bytes {
    wire::Head::from(head.clone()).encode_to_vec().into()
}

/// Decodes a recorded response; `None` if it is malformed.
pub fn decode_response(record: &[u8]) -> Option<Head> {
    let head = wire::Head::decode(record).ok()?;
    let head = Head::try_from(head).ok()?;
    Some(Head { code: Code::Replayed, ..head })
}
