//! One request, from its head to the start of its answer.

pub use self::sent::Sent;

use {
    self::sent::{Collected, WHOLE_BYTES},
    crate::{
        answer::{Body, Refusal, clean},
        message::{self, Crash},
        node::Node,
        platform::Platform,
        turns::{self, Turn, Wish},
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
        gate::ServerOutcome,
        name::Name,
        routes::{Route, RouteTable},
        time::Tick,
    },
    whinspring_http::{
        backend::{CallError, ConnectionPool, NoStream, RequestBody},
        headers::strip_hop_by_hop,
    },
};

mod sent;

/// Time that the final answer may take to the caller.
const REACH: Duration = Duration::from_millis(15);

/// Time for which a caller without a deadline is assumed to wait.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Longest wait for a key that has no owner at present.
const OWNER_WAIT: Duration = Duration::from_millis(350);

/// Time after which a caller may come back when nothing is known.
const RETRY_LATER: Duration = Duration::from_millis(300);

/// Pause before a lost server's address is tried.
const LOOK_PAUSE: Duration = Duration::from_millis(30);

/// Least time left for another sending.
const LEAST_LEFT: Duration = Duration::from_millis(60);

/// A request that is well formed.
pub struct Flight<P: Platform> {
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
    pub end: Tick,
}

/// How one sending ended.
enum Outcome<P: Platform> {
    /// With an answer for the caller.
    Answer(Response<Body<P>>),
    /// It did not run; it may be sent again.
    NotRun(Code),
    /// It may have run.
    Lost(Code, &'static str),
    /// The server failed it, and it is to be sent once more.
    Again(Code, &'static str),
}

impl<P: Platform> Flight<P> {
    /// Runs the request until there is an answer.
    pub async fn run(self) -> Result<Response<Body<P>>, Refusal> {
        let node = self.node.clone();
        let print = self.print();
        if node.crashes.borrow().is_refused(self.start, print) {
            info!(event = "refused_crashing", id = self.id(), print; "the request crashed servers before");
            return Err(Refusal::with_status(Code::Crashing, 503));
        }
        node.retries.borrow_mut().request(self.start, &self.service);
        if let Some(key) = self.key {
            node.meter.borrow_mut().wanted(&self.route.name, &self.service, key);
        }
        let mut avoid = None;
        let mut sendings = 0;
        let mut ran = false;
        loop {
            let (server, turn) = match self.turn(avoid.clone()).await {
                Ok(turn) => turn,
                Err(refusal) if ran => {
                    return Err(Refusal { retry: None, ..Refusal::from(self.lost(refusal.code)) });
                }
                Err(refusal) => return Err(refusal),
            };
            sendings += 1;
            let outcome = self.send(&server, turn, sendings, print).await;
            avoid = Some(server.clone());
            let (code, why, again) = match outcome {
                Outcome::Answer(response) => return Ok(response),
                Outcome::NotRun(code) => (code, "not run", self.may_repeat(sendings, ran)),
                Outcome::Lost(code, why) => {
                    ran = true;
                    (code, why, self.may_repeat(sendings, ran))
                }
                Outcome::Again(code, why) => {
                    ran = true;
                    (code, why, true)
                }
            };
            info!(event = "sending_failed", id = self.id(), server = server.as_str(), key = self.key_text(), routes = self.table.version, service = self.service.as_str(), code = code as u16, ran, again, sendings; "{why}");
            if !again && ran {
                let refused = code.class() == Class::NotRun;
                return Err(Refusal::from(if refused { self.lost(code) } else { code }));
            }
            if !again {
                return Err(Refusal::later(code, RETRY_LATER));
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
    fn lost(&self, code: Code) -> Code {
        if code == Code::Expired { Code::Deadline } else { Code::ServerLost }
    }

    /// Returns whether the request may be sent once more.
    fn may_repeat(&self, sendings: u32, ran: bool) -> bool {
        let node = &self.node;
        let now = node.now();
        if (ran && !self.route.idempotent) || sendings >= self.route.max_attempts.max(1) {
            return false;
        }
        if self.end.since(now) < LEAST_LEFT || node.leaving.get() && ran {
            return false;
        }
        let nodes = node.peers.borrow().live(now).count() + 1;
        let limits = &node.settings.limits;
        let mut retries = node.retries.borrow_mut();
        retries.allow(now, &self.service, nodes, limits.retry_ratio, limits.retry_extra)
    }

    /// Returns what the request is known by if it crashes servers.
    fn print(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.method.as_str(), self.path.as_str(), &self.body).hash(&mut hasher);
        hasher.finish()
    }

    /// Waits for a server that may run the request.
    async fn turn(&self, avoid: Option<Name>) -> Result<(Name, Turn<P>), Refusal> {
        let node = &self.node;
        let patience = node.now() + OWNER_WAIT;
        loop {
            let pool = match self.key {
                None => self.service.clone(),
                Some(key) => self.owner(key, patience).await?,
            };
            let wish = Wish {
                pool: pool.clone(),
                priority: self.route.priority,
                target: self.start + self.route.latency_target,
                deadline: self.end,
                avoid: avoid.clone(),
            };
            let asked = node.now();
            let left = self.end.since(asked);
            let waited = tokio::select! {
                biased;
                waited = timeout(left, turns::wait(node, &wish)) => waited,
                () = node.hurried() => {
                    info!(event = "refused_stopping", id = self.id(), pool = pool.as_str(); "the node stops");
                    return Err(Refusal::later(Code::ShuttingDown, RETRY_LATER));
                }
            };
            let Ok((turn, answer)) = waited else {
                info!(event = "expired", id = self.id(), routes = self.table.version, pool = pool.as_str(); "no turn came in time");
                return Err(Refusal::later(Code::Expired, RETRY_LATER));
            };
            node.metrics.waited(node.now().since(asked));
            let server = answer.map_err(|retry| {
                node.metrics.count("refused_by_gate");
                info!(event = "refused", id = self.id(), pool = pool.as_str(), retry_ms = retry.as_millis() as u64, routes = self.table.version, priority = self.route.priority; "the wait would be too long");
                Refusal::later(Code::Overloaded, retry)
            })?;
            if !self.takes_requests(&server) {
                info!(event = "left", id = self.id(), server = server.as_str(), routes = self.table.version; "a gate let a request through to a server that has left");
                return Err(Refusal::later(Code::NoOwner, RETRY_LATER));
            }
            let still = self.key.is_none_or(|key| self.owns(key, &server));
            if still {
                return Ok((server, turn));
            }
            debug!("the key moved while the request waited");
        }
    }

    /// Returns whether a server may be sent requests, as far as this node knows: the node of its
    /// gate may have learned later that it leaves.
    fn takes_requests(&self, server: &Name) -> bool {
        let beliefs = self.node.beliefs.borrow();
        let server = beliefs.servers.get(server);
        server.is_none_or(|server| turns::takes_requests(&self.node, server, self.node.now()))
    }

    /// Returns whether a server owns a key.
    fn owns(&self, key: u16, server: &Name) -> bool {
        let beliefs = self.node.beliefs.borrow();
        let owned = beliefs.owners.get(&self.service);
        owned.and_then(|(_, owned)| owned.find(key)).is_some_and(|s| s.owner.server == *server)
    }

    /// Returns the server that owns a key, after a change of hands has ended.
    async fn owner(&self, key: u16, patience: Tick) -> Result<Name, Refusal> {
        let node = &self.node;
        loop {
            let mut known = None;
            let (mut fence, mut revision) = (0, 0);
            {
                let beliefs = node.beliefs.borrow();
                let owned = beliefs.owners.get(&self.service);
                revision = owned.map_or(revision, |(revision, _)| *revision);
                if let Some(span) = owned.and_then(|(_, owned)| owned.find(key)) {
                    fence = span.fence;
                    let server = beliefs.servers.get(&span.owner.server);
                    let alive =
                        server.is_some_and(|server| server.entry.born == span.owner.start_ms);
                    if alive && span.former.is_none() {
                        known = Some(span.owner.server.clone());
                    }
                }
            }
            if let Some(server) = known {
                return Ok(server);
            }
            let now = node.now();
            if now >= patience || now >= self.end {
                info!(event = "no_owner", id = self.id(), service = self.service.as_str(), key, fence, revision; "the key has no serving owner");
                return Err(Refusal::later(Code::NoOwner, RETRY_LATER));
            }
            turns::changed(node, patience.min(self.end)).await;
        }
    }

    /// Sends the request to a server and reads the start of the answer.
    async fn send(&self, server: &Name, turn: Turn<P>, sendings: u32, print: u64) -> Outcome<P> {
        let node = &self.node;
        let backend = {
            let beliefs = node.beliefs.borrow();
            beliefs.servers.get(server).map(|server| server.backend.clone())
        };
        let Some(backend) = backend else { return Outcome::NotRun(Code::NoOwner) };
        let start = node.now();
        let left = self.end.since(start);
        let mut sent = Sent {
            turn,
            node: node.clone(),
            backend,
            ending: ServerOutcome::Completed,
            conn: None,
            body: None,
            first: None,
            route: self.route.name.clone(),
            server: server.clone(),
            start,
        };
        let exchange = self.exchange(&mut sent, server);
        let Ok(result) = timeout(left, exchange).await else {
            sent.turn.ending = ServerOutcome::Failed;
            return match sent.conn.is_some() {
                true => Outcome::Lost(Code::Deadline, "the server did not answer in time"),
                false => Outcome::NotRun(Code::Expired),
            };
        };
        match result {
            Ok(response) => self.judge(sent, response, sendings).await,
            Err(fault) if fault.is_sent() => {
                sent.turn.ending = ServerOutcome::Failed;
                spawn_local(look(node.clone(), sent.backend.clone(), print));
                Outcome::Lost(Code::ServerLost, "the connection to the server broke")
            }
            Err(_) => {
                sent.turn.ending = ServerOutcome::Failed;
                Outcome::NotRun(Code::NoOwner)
            }
        }
    }

    /// Exchanges the request for the head of an answer.
    async fn exchange(
        &self,
        sent: &mut Sent<P>,
        server: &Name,
    ) -> Result<Response<Incoming>, CallError> {
        let once = !self.route.idempotent;
        for fresh in [false, true] {
            let conn = match fresh {
                false => sent.backend.acquire(once).await?,
                true => sent.backend.open().await?,
            };
            let until = self.end;
            let request = self.request(server);
            let conn = sent.conn.insert(conn);
            let reused = conn.is_reused();
            match conn.send(request, until).await {
                Err(CallError::Unsent) if reused && !fresh => sent.conn = None,
                other => return other,
            }
        }
        Err(CallError::Unsent)
    }

    /// Builds the request for a server.
    fn request(&self, server: &Name) -> Request<RequestBody<NoStream>> {
        let mut request = Request::new(RequestBody::from_bytes(self.body.clone()));
        *request.method_mut() = self.method.clone();
        if let Ok(uri) = self.path.parse() {
            *request.uri_mut() = uri;
        }
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        let names = self.node.platform.headers();
        let left = self.end.since(self.node.now()).as_millis().max(1) as u64;
        headers.insert(names.deadline.clone(), left.into());
        if let Ok(value) = HeaderValue::from_str(server) {
            headers.insert(names.target.clone(), value);
        }
        request
    }

    /// Judges the head of an answer.
    async fn judge(
        &self,
        mut sent: Sent<P>,
        response: Response<Incoming>,
        sendings: u32,
    ) -> Outcome<P> {
        let names = self.node.platform.headers();
        let (mut parts, body) = response.into_parts();
        let length = body.size_hint().exact();
        sent.body = Some(body);
        sent.turn.ending = ServerOutcome::Failed;
        if parts.headers.get(&names.id) != Some(&self.id) {
            return Outcome::Lost(Code::ServerLost, "the answer belongs to another request");
        }
        if parts.headers.contains_key(&names.not_run) {
            sent.ending = ServerOutcome::Failed;
            sent.drain().await;
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
        if failed && self.may_repeat(sendings, true) {
            sent.ending = ServerOutcome::Failed;
            sent.drain().await;
            self.node.metrics.count("server_failed");
            return Outcome::Again(Code::ServerLost, "the server answered with a failure");
        }
        clean(&mut parts.headers);
        let whole = length.is_none_or(|length| length <= WHOLE_BYTES);
        let body = match whole {
            false => Body::Stream(Box::new(sent), length),
            true => match timeout(self.end.since(self.node.now()), sent.collect(length)).await {
                Ok(Collected::Whole(bytes)) => Body::Whole(Some(bytes)),
                Ok(Collected::More(first)) => {
                    sent.first = Some(first);
                    Body::Stream(Box::new(sent), None)
                }
                Ok(Collected::Broken) => {
                    return Outcome::Lost(Code::Truncated, "the answer broke off");
                }
                Err(_) => return Outcome::Lost(Code::Deadline, "the answer did not end in time"),
            },
        };
        let mut answer = Response::new(body);
        *answer.status_mut() = parts.status;
        *answer.headers_mut() = parts.headers;
        Outcome::Answer(answer)
    }
}

/// Looks whether a server died with a request, and tells the other nodes if so.
async fn look<P: Platform>(node: Rc<Node<P>>, backend: Rc<ConnectionPool<NoStream>>, print: u64) {
    sleep(LOOK_PAUSE).await;
    if !matches!(backend.open().await, Err(CallError::Refused)) {
        return;
    }
    info!(event = "died_with", print; "a server died while it ran a request");
    node.crashes.borrow_mut().note(node.now(), print);
    node.send_all(message::Body::Crash(Crash { print }));
}

/// Returns when a caller must have its answer.
pub fn end_of(start: Tick, route: &Route, deadline: Option<u64>) -> Tick {
    let caller = deadline.map_or(DEFAULT_DEADLINE, Duration::from_millis);
    start + route.timeout.min(caller).saturating_sub(REACH)
}

/// Returns the headers that are passed on to a server.
pub fn passed_on(mut headers: HeaderMap, names: &[&HeaderName]) -> HeaderMap {
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
