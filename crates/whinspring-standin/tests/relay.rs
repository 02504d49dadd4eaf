//! Relay: closed, stalled and blocked connections, and new connections beside them.

use {
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
    whinspring_standin::relay::Relay,
};

/// Starts a server that echoes the data it receives.
async fn start_echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    addr
}

/// Sends four bytes and expects them back.
async fn ping(stream: &mut TcpStream) -> std::io::Result<()> {
    stream.write_all(b"ping").await?;
    let mut back = [0; 4];
    stream.read_exact(&mut back).await?;
    assert_eq!(&back, b"ping");
    Ok(())
}

#[tokio::test]
async fn stalled_connections_are_silent_while_new_ones_work() {
    let relay =
        Relay::start("127.0.0.1:0".parse().unwrap(), start_echo_server().await).await.unwrap();
    let mut old = TcpStream::connect(relay.addr).await.unwrap();
    ping(&mut old).await.unwrap();
    relay.stall();
    let mut new = TcpStream::connect(relay.addr).await.unwrap();
    ping(&mut new).await.unwrap();
    let silent = tokio::time::timeout(Duration::from_millis(100), ping(&mut old)).await;
    assert!(silent.is_err());
    relay.close().await;
}

#[tokio::test]
async fn cut_closes_open_connections_only() {
    let relay =
        Relay::start("127.0.0.1:0".parse().unwrap(), start_echo_server().await).await.unwrap();
    let mut old = TcpStream::connect(relay.addr).await.unwrap();
    ping(&mut old).await.unwrap();
    relay.cut();
    assert!(ping(&mut old).await.is_err());
    let mut new = TcpStream::connect(relay.addr).await.unwrap();
    ping(&mut new).await.unwrap();
    relay.close().await;
}

#[tokio::test]
async fn blocked_data_arrives_after_unblocking() {
    let relay =
        Relay::start("127.0.0.1:0".parse().unwrap(), start_echo_server().await).await.unwrap();
    let mut stream = TcpStream::connect(relay.addr).await.unwrap();
    ping(&mut stream).await.unwrap();
    relay.block(true);
    stream.write_all(b"late").await.unwrap();
    let mut back = [0; 4];
    let held = tokio::time::timeout(Duration::from_millis(100), stream.read_exact(&mut back)).await;
    assert!(held.is_err());
    relay.block(false);
    stream.read_exact(&mut back).await.unwrap();
    assert_eq!(&back, b"late");
    relay.close().await;
}
