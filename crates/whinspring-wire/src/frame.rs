//! Length-delimited frames, each a `prost` message.

use {
    bytes::{BufMut, BytesMut},
    prost::Message,
    snafu::{ResultExt, Snafu, ensure},
    std::{io, marker::PhantomData},
    tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec},
};

/// Largest frame accepted, in bytes.
pub const MAX_FRAME_BYTES: usize = 256 << 10;

/// Bytes of a frame's length.
const LENGTH_BYTES: usize = 4;

/// Splits a byte stream into frames of message `M`, and joins frames into one.
#[derive(Debug)]
pub struct FrameCodec<M> {
    /// Splits by length.
    delimiter: LengthDelimitedCodec,
    /// Type of the messages.
    message: PhantomData<fn() -> M>,
}

impl<M> Default for FrameCodec<M> {
    fn default() -> Self {
        let delimiter = LengthDelimitedCodec::builder()
            .length_field_length(LENGTH_BYTES)
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self { delimiter, message: PhantomData }
    }
}

impl<M: Message + Default> Decoder for FrameCodec<M> {
    type Item = M;
    type Error = FrameError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<M>, FrameError> {
        let Some(frame) = self.delimiter.decode(src).context(StreamSnafu)? else {
            return Ok(None);
        };
        let message = M::decode(frame.freeze()).context(MalformedSnafu)?;
        Ok(Some(message))
    }
}

impl<M: Message> Encoder<&M> for FrameCodec<M> {
    type Error = FrameError;

    fn encode(&mut self, message: &M, dst: &mut BytesMut) -> Result<(), FrameError> {
        let len = message.encoded_len();
        ensure!(len <= MAX_FRAME_BYTES, TooLargeSnafu { len });
        dst.reserve(LENGTH_BYTES + len);
        dst.put_u32(len as u32);
        message.encode_raw(dst);
        Ok(())
    }
}

/// Why a frame could not be read or written.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// The stream failed, or announced a frame above [`MAX_FRAME_BYTES`].
    #[snafu(display("the connection failed: {source}; check that the peer is a whinspring node"))]
    Stream {
        /// The cause.
        source: io::Error,
    },
    /// The frame is no message.
    #[snafu(display("no frame of this protocol: {source}; check the peer's version"))]
    Malformed {
        /// The cause.
        source: prost::DecodeError,
    },
    /// The message is longer than a frame may be.
    #[snafu(display("a frame of {len} bytes exceeds {MAX_FRAME_BYTES}; send it in parts"))]
    TooLarge {
        /// Its length in bytes.
        len: usize,
    },
}

impl From<io::Error> for FrameError {
    fn from(source: io::Error) -> Self {
        Self::Stream { source }
    }
}
