//! Checks of run logs: requests that ran twice, and slices on two servers at once.

use whinspring_standin::runs::{BreachKind, Event, Line, breaches, duplicate_ids};

/// Returns a line of a run for slice 3.
fn line(t_us: u64, server: &str, run: u64, event: Event, epoch: u64) -> Line {
    Line {
        t_us,
        server: server.into(),
        boot: server.bytes().map(u64::from).sum(),
        run,
        event,
        id: format!("{server}{run}"),
        slice: Some(3),
        epoch: Some(epoch),
        term: Some(1),
        path: "/".into(),
        key: String::new(),
        method: "POST".into(),
    }
}

/// Returns the lines of a run that lasted from `from` to `to`.
fn run(server: &str, run: u64, epoch: u64, from: u64, to: u64) -> [Line; 2] {
    [line(from, server, run, Event::Start, epoch), line(to, server, run, Event::End, epoch)]
}

fn kinds(runs: &[[Line; 2]]) -> Vec<BreachKind> {
    breaches(&runs.concat()).into_iter().map(|breach| breach.kind).collect()
}

#[test]
fn clean_move_is_no_breach() {
    let runs = [run("a", 1, 1, 0, 10), run("a", 2, 1, 5, 12), run("b", 1, 2, 12, 20)];
    assert_eq!(kinds(&runs), []);
}

#[test]
fn overlap_of_two_servers_is_a_breach() {
    assert_eq!(kinds(&[run("a", 1, 1, 0, 10), run("b", 1, 2, 9, 20)]), [BreachKind::Overlap]);
}

#[test]
fn lower_epoch_after_higher_is_a_breach() {
    let runs = [run("a", 1, 1, 0, 10), run("b", 1, 2, 11, 12), run("a", 2, 1, 13, 14)];
    assert_eq!(kinds(&runs), [BreachKind::EpochBack]);
}

#[test]
fn one_epoch_on_two_servers_is_a_breach() {
    let runs = [run("a", 1, 1, 0, 10), run("b", 1, 1, 11, 12)];
    assert_eq!(kinds(&runs), [BreachKind::EpochShared]);
}

#[test]
fn id_started_twice_is_reported() {
    let mut lines = [run("a", 1, 1, 0, 10), run("b", 1, 2, 11, 12)].concat();
    assert_eq!(duplicate_ids(&lines), Vec::<&str>::new());
    lines[2].id = "a1".into();
    assert_eq!(duplicate_ids(&lines), ["a1"]);
}
