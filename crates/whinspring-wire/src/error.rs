//! What can be wrong with bytes from the platform or from another node.

use snafu::Snafu;

/// Bytes that are no valid message.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The bytes are not an encoding of the message.
    #[snafu(display("not a message of this kind: {source}; check who writes to this place"))]
    Malformed {
        /// What the decoder met.
        source: prost::DecodeError,
    },
    /// The message is larger than accepted.
    #[snafu(display("{bytes} bytes exceed the limit of {limit}; split what is sent"))]
    TooLarge {
        /// Size of the message.
        bytes: usize,
        /// Largest size accepted.
        limit: usize,
    },
    /// The message or one of its choices is of a type that this version does not know.
    #[snafu(display("unknown {what}; upgrade this node to the version of the sender"))]
    UnknownType {
        /// What has the unknown type.
        what: &'static str,
    },
    /// A field is missing, out of range, or contradicts another one.
    #[snafu(display("the field {field} is missing or out of range; check the sender's version"))]
    BadField {
        /// Name of the field.
        field: &'static str,
    },
}
