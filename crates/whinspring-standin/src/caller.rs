//! Stand-in for a caller: sends a request and checks that the response is complete and its own.

use {
    crate::{
        http::Body,
        pattern::{ByteSource, Pattern},
        server::Echo,
    },
    bytes::{Bytes, BytesMut},
    http_body_util::{BodyExt, Either, Full},
    hyper::{
        HeaderMap, Method, Request, Response,
        body::Incoming,
        header::{HeaderName, HeaderValue},
    },
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    std::{
        hash::Hasher,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    twox_hash::XxHash3_64,
};

/// Stops buffering a response body, which is parsed as JSON, once it has reached this size.
const MAX_JSON_BYTES: usize = 1 << 20;

/// A caller with a connection pool, which its clones share.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client<HttpConnector, Body>,
}

/// A request to send.
#[derive(Debug, Clone)]
pub struct Call {
    /// Address of the server.
    pub addr: SocketAddr,
    pub method: Method,
    /// Path with query; `bytes=N` in the query asks for N bytes of a pattern.
    pub path: String,
    pub headers: HeaderMap,
    pub payload: Payload,
    /// Timeout for the complete response.
    pub timeout: Duration,
    /// Limit of the rate at which the response body is read, in bytes per second.
    pub read_rate: Option<u64>,
}

#[derive(Debug, Clone)]
pub enum Payload {
    /// Bytes in memory.
    Whole(Bytes),
    /// Number of bytes of the path's pattern, generated while they are sent.
    Pattern(u64),
}

/// Outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The response was received completely.
    Whole,
    /// The connection was lost after the response head, before the end of the body.
    Cut,
    /// Connecting failed.
    Unreachable,
    /// The connection was lost before the response head.
    Broken,
    /// The response was not complete within the timeout.
    Silent,
}

/// Response to a request, or what was received of it.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Outcome of the request.
    pub end: End,
    /// HTTP status; zero if no response head was received.
    pub status: u16,
    /// Header `whinspring-code`.
    pub code: Option<u16>,
    /// Header `whinspring-class`.
    pub class: Option<Class>,
    /// Header `whinspring-retry-ms`: the wait before a retry, in milliseconds.
    pub retry_ms: Option<u32>,
    /// Whether the response has a `Retry-After` header.
    pub retry_after: bool,
    /// Whether the body is complete and belongs to this request: its echo, or its pattern.
    pub verified: bool,
    /// Number of body bytes received.
    pub bytes: u64,
    /// Echo of the backend server, if the body could be parsed as one.
    pub echo: Option<Echo>,
    /// Time from sending the request to the outcome.
    pub latency: Duration,
}

/// Value of the header `whinspring-class`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// The response is the backend server's own.
    Done,
    /// The request did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// State of reading a response body.
#[derive(Debug, Default)]
struct Content {
    buffer: BytesMut,
    complete: bool,
    matches: bool,
}

impl Class {
    /// Parses the header value.
    fn parse(text: &str) -> Option<Self> {
        match text {
            "done" => Some(Self::Done),
            "not-run" => Some(Self::NotRun),
            "unknown" => Some(Self::Unknown),
            _ => None,
        }
    }
}

impl Call {
    /// Returns a request without headers or body and with a timeout of 30 s.
    pub fn new(addr: SocketAddr, method: Method, path: impl Into<String>) -> Self {
        Self {
            addr,
            method,
            path: path.into(),
            headers: HeaderMap::new(),
            payload: Payload::Whole(Bytes::new()),
            timeout: Duration::from_secs(30),
            read_rate: None,
        }
    }

    /// Adds a header.
    ///
    /// # Panics
    ///
    /// Panics if the name is not lower case or the value is not visible ASCII.
    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        let value = HeaderValue::from_str(value).expect("header value is visible ASCII");
        self.headers.insert(HeaderName::from_static(name), value);
        self
    }

    pub fn payload(mut self, payload: Payload) -> Self {
        self.payload = payload;
        self
    }

    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Limits the rate at which the response body is read, in bytes per second.
    pub fn read_rate(mut self, read_rate: u64) -> Self {
        self.read_rate = Some(read_rate);
        self
    }

    /// Returns the number of bytes that the query requests, if any.
    fn requested_bytes(&self) -> Option<u64> {
        let (_, query) = self.path.split_once('?')?;
        query.split('&').find_map(|pair| pair.strip_prefix("bytes=")?.parse().ok())
    }

    /// Returns whether `echo` is the echo of this request.
    fn matches_echo(&self, echo: &Echo) -> bool {
        let text = |name| self.headers.get(name).and_then(|value| value.to_str().ok());
        let (bytes, digest) = self.payload.digest(&self.path);
        echo.method == self.method.as_str()
            && echo.path == self.path
            && echo.id == text("whinspring-request-id").unwrap_or_default()
            && echo.key == text("x-key").unwrap_or_default()
            && echo.bytes == bytes
            && echo.digest == digest
    }

    /// Builds the HTTP request.
    fn request(&self) -> Request<Body> {
        let body = match &self.payload {
            Payload::Whole(bytes) => Either::Left(Full::new(bytes.clone())),
            Payload::Pattern(len) => Either::Right(Pattern::new(&self.path, *len, || {})),
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        let uri = format!("http://{}{}", self.addr, self.path);
        *request.uri_mut() = uri.parse().expect("path and query form a valid URI");
        *request.headers_mut() = self.headers.clone();
        request
    }
}

impl Payload {
    /// Returns the length of the body and its XXH3 digest.
    fn digest(&self, path: &str) -> (u64, u64) {
        let mut hash = XxHash3_64::default();
        match self {
            Self::Whole(bytes) => {
                hash.write(bytes);
                (bytes.len() as u64, hash.finish())
            }
            Self::Pattern(len) => {
                for frame in ByteSource::new(path).frames(*len) {
                    hash.write(&frame);
                }
                (*len, hash.finish())
            }
        }
    }
}

impl Reply {
    /// Returns a reply for which no response head was received.
    fn without_head(end: End) -> Self {
        Self {
            end,
            status: 0,
            code: None,
            class: None,
            retry_ms: None,
            retry_after: false,
            verified: false,
            bytes: 0,
            echo: None,
            latency: Duration::ZERO,
        }
    }

    /// Reads status and headers of a response whose body has not been read.
    fn with_head(response: &Response<Incoming>) -> Self {
        let text = |name| response.headers().get(name).and_then(|value| value.to_str().ok());
        Self {
            status: response.status().as_u16(),
            code: text("whinspring-code").and_then(|code| code.parse().ok()),
            class: text("whinspring-class").and_then(Class::parse),
            retry_ms: text("whinspring-retry-ms").and_then(|ms| ms.parse().ok()),
            retry_after: text("retry-after").is_some(),
            ..Self::without_head(End::Silent)
        }
    }

    /// Returns whether this is the backend server's own response: complete, verified, status 200.
    pub fn is_right(&self) -> bool {
        let done = matches!(self.class, None | Some(Class::Done));
        done && self.end == End::Whole && self.status == 200 && self.verified
    }
}

impl Default for Caller {
    fn default() -> Self {
        Self::new()
    }
}

impl Caller {
    /// Returns a caller with an empty connection pool, which never retries a request.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }

    /// Sends a request and waits for its outcome.
    pub async fn send(&self, call: &Call) -> Reply {
        let start = Instant::now();
        let mut reply = Reply::without_head(End::Silent);
        let _ = tokio::time::timeout(call.timeout, self.exchange(call, &mut reply)).await;
        reply.latency = start.elapsed();
        reply
    }

    /// Sends a request and reads the response into `reply`, which keeps what was received if the
    /// timeout drops this future.
    async fn exchange(&self, call: &Call, reply: &mut Reply) {
        let response = match self.client.request(call.request()).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return reply.end = End::Unreachable,
            Err(_) => return reply.end = End::Broken,
        };
        *reply = Reply::with_head(&response);
        let content = read_body(response.into_body(), call, &mut reply.bytes).await;
        reply.end = if content.complete { End::Whole } else { End::Cut };
        if call.requested_bytes().is_some() {
            reply.verified =
                content.complete && content.matches && call.requested_bytes() == Some(reply.bytes);
            return;
        }
        reply.echo = serde_json::from_slice(&content.buffer).ok();
        let matches = reply.echo.as_ref().is_some_and(|echo| call.matches_echo(echo));
        reply.verified = content.complete && matches;
    }
}

/// Reads a body until it ends or the connection is lost, in bounded memory.
async fn read_body(mut body: Incoming, call: &Call, bytes: &mut u64) -> Content {
    let source = call.requested_bytes().map(|_| ByteSource::new(&call.path));
    let mut content = Content { matches: true, ..Content::default() };
    let start = tokio::time::Instant::now();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return content;
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        match &source {
            Some(source) => content.matches &= source.matches(*bytes, &data),
            None if content.buffer.len() < MAX_JSON_BYTES => {
                content.buffer.extend_from_slice(&data)
            }
            None => {}
        }
        *bytes += data.len() as u64;
        if let Some(read_rate) = call.read_rate {
            let due = Duration::from_secs_f64(*bytes as f64 / read_rate.max(1) as f64);
            tokio::time::sleep_until(start + due).await;
        }
    }
    content.complete = true;
    content
}
