//! Evacuated failure domains, with a manually advanced clock.

use {
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
    whinspring::{
        evacuation::{Evacuations, LOST_RETENTION},
        name::Name,
        notices::{Purpose, Refusal},
        time::Tick,
    },
};

/// Time for which owners of keys are used.
const USABLE: Duration = Duration::from_millis(4_300);

const PURPOSES: [Purpose; 4] =
    [Purpose::Place, Purpose::PlaceKeyed, Purpose::Start, Purpose::Write];

/// Number of seeds that are run.
const SEEDS: u64 = 200;

fn at(ms: u64) -> Tick {
    Tick::from_millis(ms)
}

fn zone(name: &str) -> Name {
    name.into()
}

fn check(evacuations: &Evacuations, keyed: bool, purpose: Purpose, ms: u64) -> bool {
    let result = evacuations.check(&zone("a"), keyed, purpose, at(ms), USABLE);
    assert!(result.is_ok() || result == Err(Refusal::Left), "{result:?}");
    result.is_ok()
}

/// A server without keys that gets new requests until the bound would be sent work that other servers
/// could do.
#[test]
fn a_server_without_keys_gets_no_new_request_at_once() {
    let mut evacuations = Evacuations::default();
    assert!(evacuations.record(&zone("a"), at(1_000)));
    assert!(!check(&evacuations, false, Purpose::Place, 1_000));
    assert!(!check(&evacuations, false, Purpose::Start, 1_000));
    assert!(check(&evacuations, false, Purpose::Write, 1_000), "it was started before");
    assert!(evacuations.check(&zone("b"), false, Purpose::Place, at(9_000), USABLE).is_ok());
}

/// An owner that is dropped at once would leave its keys without service until they are handed over.
#[test]
fn an_owner_of_keys_is_used_until_the_bound_and_not_after() {
    let mut evacuations = Evacuations::default();
    evacuations.record(&zone("a"), at(1_000));
    for purpose in [Purpose::PlaceKeyed, Purpose::Start, Purpose::Write] {
        assert!(check(&evacuations, true, purpose, 5_299), "{purpose:?}");
        assert!(!check(&evacuations, true, purpose, 5_300), "{purpose:?}");
    }
}

/// A node that learns of an old evacuation, from a listing at its start, must not count from then.
#[test]
fn an_evacuation_of_unknown_age_counts_as_over_the_bound() {
    let mut evacuations = Evacuations::default();
    evacuations.record(&zone("a"), Tick::default());
    for purpose in PURPOSES {
        assert!(!check(&evacuations, true, purpose, 1), "{purpose:?}");
    }
}

/// Whatever order the facts arrive in, the earliest counts: a later one would prolong the use.
#[test]
fn the_earliest_acknowledgement_counts() {
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut evacuations = Evacuations::default();
        let mut earliest = rng.random_range(1..9_000);
        evacuations.record(&zone("a"), at(earliest));
        for _ in 0..rng.random_range(0..8) {
            let since = rng.random_range(1..9_000);
            earliest = earliest.min(since);
            match rng.random_bool(0.5) {
                true => assert!(!evacuations.record(&zone("a"), at(since))),
                false => evacuations.record_age(&zone("a"), at(since)),
            }
        }
        let end = earliest + USABLE.as_millis() as u64;
        assert!(check(&evacuations, true, Purpose::Write, end - 1), "seed {seed}");
        assert!(!check(&evacuations, true, Purpose::Write, end), "seed {seed}");
    }
}

#[test]
fn a_deleted_request_ends_the_evacuation_at_once() {
    let mut evacuations = Evacuations::default();
    evacuations.record(&zone("a"), at(1_000));
    evacuations.record(&zone("b"), at(2_000));
    assert_eq!(evacuations.cleared_since("a"), None);
    assert!(evacuations.record_deleted(&zone("a"), at(9_000)));
    assert!(!evacuations.record_deleted(&zone("a"), at(9_100)), "only once");
    assert!(check(&evacuations, true, Purpose::Place, 9_000));
    assert_eq!(evacuations.cleared_since("a"), Some(at(9_000)));
    assert!(evacuations.is_evacuated("b"), "the other domain has its own request");
    evacuations.record(&zone("a"), at(9_500));
    assert_eq!(evacuations.cleared_since("a"), None, "it is evacuated again");
    assert!(check(&evacuations, true, Purpose::Write, 9_600), "it counts anew");
}

/// A store that comes back from an older copy must not bring requests to an evacuated domain, and an
/// operator who does not write the request again must not evacuate it for ever.
#[test]
fn a_lost_request_is_kept_for_a_while() {
    let mut evacuations = Evacuations::default();
    evacuations.record(&zone("a"), at(1_000));
    evacuations.record_lost(&zone("a"), at(20_000));
    evacuations.record_lost(&zone("a"), at(21_000));
    let end = at(20_000) + LOST_RETENTION;
    assert_eq!(evacuations.sweep(end - Duration::from_millis(1)), Vec::<Name>::new());
    assert!(!check(&evacuations, true, Purpose::Write, 22_299));
    assert_eq!(evacuations.sweep(end), [zone("a")]);
    assert_eq!(evacuations.cleared_since("a"), Some(end));
}

#[test]
fn a_lost_request_that_is_written_again_counts_from_its_first_time() {
    let mut evacuations = Evacuations::default();
    evacuations.record(&zone("a"), at(1_000));
    evacuations.record_lost(&zone("a"), at(20_000));
    assert!(!evacuations.record(&zone("a"), at(21_500)));
    assert_eq!(evacuations.sweep(at(60_000)), Vec::<Name>::new());
    assert!(!check(&evacuations, true, Purpose::Write, 21_600));
}
