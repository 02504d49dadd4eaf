//! Requests to a server that is cold.

use {
    crate::{
        links::{FakePeer, LONG_INTERVAL_MS},
        rig::{self, COLD_OVERRUN, COLD_RATE, COLD_SLACK, Rig},
    },
    std::time::{Duration, Instant},
    tokio::{
        task::spawn_local,
        time::{sleep, timeout},
    },
    whinspring::name::Name,
    whinspring_router::{
        message::{Admitted, Body},
        platform::{Object, Position},
    },
};

const SERVER: &str = "s1";

/// Time between two requests, of which there are far more than a cold server tolerates.
const SEND_INTERVAL: Duration = Duration::from_millis(25);

fn build_request(number: usize) -> String {
    format!(
        "GET /once/{number} HTTP/1.1\r\nhost: a.example\r\nx-key: 7\r\nx-id: i{number}\r\nx-deadline: 1500\r\n\r\n"
    )
}

/// Responds to each request without a word on the warm-up.
fn respond(request: &str) -> Option<String> {
    let line = request.lines().find(|line| line.starts_with("x-id: "));
    let id = line.map_or("", |line| &line[6..]);
    Some(format!("HTTP/1.1 200 OK\r\nx-seal: s\r\nx-id: {id}\r\ncontent-length: 2\r\n\r\nok"))
}

/// Says in each response that the server remains cold for two seconds.
fn respond_cold(request: &str) -> Option<String> {
    respond(request).map(|text| text.replace("x-seal", "x-cold: 2000\r\nx-seal"))
}

/// Says in each response that the server is warm.
fn respond_warm(request: &str) -> Option<String> {
    respond(request).map(|text| text.replace("x-seal", "x-cold: 0\r\nx-seal"))
}

/// Returns the time for which the server remains cold, in milliseconds.
fn left_ms(rig: &Rig) -> u64 {
    let view = rig.node.view.borrow();
    view.servers[SERVER].warm_at.since(rig.node.now()).as_millis() as u64
}

/// Sends requests for some time. Returns the most that the server got in a second, and all.
async fn send_for(rig: &Rig, time: Duration) -> (usize, usize) {
    let (start, before) = (Instant::now(), rig.seen.borrow().len());
    let mut samples = Vec::new();
    while start.elapsed() < time {
        let (caller, request) = (rig.clone(), build_request(samples.len()));
        spawn_local(async move { caller.send(&request).await });
        sleep(SEND_INTERVAL).await;
        samples.push((Instant::now(), rig.seen.borrow().len() - before));
    }
    let after = |(from, count): &(Instant, usize)| {
        let second =
            samples.iter().filter(|(at, _)| at >= from && *at - *from <= Duration::from_secs(1));
        second.map(|(_, later)| later - count).max().unwrap_or(0)
    };
    (samples.iter().map(after).max().unwrap_or(0), rig.seen.borrow().len() - before)
}

/// Guards against a gate that gives a cold server what it would give a warm one, and against one that
/// holds requests back once the server is warm.
#[test]
fn a_cold_server_gets_no_more_than_it_tolerates() {
    for keyed in [false, true] {
        rig::run(respond, move |rig| async move {
            if keyed {
                rig.set_keyed();
            }
            rig.set_cold_rate(keyed);
            rig.set_cold(2, 60_000);
            let (most, all) = send_for(&rig, Duration::from_millis(2_500)).await;
            let bound = COLD_RATE * COLD_OVERRUN + COLD_SLACK;
            assert!(most as f64 <= bound, "{most} in a second");
            assert!(all as f64 >= COLD_RATE * 2.0, "{all} in 2.5 seconds");
            rig.set_cold(3, 0);
            sleep(Duration::from_millis(200)).await;
            let (most, _) = send_for(&rig, Duration::from_millis(1_200)).await;
            assert!(most as f64 > bound, "{most} in a second");
        });
    }
}

/// A deployment whose configuration names no rate for cold servers, or whose settings name no bound,
/// is as it was.
#[test]
fn a_cold_server_without_a_rate_is_not_limited() {
    rig::run(respond, |rig| async move {
        rig.set_cold(2, 60_000);
        let (most, _) = send_for(&rig, Duration::from_millis(1_200)).await;
        assert!(most as f64 > COLD_RATE * COLD_OVERRUN + COLD_SLACK, "{most} in a second");
    });
}

/// Guards against a server whose warm-up is read once, at its start.
#[test]
fn a_warm_server_that_becomes_cold_again_is_cold() {
    rig::run(respond, |rig| async move {
        assert_eq!(left_ms(&rig), 0);
        rig.set_cold(2, 9_000);
        assert!((8_000..=9_000).contains(&left_ms(&rig)));
        rig.set_cold(3, 0);
        assert_eq!(left_ms(&rig), 0);
        rig.set_cold(4, 3_000);
        assert!((2_000..=3_000).contains(&left_ms(&rig)));
    });
}

#[test]
fn a_response_says_how_long_its_server_remains_cold() {
    rig::run(respond_cold, |rig| async move {
        assert!(rig.send(&build_request(1)).await.starts_with("HTTP/1.1 200"));
        assert!((1_000..=2_000).contains(&left_ms(&rig)), "{}", left_ms(&rig));
    });
    rig::run(respond_warm, |rig| async move {
        rig.set_cold(2, 9_000);
        sleep(Duration::from_millis(20)).await;
        assert!(rig.send(&build_request(1)).await.starts_with("HTTP/1.1 200"));
        assert_eq!(left_ms(&rig), 0);
    });
}

/// Guards against a late response to another request, or a value that is no time, that ends a warm-up.
#[test]
fn what_may_be_older_or_cannot_be_read_ends_no_warm_up() {
    let late = |request: &str| respond_warm(request).map(|text| text.replace("x-id: i", "x-id: z"));
    let odd =
        |request: &str| respond(request).map(|text| text.replace("x-seal", "x-cold: -1\r\nx-seal"));
    for script in [late, odd] as [rig::Script; 2] {
        rig::run(script, |rig| async move {
            rig.set_cold(2, 9_000);
            rig.send(&build_request(1)).await;
            assert!(left_ms(&rig) > 5_000, "{}", left_ms(&rig));
        });
    }
}

/// The gate of a cold server is not left to a node that does not keep its limit, as one of an earlier
/// version; a warm one's is.
#[test]
fn a_node_that_does_not_keep_cold_limits_has_no_gate_of_a_cold_server() {
    rig::run(respond, |rig| async move {
        rig.set_cold_rate(false);
        let (mut peer, mut link) = FakePeer::connect(&rig, true, LONG_INTERVAL_MS).await;
        peer.cold = false;
        peer.heartbeat().await;
        let caller = rig.clone();
        let response = spawn_local(async move { caller.send(&build_request(1)).await });
        let Body::Admit(admit) = peer.next(&mut link).await else { panic!("no request") };
        let admitted = Admitted { number: admit.number, server: SERVER.into(), limit: None };
        peer.send(Body::Admitted(admitted)).await;
        assert!(response.await.unwrap().starts_with("HTTP/1.1 200"));
        rig.set_cold(2, 60_000);
        let request = build_request(2);
        let response = timeout(Duration::from_millis(1_400), rig.send(&request)).await.unwrap();
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    });
}

/// Another start time under the same name is another instance, which is cold or not as its own entry
/// says.
#[test]
fn the_warm_up_of_an_instance_is_its_own() {
    rig::run(respond, |rig| async move {
        rig.set_cold(2, 9_000);
        let (name, position) = (Name::from("s2"), Position::new(0, 3));
        let entry = Object { name, position, value: b"0".to_vec() };
        let changes =
            whinspring_router::platform::Changes { position, events: vec![(entry, false)] };
        let mut view = rig.node.view.borrow_mut();
        let kind = whinspring_router::platform::Kind::Servers;
        view.apply_changes(kind, changes, &rig.node.platform, rig.node.clock);
        assert!(view.servers["s1"].warm_at > view.servers["s2"].warm_at);
    });
}
