//! Routing decisions of the entry: forwarding, retries and final answers.

use {
    super::records::{holders, later, meta, node, segment, service, view},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    whinspring::{
        code::{Class, Code},
        entry::{Dispatch, EntryState, Outcome, Step},
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

fn dispatch(meta: Meta, within: u64) -> Dispatch {
    Dispatch::new(meta, at(0), at(within), 1)
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
fn non_idempotent_request_that_may_have_run_is_not_retried() {
    for outcome in [Outcome::Broken, refused(Code::ServerLost), refused(Code::HolderLost)] {
        let state = &mut EntryState::default();
        let mut dispatch = dispatch(meta("a", false), 1_000);
        assert_eq!(server(&dispatch.next(at(0), &view("n2"), state)), 1);
        dispatch.record_outcome(at(10), outcome);
        let last = dispatch.next(at(10), &view("n2"), state);
        assert_eq!(code(&last).class(), Class::Unknown);
    }
}

#[test]
fn request_that_did_not_run_is_retried() {
    let outcomes = [Outcome::Unreachable, Outcome::Misrouted, refused(Code::Moved)];
    for outcome in outcomes {
        let state = &mut EntryState::default();
        let mut dispatch = dispatch(meta("a", false), 1_000);
        dispatch.next(at(0), &view("n2"), state);
        dispatch.record_outcome(at(10), outcome);
        let Step::Wait(until) = dispatch.next(at(10), &view("n2"), state) else { panic!() };
        assert!(until > at(10) && until <= at(85));
        let moved = view("n2").with_records([later(node(1, NodeState::Live))].iter());
        assert!(matches!(dispatch.next(at(11), &moved, state), Step::Wait(_)));
        assert_eq!(server(&dispatch.next(until, &moved, state)), 1);
    }
}

#[test]
fn idempotent_request_is_retried_once_after_a_crash() {
    let state = &mut EntryState::default();
    let mut dispatch = dispatch(meta("a", true), 1_000);
    dispatch.next(at(0), &view("n2"), state);
    dispatch.record_outcome(at(10), refused(Code::ServerLost));
    assert_eq!(server(&dispatch.next(at(10), &view("n2"), state)), 1);
    assert_eq!(dispatch.meta().crashes, 1, "the next holder must let it run alone");
    dispatch.record_outcome(at(20), refused(Code::ServerLost));
    assert_eq!(code(&dispatch.next(at(20), &view("n2"), state)), Code::ServerLost);
}

#[test]
fn retry_after_a_crash_runs_alone() {
    let state = &mut EntryState::default();
    let mut first = dispatch(meta("a", false), 1_000);
    first.next(at(0), &view("n2"), state);
    first.record_outcome(at(10), refused(Code::ServerLost));
    first.next(at(10), &view("n2"), state);
    for (ms, crashes) in [(20, 1), (10_020, 0)] {
        let mut retried = Dispatch::new(meta("a", false), at(ms), at(ms + 1_000), 2);
        retried.next(at(ms), &view("n2"), state);
        assert_eq!(retried.meta().crashes, crashes);
    }
}

#[test]
fn not_run_is_not_reported_after_an_attempt_that_may_have_run() {
    let state = &mut EntryState::default();
    let mut dispatch = dispatch(meta("a", true), 1_000);
    dispatch.next(at(0), &view("n2"), state);
    dispatch.record_outcome(at(10), Outcome::Broken);
    let again = dispatch.next(at(100), &view("n2"), state);
    assert_eq!(server(&again), 1);
    dispatch.record_outcome(at(110), refused(Code::Overloaded));
    assert_eq!(code(&dispatch.next(at(110), &view("n2"), state)), Code::HolderLost);
}

#[test]
fn request_waits_for_a_move_that_can_end_in_time() {
    let state = &mut EntryState::default();
    let moving = view("n2").with_records([later(segment(Some(ServerId(3))))].iter());
    let mut waiting = dispatch(meta("a", false), 1_000);
    assert_eq!(waiting.next(at(0), &moving, state), Step::Wait(at(1_000)));
    let moved = moving.with_records([later(later(segment(None)))].iter());
    assert_eq!(server(&waiting.next(at(50), &moved, state)), 1);

    let handed = moved.with_records([later(holders("bays", Some("n3")))].iter());
    let mut handover = dispatch(meta("a", false), 1_000);
    assert_eq!(server(&handover.next(at(0), &handed, state)), 1, "it may accept short requests");
    handover.record_outcome(at(10), refused(Code::Moved));
    assert_eq!(handover.next(at(200), &handed, state), Step::Wait(at(1_000)));

    let mut urgent = dispatch(meta("a", false), 50);
    assert_eq!(code(&urgent.next(at(0), &moving, state)), Code::Moved);
}

#[test]
fn request_does_not_wait_for_ever_for_a_holder() {
    let state = &mut EntryState::default();
    let gone = view("n2").with_records([later(node(1, NodeState::Gone))].iter());
    let mut dispatch = dispatch(meta("a", true), 60_000);
    let Step::Wait(until) = dispatch.next(at(0), &gone, state) else { panic!() };
    assert_eq!(until, at(3_000));
    let Step::Answer(refusal) = dispatch.next(until, &gone, state) else { panic!() };
    assert_eq!(refusal.code, Code::NoHolder);
    assert!(refusal.retry_ms > 0);
}

#[test]
fn retries_are_a_share_of_first_tries() {
    let state = &mut EntryState::default();
    let view = view("n2");
    let mut retried = 0;
    for _ in 0..1_000 {
        let mut dispatch = dispatch(meta("a", true), 1_000);
        dispatch.next(at(0), &view, state);
        dispatch.record_outcome(at(1), refused(Code::ServerLost));
        retried += u32::from(matches!(dispatch.next(at(1), &view, state), Step::Forward(_)));
    }
    assert!((140..=155).contains(&retried), "{retried} retries");
}

#[test]
fn looking_for_the_holder_spends_no_retries_but_slows_down() {
    let state = &mut EntryState::default();
    while state.retries.spend() {}
    let mut dispatch = dispatch(meta("a", false), 10_000);
    let mut asked = Vec::new();
    let mut now = at(0);
    loop {
        match dispatch.next(now, &view("n2"), state) {
            Step::Forward(_) => {
                asked.push(now);
                dispatch.record_outcome(now, Outcome::Misrouted);
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
    let drained =
        view("n2").with_records([later(service("files", 0, ServerState::Draining))].iter());
    let mut first = 0;
    for seed in 0..100 {
        let state = &mut EntryState::default();
        state.outstanding.update(at(0), &"files".into(), ServerId(1), 2, 9);
        let mut dispatch = Dispatch::new(unkeyed(), at(0), at(1_000), seed);
        state.outstanding.update(at(0), &"files".into(), ServerId(2), 0, 0);
        let chosen = server(&dispatch.next(at(0), &drained, state));
        assert_ne!(chosen, 3, "server 3 is draining");
        first += u32::from(chosen == 1);
        dispatch.record_outcome(at(1), refused(Code::ServerLost));
        assert_ne!(
            server(&dispatch.next(at(1), &drained, state)),
            chosen,
            "server {chosen} was lost"
        );
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
    let state = &mut EntryState::default();
    for seed in 0..20 {
        let unkeyed = Meta { service: "files".into(), place: None, ..meta("a", true) };
        let mut dispatch = Dispatch::new(unkeyed.clone(), at(0), at(1_000), seed);
        let some = view("n2").with_records([some.clone()].iter());
        assert_ne!(server(&dispatch.next(at(0), &some, state)), 1);
        let mut dispatch = Dispatch::new(unkeyed, at(0), at(1_000), seed);
        server(&dispatch.next(at(0), &view("n2").with_records([all.clone()].iter()), state));
    }
}

#[test]
fn retries_to_an_unkeyed_service_reach_the_same_server() {
    let request = || Meta { service: "files".into(), place: None, ..meta("a", false) };
    let state = &mut EntryState::default();
    let chosen = (0..20).map(|seed| {
        let mut dispatch = Dispatch::new(request(), at(0), at(1_000), seed);
        server(&dispatch.next(at(0), &view("n2"), state))
    });
    let chosen: std::collections::BTreeSet<u32> = chosen.collect();
    assert_eq!(chosen.len(), 1);
}

/// In any order of failures and changes, a non-idempotent request is not forwarded again after it
/// may have run, and each request is answered by its deadline with the right class.
#[test]
fn outcomes_are_true_in_any_order() {
    for seed in 0..2_000 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        run(seed, &mut rng);
    }
}

fn run(seed: u64, rng: &mut ChaCha8Rng) {
    let views = changes();
    let state = &mut EntryState::default();
    let idempotent = rng.random_bool(0.5);
    let deadline = rng.random_range(1..2_000);
    let mut dispatch = Dispatch::new(meta("a", idempotent), at(0), at(deadline), seed);
    let mut ms = 0;
    let mut may_have_run = false;
    loop {
        let view = &views[rng.random_range(0..views.len())];
        match dispatch.next(at(ms), view, state) {
            Step::Forward(_) => {
                assert!(idempotent || !may_have_run, "seed {seed}: ran twice");
                assert!(ms < deadline, "seed {seed}: forwarded too late");
                ms += rng.random_range(0..100);
                may_have_run |= fail(&mut dispatch, ms, rng);
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

/// Fails the attempt at random; returns whether it may have run.
fn fail(dispatch: &mut Dispatch, ms: u64, rng: &mut ChaCha8Rng) -> bool {
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
    dispatch.record_outcome(at(ms), outcome);
    ran
}

/// Returns views of a deployment in different states of change.
fn changes() -> Vec<View> {
    let view = view("n2");
    let moving = view.with_records([later(segment(Some(ServerId(3))))].iter());
    let handed = view.with_records([later(holders("bays", Some("n3")))].iter());
    let gone = view.with_records([later(node(1, NodeState::Gone))].iter());
    vec![view, moving, handed, gone]
}
