//! Requests to a server that names how many a second it takes from all nodes.

use {
    crate::{
        pair::{Cut, Pair, run},
        rig::Rig,
    },
    std::time::{Duration, Instant},
    tokio::{task::spawn_local, time::sleep},
};

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
