//! Responses to callers: forwarded, rejected, retried and truncated ones.

use {
    crate::rig::run,
    std::{io::Write as _, time::Duration},
    tokio::{
        io::AsyncWriteExt,
        task::spawn_local,
        time::{sleep, timeout},
    },
};

fn id_of(request: &str) -> &str {
    let line = request.lines().find(|line| line.starts_with("x-id: "));
    line.map_or("", |line| &line[6..])
}

fn success(request: &str) -> Option<String> {
    let id = id_of(request);
    Some(format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\ncontent-length: 5\r\n\r\nhello"))
}

fn build_request(method: &str, path: &str, id: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: a.example\r\nx-id: {id}\r\nx-deadline: 1500\r\nx-other: 1\r\n\r\n"
    )
}

#[test]
fn a_response_is_forwarded() {
    run(success, |rig| async move {
        let response = rig.send(&build_request("GET", "/safe/1?a=b", "i1")).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert!(
            response.contains("x-seal: s") && response.ends_with("\r\n\r\nhello"),
            "{response}"
        );
        let seen = rig.seen.borrow()[0].clone();
        assert!(seen.starts_with("GET /safe/1?a=b HTTP/1.1\r\n"), "{seen}");
        for line in ["x-id: i1", "x-target: s1", "x-other: 1", "host: a.example"] {
            assert!(seen.contains(line), "{line}: {seen}");
        }
        let deadline = seen.lines().find_map(|line| line.strip_prefix("x-deadline: "));
        let deadline: u64 = deadline.unwrap().parse().unwrap();
        assert!((1..=1_500).contains(&deadline), "{deadline}");
    });
}

#[test]
fn requests_without_a_route_get_404() {
    run(success, |rig| async move {
        let response = rig.send(&build_request("GET", "/other/1", "i1")).await;
        assert!(response.starts_with("HTTP/1.1 404"), "{response}");
        assert!(rig.seen.borrow().is_empty());
    });
}

#[test]
fn without_a_configuration_requests_get_503() {
    run(success, |rig| async move {
        rig.node.view.borrow_mut().routes = None;
        let response = rig.send(&build_request("GET", "/safe/1", "i1")).await;
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    });
}

#[test]
fn a_body_over_the_limit_gets_413() {
    run(success, |rig| async move {
        let request = build_request("POST", "/once/1", "i1")
            .replace("\r\n\r\n", "\r\ncontent-length: 101\r\n\r\n");
        let response = rig.send(&(request + &"b".repeat(101))).await;
        assert!(response.starts_with("HTTP/1.1 413"), "{response}");
        assert!(rig.seen.borrow().is_empty());
    });
}

#[test]
fn a_response_to_another_request_is_not_forwarded() {
    let crossed = |_: &str| {
        Some(
            "HTTP/1.1 200 OK\r\nx-id: zz\r\nx-seal: s\r\ncontent-length: 5\r\n\r\nwrong".to_owned(),
        )
    };
    run(crossed, |rig| async move {
        let response = rig.send(&build_request("POST", "/once/1", "i1")).await;
        assert!(response.starts_with("HTTP/1.1 502") && !response.contains("wrong"), "{response}");
        assert_eq!(rig.seen.borrow().len(), 1);
    });
}

#[test]
fn a_success_without_seal_is_not_forwarded() {
    let bare = |request: &str| {
        let id = id_of(request);
        Some(format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\ncontent-length: 4\r\n\r\nbare"))
    };
    run(bare, |rig| async move {
        let response = rig.send(&build_request("POST", "/once/1", "i1")).await;
        assert!(response.starts_with("HTTP/1.1 502") && !response.contains("bare"), "{response}");
    });
}

#[test]
fn a_request_that_may_have_run_is_sent_once() {
    run(
        |_| None,
        |rig| async move {
            let response = rig.send(&build_request("POST", "/once/1", "i1")).await;
            assert!(response.starts_with("HTTP/1.1 502"), "{response}");
            assert_eq!(rig.seen.borrow().len(), 1);
        },
    );
}

#[test]
fn an_idempotent_request_is_retried() {
    run(
        |_| None,
        |rig| async move {
            let response = rig.send(&build_request("GET", "/safe/1", "i1")).await;
            assert!(response.starts_with("HTTP/1.1 502"), "{response}");
            assert_eq!(rig.seen.borrow().len(), 2);
        },
    );
}

/// Guards against a `not-run` response for a request that may have run: the server closes the
/// connection on the first attempt and sheds the second.
#[test]
fn a_request_that_may_have_run_is_never_reported_not_run() {
    use std::sync::atomic::{AtomicBool, Ordering};
    static SENT: AtomicBool = AtomicBool::new(false);
    let script = |request: &str| {
        let id = id_of(request);
        let shed = "HTTP/1.1 503 No\r\nx-not-run: 1\r\ncontent-length: 0\r\n";
        SENT.swap(true, Ordering::Relaxed).then(|| format!("{shed}x-id: {id}\r\n\r\n"))
    };
    run(script, |rig| async move {
        let response = rig.send(&build_request("GET", "/safe/1", "i1")).await;
        assert_eq!(rig.seen.borrow().len(), 2);
        assert!(response.starts_with("HTTP/1.1 502"), "{response}");
    });
}

#[test]
fn a_request_that_did_not_run_is_rejected_with_retry_after() {
    let shed = |request: &str| {
        let id = id_of(request);
        Some(format!("HTTP/1.1 503 No\r\nx-id: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n"))
    };
    run(shed, |rig| async move {
        let response = rig.send(&build_request("POST", "/once/1", "i1")).await;
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(response.contains("retry-after: 0."), "{response}");
    });
}

#[test]
fn a_truncated_response_is_not_forwarded() {
    let cut = |request: &str| {
        let id = id_of(request);
        Some(format!(
            "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\ncontent-length: 9\r\nconnection: close\r\n\r\nhalf"
        ))
    };
    run(cut, |rig| async move {
        let response =
            rig.send(&build_request("POST", "/once/1", "i1").replace("1500", "400")).await;
        assert!(response.starts_with("HTTP/1.1 50") && !response.contains("half"), "{response}");
        assert_eq!(rig.seen.borrow().iter().filter(|seen| *seen != "gone").count(), 1);
    });
}

#[test]
fn a_caller_that_leaves_cancels_its_request() {
    run(
        |_| Some("wait".to_owned()),
        |rig| async move {
            let mut socket = rig.connect().await;
            socket.write_all(build_request("GET", "/safe/1", "i1").as_bytes()).await.unwrap();
            while rig.seen.borrow().is_empty() {
                sleep(Duration::from_millis(5)).await;
            }
            drop(socket);
            while rig.seen.borrow().len() < 2 {
                sleep(Duration::from_millis(5)).await;
            }
            assert_eq!(rig.seen.borrow()[1], "gone");
        },
    );
}

/// Guards against queued requests that get no response when a planned shutdown ends the process.
#[test]
fn queued_requests_are_rejected_before_shutdown_ends() {
    run(
        |_| Some("wait".into()),
        |rig| async move {
            let mut busy = Vec::new();
            for number in 0..2 {
                let mut caller = rig.connect().await;
                let request = build_request("GET", "/safe/1", &format!("i{number}"));
                caller.write_all(request.as_bytes()).await.unwrap();
                busy.push(caller);
            }
            sleep(Duration::from_millis(50)).await;
            let node = rig.node.clone();
            spawn_local(async move {
                sleep(Duration::from_millis(100)).await;
                node.close_queue();
            });
            let response = rig.send(&build_request("GET", "/safe/1", "i3")).await;
            assert!(response.starts_with("HTTP/1.1 503"), "{response}");
            assert!(response.contains("x-id: i3"), "{response}");
            let response = rig.send(&build_request("GET", "/safe/1", "i4")).await;
            assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        },
    );
}

/// Guards against a caller that waits for the rest of a response that it never gets.
#[test]
fn a_rejection_whose_body_stalls_is_passed_on_in_time() {
    let stalled = |request: &str| {
        let id = id_of(request);
        Some(format!(
            "HTTP/1.1 503 Service Unavailable\r\nx-id: {id}\r\nx-not-run: 1\r\ncontent-length: 9\r\n\r\nhalf"
        ))
    };
    run(stalled, |rig| async move {
        let request = build_request("POST", "/once/1", "i1");
        let response = timeout(Duration::from_millis(1_500), rig.send(&request)).await;
        let response = response.expect("no response before the deadline");
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    });
}

/// Guards against a request that is sent for a caller who has left before the node came to it: the node
/// has little processor time, and everything that the request waits for is ready at once.
#[test]
fn a_caller_that_left_before_its_request_was_read_causes_no_request() {
    for path in ["/safe/1", "/once/1"] {
        run(success, move |rig| async move {
            let first = rig.send(&build_request("GET", path, "i0")).await;
            assert!(first.starts_with("HTTP/1.1 200"), "{first}");
            sleep(Duration::from_millis(50)).await;
            let addr = rig.connect().await.peer_addr().unwrap();
            let mut caller = std::net::TcpStream::connect(addr).unwrap();
            caller.write_all(build_request("GET", path, "i1").as_bytes()).unwrap();
            drop(caller);
            sleep(Duration::from_millis(300)).await;
            assert_eq!(rig.seen.borrow().len(), 1, "{path}: {:?}", rig.seen.borrow());
        });
    }
}

/// Guards against a request that waits for a server, and is sent after its caller has left: the node
/// learns of the free server and of the caller at the same time, and has an idle connection.
#[test]
fn a_caller_that_left_while_its_request_waited_causes_no_request() {
    run(
        |_| Some("wait".to_owned()),
        |rig| async move {
            let addr = rig.connect().await.peer_addr().unwrap();
            let mut callers = Vec::new();
            for number in 0..3 {
                let mut caller = std::net::TcpStream::connect(addr).unwrap();
                let request = build_request("GET", "/safe/1", &format!("i{number}"));
                caller.write_all(request.as_bytes()).unwrap();
                callers.push(caller);
                sleep(Duration::from_millis(100)).await;
            }
            assert_eq!(rig.seen.borrow().len(), 2, "the third one waits");
            let pool = rig.node.view.borrow().servers["s1"].backend.clone();
            pool.release(pool.open().await.unwrap()).await;
            callers.clear();
            sleep(Duration::from_millis(300)).await;
            let seen = rig.seen.borrow();
            let sent = seen.iter().filter(|seen| *seen != "gone").count();
            assert_eq!(sent, 2, "{seen:?}");
        },
    );
}
