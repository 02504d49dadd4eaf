//! Body of a request to a backend server.

use {
    bytes::Bytes,
    http_body::{Body, Frame, SizeHint},
    std::{
        io,
        pin::Pin,
        task::{Context, Poll, ready},
    },
};

/// The part of a body that has not arrived yet.
pub trait BodyStream: Unpin + 'static {
    /// Polls for the next chunk; `None` after the last one.
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Result<Option<Bytes>, BodyAborted>>;

    /// Returns whether the last chunk has been returned.
    fn is_done(&self) -> bool;
}

/// The body ended before it was complete.
#[derive(Debug, Clone, Copy)]
pub struct BodyAborted;

/// Stream type of bodies that are always available completely.
#[derive(Debug)]
pub enum NoStream {}

impl BodyStream for NoStream {
    fn poll_next(&mut self, _: &mut Context<'_>) -> Poll<Result<Option<Bytes>, BodyAborted>> {
        match *self {}
    }

    fn is_done(&self) -> bool {
        match *self {}
    }
}

/// Body of a request to a backend server.
#[derive(Debug)]
pub struct RequestBody<R> {
    /// Data that is already available.
    first: Option<Bytes>,
    /// Data that follows.
    stream: Option<R>,
    /// Remaining length in bytes, if known.
    length: Option<u64>,
}

impl<R: BodyStream> RequestBody<R> {
    pub fn empty() -> Self {
        Self::from_bytes(Bytes::new())
    }

    /// Creates a body from data that is available completely.
    pub fn from_bytes(bytes: Bytes) -> Self {
        let length = Some(bytes.len() as u64);
        let first = (!bytes.is_empty()).then_some(bytes);
        Self { first, stream: None, length }
    }

    /// Creates a body of `first` and the data of `stream`, with the total `length` if it is known.
    pub fn streaming(first: Bytes, stream: R, length: Option<u64>) -> Self {
        let first = (!first.is_empty()).then_some(first);
        Self { first, stream: Some(stream), length }
    }
}

impl<R: BodyStream> Body for RequestBody<R> {
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
        let Some(stream) = &mut self.stream else { return Poll::Ready(None) };
        match ready!(stream.poll_next(cx)) {
            Ok(Some(bytes)) => {
                self.length = self.length.map(|length| length.saturating_sub(bytes.len() as u64));
                Poll::Ready(Some(Ok(Frame::data(bytes))))
            }
            Ok(None) => Poll::Ready(None),
            Err(_) => Poll::Ready(Some(Err(io::ErrorKind::ConnectionAborted.into()))),
        }
    }

    fn is_end_stream(&self) -> bool {
        let stream = self.stream.as_ref().is_none_or(R::is_done);
        self.first.is_none() && stream
    }

    fn size_hint(&self) -> SizeHint {
        self.length.map(SizeHint::with_exact).unwrap_or_default()
    }
}
