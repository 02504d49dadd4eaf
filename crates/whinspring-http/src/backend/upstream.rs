//! The body of a request to a backend server.

use {
    bytes::Bytes,
    http_body::{Body, Frame, SizeHint},
    std::{
        io,
        pin::Pin,
        task::{Context, Poll, ready},
    },
};

/// The part of a body that is still to come.
pub trait Rest: Unpin + 'static {
    /// Polls for the next bytes; `None` after the last.
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, Broken>>;

    /// Returns whether the last bytes have been handed out.
    fn is_done(&self) -> bool;
}

/// The rest of a body broke off.
#[derive(Debug, Clone, Copy)]
pub struct Broken;

/// The rest of bodies that always arrive whole.
#[derive(Debug)]
pub enum Nothing {}

impl Rest for Nothing {
    fn poll_next(&mut self, _: &mut Context<'_>) -> Poll<Result<Option<Bytes>, Broken>> {
        match *self {}
    }

    fn is_done(&self) -> bool {
        match *self {}
    }
}

/// The body of a request to a backend server.
#[derive(Debug)]
pub struct Upstream<R> {
    /// Bytes that have arrived already.
    first: Option<Bytes>,
    /// Bytes that are still to come.
    rest: Option<R>,
    /// Length of the whole body, if it is known.
    length: Option<u64>,
}

impl<R: Rest> Upstream<R> {
    /// Returns an empty body.
    pub fn empty() -> Self {
        Self::whole(Bytes::new())
    }

    /// Returns a body that has arrived already.
    pub fn whole(bytes: Bytes) -> Self {
        let length = Some(bytes.len() as u64);
        let first = (!bytes.is_empty()).then_some(bytes);
        Self { first, rest: None, length }
    }

    /// Returns a body whose rest is still to come.
    pub fn partial(first: Bytes, rest: R, length: Option<u64>) -> Self {
        let first = (!first.is_empty()).then_some(first);
        Self { first, rest: Some(rest), length }
    }
}

impl<R: Rest> Body for Upstream<R> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if let Some(first) = self.first.take() {
            self.length = self.length.map(|length| length.saturating_sub(first.len() as u64));
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let Some(rest) = &mut self.rest else { return Poll::Ready(None) };
        match ready!(rest.poll_next(cx)) {
            Ok(Some(bytes)) => {
                self.length = self.length.map(|length| length.saturating_sub(bytes.len() as u64));
                Poll::Ready(Some(Ok(Frame::data(bytes))))
            }
            Ok(None) => Poll::Ready(None),
            Err(_) => Poll::Ready(Some(Err(io::ErrorKind::ConnectionAborted.into()))),
        }
    }

    fn is_end_stream(&self) -> bool {
        let rest = self.rest.as_ref().is_none_or(R::is_done);
        self.first.is_none() && rest
    }

    fn size_hint(&self) -> SizeHint {
        self.length.map(SizeHint::with_exact).unwrap_or_default()
    }
}
