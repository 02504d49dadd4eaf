//! Which nodes of a large cluster watch the store, and how the others follow its changes.

use {
    crate::{
        links::{FakePeer, LONG_INTERVAL_MS},
        rig::{Rig, run, run_with},
    },
    std::time::Duration,
    tokio::{task::spawn_local, time::sleep},
    whinspring::{
        name::Name,
        notices::{Purpose, Source},
        rendezvous::rank,
    },
    whinspring_router::{
        control, follow,
        message::{Body, Item, ObjectsChanged, Snapshot},
        notices, peers,
        platform::{Changes, Kind, Listing, Object, Position},
        settings::Limits,
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
                let server = Name::from("s1");
                let life = view.servers[&server].life();
                let now = rig.node.now();
                view.notices.record_leaving(&server, life, now, Source::Store);
                drop(view);
                notices::check(&rig.node, &server, Purpose::Start, now + SINCE).is_ok()
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
                    notices: Vec::new(),
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
                    notices: Vec::new(),
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
                        notices: Vec::new(),
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
                    notices: Vec::new(),
                    ..Snapshot::default()
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

/// Load pattern: operators write a large configuration several times within a batch.
#[test]
fn only_the_last_change_of_each_object_is_kept() {
    let object = |name: &str, revision| Object {
        name: name.into(),
        position: Position::new(0, revision),
        value: Vec::new(),
    };
    let events = vec![
        (object("main", 4), false),
        (object("s1", 5), false),
        (object("main", 6), false),
        (object("s1", 7), true),
        (object("main", 8), false),
    ];
    let latest = Changes { position: Position::new(0, 9), events }.latest();
    assert_eq!(latest.position, Position::new(0, 9));
    assert_eq!(latest.events, [(object("s1", 7), true), (object("main", 8), false)]);
}

/// Longest time after the store's return in which a change must be in force.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// The store is silent and loses its history meanwhile: a watch that begins in the silence gets no
/// answer, not even after it.
#[test]
fn a_watch_after_a_failed_call_is_short() {
    run(
        |_| None,
        |rig| async move {
            spawn_local(follow::run(rig.node.clone(), Kind::Routes));
            let wait = || rig.node.platform.wait.get();
            while rig.node.platform.watches.get() < 1 {
                sleep(Duration::from_millis(5)).await;
            }
            assert!(wait() > APPLY_TIME, "the store responds: one call for a long time");
            while rig.node.platform.watches.get() < 2 {
                sleep(Duration::from_millis(5)).await;
            }
            assert!(wait() < APPLY_TIME / 4, "a watch of {:?} in the silence", wait());
        },
    );
}

/// In a large cluster only the watchers ask the store again and again.
#[test]
fn nodes_that_rely_on_watchers_do_not_ask_a_silent_store_often() {
    run(
        |_| None,
        |rig| async move {
            let _others = join(&rig, 2, true, CPU_SHARE).await;
            spawn_local(follow::run(rig.node.clone(), Kind::Routes));
            sleep(DECISION_TIME).await;
            assert!(rig.node.platform.watches.get() > 1);
            assert!(rig.node.platform.wait.get() > APPLY_TIME);
        },
    );
}

/// A watch that began before the silence is cut in it and hears nothing of that. The controller
/// calls the store often, so that it learns of the silence and of its end.
#[test]
fn a_watch_from_before_an_outage_is_replaced_once_the_controller_has_the_store_again() {
    run(
        |_| None,
        |rig| async move {
            rig.node.platform.silent.set(true);
            spawn_local(follow::run(rig.node.clone(), Kind::Routes));
            let (mut leader, _link) = FakePeer::connect(&rig, true, 250).await;
            leader.term = 1;
            sleep(DECISION_TIME).await;
            let watches = || rig.node.platform.watches.get();
            for age in [0, 800, 1_600, 0, 1_600, 100] {
                leader.store_age = age;
                leader.heartbeat().await;
            }
            assert_eq!(watches(), 1, "the store responds to the controller all the while");
            for age in [1_500, 2_600, 5_000] {
                leader.store_age = age;
                leader.heartbeat().await;
            }
            assert_eq!(watches(), 1, "the store is still silent");
            leader.store_age = 50;
            leader.heartbeat().await;
            assert_eq!(watches(), 2);
            assert!(rig.node.platform.wait.get() < APPLY_TIME / 4);
            leader.heartbeat().await;
            assert_eq!(watches(), 2, "once for each outage");
        },
    );
}

/// Longest time after another node has applied a change until a watch that hangs is replaced.
const REPLACE_TIME: Duration = Duration::from_millis(700);

/// The store is silent for a second, in which the watch begins; the controller goes without it for so
/// short that its heartbeats show no outage. They show changes that the watch does not bring.
#[test]
fn a_watch_that_hangs_is_replaced_once_another_node_is_ahead() {
    run(
        |_| None,
        |rig| async move {
            rig.node.platform.silent.set(true);
            spawn_local(follow::run(rig.node.clone(), Kind::Servers));
            let (mut leader, _link) = FakePeer::connect(&rig, true, 250).await;
            leader.term = 1;
            sleep(DECISION_TIME * 2).await;
            let watches = || rig.node.platform.watches.get();
            leader.heartbeat().await;
            assert_eq!(watches(), 1, "no other node is ahead");
            leader.servers = 5;
            let start = rig.node.now();
            while rig.node.now().since(start) < REPLACE_TIME {
                leader.heartbeat().await;
            }
            assert_eq!(watches(), 2, "the watch hangs on");
            assert!(rig.node.platform.wait.get() < APPLY_TIME / 4);
            for _ in 0..10 {
                leader.heartbeat().await;
            }
            assert_eq!(watches(), 2, "a watch that has just begun gets time for its response");
        },
    );
}

/// Time after the end of a silence of the store from which notices must be heard.
const STABLE_TIME: Duration = Duration::from_secs(3);

/// Time that a call of the store may take beyond its wait.
const CALL_MARGIN: Duration = Duration::from_millis(1_500);

/// The store is silent for less than half a second, and the watches of all nodes begin in it: none of
/// them gets a response, and no node is ahead of the others.
#[test]
fn a_silence_that_no_call_shows_ends_the_controllers_watch_in_time() {
    run(
        |_| None,
        |rig| async move {
            let platform = &rig.node.platform;
            platform.calm.set(true);
            spawn_local(follow::run(rig.node.clone(), Kind::Servers));
            while platform.watches.get() < 1 {
                sleep(Duration::from_millis(5)).await;
            }
            assert!(platform.wait.get() > STABLE_TIME, "a node calls the store rarely");
            spawn_local(control::run(rig.node.clone()));
            while !rig.node.control.borrow().is_leader() {
                sleep(Duration::from_millis(5)).await;
            }
            sleep(APPLY_TIME).await;
            assert!(platform.wait.get() + CALL_MARGIN < STABLE_TIME, "{:?}", platform.wait.get());
        },
    );
}

/// Time after its return within which a store is found again by a node that is alone.
const FIND_TIME: Duration = Duration::from_millis(1_200);

/// Guards against nodes that never call the store again: it fell silent before they had a controller, and
/// their watches began in the silence.
#[test]
fn a_node_without_a_controller_finds_out_that_the_store_is_back() {
    run(
        |_| None,
        |rig| async move {
            let platform = &rig.node.platform;
            rig.node.set_store_reachable(true);
            rig.node.set_store_reachable(false);
            spawn_local(control::run(rig.node.clone()));
            sleep(DECISION_TIME).await;
            assert!((2..=6).contains(&platform.reads.get()), "{} calls", platform.reads.get());
            assert!(!rig.node.control.borrow().is_leader());
            platform.calm.set(true);
            sleep(FIND_TIME).await;
            assert!(!rig.node.store_lost.get());
            assert!(rig.node.control.borrow().is_leader());
        },
    );
}

/// Load pattern: an outage of the store, in which each call of each node costs time and money. The
/// controller calls it for all.
#[test]
fn a_node_that_hears_the_controller_leaves_it_to_call_a_store_that_is_lost() {
    run(
        |_| None,
        |rig| async move {
            let (mut leader, _link) = FakePeer::connect(&rig, true, 250).await;
            leader.term = 1;
            leader.heartbeat().await;
            rig.node.set_store_reachable(false);
            spawn_local(control::run(rig.node.clone()));
            let start = rig.node.now();
            while rig.node.now().since(start) < DECISION_TIME {
                leader.store_age = rig.node.now().since(start).as_millis() as u32;
                leader.heartbeat().await;
            }
            assert_eq!(rig.node.platform.reads.get(), 0);
        },
    );
}

/// Nodes of an earlier version watch no evacuations, so that a node which relied on them would hear of
/// none.
#[test]
fn a_node_relies_only_on_others_that_follow_the_evacuations() {
    for (revision, watches) in [(0, true), (1, false)] {
        run_with(
            Limits { evacuate_ms: Some(5_000), ..Limits::default() },
            |_| None,
            move |rig| async move {
                for other in &mut join(&rig, 2, false, CPU_SHARE).await {
                    other.evacuations = revision;
                    other.send_beat().await;
                }
                sleep(DELIVERY_TIME).await;
                spawn_local(follow::run(rig.node.clone(), Kind::Evacuations));
                sleep(DECISION_TIME).await;
                assert_eq!(rig.node.platform.watches.get() > 0, watches, "{revision}");
            },
        );
    }
}
