//! Start, kill, restart and close of the processes of a fleet.

use {
    hyper::Method,
    std::time::Duration,
    whinspring_bench::fleet::{Fleet, KeyShape, ServerShape, ServiceShape, Shape},
    whinspring_standin::{
        caller::{Call, Caller, End},
        runs::Event,
    },
};

/// Returns a fleet of servers without daemons.
fn shape() -> Shape {
    Shape {
        deployment: "test".into(),
        daemons: 0,
        domains: 2,
        services: vec![ServiceShape::new("bundles", KeyShape::None, 2, ServerShape::default())],
        limits: Vec::new(),
        keep: None,
    }
}

#[tokio::test]
async fn killed_server_comes_back_at_its_address_with_its_run_log() {
    let mut fleet = Fleet::start(&shape()).await.unwrap();
    let addr = fleet.servers[0].addr;
    let call = Call::new(addr, Method::GET, "/bundles/a?bytes=1000")
        .header("whinspring-request-id", "r1")
        .timeout(Duration::from_secs(5));
    assert!(Caller::new().send(&call).await.is_right());
    assert!(fleet.servers[0].process.usage().unwrap().rss_kb > 0);

    fleet.servers[0].process.kill().await;
    assert_eq!(Caller::new().send(&call).await.end, End::Unreachable);
    assert!(fleet.servers[0].process.usage().is_none());
    assert!(fleet.servers[0].process.pause().is_err());

    fleet.servers[0].process.restart().await.unwrap();
    fleet.servers[0].process.wait_listening().await.unwrap();
    while Caller::new().send(&call).await.end == End::Unreachable {}
    let runs = fleet.servers[0].runs().unwrap();
    assert_eq!(runs.iter().filter(|line| line.event == Event::Start).count(), 2);
    assert_ne!(runs[0].boot, runs[2].boot);
    fleet.close().await;
}

#[tokio::test]
async fn close_ends_every_process() {
    let fleet = Fleet::start(&shape()).await.unwrap();
    let pids: Vec<_> = fleet.servers.iter().map(|server| server.process.pid()).collect();
    fleet.servers[1].process.pause().unwrap();
    fleet.close().await;
    for pid in pids {
        assert!(!std::path::Path::new(&format!("/proc/{pid}")).exists());
    }
}
