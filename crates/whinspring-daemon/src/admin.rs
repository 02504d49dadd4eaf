//! HTTP endpoint for operators' tools: metrics, liveness, readiness, status and diagnostics.

use {
    crate::{caller::request::percent_decode, journal::JournalEvent, shared::Shared},
    http::{HeaderValue, Response, StatusCode, Uri, header::CONTENT_TYPE},
    serde::Serialize,
    std::{borrow::Cow, io, net::TcpListener, sync::Arc, thread},
    tokio::sync::oneshot,
    whinspring::{
        history::{Change, History},
        model::{Owner, Service},
        name::slice_of,
        request::Place,
        view::ServiceView,
    },
    xitca_server::ServerHandle,
    xitca_web::{
        App, HttpServer,
        body::ResponseBody,
        handler::{handler_service, state::StateRef, uri::UriRef},
        http::WebResponse,
        route::get,
    },
};

/// HTTP endpoint for operators' tools.
pub struct Admin {
    server: ServerHandle,
    /// Resolves when the server has stopped.
    stopped: oneshot::Receiver<()>,
}

/// Content of `/status`.
#[derive(Debug, Serialize)]
struct StatusPage {
    node: String,
    incarnation: u64,
    /// Whether the node accepts requests.
    ready: bool,
    /// Whether the node is shutting down.
    leaving: bool,
    /// Whether the node's lease is valid.
    leased: bool,
    controller: bool,
    /// Revision up to which the node has read every record.
    seen: u64,
    services: Vec<ServiceStatus>,
    /// Servers that the node holds.
    held: Vec<HeldStatus>,
    /// Requests of callers in progress.
    flights: i64,
    /// Connections of callers.
    callers: i64,
}

/// A service in `/status`.
#[derive(Debug, Serialize)]
struct ServiceStatus {
    name: String,
    /// Version of the declaration in force on this node.
    version: u64,
}

/// A held server in `/status`.
#[derive(Debug, Serialize)]
struct HeldStatus {
    service: String,
    server: u32,
    /// Term under which it is held.
    term: u64,
    running: u32,
    queued: u32,
    /// Whether this node considers the server reachable.
    up: bool,
}

/// Content of `/explain`: this node's recent events of a request.
#[derive(Debug, Serialize)]
struct ExplainPage {
    node: String,
    /// The events in order.
    events: Vec<Event>,
}

/// One event of a request.
#[derive(Debug, Serialize)]
struct Event {
    /// Wall-clock time, in milliseconds since the Unix epoch.
    at_ms: u64,
    /// Node at which it occurred: `entry` or `holder`.
    hop: &'static str,
    /// Description of the event.
    text: String,
    /// Result code, if the event has one.
    code: Option<u16>,
}

impl From<JournalEvent> for Event {
    fn from(event: JournalEvent) -> Self {
        Self {
            at_ms: event.at.0,
            hop: event.hop.as_str(),
            text: event.kind.text(),
            code: event.kind.code().map(|code| code as u16),
        }
    }
}

/// Content of `/history`: the owners of a key known to this node.
#[derive(Debug, Serialize)]
struct HistoryPage {
    node: String,
    /// Changes seen by the node, in order.
    changes: Vec<Ownership>,
}

/// One change of the owner of a key.
#[derive(Debug, Serialize)]
struct Ownership {
    service: String,
    /// Version of the record that made the change.
    version: u64,
    /// Wall-clock time at which this node read the record, in milliseconds since the Unix epoch.
    at_ms: u64,
    /// Number of the previous owner.
    former: Option<u32>,
    /// Number of the new owner.
    server: u32,
    /// Epoch of the ownership.
    epoch: u64,
    cause: String,
}

impl From<&Change> for Ownership {
    fn from(change: &Change) -> Self {
        Self {
            service: change.service.to_string(),
            version: change.version,
            at_ms: change.at.0,
            former: change.former.map(|former| former.0),
            server: change.server.0,
            epoch: change.epoch,
            cause: change.cause.text(),
        }
    }
}

impl Admin {
    /// Starts serving on a bound socket.
    ///
    /// # Errors
    ///
    /// Fails if the socket or the thread cannot be set up.
    pub fn start(shared: Arc<Shared>, listener: TcpListener) -> io::Result<Self> {
        let app = App::new()
            .with_state(shared)
            .at("/metrics", get(handler_service(metrics)))
            .at("/live", get(handler_service(live)))
            .at("/ready", get(handler_service(ready)))
            .at("/status", get(handler_service(status)))
            .at("/explain", get(handler_service(explain)))
            .at("/history", get(handler_service(history)));
        let server = HttpServer::serve(app.finish()).worker_threads(1).disable_signal();
        let mut server = server.listen(listener)?.run();
        let handle = server.handle()?;
        let (stop_sender, stopped) = oneshot::channel();
        thread::Builder::new().name("admin".into()).spawn(move || {
            let _ = server.wait();
            let _ = stop_sender.send(());
        })?;
        Ok(Self { server: handle, stopped })
    }

    /// Stops serving.
    pub async fn close(self) {
        self.server.stop(false);
        let _ = self.stopped.await;
    }
}

/// Returns the metrics page.
async fn metrics(StateRef(shared): StateRef<'_, Arc<Shared>>) -> WebResponse {
    let media_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    respond(StatusCode::OK, media_type, shared.metrics.page())
}

/// Reports that the process is running.
async fn live() -> WebResponse {
    respond(StatusCode::OK, "text/plain", "live\n".into())
}

/// Reports whether the node accepts requests.
async fn ready(StateRef(shared): StateRef<'_, Arc<Shared>>) -> WebResponse {
    if shared.is_ready() {
        return respond(StatusCode::OK, "text/plain", "ready\n".into());
    }
    respond(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "not ready\n".into())
}

/// Returns the status page.
async fn status(StateRef(shared): StateRef<'_, Arc<Shared>>) -> WebResponse {
    let held = shared.held_servers().into_iter().map(|held| {
        let (running, queued) = held.load();
        HeldStatus {
            service: held.service().to_string(),
            server: held.server().0,
            term: held.term(),
            running,
            queued,
            up: held.is_up(),
        }
    });
    let view = shared.view();
    let services = view.services().map(|service| ServiceStatus {
        name: service.service().name.to_string(),
        version: service.version(),
    });
    let status = StatusPage {
        node: shared.node.to_string(),
        incarnation: shared.incarnation(),
        ready: shared.is_ready(),
        leaving: shared.is_leaving(),
        leased: shared.is_leased(),
        controller: shared.is_controller(),
        seen: shared.seen_revision(),
        services: services.collect(),
        held: held.collect(),
        flights: shared.metrics.in_flight.get(),
        callers: shared.metrics.callers.get(),
    };
    respond_json(&status)
}

/// Returns this node's recent events of the request with the id in the parameter `id`.
async fn explain(
    StateRef(shared): StateRef<'_, Arc<Shared>>,
    UriRef(uri): UriRef<'_>,
) -> WebResponse {
    let Some(id) = query_parameter(uri, "id") else { return bad_parameter("id") };
    let events = shared.journal.events_of(&id).into_iter().map(Event::from).collect();
    respond_json(&ExplainPage { node: shared.node.to_string(), events })
}

/// Returns the owners of the key in the parameter `key` that are known to this node.
async fn history(
    StateRef(shared): StateRef<'_, Arc<Shared>>,
    UriRef(uri): UriRef<'_>,
) -> WebResponse {
    let Some(key) = query_parameter(uri, "key") else { return bad_parameter("key") };
    let view = shared.view();
    let history = shared.history.lock();
    let keyed = view.services().filter(|service| service.service().slices > 0);
    let changes = keyed.flat_map(|service| owner_changes(&history, service, &key)).collect();
    respond_json(&HistoryPage { node: shared.node.to_string(), changes })
}

/// Returns the changes of a key's owner, or its current owner if it never changed.
fn owner_changes(history: &History, service: &ServiceView, key: &str) -> Vec<Ownership> {
    let Service { name, slices, .. } = service.service();
    let changes = history.changes_of(name, *slices, key);
    if !changes.is_empty() {
        return changes.into_iter().map(Ownership::from).collect();
    }
    let place = Place { key: key.into(), slice: slice_of(key, *slices) };
    let unchanged = |owner: &Owner| Ownership {
        service: name.to_string(),
        version: 0,
        at_ms: history.since().unwrap_or_default().0,
        former: None,
        server: owner.server.0,
        epoch: owner.epoch,
        cause: "unchanged since the node's start".into(),
    };
    service.owner(&place).map(unchanged).into_iter().collect()
}

/// Returns a parameter of the query string, decoded.
fn query_parameter(uri: &Uri, name: &str) -> Option<String> {
    let mut pairs = uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    percent_decode(value).map(Cow::into_owned)
}

/// Builds the response to a call whose parameter is missing or malformed.
fn bad_parameter(name: &str) -> WebResponse {
    let text =
        format!("the parameter {name} is missing or malformed; expected percent-encoded UTF-8\n");
    respond(StatusCode::BAD_REQUEST, "text/plain", text)
}

/// Builds a JSON response.
fn respond_json(value: &impl Serialize) -> WebResponse {
    let body = serde_json::to_string(value).expect("numbers and strings are valid JSON");
    respond(StatusCode::OK, "application/json", body)
}

/// Builds a response.
fn respond(status: StatusCode, media_type: &'static str, body: String) -> WebResponse {
    let mut response = Response::new(ResponseBody::from(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(media_type));
    response
}
