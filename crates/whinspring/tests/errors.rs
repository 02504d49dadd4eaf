//! Share of errors in the responses of a server.

use {
    std::time::Duration,
    whinspring::{errors::ErrorShare, time::Tick},
};

/// Guards against keys that leave a server because of errors that its requests cause.
#[test]
fn errors_caused_by_requests_do_not_count() {
    let mut share = ErrorShare::default();
    let mut now = Tick::from_millis(1);
    for round in 0..1_000 {
        now = now + Duration::from_millis(250);
        share.record(now, 4, u32::from(round % 60 == 0));
        assert_eq!(share.high(now), 0.0);
    }
}

#[test]
fn errors_are_forgotten_a_while_after_they_end() {
    let mut share = ErrorShare::default();
    let mut now = Tick::from_millis(1);
    for _ in 0..4 {
        now = now + Duration::from_millis(250);
        share.record(now, 0, 5);
    }
    assert_eq!(share.high(now), 1.0);
    assert!(share.high(now + Duration::from_secs(1)) > 0.9);
    assert_eq!(share.high(now + Duration::from_secs(8)), 0.0, "no requests, nothing is known");
}
