//! Requests of a node that may have lost its paths to all servers.

use {
    crate::rig::{Rig, run},
    std::time::Duration,
    tokio::{io::AsyncReadExt, net::TcpListener, task::spawn_local, time::sleep},
};

/// Time within which a request that breaks off is taken for a crash.
const CRASH_DELAY: Duration = Duration::from_millis(200);

const REQUEST: &str =
    "POST /once/1 HTTP/1.1\r\nhost: a.example\r\nx-id: i1\r\nx-deadline: 1500\r\n\r\n";

/// Puts the servers at an address that takes one connection, breaks it off with the first request,
/// and refuses all connections from then on.
async fn crash_next(rig: &Rig) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    rig.node.platform.server.set(listener.local_addr().unwrap());
    rig.list_servers(&["s1", "s2", "s3"]);
    spawn_local(async move {
        let (mut socket, _) = listener.accept().await.unwrap();
        drop(listener);
        let _ = socket.read_buf(&mut Vec::new()).await;
    });
}

#[test]
fn a_refusal_after_a_lost_request_is_a_crash_while_others_are_reached() {
    run(
        |_| None,
        |rig| async move {
            crash_next(&rig).await;
            rig.send(REQUEST).await;
            sleep(CRASH_DELAY).await;
            assert!(!rig.node.crashes.borrow().is_empty());
        },
    );
}

#[test]
fn a_refusal_to_a_node_that_reaches_no_server_is_no_crash() {
    run(
        |_| None,
        |rig| async move {
            rig.node.platform.pathless.set(true);
            crash_next(&rig).await;
            rig.send(REQUEST).await;
            sleep(CRASH_DELAY).await;
            assert!(rig.node.crashes.borrow().is_empty());
        },
    );
}
