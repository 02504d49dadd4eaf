//! HTTP endpoints for the load balancer's readiness probe and for the metrics.

use {
    crate::{node::Node, platform::Platform},
    std::{rc::Rc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Longest time for a request and its response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay after an accept error.
pub(crate) const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

const MAX_REQUEST_BYTES: usize = 4 << 10;

/// What a port serves.
#[derive(Debug, Clone, Copy)]
pub enum Endpoint {
    Ready,
    Metrics,
}

/// Serves an endpoint until the task is aborted.
pub async fn serve<P: Platform>(node: Rc<Node<P>>, listener: TcpListener, endpoint: Endpoint) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                let node = node.clone();
                spawn_local(async move {
                    timeout(REQUEST_TIMEOUT, respond(node, socket, endpoint)).await
                });
            }
            Err(_) => sleep(ACCEPT_BACKOFF).await,
        }
    }
}

/// Handles one request and closes the connection.
async fn respond<P: Platform>(
    node: Rc<Node<P>>,
    mut socket: TcpStream,
    endpoint: Endpoint,
) -> std::io::Result<()> {
    let mut request = Vec::with_capacity(512);
    while !request.ends_with(b"\r\n\r\n") && request.len() < MAX_REQUEST_BYTES {
        if socket.read_buf(&mut request).await? == 0 {
            return Ok(());
        }
    }
    let text = String::from_utf8_lossy(&request);
    let path = text.split(' ').nth(1).unwrap_or_default().to_owned();
    let (status, body) = match endpoint {
        Endpoint::Ready if path != node.platform.ready_path() => ("404 Not Found", String::new()),
        Endpoint::Ready if node.is_ready() => ("200 OK", String::new()),
        Endpoint::Ready => ("503 Service Unavailable", String::new()),
        Endpoint::Metrics => ("200 OK", node.metrics.encode()),
    };
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Type: text/plain; version=0.0.4\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    socket.write_all(head.as_bytes()).await?;
    socket.write_all(body.as_bytes()).await?;
    socket.shutdown().await
}
