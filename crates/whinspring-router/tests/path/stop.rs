//! Requests that are under way, or come late, in a planned shutdown of their node.

use {
    crate::{
        reports::{
            ARRIVAL_TIME, RUN_TIME, Role, block_on, build_request, id_of, own_response,
            start_server,
        },
        rig::{Rig, read_response, run, run_with},
        setup::settings,
    },
    std::{io::Write as _, rc::Rc, time::Duration},
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

fn late_request(wait_ms: u32, internal: &str) -> String {
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
            let (response, in_time) = send_late(&rig, socket, &late_request(WAIT_MS, "")).await;
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
                send_late(&rig, socket, &late_request(WAIT_MS, internal)).await;
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
        let (response, in_time) = send_late(&rig, socket, &late_request(WAIT_MS / 3, "")).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert!(in_time);
    });
}

/// Connections that each test of a planned stop uses, as the order of events on one of them varies.
const CALLERS: usize = 16;

/// Ends a planned stop, after the time in which the balancer learns of it.
fn stop(rig: &Rig) {
    rig.node.leaving.set(true);
    let callers = rig.callers.clone();
    spawn_local(async move { callers.close().await });
}

fn succeed(request: &str) -> Option<String> {
    Some(own_response(id_of(request)))
}

/// Guards against a request that is cut off by a planned stop as its head arrives in pieces, before and
/// after the stop begins.
#[test]
fn a_stop_waits_for_a_head_that_has_begun() {
    for split in [1, 20, 60] {
        run(succeed, move |rig| async move {
            let request = build_request(Role::Entry, "GET", "/safe/1", "i1");
            let (start, rest) = request.as_bytes().split_at(split);
            let mut socket = rig.connect().await;
            socket.write_all(start).await.unwrap();
            sleep(ARRIVAL_TIME).await;
            stop(&rig);
            sleep(2 * RUN_TIME).await;
            socket.write_all(rest).await.unwrap();
            let response = read_response(&mut socket).await;
            assert!(response.ends_with("of i1"), "{split}: {response}");
            assert!(response.contains("connection: close"), "{split}: {response}");
        });
    }
}

/// Guards against a request that is cut off by a planned stop between its head and its body.
#[test]
fn a_stop_waits_for_a_body() {
    run(
        |request| request.ends_with("\r\n\r\n").then(|| own_response(id_of(request))),
        |rig| async move {
            let mut socket = rig.connect().await;
            let head = build_request(Role::Entry, "POST", "/once/1", "i1");
            let head = head.replacen("\r\n\r\n", "\r\ncontent-length: 4\r\n\r\n", 1);
            socket.write_all(head.as_bytes()).await.unwrap();
            sleep(ARRIVAL_TIME).await;
            stop(&rig);
            sleep(2 * RUN_TIME).await;
            socket.write_all(b"\r\n\r\n").await.unwrap();
            let response = read_response(&mut socket).await;
            assert!(response.ends_with("of i1"), "{response}");
        },
    );
}

/// Guards against a request that has arrived and is cut off by a planned stop, as the node has little
/// processor time and reads it only when it is about to close the connection as idle.
#[test]
fn a_stop_does_not_close_a_connection_with_an_unread_request() {
    for reused in [false, true] {
        run(succeed, move |rig| async move {
            let mut sockets = Vec::new();
            for _ in 0..CALLERS {
                let mut socket = rig.connect().await;
                if reused {
                    let request = build_request(Role::Entry, "GET", "/safe/1", "i0");
                    socket.write_all(request.as_bytes()).await.unwrap();
                    assert!(read_response(&mut socket).await.ends_with("of i0"));
                }
                sockets.push(socket.into_std().unwrap());
            }
            sleep(ARRIVAL_TIME).await;
            stop(&rig);
            sleep(Duration::from_millis(10)).await;
            for socket in &mut sockets {
                let request = build_request(Role::Entry, "GET", "/safe/1", "i1");
                socket.write_all(request.as_bytes()).unwrap();
            }
            std::thread::sleep(RUN_TIME);
            let mut served = 0;
            for socket in sockets {
                let mut socket = TcpStream::from_std(socket).unwrap();
                let response = read_response(&mut socket).await;
                served += usize::from(response.starts_with("HTTP/1.1"));
            }
            assert_eq!(served, CALLERS, "{reused}");
        });
    }
}

/// Guards against connections that have not been accepted yet when a node closes its listener: the
/// kernel resets them, with the requests that they carry.
#[test]
fn a_stop_accepts_the_connections_of_the_backlog() {
    run(succeed, |rig| async move {
        let addr = rig.connect().await.peer_addr().unwrap();
        sleep(ARRIVAL_TIME).await;
        let mut sockets = Vec::new();
        for _ in 0..CALLERS {
            let mut socket = std::net::TcpStream::connect(addr).unwrap();
            let request = build_request(Role::Entry, "GET", "/safe/1", "i1");
            socket.write_all(request.as_bytes()).unwrap();
            socket.set_nonblocking(true).unwrap();
            sockets.push(socket);
        }
        rig.callers.close().await;
        let mut served = 0;
        for socket in sockets {
            let mut socket = TcpStream::from_std(socket).unwrap();
            let response = read_response(&mut socket).await;
            served += usize::from(response.starts_with("HTTP/1.1"));
        }
        assert_eq!(served, CALLERS);
        assert!(TcpStream::connect(addr).await.is_err(), "the listener is still open");
    });
}

/// Guards against requests that wait at a gate and are cut off by a planned stop: those for which there
/// is time run, and the others are rejected before their connections are closed.
#[test]
fn a_stop_answers_the_requests_that_wait_at_a_gate() {
    for closes_queue in [false, true] {
        block_on(async {
            let (server, _) = start_server(None).await;
            let settings = settings("n1", Limits::default());
            let rig = Rig::start_node(settings, server, Rc::default(), None).await;
            let mut sockets = Vec::new();
            for number in 1..=6 {
                let mut socket = rig.connect().await;
                let request = build_request(Role::Entry, "POST", "/once/1", &format!("i{number}"));
                socket.write_all(request.as_bytes()).await.unwrap();
                sockets.push(socket);
            }
            sleep(RUN_TIME / 2).await;
            stop(&rig);
            if closes_queue {
                rig.node.close_queue();
            }
            let mut statuses = Vec::new();
            for (number, socket) in (1..).zip(&mut sockets) {
                let response = read_response(socket).await;
                assert!(response.contains(&format!("x-id: i{number}")), "{response}");
                assert!(response.contains("connection: close"), "{response}");
                statuses.push(response[9..12].to_owned());
            }
            let rejected = statuses.iter().filter(|status| *status == "503").count();
            assert_eq!(rejected > 0, closes_queue, "{statuses:?}");
            assert!(statuses.iter().all(|status| status == "200" || status == "503"));
        });
    }
}
