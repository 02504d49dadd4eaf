//! Requests to a server that names how many a second it takes from all nodes.

use {
    crate::{
        links::{FakePeer, LONG_INTERVAL_MS},
        pair::{Cut, Pair, run},
        rig::{self, Rig},
    },
    std::time::{Duration, Instant},
    tokio::{
        task::spawn_local,
        time::{sleep, timeout},
    },
    whinspring::name::Name,
    whinspring_router::message::{Admit, Admitted, Body, Done, ServerLimit},
};

const SERVER: &str = "s1";

const POOL: &str = "plain";

/// Requests a second that the server takes, as its script says.
const LIMIT: f64 = 2.0;

/// Time from the first response that names the limit in which nodes may exceed it.
const REACTION_TIME: Duration = Duration::from_secs(3);

/// Any span of this length counts.
const WINDOW: Duration = Duration::from_secs(4);

/// Requests that a server may get in one window.
const MAX_REQUESTS: f64 = LIMIT * 4.0 * 1.5 + 5.0;

const SEND_INTERVAL: Duration = Duration::from_millis(100);

/// Responds to each request with the limit.
fn limited(request: &str) -> Option<String> {
    let line = request.lines().find(|line| line.starts_with("x-id: "));
    let id = line.map_or("", |line| &line[6..]);
    Some(format!(
        "HTTP/1.1 200 OK\r\nx-seal: s\r\nx-limit: 2.0\r\nx-id: {id}\r\ncontent-length: 2\r\n\r\nok"
    ))
}

fn build_request(number: usize) -> String {
    format!(
        "GET /once/{number} HTTP/1.1\r\nhost: a.example\r\nx-key: 7\r\nx-id: i{number}\r\nx-deadline: 1500\r\n\r\n"
    )
}

/// Sends requests to both nodes for some time, without waiting for the responses. Returns how many
/// requests the server had got at points in time.
async fn send_for(pair: &Pair, time: Duration) -> Vec<(Instant, usize)> {
    let start = Instant::now();
    let mut samples = Vec::new();
    while start.elapsed() < time {
        for rig in [&pair.entry, &pair.relay] {
            let (rig, request) = (Rig::clone(rig), build_request(samples.len()));
            spawn_local(async move { rig.send(&request).await });
        }
        sleep(SEND_INTERVAL).await;
        samples.push((Instant::now(), pair.entry.seen.borrow().len()));
    }
    samples
}

/// Returns the most requests that the server got within one window.
fn most_in_window(samples: &[(Instant, usize)]) -> usize {
    let after = |(from, before): &(Instant, usize)| {
        let within = samples.iter().filter(|(at, _)| at >= from && *at - *from <= WINDOW);
        within.map(|(_, count)| count - before).max().unwrap_or(0)
    };
    samples.iter().map(after).max().unwrap_or(0)
}

fn test_limit(keyed: bool) {
    run(limited, Cut::None, move |pair| async move {
        if keyed {
            pair.entry.set_keyed();
            pair.relay.set_keyed();
        }
        send_for(&pair, REACTION_TIME).await;
        let samples = send_for(&pair, WINDOW + WINDOW / 4).await;
        let most = most_in_window(&samples);
        assert!(most as f64 <= MAX_REQUESTS, "{most} requests within {WINDOW:?}");
        assert!(most as f64 >= LIMIT, "{most} requests within {WINDOW:?}: it takes more");
    });
}

/// Two nodes send ten times as many requests as the server takes.
#[test]
fn a_limited_server_gets_no_more_from_all_nodes_than_it_takes() {
    test_limit(false);
}

#[test]
fn a_limited_owner_of_keys_gets_no_more_from_all_nodes_than_it_takes() {
    test_limit(true);
}

/// Returns what a node tells of the server's limit.
fn message(rig: &Rig, rate: Option<f64>, age_ms: u32) -> ServerLimit {
    let life = rig.node.view.borrow().servers[&Name::from(SERVER)].life();
    let (server, addr) = (SERVER.into(), life.addr.to_string());
    ServerLimit { server, start_ms: life.start_ms, addr, rate, lifted: rate.is_none(), age_ms }
}

fn known_rate(rig: &Rig) -> Option<f64> {
    whinspring_router::limits::rate(&rig.node, &SERVER.into())
}

/// Sends a request whose gate is on the peer, which admits it. Returns the request for admission.
async fn send_by_gate(
    rig: &Rig,
    peer: &mut FakePeer,
    link: &mut crate::links::Link,
    limit: Option<ServerLimit>,
) -> Admit {
    let caller = rig.clone();
    let response = spawn_local(async move { caller.send(&build_request(1)).await });
    let admit = loop {
        match peer.next(link).await {
            Body::Admit(admit) => break admit,
            _ => continue,
        }
    };
    let number = admit.number;
    peer.send(Body::Admitted(Admitted { number, server: SERVER.into(), limit })).await;
    assert!(response.await.unwrap().starts_with("HTTP/1.1 200"));
    admit
}

#[test]
fn a_node_tells_the_gate_what_it_has_read() {
    rig::run(limited, |rig| async move {
        let (mut peer, mut link) = FakePeer::connect(&rig, true, LONG_INTERVAL_MS).await;
        let first = send_by_gate(&rig, &mut peer, &mut link, None).await;
        assert_eq!(first.limits, [], "nothing is known yet");
        let second = send_by_gate(&rig, &mut peer, &mut link, None).await;
        let [told] = &second.limits[..] else { panic!("{:?}", second.limits) };
        assert_eq!(*told, message(&rig, Some(LIMIT), told.age_ms));
    });
}

/// The server names no limit any more: the gate learns it from the node that has heard it, although
/// that node has never heard of the limit but from the gate.
#[test]
fn a_node_tells_the_gate_that_a_limit_is_lifted() {
    let free =
        |request: &str| limited(request).map(|response| response.replace("x-limit", "x-other"));
    rig::run(free, |rig| async move {
        let (mut peer, mut link) = FakePeer::connect(&rig, true, LONG_INTERVAL_MS).await;
        let limit = message(&rig, Some(LIMIT), 10);
        send_by_gate(&rig, &mut peer, &mut link, Some(limit)).await;
        assert_eq!(known_rate(&rig), None);
        let second = send_by_gate(&rig, &mut peer, &mut link, None).await;
        let [told] = &second.limits[..] else { panic!("{:?}", second.limits) };
        assert_eq!(*told, message(&rig, None, told.age_ms));
    });
}

/// Neither a rejection nor the late response to another request lifts a limit: what they say may be
/// older than the limit.
#[test]
fn a_limit_is_not_lifted_by_what_may_be_older() {
    let rejection = |request: &str| {
        limited(request).map(|response| {
            response.replace("200 OK", "503 No").replace("x-limit: 2.0", "x-not-run: 1")
        })
    };
    let misdirected = |request: &str| {
        limited(request)
            .map(|response| response.replace("200 OK", "421 No").replace("x-limit: 2.0\r\n", ""))
    };
    let late = |request: &str| {
        limited(request)
            .map(|response| response.replace("x-id: i", "x-id: z").replace("x-limit: 2.0\r\n", ""))
    };
    for script in [rejection, misdirected, late] as [rig::Script; 3] {
        rig::run(script, |rig| async move {
            let (mut peer, mut link) = FakePeer::connect(&rig, true, LONG_INTERVAL_MS).await;
            let caller = rig.clone();
            let response = spawn_local(async move { caller.send(&build_request(1)).await });
            let Body::Admit(admit) = peer.next(&mut link).await else { panic!("no request") };
            let (number, limit) = (admit.number, Some(message(&rig, Some(LIMIT), 0)));
            peer.send(Body::Admitted(Admitted { number, server: SERVER.into(), limit })).await;
            response.await.unwrap();
            assert_eq!(known_rate(&rig), Some(LIMIT));
        });
    }
}

/// The gate of a limited server is not left to a node that does not keep limits, as one of an
/// earlier version.
#[test]
fn a_node_that_does_not_keep_limits_has_no_gate_of_a_limited_server() {
    rig::run(limited, |rig| async move {
        let (mut peer, mut link) = FakePeer::connect(&rig, true, LONG_INTERVAL_MS).await;
        peer.limits = false;
        peer.heartbeat().await;
        send_by_gate(&rig, &mut peer, &mut link, None).await;
        assert_eq!(known_rate(&rig), Some(LIMIT));
        let request = build_request(2);
        let response = timeout(Duration::from_millis(1_400), rig.send(&request)).await.unwrap();
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    });
}

/// The peer sends requests to the node's gate although its own is the one that nodes use: the node
/// gives the server its share, one of two.
#[test]
fn a_gate_that_others_do_not_use_gives_a_limited_server_its_share() {
    rig::run(limited, |rig| async move {
        let (mut peer, mut link) = FakePeer::connect(&rig, true, LONG_INTERVAL_MS).await;
        let start = Instant::now();
        let mut admitted = 0;
        for number in 0..30 {
            let limits = vec![message(&rig, Some(LIMIT), 0)];
            let (target, deadline) = (300, 300);
            let admit =
                Admit { pool: POOL.into(), number, target, deadline, limits, ..Admit::default() };
            peer.send(Body::Admit(admit)).await;
            let decision = loop {
                match peer.next(&mut link).await {
                    Body::Check(_) => continue,
                    decision => break decision,
                }
            };
            if matches!(decision, Body::Admitted(_)) {
                admitted += 1;
                peer.send(Body::Done(Done {
                    pool: POOL.into(),
                    number,
                    outcome: 1,
                    ..Done::default()
                }))
                .await;
            }
            sleep(SEND_INTERVAL).await;
        }
        let most = LIMIT / 2.0 * start.elapsed().as_secs_f64() + 1.0;
        assert!(f64::from(admitted) <= most, "{admitted} admitted of at most {most}");
        assert!(admitted >= 1);
    });
}

/// What cannot be read changes nothing.
#[test]
fn a_limit_that_cannot_be_read_is_ignored() {
    let odd = |request: &str| limited(request).map(|response| response.replace("2.0", "soon"));
    rig::run(odd, |rig| async move {
        whinspring_router::limits::learn(&rig.node, &[message(&rig, Some(LIMIT), 0)]);
        assert!(rig.send(&build_request(1)).await.starts_with("HTTP/1.1 "));
        assert_eq!(known_rate(&rig), Some(LIMIT));
        let malformed = ServerLimit { addr: "nowhere".into(), ..message(&rig, None, 0) };
        let silent = ServerLimit { lifted: false, ..message(&rig, None, 0) };
        let infinite = message(&rig, Some(f64::INFINITY), 0);
        let former = ServerLimit { start_ms: 99, ..message(&rig, None, 0) };
        whinspring_router::limits::learn(&rig.node, &[malformed, silent, infinite, former]);
        assert_eq!(known_rate(&rig), Some(LIMIT));
    });
}

/// The controller hears of limits and of their end in heartbeats, other nodes do not.
#[test]
fn the_controller_is_told_of_limits() {
    for term in [0, 1] {
        rig::run(limited, move |rig| async move {
            let (mut peer, mut link) = FakePeer::connect(&rig, false, LONG_INTERVAL_MS).await;
            peer.term = term;
            peer.heartbeat().await;
            assert!(rig.send(&build_request(1)).await.starts_with("HTTP/1.1 200"));
            let mut told = Vec::new();
            for _ in 0..8 {
                if let Some(beat) = peer.read_heartbeat(&mut link).await {
                    told.extend(beat.limits.into_iter().map(|limit| limit.rate));
                }
            }
            let is_told = told.contains(&Some(LIMIT));
            assert_eq!(is_told, term > 0, "{told:?}");
        });
    }
}

/// A controller learns of limits from other nodes' heartbeats.
#[test]
fn limits_in_heartbeats_are_learned() {
    rig::run(limited, |rig| async move {
        let (mut peer, _link) = FakePeer::connect(&rig, false, LONG_INTERVAL_MS).await;
        peer.limited = vec![message(&rig, Some(LIMIT), 0)];
        peer.heartbeat().await;
        assert_eq!(known_rate(&rig), Some(LIMIT));
    });
}
