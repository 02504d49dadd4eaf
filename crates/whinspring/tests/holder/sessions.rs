//! Scenarios of one held server, most of them compared with a snapshot of the trace.

use {
    super::world::{EPOCH_MS, World, get, post, update},
    insta::assert_snapshot,
    whinspring::{
        holder::{DedupState, Input, Policy, Update},
        model::{Owner, ServerState, Suspect},
        name::{ServerId, Slice, slice_of},
        request::Meta,
        time::Wall,
    },
};

#[test]
fn queue_fills_and_refuses() {
    let mut world = World::new(update(1, 1));
    world.fake.service_ms = 50;
    for number in 0..8 {
        world.arrive(number, get("a"), 120);
    }
    world.cancel(2);
    world.run(200);
    assert_snapshot!(world.trace);
}

#[test]
fn slow_server_is_detected_by_its_latency() {
    let mut world = World::new(update(1, 1));
    world.fake.service_ms = 300;
    for number in 0..40 {
        world.arrive(number, get("a"), 400);
        world.run(50);
    }
    let refused = (30..40).filter(|number| world.answer(*number) == "Overloaded").count();
    let late = (30..40).filter(|number| world.answer(*number) == "Deadline").count();
    assert!(refused >= 5 && late == 0, "{refused} refused, {late} late\n{}", world.trace);
}

#[test]
fn resend_joins_then_replays() {
    let mut world = World::new(update(1, 1));
    world.arrive(1, post("a", "x"), 100);
    world.run(2);
    world.arrive(2, Meta { first: false, ..post("a", "x") }, 100);
    world.arrive(3, post("b", "x"), 100);
    world.arrive(4, Meta { customer: "d".into(), ..post("a", "x") }, 100);
    world.arrive(5, Meta { fingerprint: 1, ..post("a", "x") }, 100);
    world.run(50);
    world.arrive(6, Meta { first: false, ..post("a", "x") }, 100);
    world.run(50);
    assert_snapshot!(world.trace);
}

#[test]
fn caller_gone_or_late_leaves_the_answer_for_its_resend() {
    let mut world = World::new(update(1, 1));
    world.fake.service_ms = 100;
    world.arrive(1, post("a", "x"), 300);
    world.arrive(2, post("b", "y"), 50);
    world.run(20);
    world.cancel(1);
    world.run(60);
    world.arrive(3, Meta { first: false, ..post("b", "y") }, 300);
    world.run(60);
    world.arrive(4, Meta { first: false, ..post("a", "x") }, 300);
    world.run(10);
    assert_snapshot!(world.trace);
}

#[test]
fn lost_connection_makes_the_outcome_unknown() {
    let mut world = World::new(update(1, 1));
    world.arrive(1, post("a", "x"), 300);
    world.arrive(2, get("b"), 300);
    world.run(2);
    world.fake.drop_connections(world.ms);
    world.run(20);
    world.arrive(3, Meta { first: false, ..post("a", "x") }, 300);
    world.run(200);
    world.arrive(4, get("b"), 300);
    world.run(20);
    assert_snapshot!(world.trace);
    assert!(world.suspects.is_empty(), "a lost connection is not a crash");
}

#[test]
fn unknown_id_runs_only_if_no_earlier_attempt_can_have() {
    let mut world = World::new(update(1, 1));
    world.run(5_000);
    world.trace.clear();
    let wall = EPOCH_MS + world.ms;
    let resent = |id: &str, issued| Meta { first: false, issued, ..post("a", id) };
    world.arrive(1, resent("no-time", None), 100);
    world.arrive(2, resent("old", Some(Wall(EPOCH_MS - 10))), 100);
    world.arrive(3, resent("new", Some(Wall(wall - 100))), 100);
    world.arrive(4, resent("future", Some(Wall(wall + 3_000))), 100);
    world.arrive(5, post("a", "first"), 100);
    world.run(30);
    assert_snapshot!(world.trace);
}

#[test]
fn slice_moves_with_its_dedup_state() {
    let mut world = World::new(update(1, 1));
    let slice = slice_of("a", 4);
    world.arrive(1, post("a", "x"), 300);
    world.run(30);
    world.fake.service_ms = 60;
    world.arrive(2, post("a", "y"), 300);
    world.arrive(3, get("a"), 300);
    world.arrive(4, get("a"), 300);
    world.arrive(5, post("a", "z"), 300);
    world.arrive(6, Meta { first: false, ..post("a", "z") }, 300);
    world.run(5);
    world.input(moving(slice));
    world.arrive(7, get("a"), 300);
    world.run(100);
    world.input(gone(slice));
    world.run(10);
    assert_snapshot!(world.trace);
}

#[test]
fn dedup_state_of_the_former_holder_is_used() {
    let mut world = World::new(update(1, 1));
    let slice = slice_of("a", 4);
    world.arrive(1, post("a", "x"), 300);
    world.run(30);
    world.input(moving(slice));
    let handed = std::mem::take(&mut world.handed);

    let mut next = World::new(update(1, 2));
    next.arrive(1, Meta { first: false, ..post("a", "x") }, 300);
    next.input(Input::DedupState(handed.clone()));
    next.arrive(2, Meta { first: false, ..post("a", "x") }, 300);
    next.run(10);
    assert_eq!((next.answer(1), next.answer(2)), ("MaybeRan", "replayed answer to x"));

    let mut second = World::new(update(1, 2));
    second.lose_holder(update(2, 2));
    second.run(30);
    second.input(Input::DedupState(handed.clone()));
    second.arrive(1, Meta { first: false, ..post("a", "x") }, 300);
    assert_eq!(second.answer(1), "MaybeRan", "the first holder of the epoch may have run it");

    let server = handed.iter().cloned().map(|state| DedupState { epoch_closed: false, ..state });
    let server: Vec<DedupState> = server.collect();
    let expected = ["replayed answer to x", "MaybeRan", "MaybeRan"];
    for ((term, epoch), expected) in [(2, 1), (3, 1), (3, 2)].into_iter().zip(expected) {
        let mut taken = World::new(update(term, epoch));
        taken.input(Input::DedupState(server.clone()));
        taken.arrive(1, Meta { first: false, ..post("a", "x") }, 300);
        assert_eq!(taken.answer(1), expected, "another holder may have run it since");
    }

    let mut later = World::new(update(1, 3));
    later.input(Input::DedupState(handed));
    later.arrive(1, Meta { first: false, ..post("a", "x") }, 300);
    assert_eq!(later.answer(1), "MaybeRan", "the state of an earlier owner is not complete");
}

#[test]
fn server_is_handed_over_once_it_is_idle() {
    let mut world = World::new(update(1, 1));
    world.fake.service_ms = 60;
    world.arrive(1, get("a"), 300);
    world.run(5);
    world.input(Input::Update(Box::new(Update { handover: true, ..update(1, 1) })));
    world.arrive(2, get("a"), 300);
    world.run(100);
    world.input(Input::Update(Box::new(update(1, 1))));
    world.arrive(3, get("a"), 300);
    world.run(10);
    assert_snapshot!(world.trace);
    assert_eq!(world.answer(3), "Moved", "a released server is not used again in this term");
}

#[test]
fn long_request_does_not_keep_a_handed_over_server_from_short_ones() {
    let mut world = World::new(update(1, 1));
    world.fake.slow.insert(99, 2_000);
    world.arrive(1, Meta { fingerprint: 99, ..get("a") }, 9_000);
    world.run(1_000);
    world.input(Input::Update(Box::new(Update { handover: true, ..update(1, 1) })));
    for number in 10..20 {
        world.arrive(number, get("b"), 200);
        world.run(50);
    }
    world.run(600);
    world.arrive(30, get("b"), 200);
    let done = (10..20).filter(|number| world.answer(*number) == "done").count();
    assert_eq!((done, world.answer(1), world.answer(30)), (10, "done", "Moved"));
    assert!(world.trace.contains("ServerReleased"), "{}", world.trace);
}

#[test]
fn crashing_request_crashes_two_servers_at_most() {
    let mut world = World::new(update(1, 1));
    world.fake.crashing.insert(666);
    for round in 0..20 {
        world.arrive(100 + round, Meta { fingerprint: 666, ..get("a") }, 1_000);
        world.arrive(200 + round, get("b"), 1_000);
        world.run(200);
        let term = 2 + round;
        world.input(Input::Update(Box::new(update(term, 1))));
        world.run(300);
    }
    assert_eq!(world.fake.crashes, 2, "{}", world.trace);
    assert_eq!(world.answer(119), "Crashing");
    assert_eq!(world.answer(219), "done", "an unrelated request is not refused\n{}", world.trace);
}

#[test]
fn suspects_run_alone_until_cleared() {
    let mut world = World::new(update(1, 1));
    world.fake.service_ms = 30;
    world.fake.crashing.insert(666);
    world.fake.slow.insert(7, 40);
    world.arrive(1, Meta { fingerprint: 666, ..get("a") }, 1_000);
    world.arrive(2, Meta { fingerprint: 7, ..get("b") }, 1_000);
    world.run(100);
    world.fake.crashing.clear();
    world.input(Input::Update(Box::new(update(2, 1))));
    world.run(220);
    for (number, fingerprint) in [(3, 1), (4, 7), (5, 2), (6, 7), (7, 3)] {
        world.arrive(number, Meta { fingerprint, ..get("b") }, 1_000);
    }
    world.run(300);
    assert_snapshot!(world.trace);
}

#[test]
fn crash_beside_other_requests_adds_no_second_crash() {
    let mut world = World::new(update(1, 1));
    world.fake.crashing.insert(666);
    world.arrive(1, Meta { fingerprint: 666, ..get("a") }, 1_000);
    world.arrive(2, Meta { fingerprint: 7, ..get("b") }, 1_000);
    let elsewhere = Suspect { print: 7, deaths: 1, last_ms: EPOCH_MS, cleared: false };
    let next = Update { suspects: vec![elsewhere], ..update(1, 1) };
    world.input(Input::Update(Box::new(next)));
    world.run(100);
    let deaths = world.suspects.iter().map(|suspect| (suspect.print, suspect.deaths));
    assert_eq!(deaths.collect::<Vec<_>>(), [(666, 1), (7, 1)]);
}

#[test]
fn suspicion_of_other_holders_counts() {
    let suspect = |deaths| Suspect { print: 5, deaths, last_ms: EPOCH_MS, cleared: false };
    let mut known = update(1, 1);
    known.suspects.push(suspect(2));
    let mut world = World::new(known);
    world.arrive(1, Meta { fingerprint: 5, ..get("a") }, 100);
    assert_eq!(world.answer(1), "Crashing");
    world.run(3_600_000);
    world.arrive(2, Meta { fingerprint: 5, ..get("a") }, 100);
    world.run(50);
    assert_eq!(world.answer(2), "done", "a request is refused for an hour after its last crash");
}

#[test]
fn refused_connections_mean_a_lost_server() {
    let mut world = World::new(update(1, 1));
    world.fake.restart_ms = None;
    world.run(400);
    world.trace.clear();
    let since = world.ms;
    world.fake.crash(world.ms);
    world.run(400);
    assert_snapshot!(world.trace);
    let lost = lost_at(&world).expect("the loss is reported");
    assert!(lost - since <= 400, "lost after {} ms", lost - since);
}

#[test]
fn frozen_server_is_lost_and_comes_back_under_a_new_term() {
    let mut world = World::new(update(1, 1));
    world.arrive(1, post("a", "x"), 2_000);
    world.arrive(2, get("b"), 2_000);
    world.arrive(3, get("b"), 2_000);
    world.run(1);
    world.fake.frozen = true;
    let since = world.ms;
    world.run(600);
    let lost = lost_at(&world).expect("the loss is reported");
    assert!(lost - since <= 450, "lost after {} ms", lost - since);
    world.fake.frozen = false;
    world.run(300);
    world.arrive(4, get("b"), 100);
    world.run(20);
    world.input(Input::Update(Box::new(update(2, 1))));
    world.run(10);
    world.arrive(5, get("b"), 100);
    world.run(20);
    assert_snapshot!(world.trace);
    assert_eq!(world.answer(4), "Moved", "its slices may belong to others by now");
    assert_eq!(world.answer(5), "done");
}

#[test]
fn dedup_state_of_a_lost_server_is_handed_over_once() {
    let slice = slice_of("a", 4);
    for through in [vec![gone(slice)], vec![moving(slice), gone(slice)]] {
        let mut world = World::new(update(1, 1));
        world.arrive(1, post("a", "x"), 300);
        world.run(3);
        world.fake.crash(world.ms);
        world.run(100);
        for input in through {
            world.input(input);
            world.run(20);
        }
        let ids: Vec<&str> = world
            .handed
            .iter()
            .flat_map(|state| state.entries.iter().map(|known| known.id.id.as_str()))
            .collect();
        assert_eq!(ids, ["x"], "{}", world.trace);
    }
}

#[test]
fn slow_answers_and_a_paused_process_are_no_loss() {
    let mut world = World::new(update(1, 1));
    world.fake.service_ms = 3_000;
    world.arrive(1, get("a"), 5_000);
    world.arrive(2, get("a"), 5_000);
    world.run(1_000);
    world.ms += 10_000;
    world.run(100);
    assert_eq!(lost_at(&world), None);

    world.fake.frozen = true;
    world.probes = 0;
    while world.probes < 2 {
        world.run(1);
    }
    world.fake.frozen = false;
    world.ms += 10_000;
    world.run(100);
    assert_eq!(lost_at(&world), None, "this process was paused, not the server");
}

#[test]
fn lapsed_lease_starts_nothing() {
    let mut world = World::new(update(1, 1));
    world.fake.service_ms = 450;
    for number in 1..5 {
        world.arrive(number, get("a"), 2_000);
    }
    world.leased = false;
    world.run(460);
    world.arrive(5, get("a"), 2_000);
    world.run(20);
    world.leased = true;
    world.run(20);
    world.arrive(6, get("a"), 2_000);
    world.run(150);
    assert_snapshot!(world.trace);
}

#[test]
fn leaving_server_gets_no_new_work() {
    let mut world = World::new(update(1, 1));
    world.fake.leaving = true;
    for number in 0..50 {
        world.arrive(number, get("a"), 500);
        world.run(50);
    }
    let reported = world.trace.contains("ServerLeaving");
    assert!(reported && world.answer(39) == "Moved", "{}", world.trace);
}

#[test]
fn drained_unkeyed_server_finishes_what_runs() {
    let unkeyed = Update { slice_count: 0, slices: Vec::new(), ..update(1, 1) };
    let mut world = World::cold(unkeyed.clone(), 0, Default::default(), Policy::default());
    let request = || Meta { place: None, ..get("a") };
    world.fake.service_ms = 200;
    world.run(30);
    world.arrive(1, request(), 1_000);
    world.arrive(2, request(), 1_000);
    world.run(10);
    let mut drained = unkeyed;
    drained.server.state = ServerState::Draining;
    world.input(Input::Update(Box::new(drained)));
    world.arrive(3, request(), 1_000);
    world.run(300);
    assert_eq!((world.answer(1), world.answer(2), world.answer(3)), ("done", "Moved", "Moved"));
}

#[test]
fn long_requests_leave_a_slot() {
    let mut world = World::new(update(1, 1));
    world.fake.slow.insert(99, 2_000);
    let long = || Meta { fingerprint: 99, customer: "auditor".into(), ..get("a") };
    world.arrive(1, long(), 9_000);
    world.run(2_100);
    world.arrive(2, long(), 9_000);
    world.arrive(3, long(), 9_000);
    world.run(5);
    for number in 10..20 {
        world.arrive(number, get("b"), 200);
        world.run(20);
    }
    let done = (10..20).filter(|number| world.answer(*number) == "done").count();
    assert_eq!(done, 10, "{}", world.trace);
}

#[test]
fn single_key_elsewhere_is_not_served_with_its_slice() {
    let mut excluded = update(1, 1);
    excluded.excluded.push("a".into());
    let mut world = World::new(excluded);
    world.arrive(1, get("a"), 100);
    assert_eq!(world.answer(1), "Moved");
    world.run(10_000);
    let issued = Some(Wall(EPOCH_MS + world.ms - 1_000));
    world.input(Input::Update(Box::new(update(1, 1))));
    world.run(10);
    world.arrive(2, get("a"), 100);
    world.arrive(3, Meta { first: false, issued, ..post("a", "x") }, 100);
    world.arrive(4, Meta { first: false, issued, ..post("b", "x") }, 100);
    world.run(30);
    assert_eq!((world.answer(2), world.answer(3)), ("done", "MaybeRan"));
    assert_eq!(world.answer(4), "done", "only the single key was elsewhere");
}

#[test]
fn slice_owned_elsewhere_has_a_gap_in_its_dedup_state() {
    let mut world = World::new(update(1, 1));
    world.run(10_000);
    let issued = Some(Wall(EPOCH_MS + world.ms - 1_000));
    let resent = || Meta { first: false, issued, ..post("a", "x") };
    world.input(Input::Update(Box::new(update(1, 3))));
    world.arrive(1, resent(), 100);
    assert_eq!(world.answer(1), "MaybeRan", "two changes of the owner were missed");

    let mut world = World::new(update(1, 1));
    world.run(10_000);
    world.input(Input::Update(Box::new(update(2, 2))));
    world.arrive(1, resent(), 100);
    world.run(30);
    assert_eq!(world.answer(1), "done", "no other server can have owned it in between");
}

#[test]
fn work_waits_until_its_grant_is_acknowledged() {
    let mut world = World::new(update(1, 1));
    world.input(Input::Update(Box::new(update(1, 2))));
    world.arrive(1, get("a"), 300);
    world.run(30);
    assert_snapshot!(world.trace);
}

#[test]
fn only_requests_in_flight_are_suspected() {
    let mut world = World::new(update(1, 1));
    world.fake.crashing.insert(666);
    for (number, fingerprint) in [(1, 666), (2, 2), (3, 3), (4, 4)] {
        world.arrive(number, Meta { fingerprint, ..get("b") }, 1_000);
    }
    world.run(100);
    let prints: Vec<u64> = world.suspects.iter().map(|suspect| suspect.print).collect();
    assert_eq!(prints, [666, 2]);
}

/// Returns when the server was first reported as lost.
fn lost_at(world: &World) -> Option<u64> {
    let line = world.trace.lines().find(|line| line.contains("ServerLost {"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Returns the update in which a slice is about to move to another server.
fn moving(slice: Slice) -> Input {
    let mut next = update(1, 1);
    for (of, owner) in &mut next.slices {
        if *of == slice {
            *owner = Owner { next: Some(ServerId(2)), ..owner.clone() };
        }
    }
    Input::Update(Box::new(next))
}

/// Returns the update in which a slice belongs to another server.
fn gone(slice: Slice) -> Input {
    let mut next = update(1, 1);
    next.slices.retain(|(of, _)| *of != slice);
    Input::Update(Box::new(next))
}
