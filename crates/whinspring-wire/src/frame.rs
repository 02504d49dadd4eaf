//! Codec for length-delimited frames that each hold one `prost` message.

use {
    bytes::{BufMut, BytesMut},
    prost::Message,
    snafu::{ResultExt, Snafu, ensure},
    std::{io, marker::PhantomData},
    tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec},
};

/// Largest frame accepted, in bytes.
pub const MAX_FRAME_BYTES: usize = 256 << 10;

/// Size of the length prefix, in bytes.
const LENGTH_BYTES: usize = 4;

/// Decodes and encodes frames that each hold a message `M`.
#[derive(Debug)]
pub struct FrameCodec<M> {
    /// Splits the byte stream by length prefix.
    delimiter: LengthDelimitedCodec,
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

/// Error of reading or writing a frame.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// The stream failed, or a length prefix exceeds [`MAX_FRAME_BYTES`].
    #[snafu(display("the connection failed: {source}; check that the peer is a whinspring node"))]
    Stream { source: io::Error },
    /// The frame does not decode as a message.
    #[snafu(display("malformed frame: {source}; check the peer's version"))]
    Malformed { source: prost::DecodeError },
    /// The encoded message exceeds [`MAX_FRAME_BYTES`].
    #[snafu(display(
        "frame of {len} bytes exceeds the limit of {MAX_FRAME_BYTES}; send the message in parts"
    ))]
    TooLarge {
        /// Encoded length, in bytes.
        len: usize,
    },
}

impl From<io::Error> for FrameError {
    fn from(source: io::Error) -> Self {
        Self::Stream { source }
    }
}
