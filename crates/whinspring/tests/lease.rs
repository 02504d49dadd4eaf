//! Tests of both sides of a lease: lessee and lessor.

use {
    proptest::prelude::*,
    std::time::Duration,
    whinspring::{
        lease::{DRIFT, LEASE, Lease, LeaseTable, RECORD_LEASE, ack_quorum, lapse_quorum},
        name::Name,
        time::Tick,
    },
};

/// Version of the first record of the lessor in these tests.
const JOINED: u64 = 10;

fn at(ms: u64) -> Tick {
    Tick::from_millis(ms)
}

/// Returns a lease whose record of version 20 names these lessors.
fn confirmed_lease(lessors: &[&str]) -> Lease {
    let lessors: Vec<Name> = lessors.iter().map(|name| Name::from(*name)).collect();
    let mut lease = Lease::default();
    lease.begin_write(at(0), &lessors);
    lease.complete_write(20);
    lease
}

#[test]
fn ack_and_lapse_quorums_intersect() {
    for lessors in 1..=5 {
        assert!(ack_quorum(lessors) + lapse_quorum(lessors) > lessors);
        assert!(ack_quorum(lessors) >= 1 && lapse_quorum(lessors) <= lessors);
    }
}

#[test]
fn lease_counts_from_the_send_time() {
    let mut lease = confirmed_lease(&["a", "b", "c"]);
    let first = lease.record_heartbeat(at(1_000));
    let second = lease.record_heartbeat(at(1_150));
    assert_eq!(lease.expiry(), Tick::default());
    lease.record_ack(&"a".into(), second);
    assert_eq!(lease.expiry(), Tick::default(), "one of three is not enough");
    lease.record_ack(&"b".into(), first);
    assert_eq!(lease.expiry(), at(1_000) + (LEASE - DRIFT));
    lease.record_ack(&"c".into(), second);
    assert_eq!(lease.expiry(), at(1_150) + (LEASE - DRIFT));
    lease.record_ack(&"c".into(), first);
    assert_eq!(lease.expiry(), at(1_150) + (LEASE - DRIFT), "late acknowledgements change nothing");
}

#[test]
fn lease_requires_both_quorums_during_a_write() {
    let mut lease = confirmed_lease(&["a", "b"]);
    let seq = lease.record_heartbeat(at(1_000));
    lease.record_ack(&"a".into(), seq);
    lease.begin_write(at(1_010), &["c".into()]);
    assert_eq!(lease.expiry(), Tick::default(), "the write may have taken effect");
    let seq = lease.record_heartbeat(at(1_100));
    lease.record_ack(&"c".into(), seq);
    assert_eq!(lease.expiry(), at(1_000) + (LEASE - DRIFT), "the write may not have taken effect");
    lease.complete_write(21);
    assert_eq!(lease.expiry(), at(1_100) + (LEASE - DRIFT));
    lease.begin_write(at(1_200), &["d".into()]);
    lease.abort_write();
    assert_eq!(lease.expiry(), at(1_100) + (LEASE - DRIFT));
}

#[test]
fn lease_without_lessors_counts_from_the_last_write() {
    let mut lease = confirmed_lease(&[]);
    assert_eq!(lease.expiry(), at(0) + (RECORD_LEASE - DRIFT));
    lease.begin_write(at(1_000), &[]);
    assert_eq!(lease.expiry(), at(0) + (RECORD_LEASE - DRIFT), "not confirmed yet");
    lease.complete_write(21);
    assert_eq!(lease.expiry(), at(1_000) + (RECORD_LEASE - DRIFT));
    lease.reset();
    assert_eq!(lease.expiry(), Tick::default());
}

#[test]
fn candidate_lessors_get_a_later_record_version() {
    let mut lease = confirmed_lease(&["a"]);
    lease.set_candidates(&["a".into(), "b".into()], 25);
    assert_eq!(lease.heartbeat_version(&"a".into()), 20);
    assert_eq!(lease.heartbeat_version(&"b".into()), 25);
    assert!(!lease.candidates_accepted(at(1_000)));
    let seq = lease.record_heartbeat(at(1_000));
    lease.record_ack(&"b".into(), seq);
    assert!(lease.candidates_accepted(at(1_010)));
    assert_eq!(
        lease.expiry(),
        Tick::default(),
        "a candidate is no lessor before the record names it"
    );
}

#[test]
fn restarted_lessor_acknowledges_only_later_records() {
    let mut table = LeaseTable::new(at(0));
    let node = Name::from("x");
    assert!(
        !table.accept_heartbeat(at(10), &node, 1, JOINED - 1, JOINED),
        "may have promised before"
    );
    assert!(table.accept_heartbeat(at(20), &node, 1, JOINED + 1, JOINED));
}

#[test]
fn lessor_promises_only_after_the_lease_has_lapsed() {
    let mut table = LeaseTable::new(at(0));
    let node = Name::from("x");
    assert!(table.accept_heartbeat(at(1_000), &node, 1, 20, JOINED));
    assert!(!table.promise(at(1_000) + LEASE, &node, 1, 20));
    let lapsed = at(1_000) + LEASE + DRIFT + Duration::from_millis(1);
    assert!(table.promise(lapsed, &node, 1, 20));
    assert!(!table.accept_heartbeat(lapsed, &node, 1, 20, JOINED), "the promise holds");
    assert!(
        table.accept_heartbeat(lapsed, &node, 1, 21, JOINED),
        "a later record proves the node alive"
    );
}

#[test]
fn restarted_lessor_promises_only_after_a_lease_since_its_start() {
    let mut table = LeaseTable::new(at(5_000));
    let node = Name::from("x");
    assert!(!table.promise(at(5_000) + LEASE, &node, 1, 20), "a predecessor may have acknowledged");
    assert!(table.promise(at(5_001) + LEASE + DRIFT, &node, 1, 20));
}

#[test]
fn later_incarnation_replaces_the_entry() {
    let mut table = LeaseTable::new(at(0));
    let node = Name::from("x");
    assert!(table.accept_heartbeat(at(1_000), &node, 1, 20, JOINED));
    assert!(table.promise(at(3_000), &node, 1, 20));
    assert!(table.accept_heartbeat(at(3_100), &node, 2, 30, JOINED));
    assert!(
        !table.accept_heartbeat(at(3_200), &node, 1, 20, JOINED),
        "the former incarnation is replaced"
    );
}

/// A step of a random run with one node and its three lessors.
#[derive(Debug, Clone)]
enum Step {
    Advance(u64),
    SendHeartbeat,
    /// The latest heartbeat reaches a lessor, and the acknowledgement reaches the node.
    Deliver(usize),
    /// A lessor is queried whether the lease has lapsed.
    QueryLapse(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1_u64..400).prop_map(Step::Advance),
        Just(Step::SendHeartbeat),
        (0_usize..3).prop_map(Step::Deliver),
        (0_usize..3).prop_map(Step::QueryLapse),
    ]
}

proptest! {
    #[test]
    fn no_valid_lease_once_a_quorum_has_lapsed(steps in prop::collection::vec(step(), 1..200)) {
        let names: [Name; 3] = ["a".into(), "b".into(), "c".into()];
        let mut lease = confirmed_lease(&["a", "b", "c"]);
        let mut tables = [0, 1, 2].map(|_| LeaseTable::new(at(0)));
        let mut promised = [false; 3];
        let mut now = at(0);
        let mut seq = 0;
        for step in steps {
            match step {
                Step::Advance(ms) => now = now + Duration::from_millis(ms),
                Step::SendHeartbeat => seq = lease.record_heartbeat(now),
                Step::Deliver(lessor) => {
                    if seq > 0 && tables[lessor].accept_heartbeat(now, &"x".into(), 1, 20, JOINED) {
                        lease.record_ack(&names[lessor], seq);
                    }
                }
                Step::QueryLapse(lessor) => {
                    promised[lessor] |= tables[lessor].promise(now, &"x".into(), 1, 20);
                }
            }
            let lapsed = promised.iter().filter(|promised| **promised).count();
            if lapsed >= lapse_quorum(3) {
                prop_assert!(
                    lease.expiry() <= now,
                    "declared lost at {now:?}, lease valid until {:?}",
                    lease.expiry(),
                );
            }
        }
    }
}
