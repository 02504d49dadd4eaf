//! Requests that come late in a planned shutdown of their node.

use {
    crate::rig::{Rig, read_response, run_with},
    std::time::Duration,
    tokio::{io::AsyncWriteExt, net::TcpStream, task::spawn_local, time::sleep},
    whinspring_router::{settings::Limits, shutdown},
};

/// Grace period: the node ends 3.5 s after the start of the shutdown.
const GRACE: Duration = Duration::from_secs(4);

/// Time after the start of the shutdown at which the last bytes of a late request arrive.
const LATE: Duration = Duration::from_millis(2_600);

/// Time that callers wait: one of a late request waits longer than the node lives.
const WAIT_MS: u32 = 1_500;

fn limits() -> Limits {
    Limits { grace: GRACE, ..Limits::default() }
}

fn build_request(wait_ms: u32, internal: &str) -> String {
    format!(
        "POST /once/1 HTTP/1.1\r\nhost: a.example\r\nx-id: i1\r\nx-deadline: {wait_ms}\r\n{internal}\r\n"
    )
}

/// Begins a request and the shutdown, and sends the rest of the head late. Returns the response, and
/// whether it came before the end of the process.
async fn send_late(rig: &Rig, mut socket: TcpStream, request: &str) -> (String, bool) {
    let (start, rest) = request.as_bytes().split_at(request.len() / 2);
    socket.write_all(start).await.unwrap();
    let node = rig.clone();
    let process = spawn_local(async move {
        shutdown::run(&node.node, &node.callers, &node.relaying).await;
    });
    sleep(LATE).await;
    socket.write_all(rest).await.unwrap();
    let response = read_response(&mut socket).await;
    (response, !process.is_finished())
}

/// Guards against a request that may run once and that is cut off at the end of a planned shutdown: it
/// came when its server had not enough time left.
#[test]
fn a_request_that_could_outlast_the_node_is_rejected() {
    run_with(
        limits(),
        |_| Some("wait".into()),
        |rig| async move {
            let socket = rig.connect().await;
            let (response, in_time) = send_late(&rig, socket, &build_request(WAIT_MS, "")).await;
            assert!(rig.seen.borrow().is_empty(), "it was passed on: {response}");
            assert!(response.starts_with("HTTP/1.1 503"), "{response}");
            assert!(response.contains("retry-after: 0.0"), "{response}");
            assert!(in_time);
        },
    );
}

/// The same with a request that another node relays: that one uses another relay.
#[test]
fn a_relayed_request_that_could_outlast_the_node_is_not_sent() {
    let internal = "x-target: s1\r\nwhinspring-server-start-ms: 0\r\n";
    run_with(
        limits(),
        |_| Some("wait".into()),
        |rig| async move {
            let socket = rig.connect_relay().await;
            let (response, in_time) =
                send_late(&rig, socket, &build_request(WAIT_MS, internal)).await;
            assert!(rig.seen.borrow().is_empty(), "it was passed on: {response}");
            assert!(response.contains("whinspring-relay-fault: unsent"), "{response}");
            assert!(in_time);
        },
    );
}

/// Guards against callers that are rejected although there is time for their requests.
#[test]
fn a_late_request_that_ends_before_the_node_is_served() {
    let answer = |_: &str| {
        Some("HTTP/1.1 200 OK\r\nx-id: i1\r\nx-seal: s\r\ncontent-length: 2\r\n\r\nok".into())
    };
    run_with(limits(), answer, |rig| async move {
        let socket = rig.connect().await;
        let (response, in_time) = send_late(&rig, socket, &build_request(WAIT_MS / 3, "")).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert!(in_time);
    });
}
