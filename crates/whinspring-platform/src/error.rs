//! Errors of calls to the platform, each with a hint on what to do.

use {
    hyper::StatusCode,
    snafu::Snafu,
    whinspring::{name::Name, record::Kind},
};

/// Why a call to the platform failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// No answer within the timeout.
    #[snafu(display("the platform did not answer within {ms} ms; try again when it is back"))]
    Timeout {
        /// The timeout, in milliseconds.
        ms: u128,
    },
    /// The connection failed or was cut.
    #[snafu(display(
        "the platform cannot be reached; check the `platform` setting and the network"
    ))]
    Unreachable {
        /// What the HTTP client reported.
        source: hyper_util::client::legacy::Error,
    },
    /// The answer was cut before it was whole.
    #[snafu(display("the platform's answer was cut; try again"))]
    Truncated {
        /// What the HTTP client reported.
        source: hyper::Error,
    },
    /// The revision of a watch is too old.
    #[snafu(display(
        "the platform no longer has the changes since revision {after}; list instead"
    ))]
    Gone {
        /// Revision that was asked for.
        after: u64,
    },
    /// A value exceeds the platform's limit; nothing was written.
    #[snafu(display("the value of {bytes} bytes exceeds the platform's limit; split the record"))]
    TooLarge {
        /// Size of the value.
        bytes: usize,
    },
    /// A status that the object API does not give for this call; nothing was written.
    #[snafu(display("the platform answered {status}; check that `platform` is its object API"))]
    Status {
        /// The status.
        status: StatusCode,
    },
    /// A header of the answer is missing or not a number.
    #[snafu(display("the platform's answer lacks a valid `{header}`; check its version"))]
    BadHeader {
        /// Name of the header.
        header: &'static str,
    },
    /// A body is not the JSON that the object API describes.
    #[snafu(display("the platform's answer is not understood; check its version"))]
    BadBody {
        /// What the JSON reader reported.
        source: serde_json::Error,
    },
    /// A value is not base64.
    #[snafu(display("the value of {} {name} is not base64; check the object", kind.as_str()))]
    BadValue {
        /// Kind of the object.
        kind: Kind,
        /// Name of the object.
        name: Name,
        /// What the decoder reported.
        source: base64::DecodeError,
    },
    /// The address of the platform makes no valid URI.
    #[snafu(display("no valid request can be made of this address or name"))]
    BadUri {
        /// What the URI builder reported.
        source: hyper::http::Error,
    },
}
