//! Connections to backend servers with streamed request bodies.

pub use whinspring_http::backend::CallError;

use {
    crate::exchange::Upload,
    bytes::Bytes,
    std::task::{Context, Poll},
    whinspring_http::backend::{self, BodyAborted, BodyStream},
};

/// Connection pool of one backend server.
pub type Backend = backend::ConnectionPool<Upload>;

/// One connection to a backend server.
pub type Conn = backend::Conn<Upload>;

/// The body of a request to a backend server.
pub type Upstream = backend::RequestBody<Upload>;

impl BodyStream for Upload {
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, BodyAborted>> {
        Upload::poll_next(self, cx).map_err(|_| BodyAborted)
    }

    fn is_done(&self) -> bool {
        Upload::is_done(self)
    }
}
