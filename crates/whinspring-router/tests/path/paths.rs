//! Requests of a node that may have lost its paths to all servers.

use {
    crate::{
        links::{FakePeer, LONG_INTERVAL_MS},
        rig::{Rig, run},
    },
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
        task::spawn_local,
        time::sleep,
    },
    whinspring::gate::ServerOutcome,
    whinspring_router::{
        message::{Admitted, Body},
        reach,
        request::probe_server,
    },
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

/// Guards against refusals of a harmless request: its connection breaks as the failure domain of its
/// server is cut off, which refuses connections like a server that has crashed.
#[test]
fn a_refusal_from_a_domain_that_is_not_reached_is_no_crash() {
    for (servers, is_crash) in [(["b1", "b2", "s1", "s2"], false), (["b1", "s1", "s2", "s3"], true)]
    {
        run(
            |_| None,
            |rig| async move {
                let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
                rig.node.platform.far.set(listener.local_addr().ok());
                drop(listener);
                rig.list_servers(&servers);
                let pool = rig.node.view.borrow().servers["b1"].backend.clone();
                probe_server(rig.node.clone(), "b1".into(), pool, 7).await;
                assert_eq!(rig.node.crashes.borrow().is_empty(), !is_crash, "{servers:?}");
            },
        );
    }
}

/// Returns the outcome that a gate on another node learns of a request whose connection is refused,
/// after connections to `failed` of three servers have failed.
async fn outcome_of_refused(rig: &Rig, failed: usize) -> ServerOutcome {
    let (mut peer, mut link) = FakePeer::connect(rig, true, LONG_INTERVAL_MS).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    rig.node.platform.server.set(listener.local_addr().unwrap());
    drop(listener);
    let servers = ["s1", "s2", "s3"];
    rig.list_servers(&servers);
    for server in &servers[1..=failed] {
        reach::record_open(&rig.node, &(*server).into(), false);
    }
    let mut caller = rig.connect().await;
    caller.write_all(REQUEST.as_bytes()).await.unwrap();
    let Body::Admit(admit) = peer.next(&mut link).await else { panic!("expected a request") };
    let server = "s1".to_string();
    peer.send(Body::Admitted(Admitted { number: admit.number, server, limit: None })).await;
    let Body::Done(done) = peer.next(&mut link).await else { panic!("expected its end") };
    done.outcome()
}

#[test]
fn a_failed_connection_is_the_servers_while_others_are_reached() {
    run(
        |_| None,
        |rig| async move {
            assert_eq!(outcome_of_refused(&rig, 0).await, ServerOutcome::Failed);
        },
    );
}

#[test]
fn failed_connections_of_a_node_without_paths_make_no_server_rest() {
    run(
        |_| None,
        |rig| async move {
            assert_eq!(outcome_of_refused(&rig, 2).await, ServerOutcome::NotSent);
        },
    );
}
