//! Tracking and graceful closing of callers' connections.

use {
    crate::metrics::Metrics,
    socket2::SockRef,
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::sync::watch,
    tokio_util::sync::CancellationToken,
    whinspring_http::caller::Conn,
    xitca_io::net::TcpStream,
    xitca_service::{Service, ready::ReadyService},
};

/// Time after which unacknowledged data closes a caller's connection (`TCP_USER_TIMEOUT`).
const UNACKED_TIMEOUT: Duration = Duration::from_secs(30);

/// Open connections of callers.
#[derive(Debug)]
pub struct Connections {
    /// Cancelled when idle connections are to be closed.
    closing: CancellationToken,
    open: watch::Sender<usize>,
    metrics: Arc<Metrics>,
}

impl Connections {
    pub fn new(metrics: Arc<Metrics>) -> Self {
        Self { closing: CancellationToken::new(), open: watch::Sender::new(0), metrics }
    }

    /// Closes idle connections and waits for the others to end.
    pub async fn close(&self) {
        self.closing.cancel();
        let mut open = self.open.subscribe();
        let _ = open.wait_for(|count| *count == 0).await;
    }

    /// Counts a connection until the result is dropped.
    fn track(self: &Arc<Self>) -> ConnectionGuard {
        self.open.send_modify(|count| *count += 1);
        self.metrics.callers.inc();
        ConnectionGuard(self.clone())
    }

    /// Waits until closing has begun and the connection is idle.
    async fn wait_close(&self, conn: &Conn) {
        self.closing.cancelled().await;
        conn.wait_closable().await;
    }
}

/// Counts an open connection until it is dropped.
struct ConnectionGuard(Arc<Connections>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.metrics.callers.dec();
        self.0.open.send_modify(|count| *count -= 1);
    }
}

/// Builds the connection-tracking service of each thread around the HTTP service built by `F`.
pub struct TrackedFactory<F> {
    /// Factory of the HTTP service.
    inner: F,
    connections: Arc<Connections>,
}

impl<F> TrackedFactory<F> {
    pub fn new(inner: F, connections: Arc<Connections>) -> Self {
        Self { inner, connections }
    }
}

impl<F: Service> Service for TrackedFactory<F> {
    type Response = TrackedService<F::Response>;
    type Error = F::Error;

    async fn call(&self, (): ()) -> Result<Self::Response, F::Error> {
        let inner = self.inner.call(()).await?;
        Ok(TrackedService { inner, connections: self.connections.clone() })
    }
}

/// Serves and tracks the connections of one thread.
pub struct TrackedService<S> {
    /// HTTP service.
    inner: S,
    connections: Arc<Connections>,
}

impl<S> Service<(TcpStream, SocketAddr)> for TrackedService<S>
where
    S: Service<(TcpStream, SocketAddr)>,
{
    type Response = ();
    type Error = io::Error;

    async fn call(&self, (stream, addr): (TcpStream, SocketAddr)) -> io::Result<()> {
        let guard = self.connections.track();
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKED_TIMEOUT))?;
        let conn = Conn::new(&stream)?;
        tokio::select! {
            _ = conn.clone().scope(self.inner.call((stream, addr))) => {}
            () = self.connections.wait_close(&conn) => {}
        }
        drop(guard);
        Ok(())
    }
}

impl<S: ReadyService> ReadyService for TrackedService<S> {
    type Ready = S::Ready;

    async fn ready(&self) -> S::Ready {
        self.inner.ready().await
    }
}
