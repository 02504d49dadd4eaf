//! What a node tells the gate of a server's response.

use {
    crate::{
        links::{FakePeer, LONG_INTERVAL_MS},
        rig::{self, Rig},
    },
    tokio::task::spawn_local,
    whinspring::rendezvous::rank,
    whinspring_router::{
        message::{Admit, Admitted, Body, Done},
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
