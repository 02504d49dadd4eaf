//! Sending of a request and reading of the head of its response, directly or by way of a relay.
//!
//! A request whose connection cannot be opened goes on by way of a relay within the same attempt:
//! nothing was sent. The next requests to that server use a relay at once, as do all requests of a node
//! that reaches no server. A relay that fails before anything was sent is replaced by another one, as
//! long as that takes little time.
//!
//! A retry has the id of the first sending, so that a second copy of that sending's response cannot be
//! told from its own. It therefore goes over new connections all the way: a relay is told that it is one.

use {
    super::{Attempt, RoutedRequest},
    crate::{
        notices,
        platform::{Platform, Word},
        reach,
        relay::{
            Fault,
            client::{self, Relay},
        },
    },
    http::{HeaderValue, Request, Response},
    hyper::body::Incoming,
    log::info,
    std::time::Duration,
    tokio::task::spawn_local,
    whinspring::{
        name::Name,
        notices::{Life, Purpose, Refusal, Source, Wait},
        time::Tick,
    },
    whinspring_http::{
        backend::{CallError, Conn, NoStream, RequestBody},
        caller,
        headers::{ATTEMPT, SERVER_START},
    },
};

/// Relays that one attempt may try, as long as nothing was sent.
const MAX_RELAYS: usize = 4;

/// Time after which an attempt tries no further relay.
const RELAY_TIME: Duration = Duration::from_millis(150);

/// Time in which the last word of a server reaches this node: a server that turns a request away as
/// its time is over may say that it wants nothing for a while.
pub const VERDICT_TIME: Duration = Duration::from_millis(10);

/// Returns the milliseconds that a server is given for a request.
pub fn time_for_server(deadline: Tick, now: Tick) -> u64 {
    deadline.since(now).saturating_sub(VERDICT_TIME).as_millis().max(1) as u64
}

/// How a request is sent to its server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Path {
    Direct,
    /// By way of the named node.
    Relay(Name),
}

impl Path {
    /// Returns the name for log lines.
    pub fn text(&self) -> &str {
        match self {
            Self::Direct => "direct",
            Self::Relay(name) => name.as_str(),
        }
    }
}

/// Why a request got no response.
pub enum SendError {
    /// The server wants no requests, and nothing was sent.
    Refused(Refusal),
    /// The connection failed.
    Call(CallError),
}

impl SendError {
    /// Returns whether no connection could be used and nothing was sent.
    fn is_unsent(&self) -> bool {
        matches!(self, Self::Call(error) if !error.is_sent())
    }
}

impl From<Refusal> for SendError {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

impl From<CallError> for SendError {
    fn from(error: CallError) -> Self {
        Self::Call(error)
    }
}

impl From<Fault> for SendError {
    fn from(fault: Fault) -> Self {
        match fault {
            Fault::Refused(refusal) => Self::Refused(refusal),
            Fault::Unsent => Self::Call(CallError::Unsent),
            Fault::Lost => Self::Call(CallError::Sent),
        }
    }
}

impl<P: Platform> RoutedRequest<P> {
    /// Sends the request to the instance `life` of its server and reads the head of the response;
    /// `path` tells how it was sent last.
    pub(super) async fn exchange(
        &self,
        attempt: &mut Attempt<P>,
        life: Life,
        path: &mut Path,
    ) -> Result<Response<Incoming>, SendError> {
        let node = &self.node;
        let is_detoured = node.detours.borrow().is_detoured(&attempt.server, node.now());
        if is_detoured || node.is_cut_off() {
            self.probe_path(attempt);
        } else {
            match self.send_directly(attempt).await {
                Err(error) if error.is_unsent() && self.may_relay(&attempt.server) => {}
                other => return other,
            }
        }
        self.send_by_relays(attempt, life, path).await
    }

    /// Returns whether a request that could not be sent directly may go by way of a relay.
    fn may_relay(&self, server: &Name) -> bool {
        let node = &self.node;
        node.is_cut_off() || node.detours.borrow().is_detoured(server, node.now())
    }

    /// Probes the own path to the server if that is due.
    fn probe_path(&self, attempt: &Attempt<P>) {
        let node = &self.node;
        if node.detours.borrow_mut().start_probe(&attempt.server, node.now()) {
            let (server, pool) = (attempt.server.clone(), attempt.backend.clone());
            spawn_local(reach::probe_path(node.clone(), server, pool));
        }
    }

    /// Sends the request to one relay after the other until one has sent it.
    async fn send_by_relays(
        &self,
        attempt: &mut Attempt<P>,
        life: Life,
        path: &mut Path,
    ) -> Result<Response<Incoming>, SendError> {
        let node = &self.node;
        let server = attempt.server.clone();
        let start = node.now();
        let mut failed = Vec::new();
        while failed.len() < MAX_RELAYS && node.now().since(start) < RELAY_TIME {
            let Some(relay) = client::find(node, &server, &failed) else { break };
            *path = Path::Relay(relay.name.clone());
            node.metrics.count("relayed");
            let result = self.send_by(&relay, attempt, life).await;
            let now = node.now();
            match result {
                Ok(response) => {
                    self.record_relayed(&server, &relay);
                    return Ok(response);
                }
                Err(error) if !error.is_unsent() => return Err(error),
                Err(_) => node.metrics.count("relay_failed"),
            }
            node.detours.borrow_mut().record_relay_failure(&server, &relay.name, now);
            failed.push(relay.name);
        }
        node.detours.borrow_mut().record_lost(&server, node.now());
        Err(CallError::Unreachable.into())
    }

    /// Records that a relay has reached the server, and logs it if that is news.
    fn record_relayed(&self, server: &Name, relay: &Relay) {
        let node = &self.node;
        let now = node.now();
        let was_proven = node.detours.borrow().proven_failure(server).is_some();
        node.detours.borrow_mut().record_relayed(server, now);
        let failed = node.detours.borrow().proven_failure(server);
        if let Some(failed) = failed.filter(|_| !was_proven) {
            let failed_ms = now.since(failed).as_millis() as u64;
            info!(event = "path_lost", id = self.id(), server = server.as_str(), relay = relay.name.as_str(), failed_ms; "a relay reaches a server that this node does not reach");
        }
    }

    /// Sends the request over an own connection to the server. A reused connection that fails before
    /// anything was sent is replaced once by a new one.
    async fn send_directly(
        &self,
        attempt: &mut Attempt<P>,
    ) -> Result<Response<Incoming>, SendError> {
        for fresh in [attempt.is_retry(), true] {
            let conn = tokio::select! {
                biased;
                result = self.connect(attempt, fresh) => {
                    reach::record_conn(&self.node, &attempt.server, &result);
                    result?
                }
                () = self.node.until_cut_off() => return Err(CallError::Unreachable.into()),
            };
            let reused = conn.is_reused();
            match self.send_on(conn, attempt, None).await {
                Err(SendError::Call(CallError::Unsent)) if reused && !fresh => attempt.conn = None,
                other => return other,
            }
        }
        Err(CallError::Unsent.into())
    }

    /// Sends the request to a relay. A reused connection that fails before anything was sent is
    /// replaced once by a new one.
    async fn send_by(
        &self,
        relay: &Relay,
        attempt: &mut Attempt<P>,
        life: Life,
    ) -> Result<Response<Incoming>, SendError> {
        attempt.conn = None;
        attempt.backend = relay.pool.clone();
        for fresh in [attempt.is_retry(), true] {
            let conn = self.connect(attempt, fresh).await?;
            let reused = conn.is_reused();
            match self.send_on(conn, attempt, Some(life)).await {
                Err(SendError::Call(CallError::Unsent)) if reused && !fresh => attempt.conn = None,
                Ok(response) => return self.check_relayed(response, attempt, life).await,
                other => return other,
            }
        }
        Err(CallError::Unsent.into())
    }

    /// Takes an idle connection of the attempt's pool or opens a new one.
    async fn connect(
        &self,
        attempt: &Attempt<P>,
        fresh: bool,
    ) -> Result<Conn<NoStream>, CallError> {
        match fresh {
            false => attempt.backend.acquire(!self.route.idempotent).await,
            true => attempt.backend.open().await,
        }
    }

    /// Sends the request on a connection, unless the server has said meanwhile that it wants none, or the
    /// caller has left.
    /// `life` is the instance of the server that a relay is to use.
    async fn send_on(
        &self,
        conn: Conn<NoStream>,
        attempt: &mut Attempt<P>,
        life: Option<Life>,
    ) -> Result<Response<Incoming>, SendError> {
        let mut request = self.build_request(&attempt.server);
        if let Some(life) = life {
            let headers = request.headers_mut();
            headers.insert(SERVER_START, life.start_ms.into());
            headers.insert(ATTEMPT, attempt.number.into());
        }
        caller::Conn::current().ensure_open().await;
        let now = self.node.now();
        if let Err(refusal) = notices::check(&self.node, &attempt.server, Purpose::Write, now) {
            attempt.backend.release(conn).await;
            return Err(refusal.into());
        }
        let conn = attempt.conn.insert(conn);
        Ok(conn.send(request, self.deadline).await?)
    }

    /// Returns the response of a server that a relay has passed on, or what the relay says of its
    /// failure. A pause of the server counts for this node as well.
    async fn check_relayed(
        &self,
        response: Response<Incoming>,
        attempt: &mut Attempt<P>,
        life: Life,
    ) -> Result<Response<Incoming>, SendError> {
        let Some(fault) = Fault::read(response.headers()) else { return Ok(response) };
        drop(response);
        if let Some(conn) = attempt.conn.take() {
            attempt.backend.release(conn).await;
        }
        if let Fault::Refused(Refusal::Paused(time)) = fault {
            let word = Word { leaving: false, wait: Some(Wait { time, exact: true }) };
            notices::hear(&self.node, &attempt.server, life, word, Source::Peer);
        }
        Err(fault.into())
    }

    fn build_request(&self, server: &Name) -> Request<RequestBody<NoStream>> {
        let mut request = Request::new(RequestBody::from_bytes(self.body.clone()));
        *request.method_mut() = self.method.clone();
        if let Ok(uri) = self.path.parse() {
            *request.uri_mut() = uri;
        }
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        let names = self.node.platform.headers();
        let left = time_for_server(self.deadline, self.node.now());
        headers.insert(names.deadline.clone(), left.into());
        if let Ok(value) = HeaderValue::from_str(server) {
            headers.insert(names.target.clone(), value);
        }
        request
    }
}
