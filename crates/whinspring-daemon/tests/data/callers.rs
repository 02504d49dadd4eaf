//! The endpoint for callers: invalid input, disconnects, slow bodies, truncated responses and
//! deadlines.

use {
    crate::{
        path::{Pair, fenced, pair},
        rig::{Daemon, MAX_IN_FLIGHT, Placement, ScriptedServer, daemon, publish},
    },
    hyper::Method,
    std::{net::SocketAddr, path::Path, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::sleep,
    },
    whinspring_standin::{
        caller::{Call, Caller, End},
        runs::{self, Event},
        server::Options,
    },
};

/// Duration of work that outlasts every test.
const ENDLESS_WORK: Duration = Duration::from_secs(600);

/// Sends raw bytes and reads until the connection closes.
async fn send_raw(addr: SocketAddr, request: &[u8]) -> String {
    let mut socket = TcpStream::connect(addr).await.expect("listener accepts");
    socket.write_all(request).await.expect("socket is writable");
    let mut response = Vec::new();
    let _ = socket.read_to_end(&mut response).await;
    String::from_utf8_lossy(&response).into_owned()
}

/// Waits until `condition` holds.
pub async fn until(condition: impl Fn() -> bool) {
    while !condition() {
        sleep(Duration::from_millis(2)).await;
    }
}

/// Returns the number of requests running on the servers that a node holds.
fn running(daemon: &Daemon) -> u32 {
    daemon.shared.held_servers().iter().map(|held| held.load().0).sum()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bad_input_is_answered_at_once_with_its_code() {
    let pair = pair("a", fenced()).await;
    let long_id = "i".repeat(129);
    let cases: &[(&str, &str, u16, u16)] = &[
        ("GET /nowhere", "", 404, 400),
        ("GET /_whinspring/grant", "x-key: k\r\n", 404, 400),
        ("GET /checks/%5fwhinspring/grant", "x-key: k\r\n", 404, 400),
        ("GET /checks/../_whinspring/grant", "x-key: k\r\n", 400, 405),
        ("GET /checks/%2e%2e/x", "x-key: k\r\n", 400, 405),
        ("GET /checks/%zz", "x-key: k\r\n", 400, 405),
        ("GET /checks/x", "", 400, 401),
        ("GET /checks/x", "x-key:\r\n", 400, 401),
        ("GET /checks/x", "x-key: a\r\nx-key: b\r\n", 400, 401),
        ("GET /checks/x", "x-key: k\r\nwhinspring-deadline-ms: soon\r\n", 400, 402),
        ("GET /checks/x", "x-key: k\r\nwhinspring-deadline-ms: 0\r\n", 400, 402),
        ("GET /checks/x", "x-key: k\r\nwhinspring-deadline-ms: -5\r\n", 400, 402),
        ("GET /checks/x", "x-key: k\r\nwhinspring-deadline-ms: 60001\r\n", 400, 402),
        ("GET /checks/x", "x-key: k\r\nwhinspring-deadline-ms: 99999999999\r\n", 400, 402),
        ("POST /checks/x", "x-key: k\r\n", 400, 403),
        ("POST /checks/x", "x-key: k\r\nwhinspring-request-id: a b\r\n", 400, 404),
        ("POST /checks/x", &format!("x-key: k\r\nwhinspring-request-id: {long_id}\r\n"), 400, 404),
        ("GET /checks/x", "x-key: k\r\nwhinspring-repeatable: maybe\r\n", 400, 405),
        ("GET /checks/x", "x-key: k\r\nwhinspring-attempt: first\r\n", 400, 405),
        ("GET /checks/x", "x-key: k\r\nconnection: upgrade\r\nupgrade: x\r\n", 400, 405),
        ("TRACE /checks/x", "x-key: k\r\n", 400, 405),
    ];
    for (line, headers, status, code) in cases {
        let request = format!("{line} HTTP/1.1\r\nhost: t\r\nconnection: close\r\n{headers}\r\n");
        let response = send_raw(pair.a.callers_addr, request.as_bytes()).await;
        let first = format!("HTTP/1.1 {status} ");
        assert!(response.starts_with(&first), "{line} {headers}: {response}");
        assert!(response.contains(&format!("whinspring-code: {code}\r\n")), "{line}: {response}");
        assert!(response.contains("whinspring-class: not-run\r\n"), "{line}: {response}");
        assert!(response.contains(&format!("{{\"code\":{code},")), "{line}: {response}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn missing_host_old_versions_garbage_and_oversized_heads_are_refused() {
    let pair = pair("a", fenced()).await;
    let addr = pair.a.callers_addr;
    let no_host = send_raw(addr, b"GET /checks/x HTTP/1.1\r\nconnection: close\r\n\r\n").await;
    assert!(no_host.contains("whinspring-code: 405\r\n"), "{no_host}");
    let old = send_raw(addr, b"GET /checks/x HTTP/1.0\r\nhost: t\r\nx-key: k\r\n\r\n").await;
    assert!(old.contains("whinspring-code: 405\r\n"), "{old}");
    let garbage = send_raw(addr, b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n").await;
    assert!(garbage.starts_with("HTTP/1.1 400 "), "{garbage}");
    let large = format!("GET /checks/x HTTP/1.1\r\nhost: t\r\nx: {}\r\n\r\n", "y".repeat(100_000));
    let oversized = send_raw(addr, large.as_bytes()).await;
    assert!(oversized.is_empty() || oversized.starts_with("HTTP/1.1 431 "), "{oversized}");
    let call = Call::new(addr, Method::GET, "/checks/x").header("x-key", "k");
    assert!(Caller::new().send(&call).await.is_right());
}

/// The rest of an oversized head is read in one go if its first bytes arrived before.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn oversized_head_that_arrives_in_two_parts_is_refused() {
    let pair = pair("a", fenced()).await;
    let large = format!("GET /checks/x HTTP/1.1\r\nhost: t\r\nx: {}\r\n\r\n", "y".repeat(100_000));
    let (first, rest) = large.split_at(65_000);
    let mut socket = TcpStream::connect(pair.a.callers_addr).await.expect("listener accepts");
    socket.write_all(first.as_bytes()).await.expect("socket is writable");
    sleep(Duration::from_millis(50)).await;
    let _ = socket.write_all(rest.as_bytes()).await;
    let mut response = Vec::new();
    let _ = socket.read_to_end(&mut response).await;
    let response = String::from_utf8_lossy(&response);
    assert!(response.is_empty() || response.starts_with("HTTP/1.1 431 "), "{response}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn refused_caller_is_not_asked_for_its_body() {
    let pair = pair("a", fenced()).await;
    let request = b"PUT /nowhere HTTP/1.1\r\nhost: t\r\nexpect: 100-continue\r\n\
        content-length: 100\r\n\r\n";
    let response = send_raw(pair.a.callers_addr, request).await;
    assert!(response.starts_with("HTTP/1.1 404 "), "{response}");
}

/// Returns how many events of a kind a run log has.
fn count(log: &Path, event: Event) -> usize {
    let lines = runs::read(log).expect("run log is readable");
    lines.iter().filter(|line| line.event == event).count()
}

/// A caller goes away while its request is with a server: once the server runs it, or, if `early`, as
/// soon as it is dispatched. Waits until each run that started was cancelled.
async fn leave_caller(holder: &str, early: bool) {
    let logs = tempfile::tempdir().expect("temporary directory");
    let log = logs.path().join("runs");
    let options = Options { work: ENDLESS_WORK, run_log: Some(log.clone()), ..fenced() };
    let Pair { a, b, .. } = &pair(holder, options).await;
    let mut socket = TcpStream::connect(a.callers_addr).await.expect("listener accepts");
    let request = b"GET /checks/x HTTP/1.1\r\nhost: t\r\nx-key: k\r\n\
        whinspring-deadline-ms: 5000\r\n\r\n";
    socket.write_all(request).await.expect("socket is writable");
    until(|| running(a) + running(b) == 1).await;
    until(|| early || count(&log, Event::Start) == 1).await;
    drop(socket);
    until(|| running(a) + running(b) == 0).await;
    until(|| a.shared.metrics.callers.get() == 0).await;
    assert_eq!(a.shared.metrics.event_count("caller_gone"), 1);
    until(|| count(&log, Event::Start) == count(&log, Event::Cancel)).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn caller_that_goes_away_cancels_repeatable_work() {
    for holder in ["a", "b"] {
        leave_caller(holder, false).await;
    }
}

/// The server may not have seen the request yet, and then has nothing to cancel.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn caller_that_goes_away_at_once_leaves_no_work_behind() {
    for holder in ["a", "b"] {
        leave_caller(holder, true).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn callers_beyond_the_limit_are_refused_at_once() {
    let pair = pair("a", fenced()).await;
    let in_flight = &pair.a.shared.metrics.in_flight;
    let request = b"GET /checks/x HTTP/1.1\r\nhost: t\r\nx-key: k\r\nconnection: close\r\n\r\n";
    in_flight.inc_by(i64::from(MAX_IN_FLIGHT));
    let refused = send_raw(pair.a.callers_addr, request).await;
    assert!(refused.contains("whinspring-code: 500\r\n"), "{refused}");
    assert!(refused.contains("whinspring-retry-ms: "), "{refused}");
    in_flight.dec();
    let answered = send_raw(pair.a.callers_addr, request).await;
    assert!(answered.contains("whinspring-code: 100\r\n"), "{answered}");
    in_flight.dec_by(i64::from(MAX_IN_FLIGHT - 1));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn caller_that_goes_away_does_not_stop_unrepeatable_work() {
    let options = Options { work: Duration::from_millis(300), ..fenced() };
    let pair = pair("b", options).await;
    let mut socket = TcpStream::connect(pair.a.callers_addr).await.expect("listener accepts");
    let request = b"POST /checks/x HTTP/1.1\r\nhost: t\r\nx-key: k\r\ncontent-length: 0\r\n\
        whinspring-request-id: one\r\nwhinspring-attempt: 1\r\n\r\n";
    socket.write_all(request).await.expect("socket is writable");
    until(|| running(&pair.b) == 1).await;
    drop(socket);
    until(|| running(&pair.b) == 0).await;
    let again = Call::new(pair.a.callers_addr, Method::POST, "/checks/x")
        .header("x-key", "k")
        .header("whinspring-request-id", "one")
        .header("whinspring-attempt", "2");
    let reply = Caller::new().send(&again).await;
    assert_eq!(reply.code, Some(101), "{reply:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answer_cut_by_the_server_is_seen_as_cut() {
    let heads = [
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\nhello",
    ];
    for holder in ["a", "b"] {
        for head in heads {
            let (a, b) = (daemon("a").await, daemon("b").await);
            let scripted = ScriptedServer::start(head.as_bytes().to_vec()).await;
            let placed = Placement { addr: scripted.addr, holder: holder.into() };
            publish(&[&a, &b], &[], &[placed]).await;
            let call = Call::new(a.callers_addr, Method::GET, "/bundles/x");
            let reply = Caller::new().send(&call).await;
            assert_eq!((reply.end, reply.status), (End::Cut, 200), "{head} {reply:?}");
            let request = b"GET /bundles/x HTTP/1.1\r\nhost: t\r\n\r\n";
            let raw = send_raw(a.callers_addr, request).await;
            assert!(!raw.ends_with("0\r\n\r\n"), "{raw}");
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn small_answer_cut_by_the_server_is_told_as_unknown() {
    let (a, b) = (daemon("a").await, daemon("b").await);
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhello";
    let scripted = ScriptedServer::start(head.as_bytes().to_vec()).await;
    let placed = Placement { addr: scripted.addr, holder: "b".into() };
    publish(&[&a, &b], &[], &[placed]).await;
    let call = Call::new(a.callers_addr, Method::POST, "/bundles/x")
        .header("whinspring-request-id", "one")
        .header("whinspring-attempt", "1");
    let reply = Caller::new().send(&call).await;
    assert_eq!((reply.end, reply.status, reply.code), (End::Whole, 502, Some(600)), "{reply:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn deadline_of_running_work_is_told_as_unknown() {
    for holder in ["a", "b"] {
        let (a, b) = (daemon("a").await, daemon("b").await);
        let scripted = ScriptedServer::silent().await;
        publish(&[&a, &b], &[], &[Placement { addr: scripted.addr, holder: holder.into() }]).await;
        let call = Call::new(a.callers_addr, Method::POST, "/bundles/x")
            .header("whinspring-deadline-ms", "300")
            .header("whinspring-request-id", "one")
            .header("whinspring-attempt", "1");
        let reply = Caller::new().send(&call).await;
        assert_eq!((reply.status, reply.code), (504, Some(602)), "{reply:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn body_that_stalls_is_answered_by_the_deadline() {
    let pair = pair("a", fenced()).await;
    let request = b"PUT /bundles/x HTTP/1.1\r\nhost: t\r\nwhinspring-repeatable: yes\r\n\
        whinspring-deadline-ms: 200\r\ncontent-length: 100\r\n\r\nhalf of it";
    let response = send_raw(pair.a.callers_addr, request).await;
    assert!(response.contains("whinspring-code: 501\r\n"), "{response}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn body_cut_by_the_caller_is_never_run_as_whole() {
    let logs = tempfile::tempdir().expect("temporary directory");
    let log = logs.path().join("runs");
    let options = Options { run_log: Some(log.clone()), ..fenced() };
    let pair = pair("a", options).await;
    let bodies =
        ["content-length: 100\r\n\r\nhalf", "transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n"];
    for body in bodies {
        let mut socket = TcpStream::connect(pair.a.callers_addr).await.expect("listener accepts");
        let head = "POST /checks/x HTTP/1.1\r\nhost: t\r\nx-key: k\r\nwhinspring-attempt: 1\r\n\
            whinspring-request-id: cut\r\n";
        let request = format!("{head}{body}");
        socket.write_all(request.as_bytes()).await.expect("socket is writable");
        drop(socket);
    }
    let metrics = &pair.a.shared.metrics;
    until(|| metrics.callers.get() == 0 && metrics.jobs.get() == 0).await;
    let whole = Call::new(pair.a.callers_addr, Method::GET, "/checks/whole").header("x-key", "k");
    assert!(Caller::new().send(&whole).await.is_right());
    let lines = runs::read(&log).expect("run log is readable");
    assert!(lines.iter().all(|line| line.path == "/checks/whole"), "{lines:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn connection_is_kept_after_a_request_with_a_body() {
    let pair = pair("a", fenced()).await;
    let mut socket = TcpStream::connect(pair.a_callers).await.expect("listener accepts");
    for number in 0..3 {
        let request = format!(
            "POST /checks/x HTTP/1.1\r\nhost: a\r\nx-key: k\r\nwhinspring-request-id: r{number}\r\n\
             whinspring-attempt: 1\r\ncontent-length: 4\r\n\r\nbody"
        );
        socket.write_all(request.as_bytes()).await.expect("socket is writable");
        let mut response = vec![0; 4096];
        let read = socket.read(&mut response).await.expect("connection stays open");
        let response = String::from_utf8_lossy(&response[..read]);
        assert!(response.starts_with("HTTP/1.1 200"), "request {number}: {response:?}");
    }
}
