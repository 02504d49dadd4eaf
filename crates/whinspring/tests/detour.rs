//! Servers that a node does not reach itself.

use {
    std::time::Duration,
    whinspring::{detour::Detours, name::Name, time::Tick},
};

fn at(ms: u64) -> Tick {
    Tick::default() + Duration::from_millis(ms)
}

#[test]
fn a_server_whose_connection_did_not_open_is_detoured_until_one_opens() {
    let server = Name::from("s1");
    let mut detours = Detours::default();
    assert!(!detours.is_detoured(&server, at(0)));
    detours.record_failure(&server, at(0));
    assert!(detours.is_detoured(&server, at(999)));
    assert!(!detours.is_detoured(&server, at(1_000)), "a failure counts for a second");
    detours.record_relayed(&server, at(900));
    assert!(detours.is_detoured(&server, at(3_899)), "a relay has proved that the server responds");
    detours.record_success(&server);
    assert!(!detours.is_detoured(&server, at(901)));
}

/// Load pattern: a server is lost, and each of its requests would visit relays in vain.
#[test]
fn a_server_that_no_relay_reaches_is_not_detoured() {
    let server = Name::from("s1");
    let mut detours = Detours::default();
    detours.record_failure(&server, at(0));
    detours.record_lost(&server, at(10));
    assert!(!detours.is_detoured(&server, at(11)));
    detours.record_failure(&server, at(1_000));
    assert!(!detours.is_detoured(&server, at(1_009)));
    assert!(detours.is_detoured(&server, at(1_010)));
}

#[test]
fn one_probe_at_a_time_is_due() {
    let server = Name::from("s1");
    let mut detours = Detours::default();
    assert!(!detours.start_probe(&server, at(0)));
    detours.record_failure(&server, at(0));
    assert!(!detours.start_probe(&server, at(499)));
    assert!(detours.start_probe(&server, at(500)));
    assert!(!detours.start_probe(&server, at(501)));
}

#[test]
fn a_relay_that_does_not_reach_a_server_is_not_used_for_it() {
    let (server, relay) = (Name::from("s1"), Name::from("n2"));
    let mut detours = Detours::default();
    detours.record_failure(&server, at(0));
    detours.record_relay_failure(&server, &relay, at(0));
    assert_eq!(detours.failed_relays(&server, at(1_999)), [relay]);
    assert!(detours.failed_relays(&server, at(2_000)).is_empty());
    assert!(detours.failed_relays(&Name::from("s2"), at(0)).is_empty());
}
