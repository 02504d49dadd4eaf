//! Load generator with servers as direct targets, without a daemon.

use {
    hyper::Method,
    std::time::Duration,
    whinspring_bench::{
        driver::Request,
        fleet::{Fleet, KeyShape, ServerShape, ServiceShape, Shape},
        generator::{Load, run},
    },
};

#[tokio::test]
async fn paced_load_is_answered_and_killed_servers_count_as_lost() {
    let server = ServerShape { fenced: false, ..ServerShape::default() };
    let mut fleet = Fleet::start(&Shape {
        deployment: "test".into(),
        daemons: 0,
        domains: 1,
        services: vec![ServiceShape::new("checks", KeyShape::Header, 1, server)],
        limits: Vec::new(),
        keep: None,
    })
    .await
    .unwrap();
    let load = Load {
        entries: vec![fleet.servers[0].addr],
        workers: 4,
        rate: Some(200.0),
        warmup: Duration::ZERO,
        time: Duration::from_millis(500),
        seed: 1,
    };
    let tally = run(&load, |_| Request::new(Method::GET, "/checks/a")).await;
    assert!(tally.done > 0 && tally.done <= 104, "{}", tally.done);
    assert_eq!(tally.lost + tally.refused + tally.unknown, 0);

    fleet.servers[0].process.kill().await;
    let tally = run(&load, |_| Request::new(Method::GET, "/checks/a")).await;
    assert_eq!(tally.done, 0);
    assert!(tally.lost > 0);
    fleet.close().await;
}

#[tokio::test]
async fn latencies_of_slow_answers_are_recorded_whole() {
    let args = ["--work-ms", "50"].map(String::from).into();
    let server = ServerShape { fenced: false, args, ..ServerShape::default() };
    let fleet = Fleet::start(&Shape {
        deployment: "test".into(),
        daemons: 0,
        domains: 1,
        services: vec![ServiceShape::new("checks", KeyShape::Header, 1, server)],
        limits: Vec::new(),
        keep: None,
    })
    .await
    .unwrap();
    let load = Load {
        entries: vec![fleet.servers[0].addr],
        workers: 1,
        rate: None,
        warmup: Duration::ZERO,
        time: Duration::from_millis(200),
        seed: 1,
    };
    let tally = run(&load, |_| Request::new(Method::GET, "/checks/a")).await;
    assert!(tally.latencies.min() >= 50_000, "{}", tally.latencies.min());
    fleet.close().await;
}
