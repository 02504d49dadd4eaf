//! Answers to callers.

use {
    crate::{flight::Sent, platform::Platform},
    bytes::Bytes,
    http::{
        HeaderValue, Response, StatusCode,
        header::{CONNECTION, CONTENT_LENGTH, RETRY_AFTER},
    },
    std::{
        io,
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
    whinspring::code::Code,
    xitca_http::body::{self, Frame, SizeHint},
};

/// The body of an answer.
pub enum Body<P: Platform> {
    /// All of it.
    Whole(Option<Bytes>),
    /// What is still to come from a server.
    Stream(Box<Sent<P>>, Option<u64>),
}

impl<P: Platform> body::Body for Body<P> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::Data(bytes)))),
            Self::Stream(sent, _) => {
                sent.poll_next(cx).map(|next| next.map(|bytes| bytes.map(Frame::Data)))
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::Exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Self::Stream(_, Some(length)) => SizeHint::Exact(*length),
            Self::Stream(_, None) => SizeHint::Unknown,
        }
    }
}

/// An answer of the router's own: a result, and when the caller may come back.
#[derive(Debug, Clone, Copy)]
pub struct Refusal {
    /// The result.
    pub code: Code,
    /// HTTP status, if it is not that of the result.
    pub status: Option<u16>,
    /// Time until the caller may come back.
    pub retry: Option<Duration>,
}

impl From<Code> for Refusal {
    fn from(code: Code) -> Self {
        Self { code, status: None, retry: None }
    }
}

impl Refusal {
    /// Returns a refusal with the time until the caller may come back.
    pub fn later(code: Code, retry: Duration) -> Self {
        Self { code, status: None, retry: Some(retry) }
    }

    /// Returns a refusal under another HTTP status.
    pub fn with_status(code: Code, status: u16) -> Self {
        Self { code, status: Some(status), retry: None }
    }

    /// Builds the answer.
    pub fn answer<P: Platform>(self) -> Response<Body<P>> {
        let text = Bytes::from_static(self.code.text().as_bytes());
        let mut response = Response::new(Body::Whole(Some(text)));
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

/// Removes from a server's answer what the connection to the caller sets itself.
pub fn clean(headers: &mut http::HeaderMap) {
    whinspring_http::headers::strip_hop_by_hop(headers);
    headers.remove(CONTENT_LENGTH);
}

/// Asks the caller to open another connection.
pub fn close<P: Platform>(response: &mut Response<Body<P>>) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}
