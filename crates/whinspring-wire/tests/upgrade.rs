//! Compatibility of the encoding between versions, as old and new nodes run side by side.
//!
//! The golden file has the encoding of one value of each kind of record and of each control
//! message. A changed line means that nodes of the previous version decode another value.

use {
    std::{collections::BTreeMap, fmt::Write},
    whinspring::{
        message::Message,
        model::{
            Controller, Holder, Holders, KeyPlace, Node, NodeState, Owner, Plan, PlanState,
            Segment, Server, ServerState, Service, Step, Suspect,
        },
        name::{Name, ServerId, Slice},
        record::{Key, Kind, Record, Value},
    },
    whinspring_wire::{control, record},
};

/// Returns one value of each kind of record.
fn values() -> Vec<(Kind, Value)> {
    let node = Node {
        name: "entry-1".into(),
        incarnation: 7,
        addr: "10.0.0.4:7000".parse().unwrap(),
        domain: "dar-a".into(),
        state: NodeState::Leaving,
        lessors: vec!["entry-2".into(), "entry-3".into()],
    };
    let controller = Controller { node: "entry-1".into(), incarnation: 7, term: 3 };
    let holder =
        Holder { node: "entry-1".into(), incarnation: 7, term: 9, next: Some("entry-2".into()) };
    let holders = Holders { terms: BTreeMap::from([(ServerId(2), holder)]) };
    let owner = |server, epoch, next: Option<u32>| Owner {
        server: ServerId(server),
        epoch,
        next: next.map(ServerId),
    };
    let segment = Segment {
        first: 4_096,
        owners: vec![owner(1, 5, None), owner(1, 5, None), owner(2, 6, Some(0))],
        keys: BTreeMap::from([("hot".into(), owner(3, 8, None))]),
    };
    let suspect = Suspect { print: 0xabc, deaths: 2, last_ms: 1_700_000_000_000, cleared: true };
    vec![
        (Kind::Node, Value::Node(node)),
        (Kind::Controller, Value::Controller(controller)),
        (Kind::Service, Value::Service(service())),
        (Kind::Holders, Value::Holders(holders)),
        (Kind::Segment, Value::Segment(segment)),
        (Kind::Suspect, Value::Suspect(suspect)),
        (Kind::Plan, Value::Plan(plan())),
    ]
}

fn service() -> Service {
    let server = Server {
        name: "bay-1".into(),
        addr: "10.0.0.20:9000".parse().unwrap(),
        domain: "dar-a".into(),
        fenced: true,
        slots: 2,
        conns: 100,
        state: ServerState::Draining,
    };
    Service {
        name: "reservations".into(),
        prefix: "/reservations".into(),
        key: Some(KeyPlace::PathPart(0)),
        slices: 4_096,
        deadline_ms: 2_000,
        cap_ms: 30_000,
        customer: "x-customer".into(),
        shares: BTreeMap::from([("big".into(), 3)]),
        servers: BTreeMap::from([(ServerId(0), server)]),
    }
}

fn plan() -> Plan {
    let service = Name::from("reservations");
    let (server, to) = (ServerId(1), ServerId(2));
    let steps = vec![
        Step::Declare(Box::new(self::service())),
        Step::SetState { service: service.clone(), server, state: ServerState::Active },
        Step::MoveSlice { service: service.clone(), slice: Slice(17), to },
        Step::MoveKey { service, key: "bay 7".into(), to },
        Step::Clear { print: 0xabc },
    ];
    Plan {
        id: "p2345ab".into(),
        intent: "move".into(),
        base: BTreeMap::from([("service/reservations".into(), 12)]),
        steps,
        state: PlanState::Confirmed,
        done: 1,
        reason: "running".into(),
    }
}

/// Returns one control message of each type.
fn messages() -> Vec<Message> {
    let (service, server, term) = (Name::from("reservations"), ServerId(1), 9);
    let (node, incarnation, version) = (Name::from("entry-2"), 7, 12);
    let deleted = Record { key: Key::new(Kind::Plan, "p1"), version: 13, mark: 5, value: None };
    let slices = vec![(Slice(17), 5)];
    let keys = vec![("hot".into(), 8)];
    vec![
        Message::Load {
            service: service.clone(),
            server,
            busy: 990,
            slices: slices.clone(),
            keys: keys.clone(),
        },
        Message::SlicesReleased { service: service.clone(), server, term, slices, keys },
        Message::Heartbeat { incarnation, seq: 4, version, seen: 20 },
        Message::Ack { incarnation, seq: 4, seen: 20 },
        Message::AskLapse { node: node.clone(), incarnation, version },
        Message::Lapsed { node, incarnation, version },
        Message::Pull { seen: 20 },
        Message::Records { after: 12, seen: 20, records: vec![deleted] },
        Message::ServerLost { service: service.clone(), server, term },
        Message::ServerBack { service: service.clone(), server, term },
        Message::ServerLeaving { service: service.clone(), server, term },
        Message::ServerReleased { service, server, term },
    ]
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").unwrap();
        text
    })
}

#[test]
fn encoding_is_that_of_the_golden_file() {
    let mut lines = String::new();
    for (kind, value) in values() {
        let bytes = record::encode(&value);
        assert_eq!(record::decode(kind, &bytes).unwrap(), value);
        writeln!(lines, "{}: {}", kind.as_str(), hex(&bytes)).unwrap();
    }
    for message in messages() {
        let bytes = control::encode(&message);
        assert_eq!(control::decode(&bytes).unwrap(), message);
        let text = format!("{message:?}");
        let name = text.split(' ').next().unwrap();
        writeln!(lines, "{name}: {}", hex(&bytes)).unwrap();
    }
    insta::assert_snapshot!(lines);
}
