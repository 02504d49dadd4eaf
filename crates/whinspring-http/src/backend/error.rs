//! Errors of calls to backend servers.

use snafu::Snafu;

/// A call that got no complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum CallError {
    #[snafu(display("the server refused the connection; check that it is running"))]
    Refused,
    #[snafu(display("the server could not be reached; check the network path to it"))]
    Unreachable,
    /// The connection failed or the write deadline passed before a byte of the request was written.
    #[snafu(display("no byte of the request was sent in time; the request may be retried"))]
    Unsent,
    /// The connection failed after a byte of the request was written, or the response was too long or
    /// had no valid status.
    #[snafu(display("the request was sent without a complete response; it may have run"))]
    Sent,
}

impl CallError {
    /// Returns whether the request may have reached the server.
    pub fn is_sent(self) -> bool {
        self == Self::Sent
    }

    /// Returns whether no connection could be opened.
    pub fn is_connect_error(self) -> bool {
        matches!(self, Self::Refused | Self::Unreachable)
    }
}
