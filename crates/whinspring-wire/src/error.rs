//! Decoding errors of data from the platform or from another node.

use snafu::Snafu;

/// Error of decoding a message.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The bytes are not an encoding of the message.
    #[snafu(display("malformed message: {source}; check which program wrote it"))]
    Malformed { source: prost::DecodeError },
    /// The message is larger than accepted.
    #[snafu(display("message of {bytes} bytes exceeds the limit of {limit}; reduce or split it"))]
    TooLarge {
        /// Size of the message, in bytes.
        bytes: usize,
        /// Maximum size, in bytes.
        limit: usize,
    },
    /// The message, or one of its `oneof` or enum fields, has a type unknown to this version.
    #[snafu(display("unknown {what}; upgrade this node to the version of the sender"))]
    UnknownType {
        /// Part of the message that has the unknown type.
        what: &'static str,
    },
    /// A field is missing, out of range, or inconsistent with another field.
    #[snafu(display("field {field} is missing or out of range; check the sender's version"))]
    BadField { field: &'static str },
}
