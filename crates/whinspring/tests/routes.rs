//! Matching of requests to routes and services.

use {
    std::{collections::HashMap, time::Duration},
    whinspring::routes::{Limits, Route, RouteTable, Service, TrafficSplit},
};

fn route(host: &str, prefix: &str, splits: &[(&str, u32)]) -> Route {
    let split = |(service, weight): &(&str, u32)| TrafficSplit {
        service: (*service).into(),
        weight: *weight,
    };
    Route {
        name: format!("{host}{prefix}").into(),
        host: host.into(),
        prefix: prefix.into(),
        idempotent: true,
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_millis(400),
        priority: 1,
        splits: splits.iter().map(split).collect(),
        max_attempts: 2,
    }
}

fn table() -> RouteTable {
    let routes = vec![
        route("a.example", "/x/", &[("one", 1)]),
        route("a.example", "/x/y/", &[("two", 1)]),
        route("b.example", "/", &[("one", 90), ("two", 10)]),
    ];
    let services = HashMap::from([("one".into(), Service { keyed: true, ..Service::default() })]);
    RouteTable::new(7, routes, services, Limits::default())
}

fn found(host: &str, path: &str) -> Option<String> {
    table().find(host, path).map(|route| route.name.to_string())
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    assert_eq!(found("a.example", "/x/1").as_deref(), Some("a.example/x/"));
    assert_eq!(found("a.example", "/x/y/1").as_deref(), Some("a.example/x/y/"));
    assert_eq!(found("A.Example:8080", "/x/1").as_deref(), Some("a.example/x/"));
    assert_eq!(found("b.example", "/x/y/1").as_deref(), Some("b.example/"));
}

#[test]
fn other_hosts_and_paths_have_no_route() {
    assert_eq!(found("c.example", "/x/1"), None);
    assert_eq!(found("a.example", "/xy"), None);
    assert_eq!(found("a.example", "/x"), None);
}

#[test]
fn traffic_splits_follow_their_weights() {
    let table = table();
    let route = table.find("b.example", "/").unwrap();
    let points = (0..1_000).map(|point| f64::from(point) / 1_000.0);
    let picked = points.filter(|point| route.pick_service(*point).unwrap() == "two").count();
    assert_eq!(picked, 100);
}

#[test]
fn only_named_services_own_keys() {
    assert!(table().is_keyed("one"));
    assert!(!table().is_keyed("two"));
    assert!(!table().is_keyed("three"));
}
