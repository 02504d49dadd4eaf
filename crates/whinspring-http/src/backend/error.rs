//! How a call to a backend server failed.

use snafu::Snafu;

/// A call that got no whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum CallError {
    /// The server refused the connection.
    #[snafu(display("the server refused the connection; check that it runs"))]
    Refused,
    /// The server could not be reached.
    #[snafu(display("the server could not be reached; check the network to it"))]
    Unreachable,
    /// The connection failed, or the lease lapsed, before a byte of the request was written.
    #[snafu(display("no byte of the request was written; it may be sent again"))]
    Unsent,
    /// The connection failed after a byte of the request was written.
    #[snafu(display("the connection failed after the request was sent; it may have run"))]
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
