//! Tests of the history of owners and of the causes of changes.

use {
    std::collections::BTreeMap,
    whinspring::{
        declaration,
        history::{Change, History},
        model::{Owner, Plan, PlanState, Segment, ServerState, Service, Step},
        name::{Name, ServerId, Slice, slice_of},
        record::{Key, Kind, Record, Value},
        time::Wall,
    },
};

const SLICES: u32 = 4_096;

fn service() -> Service {
    declaration::parse(include_str!("../../../docs/reservations.ini")).unwrap()
}

fn owner(server: u32, epoch: u64) -> Owner {
    Owner { server: ServerId(server), epoch, next: None }
}

fn segment() -> Segment {
    let owners = (0..SLICES).map(|index| owner(index % 3, 1)).collect();
    Segment { first: 0, owners, keys: BTreeMap::new() }
}

/// A finished plan that moves one slice and one key to a server.
fn plan(slice: Slice, key: &str, to: u32) -> Record {
    let service = Name::from("reservations");
    let to = ServerId(to);
    let steps = vec![
        Step::MoveSlice { service: service.clone(), slice, to },
        Step::MoveKey { service, key: key.into(), to },
    ];
    let plan = Plan {
        id: "p1".into(),
        intent: "move".into(),
        base: BTreeMap::new(),
        steps,
        state: PlanState::Finished,
        done: 2,
        reason: "".into(),
    };
    let key = Key::new(Kind::Plan, "p1");
    Record { key, version: 9, mark: 0, value: Some(Value::Plan(plan)) }
}

/// Returns version, new owner and cause of each change of a key.
fn causes(history: &History, key: &str) -> Vec<(u64, u32, String)> {
    let changes = history.changes_of("reservations", SLICES, key);
    changes.into_iter().map(|c: &Change| (c.version, c.server.0, c.cause.text())).collect()
}

#[test]
fn changes_have_causes() {
    let mut service = service();
    let mut history = History::default();
    let first = segment();
    history.record(Wall(1), &service, None, (&first, 5), &[]);

    let slice = slice_of("bay 7", SLICES);
    let place = slice.0 as usize;
    let start = first.owners[place].server.0;
    let mut second = first.clone();
    second.owners[place] = owner((start + 1) % 3, 2);
    history.record(
        Wall(2),
        &service,
        Some(&first),
        (&second, 10),
        &[&plan(slice, "x", (start + 1) % 3)],
    );

    let mut third = second.clone();
    third.owners[place] = owner((start + 2) % 3, 3);
    let former = ServerId((start + 1) % 3);
    service.servers.get_mut(&former).unwrap().state = ServerState::Draining;
    history.record(Wall(3), &service, Some(&second), (&third, 11), &[]);

    let mut last = third.clone();
    last.keys.insert("bay 7".into(), owner(start, 1));
    last.keys.insert("x".into(), owner(1, 1));
    history.record(Wall(4), &service, Some(&third), (&last, 12), &[&plan(Slice(0), "x", 1)]);

    let expected = [
        (10, (start + 1) % 3, "plan p1"),
        (11, (start + 2) % 3, "the former owner drains"),
        (12, start, "the controller: former owner lost, or load"),
    ];
    let expected: Vec<_> = expected.map(|(v, s, cause)| (v, s, cause.to_string())).into();
    assert_eq!(causes(&history, "bay 7"), expected);
    assert_eq!(causes(&history, "x").last().unwrap().2, "plan p1");
    assert_eq!(history.since(), Some(Wall(1)));
    let changes = history.changes_of("reservations", SLICES, "bay 7");
    assert_eq!(changes[0].former, Some(ServerId(start)));
}

#[test]
fn adjacent_slices_with_the_same_change_are_one_entry() {
    let service = service();
    let mut history = History::default();
    let even =
        |epoch| Segment { first: 0, owners: vec![owner(0, epoch); 4], keys: BTreeMap::new() };
    for epoch in 1..=16_400 {
        let before = even(epoch - 1);
        history.record(Wall(epoch), &service, Some(&before), (&even(epoch), epoch), &[]);
    }
    let changes = history.changes_of("reservations", 4, "any");
    assert_eq!(changes.len(), 16_384, "the oldest are forgotten");
    assert_eq!(changes[0].version, 16_400 - 16_383);
    assert!(history.changes_of("other", 4, "any").is_empty());
}

#[test]
fn next_owner_alone_is_no_change() {
    let service = service();
    let mut history = History::default();
    let before = segment();
    let mut after = before.clone();
    after.owners[3].next = Some(ServerId(2));
    history.record(Wall(1), &service, Some(&before), (&after, 2), &[]);
    assert!(history.changes_of("reservations", SLICES, "any").is_empty());
}

#[test]
fn slices_between_changed_ones_are_not_named() {
    let service = service();
    let mut history = History::default();
    let before = Segment { first: 0, owners: vec![owner(0, 1); 4], keys: BTreeMap::new() };
    let mut after = before.clone();
    after.owners[1] = owner(1, 2);
    after.owners[3] = owner(1, 2);
    history.record(Wall(1), &service, Some(&before), (&after, 2), &[]);
    for name in 0..100 {
        let key = format!("bay {name}");
        let changed = slice_of(&key, 4).0 % 2;
        assert_eq!(history.changes_of("reservations", 4, &key).len(), changed as usize);
    }
}
