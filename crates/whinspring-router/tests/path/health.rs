//! What a node tells the gate of a server's response.

use {
    crate::{
        links::{FakePeer, LONG_INTERVAL_MS},
        rig::{self, Rig, read_response},
    },
    std::{
        cell::{Cell, RefCell},
        time::{Duration, Instant},
    },
    tokio::{io::AsyncWriteExt, task::spawn_local},
    whinspring::rendezvous::rank,
    whinspring_router::{
        message::{Admit, Admitted, Body, Done, ServerLoad},
        peers,
    },
};

const SERVER: &str = "s1";

fn respond(request: &str, head: &str) -> Option<String> {
    let line = request.lines().find(|line| line.starts_with("x-id: "));
    let id = line.map_or("", |line| &line[6..]);
    Some(format!("HTTP/1.1 {head}\r\nx-id: {id}\r\ncontent-length: 2\r\n\r\nno"))
}

/// Returns the next message on admission.
async fn next(peer: &mut FakePeer, link: &mut crate::links::Link) -> Body {
    loop {
        match peer.next(link).await {
            body @ (Body::Admit(_) | Body::Done(_)) => return body,
            _ => continue,
        }
    }
}

/// Sends a request that is not idempotent, and returns what the gate is told of its end.
async fn done(rig: &Rig, keyed: bool) -> Done {
    let pool = if keyed { SERVER } else { "plain" };
    let score = |name: &str| rank(&[name, pool], 0);
    let mut names = (2..).map(|number| format!("n{number}"));
    let name = names.find(|name| score(name) > score("n1")).unwrap();
    spawn_local(peers::run_heartbeats(rig.node.clone()));
    let mut peer = FakePeer::join_as(rig, name).await;
    peer.every = LONG_INTERVAL_MS;
    peer.heartbeat().await;
    let mut link = peer.accept().await;
    if keyed {
        rig.set_keyed();
    }
    let caller = rig.clone();
    spawn_local(async move {
        let head = "GET /once/1 HTTP/1.1\r\nhost: a.example\r\nx-key: 7\r\nx-id: i1";
        caller.send(&format!("{head}\r\nx-deadline: 1500\r\n\r\n")).await
    });
    let Body::Admit(Admit { number, .. }) = next(&mut peer, &mut link).await else {
        panic!("no request");
    };
    peer.send(Body::Admitted(Admitted { number, server: SERVER.into(), limit: None })).await;
    let Body::Done(done) = next(&mut peer, &mut link).await else { panic!("no end") };
    assert_eq!(done.number, number);
    done
}

fn expect(script: rig::Script, keyed: bool, outcome: u32) {
    rig::run(script, move |rig| async move {
        assert_eq!(done(&rig, keyed).await.outcome, outcome);
    });
}

/// Guards against an error that counts as a completed request, and its few milliseconds as the
/// speed of the server.
#[test]
fn an_error_that_is_passed_on_is_reported_as_one() {
    expect(|request| respond(request, "500 No"), false, 4);
}

#[test]
fn a_request_that_was_not_run_is_reported_as_shed() {
    expect(|request| respond(request, "503 No\r\nx-not-run: 1"), false, 3);
}

#[test]
fn a_client_error_is_a_completed_request() {
    expect(|request| respond(request, "404 No"), false, 1);
}

/// An owner whose key has moved is neither ill nor full; a server without keys that is not the one
/// at its address has failed.
#[test]
fn a_moved_key_says_nothing_of_the_server() {
    for (keyed, outcome) in [(true, 0), (false, 2)] {
        expect(|request| respond(request, "421 No\r\nx-not-run: 1"), keyed, outcome);
        expect(|request| respond(request, "421 No"), keyed, outcome);
    }
}

#[test]
fn the_gate_is_told_what_the_server_reports_of_its_load() {
    let told: [(rig::Script, _); 3] = [
        (|request| respond(request, "503 No\r\nx-not-run: 1\r\nx-load: 2,8,2,300"), Some((8, 300))),
        (|request| respond(request, "200 OK\r\nx-seal: s\r\nx-load: 1,0,2"), Some((0, 100))),
        (|request| respond(request, "200 OK\r\nx-seal: s\r\nx-load: busy"), None),
    ];
    for (script, expected) in told {
        rig::run(script, move |rig| async move {
            let load = done(&rig, false).await.load;
            let load = load.map(|ServerLoad { waiting, slowness, .. }| (waiting, slowness));
            assert_eq!(load, expected);
            let text = rig.node.metrics.encode();
            assert_eq!(text.contains("bad_server_load"), expected.is_none());
        });
    }
}

thread_local! {
    /// Requests that the server has shed in a test.
    static SHED: Cell<u32> = const { Cell::new(0) };
}

/// Sheds the first request it gets.
fn shed_once(request: &str) -> Option<String> {
    if SHED.replace(SHED.get() + 1) == 0 {
        respond(request, "503 No\r\nx-not-run: 1\r\nx-load: 1,0,2")
    } else {
        respond(request, "200 OK\r\nx-seal: s")
    }
}

/// A request that the owner of its key has shed is sent there once more, after a short time.
#[test]
fn a_shed_request_returns_to_the_owner_of_its_key() {
    rig::run(shed_once, |rig| async move {
        rig.set_keyed();
        let mut socket = rig.connect().await;
        let start = Instant::now();
        let head = "GET /once/1 HTTP/1.1\r\nhost: a.example\r\nx-key: 7\r\nx-id: i1";
        let request = format!("{head}\r\nx-deadline: 1500\r\n\r\n");
        socket.write_all(request.as_bytes()).await.unwrap();
        let response = read_response(&mut socket).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        let elapsed = start.elapsed();
        assert!(elapsed >= Duration::from_millis(20), "{elapsed:?}");
        assert!(elapsed < Duration::from_millis(500), "{elapsed:?}");
        assert_eq!(SHED.get(), 2);
    });
}

thread_local! {
    /// Server of the first request of a test.
    static FIRST: RefCell<Option<String>> = const { RefCell::new(None) };
}

/// Responds with an error as the server that is used first, and with success as any other.
fn fail_as_first(request: &str) -> Option<String> {
    let target = request.lines().find(|line| line.starts_with("x-target: ")).unwrap();
    let is_first = FIRST.with_borrow_mut(|it| it.get_or_insert_with(|| target.into()) == target);
    match is_first {
        true => respond(request, "500 No"),
        false => respond(request, "200 OK\r\nx-seal: s"),
    }
}

/// Guards against a failing server that keeps getting requests as it is always free.
#[test]
fn a_server_that_responds_with_errors_is_ejected() {
    rig::run(fail_as_first, |rig| async move {
        rig.list_servers(&["s1", "s2"]);
        let mut failed = 0;
        for number in 0..30 {
            let head = format!("GET /once/{number} HTTP/1.1\r\nhost: a.example\r\nx-id: i{number}");
            let response = rig.send(&format!("{head}\r\nx-deadline: 1500\r\n\r\n")).await;
            failed += u32::from(response.starts_with("HTTP/1.1 500"));
        }
        assert!((4..=8).contains(&failed), "{failed}");
        assert!(rig.node.metrics.encode().contains("event=\"server_ejected\""));
    });
}
