//! Encoded messages, and the compression of long ones.
//!
//! Load pattern: operators add hundreds of routes at a time, or a node that has started needs all
//! servers and owners, and a megabyte has to reach every node of a failure domain within two seconds
//! over network links of 10 Mbit/s that carry requests as well. A long message is therefore sent
//! compressed to each node that accepts it; older nodes get it as it is.

use {
    crate::message::{Body, Envelope, Packed},
    bytes::Bytes,
    flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder},
    prost::Message,
    std::{
        cell::OnceCell,
        io::{self, Read, Write},
    },
};

/// Length of a message from which it is compressed.
const MIN_PACKED_BYTES: usize = 4 << 10;

/// Maximum length of a message, compressed or not.
pub const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// An encoded message.
#[derive(Debug)]
pub struct Frame {
    plain: Bytes,
    /// The same message compressed, once it has been needed; `None` if that makes it no shorter.
    packed: OnceCell<Option<Bytes>>,
}

impl Frame {
    pub fn new(body: Body) -> Self {
        Self { plain: encode(body), packed: OnceCell::new() }
    }

    /// Returns the bytes to send to a node, compressed if it accepts that.
    pub fn bytes(&self, unpacks: bool) -> &Bytes {
        if !unpacks || self.plain.len() < MIN_PACKED_BYTES {
            return &self.plain;
        }
        let packed = self.packed.get_or_init(|| pack(&self.plain));
        packed.as_ref().unwrap_or(&self.plain)
    }

    /// Returns the uncompressed message with an echo. Protobuf allows the fields of a message in any
    /// order.
    pub fn with_echo(&self, echo: u64) -> Bytes {
        let tail = Envelope { body: None, echo };
        let mut bytes = Vec::with_capacity(self.plain.len() + tail.encoded_len());
        bytes.extend_from_slice(&self.plain);
        bytes.extend(tail.encode_to_vec());
        bytes.into()
    }
}

fn encode(body: Body) -> Bytes {
    Envelope { body: Some(body), echo: 0 }.encode_to_vec().into()
}

/// Returns a message that carries `plain` compressed, or `None` if that is no shorter.
fn pack(plain: &[u8]) -> Option<Bytes> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(plain).ok()?;
    let packed = encode(Body::Packed(Packed { deflated: encoder.finish().ok()? }));
    (packed.len() < plain.len()).then_some(packed)
}

/// Returns the message in a compressed one.
///
/// # Errors
///
/// Fails if it is malformed or longer than [`MAX_MESSAGE_BYTES`].
pub fn unpack(packed: &Packed) -> io::Result<Envelope> {
    let mut plain = Vec::new();
    let mut decoder = DeflateDecoder::new(&packed.deflated[..]).take(MAX_MESSAGE_BYTES as u64 + 1);
    decoder.read_to_end(&mut plain)?;
    if plain.len() > MAX_MESSAGE_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    Envelope::decode(&plain[..]).map_err(io::Error::from)
}
