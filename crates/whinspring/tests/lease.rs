//! Both sides of a lease, step by step.

use {
    proptest::prelude::*,
    std::time::Duration,
    whinspring::{
        lease::{DRIFT, LEASE, Lease, Ledger, SOLO_LEASE, ack_quorum, lapse_quorum},
        name::Name,
        time::Tick,
    },
};

/// Version of the first record of the lessor in these tests.
const JOINED: u64 = 10;

/// Returns the point `ms` milliseconds after the start.
fn at(ms: u64) -> Tick {
    Tick::from_millis(ms)
}

/// Returns a lease that rests on these lessors since version 20.
fn lease(lessors: &[&str]) -> Lease {
    let lessors: Vec<Name> = lessors.iter().map(|name| Name::from(*name)).collect();
    let mut lease = Lease::default();
    lease.propose(at(0), &lessors);
    lease.confirm(20);
    lease
}

#[test]
fn any_acknowledging_quorum_meets_any_lapsed_one() {
    for lessors in 1..=5 {
        assert!(ack_quorum(lessors) + lapse_quorum(lessors) > lessors);
        assert!(ack_quorum(lessors) >= 1 && lapse_quorum(lessors) <= lessors);
    }
}

#[test]
fn lease_counts_from_the_sending() {
    let mut lease = lease(&["a", "b", "c"]);
    let first = lease.beat(at(1_000));
    let second = lease.beat(at(1_150));
    assert_eq!(lease.until(), Tick::default());
    lease.ack(&"a".into(), second);
    assert_eq!(lease.until(), Tick::default(), "one of three is not enough");
    lease.ack(&"b".into(), first);
    assert_eq!(lease.until(), at(1_000) + (LEASE - DRIFT));
    lease.ack(&"c".into(), second);
    assert_eq!(lease.until(), at(1_150) + (LEASE - DRIFT));
    lease.ack(&"c".into(), first);
    assert_eq!(lease.until(), at(1_150) + (LEASE - DRIFT), "late acknowledgements change nothing");
}

#[test]
fn lease_rests_on_both_sets_while_a_write_is_open() {
    let mut lease = lease(&["a", "b"]);
    let seq = lease.beat(at(1_000));
    lease.ack(&"a".into(), seq);
    lease.propose(at(1_010), &["c".into()]);
    assert_eq!(lease.until(), Tick::default(), "the write may have taken effect");
    let seq = lease.beat(at(1_100));
    lease.ack(&"c".into(), seq);
    assert_eq!(lease.until(), at(1_000) + (LEASE - DRIFT), "the write may not have taken effect");
    lease.confirm(21);
    assert_eq!(lease.until(), at(1_100) + (LEASE - DRIFT));
    lease.propose(at(1_200), &["d".into()]);
    lease.abandon();
    assert_eq!(lease.until(), at(1_100) + (LEASE - DRIFT));
}

#[test]
fn lease_without_lessors_counts_from_the_last_write() {
    let mut lease = lease(&[]);
    assert_eq!(lease.until(), at(0) + (SOLO_LEASE - DRIFT));
    lease.propose(at(1_000), &[]);
    assert_eq!(lease.until(), at(0) + (SOLO_LEASE - DRIFT), "not confirmed yet");
    lease.confirm(21);
    assert_eq!(lease.until(), at(1_000) + (SOLO_LEASE - DRIFT));
    lease.reset();
    assert_eq!(lease.until(), Tick::default());
}

#[test]
fn future_lessors_hear_of_a_later_record() {
    let mut lease = lease(&["a"]);
    lease.court(&["a".into(), "b".into()], 25);
    assert_eq!(lease.version_for(&"a".into()), 20);
    assert_eq!(lease.version_for(&"b".into()), 25);
    assert!(!lease.accepted(at(1_000)));
    let seq = lease.beat(at(1_000));
    lease.ack(&"b".into(), seq);
    assert!(lease.accepted(at(1_010)));
    assert_eq!(lease.until(), Tick::default(), "only the record makes it a lessor");
}

#[test]
fn restarted_lessor_acknowledges_only_later_records() {
    let mut ledger = Ledger::new(at(0));
    let node = Name::from("x");
    assert!(!ledger.heartbeat(at(10), &node, 1, JOINED - 1, JOINED), "may have promised before");
    assert!(ledger.heartbeat(at(20), &node, 1, JOINED + 1, JOINED));
}

#[test]
fn lessor_promises_only_after_the_lease_has_lapsed() {
    let mut ledger = Ledger::new(at(0));
    let node = Name::from("x");
    assert!(ledger.heartbeat(at(1_000), &node, 1, 20, JOINED));
    assert!(!ledger.promise(at(1_000) + LEASE, &node, 1, 20));
    let lapsed = at(1_000) + LEASE + DRIFT + Duration::from_millis(1);
    assert!(ledger.promise(lapsed, &node, 1, 20));
    assert!(!ledger.heartbeat(lapsed, &node, 1, 20, JOINED), "the promise holds");
    assert!(ledger.heartbeat(lapsed, &node, 1, 21, JOINED), "a later record proves the node alive");
}

#[test]
fn restarted_lessor_promises_only_after_a_lease_since_its_start() {
    let mut ledger = Ledger::new(at(5_000));
    let node = Name::from("x");
    assert!(
        !ledger.promise(at(5_000) + LEASE, &node, 1, 20),
        "a predecessor may have acknowledged"
    );
    assert!(ledger.promise(at(5_001) + LEASE + DRIFT, &node, 1, 20));
}

#[test]
fn later_incarnation_starts_anew() {
    let mut ledger = Ledger::new(at(0));
    let node = Name::from("x");
    assert!(ledger.heartbeat(at(1_000), &node, 1, 20, JOINED));
    assert!(ledger.promise(at(3_000), &node, 1, 20));
    assert!(ledger.heartbeat(at(3_100), &node, 2, 30, JOINED));
    assert!(!ledger.heartbeat(at(3_200), &node, 1, 20, JOINED), "the former one is over");
}

/// What happens to a node and its three lessors.
#[derive(Debug, Clone)]
enum Step {
    Pass(u64),
    Beat,
    /// A lessor hears the latest heartbeat, and the node its acknowledgement.
    Meet(usize),
    /// A lessor is asked whether the lease has lapsed.
    Ask(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1_u64..400).prop_map(Step::Pass),
        Just(Step::Beat),
        (0_usize..3).prop_map(Step::Meet),
        (0_usize..3).prop_map(Step::Ask),
    ]
}

proptest! {
    #[test]
    fn no_valid_lease_once_a_quorum_has_lapsed(steps in prop::collection::vec(step(), 1..200)) {
        let names: [Name; 3] = ["a".into(), "b".into(), "c".into()];
        let mut lease = lease(&["a", "b", "c"]);
        let mut ledgers = [0, 1, 2].map(|_| Ledger::new(at(0)));
        let mut promised = [false; 3];
        let mut now = at(0);
        let mut seq = 0;
        for step in steps {
            match step {
                Step::Pass(ms) => now = now + Duration::from_millis(ms),
                Step::Beat => seq = lease.beat(now),
                Step::Meet(lessor) => {
                    if seq > 0 && ledgers[lessor].heartbeat(now, &"x".into(), 1, 20, JOINED) {
                        lease.ack(&names[lessor], seq);
                    }
                }
                Step::Ask(lessor) => {
                    promised[lessor] |= ledgers[lessor].promise(now, &"x".into(), 1, 20);
                }
            }
            let lapsed = promised.iter().filter(|promised| **promised).count();
            if lapsed >= lapse_quorum(3) {
                prop_assert!(lease.until() <= now, "declared at {now:?}, valid until {:?}", lease.until());
            }
        }
    }
}
