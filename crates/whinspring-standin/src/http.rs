//! HTTP server shared by the stand-ins.

use {
    crate::pattern::Pattern,
    bytes::Bytes,
    http_body_util::{Either, Full},
    hyper::{Request, Response, StatusCode, body::Incoming, server::conn::http1},
    hyper_util::rt::{TokioIo, TokioTimer},
    serde::Serialize,
    snafu::Snafu,
    std::{
        future::Future,
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
    },
    tokio::{
        net::{TcpListener, TcpStream},
        task::{JoinHandle, JoinSet},
    },
};

/// Body of a message: in memory, or generated while it is sent.
pub type Body = Either<Full<Bytes>, Pattern>;

pub type HttpResponse = Response<Body>;

/// Returned by a handler to close the connection without a response.
#[derive(Debug, Snafu)]
#[snafu(display("connection closed without a response"))]
pub struct NoResponse;

/// Handles the requests of one listener.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request; the future is dropped when the connection closes.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<HttpResponse, NoResponse>> + Send;
}

/// A server that runs in a task of its own.
#[derive(Debug)]
pub struct RunningServer {
    pub addr: SocketAddr,
    task: JoinHandle<()>,
}

impl RunningServer {
    /// Stops listening and closes every connection.
    pub async fn close(self) {
        self.task.abort();
        let _ = self.task.await;
    }

    /// Waits for the server, which runs until the process exits.
    pub async fn wait(self) {
        let _ = self.task.await;
    }
}

/// Serves at most `conns` connections at once; further ones are accepted and closed.
pub async fn serve<H: Handler>(
    listen: SocketAddr,
    conns: usize,
    handler: Arc<H>,
) -> io::Result<RunningServer> {
    let listener = TcpListener::bind(listen).await?;
    let addr = listener.local_addr()?;
    let task = tokio::spawn(accept(listener, conns, handler));
    Ok(RunningServer { addr, task })
}

/// Accepts connections; all of them are closed when this future is dropped.
async fn accept<H: Handler>(listener: TcpListener, conns: usize, handler: Arc<H>) {
    let open = Arc::new(AtomicUsize::new(0));
    let mut tasks = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        while tasks.try_join_next().is_some() {}
        if open.load(Ordering::Relaxed) >= conns {
            continue;
        }
        open.fetch_add(1, Ordering::Relaxed);
        let (open, handler) = (open.clone(), handler.clone());
        tasks.spawn(async move {
            serve_connection(stream, handler).await;
            open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// Serves one connection until either side closes it.
async fn serve_connection<H: Handler>(stream: TcpStream, handler: Arc<H>) {
    let _ = stream.set_nodelay(true);
    let service = hyper::service::service_fn(move |request| handler.clone().handle(request));
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Returns a response without a body.
pub fn status(status: StatusCode) -> HttpResponse {
    let mut response = Response::new(Either::Left(Full::default()));
    *response.status_mut() = status;
    response
}

/// Returns a response with a JSON body.
pub fn json<T: Serialize>(value: &T) -> HttpResponse {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Either::Left(Full::from(body)));
    let content_type = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, content_type);
    response
}
