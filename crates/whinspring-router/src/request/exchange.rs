//! Sending of a request and reading of the head of its response, directly or by way of a relay.
//!
//! A node that reaches no server uses relays only. While it does not know yet whether it does, a
//! request whose connection cannot be opened goes on by way of a relay within the same attempt: nothing
//! was sent. A relay that fails before anything was sent is replaced once by another one.

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
    whinspring::{
        name::Name,
        notices::{Life, Purpose, Refusal, Source, Wait},
    },
    whinspring_http::{
        backend::{CallError, Conn, NoStream, RequestBody},
        headers::SERVER_START,
    },
};

/// Relays that one attempt may try, as long as nothing was sent.
const MAX_RELAYS: usize = 2;

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
        if !node.is_cut_off() {
            let result = self.send_directly(attempt).await;
            match result {
                Err(error) if error.is_unsent() && node.reach.borrow().is_in_doubt() => {}
                other => return other,
            }
        }
        let mut failed = None;
        for _ in 0..MAX_RELAYS {
            let server = &attempt.server;
            let Some(relay) = client::find(node, server, failed.as_ref()) else { break };
            *path = Path::Relay(relay.name.clone());
            node.metrics.count("relayed");
            match self.send_by(&relay, attempt, life).await {
                Err(error) if error.is_unsent() => node.metrics.count("relay_failed"),
                other => return other,
            }
            failed = Some(relay.name);
        }
        Err(CallError::Unreachable.into())
    }

    /// Sends the request over an own connection to the server. A reused connection that fails before
    /// anything was sent is replaced once by a new one.
    async fn send_directly(
        &self,
        attempt: &mut Attempt<P>,
    ) -> Result<Response<Incoming>, SendError> {
        for fresh in [false, true] {
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
        for fresh in [false, true] {
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

    /// Sends the request on a connection, unless the server has said meanwhile that it wants none.
    /// `life` is the instance of the server that a relay is to use.
    async fn send_on(
        &self,
        conn: Conn<NoStream>,
        attempt: &mut Attempt<P>,
        life: Option<Life>,
    ) -> Result<Response<Incoming>, SendError> {
        let mut request = self.build_request(&attempt.server);
        if let Some(life) = life {
            request.headers_mut().insert(SERVER_START, life.start_ms.into());
        }
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
        let left = self.deadline.since(self.node.now()).as_millis().max(1) as u64;
        headers.insert(names.deadline.clone(), left.into());
        if let Ok(value) = HeaderValue::from_str(server) {
            headers.insert(names.target.clone(), value);
        }
        request
    }
}
