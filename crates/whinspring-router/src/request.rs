//! One request, from its head to the start of its answer.

pub use self::attempt::Attempt;

use {
    self::attempt::{Collected, MAX_BUFFERED_BYTES},
    crate::{
        admission::{self, AdmissionRequest, Permit},
        message::{self, Crash},
        node::Node,
        platform::Platform,
        response::{Body, Rejection, strip_headers},
    },
    bytes::Bytes,
    http::{
        HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode,
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
        gate::Ending,
        name::Name,
        routes::{Route, RouteTable},
        time::Tick,
    },
    whinspring_http::{
        backend::{Backend, Fault, Nothing, Upstream},
        headers::strip_hop,
    },
};

mod attempt;

/// Time that the final answer may take to the caller.
const RESPONSE_MARGIN: Duration = Duration::from_millis(15);

/// Time for which a caller without a deadline is assumed to wait.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Longest wait for a key that has no owner at present.
const MAX_OWNER_WAIT: Duration = Duration::from_millis(350);

/// Time after which a caller may come back when nothing is known.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Pause before a lost server's address is tried.
const PROBE_DELAY: Duration = Duration::from_millis(30);

/// Least time left for another sending.
const MIN_RETRY_TIME: Duration = Duration::from_millis(60);

/// A request that is well formed.
pub struct PendingRequest<P: Platform> {
    /// The node.
    pub node: Rc<Node<P>>,
    /// The configuration under which it is handled.
    pub table: Arc<RouteTable>,
    /// Its route.
    pub route: Arc<Route>,
    /// Service that runs it.
    pub service: Name,
    /// Key, if the service owns keys.
    pub key: Option<u16>,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: Name,
    /// Headers passed on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// The caller's id.
    pub id: HeaderValue,
    /// When it was taken.
    pub start: Tick,
    /// When the caller must have its answer.
    pub deadline: Tick,
}

/// How one sending ended.
enum Outcome<P: Platform> {
    /// With an answer for the caller.
    Response(Response<Body<P>>),
    /// It did not run; it may be sent again.
    NotRun(Code),
    /// It may have run.
    Lost(Code, &'static str),
    /// The server failed it, and it is to be sent once more.
    Retry(Code, &'static str),
}

impl<P: Platform> PendingRequest<P> {
    /// Runs the request until there is an answer.
    pub async fn run(self) -> Result<Response<Body<P>>, Rejection> {
        let node = self.node.clone();
        let fingerprint = self.fingerprint();
        if node.crashes.borrow().is_refused(self.start, fingerprint) {
            info!(event = "refused_crashing", id = self.id(), print = fingerprint; "the request crashed servers before");
            return Err(Rejection::with_status(Code::Crashing, 503));
        }
        node.retries.borrow_mut().record_request(self.start, &self.service);
        if let Some(key) = self.key {
            node.meter.borrow_mut().record_demand(&self.route.name, &self.service, key);
        }
        let mut avoid = None;
        let mut attempts = 0;
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
            attempts += 1;
            let outcome = self.send(&server, permit, attempts, fingerprint).await;
            avoid = Some(server.clone());
            let (code, why, again) = match outcome {
                Outcome::Response(response) => return Ok(response),
                Outcome::NotRun(code) => (code, "not run", self.may_retry(attempts, ran)),
                Outcome::Lost(code, why) => {
                    ran = true;
                    (code, why, self.may_retry(attempts, ran))
                }
                Outcome::Retry(code, why) => {
                    ran = true;
                    (code, why, true)
                }
            };
            info!(event = "sending_failed", id = self.id(), server = server.as_str(), key = self.key_text(), routes = self.table.version, service = self.service.as_str(), code = code as u16, ran, again, sendings = attempts; "{why}");
            if !again && ran {
                let refused = code.class() == Class::NotRun;
                return Err(Rejection::from(if refused { self.lost_code(code) } else { code }));
            }
            if !again {
                return Err(Rejection::with_retry(code, RETRY_DELAY));
            }
            node.metrics.count("sent_again");
        }
    }

    /// Returns the id for log lines.
    fn id(&self) -> &str {
        self.id.to_str().unwrap_or_default()
    }

    /// Returns the key for log lines.
    fn key_text(&self) -> String {
        self.key.map(|key| key.to_string()).unwrap_or_default()
    }

    /// Returns the result for a request that may have run and gets no further.
    fn lost_code(&self, code: Code) -> Code {
        if code == Code::Expired { Code::Deadline } else { Code::ServerLost }
    }

    /// Returns whether the request may be sent once more.
    fn may_retry(&self, attempts: u32, ran: bool) -> bool {
        let node = &self.node;
        let now = node.now();
        if (ran && !self.route.idempotent) || attempts >= self.route.attempts.max(1) {
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

    /// Returns what the request is known by if it crashes servers.
    fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.method.as_str(), self.path.as_str(), &self.body).hash(&mut hasher);
        hasher.finish()
    }

    /// Waits for a server that may run the request.
    async fn acquire(&self, avoid: Option<Name>) -> Result<(Name, Permit<P>), Rejection> {
        let node = &self.node;
        let until = node.now() + MAX_OWNER_WAIT;
        loop {
            let pool = match self.key {
                None => self.service.clone(),
                Some(key) => self.wait_for_owner(key, until).await?,
            };
            let request = AdmissionRequest {
                pool: pool.clone(),
                priority: self.route.priority,
                target: self.start + self.route.target,
                deadline: self.deadline,
                avoid: avoid.clone(),
            };
            let start = node.now();
            let left = self.deadline.since(start);
            let result = tokio::select! {
                biased;
                result = timeout(left, admission::admit(node, &request)) => result,
                () = node.until_queue_closed() => {
                    info!(event = "refused_stopping", id = self.id(), pool = pool.as_str(); "the node stops");
                    return Err(Rejection::with_retry(Code::Leaving, RETRY_DELAY));
                }
            };
            let Ok((permit, answer)) = result else {
                info!(event = "expired", id = self.id(), routes = self.table.version, pool = pool.as_str(); "no turn came in time");
                return Err(Rejection::with_retry(Code::Expired, RETRY_DELAY));
            };
            node.metrics.record_wait(node.now().since(start));
            let server = answer.map_err(|retry| {
                node.metrics.count("refused_by_gate");
                info!(event = "refused", id = self.id(), pool = pool.as_str(), retry_ms = retry.as_millis() as u64, routes = self.table.version, priority = self.route.priority; "the wait would be too long");
                Rejection::with_retry(Code::Overloaded, retry)
            })?;
            if !self.accepts_requests(&server) {
                info!(event = "left", id = self.id(), server = server.as_str(), routes = self.table.version; "a gate let a request through to a server that has left");
                return Err(Rejection::with_retry(Code::NoOwner, RETRY_DELAY));
            }
            let owned = self.key.is_none_or(|key| self.owns(key, &server));
            if owned {
                return Ok((server, permit));
            }
            debug!("the key moved while the request waited");
        }
    }

    /// Returns whether a server may be sent requests, as far as this node knows: the node of its
    /// gate may have learned later that it leaves.
    fn accepts_requests(&self, server: &Name) -> bool {
        let view = self.node.view.borrow();
        let server = view.servers.get(server);
        server.is_none_or(|server| admission::accepts_requests(&self.node, server, self.node.now()))
    }

    /// Returns whether a server owns a key.
    fn owns(&self, key: u16, server: &Name) -> bool {
        let view = self.node.view.borrow();
        let owned = view.owners.get(&self.service);
        owned.and_then(|(_, owned)| owned.find(key)).is_some_and(|s| s.owner.server == *server)
    }

    /// Returns the server that owns a key, after a change of hands has ended.
    async fn wait_for_owner(&self, key: u16, until: Tick) -> Result<Name, Rejection> {
        let node = &self.node;
        loop {
            let mut known = None;
            let (mut fence, mut revision) = (0, 0);
            {
                let view = node.view.borrow();
                let owned = view.owners.get(&self.service);
                revision = owned.map_or(revision, |(revision, _)| *revision);
                if let Some(span) = owned.and_then(|(_, owned)| owned.find(key)) {
                    fence = span.fence;
                    let server = view.servers.get(&span.owner.server);
                    let alive = server.is_some_and(|server| server.entry.born == span.owner.born);
                    if alive && span.former.is_none() {
                        known = Some(span.owner.server.clone());
                    }
                }
            }
            if let Some(server) = known {
                return Ok(server);
            }
            let now = node.now();
            if now >= until || now >= self.deadline {
                info!(event = "no_owner", id = self.id(), service = self.service.as_str(), key, fence, revision; "the key has no serving owner");
                return Err(Rejection::with_retry(Code::NoOwner, RETRY_DELAY));
            }
            admission::wait_for_change(node, until.min(self.deadline)).await;
        }
    }

    /// Sends the request to a server and reads the start of the answer.
    async fn send(
        &self,
        server: &Name,
        permit: Permit<P>,
        attempts: u32,
        fingerprint: u64,
    ) -> Outcome<P> {
        let node = &self.node;
        let backend = {
            let view = node.view.borrow();
            view.servers.get(server).map(|server| server.backend.clone())
        };
        let Some(backend) = backend else { return Outcome::NotRun(Code::NoOwner) };
        let start = node.now();
        let left = self.deadline.since(start);
        let mut attempt = Attempt {
            permit,
            node: node.clone(),
            backend,
            ending: Ending::Ran,
            conn: None,
            body: None,
            prefix: None,
            route: self.route.name.clone(),
            server: server.clone(),
            start,
        };
        let exchange = self.exchange(&mut attempt, server);
        let Ok(result) = timeout(left, exchange).await else {
            attempt.permit.ending = Ending::Failed;
            return match attempt.conn.is_some() {
                true => Outcome::Lost(Code::Deadline, "the server did not answer in time"),
                false => Outcome::NotRun(Code::Expired),
            };
        };
        match result {
            Ok(response) => self.handle_response(attempt, response, attempts).await,
            Err(fault) if fault.is_sent() => {
                attempt.permit.ending = Ending::Failed;
                spawn_local(probe_server(node.clone(), attempt.backend.clone(), fingerprint));
                Outcome::Lost(Code::ServerLost, "the connection to the server broke")
            }
            Err(_) => {
                attempt.permit.ending = Ending::Failed;
                Outcome::NotRun(Code::NoOwner)
            }
        }
    }

    /// Exchanges the request for the head of an answer.
    async fn exchange(
        &self,
        attempt: &mut Attempt<P>,
        server: &Name,
    ) -> Result<Response<Incoming>, Fault> {
        let non_idempotent = !self.route.idempotent;
        for fresh in [false, true] {
            let conn = match fresh {
                false => attempt.backend.take(non_idempotent).await?,
                true => attempt.backend.open().await?,
            };
            let deadline = self.deadline;
            let request = self.build_request(server);
            let conn = attempt.conn.insert(conn);
            let reused = conn.is_reused();
            match conn.send(request, deadline).await {
                Err(Fault::Unsent) if reused && !fresh => attempt.conn = None,
                other => return other,
            }
        }
        Err(Fault::Unsent)
    }

    /// Builds the request for a server.
    fn build_request(&self, server: &Name) -> Request<Upstream<Nothing>> {
        let mut request = Request::new(Upstream::whole(self.body.clone()));
        *request.method_mut() = self.method.clone();
        if let Ok(uri) = self.path.parse() {
            *request.uri_mut() = uri;
        }
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        let names = self.node.platform.headers();
        let left = self.deadline.since(self.node.now()).as_millis().max(1) as u64;
        headers.insert(names.deadline.clone(), left.into());
        if let Ok(value) = HeaderValue::from_str(server) {
            headers.insert(names.target.clone(), value);
        }
        request
    }

    /// Judges the head of an answer.
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
        attempt.permit.ending = Ending::Failed;
        if parts.headers.get(&names.id) != Some(&self.id) {
            return Outcome::Lost(Code::ServerLost, "the answer belongs to another request");
        }
        if parts.headers.contains_key(&names.not_run) {
            attempt.ending = Ending::Failed;
            attempt.drain().await;
            let code = match parts.status {
                StatusCode::MISDIRECTED_REQUEST => Code::Moved,
                _ => Code::Shed,
            };
            return Outcome::NotRun(code);
        }
        if parts.status == StatusCode::MISDIRECTED_REQUEST {
            return Outcome::NotRun(Code::Moved);
        }
        let sealed = parts.headers.contains_key(&names.seal);
        if parts.status.is_success() && !sealed {
            return Outcome::Lost(Code::ServerLost, "the answer lacks the server's proof");
        }
        let failed = parts.status.is_server_error();
        if failed && self.may_retry(attempts, true) {
            attempt.ending = Ending::Failed;
            attempt.drain().await;
            self.node.metrics.count("server_failed");
            return Outcome::Retry(Code::ServerLost, "the server answered with a failure");
        }
        strip_headers(&mut parts.headers);
        let buffered = length.is_none_or(|length| length <= MAX_BUFFERED_BYTES);
        let body = match buffered {
            false => Body::Stream(Box::new(attempt), length),
            true => match timeout(self.deadline.since(self.node.now()), attempt.collect(length))
                .await
            {
                Ok(Collected::Complete(bytes)) => Body::Full(Some(bytes)),
                Ok(Collected::Partial(prefix)) => {
                    attempt.prefix = Some(prefix);
                    Body::Stream(Box::new(attempt), None)
                }
                Ok(Collected::Broken) => {
                    return Outcome::Lost(Code::Cut, "the answer broke off");
                }
                Err(_) => return Outcome::Lost(Code::Deadline, "the answer did not end in time"),
            },
        };
        let mut response = Response::new(body);
        *response.status_mut() = parts.status;
        *response.headers_mut() = parts.headers;
        Outcome::Response(response)
    }
}

/// Looks whether a server died with a request, and tells the other nodes if so.
async fn probe_server<P: Platform>(
    node: Rc<Node<P>>,
    backend: Rc<Backend<Nothing>>,
    fingerprint: u64,
) {
    sleep(PROBE_DELAY).await;
    if !matches!(backend.open().await, Err(Fault::Refused)) {
        return;
    }
    info!(event = "died_with", print = fingerprint; "a server died while it ran a request");
    node.crashes.borrow_mut().record(node.now(), fingerprint);
    node.send_all(message::Body::Crash(Crash { print: fingerprint }));
}

/// Returns when a caller must have its answer.
pub fn request_deadline(start: Tick, route: &Route, deadline: Option<u64>) -> Tick {
    let caller = deadline.map_or(DEFAULT_DEADLINE, Duration::from_millis);
    start + route.timeout.min(caller).saturating_sub(RESPONSE_MARGIN)
}

/// Returns the headers that are passed on to a server.
pub fn forward_headers(mut headers: HeaderMap, names: &[&HeaderName]) -> HeaderMap {
    let host = headers.get(HOST).cloned();
    strip_hop(&mut headers);
    headers.remove(EXPECT);
    for name in names {
        headers.remove(*name);
    }
    if let Some(host) = host {
        headers.insert(HOST, host);
    }
    headers
}
