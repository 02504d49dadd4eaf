//! Callers: HTTP/1.1 in.
//!
//! Each request is checked, forwarded and answered, with the result code on every answer. A
//! caller that goes away is noticed while its request waits, and cancels it.

use {
    self::{
        answer::{Body, answer, refuse, stamp},
        door::{Doors, Watch},
        intake::{Intake, discard},
        request::{Checked, check},
    },
    crate::{
        journal::{Hop, What},
        serve::{Inquiry, fly},
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
mod door;
mod intake;
pub(crate) mod request;

/// Longest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Bytes of an answer that are joined before they are written.
const WRITE_BYTES: usize = 128 << 10;

/// Longest time from the first byte of a head to its last.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after which a caller refused for lack of room may come back, in milliseconds.
const ROOM_RETRY_MS: u32 = 500;

/// Time that the last bytes of closing connections get to leave.
const CLOSE_PAUSE: Duration = Duration::from_millis(20);

/// How callers are served.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Threads that serve callers.
    pub workers: usize,
    /// Requests of callers in progress at most.
    pub flights: u32,
    /// Time for which an idle connection is kept.
    pub idle: Duration,
    /// Time that the balancer takes to send no more connections.
    pub drain: Duration,
}

/// The port for callers.
pub struct Callers {
    /// Tables of the process.
    shared: Arc<Shared>,
    /// Open connections.
    doors: Arc<Doors>,
    /// The listening socket.
    listener: TcpListener,
    /// Stops the server.
    server: ServerHandle,
    /// Ends when the server has stopped.
    ended: oneshot::Receiver<()>,
    /// How callers are served.
    setup: Setup,
}

impl Callers {
    /// Starts to serve callers on a bound socket.
    ///
    /// # Errors
    ///
    /// Fails if the socket or the threads cannot be set up.
    pub fn start(shared: Arc<Shared>, listener: TcpListener, setup: Setup) -> io::Result<Self> {
        let doors = Arc::new(Doors::new(shared.metrics.clone()));
        let config = HttpServiceConfig::new()
            .keep_alive_timeout(setup.idle)
            .request_head_timeout(HEAD_TIMEOUT)
            .max_read_buf_size::<MAX_HEAD_BYTES>()
            .max_write_buf_size::<WRITE_BYTES>();
        let tables = shared.clone();
        let most = i64::from(setup.flights);
        let handler = fn_service(move |request| handle(tables.clone(), most, request));
        let http = handler.enclosed(HttpServiceBuilder::h1().config(config).with_tls(Acceptor));
        let service = Watch::new(http, doors.clone());
        let mut server = Builder::new()
            .worker_threads(setup.workers)
            .disable_signal()
            .listen("callers", listener.try_clone()?, service)
            .build();
        let handle = server.handle()?;
        let (end, ended) = oneshot::channel();
        thread::Builder::new().name("callers".into()).spawn(move || {
            let _ = server.wait();
            let _ = end.send(());
        })?;
        Ok(Self { shared, doors, listener, server: handle, ended, setup })
    }

    /// Stops without cutting a request.
    ///
    /// The node is not ready any more, but goes on serving until the balancer has let go; then
    /// it accepts no more connections, closes idle ones, and waits for the others to end.
    pub async fn close(self) {
        self.shared.set_leaving();
        sleep(self.setup.drain).await;
        let _ = socket2::SockRef::from(&self.listener).shutdown(std::net::Shutdown::Both);
        self.doors.close().await;
        sleep(CLOSE_PAUSE).await;
        self.server.stop(false);
        let _ = self.ended.await;
    }
}

/// Serves one request.
async fn handle(
    shared: Arc<Shared>,
    most: i64,
    request: Request<RequestExt<xitca_http::RequestBody>>,
) -> Result<Response<Body>, Infallible> {
    let conn = Conn::current();
    let busy = conn.track_request();
    let start = shared.clock.now();
    shared.metrics.flights.inc();
    let (service, code, mut response) = match serve(&shared, most, &conn, request).await {
        Ok((service, response, code)) => (service, code, response),
        Err((service, refusal)) => (service, refusal.code, refuse(refusal)),
    };
    shared.metrics.flights.dec();
    shared.metrics.answered(&service, code, shared.clock.now().since(start));
    stamp(&mut response, code, shared.is_leaving());
    response.body_mut().hold(busy);
    Ok(response)
}

/// Checks, forwards and answers one request, unless `most` are in progress.
async fn serve(
    shared: &Arc<Shared>,
    most: i64,
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
    let (id, repeatable) = (checked.meta.id.clone(), checked.meta.idempotent);
    shared.journal.add(&id, Hop::Entry, What::Received { service: service.clone(), repeatable });
    if shared.metrics.flights.get() > most {
        discard(&parts.headers, body).await;
        let refusal = Refusal { code: Code::Overloaded, retry_ms: ROOM_RETRY_MS };
        return Err((service, refusal));
    }
    let flown = tokio::select! {
        biased;
        flown = forward(shared, parts, checked, body, conn) => flown,
        () = conn.wait_closed() => {
            shared.metrics.count("caller_gone");
            Err(Refusal { code: Code::Truncated, retry_ms: 0 })
        }
    };
    let code = match &flown {
        Ok((_, code)) => *code,
        Err(refusal) => refusal.code,
    };
    shared.journal.add(&id, Hop::Entry, What::Answered(code));
    match flown {
        Ok((response, code)) => Ok((service, response, code)),
        Err(refusal) => Err((service, refusal)),
    }
}

/// Reads the start of the body, forwards the request and builds the answer.
async fn forward(
    shared: &Arc<Shared>,
    parts: http::request::Parts,
    checked: Checked,
    body: xitca_http::RequestBody,
    conn: &std::rc::Rc<Conn>,
) -> Result<(Response<Body>, Code), Refusal> {
    let Checked { mut meta, deadline, path } = checked;
    let left = deadline.since(shared.clock.now());
    let mut intake = Intake::new(body, &parts.headers, conn.clone());
    let first = intake.first(left).await?;
    meta.fingerprint = request::fingerprint(&meta.service, &parts.method, &path, &first);
    let mut headers = parts.headers;
    let parent = trace::context(&headers);
    let span = Span::root("entry", parent);
    headers.insert(whinspring_http::headers::TRACEPARENT, trace::header(&span, parent));
    request::clean(&mut headers);
    let inquiry = Inquiry {
        method: parts.method,
        path,
        headers,
        meta,
        deadline,
        body: first,
        whole: intake.is_whole(),
        length: intake.length(),
    };
    let (head, rest) = fly(shared, inquiry, &intake).await?;
    let code = head.code;
    Ok((answer(*head, rest, span, conn.clone()), code))
}
