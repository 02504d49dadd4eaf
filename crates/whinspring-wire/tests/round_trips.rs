//! Domain values round-trip through their encoding, and invalid bytes give errors, not panics.

use {
    proptest::{collection, option, prelude::*},
    prost::Message as _,
    std::net::SocketAddr,
    whinspring::{
        message::Message,
        model::{
            Controller, Holder, Holders, KeyPlace, Node, NodeState, Owner, Plan, PlanState,
            SEGMENT_SLICES, Segment, Server, ServerState, Service, Step, Suspect,
        },
        name::{Name, ServerId, Slice},
        record::{Key, Kind, Record, Value},
    },
    whinspring_wire::{control, error::Error, generated, record},
};

fn name() -> impl Strategy<Value = Name> {
    "\\PC{0,20}".prop_map(Name::from)
}

fn server_id() -> impl Strategy<Value = ServerId> {
    any::<u32>().prop_map(ServerId)
}

fn slice() -> impl Strategy<Value = Slice> {
    any::<u32>().prop_map(Slice)
}

fn addr() -> impl Strategy<Value = SocketAddr> {
    prop_oneof![
        any::<([u8; 4], u16)>().prop_map(SocketAddr::from),
        any::<([u16; 8], u16)>().prop_map(SocketAddr::from)
    ]
}

fn node() -> impl Strategy<Value = Node> {
    let state = prop_oneof![Just(NodeState::Live), Just(NodeState::Leaving), Just(NodeState::Gone)];
    (name(), any::<u64>(), addr(), name(), state, collection::vec(name(), 0..4)).prop_map(
        |(name, incarnation, addr, domain, state, lessors)| Node {
            name,
            incarnation,
            addr,
            domain,
            state,
            lessors,
        },
    )
}

fn server_state() -> impl Strategy<Value = ServerState> {
    prop_oneof![Just(ServerState::Active), Just(ServerState::Draining), Just(ServerState::Lost)]
}

fn server() -> impl Strategy<Value = Server> {
    (name(), addr(), name(), any::<bool>(), any::<u32>(), any::<u32>(), server_state()).prop_map(
        |(name, addr, domain, fenced, slots, conns, state)| Server {
            name,
            addr,
            domain,
            fenced,
            slots,
            conns,
            state,
        },
    )
}

fn service() -> impl Strategy<Value = Service> {
    let key =
        prop_oneof![name().prop_map(KeyPlace::Header), any::<u32>().prop_map(KeyPlace::PathPart),];
    let shares = collection::btree_map(name(), any::<u32>(), 0..4);
    let servers = collection::btree_map(server_id(), server(), 0..4);
    (name(), name(), option::of(key), any::<[u32; 3]>(), name(), shares, servers).prop_map(
        |(name, prefix, key, [slices, deadline_ms, cap_ms], customer, shares, servers)| Service {
            name,
            prefix,
            key,
            slices,
            deadline_ms,
            cap_ms,
            customer,
            shares,
            servers,
        },
    )
}

fn holders() -> impl Strategy<Value = Holders> {
    let holder = (name(), any::<u64>(), any::<u64>(), option::of(name()))
        .prop_map(|(node, incarnation, term, next)| Holder { node, incarnation, term, next });
    collection::btree_map(server_id(), holder, 0..5).prop_map(|terms| Holders { terms })
}

fn owner() -> impl Strategy<Value = Owner> {
    (server_id(), any::<u64>(), option::of(server_id())).prop_map(|(server, epoch, next)| Owner {
        server,
        epoch,
        next,
    })
}

fn segment() -> impl Strategy<Value = Segment> {
    let runs = collection::vec((owner(), 1..5_usize), 0..40);
    let keys = collection::btree_map(name(), owner(), 0..5);
    (any::<u32>(), runs, keys).prop_map(|(first, runs, keys)| {
        let owners = runs.into_iter().flat_map(|(owner, run)| std::iter::repeat_n(owner, run));
        Segment { first, owners: owners.collect(), keys }
    })
}

fn suspect() -> impl Strategy<Value = Suspect> {
    any::<(u64, u32, u64, bool)>().prop_map(|(print, deaths, last_ms, cleared)| Suspect {
        print,
        deaths,
        last_ms,
        cleared,
    })
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        service().prop_map(|service| Step::Declare(Box::new(service))),
        (name(), server_id(), server_state()).prop_map(|(service, server, state)| Step::SetState {
            service,
            server,
            state
        }),
        (name(), slice(), server_id()).prop_map(|(service, slice, to)| Step::MoveSlice {
            service,
            slice,
            to
        }),
        (name(), name(), server_id()).prop_map(|(service, key, to)| Step::MoveKey {
            service,
            key,
            to
        }),
        any::<u64>().prop_map(|print| Step::Clear { print })
    ]
}

fn plan() -> impl Strategy<Value = Plan> {
    let state = prop_oneof![
        Just(PlanState::Proposed),
        Just(PlanState::Confirmed),
        Just(PlanState::Finished),
        Just(PlanState::Aborted),
        Just(PlanState::Failed)
    ];
    let base = collection::btree_map(name(), any::<u64>(), 0..4);
    (name(), name(), base, collection::vec(step(), 0..4), state, any::<u32>(), name()).prop_map(
        |(id, intent, base, steps, state, done, reason)| {
            let done = done % (steps.len() as u32 + 1);
            Plan { id, intent, base, steps, state, done, reason }
        },
    )
}

fn value() -> impl Strategy<Value = Value> {
    let controller = (name(), any::<u64>(), any::<u64>())
        .prop_map(|(node, incarnation, term)| Controller { node, incarnation, term });
    prop_oneof![
        node().prop_map(Value::Node),
        controller.prop_map(Value::Controller),
        service().prop_map(Value::Service),
        holders().prop_map(Value::Holders),
        segment().prop_map(Value::Segment),
        suspect().prop_map(Value::Suspect),
        plan().prop_map(Value::Plan)
    ]
}

fn kind_of(value: &Value) -> Kind {
    match value {
        Value::Node(_) => Kind::Node,
        Value::Controller(_) => Kind::Controller,
        Value::Service(_) => Kind::Service,
        Value::Holders(_) => Kind::Holders,
        Value::Segment(_) => Kind::Segment,
        Value::Suspect(_) => Kind::Suspect,
        Value::Plan(_) => Kind::Plan,
    }
}

fn some_record() -> impl Strategy<Value = Record> {
    (value(), name(), any::<u64>(), any::<u64>(), any::<bool>()).prop_map(
        |(value, name, version, mark, deleted)| Record {
            key: Key::new(kind_of(&value), name),
            version,
            mark,
            value: (!deleted).then_some(value),
        },
    )
}

fn message() -> impl Strategy<Value = Message> {
    let slices = || collection::vec((slice(), any::<u64>()), 0..5);
    let keys = || collection::vec((name(), any::<u64>()), 0..5);
    prop_oneof![
        any::<[u64; 4]>().prop_map(|[incarnation, seq, version, seen]| Message::Heartbeat {
            incarnation,
            seq,
            version,
            seen
        }),
        any::<[u64; 3]>().prop_map(|[incarnation, seq, seen]| Message::Ack {
            incarnation,
            seq,
            seen
        }),
        (name(), any::<u64>(), any::<u64>()).prop_map(|(node, incarnation, version)| {
            Message::AskLapse { node, incarnation, version }
        }),
        (name(), any::<u64>(), any::<u64>()).prop_map(|(node, incarnation, version)| {
            Message::Lapsed { node, incarnation, version }
        }),
        any::<u64>().prop_map(|seen| Message::Pull { seen }),
        (any::<u64>(), any::<u64>(), collection::vec(some_record(), 0..4))
            .prop_map(|(after, seen, records)| Message::Records { after, seen, records }),
        (name(), server_id(), any::<u64>())
            .prop_map(|(service, server, term)| Message::ServerLost { service, server, term }),
        (name(), server_id(), any::<u64>())
            .prop_map(|(service, server, term)| Message::ServerBack { service, server, term }),
        (name(), server_id(), any::<u64>())
            .prop_map(|(service, server, term)| Message::ServerLeaving { service, server, term }),
        (name(), server_id(), any::<u64>())
            .prop_map(|(service, server, term)| Message::ServerReleased { service, server, term }),
        (name(), server_id(), any::<u64>(), slices(), keys()).prop_map(
            |(service, server, term, slices, keys)| Message::SlicesReleased {
                service,
                server,
                term,
                slices,
                keys
            }
        ),
        (name(), server_id(), any::<u32>(), slices(), keys()).prop_map(
            |(service, server, busy, slices, keys)| Message::Load {
                service,
                server,
                busy,
                slices,
                keys
            }
        )
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn values_round_trip(value in value()) {
        let bytes = record::encode(&value);
        prop_assert_eq!(record::decode(kind_of(&value), &bytes).unwrap(), value);
    }

    #[test]
    fn messages_round_trip(message in message()) {
        let bytes = control::encode(&message);
        prop_assert_eq!(control::decode(&bytes).unwrap(), message);
    }

    #[test]
    fn encoding_is_deterministic(value in value()) {
        prop_assert_eq!(record::encode(&value), record::encode(&value.clone()));
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes in collection::vec(any::<u8>(), 0..200)) {
        control::decode(&bytes).ok();
        for kind in Kind::ALL {
            record::decode(*kind, &bytes).ok();
        }
    }

    #[test]
    fn truncated_messages_never_panic(message in message(), cut in any::<prop::sample::Index>()) {
        let bytes = control::encode(&message);
        control::decode(&bytes[..cut.index(bytes.len().max(1)).min(bytes.len())]).ok();
    }
}

#[test]
fn segment_of_different_owners_stays_small() {
    let owners = (0..SEGMENT_SLICES).map(|index| Owner {
        server: ServerId(index * 37 % 1_300),
        epoch: 1_000_000 + u64::from(index * 7_919 % 100_000),
        next: (index % 2 == 0).then_some(ServerId(index % 1_300)),
    });
    let segment = Segment { first: 0, owners: owners.collect(), keys: Default::default() };
    let bytes = record::encode(&Value::Segment(segment));
    assert!(bytes.len() < 48_000, "{} bytes", bytes.len());
}

#[test]
fn segment_of_few_owners_stays_tiny() {
    let owner = |index: u32| Owner { server: ServerId(index / 205), epoch: 1, next: None };
    let owners = (0..SEGMENT_SLICES).map(owner).collect();
    let segment = Segment { first: 0, owners, keys: Default::default() };
    let bytes = record::encode(&Value::Segment(segment));
    assert!(bytes.len() < 200, "{} bytes", bytes.len());
}

#[test]
fn segment_with_too_many_slices_is_rejected() {
    let wire = generated::record::Segment {
        runs: vec![u32::MAX, u32::MAX],
        servers: vec![1, 2],
        epochs: vec![1, 1],
        ..Default::default()
    };
    let error = record::decode(Kind::Segment, &wire.encode_to_vec()).unwrap_err();
    assert!(matches!(error, Error::BadField { field: "runs" }), "{error}");
}

#[test]
fn columns_of_different_length_are_rejected() {
    let wire = generated::record::Segment { runs: vec![1], ..Default::default() };
    let error = record::decode(Kind::Segment, &wire.encode_to_vec()).unwrap_err();
    assert!(matches!(error, Error::BadField { field: "servers" }), "{error}");
}

#[test]
fn oversized_value_is_rejected() {
    let bytes = vec![0; record::MAX_VALUE_BYTES + 1];
    let error = record::decode(Kind::Plan, &bytes).unwrap_err();
    assert!(matches!(error, Error::TooLarge { .. }), "{error}");
}

/// Encoding of a field that no version defines: number 1000, length-delimited.
const UNKNOWN_FIELD: &[u8] = &[0xc2, 0x3e, 0x02, 0x01, 0x02];

#[test]
fn fields_of_a_newer_version_are_skipped() {
    let controller = Controller { node: "a".into(), incarnation: 1, term: 2 };
    let value = Value::Controller(controller);
    let newer = [&record::encode(&value)[..], UNKNOWN_FIELD].concat();
    assert_eq!(record::decode(Kind::Controller, &newer).unwrap(), value);

    let message = Message::Pull { seen: 3 };
    let newer = [&control::encode(&message)[..], UNKNOWN_FIELD].concat();
    assert_eq!(control::decode(&newer).unwrap(), message);
}

#[test]
fn message_of_a_newer_version_gives_unknown_type() {
    let error = control::decode(UNKNOWN_FIELD).unwrap_err();
    assert!(matches!(error, Error::UnknownType { .. }), "{error}");
}

#[test]
fn records_of_a_newer_kind_are_skipped() {
    let known = Record { key: Key::new(Kind::Plan, "p"), version: 4, mark: 5, value: None };
    let newer = generated::record::Record { kind: 99, version: 6, ..Default::default() };
    let records = vec![generated::record::Record::from(&known), newer];
    let message = generated::control::message::Message::Records(generated::control::Records {
        after: 1,
        seen: 6,
        records,
    });
    let bytes = generated::control::Message { message: Some(message) }.encode_to_vec();
    let expected = Message::Records { after: 1, seen: 6, records: vec![known] };
    assert_eq!(control::decode(&bytes).unwrap(), expected);
}
