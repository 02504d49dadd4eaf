//! A node's knowledge of its paths to the servers.

use {
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeSet, time::Duration},
    whinspring::{
        name::Name,
        reach::{Change, PROBE_INTERVAL, Reach, Target},
        time::Tick,
    },
};

const SEEDS: u64 = 200;

/// Names and failure domains of `count` servers in three failure domains.
fn servers(count: usize) -> Vec<(Name, Name)> {
    let domain = |index: usize| Name::from(["a", "b", "c"][index % 3]);
    (0..count).map(|index| (Name::from(format!("s{index:02}")), domain(index))).collect()
}

fn targets(servers: &[(Name, Name)]) -> Vec<Target<'_>> {
    servers.iter().map(|(name, domain)| Target { name, domain }).collect()
}

fn reach(seed: u64, known: usize) -> Reach {
    let mut reach = Reach::new(seed);
    reach.set_known(known);
    reach
}

fn at(ms: u64) -> Tick {
    Tick::from_millis(ms)
}

/// Fails connections to the first `count` servers, at `ms` and each millisecond after.
fn fail_opens(reach: &mut Reach, servers: &[(Name, Name)], count: usize, ms: u64) {
    for (index, (name, _)) in servers[..count].iter().enumerate() {
        reach.record_open(name, false, at(ms + index as u64));
    }
}

/// Runs a round of probes of which `reached` open, from `ms` on for 10 ms.
fn probe(
    reach: &mut Reach,
    servers: &[(Name, Name)],
    most: usize,
    ms: u64,
) -> (usize, Option<Change>) {
    let tried = reach.start_round(&targets(servers), at(ms)).len();
    (tried, reach.end_round(tried, most.min(tried), at(ms + 10)))
}

#[test]
fn failures_at_three_servers_without_a_success_are_suspect() {
    let servers = servers(12);
    let mut reach = reach(1, 12);
    reach.record_open(&servers[9].0, true, at(5));
    fail_opens(&mut reach, &servers, 2, 10);
    reach.record_open(&servers[0].0, false, at(14));
    assert!(!reach.is_suspect(), "failures of the same server count once");
    reach.record_open(&servers[9].0, true, at(15));
    fail_opens(&mut reach, &servers, 2, 20);
    assert!(!reach.is_suspect(), "a success between them ends the series");
    reach.record_open(&servers[2].0, false, at(30));
    assert!(reach.is_suspect());
    assert_eq!(reach.is_cut_off(), None, "nothing is confirmed without a probe");
}

#[test]
fn half_of_a_few_servers_are_enough_for_a_suspicion() {
    for (known, needed) in [(1, 1), (2, 1), (3, 2), (4, 2), (5, 3), (6, 3), (100, 3)] {
        let servers = servers(known);
        let mut reach = reach(1, known);
        fail_opens(&mut reach, &servers, needed - 1, 10);
        assert!(!reach.is_suspect(), "{known} servers");
        fail_opens(&mut reach, &servers, needed, 20);
        assert!(reach.is_suspect(), "{known} servers");
    }
}

#[test]
fn requests_without_a_response_are_suspect_though_connections_open() {
    let servers = servers(9);
    let mut reach = reach(1, 9);
    for (name, _) in &servers[..3] {
        reach.record_open(name, true, at(10));
        reach.record_no_response(name, at(20));
    }
    assert!(reach.is_suspect());
    reach.record_response(at(30));
    assert!(!reach.is_suspect());
}

#[test]
fn one_opened_probe_ends_a_suspicion() {
    let servers = servers(9);
    let mut reach = reach(1, 9);
    fail_opens(&mut reach, &servers, 3, 10);
    let (tried, change) = probe(&mut reach, &servers, 1, 20);
    assert_eq!((tried, change), (5, None));
    assert!(!reach.is_suspect());
    assert_eq!(reach.is_cut_off(), None);
}

#[test]
fn a_node_is_cut_off_since_the_first_failure_until_most_probes_open() {
    let servers = servers(9);
    let mut reach = reach(1, 9);
    reach.record_open(&servers[0].0, true, at(5));
    fail_opens(&mut reach, &servers, 3, 10);
    let (_, change) = probe(&mut reach, &servers, 0, 20);
    let Some(Change::Lost(evidence)) = change else { panic!("{change:?}") };
    assert_eq!((evidence.tried, evidence.failures, evidence.reached), (5, 3, 0));
    assert_eq!((evidence.since, evidence.last_success), (at(10), Some(at(5))));
    assert_eq!(reach.is_cut_off(), Some(at(10)));
    assert!(!reach.is_probe_due(at(40)));
    assert!(reach.is_probe_due(at(20) + PROBE_INTERVAL));
    reach.record_open(&servers[0].0, true, at(300));
    assert_eq!(probe(&mut reach, &servers, 2, 310).1, None, "two of five are not enough");
    assert_eq!(reach.is_cut_off(), Some(at(10)));
    let (_, change) = probe(&mut reach, &servers, 3, 600);
    let Some(Change::Regained(evidence)) = change else { panic!("{change:?}") };
    assert_eq!((evidence.reached, evidence.since), (3, at(10)));
    assert_eq!(reach.is_cut_off(), None);
    assert!(!reach.is_in_doubt());
    assert!(!reach.is_probe_due(at(2_000)));
}

#[test]
fn the_only_server_is_enough_to_be_back() {
    let servers = servers(1);
    let mut reach = reach(1, 1);
    fail_opens(&mut reach, &servers, 1, 10);
    assert!(matches!(probe(&mut reach, &servers, 0, 20).1, Some(Change::Lost(_))));
    assert!(matches!(probe(&mut reach, &servers, 1, 300).1, Some(Change::Regained(_))));
}

/// A connection of a request opened while the probes were under way.
#[test]
fn a_connection_opened_during_a_round_ends_the_suspicion() {
    let servers = servers(9);
    let mut reach = reach(1, 9);
    fail_opens(&mut reach, &servers, 3, 10);
    let tried = reach.start_round(&targets(&servers), at(20)).len();
    reach.record_open(&servers[8].0, true, at(100));
    fail_opens(&mut reach, &servers, 3, 110);
    assert_eq!(reach.end_round(tried, 0, at(320)), None);
    assert_eq!(reach.is_cut_off(), None);
}

/// All timeouts of a frozen process pass at once.
#[test]
fn a_round_during_which_the_process_was_frozen_tells_nothing() {
    let servers = servers(9);
    let mut reach = reach(1, 9);
    fail_opens(&mut reach, &servers, 3, 10);
    let tried = reach.start_round(&targets(&servers), at(20)).len();
    assert_eq!(reach.end_round(tried, 0, at(2_000)), None);
    assert_eq!(reach.is_cut_off(), None);
    assert!(reach.is_probe_due(at(2_000)), "it is repeated");
}

#[test]
fn probes_are_of_several_failure_domains() {
    for seed in 0..SEEDS {
        let mut all = servers(30);
        for (index, (_, domain)) in all.iter_mut().enumerate() {
            *domain = Name::from(if index < 28 { "a" } else { ["b", "c"][index - 28] });
        }
        let probed = reach(seed, 30).start_round(&targets(&all), at(10));
        let unique: BTreeSet<&Name> = probed.iter().collect();
        assert_eq!((probed.len(), unique.len()), (5, 5), "seed {seed}");
        let domain = |name: &Name| all.iter().find(|(known, _)| known == name).unwrap().1.clone();
        let domains: BTreeSet<Name> = probed.iter().map(domain).collect();
        assert_eq!(domains.len(), 3, "seed {seed}");
    }
}

/// The servers of one failure domain are never reached, and the others not between 10 s and 20 s.
#[test]
fn only_a_node_without_any_path_stays_cut_off() {
    const MAX_LAG: Duration = Duration::from_millis(3_000);
    for seed in 0..SEEDS {
        let all = servers(12);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut reach = reach(seed, 12);
        for ms in (0..30_000).step_by(20) {
            let has_paths = !(10_000..20_000).contains(&ms);
            let opens = |(_, domain): &(Name, Name)| has_paths && domain != "a";
            let server = &all[rng.random_range(0..12)];
            reach.record_open(&server.0, opens(server), at(ms));
            if reach.is_probe_due(at(ms)) {
                let probed = reach.start_round(&targets(&all), at(ms));
                let reached = all.iter().filter(|server| probed.contains(&server.0));
                let reached = reached.filter(|server| opens(server)).count();
                reach.end_round(probed.len(), reached, at(ms + 5));
            }
            let since = reach.is_cut_off();
            if has_paths {
                let end = if ms < 10_000 { 0 } else { 20_000 };
                let lag = since.map_or(Duration::ZERO, |since| at(ms).since(since.max(at(end))));
                assert!(lag <= MAX_LAG, "seed {seed}: still cut off at {ms} ms");
            } else if ms >= 10_700 {
                assert!(since.is_some(), "seed {seed}: not cut off at {ms} ms");
            }
        }
    }
}
