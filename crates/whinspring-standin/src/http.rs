//! The HTTP plumbing that the stand-ins share.

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

/// Body of an answer: whole or generated while it is sent.
pub type Body = Either<Full<Bytes>, Pattern>;

/// Answer of a stand-in.
pub type Answer = Response<Body>;

/// The connection is closed without an answer.
#[derive(Debug, Snafu)]
#[snafu(display("closed without an answer"))]
pub struct Hangup;

/// Answers the requests of one listener.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request; dropped when the connection closes.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Answer, Hangup>> + Send;
}

/// A listener that is being served.
#[derive(Debug)]
pub struct Running {
    /// Address it listens on.
    pub addr: SocketAddr,
    task: JoinHandle<()>,
}

impl Running {
    /// Stops listening and cuts every connection.
    pub async fn close(self) {
        self.task.abort();
        let _ = self.task.await;
    }

    /// Serves until the process ends.
    pub async fn wait(self) {
        let _ = self.task.await;
    }
}

/// Serves at most `conns` connections at once; further ones are accepted and closed.
pub async fn serve<H: Handler>(
    listen: SocketAddr,
    conns: usize,
    handler: Arc<H>,
) -> io::Result<Running> {
    let listener = TcpListener::bind(listen).await?;
    let addr = listener.local_addr()?;
    let task = tokio::spawn(accept(listener, conns, handler));
    Ok(Running { addr, task })
}

/// Accepts connections; all are cut when this is dropped.
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
            connection(stream, handler).await;
            open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// Serves one connection until either side closes it.
async fn connection<H: Handler>(stream: TcpStream, handler: Arc<H>) {
    let _ = stream.set_nodelay(true);
    let service = hyper::service::service_fn(move |request| handler.clone().handle(request));
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Returns an answer without a body.
pub fn status(status: StatusCode) -> Answer {
    let mut answer = Response::new(Either::Left(Full::default()));
    *answer.status_mut() = status;
    answer
}

/// Returns an answer with a JSON body.
pub fn json<T: Serialize>(value: &T) -> Answer {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut answer = Response::new(Either::Left(Full::from(body)));
    let kind = hyper::header::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(hyper::header::CONTENT_TYPE, kind);
    answer
}
