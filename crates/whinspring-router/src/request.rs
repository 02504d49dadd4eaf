//! Forwarding of one request: from its head to the start of its response.

pub use self::{
    attempt::Attempt,
    exchange::{Path, VERDICT_TIME, time_for_server},
};

use {
    self::{
        attempt::{Collected, MAX_BUFFERED_BYTES},
        exchange::SendError,
    },
    crate::{
        admission::Permit,
        cluster::Server,
        cold, crashes, limits,
        message::CrashReport,
        node::Node,
        notices,
        platform::{Platform, Word},
        reach,
        response::{Body, Rejection, Stream, strip_headers},
    },
    bytes::Bytes,
    http::{
        HeaderMap, HeaderName, HeaderValue, Method, Response, StatusCode,
        header::{EXPECT, HOST},
    },
    http_body::Body as _,
    hyper::body::Incoming,
    log::{debug, info},
    std::{
        hash::{DefaultHasher, Hash, Hasher},
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        task::spawn_local,
        time::{sleep, timeout},
    },
    whinspring::{
        code::{Class, Code},
        gate::{
            ServerOutcome,
            load::{Load, Reported, parse_load},
        },
        name::Name,
        notices::{Refusal, Source},
        routes::{Route, RouteTable},
        time::Tick,
    },
    whinspring_http::{
        backend::{CallError, ConnectionPool, NoStream},
        headers::strip_hop_by_hop,
    },
};

mod acquire;
mod attempt;
mod exchange;

/// Time reserved for sending the final response to the caller.
const RESPONSE_MARGIN: Duration = Duration::from_millis(15);

/// Time after the deadline in which a response whose body is being sent may still end.
const LATE_STREAM_TIME: Duration = Duration::from_millis(165);

/// Deadline of a request whose caller sets none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// `Retry-After` when no better estimate is available.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// `Retry-After` of a request that its server shed: the gate lets through no more than the server has
/// room for, so that the next attempt is as likely to run as this one was, and still may be on time.
const SHED_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Delay before the address of a server that broke a connection is probed.
const PROBE_DELAY: Duration = Duration::from_millis(30);

/// Servers that one attempt may be assigned, if they want no requests.
const MAX_PLACEMENTS: usize = 4;

/// Shortest time to the deadline that still allows a retry.
const MIN_RETRY_TIME: Duration = Duration::from_millis(60);

/// Shortest time until a request that the owner of its key has shed is sent there again: about the
/// time in which one of two slots becomes free.
const MIN_SHED_DELAY: Duration = Duration::from_millis(20);

/// Random addition to it, so that requests that were shed together do not return together.
const SHED_DELAY_SPREAD: Duration = Duration::from_millis(20);

/// A validated request and the configuration it is handled under.
pub struct RoutedRequest<P: Platform> {
    pub node: Rc<Node<P>>,
    pub table: Arc<RouteTable>,
    pub route: Arc<Route>,
    pub service: Name,
    /// Key, if the service is keyed.
    pub key: Option<u16>,
    pub method: Method,
    /// Path and query.
    pub path: Name,
    /// Headers to forward.
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Request id set by the caller.
    pub id: HeaderValue,
    /// Time of arrival.
    pub start: Tick,
    /// Time by which the response must be ready to send.
    pub deadline: Tick,
}

/// Result of one attempt.
enum Outcome<P: Platform> {
    /// A response for the caller.
    Response(Response<Body<P>>),
    /// The server wants no requests, and nothing was sent.
    Refused(Refusal),
    /// The request did not run and may be retried.
    NotRun(Code),
    /// The request may have run.
    Lost(Code, &'static str),
    /// The server responded with an error, and the request is to be retried.
    Retry(Code, &'static str),
}

impl<P: Platform> RoutedRequest<P> {
    /// Forwards the request, with retries, until there is a response.
    pub async fn run(self) -> Result<Response<Body<P>>, Rejection> {
        let node = self.node.clone();
        let fingerprint = fingerprint(&self.method, &self.path, &self.body);
        if node.crashes.borrow().is_refused(self.start, fingerprint) {
            info!(event = "refused_crashing", id = self.id(), print = fingerprint; "rejected: earlier runs of this request crashed servers");
            return Err(Rejection::with_status(Code::Crashing, 503));
        }
        node.retries.borrow_mut().record_request(self.start, &self.service);
        if let Some(key) = self.key {
            node.meter.borrow_mut().record_demand(&self.route.name, &self.service, key);
        }
        let mut avoid = None;
        let mut attempts = 0;
        let mut placements = 0;
        let mut ran = false;
        loop {
            let (server, permit) = match self.acquire(avoid.clone()).await {
                Ok(acquired) => acquired,
                Err(rejection) if ran => {
                    return Err(Rejection {
                        retry: None,
                        ..Rejection::from(self.lost_code(rejection.code))
                    });
                }
                Err(rejection) => return Err(rejection),
            };
            placements += 1;
            attempts += 1;
            let mut path = Path::Direct;
            let outcome = self.send(&server, permit, attempts, fingerprint, &mut path).await;
            avoid = Some(server.clone());
            let is_shed = matches!(outcome, Outcome::NotRun(Code::Shed));
            let (code, why, again) = match outcome {
                Outcome::Response(response) => return Ok(response),
                Outcome::Refused(refusal) => {
                    attempts -= 1;
                    let code = refusal_code(refusal);
                    (code, "the server wants no requests", placements < MAX_PLACEMENTS)
                }
                Outcome::NotRun(code) => {
                    let again = !self.is_held_back(&server) && self.may_retry(attempts, ran);
                    (code, "the server did not run the request", again)
                }
                Outcome::Lost(code, why) => {
                    ran = true;
                    (code, why, self.may_retry(attempts, ran))
                }
                Outcome::Retry(code, why) => {
                    ran = true;
                    (code, why, true)
                }
            };
            info!(event = "sending_failed", id = self.id(), server = server.as_str(), path = path.text(), key = self.key_text(), routes = self.table.version, service = self.service.as_str(), code = code as u16, ran, again, sendings = attempts; "{why}");
            if !again && ran {
                let refused = code.class() == Class::NotRun;
                return Err(Rejection::from(if refused { self.lost_code(code) } else { code }));
            }
            if !again {
                return Err(Rejection::with_retry(code, self.retry_delay(code, &server)));
            }
            node.metrics.count("sent_again");
            if is_shed && self.key.is_some() {
                sleep(MIN_SHED_DELAY + SHED_DELAY_SPREAD.mul_f64(fastrand::f64())).await;
            }
        }
    }

    /// Returns the request id for log lines.
    fn id(&self) -> &str {
        self.id.to_str().unwrap_or_default()
    }

    /// Returns the key for log lines, or an empty string.
    fn key_text(&self) -> String {
        self.key.map(|key| key.to_string()).unwrap_or_default()
    }

    /// Returns whether the owner of the key wants nothing from this node, so that a retry is useless.
    fn is_held_back(&self, server: &Name) -> bool {
        self.key.is_some() && self.check(server).is_err()
    }

    /// Returns the time after which the caller may retry a request that a server did not run.
    fn retry_delay(&self, code: Code, server: &Name) -> Duration {
        let refusal = self.key.and_then(|_| self.check(server).err());
        let least = if code == Code::Shed { SHED_RETRY_DELAY } else { RETRY_DELAY };
        refusal.and_then(Refusal::wait).map_or(least, |wait| wait.max(RETRY_DELAY))
    }

    /// Returns the result code for a request that may have run and is not retried.
    fn lost_code(&self, code: Code) -> Code {
        if code == Code::Expired { Code::Deadline } else { Code::ServerLost }
    }

    /// Returns whether the request may be retried; takes a retry from the budget if so.
    fn may_retry(&self, attempts: u32, ran: bool) -> bool {
        let node = &self.node;
        let now = node.now();
        if (ran && !self.route.idempotent) || attempts >= self.route.max_attempts.max(1) {
            return false;
        }
        if self.deadline.since(now) < MIN_RETRY_TIME || node.leaving.get() && ran {
            return false;
        }
        let nodes = node.peers.borrow().live(now).count() + 1;
        let limits = &node.settings.limits;
        let mut retries = node.retries.borrow_mut();
        retries.allow(now, &self.service, nodes, limits.retry_ratio, limits.retry_extra)
    }

    /// Sends the request to a server and reads the start of the response.
    async fn send(
        &self,
        server: &Name,
        permit: Permit<P>,
        attempts: u32,
        fingerprint: u64,
        path: &mut Path,
    ) -> Outcome<P> {
        let node = &self.node;
        let backend = {
            let view = node.view.borrow();
            view.servers.get(server).map(|server| {
                let is_outside = server.entry.domain != node.settings.domain;
                (server.backend.clone(), server.life(), server.running.clone(), is_outside)
            })
        };
        let Some((backend, life, running, is_outside)) = backend else {
            return Outcome::NotRun(Code::NoOwner);
        };
        let start = node.now();
        let left = self.deadline.since(start);
        let mut attempt = Attempt {
            permit,
            node: node.clone(),
            running,
            backend,
            outcome: ServerOutcome::Completed,
            conn: None,
            number: attempts,
            body: None,
            prefix: None,
            route: self.route.name.clone(),
            server: server.clone(),
            is_outside,
            start,
        };
        let exchange = self.exchange(&mut attempt, life, path);
        let Ok(result) = timeout(left, exchange).await else {
            if *path == Path::Direct {
                reach::record_timeout(node, server, start, attempt.conn.is_some());
            }
            attempt.permit.outcome = reach::failed_outcome(node);
            return match attempt.conn.is_some() {
                true => {
                    Outcome::Lost(Code::Deadline, "the server did not respond before the deadline")
                }
                false => Outcome::NotRun(Code::Expired),
            };
        };
        match result {
            Ok(response) => {
                attempt.record_sent(self.body.len());
                if *path == Path::Direct {
                    reach::record_response(node);
                }
                let word =
                    Word::read(response.status(), response.headers(), node.platform.headers());
                notices::hear(node, server, life, word, Source::Response);
                let (status, headers) = (response.status(), response.headers());
                let head = limits::Head { status, headers, id: Some(&self.id), sent: start };
                limits::hear(node, server, life, &head);
                cold::hear(node, server, life, &head);
                self.handle_response(attempt, response, attempts).await
            }
            Err(SendError::Refused(refusal)) => Outcome::Refused(refusal),
            Err(SendError::Call(fault)) if fault.is_sent() => {
                if *path == Path::Direct {
                    reach::record_no_response(node, server);
                    let backend = attempt.backend.clone();
                    spawn_local(probe_server(node.clone(), server.clone(), backend, fingerprint));
                }
                attempt.permit.outcome = reach::failed_outcome(node);
                Outcome::Lost(
                    Code::ServerLost,
                    "the connection to the server broke before a response",
                )
            }
            Err(SendError::Call(_)) => {
                attempt.permit.outcome = reach::failed_outcome(node);
                Outcome::NotRun(Code::NoOwner)
            }
        }
    }

    /// Checks the head of a response and decides whether to forward it.
    async fn handle_response(
        &self,
        mut attempt: Attempt<P>,
        response: Response<Incoming>,
        attempts: u32,
    ) -> Outcome<P> {
        let names = self.node.platform.headers();
        let (mut parts, body) = response.into_parts();
        let length = body.size_hint().exact();
        attempt.body = Some(body);
        if parts.headers.get(&names.id) != Some(&self.id) {
            attempt.permit.outcome = ServerOutcome::Failed;
            return Outcome::Lost(Code::ServerLost, "the response has the id of another request");
        }
        let is_misdirected = parts.status == StatusCode::MISDIRECTED_REQUEST;
        attempt.permit.load = self.read_load(&parts.headers, &attempt.server);
        if parts.headers.contains_key(&names.not_run) {
            let outcome = if is_misdirected { self.misdirected() } else { ServerOutcome::Shed };
            attempt.set_outcome(outcome);
            attempt.drain().await;
            return Outcome::NotRun(if is_misdirected { Code::Moved } else { Code::Shed });
        }
        if is_misdirected {
            attempt.set_outcome(self.misdirected());
            return Outcome::NotRun(Code::Moved);
        }
        let sealed = parts.headers.contains_key(&names.seal);
        if parts.status.is_success() && !sealed {
            attempt.permit.outcome = ServerOutcome::Failed;
            return Outcome::Lost(Code::ServerLost, "the response lacks the seal header");
        }
        let failed = parts.status.is_server_error();
        if failed {
            attempt.set_outcome(ServerOutcome::Errored);
            self.node.metrics.count("server_failed");
        }
        if failed && self.may_retry(attempts, true) {
            attempt.drain().await;
            return Outcome::Retry(Code::ServerLost, "the server responded with a 5xx status");
        }
        strip_headers(&mut parts.headers);
        let buffered = length.is_none_or(|length| length <= MAX_BUFFERED_BYTES);
        let body = match buffered {
            false => self.stream(attempt, length),
            true => {
                match timeout(self.deadline.since(self.node.now()), attempt.collect(length)).await {
                    Ok(Collected::Complete(bytes)) => Body::Full(Some(bytes)),
                    Ok(Collected::Partial(prefix)) => {
                        attempt.prefix = Some(prefix);
                        self.stream(attempt, None)
                    }
                    Ok(Collected::Broken) => {
                        attempt.permit.outcome = ServerOutcome::Failed;
                        return Outcome::Lost(Code::Truncated, "the response body was truncated");
                    }
                    Err(_) => {
                        attempt.permit.outcome = ServerOutcome::Failed;
                        return Outcome::Lost(
                            Code::Deadline,
                            "the response body was not complete at the deadline",
                        );
                    }
                }
            }
        };
        let mut response = Response::new(body);
        *response.status_mut() = parts.status;
        *response.headers_mut() = parts.headers;
        Outcome::Response(response)
    }

    /// Returns the load that a server reports with its response, and the time.
    fn read_load(&self, headers: &HeaderMap, server: &Name) -> Option<(Load, Tick)> {
        let node = &self.node;
        let values = headers.get_all(&node.platform.headers().load);
        match parse_load(values.iter().map(HeaderValue::as_bytes)) {
            Reported::Load(load) => Some((load, node.now())),
            Reported::None => None,
            Reported::Malformed => {
                node.metrics.count("bad_server_load");
                debug!("server {server} reports a load that cannot be read; it is ignored");
                None
            }
        }
    }

    /// Returns the outcome of a request that was sent to the wrong server. An owner whose key has
    /// moved is neither ill nor full; a server without keys should not have been at the address.
    fn misdirected(&self) -> ServerOutcome {
        if self.key.is_some() { ServerOutcome::NotSent } else { ServerOutcome::Failed }
    }

    /// Returns the body of a response that is too long to buffer.
    fn stream(&self, attempt: Attempt<P>, length: Option<u64>) -> Body<P> {
        let limit = self.deadline.since(self.node.now()) + LATE_STREAM_TIME;
        Body::Stream(Box::new(Stream::new(attempt, length, limit, self.id.clone())))
    }
}

/// Returns the hash by which a request that crashes servers is recognised.
pub fn fingerprint(method: &Method, path: &str, body: &Bytes) -> u64 {
    let mut hasher = DefaultHasher::new();
    (method.as_str(), path, body).hash(&mut hasher);
    hasher.finish()
}

/// Probes whether a server crashed while it ran a request; if so, records the crash here and on the
/// other nodes. A refusal proves nothing if this node, or the failure domain of the server, may be cut
/// off.
pub async fn probe_server<P: Platform>(
    node: Rc<Node<P>>,
    server: Name,
    backend: Rc<ConnectionPool<NoStream>>,
    fingerprint: u64,
) {
    let instance = node.view.borrow().servers.get(&server).map(Server::instance);
    sleep(PROBE_DELAY).await;
    let result = backend.open().await;
    reach::record_conn(&node, &server, &result);
    if !matches!(result, Err(CallError::Refused)) || !reach::has_paths(&node, &server).await {
        return;
    }
    info!(event = "died_with", print = fingerprint, server = server.as_str(); "a server seems to have crashed while it ran a request");
    crashes::report(&node, CrashReport::new(fingerprint, instance));
}

/// Returns the result code of a request that a server wants no part of.
fn refusal_code(refusal: Refusal) -> Code {
    match refusal {
        Refusal::Left => Code::NoOwner,
        Refusal::Paused(_) | Refusal::Ramping(_) => Code::Shed,
    }
}

/// Returns the time by which the response must be ready to send; `deadline` is in milliseconds.
pub fn request_deadline(start: Tick, route: &Route, deadline: Option<u64>) -> Tick {
    let caller = deadline.map_or(DEFAULT_DEADLINE, Duration::from_millis);
    start + route.timeout.min(caller).saturating_sub(RESPONSE_MARGIN)
}

/// Removes hop-by-hop headers and `names`; keeps `Host`.
pub fn forward_headers(mut headers: HeaderMap, names: &[&HeaderName]) -> HeaderMap {
    let host = headers.get(HOST).cloned();
    strip_hop_by_hop(&mut headers);
    headers.remove(EXPECT);
    for name in names {
        headers.remove(*name);
    }
    if let Some(host) = host {
        headers.insert(HOST, host);
    }
    headers
}
