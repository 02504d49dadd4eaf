//! Graceful shutdown of the endpoint for callers.

use {
    crate::{
        callers::until,
        path::{fenced, lookup, pair},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        sync::oneshot,
    },
    whinspring_standin::caller::{Caller, End},
};

/// Size of a download that is in progress when the shutdown begins.
const DOWNLOAD_BYTES: usize = 16 << 20;

/// Reads the remainder of a response until the socket closes; returns the length of its body.
async fn read_rest(socket: &mut TcpStream, mut bytes: Vec<u8>) -> usize {
    socket.read_to_end(&mut bytes).await.expect("socket is not reset");
    let end = bytes.windows(4).position(|part| part == b"\r\n\r\n").expect("response has a head");
    bytes.len() - end - 4
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn stop_cuts_no_download_and_closes_idle_connections() {
    let pair = pair("b", fenced()).await;
    let (a, addr) = (pair.a, pair.a_callers);
    let caller = Caller::new();
    let call = lookup(&a, "k");
    assert!(caller.send(&call).await.is_right());

    let mut idle = TcpStream::connect(addr).await.expect("listener accepts");
    let mut download = TcpStream::connect(addr).await.expect("listener accepts");
    let request = format!("GET /bundles/x?bytes={DOWNLOAD_BYTES} HTTP/1.1\r\nhost: t\r\n\r\n");
    download.write_all(request.as_bytes()).await.expect("socket is writable");
    let mut start = vec![0; 1_000];
    download.read_exact(&mut start).await.expect("response starts");

    let (end, mut ended) = oneshot::channel();
    let shared = a.shared.clone();
    let callers = a.callers;
    tokio::spawn(async move {
        callers.close().await;
        let _ = end.send(());
    });
    until(|| shared.is_leaving()).await;
    let reply = Caller::new().send(&call).await;
    assert!(reply.is_right(), "still served during the notice period: {reply:?}");

    let mut rest = Vec::new();
    assert_eq!(idle.read_to_end(&mut rest).await.expect("socket is closed"), 0);
    let late = loop {
        let reply = Caller::new().send(&call).await;
        if !reply.is_right() {
            break reply;
        }
    };
    assert_eq!(late.end, End::Unreachable, "{late:?}");
    assert!(ended.try_recv().is_err(), "download is still in progress");
    assert_eq!(read_rest(&mut download, start).await, DOWNLOAD_BYTES);
    ended.await.expect("shutdown completes");
}
