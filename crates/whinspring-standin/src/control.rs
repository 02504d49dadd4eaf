//! Single HTTP requests, to control a stand-in or to query any process.

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Method, Request, Response, client::conn::http1, header::HOST},
    hyper_util::rt::TokioIo,
    std::{io, net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, time::timeout},
};

/// Timeout of a request, from connecting to the end of the response body.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Sends one request over a new connection and returns the complete response.
///
/// # Errors
///
/// Fails with [`io::ErrorKind::TimedOut`] if the response is not complete within five seconds,
/// and if the connection fails.
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

/// Connects, sends the request and reads the complete response.
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
