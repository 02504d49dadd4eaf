//! What a node sends to the servers of an evacuated failure domain: nothing after the bound.

use {
    crate::{
        links::{FakePeer, LONG_INTERVAL_MS},
        rig::{Rig, run_with},
    },
    std::{
        future::Future,
        time::{Duration, Instant},
    },
    tokio::{io::AsyncWriteExt, task::spawn_local, time::sleep},
    whinspring::{
        name::Name,
        notices::{Purpose, Refusal},
        rendezvous::rank,
    },
    whinspring_router::{
        evacuations::{self, Remainder},
        follow,
        message::{Admitted, Body, Item, ObjectsChanged, ServerNotice, Snapshot},
        notices, peers,
        platform::{Kind, Listing, Object, Position},
        settings::Limits,
    },
};

/// Time after which the servers of an evacuated domain may get nothing.
const BOUND: Duration = Duration::from_millis(1_500);

/// Time in which a node has dealt with what it has just learned.
const SETTLE_TIME: Duration = Duration::from_millis(150);

fn run<F: Future<Output = ()>>(script: fn(&str) -> Option<String>, test: impl FnOnce(Rig) -> F) {
    let limits = Limits { evacuate_ms: Some(BOUND.as_millis() as u32), ..Limits::default() };
    run_with(limits, script, test);
}

fn id_of(request: &str) -> &str {
    let line = request.lines().find(|line| line.starts_with("x-id: "));
    line.map_or("", |line| &line[6..])
}

fn answer(request: &str) -> Option<String> {
    let id = id_of(request);
    let head = "HTTP/1.1 200 OK\r\nx-seal: s\r\ncontent-length: 2\r\n";
    Some(format!("{head}x-id: {id}\r\n\r\nok"))
}

fn wait(_: &str) -> Option<String> {
    Some("wait".into())
}

fn build_request(id: &str) -> String {
    format!(
        "GET /safe/1 HTTP/1.1\r\nhost: a.example\r\nx-id: {id}\r\nx-deadline: 8000\r\nx-key: 7\r\n\r\n"
    )
}

/// Applies a listing of the evacuations, which the store had confirmed just before.
fn list(rig: &Rig, position: Position, domains: &[&str]) {
    let object = |domain: &&str| Object { name: (*domain).into(), position, value: Vec::new() };
    let items = domains.iter().map(object).collect();
    rig.node.view.borrow_mut().confirm(Kind::Evacuations, rig.node.now());
    follow::apply_listing(&rig.node, Kind::Evacuations, Listing { position, items });
}

fn at(era: u64, revision: u64) -> Position {
    Position::new(era, revision)
}

/// Returns how many requests the servers got.
fn sent(rig: &Rig) -> usize {
    rig.seen.borrow().iter().filter(|seen| *seen != "gone").count()
}

fn is_evacuated(rig: &Rig) -> bool {
    evacuations::is_evacuated(&rig.node, &"s1".into())
}

/// Load pattern: callers go on while the keys of the domain cannot move anywhere.
#[test]
fn an_owner_gets_requests_until_the_bound_and_none_after() {
    run(answer, |rig| async move {
        rig.set_keyed();
        list(&rig, at(0, 5), &["a"]);
        let start = Instant::now();
        let mut last = None;
        let mut number = 0;
        while start.elapsed() < BOUND * 2 {
            number += 1;
            let response = rig.send(&build_request(&format!("i{number}"))).await;
            if response.starts_with("HTTP/1.1 200") {
                last = Some(start.elapsed());
            } else {
                assert!(response.starts_with("HTTP/1.1 503"), "{response}");
                assert!(response.contains("retry-after: "), "{response}");
            }
        }
        let last = last.expect("an owner is used until the bound");
        assert!(last > BOUND / 3 && last < BOUND, "{last:?}");
        let remainders = evacuations::remainders(&rig.node);
        assert_eq!(remainders[&Name::from("a")], Remainder { spans: 1, running: 0 });
    });
}

/// A request that waits at a gate must not be sent when a slot is free after the bound, and its caller
/// must not wait for its deadline.
#[test]
fn a_request_that_waits_at_a_gate_is_rejected_at_the_bound() {
    run(wait, |rig| async move {
        rig.set_keyed();
        let mut callers = Vec::new();
        for number in 0..2 {
            let mut caller = rig.connect().await;
            let request = build_request(&format!("i{number}"));
            caller.write_all(request.as_bytes()).await.unwrap();
            callers.push(caller);
        }
        while sent(&rig) < 2 {
            sleep(Duration::from_millis(5)).await;
        }
        list(&rig, at(0, 5), &["a"]);
        spawn_local(follow::sweep(rig.node.clone()));
        assert_eq!(evacuations::remainders(&rig.node)[&Name::from("a")].running, 2);
        let start = Instant::now();
        spawn_local(async move {
            sleep(BOUND).await;
            drop(callers);
        });
        let response = rig.send(&build_request("i3")).await;
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(start.elapsed() < BOUND, "{:?}", start.elapsed());
        sleep(BOUND).await;
        assert_eq!(sent(&rig), 2);
    });
}

#[test]
fn a_service_whose_last_servers_are_evacuated_is_rejected_at_once() {
    run(answer, |rig| async move {
        list(&rig, at(0, 5), &["a", "c"]);
        let start = Instant::now();
        let response = rig.send(&build_request("i1")).await;
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(response.contains("retry-after: "), "{response}");
        assert!(start.elapsed() < SETTLE_TIME, "{:?}", start.elapsed());
        assert_eq!(sent(&rig), 0);
    });
}

#[test]
fn servers_of_other_domains_take_the_requests() {
    run(answer, |rig| async move {
        rig.list_servers(&["s1", "s2", "b1"]);
        list(&rig, at(0, 5), &["a"]);
        for number in 0..10 {
            let response = rig.send(&build_request(&format!("i{number}"))).await;
            assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        }
        let seen = rig.seen.borrow();
        assert!(seen.iter().all(|request| request.contains("x-target: b1")), "{seen:?}");
    });
}

/// The gate may be on a node of an earlier version, which assigns evacuated servers for ever.
#[test]
fn a_gate_that_knows_of_no_evacuation_is_told_which_servers_to_leave_out() {
    run(answer, |rig| async move {
        rig.list_servers(&["s1", "s2", "s3", "s4", "s5", "b1"]);
        list(&rig, at(0, 5), &["a"]);
        let (mut peer, mut link) = FakePeer::connect(&rig, true, LONG_INTERVAL_MS).await;
        let caller = rig.clone();
        let response = spawn_local(async move { caller.send(&build_request("i1")).await });
        for server in ["s1", "b1"] {
            let admit = loop {
                if let Body::Admit(admit) = peer.next(&mut link).await {
                    break admit;
                }
            };
            let excluded = admit.exclude.iter().filter(|name| name.starts_with('s')).count();
            let expected = if server == "s1" { 0 } else { 5 };
            assert!(excluded >= expected, "{:?}", admit.exclude);
            let (number, limit) = (admit.number, None);
            peer.send(Body::Admitted(Admitted { number, server: server.into(), limit })).await;
        }
        let response = response.await.unwrap();
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert!(rig.seen.borrow()[0].contains("x-target: b1"));
    });
}

/// The gate is on a node that does not respond: no request of a service without another server may be
/// held back for it.
#[test]
fn no_gate_is_asked_for_a_service_whose_servers_are_all_evacuated() {
    run(answer, |rig| async move {
        list(&rig, at(0, 5), &["a"]);
        let (_peer, _link) = FakePeer::connect(&rig, true, LONG_INTERVAL_MS).await;
        let start = Instant::now();
        let response = rig.send(&build_request("i1")).await;
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(start.elapsed() < SETTLE_TIME, "{:?}", start.elapsed());
    });
}

/// The gate of an owner is on a node that does not respond, or of an earlier version: a request that
/// waits for it is rejected at the bound, not at its deadline.
#[test]
fn a_request_that_waits_at_the_gate_of_another_node_is_rejected_at_the_bound() {
    run(answer, |rig| async move {
        rig.set_keyed();
        spawn_local(follow::sweep(rig.node.clone()));
        let score = |name: &str| rank(&[name, "s1"], 0);
        let mut names = (2..).map(|number| format!("n{number}"));
        let name = names.find(|name| score(name) > score("n1")).unwrap();
        let mut peer = FakePeer::join_as(&rig, name).await;
        peer.every = LONG_INTERVAL_MS;
        peer.heartbeat().await;
        list(&rig, at(0, 5), &["a"]);
        let start = Instant::now();
        let response = rig.send(&build_request("i1")).await;
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(start.elapsed() > BOUND / 3 && start.elapsed() < BOUND, "{:?}", start.elapsed());
        assert_eq!(sent(&rig), 0);
    });
}

/// A relay may know more than the node that sends the request through it.
#[test]
fn a_relay_sends_nothing_to_an_evacuated_server() {
    run(answer, |rig| async move {
        list(&rig, at(0, 5), &["a"]);
        let internal = "x-target: s1\r\nwhinspring-server-start-ms: 0\r\n\r\n";
        let request = build_request("i1").replacen("\r\n\r\n", &format!("\r\n{internal}"), 1);
        let response = rig.send_relayed(&request).await;
        assert!(response.contains("whinspring-relay-fault: "), "{response}");
        assert_eq!(sent(&rig), 0);
    });
}

#[test]
fn a_domain_is_used_again_once_its_request_is_deleted() {
    run(answer, |rig| async move {
        let domain = Name::from("a");
        list(&rig, at(0, 5), &["a"]);
        assert_eq!(evacuations::cleared_since(&rig.node, &domain), None);
        assert!(rig.send(&build_request("i1")).await.starts_with("HTTP/1.1 503"));
        let before = rig.node.now();
        list(&rig, at(0, 9), &[]);
        assert!(evacuations::cleared_since(&rig.node, &domain) >= Some(before));
        assert!(rig.send(&build_request("i2")).await.starts_with("HTTP/1.1 200"));
    });
}

/// The store has come back from a copy of before the request, and operators write it again within two
/// seconds.
#[test]
fn an_evacuation_that_the_store_has_lost_is_kept_for_a_while() {
    for rewritten in [false, true] {
        run(answer, move |rig| async move {
            spawn_local(follow::sweep(rig.node.clone()));
            list(&rig, at(1, 90), &["a"]);
            list(&rig, at(2, 60), &[]);
            sleep(Duration::from_millis(1_900)).await;
            assert!(is_evacuated(&rig), "operators may still write it again");
            assert!(rig.send(&build_request("i1")).await.starts_with("HTTP/1.1 503"));
            if rewritten {
                list(&rig, at(2, 70), &["a"]);
            }
            sleep(Duration::from_millis(700)).await;
            assert_eq!(is_evacuated(&rig), rewritten);
            let response = rig.send(&build_request("i2")).await;
            assert_eq!(response.starts_with("HTTP/1.1 200"), !rewritten, "{response}");
        });
    }
}

fn snapshot(domains: &[&str], revision: u64, age_ms: u32) -> Snapshot {
    let item = |domain: &&str| Item { name: (*domain).into(), revision, ..Item::default() };
    let notice =
        |domain: &&str| ServerNotice { server: (*domain).into(), age_ms, ..Default::default() };
    Snapshot {
        kind: Kind::Evacuations.number(),
        revision,
        items: domains.iter().map(item).collect(),
        synced_revision: 50,
        era: 0,
        notices: domains.iter().map(notice).collect(),
        ..Snapshot::default()
    }
}

/// The store does not respond to this node: another one knows of an evacuation.
#[test]
fn a_node_without_the_store_learns_of_an_evacuation_from_another() {
    run(answer, |rig| async move {
        rig.node.platform.silent.set(true);
        let (mut peer, mut link) = FakePeer::connect(&rig, false, LONG_INTERVAL_MS).await;
        list(&rig, at(0, 4), &[]);
        assert!(rig.send(&build_request("i1")).await.starts_with("HTTP/1.1 200"));
        peer.evacuations = 7;
        let fetch = loop {
            peer.heartbeat().await;
            match peer.next(&mut link).await {
                Body::FetchRequest(fetch) => break fetch,
                _ => continue,
            }
        };
        assert_eq!(fetch.kind, Kind::Evacuations.number());
        peer.send(Body::Snapshot(snapshot(&["a"], 7, 400))).await;
        sleep(SETTLE_TIME).await;
        assert!(rig.send(&build_request("i2")).await.starts_with("HTTP/1.1 503"));
        assert_eq!(sent(&rig), 1);
        let told = follow::snapshot(&rig.node, Kind::Evacuations);
        assert!(told.notices[0].age_ms >= 400, "the age of the other node counts: {told:?}");
    });
}

/// A change that a watching node forwards must not be taken for new if the watcher knows its age.
#[test]
fn a_forwarded_change_states_how_old_it_is() {
    run(answer, |rig| async move {
        rig.set_keyed();
        list(&rig, at(0, 4), &[]);
        let (mut peer, _link) = FakePeer::connect(&rig, false, LONG_INTERVAL_MS).await;
        let age_ms = BOUND.as_millis() as u32;
        let Snapshot { kind, items, notices, .. } = snapshot(&["a"], 7, age_ms);
        let changed = ObjectsChanged { kind, base: 4, synced_revision: 7, items, era: 0, notices };
        peer.send(Body::ObjectsChanged(changed)).await;
        sleep(SETTLE_TIME).await;
        let checked = notices::check(&rig.node, &"s1".into(), Purpose::Write, rig.node.now());
        assert_eq!(checked, Err(Refusal::Left));
    });
}

/// A node that starts while a domain is evacuated would send requests there.
#[test]
fn a_node_is_not_ready_before_it_knows_the_evacuations() {
    run(answer, |rig| async move {
        assert!(!rig.node.is_ready(), "it has listed none");
        list(&rig, at(0, 4), &[]);
        assert!(rig.node.is_ready());
    });
    run(answer, |rig| async move {
        let (mut peer, _link) = FakePeer::connect(&rig, false, LONG_INTERVAL_MS).await;
        peer.send(Body::Snapshot(snapshot(&[], 1, 0))).await;
        sleep(SETTLE_TIME).await;
        assert!(rig.node.is_ready(), "another node has told that there are none");
    });
    run_with(Limits::default(), answer, |rig| async move {
        assert!(rig.node.is_ready(), "it follows no evacuations");
    });
}

/// A deployment that names no bound has no evacuations, whatever other nodes say.
#[test]
fn a_node_without_the_setting_ignores_evacuations() {
    run_with(Limits::default(), answer, |rig| async move {
        let (mut peer, mut link) = FakePeer::connect(&rig, false, LONG_INTERVAL_MS).await;
        peer.evacuations = 7;
        peer.heartbeat().await;
        peer.send(Body::Snapshot(snapshot(&["a"], 7, 0))).await;
        sleep(SETTLE_TIME).await;
        assert!(rig.send(&build_request("i1")).await.starts_with("HTTP/1.1 200"));
        peers::send_heartbeats(&rig.node, rig.node.now());
        let beat = peer.read_heartbeat(&mut link).await.unwrap();
        assert_eq!((beat.evacuations, beat.evacuations_era), (0, 0));
    });
}

/// A server whose entry is gone has no known domain: what was assigned to it is not sent.
#[test]
fn a_server_without_an_entry_gets_nothing_during_an_evacuation() {
    run(answer, |rig| async move {
        list(&rig, at(0, 5), &["a"]);
        let check = || notices::check(&rig.node, &"s1".into(), Purpose::Write, rig.node.now());
        assert_eq!(check(), Ok(()), "it was started before");
        rig.node.view.borrow_mut().servers.clear();
        assert_eq!(check(), Err(Refusal::Left));
    });
}
