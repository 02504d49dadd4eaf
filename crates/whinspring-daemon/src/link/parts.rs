//! Splits messages that are longer than a frame into parts and reassembles them.

use bytes::{Bytes, BytesMut};

const MAX_PART_BYTES: usize = 128 << 10;

/// Splits a message into parts, each with a flag that tells whether more parts follow.
///
/// An empty message yields one empty part.
pub fn split(mut message: Bytes) -> impl Iterator<Item = (Bytes, bool)> {
    let mut more = true;
    std::iter::from_fn(move || {
        if !more {
            return None;
        }
        let part = message.split_to(message.len().min(MAX_PART_BYTES));
        more = !message.is_empty();
        Some((part, more))
    })
}

/// Reassembles messages from their parts.
#[derive(Debug, Default)]
pub struct Reassembler(BytesMut);

/// Result of adding a part.
#[derive(Debug)]
pub enum Reassembled {
    Partial,
    Complete(Bytes),
    /// The message exceeds the size limit.
    TooLarge,
}

impl Reassembler {
    /// Adds a part of a message of at most `limit` bytes.
    pub fn join(&mut self, part: Bytes, more: bool, limit: usize) -> Reassembled {
        if self.0.len() + part.len() > limit {
            return Reassembled::TooLarge;
        }
        if !more && self.0.is_empty() {
            return Reassembled::Complete(part);
        }
        self.0.extend_from_slice(&part);
        if more {
            return Reassembled::Partial;
        }
        Reassembled::Complete(std::mem::take(&mut self.0).freeze())
    }
}
