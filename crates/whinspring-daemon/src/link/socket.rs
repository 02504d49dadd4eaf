//! Options of the sockets between nodes.

use {
    socket2::SockRef,
    std::{io, net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, time::timeout},
};

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which unacknowledged bytes end a connection.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Opens a connection.
pub async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let socket = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await??;
    set_options(&socket)?;
    Ok(socket)
}

/// Sets the options of a new connection.
pub fn set_options(socket: &TcpStream) -> io::Result<()> {
    socket.set_nodelay(true)?;
    SockRef::from(socket).set_tcp_user_timeout(Some(UNACKED_TIMEOUT))
}
