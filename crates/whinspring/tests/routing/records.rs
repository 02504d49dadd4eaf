//! Records of a small deployment: nodes `n1` to `n3`, a keyed and an unkeyed service.

use {
    std::collections::BTreeMap,
    whinspring::{
        model::{
            Holder, Holders, KeyPlace, Node, NodeState, Owner, Segment, Server, ServerState,
            Service,
        },
        name::{Name, ServerId, Slice, slice_of},
        record::{Key, Kind, Record, Value},
        request::{Meta, Place},
        view::View,
    },
};

/// Slices of the keyed service.
pub const SLICES: u32 = 4;

/// Returns the view of a node of the deployment.
pub fn view(me: &str) -> View {
    View::new(me.into(), 7).with_records(records().iter())
}

/// Returns all records, at version 10.
pub fn records() -> Vec<Record> {
    let mut records: Vec<Record> = (1..=3).map(|number| node(number, NodeState::Live)).collect();
    for (name, slices) in [("bays", SLICES), ("files", 0)] {
        records.push(service(name, slices, ServerState::Active));
        records.push(holders(name, None));
    }
    records.push(segment(None));
    records
}

pub fn node(number: u32, state: NodeState) -> Record {
    let name = format!("n{number}");
    let node = Node {
        name: name.as_str().into(),
        incarnation: 7,
        addr: ([127, 0, 0, number as u8], 7_000).into(),
        domain: "a".into(),
        state,
        lessors: Vec::new(),
    };
    record(Kind::Node, &name, Value::Node(node))
}

/// Returns a service with three servers; `third` is the state of the third.
pub fn service(name: &str, slices: u32, third: ServerState) -> Record {
    let server = |number: u32| Server {
        name: format!("b{number}").as_str().into(),
        addr: ([127, 0, 1, number as u8], 8_000).into(),
        domain: "a".into(),
        fenced: true,
        slots: 2,
        conns: 100,
        state: if number == 3 { third } else { ServerState::Active },
    };
    let service = Service {
        name: name.into(),
        prefix: format!("/{name}").as_str().into(),
        key: (slices > 0).then(|| KeyPlace::PathPart(0)),
        slices,
        deadline_ms: 1_000,
        cap_ms: 10_000,
        customer: "x-customer".into(),
        shares: BTreeMap::new(),
        servers: (1..=3).map(|number| (ServerId(number), server(number))).collect(),
    };
    record(Kind::Service, name, Value::Service(service))
}

/// Returns the holders of a service: server 1 on node `n1` and so on.
pub fn holders(name: &str, next: Option<&str>) -> Record {
    let holder = |number: u32| Holder {
        node: format!("n{number}").as_str().into(),
        incarnation: 7,
        term: 5,
        next: next.map(Name::from),
    };
    let terms = (1..=3).map(|number| (ServerId(number), holder(number))).collect();
    record(Kind::Holders, name, Value::Holders(Holders { terms }))
}

/// Returns the owners of the keyed service: server 1 has every slice, server 2 the key `hot`.
pub fn segment(next: Option<ServerId>) -> Record {
    let owner = Owner { server: ServerId(1), epoch: 3, next };
    let hot = Owner { server: ServerId(2), epoch: 4, next: None };
    let segment = Segment {
        first: 0,
        owners: vec![owner; SLICES as usize],
        keys: [("hot".into(), hot)].into(),
    };
    record(Kind::Segment, "bays.0", Value::Segment(segment))
}

pub fn record(kind: Kind, name: &str, value: Value) -> Record {
    Record { key: Key::new(kind, name), version: 10, mark: 0, value: Some(value) }
}

/// Returns the record at a higher version.
pub fn later(record: Record) -> Record {
    Record { version: record.version + 1, ..record }
}

/// Returns the metadata of a request for a key of the keyed service.
pub fn meta(key: &str, idempotent: bool) -> Meta {
    Meta {
        service: "bays".into(),
        place: Some(place(key)),
        customer: "c".into(),
        id: "x".into(),
        issued: None,
        first: true,
        idempotent,
        fingerprint: 1,
        crashes: 0,
    }
}

pub fn place(key: &str) -> Place {
    Place { key: key.into(), slice: Slice(slice_of(key, SLICES).0) }
}
