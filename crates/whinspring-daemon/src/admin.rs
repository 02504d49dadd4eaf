//! The port for operators' tools: metrics, liveness, readiness and status.

use {
    crate::shared::Shared,
    http::{HeaderValue, Response, StatusCode, header::CONTENT_TYPE},
    serde::Serialize,
    std::{io, net::TcpListener, sync::Arc, thread},
    tokio::sync::oneshot,
    xitca_server::ServerHandle,
    xitca_web::{
        App, HttpServer,
        body::ResponseBody,
        handler::{handler_service, state::StateRef},
        http::WebResponse,
        route::get,
    },
};

/// The port for operators' tools.
pub struct Admin {
    /// Stops the server.
    server: ServerHandle,
    /// Ends when the server has stopped.
    ended: oneshot::Receiver<()>,
}

/// What the status page shows.
#[derive(Debug, Serialize)]
struct Status {
    /// Name of the node.
    node: String,
    /// Its incarnation.
    incarnation: u64,
    /// Whether it takes requests.
    ready: bool,
    /// Whether it is stopping.
    leaving: bool,
    /// Whether its lease holds.
    leased: bool,
    /// Services that it knows.
    services: Vec<String>,
    /// Servers that it holds.
    held: Vec<HeldStatus>,
    /// Requests of callers in progress.
    flights: i64,
    /// Connections of callers.
    callers: i64,
}

/// What the status page shows of a held server.
#[derive(Debug, Serialize)]
struct HeldStatus {
    /// Its service.
    service: String,
    /// Its number.
    server: u32,
    /// Term under which it is held.
    term: u64,
    /// Requests that run there.
    running: u32,
    /// Requests that wait.
    queued: u32,
}

impl Admin {
    /// Starts to serve on a bound socket.
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
            .at("/status", get(handler_service(status)));
        let server = HttpServer::serve(app.finish()).worker_threads(1).disable_signal();
        let mut server = server.listen(listener)?.run();
        let handle = server.handle()?;
        let (end, ended) = oneshot::channel();
        thread::Builder::new().name("admin".into()).spawn(move || {
            let _ = server.wait();
            let _ = end.send(());
        })?;
        Ok(Self { server: handle, ended })
    }

    /// Stops serving.
    pub async fn close(self) {
        self.server.stop(false);
        let _ = self.ended.await;
    }
}

/// Returns the metrics page.
async fn metrics(StateRef(shared): StateRef<'_, Arc<Shared>>) -> WebResponse {
    let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    respond(StatusCode::OK, kind, shared.metrics.page())
}

/// Tells that the process runs.
async fn live() -> WebResponse {
    respond(StatusCode::OK, "text/plain", "live\n".into())
}

/// Tells whether the node takes requests.
async fn ready(StateRef(shared): StateRef<'_, Arc<Shared>>) -> WebResponse {
    if shared.is_ready() {
        return respond(StatusCode::OK, "text/plain", "ready\n".into());
    }
    respond(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "not ready\n".into())
}

/// Returns the status page.
async fn status(StateRef(shared): StateRef<'_, Arc<Shared>>) -> WebResponse {
    let held = shared.all_held().into_iter().map(|held| {
        let (running, queued) = held.load();
        HeldStatus {
            service: held.service().to_string(),
            server: held.server().0,
            term: held.term(),
            running,
            queued,
        }
    });
    let view = shared.view();
    let status = Status {
        node: shared.node.to_string(),
        incarnation: shared.incarnation(),
        ready: shared.is_ready(),
        leaving: shared.is_leaving(),
        leased: shared.is_leased(),
        services: view.services().map(|service| service.service().name.to_string()).collect(),
        held: held.collect(),
        flights: shared.metrics.flights.get(),
        callers: shared.metrics.callers.get(),
    };
    let body = serde_json::to_string(&status).expect("numbers and strings are valid JSON");
    respond(StatusCode::OK, "application/json", body)
}

/// Builds a response.
fn respond(status: StatusCode, kind: &'static str, body: String) -> WebResponse {
    let mut response = Response::new(ResponseBody::from(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}
