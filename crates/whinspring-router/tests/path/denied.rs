//! Requests in every form that the protocol allows: none is turned away as if it were wrong, and
//! none that was cut on its way runs.

use {
    crate::rig::{Rig, read_response, run},
    std::{fmt::Write as _, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        time::sleep,
    },
};

/// Time in which a request that is passed on reaches the server.
const ARRIVAL_TIME: Duration = Duration::from_millis(200);

/// Limit on bodies in the configuration of the rig, in bytes.
const BODY_LIMIT: usize = 100;

/// Limit on heads in the configuration of the rig, in bytes.
const HEAD_LIMIT: usize = 16 << 10;

fn success(request: &str) -> Option<String> {
    let id = request.lines().find_map(|line| line.strip_prefix("x-id: ")).unwrap_or_default();
    Some(format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\ncontent-length: 5\r\n\r\nhello"))
}

/// Interim response to a caller that waits before it sends the body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Returns a head with further header lines, each of which ends in a line break.
fn head(method: &str, lines: &str) -> String {
    format!(
        "{method} /once/1 HTTP/1.1\r\nhost: a.example\r\nx-id: i1\r\nx-deadline: 1500\r\n{lines}\r\n"
    )
}

/// Sends a request in pieces; it must be served.
fn assert_served(pieces: &[&[u8]]) {
    run(success, |rig| async move {
        let response = rig.send_pieces(pieces).await;
        assert!(response.ends_with("hello"), "{response}");
        assert_eq!(rig.seen.borrow().len(), 1);
    });
}

/// Sends a request with a key, which must be served.
fn assert_key_served(value: &str) {
    run(success, |rig| async move {
        rig.set_keyed();
        let request = head("GET", &format!("x-key:{value}\r\n"));
        let response = rig.send(&request).await;
        assert!(response.ends_with("hello"), "{value}: {response}");
    });
}

/// Guards against a limit on the number of headers where the operators limit their bytes only.
#[test]
fn requests_with_many_headers_are_served() {
    let mut lines = String::new();
    for number in 0..1_000 {
        write!(lines, "x-{number}: 1\r\n").unwrap();
    }
    assert_served(&[head("GET", &lines).as_bytes()]);
}

#[test]
fn a_head_at_the_limit_is_served() {
    let bare = head("GET", "x-long: \r\n").len();
    let line = format!("x-long: {}\r\n", "l".repeat(HEAD_LIMIT - bare));
    assert_served(&[head("GET", &line).as_bytes()]);
}

#[test]
fn a_head_in_pieces_is_served() {
    let head = head("GET", "x-other: 1\r\n");
    let pieces: Vec<&[u8]> = head.as_bytes().chunks(9).collect();
    assert_served(&pieces);
}

#[test]
fn headers_outside_of_ascii_are_served() {
    assert_served(&[head("GET", "x-name: Grüße\r\n").as_bytes()]);
}

#[test]
fn hosts_with_a_port_or_in_capitals_are_served() {
    for host in ["a.example:80", "A.Example", "A.EXAMPLE:8080"] {
        assert_served(&[head("GET", "").replace("a.example", host).as_bytes()]);
    }
}

#[test]
fn an_absolute_target_is_served() {
    assert_served(&[head("GET", "").replace("/once/1", "http://a.example/once/1").as_bytes()]);
}

#[test]
fn empty_bodies_are_served() {
    assert_served(&[head("POST", "content-length: 0\r\n").as_bytes()]);
    assert_served(&[(head("POST", "transfer-encoding: chunked\r\n") + "0\r\n\r\n").as_bytes()]);
}

#[test]
fn a_body_at_the_limit_is_served() {
    let body = "b".repeat(BODY_LIMIT);
    let length = format!("content-length: {BODY_LIMIT}\r\n");
    assert_served(&[head("POST", &length).as_bytes(), body.as_bytes()]);
    let chunk = format!("{BODY_LIMIT:x}\r\n{body}\r\n0\r\n\r\n");
    assert_served(&[head("POST", "transfer-encoding: chunked\r\n").as_bytes(), chunk.as_bytes()]);
}

#[test]
fn chunks_in_pieces_with_extensions_and_trailers_are_served() {
    let head = head("POST", "transfer-encoding: chunked\r\n");
    let body = b"3;a=b\r\nabc\r\n2 ;c\r\nde\r\n0\r\nx-sum: 1\r\n\r\n";
    let mut pieces = vec![head.as_bytes()];
    pieces.extend(body.chunks(4));
    assert_served(&pieces);
}

#[test]
fn a_body_after_100_continue_is_served() {
    run(success, |rig| async move {
        let head = head("POST", "expect: 100-continue\r\ncontent-length: 3\r\n");
        let mut socket = rig.connect().await;
        socket.write_all(head.as_bytes()).await.unwrap();
        let mut interim = [0; CONTINUE.len()];
        socket.read_exact(&mut interim).await.unwrap();
        assert_eq!(interim, CONTINUE);
        socket.write_all(b"abc").await.unwrap();
        let response = read_response(&mut socket).await;
        assert!(response.ends_with("hello"), "{response}");
    });
}

/// A caller need not wait for `100 Continue`.
#[test]
fn a_body_that_does_not_wait_for_100_continue_is_served() {
    run(success, |rig| async move {
        let head = head("POST", "expect: 100-continue\r\ncontent-length: 3\r\n");
        let mut socket = rig.connect().await;
        socket.write_all((head + "abc").as_bytes()).await.unwrap();
        while rig.seen.borrow().is_empty() {
            let response = read_response(&mut socket).await;
            assert!(!response.contains("HTTP/1.1 4"), "{response}");
        }
    });
}

#[test]
fn pipelined_requests_are_served() {
    run(success, |rig| async move {
        let mut socket = rig.connect().await;
        let requests = head("GET", "") + &head("POST", "content-length: 3\r\n") + "abc";
        socket.write_all((requests + &head("GET", "")).as_bytes()).await.unwrap();
        while rig.seen.borrow().len() < 3 {
            sleep(Duration::from_millis(5)).await;
        }
        let response = read_response(&mut socket).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    });
}

#[test]
fn keys_with_spaces_or_zeros_are_served() {
    for value in ["7", "  7  ", "007", "65535"] {
        assert_key_served(value);
    }
}

/// Sends a request whose caller closes its side of the connection in the middle of the body.
/// Returns the response.
async fn send_cut(rig: &Rig, pieces: &[&[u8]]) -> String {
    let mut socket = rig.connect().await;
    for piece in pieces {
        socket.write_all(piece).await.unwrap();
        sleep(Duration::from_millis(20)).await;
    }
    socket.shutdown().await.unwrap();
    let response = read_response(&mut socket).await;
    sleep(ARRIVAL_TIME).await;
    response
}

/// Guards against a body that was cut on its way and runs as if it were complete.
#[test]
fn a_chunked_body_that_was_cut_does_not_run() {
    run(success, |rig| async move {
        rig.send(&head("GET", "")).await;
        let request = head("POST", "transfer-encoding: chunked\r\n") + "3\r\nabc\r\n";
        let response = send_cut(&rig, &[request.as_bytes()]).await;
        assert_eq!(rig.seen.borrow().len(), 1, "{:?}: {response}", rig.seen.borrow());
        assert!(!response.contains("hello"), "{response}");
    });
}

/// Guards against a proper request that is called malformed because its connection was cut.
#[test]
fn a_body_that_was_cut_is_not_called_malformed() {
    run(success, |rig| async move {
        let long = head("POST", "content-length: 9\r\n") + "abc";
        let chunked = head("POST", "transfer-encoding: chunked\r\n") + "3\r\nabc\r\n";
        for request in [long, chunked] {
            let response = send_cut(&rig, &[request.as_bytes()]).await;
            let status = response.split(' ').nth(1).unwrap_or_default();
            assert!(["", "408", "502"].contains(&status), "{response}");
        }
        assert!(rig.seen.borrow().is_empty());
    });
}

/// Guards against a caller whose body is long and that gets a reset instead of a response.
#[test]
fn without_a_configuration_long_bodies_get_503() {
    run(success, |rig| async move {
        rig.node.view.borrow_mut().routes = None;
        let body = vec![b'b'; 1 << 20];
        let head = head("POST", "content-length: 1048576\r\n");
        let response = rig.send_pieces(&[head.as_bytes(), &body]).await;
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    });
}
