//! HTTP responses to callers.

use {
    crate::{
        exchange::{ResponsePart, ResponseStream},
        headers::{CLASS, CODE, RETRY_MS},
    },
    bytes::Bytes,
    fastrace::Span,
    http::{
        HeaderValue, Response, StatusCode,
        header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER},
    },
    serde::Serialize,
    std::{
        io,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, ready},
    },
    whinspring::{code::Code, request::Refusal},
    whinspring_http::caller::{Conn, RequestGuard},
    whinspring_wire::link::Head,
    xitca_http::body::{self, Frame, SizeHint},
};

/// JSON body of a refusal.
#[derive(Debug, Serialize)]
struct RefusalBody {
    /// Result code.
    code: u16,
    /// Class of the result code.
    class: &'static str,
    /// Description of the result code.
    text: &'static str,
}

/// Builds the response to the caller from a server's response.
pub fn build_response(
    head: Head,
    rest: ResponseStream,
    span: Span,
    conn: Rc<Conn>,
) -> Response<Body> {
    let bodiless = matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let size = match head.length {
        _ if bodiless => SizeHint::None,
        Some(length) => SizeHint::Exact(length),
        None => SizeHint::Unknown,
    };
    let rest = (!head.whole).then(|| Rest { response: rest, conn, _span: span });
    let first = (!head.body.is_empty()).then_some(head.body);
    let mut response = Response::new(Body { first, rest, size, guard: None });
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    response
}

/// Builds the response for a refusal.
pub fn build_refusal(refusal: Refusal) -> Response<Body> {
    let Refusal { code, retry_ms } = refusal;
    let body = RefusalBody { code: code as u16, class: code.class().as_str(), text: code.text() };
    let body = serde_json::to_vec(&body).expect("numbers and strings are valid JSON");
    let size = SizeHint::Exact(body.len() as u64);
    let mut response =
        Response::new(Body { first: Some(body.into()), rest: None, size, guard: None });
    let status = StatusCode::from_u16(code.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if retry_ms > 0 {
        headers.insert(RETRY_AFTER, retry_ms.div_ceil(1_000).into());
        headers.insert(RETRY_MS, retry_ms.into());
    }
    response
}

/// Builds the response to a request whose head is too large. The connection is to be closed.
pub fn build_oversized() -> Response<Body> {
    let mut response = build_refusal(Refusal { code: Code::BadRequest, retry_ms: 0 });
    *response.status_mut() = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
    response
}

/// Sets the result headers; `close` asks the caller to close the connection.
pub fn set_result(response: &mut Response<Body>, code: Code, close: bool) {
    let headers = response.headers_mut();
    headers.insert(CODE, (code as u16).into());
    headers.insert(CLASS, HeaderValue::from_static(code.class().as_str()));
    if close {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
}

/// Body of a response.
pub struct Body {
    /// Bytes already received.
    first: Option<Bytes>,
    /// Remainder still to be received.
    rest: Option<Rest>,
    /// Length of the complete body, if known.
    size: SizeHint,
    /// Marks the connection as in use until the body has been sent.
    guard: Option<RequestGuard>,
}

/// Remainder of a body that is still being received.
struct Rest {
    response: ResponseStream,
    /// The caller's connection.
    conn: Rc<Conn>,
    /// The entry's span, open until the body is complete.
    _span: Span,
}

impl Body {
    /// Sets the guard that marks the connection as in use until the body has been sent.
    pub fn set_guard(&mut self, guard: RequestGuard) {
        self.guard = Some(guard);
    }
}

impl body::Body for Body {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::Data(first))));
        }
        let Some(rest) = &mut self.rest else { return Poll::Ready(None) };
        match ready!(rest.poll_next(cx)) {
            Ok((bytes, last)) => {
                if last {
                    self.rest = None;
                }
                if last && bytes.is_empty() {
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Ok(Frame::Data(bytes))))
            }
            Err(error) => {
                self.rest = None;
                Poll::Ready(Some(Err(error)))
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.size
    }
}

impl Rest {
    /// Polls for the next chunk and whether it is the last.
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<(Bytes, bool)>> {
        match self.response.poll_next(cx) {
            Poll::Ready(ResponsePart::Data { bytes, last }) => Poll::Ready(Ok((bytes, last))),
            Poll::Ready(_) => Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into())),
            Poll::Pending => {
                ready!(self.conn.poll_closed(cx));
                Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
            }
        }
    }
}
