//! Responses to callers.

use {
    crate::{platform::Platform, relay::Reader, request::Attempt},
    bytes::Bytes,
    http::{
        HeaderValue, Response, StatusCode,
        header::{CONNECTION, CONTENT_LENGTH, RETRY_AFTER},
    },
    std::{
        io,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::time::{Sleep, sleep},
    whinspring::code::Code,
    whinspring_http::caller::Conn,
    xitca_http::body::{self, Frame, SizeHint},
};

pub enum Body<P: Platform> {
    /// A whole body, until it is taken.
    Full(Option<Bytes>),
    /// A body that is streamed from a server.
    Stream(Box<Stream<P>>),
    /// A body that is streamed to the node that the request came from, with its length if known.
    Relayed(Box<Reader>, Option<u64>),
}

/// A body that is streamed from a server, until its time ends or the caller has left.
pub struct Stream<P: Platform> {
    attempt: Attempt<P>,
    /// Length of the body, if known.
    length: Option<u64>,
    /// Ends when the body is broken off.
    end: Pin<Box<Sleep>>,
    caller: Rc<Conn>,
    /// Id of the request.
    id: HeaderValue,
}

impl<P: Platform> Stream<P> {
    /// Creates a body that is broken off after `limit`.
    pub fn new(attempt: Attempt<P>, length: Option<u64>, limit: Duration, id: HeaderValue) -> Self {
        Self { attempt, length, end: Box::pin(sleep(limit)), caller: Conn::current(), id }
    }

    /// Polls for the next bytes.
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        let gone = self.caller.poll_closed(cx).is_ready();
        if gone || self.end.as_mut().poll(cx).is_ready() {
            let id = self.id.to_str().unwrap_or_default();
            self.attempt.abort(id, if gone { "caller_gone" } else { "deadline" });
            return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
        }
        self.attempt.poll_next(cx)
    }
}

impl<P: Platform> body::Body for Body<P> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match &mut *self {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::Data(bytes)))),
            Self::Stream(stream) => {
                stream.poll_next(cx).map(|next| next.map(|bytes| bytes.map(Frame::Data)))
            }
            Self::Relayed(reader, _) => {
                reader.poll_next(cx).map(|next| next.map(|bytes| bytes.map(Frame::Data)))
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::Exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Self::Stream(stream) => stream.length.map_or(SizeHint::Unknown, SizeHint::Exact),
            Self::Relayed(_, length) => length.map_or(SizeHint::Unknown, SizeHint::Exact),
        }
    }
}

/// A response that the router itself decides.
#[derive(Debug, Clone, Copy)]
pub struct Rejection {
    /// Result code.
    pub code: Code,
    /// HTTP status, if it differs from that of the code.
    pub status: Option<u16>,
    /// Time for `Retry-After`.
    pub retry: Option<Duration>,
}

impl From<Code> for Rejection {
    fn from(code: Code) -> Self {
        Self { code, status: None, retry: None }
    }
}

impl Rejection {
    pub fn with_retry(code: Code, retry: Duration) -> Self {
        Self { code, status: None, retry: Some(retry) }
    }

    pub fn with_status(code: Code, status: u16) -> Self {
        Self { code, status: Some(status), retry: None }
    }

    pub fn into_response<P: Platform>(self) -> Response<Body<P>> {
        let text = Bytes::from_static(self.code.text().as_bytes());
        let mut response = Response::new(Body::Full(Some(text)));
        let status = self.status.unwrap_or(self.code.status());
        *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
        let headers = response.headers_mut();
        headers.insert(whinspring_http::headers::CODE, (self.code as u16).into());
        if let Some(retry) = self.retry {
            let text = format!("{:.3}", retry.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&text) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        response
    }
}

/// Removes the headers of a server's response that the connection to the caller sets itself.
pub fn strip_headers(headers: &mut http::HeaderMap) {
    whinspring_http::headers::strip_hop_by_hop(headers);
    headers.remove(CONTENT_LENGTH);
}

/// Sets `Connection: close`, so that the caller opens another connection.
pub fn set_connection_close<P: Platform>(response: &mut Response<Body<P>>) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}
