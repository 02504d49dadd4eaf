//! Who watches the store among many nodes, and how the others follow.

use {
    crate::{
        links::{Other, RARE},
        rig::{Rig, run},
    },
    std::time::Duration,
    tokio::{task::spawn_local, time::sleep},
    whinspring::rendezvous::rank,
    whinspring_router::{
        follow,
        message::{Body, Changed, Item, Snapshot},
        peers,
        platform::{Kind, Listing, Object},
    },
};

/// Other nodes.
const OTHERS: usize = 30;

/// Time in which a node decides whether it watches.
const SETTLED: Duration = Duration::from_millis(2_500);

/// Time in which a beat is heard.
const HEARD: Duration = Duration::from_millis(100);

/// Returns names of which so many come before the node under test among those that may watch.
fn names(before: usize) -> Vec<String> {
    let score = |name: &str| rank(&[name], 0);
    let own = score("n1");
    let all = || (2..).map(|number| format!("n{number}"));
    let first = all().filter(|name| score(name) < own).take(before);
    let rest = all().filter(|name| score(name) > own).take(OTHERS - before);
    first.chain(rest).collect()
}

/// Joins other nodes, none of which the store serves if `cut_off`.
async fn join(rig: &Rig, before: usize, cut_off: bool) -> Vec<Other> {
    let mut others = Vec::new();
    for name in names(before) {
        let mut other = Other::join_as(rig, name).await;
        other.cut_off = cut_off;
        other.every = RARE;
        other.send_beat().await;
        others.push(other);
    }
    sleep(HEARD).await;
    others
}

fn item(name: &str, revision: u64) -> Item {
    Item { name: name.into(), revision, value: Vec::new(), gone: false }
}

fn servers(rig: &Rig) -> Vec<String> {
    let beliefs = rig.node.beliefs.borrow();
    let present = beliefs.servers.values().filter(|server| server.missing.is_none());
    let mut names: Vec<String> = present.map(|server| server.name.to_string()).collect();
    names.sort();
    names
}

#[test]
fn few_of_many_nodes_watch_the_store() {
    for (before, cut_off, watches) in [(1, false, true), (2, false, false), (2, true, true)] {
        run(
            |_| None,
            move |rig| async move {
                let _others = join(&rig, before, cut_off).await;
                spawn_local(follow::follow(rig.node.clone(), Kind::Servers));
                sleep(SETTLED).await;
                let watched = rig.node.platform.watches.get() > 0;
                assert_eq!(watched, watches, "{before} before it, cut off {cut_off}");
            },
        );
    }
}

#[test]
fn changes_are_taken_over_in_order_and_without_gaps() {
    run(
        |_| None,
        |rig| async move {
            let (mut other, mut link) = Other::meet(&rig, true, RARE).await;
            let kind = Kind::Servers.number();
            let gone = Item { gone: true, ..item("s1", 12) };
            let items = vec![item("s2", 10), gone];
            other.send(Body::Changed(Changed { kind, base: 1, upto: 14, items })).await;
            other.beat().await;
            assert_eq!(servers(&rig), ["s2"]);
            let late = vec![item("s1", 9)];
            other.send(Body::Changed(Changed { kind, base: 1, upto: 13, items: late })).await;
            other.beat().await;
            assert_eq!(servers(&rig), ["s2"], "what is known already is left out");
            for _ in 0..5 {
                let items = vec![item("s4", 30)];
                other.send(Body::Changed(Changed { kind, base: 20, upto: 31, items })).await;
                sleep(Duration::from_millis(300)).await;
            }
            let Body::Fetch(fetch) = other.next(&mut link).await else { panic!("no question") };
            assert_eq!(fetch.kind, kind, "something is missing between 14 and 20");
            assert_eq!(servers(&rig), ["s2"]);
            let items = vec![item("s3", 17), item("s4", 30)];
            other.send(Body::Snapshot(Snapshot { kind, revision: 30, items, upto: 31 })).await;
            other.beat().await;
            assert_eq!(servers(&rig), ["s3", "s4"]);
        },
    );
}

/// The store forgets its history: a node that watches lists anew, and tells its domain what that
/// shows.
#[test]
fn what_a_new_listing_shows_is_passed_on() {
    run(
        |_| None,
        |rig| async move {
            let mut others = join(&rig, 0, false).await;
            spawn_local(peers::beat(rig.node.clone()));
            spawn_local(follow::follow(rig.node.clone(), Kind::Servers));
            let mut link = others[0].accept().await;
            sleep(SETTLED).await;
            let server = Object { name: "s9".into(), revision: 40, value: Vec::new() };
            *rig.node.platform.listing.borrow_mut() = Listing { revision: 50, items: vec![server] };
            rig.node.platform.forgets.set(true);
            let changed = loop {
                if let Body::Changed(changed) = others[0].next(&mut link).await
                    && changed.upto == 50
                {
                    break changed;
                }
            };
            assert_eq!(changed.base, 1);
            assert_eq!(changed.items, [item("s9", 40)]);
        },
    );
}

/// A server may leave right after the store has forgotten its history: the watch goes on at once.
#[test]
fn a_new_listing_is_watched_from_at_once() {
    run(
        |_| None,
        |rig| async move {
            spawn_local(follow::follow(rig.node.clone(), Kind::Servers));
            sleep(SETTLED).await;
            let before = rig.node.platform.watches.get();
            rig.node.platform.forgets.set(true);
            while rig.node.platform.forgets.get() {
                sleep(Duration::from_millis(5)).await;
            }
            sleep(Duration::from_millis(100)).await;
            let begun = rig.node.platform.watches.get() - before;
            assert_eq!(begun, 2, "the one that failed, and the next");
        },
    );
}
