//! Large bodies whose every byte the receiver can check.
//!
//! Each byte is determined by the path and the offset, so neither side has to keep the body.

use {
    bytes::Bytes,
    http_body::{Body, Frame, SizeHint},
    std::{
        convert::Infallible,
        fmt::{self, Debug, Formatter},
        pin::Pin,
        task::{Context, Poll},
    },
    twox_hash::XxHash3_64,
};

/// Size of a frame of the body.
const FRAME_BYTES: u64 = 64 * 1024;

/// Period of the pattern in bytes: a prime, so that a shift by whole frames is detected.
const PERIOD: usize = 65_521;

/// The pattern of a path: one period, repeated so that any frame is a contiguous slice.
#[derive(Debug, Clone)]
pub struct ByteSource {
    repeated: Bytes,
}

impl ByteSource {
    pub fn new(path: &str) -> Self {
        let mut seed = XxHash3_64::oneshot(path.as_bytes());
        let mut period = Vec::with_capacity(PERIOD * 3);
        while period.len() < PERIOD {
            seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            period.extend_from_slice(&(seed >> 16).to_le_bytes()[..4]);
        }
        period.truncate(PERIOD);
        period.extend_from_within(..);
        period.extend_from_within(..PERIOD);
        Self { repeated: period.into() }
    }

    /// Returns `len` bytes of the pattern at `offset`; `len` is at most [`FRAME_BYTES`].
    fn frame(&self, offset: u64, len: u64) -> Bytes {
        let start = (offset % PERIOD as u64) as usize;
        self.repeated.slice(start..start + len as usize)
    }

    /// Returns the first `len` bytes of the pattern as frames.
    pub fn frames(&self, len: u64) -> impl Iterator<Item = Bytes> {
        let offsets = (0..len).step_by(FRAME_BYTES as usize);
        offsets.map(move |offset| self.frame(offset, FRAME_BYTES.min(len - offset)))
    }

    /// Returns whether `bytes` equal the pattern at `offset`.
    pub fn matches(&self, offset: u64, bytes: &[u8]) -> bool {
        let mut at = offset;
        for part in bytes.chunks(FRAME_BYTES as usize) {
            if self.frame(at, part.len() as u64) != part {
                return false;
            }
            at += part.len() as u64;
        }
        true
    }
}

/// An HTTP body that consists of the pattern of a path.
pub struct Pattern {
    source: ByteSource,
    sent: u64,
    len: u64,
    on_complete: Option<Box<dyn FnOnce() + Send + Sync>>,
}

impl Pattern {
    /// Returns a body of `len` bytes; `on_complete` is called once the whole body has been polled.
    pub fn new(path: &str, len: u64, on_complete: impl FnOnce() + Send + Sync + 'static) -> Self {
        let mut body = Self {
            source: ByteSource::new(path),
            sent: 0,
            len,
            on_complete: Some(Box::new(on_complete)),
        };
        body.notify_if_complete();
        body
    }

    /// Calls `on_complete` once, after the last frame.
    fn notify_if_complete(&mut self) {
        if self.sent < self.len {
            return;
        }
        if let Some(on_complete) = self.on_complete.take() {
            on_complete();
        }
    }
}

impl Debug for Pattern {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pattern").field("sent", &self.sent).field("len", &self.len).finish()
    }
}

impl Body for Pattern {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let len = FRAME_BYTES.min(self.len - self.sent);
        if len == 0 {
            return Poll::Ready(None);
        }
        let frame = self.source.frame(self.sent, len);
        self.sent += len;
        self.notify_if_complete();
        Poll::Ready(Some(Ok(Frame::data(frame))))
    }

    fn is_end_stream(&self) -> bool {
        self.sent == self.len
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.len - self.sent)
    }
}
