//! Connections of callers: accepts requests, validates them and returns responses.

use {
    crate::{
        buffers::{Buffer, Buffers, Full, MIN_COUNTED},
        endpoints::ACCEPT_BACKOFF,
        node::Node,
        platform::Platform,
        request::{RoutedRequest, forward_headers, request_deadline},
        response::{Body, Rejection, set_connection_close},
    },
    bytes::Bytes,
    http::{
        HeaderMap, HeaderValue, Request, Response, Version,
        header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING},
        request::Parts,
    },
    log::info,
    prometheus_client::metrics::gauge::Gauge,
    socket2::SockRef,
    std::{
        cell::Cell, convert::Infallible, future::poll_fn, io, net::SocketAddr, pin::Pin, rc::Rc,
        sync::Arc, time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::Notify,
        task::spawn_local,
        time::{sleep, timeout},
    },
    tokio_util::sync::CancellationToken,
    whinspring::{code::Code, name::Name},
    whinspring_http::caller::{Acceptor, Conn, Stalls},
    xitca_http::{
        HttpServiceBuilder, RequestBody,
        body::{Body as _, Frame},
        config::HttpServiceConfig,
        http::RequestExt,
    },
    xitca_io::net,
    xitca_service::{Service, ServiceExt, fn_service},
};

const MAX_HEAD_BYTES: usize = 64 << 10;

/// Maximum number of headers of a request. The configuration limits their bytes only.
const MAX_HEADERS: usize = 4_096;

/// Response bytes that are gathered into one write.
const WRITE_BUFFER_BYTES: usize = 64 << 10;

const IDLE_TIMEOUT: Duration = Duration::from_secs(75);

const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest gap between bytes of a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// `TCP_USER_TIMEOUT` of connections.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(20);

/// Longest time in which a caller takes no byte of what is written to it.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Most connections whose callers take no bytes at the moment. Each holds up to a write buffer, a
/// chunk of the server's response and the socket's buffer, 256 KiB in all.
const MAX_STALLED: usize = 128;

/// Send buffer of a caller's socket, in bytes; the kernel doubles it for its own needs.
const SEND_BUFFER_BYTES: usize = 64 << 10;

/// `Retry-After` if there is no space for a request's body.
const NO_SPACE_RETRY: Duration = Duration::from_millis(500);

/// Backlog of listeners, and connections that are accepted of it at the end: callers that open more
/// could delay the end otherwise.
pub const BACKLOG: u32 = 1_024;

/// `Retry-After` while the node has no configuration; another node may have one.
const NOT_READY_RETRY: Duration = Duration::from_millis(200);

/// `Retry-After` near the end of a planned shutdown; any other node takes the request.
const STOPPING_RETRY: Duration = Duration::from_millis(50);

#[derive(Debug, Default)]
pub struct Connections {
    /// Cancelled when the listener and idle connections are to be closed.
    closing: CancellationToken,
    /// Whether the listener is open.
    accepting: Cell<bool>,
    open: Cell<usize>,
    /// Notified when the listener is closed or a connection ends.
    ended: Notify,
}

impl Connections {
    /// Closes the listener and idle connections and waits for the others to end.
    pub async fn close(&self) {
        self.closing.cancel();
        while self.accepting.get() || self.open.get() > 0 {
            self.ended.notified().await;
        }
    }

    /// Waits until shutdown has begun and the connection is idle.
    async fn until_closable(&self, conn: &Conn) {
        self.closing.cancelled().await;
        conn.wait_closable().await;
    }
}

/// A request as the HTTP library passes it on.
pub type IncomingRequest = Request<RequestExt<RequestBody>>;

/// Accepts connections of callers until they are closed.
pub async fn serve<P: Platform>(
    node: Rc<Node<P>>,
    listener: TcpListener,
    connections: Rc<Connections>,
) {
    let state = node.clone();
    let handler = async move |request| handle(state.clone(), request).await;
    let gauge = node.metrics.callers.clone();
    accept(node, listener, connections, gauge, handler).await;
}

/// Accepts connections whose requests `handler` responds to, until they are closed. Those that are in
/// the backlog then are still accepted: the kernel resets what a closed listener has not accepted.
pub async fn accept<P: Platform>(
    node: Rc<Node<P>>,
    listener: TcpListener,
    connections: Rc<Connections>,
    gauge: Gauge,
    handler: impl AsyncFn(IncomingRequest) -> Result<Response<Body<P>>, Infallible> + Clone + 'static,
) {
    let config = HttpServiceConfig::new()
        .keep_alive_timeout(IDLE_TIMEOUT)
        .request_head_timeout(HEAD_TIMEOUT)
        .max_read_buf_size::<MAX_HEAD_BYTES>()
        .max_request_headers::<MAX_HEADERS>()
        .max_write_buf_size::<WRITE_BUFFER_BYTES>();
    let http =
        fn_service(handler).enclosed(HttpServiceBuilder::h1().config(config).with_tls(Acceptor));
    let Ok(service) = http.call(()).await else { return };
    let service = Rc::new(service);
    connections.accepting.set(true);
    let mut left = BACKLOG;
    loop {
        let accepted = tokio::select! {
            biased;
            () = connections.closing.cancelled() => {
                left = left.saturating_sub(1);
                match accept_now(&listener) {
                    Ok(accepted) if left > 0 => Ok(accepted),
                    _ => break,
                }
            }
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, addr)) = accepted else {
            node.metrics.count("accept_failed");
            sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let (service, connections, gauge) = (service.clone(), connections.clone(), gauge.clone());
        let node = node.clone();
        connections.open.set(connections.open.get() + 1);
        gauge.inc();
        spawn_local(async move {
            if let Ok((stream, conn)) = prepare(stream, &node.stalls) {
                tokio::select! {
                    _ = conn.clone().scope(service.call((stream, addr))) => {}
                    () = connections.until_closable(&conn) => {}
                }
                if conn.is_stalled() {
                    node.metrics.count("caller_stalled");
                    info!(event = "caller_stalled", caller:% = addr; "the caller did not read its response; its connection is closed");
                }
            }
            gauge.dec();
            connections.open.set(connections.open.get() - 1);
            connections.ended.notify_one();
        });
    }
    drop(listener);
    connections.accepting.set(false);
    connections.ended.notify_one();
}

/// Accepts a connection of the backlog, if there is one. The socket is asked directly, as the runtime may
/// not know of the connection yet.
fn accept_now(listener: &TcpListener) -> io::Result<(TcpStream, SocketAddr)> {
    let (socket, addr) = SockRef::from(listener).accept()?;
    socket.set_nonblocking(true)?;
    let addr = addr.as_socket().ok_or(io::ErrorKind::InvalidData)?;
    Ok((TcpStream::from_std(socket.into())?, addr))
}

/// Returns the limit on callers that do not read.
pub fn stalls() -> Rc<Stalls> {
    Stalls::new(STALL_TIMEOUT, MAX_STALLED)
}

fn prepare(stream: TcpStream, stalls: &Rc<Stalls>) -> std::io::Result<(net::TcpStream, Rc<Conn>)> {
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKED_TIMEOUT))?;
    let stream = net::TcpStream::from(stream);
    let conn = Conn::with_stalls(&stream, stalls, SEND_BUFFER_BYTES)?;
    Ok((stream, conn))
}

/// Handles one request; cancels it when the caller disconnects.
async fn handle<P: Platform>(
    node: Rc<Node<P>>,
    request: IncomingRequest,
) -> Result<Response<Body<P>>, Infallible> {
    let conn = Conn::current();
    let busy = conn.track_request();
    let start = node.now();
    let (parts, ext) = request.into_parts();
    let (_, body) = ext.replace_body(());
    let names = node.platform.headers();
    let id = parts.headers.get(&names.id).cloned();
    let result = tokio::select! {
        biased;
        result = process(&node, parts, body) => result,
        () = conn.wait_closed() => {
            node.metrics.count("caller_gone");
            Err(Rejection::from(Code::Truncated))
        }
    };
    let (mut response, code) = match result {
        Ok(response) => (response, Code::Done),
        Err(rejection) => (reject(&node, rejection, id.as_ref()), rejection.code),
    };
    if node.leaving.get() {
        set_connection_close(&mut response);
    }
    let elapsed = node.now().since(start);
    node.metrics.record_response(code as u16, response.status().as_u16(), elapsed);
    drop(busy);
    Ok(response)
}

/// Builds and logs the response to a rejected request.
fn reject<P: Platform>(
    node: &Rc<Node<P>>,
    rejection: Rejection,
    id: Option<&HeaderValue>,
) -> Response<Body<P>> {
    let mut response = rejection.into_response();
    let text = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
    info!(event = "answered", id = text, code = rejection.code as u16, status = response.status().as_u16(), retry_ms = rejection.retry.unwrap_or_default().as_millis() as u64; "{}", rejection.code.text());
    if let Some(id) = id {
        response.headers_mut().insert(node.platform.headers().id.clone(), id.clone());
    }
    response
}

/// Validates and forwards a request.
async fn process<P: Platform>(
    node: &Rc<Node<P>>,
    parts: Parts,
    body: RequestBody,
) -> Result<Response<Body<P>>, Rejection> {
    let start = node.now();
    let table = node.view.borrow().routes.clone();
    let Some(table) = table else {
        return Err(Rejection::with_retry(Code::NotReady, NOT_READY_RETRY));
    };
    let bytes = read_body(body, &parts.headers, table.limits.body_bytes, &node.buffers).await?;
    let path = validate(&parts, table.limits.header_bytes)?;
    let names = node.platform.headers();
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let route = table.find(host, parts.uri.path()).cloned().ok_or(Code::NoService)?;
    let id = parts.headers.get(&names.id).cloned().ok_or(Code::NoId)?;
    let service = route.pick_service(fastrand::f64()).cloned().ok_or(Code::NoService)?;
    let key = match table.is_keyed(&service) {
        true => Some(parse_number(&parts.headers, &names.key).ok_or(Code::NoKey)?),
        false => None,
    };
    let deadline = request_deadline(start, &route, parse_number(&parts.headers, &names.deadline));
    if !node.may_finish(deadline) {
        let left_ms = deadline.since(node.now()).as_millis() as u64;
        info!(event = "refused_stopping", id = id.to_str().unwrap_or_default(), left_ms, routes = table.version; "rejected: the node ends before the deadline of the request");
        return Err(Rejection::with_retry(Code::ShuttingDown, STOPPING_RETRY));
    }
    let headers = forward_headers(parts.headers, &[&names.deadline, &names.target]);
    let request = RoutedRequest {
        node: node.clone(),
        table,
        route,
        service,
        key,
        method: parts.method,
        path,
        headers,
        body: bytes,
        id,
        start,
        deadline,
    };
    request.run().await
}

/// Validates a request whose head may have `limit` bytes; returns path and query.
fn validate(parts: &Parts, limit: usize) -> Result<Name, Rejection> {
    let one_host = parts.headers.get_all(HOST).iter().count() == 1;
    if parts.version != Version::HTTP_11 || !one_host {
        return Err(Code::BadRequest.into());
    }
    let path = parts.uri.path_and_query().ok_or(Code::BadRequest)?.as_str();
    if !path.starts_with('/') {
        return Err(Code::BadRequest.into());
    }
    let head = parts.headers.iter().map(|(name, value)| name.as_str().len() + value.len());
    if path.len() + head.sum::<usize>() > limit {
        return Err(Rejection::with_status(Code::BadRequest, 431));
    }
    Ok(Name::from(path))
}

impl From<Full> for Rejection {
    fn from(_: Full) -> Self {
        Self::with_retry(Code::Overloaded, NO_SPACE_RETRY)
    }
}

/// Parses the number in a header.
pub fn parse_number<T: std::str::FromStr>(
    headers: &HeaderMap,
    name: &http::HeaderName,
) -> Option<T> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Reads a request body of at most `limit` bytes, if there is space for it.
pub async fn read_body(
    mut body: RequestBody,
    headers: &HeaderMap,
    limit: usize,
    buffers: &Arc<Buffers>,
) -> Result<Bytes, Rejection> {
    let length: Option<usize> = parse_number(headers, &CONTENT_LENGTH);
    if length.is_some_and(|length| length > limit) {
        return Err(Rejection::with_status(Code::BadRequest, 413));
    }
    let mut first: Option<Bytes> = None;
    let mut all = Buffer::new(buffers);
    loop {
        let next = poll_fn(|cx| Pin::new(&mut body).poll_frame(cx));
        let Ok(next) = timeout(BODY_TIMEOUT, next).await else {
            return Err(Code::BodyCut.into());
        };
        match next {
            Some(Ok(Frame::Data(bytes))) if first.is_none() && bytes.len() <= MIN_COUNTED => {
                first = Some(bytes);
            }
            Some(Ok(Frame::Data(bytes))) => {
                if all.is_empty() {
                    all.extend(first.get_or_insert_default())?;
                }
                all.extend(&bytes)?;
            }
            Some(Ok(Frame::Trailers(_))) => {}
            Some(Err(_)) => return Err(Code::BadRequest.into()),
            None => break,
        }
        if all.len() > limit {
            return Err(Rejection::with_status(Code::BadRequest, 413));
        }
    }
    let whole = if all.is_empty() { first.unwrap_or_default() } else { all.freeze() };
    let chunked = headers.contains_key(TRANSFER_ENCODING);
    if length.is_some_and(|length| length != whole.len()) || chunked && Conn::current().is_at_eof()
    {
        return Err(Code::BodyCut.into());
    }
    Ok(whole)
}
