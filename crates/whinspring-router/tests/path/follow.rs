//! Which nodes of a large cluster watch the store, and how the others follow its changes.

use {
    crate::{
        links::{FakePeer, LONG_INTERVAL_MS},
        rig::{Rig, run},
    },
    std::time::Duration,
    tokio::{task::spawn_local, time::sleep},
    whinspring::rendezvous::rank,
    whinspring_router::{
        admission, follow,
        message::{Body, Item, ObjectsChanged, Snapshot},
        peers,
        platform::{Kind, Listing, Object, Position},
    },
};

/// Number of other nodes.
const OTHER_NODES: usize = 30;

/// Time after which a node has decided whether it watches.
const DECISION_TIME: Duration = Duration::from_millis(2_500);

/// Time in which a heartbeat arrives.
const DELIVERY_TIME: Duration = Duration::from_millis(100);

/// Returns names of other nodes, of which `before` rank before the node under test as watchers.
fn names(before: usize) -> Vec<String> {
    let score = |name: &str| rank(&[name], 0);
    let own = score("n1");
    let all = || (2..).map(|number| format!("n{number}"));
    let first = all().filter(|name| score(name) < own).take(before);
    let rest = all().filter(|name| score(name) > own).take(OTHER_NODES - before);
    first.chain(rest).collect()
}

/// CPU share of the node under test, in hundredths of a core.
const CPU_SHARE: u32 = 100;

/// Joins other nodes; with `cut_off`, the store responds to none of them.
async fn join(rig: &Rig, before: usize, cut_off: bool, cpu_share: u32) -> Vec<FakePeer> {
    let mut others = Vec::new();
    for name in names(before) {
        let mut other = FakePeer::join_as(rig, name).await;
        other.cut_off = cut_off;
        other.cpu_share = cpu_share;
        other.every = LONG_INTERVAL_MS;
        other.send_beat().await;
        others.push(other);
    }
    sleep(DELIVERY_TIME).await;
    others
}

fn item(name: &str, revision: u64) -> Item {
    Item { name: name.into(), revision, value: Vec::new(), gone: false, era: 0 }
}

fn servers(rig: &Rig) -> Vec<String> {
    let view = rig.node.view.borrow();
    let present = view.servers.values().filter(|server| server.missing.is_none());
    let mut names: Vec<String> = present.map(|server| server.name.to_string()).collect();
    names.sort();
    names
}

#[test]
fn few_nodes_of_a_large_cluster_watch_the_store() {
    let cases = [
        (1, false, CPU_SHARE, true),
        (2, false, CPU_SHARE, false),
        (2, true, CPU_SHARE, true),
        (0, false, CPU_SHARE * 2, false),
        (2, false, CPU_SHARE / 2, true),
    ];
    for (before, cut_off, cpu_share, watches) in cases {
        run(
            |_| None,
            move |rig| async move {
                let _others = join(&rig, before, cut_off, cpu_share).await;
                spawn_local(follow::run(rig.node.clone(), Kind::Servers));
                sleep(DECISION_TIME).await;
                let watched = rig.node.platform.watches.get() > 0;
                assert_eq!(
                    watched, watches,
                    "{before} nodes rank before it, store unreachable: {cut_off}, CPU {cpu_share}"
                );
            },
        );
    }
}

/// Load pattern: hundreds of servers leave at once, and the nodes of a large cluster hear of it over
/// the links of their watchers.
#[test]
fn a_large_cluster_stops_using_a_leaving_server_earlier() {
    const SINCE: Duration = Duration::from_millis(1_000);
    run(
        |_| None,
        |rig| async move {
            let accepts = || {
                let mut view = rig.node.view.borrow_mut();
                let server = view.servers.get_mut("s1").unwrap();
                let now = rig.node.now();
                server.leaving = Some(now);
                admission::accepts_requests(&rig.node, server, now + SINCE)
            };
            assert!(accepts(), "a few nodes watch the store themselves");
            let _others = join(&rig, 0, false, CPU_SHARE).await;
            assert!(!accepts(), "the notice may have come late");
        },
    );
}

#[test]
fn changes_are_applied_in_order_and_without_gaps() {
    run(
        |_| None,
        |rig| async move {
            let (mut other, mut link) = FakePeer::connect(&rig, true, LONG_INTERVAL_MS).await;
            let kind = Kind::Servers.number();
            let gone = Item { gone: true, ..item("s1", 12) };
            let items = vec![item("s2", 10), gone];
            other
                .send(Body::ObjectsChanged(ObjectsChanged {
                    kind,
                    base: 1,
                    synced_revision: 14,
                    items,
                    era: 0,
                }))
                .await;
            other.heartbeat().await;
            assert_eq!(servers(&rig), ["s2"]);
            let late = vec![item("s1", 9)];
            other
                .send(Body::ObjectsChanged(ObjectsChanged {
                    kind,
                    base: 1,
                    synced_revision: 13,
                    items: late,
                    era: 0,
                }))
                .await;
            other.heartbeat().await;
            assert_eq!(servers(&rig), ["s2"], "an older change was applied");
            for _ in 0..5 {
                let items = vec![item("s4", 30)];
                other
                    .send(Body::ObjectsChanged(ObjectsChanged {
                        kind,
                        base: 20,
                        synced_revision: 31,
                        items,
                        era: 0,
                    }))
                    .await;
                sleep(Duration::from_millis(300)).await;
            }
            let Body::FetchRequest(fetch) = other.next(&mut link).await else {
                panic!("expected a snapshot request")
            };
            assert_eq!(fetch.kind, kind, "the gap from 14 to 20 was not noticed");
            assert_eq!(servers(&rig), ["s2"]);
            let items = vec![item("s3", 17), item("s4", 30)];
            other
                .send(Body::Snapshot(Snapshot {
                    kind,
                    revision: 30,
                    items,
                    synced_revision: 31,
                    era: 0,
                }))
                .await;
            other.heartbeat().await;
            assert_eq!(servers(&rig), ["s3", "s4"]);
        },
    );
}

/// The store has compacted its history: a watching node lists again, and forwards the difference to
/// its failure domain.
#[test]
fn differences_of_a_new_listing_are_forwarded() {
    run(
        |_| None,
        |rig| async move {
            let mut others = join(&rig, 0, false, CPU_SHARE).await;
            spawn_local(peers::run_heartbeats(rig.node.clone()));
            spawn_local(follow::run(rig.node.clone(), Kind::Servers));
            let mut link = others[0].accept().await;
            sleep(DECISION_TIME).await;
            let server =
                Object { name: "s9".into(), position: Position::new(0, 40), value: Vec::new() };
            *rig.node.platform.listing.borrow_mut() =
                Listing { position: Position::new(0, 50), items: vec![server] };
            rig.node.platform.compacted.set(true);
            let changed = loop {
                if let Body::ObjectsChanged(changed) = others[0].next(&mut link).await
                    && changed.synced_revision == 50
                {
                    break changed;
                }
            };
            assert_eq!(changed.base, 1);
            assert_eq!(changed.items, [item("s9", 40)]);
        },
    );
}

/// A server may leave right after the store has compacted its history, so that the watch must
/// resume without delay.
#[test]
fn the_watch_resumes_at_once_after_a_new_listing() {
    run(
        |_| None,
        |rig| async move {
            spawn_local(follow::run(rig.node.clone(), Kind::Servers));
            sleep(DECISION_TIME).await;
            let before = rig.node.platform.watches.get();
            rig.node.platform.compacted.set(true);
            while rig.node.platform.compacted.get() {
                sleep(Duration::from_millis(5)).await;
            }
            sleep(Duration::from_millis(100)).await;
            let begun = rig.node.platform.watches.get() - before;
            assert_eq!(begun, 2, "expected the watch that failed and the next one");
        },
    );
}
