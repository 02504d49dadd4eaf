//! Decisions of the planner on a replica of its own.

use {
    crate::sessions::service,
    whinspring::{
        model::{Node, NodeState, Service},
        planner::{Observations, Write, holders, segments},
        record::{Key, Kind, Record, Value},
        replica::Replica,
        time::Tick,
    },
};

/// Number of slices of the service.
const SLICES: u32 = 65_536;

/// Number of servers of the service.
const SERVERS: u32 = 2_600;

/// Adds a record to a replica.
fn store(replica: &mut Replica, key: Key, value: Value) {
    let base = replica.seen();
    let version = base + 1;
    let record = Record { key, version, mark: version, value: Some(value) };
    replica.apply(base, version, vec![record]);
}

/// Returns a node in one of three failure domains.
fn node(id: u32) -> Node {
    Node {
        name: format!("n{id:04}").into(),
        incarnation: 1,
        addr: ([127, 0, 0, 1], 1).into(),
        domain: format!("d{}", id % 3).into(),
        state: NodeState::Live,
        lessors: Vec::new(),
    }
}

/// Returns the writes of one review.
fn review(replica: &Replica, memory: &Observations, service: &Service) -> Vec<Write> {
    let mut writes = segments::reconcile(replica, memory, Tick(1), service);
    let mut pool = holders::Pool::new(replica);
    writes.extend(holders::reconcile(replica, memory, service, &mut pool));
    writes
}

#[test]
fn a_review_without_a_change_writes_nothing() {
    let memory = Observations::default();
    let mut replica = Replica::default();
    let service = service("checks", SERVERS, SLICES);
    let key = Key::new(Kind::Service, service.name.clone());
    store(&mut replica, key, Value::Service(service.clone()));
    for node in (0..SERVERS / 2).map(node) {
        store(&mut replica, Key::new(Kind::Node, node.name.clone()), Value::Node(node));
    }
    let first = review(&replica, &memory, &service);
    assert!(first.iter().any(|write| write.key.kind == Kind::Segment));
    assert!(first.iter().any(|write| write.key.kind == Kind::Holders));
    for write in first {
        store(&mut replica, write.key, write.value.unwrap());
    }
    let second = review(&replica, &memory, &service);
    assert!(second.is_empty(), "{} writes without a change", second.len());
}
