//! HTTP/1.1 endpoint for callers.
//!
//! Each request is validated, forwarded and answered; every response carries a result code. A
//! caller that disconnects while its request is in progress cancels it.

use {
    self::{
        answer::{Body, build_oversized, build_refusal, build_response, set_result},
        body_reader::{BodyReader, discard},
        connections::{Connections, TrackedFactory},
        request::{CheckedRequest, check},
    },
    crate::{
        journal::{EventKind, Hop},
        serve::{CallerRequest, forward_request},
        shared::Shared,
        trace,
    },
    fastrace::Span,
    std::{convert::Infallible, io, net::TcpListener, sync::Arc, thread, time::Duration},
    tokio::{sync::oneshot, time::sleep},
    whinspring::{code::Code, name::Name, request::Refusal},
    whinspring_http::caller::{Acceptor, Conn},
    xitca_http::{
        HttpServiceBuilder,
        config::HttpServiceConfig,
        http::{Request, RequestExt, Response},
    },
    xitca_server::{Builder, ServerHandle},
    xitca_service::{ServiceExt, fn_service},
};

mod answer;
mod body_reader;
mod connections;
pub(crate) mod request;

/// Largest request head. The HTTP library checks it between two reads, so that a head may exceed it
/// if its last part is read in one go.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Bytes of a response that are buffered before a write.
const WRITE_BUFFER_BYTES: usize = 128 << 10;

/// Longest time for receiving a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Retry delay sent to callers refused because of the in-flight limit.
const OVERLOAD_RETRY_MS: u32 = 500;

/// Pause before the server stops, so that closing connections flush their last bytes.
const FLUSH_PAUSE: Duration = Duration::from_millis(20);

/// Settings of the endpoint for callers.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Number of threads that serve callers.
    pub workers: usize,
    /// Largest number of requests in progress.
    pub in_flight: u32,
    /// Time after which an idle connection is closed.
    pub idle: Duration,
    /// Time the load balancer needs to stop sending connections after readiness is lost.
    pub notice: Duration,
}

/// HTTP endpoint for callers.
pub struct Callers {
    /// Process-wide state.
    shared: Arc<Shared>,
    connections: Arc<Connections>,
    listener: TcpListener,
    server: ServerHandle,
    /// Resolves when the server has stopped.
    stopped: oneshot::Receiver<()>,
    setup: Setup,
}

impl Callers {
    /// Starts serving callers on a bound socket.
    ///
    /// # Errors
    ///
    /// Fails if the socket or the threads cannot be set up.
    pub fn start(shared: Arc<Shared>, listener: TcpListener, setup: Setup) -> io::Result<Self> {
        let connections = Arc::new(Connections::new(shared.metrics.clone()));
        let config = HttpServiceConfig::new()
            .keep_alive_timeout(setup.idle)
            .request_head_timeout(HEAD_TIMEOUT)
            .max_read_buf_size::<MAX_HEAD_BYTES>()
            .max_write_buf_size::<WRITE_BUFFER_BYTES>();
        let state = shared.clone();
        let limit = i64::from(setup.in_flight);
        let handler = fn_service(move |request| handle(state.clone(), limit, request));
        let http = handler.enclosed(HttpServiceBuilder::h1().config(config).with_tls(Acceptor));
        let service = TrackedFactory::new(http, connections.clone());
        let mut server = Builder::new()
            .worker_threads(setup.workers)
            .disable_signal()
            .listen("callers", listener.try_clone()?, service)
            .build();
        let handle = server.handle()?;
        let (stop_sender, stopped) = oneshot::channel();
        thread::Builder::new().name("callers".into()).spawn(move || {
            let _ = server.wait();
            let _ = stop_sender.send(());
        })?;
        Ok(Self { shared, connections, listener, server: handle, stopped, setup })
    }

    /// Stops gracefully, without interrupting a request.
    ///
    /// The node reports that it is not ready but keeps serving for the notice period; then it stops
    /// accepting connections, closes idle ones and waits for the others to end.
    pub async fn close(self) {
        self.shared.set_leaving();
        sleep(self.setup.notice).await;
        let _ = socket2::SockRef::from(&self.listener).shutdown(std::net::Shutdown::Both);
        self.connections.close().await;
        sleep(FLUSH_PAUSE).await;
        self.server.stop(false);
        let _ = self.stopped.await;
    }
}

/// Handles one request and records its result.
async fn handle(
    shared: Arc<Shared>,
    limit: i64,
    request: Request<RequestExt<xitca_http::RequestBody>>,
) -> Result<Response<Body>, Infallible> {
    let conn = Conn::current();
    let guard = conn.track_request();
    let start = shared.clock.now();
    let is_oversized = request::head_bytes(&request) > MAX_HEAD_BYTES;
    shared.metrics.in_flight.inc();
    let (service, code, mut response) = if is_oversized {
        (Name::new(), Code::BadRequest, build_oversized())
    } else {
        match serve(&shared, limit, &conn, request).await {
            Ok((service, response, code)) => (service, code, response),
            Err((service, refusal)) => (service, refusal.code, build_refusal(refusal)),
        }
    };
    shared.metrics.in_flight.dec();
    shared.metrics.record_response(&service, code, shared.clock.now().since(start));
    set_result(&mut response, code, shared.is_leaving() || is_oversized);
    response.body_mut().set_guard(guard);
    Ok(response)
}

/// Validates and forwards one request, unless `limit` requests are in progress.
async fn serve(
    shared: &Arc<Shared>,
    limit: i64,
    conn: &std::rc::Rc<Conn>,
    request: Request<RequestExt<xitca_http::RequestBody>>,
) -> Result<(Name, Response<Body>, Code), (Name, Refusal)> {
    let (parts, ext) = request.into_parts();
    let (_, body) = ext.replace_body(());
    let checked = match check(shared, &parts) {
        Ok(checked) => checked,
        Err((service, code, retry_ms)) => {
            discard(&parts.headers, body).await;
            return Err((service, Refusal { code, retry_ms }));
        }
    };
    let service = checked.meta.service.clone();
    let (id, idempotent) = (checked.meta.id.clone(), checked.meta.idempotent);
    shared.journal.add(
        &id,
        Hop::Entry,
        EventKind::Received { service: service.clone(), idempotent },
    );
    if shared.metrics.in_flight.get() > limit {
        discard(&parts.headers, body).await;
        let refusal = Refusal { code: Code::Overloaded, retry_ms: OVERLOAD_RETRY_MS };
        return Err((service, refusal));
    }
    let outcome = tokio::select! {
        biased;
        outcome = forward(shared, parts, checked, body, conn) => outcome,
        () = conn.wait_closed() => {
            shared.metrics.count("caller_gone");
            Err(Refusal { code: Code::Truncated, retry_ms: 0 })
        }
    };
    let code = match &outcome {
        Ok((_, code)) => *code,
        Err(refusal) => refusal.code,
    };
    shared.journal.add(&id, Hop::Entry, EventKind::Answered(code));
    match outcome {
        Ok((response, code)) => Ok((service, response, code)),
        Err(refusal) => Err((service, refusal)),
    }
}

/// Reads the first bytes of the body, forwards the request and builds the response.
async fn forward(
    shared: &Arc<Shared>,
    parts: http::request::Parts,
    checked: CheckedRequest,
    body: xitca_http::RequestBody,
    conn: &std::rc::Rc<Conn>,
) -> Result<(Response<Body>, Code), Refusal> {
    let CheckedRequest { mut meta, deadline, path } = checked;
    let left = deadline.since(shared.clock.now());
    let mut reader = BodyReader::new(body, &parts.headers, conn.clone());
    let first = reader.read_first(left).await?;
    meta.fingerprint = request::fingerprint(&meta.service, &parts.method, &path, &first);
    let mut headers = parts.headers;
    let parent = trace::parse_context(&headers);
    let span = Span::root("entry", parent);
    headers.insert(whinspring_http::headers::TRACEPARENT, trace::traceparent(&span, parent));
    request::strip_headers(&mut headers);
    let request = CallerRequest {
        method: parts.method,
        path,
        headers,
        meta,
        deadline,
        body: first,
        whole: reader.is_whole(),
        length: reader.length(),
    };
    let (head, rest) = forward_request(shared, request, &reader).await?;
    let code = head.code;
    Ok((build_response(*head, rest, span, conn.clone()), code))
}
