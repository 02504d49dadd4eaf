//! Callers: connections in, requests checked, answers out.

use {
    crate::{
        answer::{Body, Refusal, close},
        flight::{Flight, end_of, passed_on},
        node::Node,
        pages::ACCEPT_PAUSE,
        platform::Platform,
    },
    bytes::{Bytes, BytesMut},
    http::{HeaderMap, HeaderValue, Request, Response, Version, header::HOST, request::Parts},
    log::info,
    socket2::SockRef,
    std::{cell::Cell, convert::Infallible, future::poll_fn, pin::Pin, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::Notify,
        task::spawn_local,
        time::{sleep, timeout},
    },
    tokio_util::sync::CancellationToken,
    whinspring::{code::Code, name::Name},
    whinspring_http::caller::{Acceptor, Conn},
    xitca_http::{
        HttpServiceBuilder, RequestBody,
        body::{Body as _, Frame},
        config::HttpServiceConfig,
        http::RequestExt,
    },
    xitca_io::net,
    xitca_service::{Service, ServiceExt, fn_service},
};

/// Longest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Bytes of an answer that are joined before they are written.
const WRITE_BYTES: usize = 64 << 10;

/// Time for which an idle connection is kept.
const IDLE: Duration = Duration::from_secs(75);

/// Longest time from the first byte of a head to its last.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest time without a byte of a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which unacknowledged bytes end a connection.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(20);

/// Time after which a caller may come back to another node.
const MOVE_ON: Duration = Duration::from_millis(200);

/// Open connections of callers.
#[derive(Debug, Default)]
pub struct Doors {
    /// Cancelled when connections at rest are to be closed.
    closing: CancellationToken,
    /// Number of open connections.
    open: Cell<usize>,
    /// Woken when a connection ends.
    ended: Notify,
}

impl Doors {
    /// Closes connections at rest and waits for the others to end.
    pub async fn close(&self) {
        self.closing.cancel();
        while self.open.get() > 0 {
            self.ended.notified().await;
        }
    }

    /// Waits until a connection is to be closed.
    async fn closed(&self, conn: &Conn) {
        self.closing.cancelled().await;
        conn.wait_closable().await;
    }
}

/// Serves callers until the listener is dropped.
pub async fn serve<P: Platform>(node: Rc<Node<P>>, listener: TcpListener, doors: Rc<Doors>) {
    let config = HttpServiceConfig::new()
        .keep_alive_timeout(IDLE)
        .request_head_timeout(HEAD_TIMEOUT)
        .max_read_buf_size::<MAX_HEAD_BYTES>()
        .max_write_buf_size::<WRITE_BYTES>();
    let state = node.clone();
    let handler = fn_service(move |request| handle(state.clone(), request));
    let http = handler.enclosed(HttpServiceBuilder::h1().config(config).with_tls(Acceptor));
    let Ok(service) = http.call(()).await else { return };
    let service = Rc::new(service);
    loop {
        let Ok((stream, addr)) = listener.accept().await else {
            node.metrics.count("accept_failed");
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let (service, doors, node) = (service.clone(), doors.clone(), node.clone());
        doors.open.set(doors.open.get() + 1);
        node.metrics.callers.inc();
        spawn_local(async move {
            if let Ok((stream, conn)) = prepare(stream) {
                tokio::select! {
                    _ = conn.clone().scope(service.call((stream, addr))) => {}
                    () = doors.closed(&conn) => {}
                }
            }
            node.metrics.callers.dec();
            doors.open.set(doors.open.get() - 1);
            doors.ended.notify_one();
        });
    }
}

/// Sets a connection up.
fn prepare(stream: TcpStream) -> std::io::Result<(net::TcpStream, Rc<Conn>)> {
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKED_TIMEOUT))?;
    let stream = net::TcpStream::from(stream);
    let conn = Conn::new(&stream)?;
    Ok((stream, conn))
}

/// Serves one request.
async fn handle<P: Platform>(
    node: Rc<Node<P>>,
    request: Request<RequestExt<RequestBody>>,
) -> Result<Response<Body<P>>, Infallible> {
    let conn = Conn::current();
    let busy = conn.track_request();
    let start = node.now();
    let (parts, ext) = request.into_parts();
    let (_, body) = ext.replace_body(());
    let names = node.platform.headers();
    let id = parts.headers.get(&names.id).cloned();
    let served = tokio::select! {
        biased;
        served = fly(&node, parts, body) => served,
        () = conn.wait_closed() => {
            node.metrics.count("caller_gone");
            Err(Refusal::from(Code::Truncated))
        }
    };
    let (mut response, code) = match served {
        Ok(response) => (response, Code::Done),
        Err(refusal) => (refuse(&node, refusal, id.as_ref()), refusal.code),
    };
    if node.leaving.get() {
        close(&mut response);
    }
    let took = node.now().since(start);
    node.metrics.answered(code as u16, response.status().as_u16(), took);
    drop(busy);
    Ok(response)
}

/// Builds an answer of the node's own.
fn refuse<P: Platform>(
    node: &Rc<Node<P>>,
    refusal: Refusal,
    id: Option<&HeaderValue>,
) -> Response<Body<P>> {
    let mut response = refusal.answer();
    let text = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
    info!(event = "answered", id = text, code = refusal.code as u16, status = response.status().as_u16(), retry_ms = refusal.retry.unwrap_or_default().as_millis() as u64; "{}", refusal.code.text());
    if let Some(id) = id {
        response.headers_mut().insert(node.platform.headers().id.clone(), id.clone());
    }
    response
}

/// Checks and runs a request.
async fn fly<P: Platform>(
    node: &Rc<Node<P>>,
    parts: Parts,
    body: RequestBody,
) -> Result<Response<Body<P>>, Refusal> {
    let start = node.now();
    let table = node.beliefs.borrow().routes.clone();
    let Some(table) = table else {
        return Err(Refusal::later(Code::NotReady, MOVE_ON));
    };
    let bytes = read(body, &parts.headers, table.limits.body_bytes).await?;
    let path = check(&parts, table.limits.header_bytes)?;
    let names = node.platform.headers();
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let route = table.find(host, parts.uri.path()).cloned().ok_or(Code::NoService)?;
    let id = parts.headers.get(&names.id).cloned().ok_or(Code::NoId)?;
    let service = route.pick_service(fastrand::f64()).cloned().ok_or(Code::NoService)?;
    let key = match table.is_keyed(&service) {
        true => Some(number(&parts.headers, &names.key).ok_or(Code::NoKey)?),
        false => None,
    };
    let end = end_of(start, &route, number(&parts.headers, &names.deadline));
    let headers = passed_on(parts.headers, &[&names.deadline, &names.target]);
    let flight = Flight {
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
        end,
    };
    flight.run().await
}

/// Checks the form of a request, whose head may have `most` bytes; returns path and query.
fn check(parts: &Parts, most: usize) -> Result<Name, Refusal> {
    let one_host = parts.headers.get_all(HOST).iter().count() == 1;
    if parts.version != Version::HTTP_11 || !one_host {
        return Err(Code::BadRequest.into());
    }
    let path = parts.uri.path_and_query().ok_or(Code::BadRequest)?.as_str();
    if !path.starts_with('/') {
        return Err(Code::BadRequest.into());
    }
    let head = parts.headers.iter().map(|(name, value)| name.as_str().len() + value.len());
    if path.len() + head.sum::<usize>() > most {
        return Err(Refusal::with_status(Code::BadRequest, 431));
    }
    Ok(Name::from(path))
}

/// Returns the number in a header.
fn number<T: std::str::FromStr>(headers: &HeaderMap, name: &http::HeaderName) -> Option<T> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// Reads the whole body of a request.
async fn read(mut body: RequestBody, headers: &HeaderMap, most: usize) -> Result<Bytes, Refusal> {
    let length: Option<usize> = number(headers, &http::header::CONTENT_LENGTH);
    if length.is_some_and(|length| length > most) {
        return Err(Refusal::with_status(Code::BadRequest, 413));
    }
    let mut first: Option<Bytes> = None;
    let mut all = BytesMut::new();
    loop {
        let next = poll_fn(|cx| Pin::new(&mut body).poll_frame(cx));
        let Ok(next) = timeout(BODY_TIMEOUT, next).await else {
            return Err(Refusal::with_status(Code::BadRequest, 408));
        };
        match next {
            Some(Ok(Frame::Data(bytes))) if first.is_none() => first = Some(bytes),
            Some(Ok(Frame::Data(bytes))) => {
                if all.is_empty() {
                    all.extend_from_slice(first.as_deref().unwrap_or_default());
                }
                all.extend_from_slice(&bytes);
            }
            Some(Ok(Frame::Trailers(_))) => {}
            Some(Err(_)) => return Err(Code::BadRequest.into()),
            None => break,
        }
        if all.len() > most {
            return Err(Refusal::with_status(Code::BadRequest, 413));
        }
    }
    let whole = if all.is_empty() { first.unwrap_or_default() } else { all.freeze() };
    if length.is_some_and(|length| length != whole.len()) {
        return Err(Code::BadRequest.into());
    }
    Ok(whole)
}
