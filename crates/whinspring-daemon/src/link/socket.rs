//! Socket options of connections between nodes.

use {
    socket2::SockRef,
    std::{io, net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, time::timeout},
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which the kernel drops a connection with unacknowledged data.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Connects within `CONNECT_TIMEOUT` and sets the socket options.
pub async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let socket = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await??;
    set_options(&socket)?;
    Ok(socket)
}

/// Disables Nagle's algorithm and sets the TCP user timeout.
pub fn set_options(socket: &TcpStream) -> io::Result<()> {
    socket.set_nodelay(true)?;
    SockRef::from(socket).set_tcp_user_timeout(Some(UNACKED_TIMEOUT))
}
