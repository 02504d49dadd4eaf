//! Backend server stand-in: fencing, slots, deadlines, cancellation, bodies and the run log.

use {
    hyper::{Method, StatusCode},
    std::{
        io::{BufRead, BufReader},
        net::SocketAddr,
        path::Path,
        process::{Child, Command, Stdio},
        time::Duration,
    },
    whinspring_standin::{
        caller::{Call, Caller, End, Payload, Reply},
        control::call,
        runs::{Event, read},
        server::{Options, start},
    },
};

/// Longer than any test.
const LONG: Duration = Duration::from_secs(600);

/// Returns a request for a key, with a fencing term and an epoch.
fn keyed_request(addr: SocketAddr, term: u64, slice: u32, epoch: u64) -> Call {
    Call::new(addr, Method::GET, "/reservations/bay-7")
        .header("whinspring-term", &term.to_string())
        .header("whinspring-slice", &slice.to_string())
        .header("whinspring-epoch", &epoch.to_string())
}

async fn send(call: Call) -> Reply {
    Caller::new().send(&call).await
}

/// Sends a grant and returns the status of the response.
async fn post_grant(addr: SocketAddr, body: &str) -> StatusCode {
    let response = call(addr, Method::POST, "/_whinspring/grant", body.to_string()).await.unwrap();
    response.status()
}

/// Waits until the JSON of the server's counts contains `text`.
async fn wait_for_stats(addr: SocketAddr, text: &str) {
    loop {
        let response = call(addr, Method::GET, "/_standin/stats", "").await.unwrap();
        if String::from_utf8_lossy(response.body()).contains(text) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

#[tokio::test]
async fn fence_rejects_lower_terms_and_foreign_epochs() {
    let running = start(Options { fenced: true, ..Options::default() }).await.unwrap();
    let addr = running.addr;
    assert_eq!(send(keyed_request(addr, 1, 3, 1)).await.status, 409);
    assert_eq!(post_grant(addr, r#"{"term":5,"slices":[[3,2]],"keys":[["bay-7",9]]}"#).await, 200);
    assert_eq!(send(keyed_request(addr, 5, 3, 2)).await.status, 200);
    assert_eq!(send(keyed_request(addr, 5, 4, 9)).await.status, 200);
    assert_eq!(send(keyed_request(addr, 5, 3, 1)).await.status, 409);
    assert_eq!(send(keyed_request(addr, 5, 4, 2)).await.status, 409);
    assert_eq!(send(keyed_request(addr, 4, 3, 2)).await.status, 409);
    assert_eq!(post_grant(addr, r#"{"term":4,"slices":[],"keys":[]}"#).await, 409);
    assert_eq!(post_grant(addr, r#"{"term":6,"slices":[],"keys":[]}"#).await, 200);
    assert_eq!(send(keyed_request(addr, 6, 3, 2)).await.status, 409);
    running.close().await;
}

#[tokio::test]
async fn server_without_fencing_accepts_any_term() {
    let running = start(Options::default()).await.unwrap();
    let addr = running.addr;
    assert_eq!(post_grant(addr, r#"{"term":5,"slices":[],"keys":[]}"#).await, 200);
    assert_eq!(post_grant(addr, r#"{"term":4,"slices":[],"keys":[]}"#).await, 200);
    assert_eq!(send(keyed_request(addr, 1, 3, 1)).await.status, 200);
    running.close().await;
}

#[tokio::test]
async fn sheds_above_the_queue_limit_and_rejects_expired_requests() {
    let options = Options { slots: 1, shed_above: Some(1), work: LONG, ..Options::default() };
    let running = start(options).await.unwrap();
    let addr = running.addr;
    let first = tokio::spawn(send(Call::new(addr, Method::GET, "/a")));
    wait_for_stats(addr, r#""busy":1"#).await;
    let late = Call::new(addr, Method::GET, "/b").header("whinspring-deadline-ms", "1");
    let late = tokio::spawn(send(late));
    wait_for_stats(addr, r#""queued":1"#).await;
    let shed = send(Call::new(addr, Method::GET, "/c")).await;
    assert_eq!((shed.status, shed.retry_after), (503, true));
    first.abort();
    assert_eq!(late.await.unwrap().status, 504);
    wait_for_stats(addr, r#""started":1,"ended":0,"cancelled":1"#).await;
    running.close().await;
}

#[tokio::test]
async fn every_byte_of_bodies_is_checked_both_ways() {
    let running = start(Options::default()).await.unwrap();
    let addr = running.addr;
    let download = send(Call::new(addr, Method::GET, "/bundles/x?bytes=3000000")).await;
    assert!(download.is_right(), "{download:?}");
    let upload = Call::new(addr, Method::POST, "/bundles/x").payload(Payload::Pattern(3_000_000));
    let upload = send(upload).await;
    assert!(upload.is_right(), "{upload:?}");
    let refused = send(Call::new(([127, 0, 0, 1], 1).into(), Method::GET, "/")).await;
    assert_eq!(refused.end, End::Unreachable);
    running.close().await;
}

/// Starts a server process with a run log; returns the process and its address.
fn spawn_server(log: &Path, args: &[&str]) -> (Child, SocketAddr) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_whinspring-standin-server"))
        .arg("--run-log")
        .arg(log)
        .args(args)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let addr = line.trim().strip_prefix("listening ").unwrap().parse().unwrap();
    (child, addr)
}

#[tokio::test]
async fn crash_leaves_the_start_in_the_run_log() {
    let dir = tempfile::tempdir().unwrap();
    let log = dir.path().join("runs");
    let (mut child, addr) = spawn_server(&log, &["--crash-on", "poison"]);
    let harmless = Call::new(addr, Method::POST, "/a").header("whinspring-request-id", "r1");
    assert!(send(harmless).await.is_right());
    let poison = Call::new(addr, Method::POST, "/a")
        .header("whinspring-request-id", "r2")
        .payload(Payload::Whole("some poison".into()));
    assert_eq!(send(poison).await.end, End::Broken);
    use std::os::unix::process::ExitStatusExt;
    assert_eq!(child.wait().unwrap().signal(), Some(6));

    let lines = read(&log).unwrap();
    let seen: Vec<_> = lines.iter().map(|line| (line.id.as_str(), line.event)).collect();
    assert_eq!(seen, [("r1", Event::Start), ("r1", Event::End), ("r2", Event::Start)]);
}

#[tokio::test]
async fn closed_connection_cancels_work() {
    let dir = tempfile::tempdir().unwrap();
    let log = dir.path().join("runs");
    let (mut child, addr) = spawn_server(&log, &["--work-ms", "600000"]);
    let request = tokio::spawn(send(Call::new(addr, Method::GET, "/a")));
    wait_for_stats(addr, r#""busy":1"#).await;
    request.abort();
    wait_for_stats(addr, r#""cancelled":1"#).await;
    child.kill().unwrap();
    child.wait().unwrap();
    let events: Vec<_> = read(&log).unwrap().iter().map(|line| line.event).collect();
    assert_eq!(events, [Event::Start, Event::Cancel]);
}
