//! Errors of calls to the platform.

use {
    hyper::StatusCode,
    snafu::Snafu,
    whinspring::{name::Name, record::Kind},
};

/// Error of a call to the platform.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The platform did not respond within the timeout.
    #[snafu(display("the platform did not respond within {ms} ms; retry when it is available"))]
    Timeout { ms: u128 },
    /// The connection could not be opened or was lost.
    #[snafu(display("the platform is unreachable; check the `platform` setting and the network"))]
    Unreachable { source: hyper_util::client::legacy::Error },
    /// The connection was lost before the response was complete.
    #[snafu(display("the platform's response was truncated; retry the call"))]
    Truncated { source: hyper::Error },
    /// The platform does not retain the changes after the revision of a watch.
    #[snafu(display(
        "the platform does not retain the changes after revision {after}; list all objects instead"
    ))]
    Gone {
        /// Revision that the watch started from.
        after: u64,
    },
    /// The value exceeds the platform's limit; nothing was written.
    #[snafu(display("value of {bytes} bytes exceeds the platform's limit; split the record"))]
    TooLarge {
        /// Size of the value, in bytes.
        bytes: usize,
    },
    /// The status is not one that the object API defines for this call; nothing was written.
    #[snafu(display(
        "unexpected status {status} from the platform; check that `platform` names its object API"
    ))]
    Status { status: StatusCode },
    /// A response header is missing or not a number.
    #[snafu(display(
        "the platform's response has no valid `{header}` header; check the platform's version"
    ))]
    BadHeader { header: &'static str },
    /// The response body is not the JSON that the object API defines.
    #[snafu(display(
        "the platform's response is not valid JSON of the object API; check the platform's version"
    ))]
    BadBody { source: serde_json::Error },
    /// The value of an object is not base64.
    #[snafu(display("value of {} {name} is not base64; check the object", kind.as_str()))]
    BadValue { kind: Kind, name: Name, source: base64::DecodeError },
    /// The address of the platform or the name of the object does not form a valid URI.
    #[snafu(display("the platform's address and the object's name do not form a valid URI"))]
    BadUri { source: hyper::http::Error },
}
