//! How long requests wait for keys without an owner.

use {
    std::time::Duration,
    whinspring::{
        ranges::{
            Instance, Ownership,
            vacancy::{Vacancies, Verdict, judge},
        },
        time::Tick,
    },
};

/// Latency target of the callers.
const TARGET: Duration = Duration::from_millis(200);

fn at(ms: u64) -> Tick {
    Tick::from_millis(ms)
}

fn instance(name: &str) -> Instance {
    Instance { server: name.into(), start_ms: 1 }
}

/// Returns owners of which the second is being replaced.
fn handed_over() -> Ownership {
    let mut fence = 0;
    let owners = [instance("a"), instance("b"), instance("c")];
    let mut owned = Ownership::split_evenly(1, &owners, || {
        fence += 64;
        fence
    });
    let former = std::mem::replace(&mut owned.spans[1].owner, instance("c"));
    owned.spans[1].former = Some(former);
    owned
}

/// Guards against requests that are held and then rejected, one after the other, for as long as a lost
/// server's lease lasts. Load: 40 requests a second for keys whose owner is lost for 8 s.
#[test]
fn requests_for_keys_of_a_lost_server_are_rejected_at_once() {
    let mut vacancies = Vacancies::default();
    vacancies.update(&handed_over(), at(1_000));
    let key = 30_000;
    let (mut held, mut late) = (Duration::ZERO, 0);
    for ms in (1_000..9_000).step_by(25) {
        let since = vacancies.since(key).unwrap();
        match judge(since, at(ms)) {
            Verdict::Wait(until) => held += until.since(at(ms)),
            Verdict::Reject(retry) => {
                late += 1;
                assert!(retry >= Duration::from_millis(300), "{retry:?} at {ms}");
            }
        }
    }
    assert_eq!(late, 306, "of 320");
    assert!(held / 320 < TARGET / 8, "{held:?}");
}

/// A handover between servers that respond is waited for.
#[test]
fn requests_wait_for_a_handover_that_has_just_begun() {
    assert_eq!(judge(at(1_000), at(1_100)), Verdict::Wait(at(1_350)));
    assert_eq!(judge(at(1_000), at(2_000)), Verdict::Reject(Duration::from_secs(3)));
}

/// Guards against requests that wait anew with each controller and each division of a range.
#[test]
fn the_time_without_an_owner_goes_on_across_elections_and_divisions() {
    let mut owned = handed_over();
    let mut vacancies = Vacancies::default();
    vacancies.update(&owned, at(1_000));
    for span in &mut owned.spans {
        span.fence += 640;
    }
    let first = owned.spans[1].first + 10;
    owned.split_range(first, first + 5);
    vacancies.update(&owned, at(3_000));
    for key in [first - 1, first, first + 6] {
        assert_eq!(vacancies.since(key), Some(at(1_000)), "key {key}");
    }
    assert_eq!(vacancies.since(0), None);
}

/// Another loss, of the server that was to own the keys, is a new one.
#[test]
fn another_former_owner_begins_another_vacancy() {
    let mut owned = handed_over();
    let mut vacancies = Vacancies::default();
    vacancies.update(&owned, at(1_000));
    owned.spans[1].former = Some(instance("c"));
    vacancies.update(&owned, at(5_000));
    assert_eq!(vacancies.since(30_000), Some(at(5_000)));
    owned.spans[1].former = None;
    vacancies.update(&owned, at(6_000));
    assert_eq!(vacancies.since(30_000), None);
}
