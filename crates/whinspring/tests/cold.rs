//! Requests that cold servers get from several gates, within their bound in any second.

use {
    std::time::Duration,
    whinspring::{
        cold::{ColdLimit, Members, Seat},
        gate::{Decision, Gate, PendingRequest, ServerOutcome, Ticket},
        limits::{Pace, Rate, Spacing},
        name::Name,
        time::{Tick, Wall},
    },
};

/// Limits: the rate of a server, the overrun and the slack.
const LIMITS: [(f64, f64, f64); 7] = [
    (4.0, 1.5, 2.0),
    (2.0, 1.5, 3.0),
    (10.0, 1.2, 3.0),
    (7.5, 1.3, 1.0),
    (1.0, 1.5, 1.0),
    (0.5, 2.0, 2.0),
    (12.0, 0.8, 2.0),
];

/// Length of a play in milliseconds.
const PLAY_MS: u64 = 30_000;

const SECOND: Duration = Duration::from_secs(1);

fn limit((rate, overrun, slack): (f64, f64, f64)) -> ColdLimit {
    ColdLimit::new(Rate::new(rate).unwrap(), overrun, slack).unwrap()
}

fn spacing(limit: ColdLimit, seat: Seat) -> Spacing {
    limit.spacing(seat, Tick::default(), Wall(0))
}

/// Returns the most starts within a second, its end included.
fn most_in_second(starts: &mut [Tick]) -> usize {
    starts.sort();
    let within =
        |from: usize| starts[from..].iter().take_while(|at| **at <= starts[from] + SECOND).count();
    (0..starts.len()).map(within).max().unwrap_or(0)
}

/// Returns the starts of a gate that has more requests than it may start, from a point in time on.
fn starts(pace: &mut Pace, from: u64, until: u64) -> Vec<Tick> {
    let times = (from..until).map(Tick::from_millis);
    times
        .filter(|now| {
            let open = pace.is_open(*now);
            if open {
                pace.record_start(*now);
            }
            open
        })
        .collect()
}

/// Guards against two gates, each within the rate, that together exceed the bound: after an idle time
/// both start what they may, while nodes differ on where the gate is.
#[test]
fn two_gates_keep_the_bound() {
    for numbers in LIMITS {
        let limit = limit(numbers);
        let spacing = spacing(limit, Seat::Elected);
        for idle in [0, 20, 250, 5_000] {
            let mut all = starts(&mut Pace::new(spacing, Tick::default()), 5_000, PLAY_MS);
            let second = Tick::from_millis(5_000 - idle);
            all.extend(starts(&mut Pace::new(spacing, second), 5_000, PLAY_MS));
            let most = most_in_second(&mut all) as f64;
            assert!(most <= limit.bound(), "{numbers:?}: {most} in a second");
        }
    }
}

/// A limit so tight that it would leave two gates nothing is no reason for none: one gate uses the
/// rate as far as the other part of the bound allows.
#[test]
fn one_gate_uses_the_rate() {
    for (numbers, expected) in LIMITS.into_iter().zip([3.96, 2.0, 6.93, 4.95, 0.99, 0.5, 4.95]) {
        let spacing = spacing(limit(numbers), Seat::Elected);
        let count = starts(&mut Pace::new(spacing, Tick::default()), 0, PLAY_MS).len();
        let seconds = PLAY_MS as f64 / 1_000.0;
        assert!(
            (count as f64 - expected * seconds).abs() <= 1.0 + seconds * 0.05,
            "{numbers:?}: {count}"
        );
        assert!((spacing.per_second() - expected).abs() < 1e-9, "{numbers:?}: {spacing:?}");
    }
}

/// Guards against a gate that gives a server what another one has just given it: the gate moves every
/// few hundred milliseconds.
#[test]
fn a_gate_that_moves_keeps_the_bound() {
    for numbers in LIMITS {
        let limit = limit(numbers);
        let spacing = spacing(limit, Seat::Elected);
        let mut paces: Vec<Pace> = (0..5).map(|_| Pace::new(spacing, Tick::default())).collect();
        let mut all = Vec::new();
        let mut from = 0;
        for (turn, length) in [130, 400, 900, 250, 60].into_iter().cycle().take(80).enumerate() {
            // The former gate goes on for a while.
            all.extend(starts(&mut paces[turn % 2], from, from + length));
            from += length * 4 / 5;
        }
        let most = most_in_second(&mut all) as f64;
        assert!(most <= limit.bound(), "{numbers:?}: {most} in a second");
    }
}

/// Guards against gates that begin with a burst: all nodes restart, again and again, and each time
/// the gate begins anew on one of them while the former one has used its burst.
#[test]
fn a_restart_of_all_nodes_keeps_the_bound() {
    for numbers in LIMITS {
        let limit = limit(numbers);
        let spacing = spacing(limit, Seat::Elected);
        let mut all = Vec::new();
        for restart in 0..20 {
            let from = restart * 700;
            let mut pace = Pace::new(spacing, Tick::from_millis(from));
            all.extend(starts(&mut pace, from, from + 700));
        }
        let most = most_in_second(&mut all) as f64;
        assert!(most <= limit.bound(), "{numbers:?}: {most} in a second");
    }
}

/// Guards against the sum of many gates: no node is connected to another one, their wall clocks differ
/// by up to two seconds, and one gate is still where all had looked for it.
#[test]
fn gates_of_separate_nodes_take_turns() {
    for numbers in LIMITS {
        let limit = limit(numbers);
        for count in [2usize, 9, 88] {
            let mut all = Vec::new();
            for index in 0..count {
                let skew = index as u64 * 7_919 % 2_000;
                let seat = Seat::Separate { index, count };
                let now = Tick::from_millis(index as u64 * 13);
                let spacing =
                    limit.spacing(seat, now, Wall(1_780_000_000_000 + now.as_millis() + skew));
                let mut pace = Pace::new(spacing, Tick::default());
                all.extend(starts(&mut pace, 0, PLAY_MS * 4));
            }
            assert!(!all.is_empty(), "{numbers:?}: {count} nodes start nothing");
            all.extend(starts(
                &mut Pace::new(spacing(limit, Seat::Elected), Tick::default()),
                0,
                PLAY_MS,
            ));
            let most = most_in_second(&mut all) as f64;
            assert!(most <= limit.bound(), "{numbers:?}, {count} nodes: {most} in a second");
        }
    }
}

/// A hundred servers return cold at once while 1.6 times what they take warm arrives, at two gates.
#[test]
fn a_hundred_servers_that_return_cold_keep_their_bound() {
    let limit = limit((4.0, 1.5, 2.0));
    let (servers, service_ms) = (100u64, 130u64);
    let names: Vec<Name> = (0..servers).map(|number| format!("s{number}").into()).collect();
    let mut gates = [Gate::default(), Gate::default()];
    let mut starts: Vec<Vec<Tick>> = vec![Vec::new(); names.len()];
    let mut running: Vec<(Tick, usize, Ticket)> = Vec::new();
    let mut number = 0;
    let per_ms = servers as f64 * 2.0 / service_ms as f64 * 1.6;
    let mut due = 0.0;
    for now in (0..6_000).map(Tick::from_millis) {
        running.retain(|(end, gate, ticket)| {
            let ended = *end <= now;
            if ended {
                gates[*gate].complete(ticket, ServerOutcome::Completed, now);
            }
            !ended
        });
        due += per_ms;
        while due >= 1.0 {
            due -= 1.0;
            number += 1;
            let ticket = Ticket { node: "n1".into(), number };
            gates[number as usize % 2].enqueue(PendingRequest {
                ticket,
                domain: "a".into(),
                priority: 1,
                target: now + Duration::from_millis(500),
                deadline: now + Duration::from_millis(600),
                avoid: None,
                exclude: Vec::new(),
            });
        }
        if now.as_millis() % 20 != 0 {
            continue;
        }
        for (index, gate) in gates.iter_mut().enumerate() {
            for name in &names {
                gate.set_server(name, &"a".into(), 2, true);
                gate.set_spacing(name, Some(limit.spacing(Seat::Elected, now, Wall(0))), now);
            }
            for decision in gate.decide(now) {
                if let Decision::Admit(ticket, server) = decision {
                    let place = names.iter().position(|name| *name == server).unwrap();
                    starts[place].push(now);
                    running.push((now + Duration::from_millis(service_ms), index, ticket));
                }
            }
        }
    }
    for (name, starts) in names.iter().zip(&mut starts) {
        let most = most_in_second(starts);
        assert!(most as f64 <= limit.bound(), "{name}: {most} in a second");
        assert!(starts.len() >= 12, "{name}: {} started", starts.len());
    }
}

#[test]
fn a_service_without_a_rate_has_no_cold_limit() {
    assert_eq!(ColdLimit::new(Rate::ZERO, 1.5, 2.0), None);
    assert_eq!(ColdLimit::new(Rate::new(2.0).unwrap(), 0.0, 2.0), None);
}

/// A server that names a limit while it is cold gets the lower rate of both.
#[test]
fn the_lower_of_both_limits_counts() {
    let cold = spacing(limit((4.0, 1.5, 2.0)), Seat::Elected);
    for (named, expected) in [(1.0, 1.0), (50.0, 3.96)] {
        let both = Spacing::from(Rate::new(named).unwrap()).combine(cold);
        assert!((both.per_second() - expected).abs() < 1e-9, "{named}: {both:?}");
        assert!((both.burst - 1.0).abs() < 1e-9, "{named}: {both:?}");
    }
}

/// Guards against a node that is cut off and takes itself for the one that all nodes choose, also after
/// it has dropped the links to the others.
#[test]
fn only_a_node_that_is_connected_to_most_others_is_elected() {
    let names: Vec<Name> = (1..=5).map(|number| format!("n{number}").into()).collect();
    let (own, others) = names.split_first().unwrap();
    let now = Tick::from_millis(1_000);
    let mut members = Members::default();
    let update = |members: &mut Members, known: &[Name], live: usize, seconds: u64| {
        let known = known.iter().enumerate().map(|(index, name)| (name, index < live));
        members.update(own, known, now + Duration::from_secs(seconds));
    };
    assert_eq!(members.seat(true), Seat::Unknown);
    update(&mut members, &[], 0, 0);
    assert_eq!(members.seat(true), Seat::Unknown);
    members.record_listing();
    assert_eq!(members.seat(true), Seat::Unknown, "its links to the others are not known yet");
    update(&mut members, &[], 0, 0);
    assert_eq!(members.seat(true), Seat::Elected, "it is the only node");
    let separate = Seat::Separate { index: 0, count: 5 };
    update(&mut members, others, 0, 0);
    assert_eq!(members.seat(true), separate, "no other one has responded yet");
    update(&mut members, others, 4, 0);
    assert_eq!((members.seat(true), members.seat(false)), (Seat::Elected, separate));
    update(&mut members, others, 2, 0);
    assert_eq!(members.seat(true), Seat::Elected);
    update(&mut members, others, 1, 0);
    assert_eq!(members.seat(true), separate);
    update(&mut members, &[], 0, 60);
    assert_eq!(members.seat(true), separate, "the others may still run gates");
    update(&mut members, &[], 0, 600);
    assert_eq!(members.seat(true), Seat::Elected);
}
