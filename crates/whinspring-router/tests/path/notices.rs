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
        notices::{Purpose, Refusal, Source, Wait},
    },
    whinspring_router::{
        follow,
        message::{
            Admitted, Body, CrashRecord, FetchRequest, Item, ObjectsChanged, ServerNotice, Snapshot,
        },
        notices,
        platform::{Kind, Listing, Object, Position, Word},
    },
};

const SERVER: &str = "s1";

/// Milliseconds before the caller's deadline at which a node answers.
const RESPONSE_MARGIN_MS: u64 = 15;

/// Milliseconds that a server's last word may take to the node.
const VERDICT_TIME_MS: u64 = 10;

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
        path if path.starts_with("/once/busy/") && request.contains("x-target: s1") => {
            let wait = &path["/once/busy/".len()..];
            Some(format!(
                "HTTP/1.1 503 No\r\nx-not-run: 1\r\nretry-after: {wait}\r\nx-id: {id}\r\ncontent-length: 0\r\n\r\n"
            ))
        }
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
        let entry = Object { name: SERVER.into(), position: Position::new(0, 2), value: vec![1] };
        let listing = Listing { position: Position::new(0, 2), items: vec![entry] };
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

/// Guards against a drain that is counted from when a node learned of it: it was cut off, and fetches
/// a snapshot long after the notice.
#[test]
fn a_snapshot_and_forwarded_changes_tell_how_old_notices_are() {
    const AGE: Duration = Duration::from_millis(1_900);
    run(leaving, |rig| async move {
        sleep(AGE).await;
        let kind = Kind::Servers.number();
        let item = |revision| Item { name: SERVER.into(), revision, ..Item::default() };
        let notices = vec![notice(1_500, false, &rig)];
        let (items, notice) = (vec![item(5)], notices.clone());
        let changed = ObjectsChanged { kind, base: 1, synced_revision: 5, items, notices, era: 0 };
        follow::apply_forwarded(&rig.node, &"n2".into(), changed);
        assert_eq!(check(&rig, Purpose::Start), Err(Refusal::Left));
        let told = follow::snapshot(&rig.node, Kind::Servers).notices;
        assert!(told.len() == 1 && told[0].age_ms >= notice[0].age_ms, "{told:?}");
        let mut older = notice;
        older[0].age_ms = 1_800;
        let (items, notices) = (vec![item(6)], older);
        let snapshot = Snapshot {
            kind,
            revision: 6,
            items,
            synced_revision: 6,
            notices,
            ..Snapshot::default()
        };
        follow::adopt_snapshot(&rig.node, snapshot);
        let told = follow::snapshot(&rig.node, Kind::Servers).notices;
        assert!(told[0].age_ms >= 1_800, "{told:?}");
    });
}

/// Guards against a drain that a node counts from its start: the store has lost the notice, and only
/// the other nodes know.
#[test]
fn a_node_that_comes_up_is_told_which_servers_leave() {
    run(leaving, |rig| async move {
        rig.send(&build_request("/safe/success", "i1")).await;
        let expected = notice(0, false, &rig);
        let (mut peer, mut link) = FakePeer::connect(&rig, false, LONG_INTERVAL_MS).await;
        let told = peer.next(&mut link).await;
        let Body::Snapshot(Snapshot { items, mut notices, .. }) = told else { panic!("{told:?}") };
        assert!(items.is_empty());
        notices.iter_mut().for_each(|notice| notice.age_ms = 0);
        assert_eq!(notices, [expected]);
    });
}

/// Guards against a node that sends a request to servers which other nodes know to crash by it, since it has
/// started after they were told.
#[test]
fn a_node_that_comes_up_is_told_which_requests_crash_servers() {
    run(leaving, |rig| async move {
        for print in [7, 7, 8] {
            rig.node.crashes.borrow_mut().record(rig.node.now(), print);
        }
        let (mut peer, mut link) = FakePeer::connect(&rig, false, LONG_INTERVAL_MS).await;
        let told = peer.next(&mut link).await;
        let Body::Snapshot(Snapshot { items, crashes, .. }) = told else { panic!("{told:?}") };
        assert!(items.is_empty());
        let mut known: Vec<(u64, u32)> =
            crashes.iter().map(|crash| (crash.print, crash.count)).collect();
        known.sort_unstable();
        assert_eq!(known, [(7, 2), (8, 1)]);
    });
}

/// Guards against a node that does not act on what it is told, and against one that counts a crash again with
/// each node that tells of it.
#[test]
fn a_request_is_refused_for_the_crashes_that_other_nodes_know_of() {
    run(leaving, |rig| async move {
        let kind = Kind::Servers.number();
        let tell = |count| {
            let crashes = vec![CrashRecord { print: 7, count, left_ms: 1_000 }];
            follow::adopt_snapshot(&rig.node, Snapshot { kind, crashes, ..Snapshot::default() });
            rig.node.crashes.borrow().is_refused(rig.node.now(), 7)
        };
        assert!(!tell(1) && !tell(1) && !tell(1));
        assert!(tell(2));
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

fn keyed(path: &str, id: &str) -> String {
    build_request(path, id).replace("x-id", "x-key: 7\r\nx-id")
}

/// Returns the time to come back of a rejection, in seconds.
fn retry_after(response: &str) -> f64 {
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    let line = response.lines().find_map(|line| line.strip_prefix("retry-after: "));
    line.unwrap_or_else(|| panic!("{response}")).parse().unwrap()
}

/// Load pattern: a full server turns requests away for a while, and callers go on sending.
#[test]
fn a_server_that_wants_nothing_gets_nothing_until_its_time_ends() {
    for is_keyed in [false, true] {
        run(leaving, move |rig| async move {
            if is_keyed {
                rig.set_keyed();
            }
            let build = if is_keyed { keyed } else { build_request };
            let first = rig.send(&build("/once/busy/0.8", "i1")).await;
            let start = Instant::now();
            if is_keyed {
                assert!(retry_after(&first) > 0.7, "{first}");
                let retried = rig.node.metrics.encode().contains("sent_again");
                assert!(!retried, "a useless retry was taken from the budget");
            }
            while start.elapsed() < Duration::from_millis(600) {
                let asked = Instant::now();
                let response = rig.send(&build("/once/plain", "i2")).await;
                assert!(
                    asked.elapsed() < Duration::from_millis(100),
                    "held: {:?}",
                    asked.elapsed()
                );
                let left = 0.8 - start.elapsed().as_secs_f64();
                assert!((retry_after(&response) - left).abs() < 0.1, "{response}");
                sleep(Duration::from_millis(40)).await;
            }
            assert_eq!(rig.seen.borrow().len(), 1);
            sleep(Duration::from_millis(250)).await;
            let response = rig.send(&build("/once/plain", "i3")).await;
            assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        });
    }
}

/// Returns the milliseconds that a server is given for a request.
fn time_given(request: &str) -> u64 {
    let line = request.lines().find_map(|line| line.strip_prefix("x-deadline: "));
    line.unwrap_or_else(|| panic!("{request}")).parse().unwrap()
}

/// A server that turns a request away when its time is over, and wants nothing for a while, is still
/// heard: the node waits longer than it tells the server.
#[test]
fn a_server_ends_before_the_node_stops_listening() {
    run(leaving, |rig| async move {
        rig.send(&build_request("/once/plain", "i1")).await;
        let given = time_given(&rig.seen.borrow()[0]);
        let listens = 1_500 - RESPONSE_MARGIN_MS;
        assert!(given + VERDICT_TIME_MS <= listens, "{given} of {listens} ms");
    });
}

#[test]
fn a_pause_ends_the_wait_of_queued_requests_for_a_key() {
    run(leaving, |rig| async move {
        rig.set_keyed();
        let mut busy = Vec::new();
        for number in 0..2 {
            let mut caller = rig.connect().await;
            let request = keyed("/safe/wait", &format!("i{number}"));
            caller.write_all(request.as_bytes()).await.unwrap();
            busy.push(caller);
        }
        while rig.seen.borrow().len() < 2 {
            sleep(Duration::from_millis(5)).await;
        }
        let start = Instant::now();
        let request = keyed("/safe/success", "i3");
        let (response, ()) = tokio::join!(rig.send(&request), async {
            sleep(DELIVERY_TIME).await;
            let life = rig.node.view.borrow().servers[SERVER].life();
            let wait = Some(Wait { time: Duration::from_secs(5), exact: true });
            let word = Word { leaving: false, wait };
            notices::hear(&rig.node, &SERVER.into(), life, word, Source::Response);
        });
        assert!(retry_after(&response) > 4.5, "{response}");
        assert!(start.elapsed() < Duration::from_millis(200), "{:?}", start.elapsed());
    });
}

#[test]
fn requests_without_a_key_go_to_other_servers() {
    run(leaving, |rig| async move {
        rig.send(&build_request("/once/busy/5", "i0")).await;
        rig.list_servers(&["s1", "s2"]);
        let mut busy = Vec::new();
        for number in 1..=2 {
            let mut caller = rig.connect().await;
            let request = build_request("/safe/wait", &format!("i{number}"));
            caller.write_all(request.as_bytes()).await.unwrap();
            busy.push(caller);
            while rig.seen.borrow().len() <= number {
                sleep(Duration::from_millis(5)).await;
            }
        }
        let seen = rig.seen.borrow();
        assert!(seen[1..].iter().all(|request| request.contains("x-target: s2")), "{seen:?}");
    });
}

/// The gate of a pool is on another node, which the server has told nothing.
#[test]
fn a_gate_is_told_which_servers_want_nothing() {
    run(leaving, |rig| async move {
        rig.list_servers(&["s1", "s2"]);
        let (mut peer, mut link) = FakePeer::connect(&rig, true, LONG_INTERVAL_MS).await;
        let (first, second) = (build_request("/once/busy/5", "i1"), build_request("/safe/x", "i2"));
        let work = async {
            let Body::Admit(admit) = peer.next(&mut link).await else { panic!("no request") };
            assert!(admit.exclude.is_empty());
            peer.send(Body::Admitted(Admitted {
                number: admit.number,
                server: "s1".into(),
                limit: None,
            }))
            .await;
            loop {
                let Body::Admit(admit) = peer.next(&mut link).await else { continue };
                assert_eq!(admit.exclude, ["s1"]);
                let server = "s2".into();
                peer.send(Body::Admitted(Admitted { number: admit.number, server, limit: None }))
                    .await;
                return;
            }
        };
        let send = async {
            rig.send(&first).await;
            rig.send(&second).await
        };
        let _ =
            tokio::time::timeout(Duration::from_secs(5), async { tokio::join!(send, work) }).await;
        let seen = rig.seen.borrow();
        assert!(seen.iter().any(|request| request.contains("x-target: s2")), "{seen:?}");
    });
}

/// A gate on another node assigns a server that has left: it is told, and asked for another one.
#[test]
fn an_outdated_gate_is_corrected() {
    run(leaving, |rig| async move {
        rig.list_servers(&["s1", "s2"]);
        sleep(Duration::from_millis(2_100)).await;
        let (mut peer, mut link) = FakePeer::connect(&rig, true, LONG_INTERVAL_MS).await;
        {
            let mut view = rig.node.view.borrow_mut();
            let life = view.servers[SERVER].life();
            let since = rig.node.now() - Duration::from_secs(2);
            view.notices.record_leaving(&SERVER.into(), life, since, Source::Response);
        }
        let request = build_request("/safe/plain", "i1");
        let work = async {
            let Body::Admit(admit) = peer.next(&mut link).await else { panic!("no request") };
            peer.send(Body::Admitted(Admitted {
                number: admit.number,
                server: "s1".into(),
                limit: None,
            }))
            .await;
            let mut told = false;
            loop {
                match peer.next(&mut link).await {
                    Body::ServerNotice(notice) => {
                        assert!(notice.server == SERVER && notice.age_ms >= 2_000, "{notice:?}");
                        told = true;
                    }
                    Body::Admit(admit) => {
                        assert_eq!(admit.exclude, ["s1"]);
                        let server = "s2".into();
                        peer.send(Body::Admitted(Admitted {
                            number: admit.number,
                            server,
                            limit: None,
                        }))
                        .await;
                        return told;
                    }
                    _ => {}
                }
            }
        };
        let (response, told) = tokio::join!(rig.send(&request), work);
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert!(told, "the gate was not told that the server has left");
        assert!(rig.seen.borrow()[0].contains("x-target: s2"));
    });
}
