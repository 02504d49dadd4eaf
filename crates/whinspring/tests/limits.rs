//! What nodes know of the limits of servers.

use {
    std::{net::SocketAddr, time::Duration},
    whinspring::{
        limits::{Limits, Named, Pace, Rate, Statement, parse_limit},
        name::Name,
        notices::Life,
        time::Tick,
    },
};

const SERVER: &str = "s1";

fn life(start_ms: u64) -> Life {
    Life { start_ms, addr: SocketAddr::from(([127, 0, 0, 1], 1)) }
}

fn statement(rate: Option<f64>, ms: u64) -> Statement {
    Statement { rate: rate.and_then(Rate::new), since: Tick::from_millis(ms) }
}

fn parse(values: &[&str]) -> Named {
    parse_limit(values.iter().map(|value| value.as_bytes()))
}

#[test]
fn the_lowest_readable_limit_counts() {
    let limit = |rate| Named::Limit(Rate::new(rate).unwrap());
    assert_eq!(parse(&[]), Named::None);
    assert_eq!(parse(&["2.4"]), limit(2.4));
    assert_eq!(parse(&[" 3 "]), limit(3.0));
    assert_eq!(parse(&["0"]), limit(0.0));
    assert_eq!(parse(&["3", "1.5", "2"]), limit(1.5));
    assert_eq!(parse(&["soon", "2"]), limit(2.0));
    assert_eq!(parse(&["2", "soon"]), limit(2.0));
    for text in ["", "soon", "-1", "NaN", "inf", "1e400"] {
        assert_eq!(parse(&[text]), Named::Unreadable, "{text}");
    }
}

#[test]
fn the_later_statement_counts() {
    let server = Name::from(SERVER);
    let mut limits = Limits::default();
    limits.record(&server, life(1), statement(Some(2.0), 1_000));
    limits.record(&server, life(1), statement(Some(5.0), 900));
    assert_eq!(limits.rate(&server, life(1)), Rate::new(2.0));
    limits.record(&server, life(1), statement(None, 950));
    assert_eq!(limits.rate(&server, life(1)), Rate::new(2.0), "it may have been sent before");
    limits.record(&server, life(1), statement(None, 1_100));
    assert_eq!(limits.rate(&server, life(1)), None);
    limits.record(&server, life(1), statement(Some(2.0), 1_050));
    assert_eq!(limits.rate(&server, life(1)), None, "it was lifted later");
}

#[test]
fn a_limit_binds_one_run_of_a_server() {
    let server = Name::from(SERVER);
    let mut limits = Limits::default();
    limits.record(&server, life(1), statement(Some(2.0), 1_000));
    assert_eq!(limits.rate(&server, life(2)), None);
    assert_eq!(limits.statement(&server, life(2)), None);
}

#[test]
fn what_needs_no_memory_is_forgotten() {
    let server = Name::from(SERVER);
    let mut limits = Limits::default();
    limits.record(&server, life(1), statement(None, 1_000));
    assert_eq!(limits.statement(&server, life(1)), None, "it never had a limit");
    limits.record(&server, life(1), statement(Some(2.0), 1_000));
    limits.evict(Tick::from_millis(1_000_000), |_| true);
    assert_eq!(limits.rate(&server, life(1)), Rate::new(2.0), "nothing has lifted it");
    limits.record(&server, life(1), statement(None, 2_000));
    limits.evict(Tick::from_millis(3_000), |_| true);
    assert!(limits.statement(&server, life(1)).is_some(), "others may still believe in it");
    limits.evict(Tick::from_millis(2_000) + Duration::from_secs(60), |_| true);
    assert_eq!(limits.statement(&server, life(1)), None);
    limits.record(&server, life(1), statement(Some(2.0), 3_000));
    limits.evict(Tick::from_millis(3_000), |_| false);
    assert_eq!(limits.statement(&server, life(1)), None, "it is not listed any more");
}

/// Returns the most starts within one span of `window`.
fn most_in_window(starts: &[Tick], window: Duration) -> usize {
    let after =
        |from: &Tick| starts.iter().filter(|at| *at >= from && **at <= *from + window).count();
    starts.iter().map(after).max().unwrap_or(0)
}

/// Requests come all the time: as many start as the server takes, and any four seconds hold no more
/// than the users' pages allow.
#[test]
fn requests_are_spaced() {
    for rate in [0.0, 0.5, 1.6, 2.4, 10.0] {
        let mut pace = Pace::new(Rate::new(rate).unwrap().share(1), Tick::default());
        let mut starts = Vec::new();
        for now in (0..20_000).map(Tick::from_millis) {
            if pace.is_open(now) {
                pace.record_start(now);
                starts.push(now);
            }
        }
        let most = most_in_window(&starts, Duration::from_secs(4)) as f64;
        assert!(most <= rate * 4.0 * 1.5 + 5.0, "{rate}: {most} in four seconds");
        let expected = rate.max(0.25) * 20.0;
        assert!(starts.len() as f64 >= expected - 1.0, "{rate}: {} started", starts.len());
    }
}

/// Hundreds of gates that each give a server their share of a limit near zero: together they start no
/// more than one gate would.
#[test]
fn shares_of_a_limit_near_zero_add_up_to_one_request_in_four_seconds() {
    for parts in [1, 9, 300] {
        let share = Rate::new(0.0).unwrap().share(parts);
        let mut pace = Pace::new(share, Tick::default());
        let starts = (0..4 * parts as u64).map(|s| Tick::from_millis(s * 1_000)).filter(|now| {
            let open = pace.is_open(*now);
            if open {
                pace.record_start(*now);
            }
            open
        });
        assert!(starts.count() <= 1, "{parts} parts");
    }
}

/// Requests come after a rest: what was not started before is started for one second at most.
#[test]
fn a_rest_does_not_add_up() {
    let mut pace = Pace::new(Rate::new(3.0).unwrap(), Tick::default());
    let now = Tick::from_millis(60_000);
    let started = (0..10).filter(|_| {
        let open = pace.is_open(now);
        if open {
            pace.record_start(now);
        }
        open
    });
    assert_eq!(started.count(), 3);
}

#[test]
fn a_changed_rate_counts_from_now_on() {
    let mut pace = Pace::new(Rate::new(1.0).unwrap(), Tick::default());
    pace.set_rate(Rate::new(10.0).unwrap(), Tick::from_millis(500));
    assert!(!pace.is_open(Tick::from_millis(540)));
    assert!(pace.is_open(Tick::from_millis(560)));
}
