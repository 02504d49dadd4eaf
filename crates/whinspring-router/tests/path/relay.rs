//! Requests of a node that reaches no server, while other nodes do.

use {
    crate::{
        pair::{Cut, build_request, run, run_with_relay},
        rig,
    },
    std::{io::Write as _, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        time::sleep,
    },
    whinspring::notices::{Source, Wait},
    whinspring_router::{notices, platform::Word},
};

/// Size of a long response body, in bytes.
const LONG_BODY: usize = 300_000;

/// What a relay says of a request that may have run.
const LOST: &str = "HTTP/1.1 502 No\r\nwhinspring-relay-fault: lost\r\ncontent-length: 0\r\n\r\n";

/// What a relay says of a request that it did not send.
const UNSENT: &str =
    "HTTP/1.1 502 No\r\nwhinspring-relay-fault: unsent\r\ncontent-length: 0\r\n\r\n";

fn id_of(request: &str) -> &str {
    let line = request.lines().find(|line| line.starts_with("x-id: "));
    line.map_or("", |line| &line[6..])
}

fn answer(request: &str) -> Option<String> {
    let id = id_of(request);
    let body = if request.contains("/long") { "b".repeat(LONG_BODY) } else { "hello".to_owned() };
    let length = body.len();
    Some(format!(
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\ncontent-length: {length}\r\n\r\n{body}"
    ))
}

fn serves_callers(cut: Cut) {
    run(answer, cut, |pair| async move {
        pair.wait_until_served().await;
        for number in 0..20 {
            let path = if number % 2 == 0 { "/safe/1?a=b" } else { "/once/1" };
            let id = format!("i{number}");
            let response = pair.entry.send(&build_request(path, &id)).await;
            assert!(response.starts_with("HTTP/1.1 200"), "{response}");
            assert!(response.contains("x-seal: s") && response.ends_with("hello"), "{response}");
            let seen = pair.entry.seen.borrow();
            let runs = seen.iter().filter(|request| id_of(request) == id).count();
            assert_eq!(runs, 1, "{id}: {seen:?}");
        }
        let seen = pair.entry.seen.borrow();
        for line in ["GET /safe/1?a=b HTTP/1.1", "x-target: s1", "host: a.example"] {
            assert!(seen[0].contains(line), "{line}: {seen:?}");
        }
        assert!(!seen[0].contains("whinspring-"), "internal headers reach the server: {seen:?}");
    });
}

#[test]
fn callers_of_a_node_whose_connections_are_refused_are_served() {
    serves_callers(Cut::Refused);
}

#[test]
fn callers_of_a_node_whose_connections_hang_are_served() {
    serves_callers(Cut::Hanging);
}

/// Guards against a node that has lost its paths to one service only and fails all its requests.
#[test]
fn callers_of_a_node_that_does_not_reach_one_server_are_served() {
    serves_callers(Cut::Unnoticed);
}

#[test]
fn a_long_response_to_a_node_that_is_cut_off_arrives_whole() {
    run(answer, Cut::Refused, |pair| async move {
        pair.wait_until_served().await;
        let response = pair.entry.send(&build_request("/safe/long", "i1")).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{}", &response[..100]);
        let body = response.split_once("\r\n\r\n").unwrap().1;
        assert_eq!(body.len(), LONG_BODY);
    });
}

/// What a server says binds the node that sends to it, whoever took the request.
#[test]
fn a_server_that_wants_nothing_from_a_relay_gets_nothing() {
    for leaving in [false, true] {
        run(answer, Cut::Refused, move |pair| async move {
            pair.wait_until_served().await;
            let time = Duration::from_secs(5);
            let wait = (!leaving).then_some(Wait { time, exact: true });
            let (node, server) = (&pair.relay.node, "s1".into());
            let life = node.view.borrow().servers["s1"].life();
            notices::hear(node, &server, life, Word { leaving, wait }, Source::Response);
            let drained = notices::usable_drain(node);
            sleep(if leaving { drained } else { Default::default() }).await;
            let response = pair.entry.send(&build_request("/once/1", "i1")).await;
            assert!(response.starts_with("HTTP/1.1 503"), "{response}");
            assert!(pair.entry.seen.borrow().is_empty());
        });
    }
}

/// Returns a request as a node sends it to a relay.
fn relayed(path: &str, id: &str, start_ms: u64) -> String {
    let internal = format!("x-target: s1\r\nwhinspring-server-start-ms: {start_ms}\r\n\r\n");
    build_request(path, id).replacen("\r\n\r\n", &format!("\r\n{internal}"), 1)
}

#[test]
fn a_relay_passes_request_and_response_on_unchanged() {
    rig::run(answer, |rig| async move {
        let response = rig.send_relayed(&relayed("/safe/1?a=b", "i1", 0)).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert!(response.contains("x-seal: s") && response.ends_with("hello"), "{response}");
        let seen = rig.seen.borrow();
        assert!(seen[0].starts_with("GET /safe/1?a=b HTTP/1.1\r\n"), "{seen:?}");
        for line in ["x-id: i1", "x-target: s1", "host: a.example"] {
            assert!(seen[0].contains(line), "{line}: {seen:?}");
        }
        assert!(!seen[0].contains("whinspring-"), "internal headers reach the server: {seen:?}");
        let left = seen[0].lines().find_map(|line| line.strip_prefix("x-deadline: "));
        assert!((1..=1_500).contains(&left.unwrap().parse::<u64>().unwrap()), "{seen:?}");
    });
}

#[test]
fn a_relay_sends_nothing_to_another_instance() {
    rig::run(answer, |rig| async move {
        let response = rig.send_relayed(&relayed("/once/1", "i1", 99)).await;
        assert!(response.contains("whinspring-relay-fault: unsent"), "{response}");
        assert!(rig.seen.borrow().is_empty());
    });
}

#[test]
fn a_relay_says_that_a_request_without_a_response_may_have_run() {
    rig::run(
        |_| None,
        |rig| async move {
            let response = rig.send_relayed(&relayed("/safe/1", "i1", 0)).await;
            assert!(response.contains("whinspring-relay-fault: lost"), "{response}");
            assert_eq!(rig.seen.borrow().len(), 1, "sent more than once");
        },
    );
}

/// A server cannot make its own failure look like a request that was not sent.
#[test]
fn a_server_cannot_speak_for_a_relay() {
    let forged = |request: &str| {
        let head = "HTTP/1.1 500 No\r\nwhinspring-relay-fault: unsent\r\n";
        Some(format!("{head}x-id: {}\r\ncontent-length: 0\r\n\r\n", id_of(request)))
    };
    rig::run(forged, |rig| async move {
        let response = rig.send_relayed(&relayed("/safe/1", "i1", 0)).await;
        assert!(response.starts_with("HTTP/1.1 500"), "{response}");
        assert!(!response.contains("whinspring-relay-fault"), "{response}");
    });
}

#[test]
fn a_node_that_gives_up_cancels_the_request_at_the_server() {
    rig::run(
        |_| Some("wait".to_owned()),
        |rig| async move {
            let mut socket = rig.connect_relay().await;
            socket.write_all(relayed("/safe/1", "i1", 0).as_bytes()).await.unwrap();
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

#[test]
fn a_truncated_response_stays_truncated_behind_a_relay() {
    let sized = |request: &str| {
        let head = "close:HTTP/1.1 200 OK\r\nx-seal: s\r\ncontent-length: 9\r\n";
        Some(format!("{head}x-id: {}\r\n\r\nhalf", id_of(request)))
    };
    let chunked = |request: &str| {
        let head = "close:HTTP/1.1 200 OK\r\nx-seal: s\r\ntransfer-encoding: chunked\r\n";
        Some(format!("{head}x-id: {}\r\n\r\n4\r\nhalf\r\n", id_of(request)))
    };
    for script in [sized as rig::Script, chunked] {
        rig::run(script, |rig| async move {
            let response = rig.send_relayed(&relayed("/safe/1", "i1", 0)).await;
            let body = response.split_once("\r\n\r\n").map_or("", |(_, body)| body);
            assert!(response.contains("x-seal") && body.contains("half"), "{response}");
            assert!(!body.ends_with("0\r\n\r\n") && body.len() < 9 + 3, "{response}");
        });
    }
}

/// Guards against a server that works on for a caller that has left.
#[test]
fn a_node_that_gives_up_on_a_response_body_cancels_it() {
    let stalled = |request: &str| {
        let head = "HTTP/1.1 200 OK\r\nx-seal: s\r\ncontent-length: 9\r\n";
        Some(format!("{head}x-id: {}\r\n\r\nhalf", id_of(request)))
    };
    rig::run(stalled, |rig| async move {
        let mut socket = rig.connect_relay().await;
        socket.write_all(relayed("/safe/1", "i1", 0).as_bytes()).await.unwrap();
        let mut bytes = Vec::new();
        while !bytes.ends_with(b"half") {
            socket.read_buf(&mut bytes).await.unwrap();
        }
        drop(socket);
        let connections = rig.relaying.clone();
        connections.close().await;
    });
}

/// Guards against a request that may have run and is reported as not run.
#[test]
fn a_relay_that_is_lost_with_a_request_does_not_prove_that_it_did_not_run() {
    run_with_relay(
        |_| None,
        |pair, requests| async move {
            let response = pair.entry.send(&build_request("/once/1", "i1")).await;
            assert!(response.starts_with("HTTP/1.1 502"), "{response}");
            assert_eq!(requests.borrow().len(), 1, "{requests:?}");
        },
    );
}

#[test]
fn a_request_that_a_relay_may_have_sent_is_not_sent_again() {
    run_with_relay(
        |_| Some(LOST.to_owned()),
        |pair, requests| async move {
            let response = pair.entry.send(&build_request("/once/1", "i1")).await;
            assert!(response.starts_with("HTTP/1.1 502"), "{response}");
            assert_eq!(requests.borrow().len(), 1, "{requests:?}");
        },
    );
}

#[test]
fn a_request_that_no_relay_could_send_is_reported_as_not_run() {
    run_with_relay(
        |_| Some(UNSENT.to_owned()),
        |pair, requests| async move {
            let mut number = 0;
            while requests.borrow().is_empty() {
                number += 1;
                let request = build_request("/once/1", &format!("i{number}"));
                let response = pair.entry.send(&request).await;
                assert!(response.starts_with("HTTP/1.1 503"), "{response}");
                assert!(response.contains("retry-after: "), "{response}");
                sleep(Duration::from_millis(100)).await;
            }
        },
    );
}

/// Guards against a caller that waits for a server that nobody can reach.
#[test]
fn without_a_relay_callers_are_told_to_come_back_at_once() {
    run_with_relay(
        |_| None,
        |pair, requests| async move {
            pair.relay.node.leaving.set(true);
            while !pair.entry.node.peers.borrow().nodes["n2"].heartbeat.leaving {
                sleep(Duration::from_millis(10)).await;
            }
            let response = pair.entry.send(&build_request("/once/1", "i1")).await;
            assert!(response.starts_with("HTTP/1.1 503"), "{response}");
            assert!(response.contains("whinspring-code: 510"), "{response}");
            assert!(response.contains("retry-after: "), "{response}");
            assert!(requests.borrow().is_empty());
        },
    );
}

/// Guards against a request that a relay sends for a node that has given up before the relay came to it.
#[test]
fn a_node_that_left_before_its_request_was_read_causes_no_request() {
    rig::run(answer, |rig| async move {
        rig.send_relayed(&relayed("/once/1", "i0", 0)).await;
        sleep(Duration::from_millis(50)).await;
        let addr = rig.node.settings.advertised_relay;
        let mut entry = std::net::TcpStream::connect(addr).unwrap();
        entry.write_all(relayed("/once/1", "i1", 0).as_bytes()).unwrap();
        drop(entry);
        sleep(Duration::from_millis(300)).await;
        assert_eq!(rig.seen.borrow().len(), 1, "{:?}", rig.seen.borrow());
    });
}
