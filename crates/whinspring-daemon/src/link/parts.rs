//! Messages that are longer than a frame travel in parts.

use bytes::{Bytes, BytesMut};

/// Largest part in one frame, in bytes.
const PART_BYTES: usize = 128 << 10;

/// Returns the parts of a message, each with whether more follow.
pub fn split(mut message: Bytes) -> impl Iterator<Item = (Bytes, bool)> {
    let mut more = true;
    std::iter::from_fn(move || {
        if !more {
            return None;
        }
        let part = message.split_to(message.len().min(PART_BYTES));
        more = !message.is_empty();
        Some((part, more))
    })
}

/// Joins the parts of messages.
#[derive(Debug, Default)]
pub struct Reassembler(BytesMut);

/// What a part makes of the parts before it.
#[derive(Debug)]
pub enum Reassembled {
    /// More parts follow.
    Partial,
    /// The message is complete.
    Complete(Bytes),
    /// The message is longer than accepted.
    TooLarge,
}

impl Reassembler {
    /// Takes a part; the message may have at most `limit` bytes.
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
