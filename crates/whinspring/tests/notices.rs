//! Notices of servers that leave or want nothing, with a manually advanced clock.

use {
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    whinspring::{
        name::Name,
        notices::{
            Life, MAX_PAUSE, Notices, Purpose, Refusal, Source, UNREADABLE_PAUSE, Wait, parse_wait,
        },
        time::Tick,
    },
};

const DRAIN: Duration = Duration::from_millis(2_000);

const SERVER: &str = "s1";

fn life(start_ms: u64) -> Life {
    Life { start_ms, addr: SocketAddr::from(([10, 0, 0, 1], 80)) }
}

fn at(ms: u64) -> Tick {
    Tick::from_millis(ms)
}

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns notices that list the server from the start.
fn listed() -> Notices {
    let mut notices = Notices::default();
    notices.record_life(&SERVER.into(), life(1), at(0));
    notices
}

fn check(notices: &Notices, purpose: Purpose, ms: u64) -> Result<(), Refusal> {
    notices.check(&SERVER.into(), purpose, at(ms), DRAIN)
}

fn leave(notices: &mut Notices, start_ms: u64, ms: u64, source: Source) -> bool {
    notices.record_leaving(&SERVER.into(), life(start_ms), at(ms), source)
}

fn pause(notices: &mut Notices, ms: u64, wait: Duration) -> bool {
    notices.record_pause(&SERVER.into(), life(1), at(ms), wait, Source::Response)
}

#[test]
fn a_leaving_server_is_used_until_its_drain_ends() {
    let mut notices = listed();
    assert!(leave(&mut notices, 1, 1_000, Source::Response));
    for purpose in [Purpose::PlaceKeyed, Purpose::Start, Purpose::Write] {
        assert_eq!(check(&notices, purpose, 2_999), Ok(()), "{purpose:?}");
        assert_eq!(check(&notices, purpose, 3_000), Err(Refusal::Left), "{purpose:?}");
    }
    assert_eq!(check(&notices, Purpose::Place, 1_000), Err(Refusal::Left), "others serve at once");
}

#[test]
fn the_earliest_notice_of_any_source_counts() {
    let mut notices = listed();
    assert!(leave(&mut notices, 1, 1_000, Source::Response));
    assert!(!leave(&mut notices, 1, 1_500, Source::Store));
    assert!(leave(&mut notices, 1, 800, Source::Peer), "an earlier time is news");
    assert_eq!(notices.leaving_since(&SERVER.into()), Some(at(800)));
    assert_eq!(check(&notices, Purpose::Write, 2_800), Err(Refusal::Left));
    let counts = notices.take_counts();
    assert_eq!((counts.get(&Source::Response), counts.get(&Source::Peer)), (Some(&1), Some(&1)));
    assert_eq!(counts.get(&Source::Store), None);
}

/// A response may arrive after the drain has ended, on a request that took long.
#[test]
fn a_notice_later_than_the_drain_changes_nothing() {
    let mut notices = listed();
    leave(&mut notices, 1, 1_000, Source::Store);
    assert!(!leave(&mut notices, 1, 3_500, Source::Response));
    assert_eq!(check(&notices, Purpose::Write, 3_500), Err(Refusal::Left));
}

#[test]
fn an_entry_that_says_ready_takes_no_notice_back() {
    let mut notices = listed();
    leave(&mut notices, 1, 1_000, Source::Response);
    notices.record_life(&SERVER.into(), life(1), at(2_000));
    assert_eq!(check(&notices, Purpose::Write, 3_000), Err(Refusal::Left));
}

#[test]
fn a_new_life_is_not_bound_by_what_the_former_one_said() {
    let mut notices = listed();
    leave(&mut notices, 1, 1_000, Source::Response);
    pause(&mut notices, 1_000, millis(9_000));
    notices.record_life(&SERVER.into(), life(2), at(3_500));
    assert_eq!(check(&notices, Purpose::Start, 3_500), Ok(()));
    assert!(!leave(&mut notices, 1, 3_600, Source::Peer), "a hint on the former life");
    assert_eq!(check(&notices, Purpose::Place, 3_600), Ok(()));
    let moved = Life { addr: SocketAddr::from(([10, 0, 0, 2], 80)), ..life(2) };
    leave(&mut notices, 2, 3_700, Source::Response);
    notices.record_life(&SERVER.into(), moved, at(3_800));
    assert_eq!(check(&notices, Purpose::Place, 3_800), Ok(()));
}

/// Another node may learn of a server earlier than this one.
#[test]
fn a_notice_of_a_run_that_is_not_listed_yet_counts_once_it_is() {
    let mut notices = Notices::default();
    assert!(!leave(&mut notices, 1, 800, Source::Peer));
    assert!(!leave(&mut notices, 1, 900, Source::Peer));
    notices.record_life(&SERVER.into(), life(1), at(1_000));
    assert_eq!(notices.leaving_since(&SERVER.into()), Some(at(800)));
    assert!(!leave(&mut notices, 2, 1_100, Source::Peer));
    notices.record_life(&SERVER.into(), life(3), at(1_200));
    assert_eq!(notices.leaving_since(&SERVER.into()), None, "another run");
    assert!(!leave(&mut notices, 4, 1_300, Source::Peer));
    notices.evict(at(2_000), |_| true);
    notices.evict(at(63_000), |_| true);
    notices.record_life(&SERVER.into(), life(4), at(63_000));
    assert_eq!(notices.leaving_since(&SERVER.into()), None, "kept without end");
}

/// While the store is down entries expire, and are back after its return.
#[test]
fn a_notice_outlives_the_entry_for_a_while() {
    let mut notices = listed();
    leave(&mut notices, 1, 1_000, Source::Response);
    notices.evict(at(20_000), |_| false);
    notices.record_life(&SERVER.into(), life(1), at(20_000));
    assert_eq!(check(&notices, Purpose::Write, 20_000), Err(Refusal::Left));
    notices.evict(at(81_000), |_| false);
    assert_eq!(notices.leaving_since(&SERVER.into()), None, "kept without end");
}

#[test]
fn a_paused_server_gets_nothing_until_its_time_ends() {
    let mut notices = listed();
    assert!(pause(&mut notices, 1_000, millis(500)));
    assert_eq!(check(&notices, Purpose::Write, 1_499), Err(Refusal::Paused(millis(1))));
    assert_eq!(check(&notices, Purpose::Start, 1_200), Err(Refusal::Paused(millis(300))));
    assert_eq!(check(&notices, Purpose::Place, 1_200), Ok(()), "other nodes may send");
    assert_eq!(notices.paused(at(1_200)), [SERVER]);
    assert!(!pause(&mut notices, 1_100, millis(200)), "a shorter time shortens nothing");
    assert!(pause(&mut notices, 1_100, millis(800)));
    assert_eq!(check(&notices, Purpose::Start, 1_800), Err(Refusal::Paused(millis(100))));
    assert_eq!(check(&notices, Purpose::Start, 1_900), Ok(()));
    assert!(notices.paused(at(1_900)).is_empty());
}

#[test]
fn load_returns_by_doubling() {
    let mut notices = listed();
    pause(&mut notices, 0, millis(1_000));
    let server = Name::from(SERVER);
    let mut started = Vec::new();
    for step in 0..7 {
        let now = 1_200 + step * 100;
        let mut count = 0;
        while count < 100 && check(&notices, Purpose::Start, now).is_ok() {
            notices.record_start(&server, at(now));
            count += 1;
        }
        started.push(count);
    }
    assert_eq!(started, [1, 2, 4, 8, 16, 32, 100]);
}

#[test]
fn the_next_start_of_a_returning_server_is_told() {
    let mut notices = listed();
    pause(&mut notices, 0, millis(1_000));
    notices.record_start(&SERVER.into(), at(1_000));
    assert_eq!(check(&notices, Purpose::Start, 1_030), Err(Refusal::Ramping(millis(70))));
    assert_eq!(check(&notices, Purpose::Write, 1_030), Ok(()), "it has been chosen already");
}

#[test]
fn every_value_of_retry_after_has_an_outcome() {
    let exact = |ms| Some(Wait { time: millis(ms), exact: true });
    let unreadable = Some(Wait { time: UNREADABLE_PAUSE, exact: false });
    let bounded = Some(Wait { time: MAX_PAUSE, exact: false });
    let cases: [(&[&str], Option<Wait>); 15] = [
        (&[], None),
        (&["2"], exact(2_000)),
        (&[" 0.25 "], exact(250)),
        (&["0"], exact(0)),
        (&["-0"], exact(0)),
        (&["300"], exact(300_000)),
        (&["301"], bounded),
        (&["1e300"], bounded),
        (&["99999999999999999999999"], bounded),
        (&["-1"], unreadable),
        (&["NaN"], unreadable),
        (&["inf"], unreadable),
        (&[""], unreadable),
        (&["Fri, 04 Dec 2026 07:28:00 GMT"], unreadable),
        (&["0.5", "3", "1"], exact(3_000)),
    ];
    for (values, expected) in cases {
        let found = parse_wait(values.iter().map(|value| value.as_bytes()));
        assert_eq!(found, expected, "{values:?}");
    }
    assert_eq!(parse_wait([&[0xff_u8, 0xfe][..]].into_iter()), unreadable);
}

/// Time in which requests that were sent before a refusal may still arrive.
const SLACK: Duration = Duration::from_millis(500);

/// Requests of a node that may arrive between the slack and the end of a refusal.
const ALLOWED: usize = 2;

/// A server that is too small for its load and turns the excess away for a while, and nodes that
/// offer requests without end.
struct Overload {
    nodes: Vec<Notices>,
    random: ChaCha8Rng,
    /// Requests on their way to the server, by time of arrival, with the sending node.
    arriving: BTreeMap<Tick, Vec<usize>>,
    /// Refusals on their way back, with the node, when the server answered, and the time stated.
    refused: BTreeMap<Tick, Vec<(usize, Tick, Duration)>>,
    /// Arrivals by node.
    arrivals: Vec<Vec<Tick>>,
    /// Refusals by node: from when to when nothing may arrive.
    quiet: Vec<Vec<(Tick, Tick)>>,
    /// When the requests end that the server runs.
    running: Vec<Tick>,
    /// Nodes that are frozen, and until when.
    frozen: BTreeMap<usize, Tick>,
}

impl Overload {
    const SLOTS: usize = 8;

    const RUN_TIME: Duration = Duration::from_millis(40);

    fn new(nodes: usize, seed: u64) -> Self {
        Self {
            nodes: (0..nodes).map(|_| listed()).collect(),
            random: ChaCha8Rng::seed_from_u64(seed),
            arriving: BTreeMap::new(),
            refused: BTreeMap::new(),
            arrivals: vec![Vec::new(); nodes],
            quiet: vec![Vec::new(); nodes],
            running: Vec::new(),
            frozen: BTreeMap::new(),
        }
    }

    fn delay(&mut self) -> Duration {
        millis(self.random.random_range(1..20))
    }

    /// Lets each node send what it may at this moment, at most `offered` requests.
    fn send(&mut self, now: Tick, offered: usize) {
        let server = Name::from(SERVER);
        for node in 0..self.nodes.len() {
            if self.frozen.get(&node).is_some_and(|until| now < *until) {
                continue;
            }
            for _ in 0..offered {
                if self.nodes[node].check(&server, Purpose::Start, now, DRAIN).is_err() {
                    break;
                }
                self.nodes[node].record_start(&server, now);
                let arrival = now + self.delay();
                self.arriving.entry(arrival).or_default().push(node);
            }
        }
    }

    /// Lets the server take what arrives and refuse what it has no slot for.
    fn arrive(&mut self, now: Tick) {
        self.running.retain(|end| *end > now);
        for node in self.arriving.remove(&now).unwrap_or_default() {
            self.arrivals[node].push(now);
            if self.running.len() < Self::SLOTS {
                self.running.push(now + Self::RUN_TIME);
                continue;
            }
            let wait = millis(self.random.random_range(600..3_000));
            let back = now + self.delay();
            self.refused.entry(back).or_default().push((node, now, wait));
        }
    }

    /// Delivers refusals to the nodes that are not frozen.
    fn deliver(&mut self, now: Tick) {
        for (node, answered, wait) in self.refused.remove(&now).unwrap_or_default() {
            match self.frozen.get(&node) {
                Some(until) if now < *until => {
                    self.refused.entry(*until).or_default().push((node, *until, wait));
                }
                _ => {
                    self.quiet[node].push((answered + SLACK, answered + wait));
                    pause_node(&mut self.nodes[node], now, wait);
                }
            }
        }
    }

    /// Returns the most arrivals of one node in a time in which nothing may arrive.
    fn worst(&self) -> usize {
        let count = |node: usize, (from, to): (Tick, Tick)| {
            self.arrivals[node].iter().filter(|at| **at > from && **at < to).count()
        };
        let spans = |node: usize| self.quiet[node].iter().map(move |span| count(node, *span));
        (0..self.nodes.len()).flat_map(spans).max().unwrap_or_default()
    }
}

fn pause_node(notices: &mut Notices, now: Tick, wait: Duration) {
    notices.record_pause(&SERVER.into(), life(1), now, wait, Source::Response);
}

#[test]
fn a_server_that_turns_requests_away_is_left_alone_by_each_node() {
    for (nodes, offered) in [(2, 40), (9, 10), (195, 1)] {
        for seed in 0..2 {
            let mut overload = Overload::new(nodes, seed);
            for ms in 1..12_000 {
                overload.send(at(ms), offered);
                overload.arrive(at(ms));
                overload.deliver(at(ms));
            }
            let refusals: usize = overload.quiet.iter().map(Vec::len).sum();
            assert!(refusals > nodes, "{nodes} nodes were refused {refusals} times");
            assert!(overload.worst() <= ALLOWED, "{nodes} nodes, seed {seed}");
            let served = overload.arrivals.iter().all(|arrivals| arrivals.len() > 2);
            assert!(served, "{nodes} nodes, seed {seed}: a node did not come back");
        }
    }
}

/// A frozen node learns of a refusal late, and its clock has moved on when it runs again.
#[test]
fn a_node_that_was_frozen_keeps_to_what_it_was_told() {
    for (from, until) in [(700, 1_900), (1_000, 6_000), (40, 3_000)] {
        let mut overload = Overload::new(9, from);
        for ms in 1..12_000 {
            if ms == from {
                overload.frozen.insert(0, at(until));
            }
            overload.deliver(at(ms));
            overload.send(at(ms), 10);
            overload.arrive(at(ms));
        }
        assert!(overload.worst() <= ALLOWED, "frozen from {from} to {until}");
    }
}

#[test]
fn a_node_frozen_past_the_end_of_a_pause_starts_with_one_request() {
    let mut notices = listed();
    pause(&mut notices, 1_000, millis(1_000));
    let thawed = 60_000;
    assert_eq!(check(&notices, Purpose::Start, thawed), Ok(()));
    notices.record_start(&SERVER.into(), at(thawed));
    assert!(check(&notices, Purpose::Start, thawed).is_err());
}

#[test]
fn a_node_frozen_past_the_end_of_a_drain_sends_nothing() {
    let mut notices = listed();
    leave(&mut notices, 1, 1_000, Source::Response);
    assert_eq!(check(&notices, Purpose::Write, 60_000), Err(Refusal::Left));
}
