//! Messages that are longer than a frame travel in parts.

use bytes::{Bytes, BytesMut};

/// Largest part in one frame, in bytes.
const PART_BYTES: usize = 128 << 10;

/// Returns the parts of a message, each with whether more follow.
pub fn parts(mut message: Bytes) -> impl Iterator<Item = (Bytes, bool)> {
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
pub struct Joiner(BytesMut);

/// What a part makes of the parts before it.
#[derive(Debug)]
pub enum Joined {
    /// More parts follow.
    Partial,
    /// The message is complete.
    Whole(Bytes),
    /// The message is longer than accepted.
    TooLong,
}

impl Joiner {
    /// Takes a part; the message may have at most `limit` bytes.
    pub fn join(&mut self, part: Bytes, more: bool, limit: usize) -> Joined {
        if self.0.len() + part.len() > limit {
            return Joined::TooLong;
        }
        if !more && self.0.is_empty() {
            return Joined::Whole(part);
        }
        self.0.extend_from_slice(&part);
        if more {
            return Joined::Partial;
        }
        Joined::Whole(std::mem::take(&mut self.0).freeze())
    }
}
