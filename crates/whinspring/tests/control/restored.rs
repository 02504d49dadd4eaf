//! A platform that lost its latest writes, as after a restore from a backup.

use whinspring::{
    control::{Action, Control, Event, Setup, TICK_MS, WriteOutcome},
    model::{Node, NodeState},
    record::{Key, Kind, Record, Value},
    time::{Tick, Wall},
};

/// Duration of the run, in milliseconds.
const DURATION_MS: u64 = 2_000;

/// Upper limit of writes in that time: two per second and one at its start.
const MAX_WRITES: usize = 5;

/// Returns the record left by an earlier process of the node.
fn former_record() -> Record {
    let node = Node {
        name: "entry-1".into(),
        incarnation: 1,
        addr: ([127, 0, 0, 1], 1).into(),
        domain: "a".into(),
        state: NodeState::Live,
        lessors: Vec::new(),
    };
    let key = Key::new(Kind::Node, "entry-1");
    Record { key, version: 10, mark: 1, value: Some(Value::Node(node)) }
}

#[test]
fn writes_are_held_back_while_the_platform_is_behind() {
    let setup = Setup {
        name: "entry-1".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        domain: "a".into(),
        incarnation: 2,
        seed: 1,
        peers: Vec::new(),
    };
    let mut control = Control::new(Tick::default(), setup);
    let mut writes = 0;
    let mut events = vec![Event::Read { full: true, revision: 10, records: vec![former_record()] }];
    for step in 0..DURATION_MS / TICK_MS {
        let now = Tick::from_millis(step * TICK_MS);
        events.push(Event::Tick);
        let mut out = Vec::new();
        for event in events.drain(..) {
            control.handle(now, Wall(now.0 / 1_000), event, &mut out);
        }
        for action in out {
            let Action::Put { op, .. } = action else { continue };
            writes += 1;
            events.push(Event::WriteCompleted {
                op,
                outcome: WriteOutcome::Conflict { version: 3, mark: 0 },
            });
        }
    }
    assert!(writes > 0, "the node tries to join");
    assert!(writes <= MAX_WRITES, "{writes} writes in {DURATION_MS} ms");
}
