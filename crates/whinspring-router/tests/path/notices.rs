//! What a node does with what servers say of themselves in their responses.

use {
    crate::{
        links::{FakePeer, LONG_INTERVAL_MS},
        rig::{Rig, run},
    },
    std::time::{Duration, Instant},
    tokio::{io::AsyncWriteExt, time::sleep},
    whinspring::{
        name::Name,
        notices::{Purpose, Refusal},
    },
    whinspring_router::{
        follow,
        message::{Body, FetchRequest, ServerNotice},
        notices,
        platform::{Kind, Listing, Object},
    },
};

const SERVER: &str = "s1";

/// Time in which a message arrives.
const DELIVERY_TIME: Duration = Duration::from_millis(100);

fn id_of(request: &str) -> &str {
    let line = request.lines().find(|line| line.starts_with("x-id: "));
    line.map_or("", |line| &line[6..])
}

fn build_request(path: &str, id: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a.example\r\nx-id: {id}\r\nx-deadline: 1500\r\n\r\n")
}

fn check(rig: &Rig, purpose: Purpose) -> Result<(), Refusal> {
    notices::check(&rig.node, &SERVER.into(), purpose, rig.node.now())
}

fn is_leaving(rig: &Rig) -> bool {
    rig.node.view.borrow().notices.leaving_since(&SERVER.into()).is_some()
}

/// Responses of a server that leaves, by path.
fn leaving(request: &str) -> Option<String> {
    let id = id_of(request);
    let path = request.split(' ').nth(1).unwrap_or_default();
    let end = format!("x-id: {id}\r\nx-leaving: 1\r\ncontent-length: 2\r\n\r\nok");
    match path {
        "/safe/success" => Some(format!("HTTP/1.1 200 OK\r\nx-seal: s\r\n{end}")),
        "/once/failure" => Some(format!("HTTP/1.1 500 No\r\n{end}")),
        "/once/rejection" => Some(format!("HTTP/1.1 503 No\r\nx-not-run: 1\r\n{end}")),
        "/once/moved" => Some(format!("HTTP/1.1 421 No\r\n{end}")),
        "/once/late" => Some(format!(
            "HTTP/1.1 200 OK\r\nx-seal: s\r\nx-id: zz\r\n{}",
            &end[end.find("x-leaving").unwrap()..]
        )),
        "/safe/wait" => Some("wait".to_owned()),
        _ => Some(format!(
            "HTTP/1.1 200 OK\r\nx-seal: s\r\n{}",
            end.replace("leaving: 1", "leaving: 0")
        )),
    }
}

fn notice(age_ms: u32, relay: bool, rig: &Rig) -> ServerNotice {
    let life = rig.node.view.borrow().servers[&Name::from(SERVER)].life();
    let addr = life.addr.to_string();
    ServerNotice { server: SERVER.into(), start_ms: life.start_ms, addr, age_ms, relay }
}

/// The store says nothing: the server's word alone counts, whatever the response is otherwise.
#[test]
fn a_server_that_leaves_by_its_own_word_gets_no_request() {
    for path in ["/safe/success", "/once/failure", "/once/rejection", "/once/moved", "/once/late"] {
        run(leaving, move |rig| async move {
            rig.send(&build_request("/safe/plain", "i0")).await;
            assert!(!is_leaving(&rig), "it does not leave yet");
            rig.send(&build_request(path, "i1")).await;
            assert!(is_leaving(&rig), "{path}");
            let sent = rig.seen.borrow().len();
            let response = rig.send(&build_request("/safe/success", "i2")).await;
            assert!(response.starts_with("HTTP/1.1 503"), "{path}: {response}");
            assert_eq!(rig.seen.borrow().len(), sent, "{path}");
        });
    }
}

#[test]
fn an_entry_that_says_ready_does_not_take_the_word_back() {
    run(leaving, |rig| async move {
        rig.send(&build_request("/safe/success", "i1")).await;
        let entry = Object { name: SERVER.into(), revision: 2, value: vec![1] };
        let listing = Listing { revision: 2, items: vec![entry] };
        follow::apply_listing(&rig.node, Kind::Servers, listing);
        assert!(is_leaving(&rig));
    });
}

#[test]
fn a_word_counts_until_the_drain_ends() {
    run(leaving, |rig| async move {
        rig.send(&build_request("/safe/success", "i1")).await;
        assert_eq!(check(&rig, Purpose::Start), Ok(()), "keyed requests may go on for a while");
        sleep(notices::usable_drain(&rig.node)).await;
        assert_eq!(check(&rig, Purpose::Start), Err(Refusal::Left));
        assert_eq!(check(&rig, Purpose::Write), Err(Refusal::Left));
    });
}

#[test]
fn the_first_word_is_told_to_other_nodes_once() {
    run(leaving, |rig| async move {
        let (mut peer, mut link) = FakePeer::connect(&rig, false, LONG_INTERVAL_MS).await;
        rig.send(&build_request("/safe/success", "i1")).await;
        let told = peer.next(&mut link).await;
        assert_eq!(told, Body::ServerNotice(notice(0, false, &rig)));
        rig.send(&build_request("/safe/success", "i2")).await;
        peer.send(Body::FetchRequest(FetchRequest { kind: Kind::Routes.number() })).await;
        let next = peer.next(&mut link).await;
        assert!(matches!(next, Body::Snapshot(_)), "told again: {next:?}");
    });
}

/// Requests wait at the gate while another node hears that the server leaves.
#[test]
fn a_hint_ends_the_wait_of_queued_requests() {
    run(leaving, |rig| async move {
        let (mut peer, _link) = FakePeer::connect(&rig, false, LONG_INTERVAL_MS).await;
        let mut busy = Vec::new();
        for number in 0..2 {
            let mut caller = rig.connect().await;
            let request = build_request("/safe/wait", &format!("i{number}"));
            caller.write_all(request.as_bytes()).await.unwrap();
            busy.push(caller);
        }
        while rig.seen.borrow().len() < 2 {
            sleep(Duration::from_millis(5)).await;
        }
        let hint = notice(300, false, &rig);
        let start = Instant::now();
        let request = build_request("/safe/success", "i3");
        let (response, ()) = tokio::join!(rig.send(&request), async {
            sleep(DELIVERY_TIME).await;
            peer.send(Body::ServerNotice(hint)).await;
        });
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(start.elapsed() < Duration::from_millis(500), "{:?}", start.elapsed());
        assert_eq!(rig.seen.borrow().len(), 2);
        let since = rig.node.view.borrow().notices.leaving_since(&SERVER.into()).unwrap();
        let age = rig.node.now().since(since);
        assert!(age >= Duration::from_millis(300), "the age of the hint counts: {age:?}");
    });
}

#[test]
fn a_relay_forwards_a_hint_once() {
    run(leaving, |rig| async move {
        let (mut peer, mut link) = FakePeer::connect(&rig, false, LONG_INTERVAL_MS).await;
        peer.send(Body::ServerNotice(notice(40, true, &rig))).await;
        assert_eq!(peer.next(&mut link).await, Body::ServerNotice(notice(40, false, &rig)));
        peer.send(Body::ServerNotice(notice(30, false, &rig))).await;
        peer.send(Body::FetchRequest(FetchRequest { kind: Kind::Routes.number() })).await;
        let next = peer.next(&mut link).await;
        assert!(matches!(next, Body::Snapshot(_)), "forwarded again: {next:?}");
    });
}

#[test]
fn a_hint_on_another_life_is_ignored() {
    run(leaving, |rig| async move {
        let (mut peer, _link) = FakePeer::connect(&rig, false, LONG_INTERVAL_MS).await;
        let other = ServerNotice { start_ms: 99, ..notice(0, false, &rig) };
        peer.send(Body::ServerNotice(other)).await;
        let elsewhere = ServerNotice { addr: "127.0.0.1:1".into(), ..notice(0, false, &rig) };
        peer.send(Body::ServerNotice(elsewhere)).await;
        sleep(DELIVERY_TIME).await;
        assert!(!is_leaving(&rig));
    });
}
