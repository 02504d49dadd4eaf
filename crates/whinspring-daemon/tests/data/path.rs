//! The way of a request: entry, holder, server and back.

use {
    crate::rig::{Daemon, Placed, daemon, publish, server},
    hyper::Method,
    std::{net::SocketAddr, time::Duration},
    whinspring_standin::{
        caller::{Call, Caller, Class, End, Payload},
        http::Running,
        server::Options,
    },
};

/// Bytes of a large body: many credit windows.
const LARGE: u64 = 8 << 20;

/// Two nodes: `a` is the entry, `b` holds the servers.
pub struct Pair {
    /// The entry.
    pub a: Daemon,
    /// The holder.
    pub b: Daemon,
    /// Server of the keyed service.
    pub checks: Running,
    /// Address of the entry for callers.
    pub a_callers: SocketAddr,
    /// Server of the unkeyed service.
    _bundles: Running,
}

/// Starts two nodes and a server of each service, held by `holder`.
pub async fn pair(holder: &str, checks: Options) -> Pair {
    let (a, b) = (daemon("a").await, daemon("b").await);
    let checks = server(checks).await;
    let bundles = server(Options::default()).await;
    let placed = |running: &Running| Placed { addr: running.addr, holder: holder.into() };
    publish(&[&a, &b], &[placed(&checks)], &[placed(&bundles)]).await;
    Pair { a_callers: a.callers_addr, a, b, checks, _bundles: bundles }
}

/// A server that checks fences.
pub fn fenced() -> Options {
    Options { fenced: true, ..Options::default() }
}

/// A lookup of `key`.
pub fn lookup(daemon: &Daemon, key: &str) -> Call {
    Call::new(daemon.callers_addr, Method::GET, "/checks/lookup").header("x-key", key)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn keyed_requests_pass_locally_and_over_a_link() {
    for holder in ["a", "b"] {
        let pair = pair(holder, fenced()).await;
        let caller = Caller::new();
        for number in 0..50 {
            let reply = caller.send(&lookup(&pair.a, &format!("key-{number}"))).await;
            assert!(reply.is_right(), "held by {holder}: {reply:?}");
            assert_eq!((reply.code, reply.class), (Some(100), Some(Class::Done)));
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_answers_are_never_crossed() {
    let pair = pair("b", Options { work: Duration::from_millis(2), ..fenced() }).await;
    let caller = Caller::new();
    let mut tasks = tokio::task::JoinSet::new();
    for number in 0..200 {
        let body = Payload::Whole(format!("body of {number}").into());
        let path = format!("/checks/lodge/{number}");
        let call = Call::new(pair.a.callers_addr, Method::POST, path)
            .header("x-key", &format!("key-{number}"))
            .header("whinspring-request-id", &format!("id-{number}"))
            .header("whinspring-attempt", "1")
            .payload(body);
        let caller = caller.clone();
        tasks.spawn(async move { caller.send(&call).await });
    }
    for reply in tasks.join_all().await {
        assert!(reply.is_right(), "{reply:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn large_bodies_stream_both_ways() {
    for holder in ["a", "b"] {
        let pair = pair(holder, fenced()).await;
        let caller = Caller::new();
        let down = Call::new(pair.a.callers_addr, Method::GET, format!("/bundles/x?bytes={LARGE}"));
        let reply = caller.send(&down).await;
        assert!(reply.is_right(), "held by {holder}: {reply:?}");
        let up = Call::new(pair.a.callers_addr, Method::PUT, "/bundles/x")
            .header("whinspring-repeatable", "yes")
            .payload(Payload::Pattern(LARGE));
        let reply = caller.send(&up).await;
        assert!(reply.is_right(), "held by {holder}: {reply:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn resent_unrepeatable_request_gets_the_recorded_answer() {
    let pair = pair("b", fenced()).await;
    let caller = Caller::new();
    let lodge = |daemon: &Daemon, attempt: &str| {
        Call::new(daemon.callers_addr, Method::POST, "/checks/lodge")
            .header("x-key", "k")
            .header("whinspring-request-id", "only-once")
            .header("whinspring-attempt", attempt)
    };
    let first = caller.send(&lodge(&pair.a, "1")).await;
    let second = caller.send(&lodge(&pair.b, "2")).await;
    assert_eq!((first.code, second.code), (Some(100), Some(101)), "{first:?} {second:?}");
    assert!(first.is_right() && second.is_right());
    assert_eq!(first.echo, second.echo);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn lost_server_is_told_at_once() {
    let pair = pair("b", Options { work: Duration::from_secs(30), ..fenced() }).await;
    let caller = Caller::new();
    let call = Call::new(pair.a.callers_addr, Method::POST, "/checks/lodge")
        .header("x-key", "k")
        .header("whinspring-request-id", "lost")
        .header("whinspring-attempt", "1");
    let waiting = tokio::spawn(async move { caller.send(&call).await });
    while pair.b.shared.all_held().iter().all(|held| held.load().0 == 0) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    pair.checks.close().await;
    let reply = waiting.await.expect("the caller ends");
    assert_eq!((reply.end, reply.code), (End::Whole, Some(600)), "{reply:?}");
    assert_eq!(reply.class, Some(Class::Unknown));
}
