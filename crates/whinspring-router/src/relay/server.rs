//! Sends requests of other nodes to servers.
//!
//! A request goes to the one instance of a server that the entry node chose, or to none. It is sent at
//! most once; only a reused connection that failed before anything was sent is replaced by a new one.
//! A retry goes over a new connection: the first sending may have used any of the others, and a second
//! copy of its response has the id of the retry as well.
//! A response with the id of another request is not passed on, and its connection is closed: the response
//! to this request may still come on it.
//! When the entry node gives up and closes its connection, that to the server is closed as well.

use {
    super::{Fault, Reader},
    crate::{
        cold,
        frontend::{self, Connections, IncomingRequest, parse_number, read_body},
        limits,
        node::Node,
        notices,
        platform::{Platform, Word},
        reach,
        request::{VERDICT_TIME, fingerprint, forward_headers, probe_server, time_for_server},
        response::{Body, set_connection_close, strip_headers},
    },
    bytes::Bytes,
    http::{Request, Response, request::Parts},
    http_body::Body as _,
    std::{convert::Infallible, rc::Rc, time::Duration},
    tokio::{net::TcpListener, task::spawn_local, time::timeout},
    whinspring::{
        name::Name,
        notices::{Life, Purpose, Source},
        time::Tick,
    },
    whinspring_http::{
        backend::{CallError, Conn, ConnectionPool, NoStream, RequestBody},
        caller,
        headers::{ATTEMPT, RELAY_FAULT, SERVER_START},
    },
    xitca_http::http::RequestExt,
};

/// A request to relay.
struct Relayed {
    server: Name,
    life: Life,
    pool: Rc<ConnectionPool<NoStream>>,
    parts: Parts,
    body: Bytes,
    deadline: Tick,
    /// Whether the entry node has sent the request before.
    is_retry: bool,
}

/// Accepts connections of other nodes until they are closed.
pub async fn serve<P: Platform>(
    node: Rc<Node<P>>,
    listener: TcpListener,
    connections: Rc<Connections>,
) {
    let state = node.clone();
    let handler = async move |request| handle(state.clone(), request).await;
    let gauge = node.metrics.relaying.clone();
    frontend::accept(node, listener, connections, gauge, handler).await;
}

/// Relays one request; cancels it when the entry node disconnects.
async fn handle<P: Platform>(
    node: Rc<Node<P>>,
    request: IncomingRequest,
) -> Result<Response<Body<P>>, Infallible> {
    let conn = caller::Conn::current();
    let busy = conn.track_request();
    let result = tokio::select! {
        biased;
        result = relay(&node, request) => result,
        () = conn.wait_closed() => Err(Fault::Lost),
    };
    node.metrics.count("relayed_for_peer");
    let mut response = result.unwrap_or_else(|fault| {
        node.metrics.count(event_of(fault));
        fault.into_response(Body::Full(None))
    });
    if node.leaving.get() {
        set_connection_close(&mut response);
    }
    drop(busy);
    Ok(response)
}

const fn event_of(fault: Fault) -> &'static str {
    match fault {
        Fault::Refused(_) => "relay_refused",
        Fault::Unsent => "relay_unsent",
        Fault::Lost => "relay_lost",
    }
}

/// Reads a request, sends it and returns the start of the response.
async fn relay<P: Platform>(
    node: &Rc<Node<P>>,
    request: IncomingRequest,
) -> Result<Response<Body<P>>, Fault> {
    let relayed = read(node, request).await?;
    notices::start(node, &relayed.server).map_err(Fault::Refused)?;
    let mut conn = None;
    let start = node.now();
    let left = relayed.deadline.since(start);
    let Ok(result) = timeout(left, relayed.send(node, &mut conn)).await else {
        return Err(if conn.is_some() { Fault::Lost } else { Fault::Unsent });
    };
    let response = result?;
    reach::record_response(node);
    let names = node.platform.headers();
    let word = Word::read(response.status(), response.headers(), names);
    notices::hear(node, &relayed.server, relayed.life, word, Source::Response);
    let (status, headers) = (response.status(), response.headers());
    let id = relayed.parts.headers.get(&names.id);
    let head = limits::Head { status, headers, id, sent: start };
    limits::hear(node, &relayed.server, relayed.life, &head);
    cold::hear(node, &relayed.server, relayed.life, &head);
    if headers.get(&names.id) != id {
        return Err(Fault::Lost);
    }
    let (mut parts, body) = response.into_parts();
    strip_headers(&mut parts.headers);
    parts.headers.remove(RELAY_FAULT);
    let length = body.size_hint().exact();
    let receiver = caller::Conn::current();
    let reader = Reader::new(relayed.pool, conn.ok_or(Fault::Lost)?, body, receiver);
    Ok(Response::from_parts(parts, Body::Relayed(Box::new(reader), length)))
}

/// Reads a request. Its server must be the instance that this node knows.
async fn read<P: Platform>(node: &Rc<Node<P>>, request: IncomingRequest) -> Result<Relayed, Fault> {
    let names = node.platform.headers();
    let (parts, ext) = request.into_parts();
    let (_, body) = RequestExt::replace_body(ext, ());
    let left = parse_number(&parts.headers, &names.deadline).ok_or(Fault::Unsent)?;
    let deadline = node.now() + Duration::from_millis(left) + VERDICT_TIME;
    let body = read_body(body, &parts.headers, usize::MAX, &node.buffers)
        .await
        .map_err(|_| Fault::Unsent)?;
    let start_ms: u64 = parse_number(&parts.headers, &SERVER_START).ok_or(Fault::Unsent)?;
    if !node.may_finish(deadline) {
        return Err(Fault::Unsent);
    }
    let is_retry = parse_number::<u32>(&parts.headers, &ATTEMPT).is_some_and(|number| number > 1);
    let target = parts.headers.get(&names.target).and_then(|value| value.to_str().ok());
    let server = Name::from(target.ok_or(Fault::Unsent)?);
    let view = node.view.borrow();
    let known = view.servers.get(&server).filter(|known| known.entry.start_ms == start_ms);
    let known = known.ok_or(Fault::Unsent)?;
    let (life, pool) = (known.life(), known.backend.clone());
    Ok(Relayed { server, life, pool, parts, body, deadline, is_retry })
}

impl Relayed {
    /// Sends the request on a connection that is left in `used`, and reads the head of the response.
    async fn send<P: Platform>(
        &self,
        node: &Rc<Node<P>>,
        used: &mut Option<Conn<NoStream>>,
    ) -> Result<Response<hyper::body::Incoming>, Fault> {
        if node.detours.borrow().is_failing(&self.server, node.now()) {
            self.probe_path(node);
            return Err(Fault::Unsent);
        }
        for fresh in [self.is_retry, true] {
            let conn = match fresh {
                false => self.pool.acquire(true).await,
                true => self.pool.open().await,
            };
            reach::record_conn(node, &self.server, &conn);
            let conn = conn.map_err(|_| Fault::Unsent)?;
            caller::Conn::current().ensure_open().await;
            let checked = notices::check(node, &self.server, Purpose::Write, node.now());
            if let Err(refusal) = checked {
                self.pool.release(conn).await;
                return Err(Fault::Refused(refusal));
            }
            let conn = used.insert(conn);
            let reused = conn.is_reused();
            match conn.send(self.build(node), self.deadline).await {
                Ok(response) => return Ok(response),
                Err(CallError::Unsent) if reused && !fresh => *used = None,
                Err(error) if error.is_sent() => {
                    self.on_lost(node);
                    return Err(Fault::Lost);
                }
                Err(_) => return Err(Fault::Unsent),
            }
        }
        Err(Fault::Unsent)
    }

    /// Probes the path to the server if that is due.
    fn probe_path<P: Platform>(&self, node: &Rc<Node<P>>) {
        if node.detours.borrow_mut().start_probe(&self.server, node.now()) {
            spawn_local(reach::probe_path(node.clone(), self.server.clone(), self.pool.clone()));
        }
    }

    /// Records that the connection broke before a response.
    fn on_lost<P: Platform>(&self, node: &Rc<Node<P>>) {
        let path = self.parts.uri.path_and_query().map_or("", |path| path.as_str());
        let print = fingerprint(&self.parts.method, path, &self.body);
        reach::record_no_response(node, &self.server);
        let (server, pool) = (self.server.clone(), self.pool.clone());
        spawn_local(probe_server(node.clone(), server, pool, print));
    }

    /// Builds the request to the server.
    fn build<P: Platform>(&self, node: &Rc<Node<P>>) -> Request<RequestBody<NoStream>> {
        let names = node.platform.headers();
        let mut request = Request::new(RequestBody::from_bytes(self.body.clone()));
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = self.parts.uri.clone();
        let headers = request.headers_mut();
        *headers = forward_headers(self.parts.headers.clone(), &[&SERVER_START, &ATTEMPT]);
        let left = time_for_server(self.deadline, node.now());
        headers.insert(names.deadline.clone(), left.into());
        request
    }
}
