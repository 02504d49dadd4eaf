//! Single HTTP calls to control a stand-in or to ask any process something.

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Method, Request, Response, client::conn::http1, header::HOST},
    hyper_util::rt::TokioIo,
    std::{io, net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, time::timeout},
};

/// Longest time for a call.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Makes one call over a connection of its own and returns the whole answer.
///
/// # Errors
///
/// Fails if no whole answer came within five seconds.
pub async fn call(
    addr: SocketAddr,
    method: Method,
    path: &str,
    body: impl Into<Bytes>,
) -> io::Result<Response<Bytes>> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, addr.to_string())
        .body(Full::new(body.into()))
        .map_err(io::Error::other)?;
    match timeout(TIMEOUT, exchange(addr, request)).await {
        Ok(result) => result,
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}

/// Connects, sends and reads the whole answer.
async fn exchange(addr: SocketAddr, request: Request<Full<Bytes>>) -> io::Result<Response<Bytes>> {
    let stream = TcpStream::connect(addr).await?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    tokio::spawn(connection);
    let response = sender.send_request(request).await.map_err(io::Error::other)?;
    let (head, body) = response.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    Ok(Response::from_parts(head, body))
}
