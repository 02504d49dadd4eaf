//! The entry: what is forwarded, what is retried, and what the caller is told.

use {
    super::records::{holders, later, meta, node, segment, service, view},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    whinspring::{
        code::{Class, Code},
        entry::{Budget, Flight, Outcome, Step},
        model::{NodeState, ServerState},
        name::ServerId,
        record::Value,
        request::{Meta, Refusal},
        time::Tick,
        view::View,
    },
};

fn at(ms: u64) -> Tick {
    Tick::from_millis(ms)
}

fn flight(meta: Meta, within: u64) -> Flight {
    Flight::new(meta, at(0), at(within), 1)
}

fn refused(code: Code) -> Outcome {
    Outcome::Refused(Refusal { code, retry_ms: 10 })
}

/// Returns the server of a step that forwards.
fn server(step: &Step) -> u32 {
    let Step::Forward(target) = step else { panic!("{step:?} does not forward") };
    target.server.0
}

/// Returns the code of a step that answers.
fn code(step: &Step) -> Code {
    let Step::Answer(refusal) = step else { panic!("{step:?} does not answer") };
    refusal.code
}

#[test]
fn unrepeatable_request_that_may_have_run_is_not_retried() {
    for outcome in [Outcome::Broken, refused(Code::ServerLost), refused(Code::HolderLost)] {
        let budget = &mut Budget::default();
        let mut flight = flight(meta("a", false), 1_000);
        assert_eq!(server(&flight.next(at(0), &view("n2"), budget)), 1);
        flight.failed(at(10), outcome);
        let last = flight.next(at(10), &view("n2"), budget);
        assert_eq!(code(&last).class(), Class::Unknown);
    }
}

#[test]
fn request_that_did_not_run_is_retried() {
    let outcomes = [Outcome::Unreachable, Outcome::Misrouted, refused(Code::Moved)];
    for outcome in outcomes {
        let budget = &mut Budget::default();
        let mut flight = flight(meta("a", false), 1_000);
        flight.next(at(0), &view("n2"), budget);
        flight.failed(at(10), outcome);
        let Step::Wait(until) = flight.next(at(10), &view("n2"), budget) else { panic!() };
        assert!(until > at(10) && until <= at(85));
        let moved = view("n2").updated([later(node(1, NodeState::Live))].iter());
        assert!(matches!(flight.next(at(11), &moved, budget), Step::Wait(_)));
        assert_eq!(server(&flight.next(until, &moved, budget)), 1);
    }
}

#[test]
fn repeatable_request_is_retried_once_after_a_death() {
    let budget = &mut Budget::default();
    let mut flight = flight(meta("a", true), 1_000);
    flight.next(at(0), &view("n2"), budget);
    flight.failed(at(10), refused(Code::ServerLost));
    assert_eq!(server(&flight.next(at(10), &view("n2"), budget)), 1);
    assert_eq!(flight.meta().deaths, 1, "the next holder must let it run alone");
    flight.failed(at(20), refused(Code::ServerLost));
    assert_eq!(code(&flight.next(at(20), &view("n2"), budget)), Code::ServerLost);
}

#[test]
fn resend_after_a_death_is_to_run_alone() {
    let budget = &mut Budget::default();
    let mut first = flight(meta("a", false), 1_000);
    first.next(at(0), &view("n2"), budget);
    first.failed(at(10), refused(Code::ServerLost));
    first.next(at(10), &view("n2"), budget);
    for (ms, deaths) in [(20, 1), (10_020, 0)] {
        let mut resent = Flight::new(meta("a", false), at(ms), at(ms + 1_000), 2);
        resent.next(at(ms), &view("n2"), budget);
        assert_eq!(resent.meta().deaths, deaths);
    }
}

#[test]
fn not_run_is_not_said_after_a_try_that_may_have_run() {
    let budget = &mut Budget::default();
    let mut flight = flight(meta("a", true), 1_000);
    flight.next(at(0), &view("n2"), budget);
    flight.failed(at(10), Outcome::Broken);
    let again = flight.next(at(100), &view("n2"), budget);
    assert_eq!(server(&again), 1);
    flight.failed(at(110), refused(Code::Overloaded));
    assert_eq!(code(&flight.next(at(110), &view("n2"), budget)), Code::HolderLost);
}

#[test]
fn request_waits_for_a_move_that_can_end_in_time() {
    let budget = &mut Budget::default();
    let moving = view("n2").updated([later(segment(Some(ServerId(3))))].iter());
    let mut patient = flight(meta("a", false), 1_000);
    assert_eq!(patient.next(at(0), &moving, budget), Step::Wait(at(1_000)));
    let moved = moving.updated([later(later(segment(None)))].iter());
    assert_eq!(server(&patient.next(at(50), &moved, budget)), 1);

    let handed = moved.updated([later(holders("bays", Some("n3")))].iter());
    let mut handing = flight(meta("a", false), 1_000);
    assert_eq!(server(&handing.next(at(0), &handed, budget)), 1, "it may take short work");
    handing.failed(at(10), refused(Code::Moved));
    assert_eq!(handing.next(at(200), &handed, budget), Step::Wait(at(1_000)));

    let mut hasty = flight(meta("a", false), 50);
    assert_eq!(code(&hasty.next(at(0), &moving, budget)), Code::Moved);
}

#[test]
fn request_does_not_wait_for_ever_for_a_holder() {
    let budget = &mut Budget::default();
    let gone = view("n2").updated([later(node(1, NodeState::Gone))].iter());
    let mut flight = flight(meta("a", true), 60_000);
    let Step::Wait(until) = flight.next(at(0), &gone, budget) else { panic!() };
    assert_eq!(until, at(3_000));
    let Step::Answer(refusal) = flight.next(until, &gone, budget) else { panic!() };
    assert_eq!(refusal.code, Code::NoHolder);
    assert!(refusal.retry_ms > 0);
}

#[test]
fn retries_are_a_share_of_first_tries() {
    let budget = &mut Budget::default();
    let view = view("n2");
    let mut retried = 0;
    for _ in 0..1_000 {
        let mut flight = flight(meta("a", true), 1_000);
        flight.next(at(0), &view, budget);
        flight.failed(at(1), refused(Code::ServerLost));
        retried += u32::from(matches!(flight.next(at(1), &view, budget), Step::Forward(_)));
    }
    assert!((140..=155).contains(&retried), "{retried} retries");
}

#[test]
fn looking_for_the_holder_spends_no_retries_but_slows_down() {
    let budget = &mut Budget::default();
    while budget.retries.spend() {}
    let mut flight = flight(meta("a", false), 10_000);
    let mut asked = Vec::new();
    let mut now = at(0);
    loop {
        match flight.next(now, &view("n2"), budget) {
            Step::Forward(_) => {
                asked.push(now);
                flight.failed(now, Outcome::Misrouted);
            }
            Step::Wait(until) => now = until,
            Step::Answer(refusal) => {
                assert_eq!(refusal.code, Code::NoHolder);
                break;
            }
        }
    }
    assert!((5..=10).contains(&asked.len()), "asked {} times", asked.len());
    assert!(now <= at(3_100));
}

#[test]
fn unkeyed_request_goes_to_a_server_that_takes_work() {
    let unkeyed = || Meta { service: "files".into(), place: None, ..meta("a", true) };
    let drained = view("n2").updated([later(service("files", 0, ServerState::Draining))].iter());
    let mut first = 0;
    for seed in 0..100 {
        let budget = &mut Budget::default();
        budget.outstanding.learn(at(0), &"files".into(), ServerId(1), 2, 9);
        let mut flight = Flight::new(unkeyed(), at(0), at(1_000), seed);
        budget.outstanding.learn(at(0), &"files".into(), ServerId(2), 0, 0);
        let chosen = server(&flight.next(at(0), &drained, budget));
        assert_ne!(chosen, 3, "server 3 is draining");
        first += u32::from(chosen == 1);
        flight.failed(at(1), refused(Code::ServerLost));
        assert_ne!(server(&flight.next(at(1), &drained, budget)), chosen, "it is dead");
    }
    assert!((10..40).contains(&first), "the busy server got {first} of 100");
}

#[test]
fn unkeyed_request_avoids_a_server_that_changes_its_holder() {
    let mut some = later(holders("files", None));
    if let Some(Value::Holders(holders)) = &mut some.value {
        holders.terms.get_mut(&ServerId(1)).unwrap().next = Some("n3".into());
    }
    let all = later(holders("files", Some("n3")));
    let budget = &mut Budget::default();
    for seed in 0..20 {
        let unkeyed = Meta { service: "files".into(), place: None, ..meta("a", true) };
        let mut flight = Flight::new(unkeyed.clone(), at(0), at(1_000), seed);
        let some = view("n2").updated([some.clone()].iter());
        assert_ne!(server(&flight.next(at(0), &some, budget)), 1);
        let mut flight = Flight::new(unkeyed, at(0), at(1_000), seed);
        server(&flight.next(at(0), &view("n2").updated([all.clone()].iter()), budget));
    }
}

#[test]
fn resends_to_an_unkeyed_service_meet_the_same_server() {
    let request = || Meta { service: "files".into(), place: None, ..meta("a", false) };
    let budget = &mut Budget::default();
    let chosen = (0..20).map(|seed| {
        let mut flight = Flight::new(request(), at(0), at(1_000), seed);
        server(&flight.next(at(0), &view("n2"), budget))
    });
    let chosen: std::collections::BTreeSet<u32> = chosen.collect();
    assert_eq!(chosen.len(), 1);
}

/// Any order of failures and changes: no unrepeatable request goes on after it may have run, and
/// each is answered by its deadline with what is true.
#[test]
fn outcomes_are_true_in_any_order() {
    for seed in 0..2_000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        run(seed, &mut rng);
    }
}

fn run(seed: u64, rng: &mut ChaCha8Rng) {
    let views = changes();
    let budget = &mut Budget::default();
    let repeatable = rng.random_bool(0.5);
    let deadline = rng.random_range(1..2_000);
    let mut flight = Flight::new(meta("a", repeatable), at(0), at(deadline), seed);
    let mut ms = 0;
    let mut may_have_run = false;
    loop {
        let view = &views[rng.random_range(0..views.len())];
        match flight.next(at(ms), view, budget) {
            Step::Forward(_) => {
                assert!(repeatable || !may_have_run, "seed {seed}: ran twice");
                assert!(ms < deadline, "seed {seed}: forwarded too late");
                ms += rng.random_range(0..100);
                may_have_run |= fail(&mut flight, ms, rng);
            }
            Step::Wait(until) => {
                assert!(until > at(ms) && until <= at(deadline), "seed {seed}: {until:?}");
                ms += rng.random_range(1..=(until.0 / 1_000 - ms).max(1));
            }
            Step::Answer(refusal) => {
                let unknown = refusal.code.class() == Class::Unknown;
                assert_eq!(unknown, may_have_run, "seed {seed}: {refusal:?}");
                return;
            }
        }
    }
}

/// Lets the try fail; returns whether it may have run.
fn fail(flight: &mut Flight, ms: u64, rng: &mut ChaCha8Rng) -> bool {
    let (outcome, ran) = match rng.random_range(0..9) {
        0 => (Outcome::Broken, true),
        1 => (refused(Code::ServerLost), true),
        2 => (refused(Code::Deadline), true),
        3 => (refused(Code::Overloaded), false),
        4 => (refused(Code::Shed), false),
        5 => (Outcome::Unreachable, false),
        6 => (Outcome::Misrouted, false),
        _ => (refused(Code::Moved), false),
    };
    flight.failed(at(ms), outcome);
    ran
}

/// Returns views of a deployment in which things move and go.
fn changes() -> Vec<View> {
    let view = view("n2");
    let moving = view.updated([later(segment(Some(ServerId(3))))].iter());
    let handed = view.updated([later(holders("bays", Some("n3")))].iter());
    let gone = view.updated([later(node(1, NodeState::Gone))].iter());
    vec![view, moving, handed, gone]
}
