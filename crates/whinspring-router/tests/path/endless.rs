//! Servers in trouble that send bytes without end: in a head, in a body, or after a response.
//!
//! Whatever they send, the caller gets its final response by its deadline, nothing incomplete looks
//! complete, the connection is closed, and the server's slots are free again.

use {
    crate::rig::{FLOOD, Rig, Script, run},
    std::time::{Duration, Instant},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        time::{sleep, timeout},
    },
};

/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_millis(400);

/// Time after the deadline by which all must be over.
const MARGIN: Duration = Duration::from_millis(450);

/// Bytes of a long response that are looked at, at its start and its end.
const KEPT_BYTES: usize = 8 << 10;

/// Slots of the server, and requests that are sent one after the other.
const SLOTS: usize = 2;

const SEALED: &str = "HTTP/1.1 200 OK\r\nx-id: i1\r\nx-seal: s\r\n";

const CHUNKED: &str = "transfer-encoding: chunked\r\n\r\n";

fn request(method: &str, path: &str) -> String {
    format!(
        "{method} /{path}/1 HTTP/1.1\r\nhost: a.example\r\nx-id: i1\r\nx-deadline: {}\r\n\r\n",
        DEADLINE.as_millis()
    )
}

/// Sends a request and reads until its connection ends or its response has a whole body. Returns
/// what was read, and whether the connection ended.
async fn exchange(rig: &Rig, request: &str) -> (String, bool) {
    let mut socket = rig.connect().await;
    socket.write_all(request.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    loop {
        if socket.read_buf(&mut response).await.unwrap_or(0) == 0 {
            return (String::from_utf8_lossy(&response).into_owned(), true);
        }
        if response.len() > KEPT_BYTES {
            response.drain(KEPT_BYTES / 2..response.len() - KEPT_BYTES / 4);
        }
        let tail = &response[response.len().saturating_sub(5)..];
        let text = String::from_utf8_lossy(&response[..response.len().min(KEPT_BYTES / 2)]);
        let length = text.split_once("content-length: ").and_then(|(_, rest)| {
            let (length, rest) = rest.split_once("\r\n")?;
            Some(rest.split_once("\r\n\r\n")?.1.len() >= length.parse::<usize>().unwrap())
        });
        if length == Some(true) || tail == b"0\r\n\r\n" {
            return (String::from_utf8_lossy(&response).into_owned(), false);
        }
    }
}

/// Sends more requests than the server has slots, on a route; each must end in time, and none may
/// be a success. All connections to the server must be closed.
fn assert_ended(script: Script, method: &'static str, path: &'static str) {
    run(script, |rig| async move {
        for _ in 0..=SLOTS {
            let start = Instant::now();
            let request = request(method, path);
            let result = timeout(DEADLINE + MARGIN, exchange(&rig, &request)).await;
            let (response, closed) = result.expect("no final response by the deadline");
            let status = response.split(' ').nth(1).unwrap_or_default();
            let broken = closed && ["200", "500"].contains(&status);
            assert!(broken || ["502", "503", "504"].contains(&status), "{status} {closed}");
            assert!(start.elapsed() < DEADLINE + MARGIN);
        }
        assert_closed(&rig).await;
    });
}

/// Waits until the server has seen the end of each connection that brought a request.
async fn assert_closed(rig: &Rig) {
    let closed = async {
        let count =
            |gone| rig.seen.borrow().iter().filter(|seen| (*seen == "gone") == gone).count();
        while count(true) < count(false) {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(MARGIN, closed).await.expect("a connection is still open");
}

#[test]
fn bytes_that_are_no_response_end_the_attempt() {
    assert_ended(|_| Some(format!("{FLOOD}noise ")), "POST", "once");
    assert_ended(|_| Some(format!("{FLOOD}noise ")), "GET", "safe");
    assert_ended(|_| Some(format!("{FLOOD}\r\n")), "POST", "once");
    assert_ended(|_| Some(format!("{FLOOD}\0")), "POST", "once");
}

#[test]
fn a_head_without_end_ends_the_attempt() {
    assert_ended(|_| Some(format!("{SEALED}{FLOOD}x-more: 1\r\n")), "POST", "once");
    assert_ended(|_| Some(format!("{SEALED}x-more: {FLOOD}1")), "POST", "once");
    assert_ended(|_| Some(format!("HTTP/1.1 200 {FLOOD}O")), "POST", "once");
}

#[test]
fn interim_responses_without_end_end_the_attempt() {
    assert_ended(|_| Some(format!("{FLOOD}HTTP/1.1 100 Continue\r\n\r\n")), "POST", "once");
    assert_ended(|_| Some(format!("{FLOOD}HTTP/1.1 103 Hints\r\nx: 1\r\n\r\n")), "GET", "safe");
}

#[test]
fn a_body_without_end_is_broken_off_at_the_deadline() {
    assert_ended(|_| Some(format!("{SEALED}\r\n{FLOOD}body")), "POST", "once");
    assert_ended(|_| Some(format!("{SEALED}{CHUNKED}{FLOOD}4\r\nbody\r\n")), "GET", "safe");
    let long = |_: &str| Some(format!("{SEALED}content-length: 9999999999999\r\n\r\n{FLOOD}body"));
    assert_ended(long, "GET", "safe");
}

#[test]
fn a_chunk_size_without_end_ends_the_attempt() {
    assert_ended(|_| Some(format!("{SEALED}{CHUNKED}{FLOOD}0")), "POST", "once");
    assert_ended(|_| Some(format!("{SEALED}{CHUNKED}4;{FLOOD}x")), "POST", "once");
    assert_ended(|_| Some(format!("{SEALED}{CHUNKED}4{FLOOD} ")), "POST", "once");
}

#[test]
fn chunks_with_extensions_without_end_end_the_attempt() {
    assert_ended(
        |_| Some(format!("{SEALED}{CHUNKED}{FLOOD}{}", "1;x=123456789\r\nb\r\n")),
        "POST",
        "once",
    );
}

#[test]
fn trailers_without_end_end_the_attempt() {
    assert_ended(
        |_| Some(format!("{SEALED}{CHUNKED}4\r\nbody\r\n0\r\n{FLOOD}x: 1\r\n")),
        "POST",
        "once",
    );
    assert_ended(
        |_| Some(format!("{SEALED}{CHUNKED}4\r\nbody\r\n0\r\nx: {FLOOD}1")),
        "GET",
        "safe",
    );
}

#[test]
fn a_rejection_with_a_body_without_end_ends_the_attempt() {
    assert_ended(
        |_| Some(format!("HTTP/1.1 503 No\r\nx-id: i1\r\nx-not-run: 1\r\n\r\n{FLOOD}no")),
        "POST",
        "once",
    );
    assert_ended(
        |_| Some(format!("HTTP/1.1 500 No\r\nx-id: i1\r\n{CHUNKED}{FLOOD}2\r\nno\r\n")),
        "GET",
        "safe",
    );
    assert_ended(
        |_| Some(format!("HTTP/1.1 421 No\r\nx-id: i1\r\n{CHUNKED}{FLOOD}2\r\nno\r\n")),
        "POST",
        "once",
    );
    assert_ended(
        |_| Some(format!("HTTP/1.1 200 OK\r\nx-id: zz\r\nx-seal: s\r\n\r\n{FLOOD}wrong")),
        "POST",
        "once",
    );
}

/// The response is complete; what follows belongs to no request.
#[test]
fn bytes_after_a_response_are_not_taken_for_the_next_one() {
    let script =
        |_: &str| Some(format!("{SEALED}content-length: 5\r\n\r\nhello{FLOOD}{SEALED}\r\nwrong"));
    run(script, |rig| async move {
        for _ in 0..=SLOTS {
            let result = timeout(DEADLINE, exchange(&rig, &request("POST", "once"))).await;
            let (response, _) = result.expect("no response by the deadline");
            assert!(response.ends_with("\r\n\r\nhello"), "{response}");
            sleep(Duration::from_millis(20)).await;
        }
        let requests = rig.seen.borrow().iter().filter(|seen| *seen != "gone").count();
        assert_eq!(requests, SLOTS + 1);
        let gone = rig.seen.borrow().iter().filter(|seen| *seen == "gone").count();
        assert!(gone >= SLOTS, "{gone}");
    });
}

/// Guards against a stalled server's slot that stays taken after the caller has left: the last
/// request gets a response only if a slot is free.
#[test]
fn a_stream_whose_caller_leaves_is_cancelled() {
    let stalled = |_: &str| {
        let body = "b".repeat(64 << 10);
        Some(format!("{SEALED}content-length: 99999999\r\n\r\n{body}"))
    };
    run(stalled, |rig| async move {
        for _ in 0..=SLOTS {
            let mut socket = rig.connect().await;
            let request = request("GET", "safe").replace("400", "60000");
            socket.write_all(request.as_bytes()).await.unwrap();
            let mut head = [0; 16 << 10];
            socket.read_exact(&mut head).await.unwrap();
            drop(socket);
            sleep(Duration::from_millis(50)).await;
        }
    });
}
