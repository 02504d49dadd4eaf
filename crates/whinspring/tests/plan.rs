//! Checks that intents yield plans with steps, base versions and a forecast, or numbered errors.

use {
    std::collections::BTreeMap,
    whinspring::{
        declaration,
        model::{Owner, Segment, Server, ServerState, Service, Suspect},
        name::{Name, ServerId, Slice, slice_of},
        plan::{self, Conflict, Error, Intent, Proposal, Records},
        record::{Key, Kind, Record, Value},
    },
};

/// A service of six slices on three servers.
const DECLARATION: &str = "\
[service]
name = bays
prefix = /bays
key = path:0
slices = 6
[server a]
addr = 10.0.0.1:9000
domain = east
fenced = yes
[server b]
addr = 10.0.0.2:9000
domain = west
fenced = yes
[server c]
addr = 10.0.0.3:9000
domain = west
fenced = no
";

fn declared_service() -> Service {
    declaration::parse(DECLARATION).unwrap()
}

fn put(records: &mut Records, key: Key, version: u64, value: Value) {
    records.insert(key.clone(), Record { key, version, mark: 0, value: Some(value) });
}

/// Returns the records of the declared service: two slices per server, a single key on the last.
fn records() -> Records {
    let owner = |index: u32| Owner { server: ServerId(index), epoch: 1, next: None };
    let owners = (0..6).map(|index| owner(index / 2)).collect();
    let keys = BTreeMap::from([("hot".into(), owner(2))]);
    let segment = Segment { first: 0, owners, keys };
    let suspect = Suspect { print: 0xabc, deaths: 2, last_ms: 1, cleared: false };

    let mut records = Records::new();
    put(&mut records, Key::new(Kind::Service, "bays"), 5, Value::Service(declared_service()));
    put(&mut records, Key::segment("bays", 0), 7, Value::Segment(segment));
    let key = Key::new(Kind::Suspect, "0000000000000abc");
    put(&mut records, key, 9, Value::Suspect(suspect));
    records
}

fn server(name: &str, addr: &str) -> Server {
    Server {
        name: name.into(),
        addr: addr.parse().unwrap(),
        domain: "east".into(),
        fenced: true,
        slots: 2,
        conns: 100,
        state: ServerState::Active,
    }
}

fn set_state(server: &str, state: ServerState) -> Intent {
    Intent::SetState { service: "bays".into(), server: server.into(), state }
}

fn propose(intent: Intent) -> Result<Proposal, Error> {
    plan::propose(&records(), &intent, "p1".into())
}

/// Returns the number and text of the error of an intent.
fn error_line(intent: Intent) -> String {
    let error = propose(intent).unwrap_err();
    format!("{} {error}", error.number())
}

#[test]
fn new_service_moves_nothing() {
    let intent = Intent::Declare(Box::new(declared_service()));
    insta::assert_debug_snapshot!(plan::propose(&Records::new(), &intent, "p1".into()).unwrap());
}

#[test]
fn drain_moves_what_the_server_owns() {
    insta::assert_debug_snapshot!(propose(set_state("c", ServerState::Draining)).unwrap());
}

#[test]
fn added_server_gets_its_share() {
    let server = server("d", "10.0.0.4:9000");
    let proposal = propose(Intent::Add { service: "bays".into(), server }).unwrap();
    insta::assert_debug_snapshot!(proposal.forecast);
    let after = plan::declaration(&proposal.plan).unwrap();
    assert_eq!(after.servers[&ServerId(3)].name, "d", "a new number");
}

#[test]
fn replaced_server_drains() {
    let new = server("a2", "10.0.0.4:9000");
    let intent = Intent::Replace { service: "bays".into(), old: "a".into(), new };
    insta::assert_debug_snapshot!(propose(intent).unwrap().forecast);
}

#[test]
fn moves_depend_on_their_segments() {
    let slices = vec![Slice(0), Slice(2), Slice(5)];
    let intent = Intent::MoveSlices { service: "bays".into(), slices, to: "b".into() };
    insta::assert_debug_snapshot!(propose(intent).unwrap());
}

#[test]
fn hot_set_moves_as_single_keys() {
    let keys = vec!["hot".into(), "other key".into()];
    let intent = Intent::MoveKeys { service: "bays".into(), keys, to: "a".into() };
    insta::assert_debug_snapshot!(propose(intent).unwrap());
}

#[test]
fn share_fence_and_clear() {
    let service = Name::from("bays");
    let intents = [
        Intent::Share { service: service.clone(), customer: "big one".into(), share: 3 },
        Intent::SetFenced { service, server: "a".into(), fenced: false },
        Intent::ClearSuspect { print: 0xabc },
    ];
    let forecasts = intents.map(|intent| (intent.to_string(), propose(intent).unwrap().forecast));
    insta::assert_debug_snapshot!(forecasts);
}

#[test]
fn declaration_in_force_keeps_numbers_and_shares() {
    let mut records = records();
    let mut before = declared_service();
    before.shares.insert("big".into(), 4);
    put(&mut records, Key::new(Kind::Service, "bays"), 5, Value::Service(before));

    let text = DECLARATION.replace("server b]", "server d]").replace("0.2:9000", "0.4:9000");
    let wanted = declaration::parse(&text).unwrap();
    let intent = Intent::Declare(Box::new(wanted));
    let proposal = plan::propose(&records, &intent, "p1".into()).unwrap();
    let after = plan::declaration(&proposal.plan).unwrap();
    let servers: Vec<_> =
        after.servers.iter().map(|(id, s)| (id.0, &s.name[..], s.state)).collect();
    let expected = vec![
        (0, "a", ServerState::Active),
        (1, "b", ServerState::Draining),
        (2, "c", ServerState::Active),
        (3, "d", ServerState::Active),
    ];
    assert_eq!(servers, expected);
    assert_eq!(after.shares["big"], 4);
}

#[test]
fn errors_have_numbers() {
    let service = Name::from("bays");
    let to = |to: &str| Name::from(to);
    let mut slices = declared_service();
    slices.slices = 12;
    let mut other = declared_service();
    other.name = "other".into();
    let mut invalid = declared_service();
    invalid.name = "other".into();
    invalid.cap_ms = 0;
    let intents = [
        Intent::Share { service: to("none"), customer: to("x"), share: 2 },
        set_state("z", ServerState::Draining),
        Intent::Declare(Box::new(invalid)),
        Intent::Add { service: service.clone(), server: server("a", "10.0.0.9:1") },
        Intent::Declare(Box::new(other)),
        Intent::Declare(Box::new(slices)),
        Intent::MoveSlices { service: service.clone(), slices: vec![Slice(6)], to: to("a") },
        Intent::ClearSuspect { print: 1 },
        set_state("a", ServerState::Active),
        Intent::Declare(Box::new(declared_service())),
        Intent::MoveSlices { service, slices: vec![Slice(0)], to: to("a") },
    ];
    let errors: Vec<_> = intents.into_iter().map(error_line).collect();
    insta::assert_snapshot!(errors.join("\n"));
}

#[test]
fn last_active_server_cannot_be_drained() {
    let mut records = records();
    let mut service = declared_service();
    for id in [0, 1] {
        service.servers.get_mut(&ServerId(id)).unwrap().state = ServerState::Draining;
    }
    put(&mut records, Key::new(Kind::Service, "bays"), 5, Value::Service(service));
    let propose = |intent| plan::propose(&records, &intent, "p1".into()).unwrap_err().number();
    assert_eq!(propose(set_state("c", ServerState::Draining)), 706);
    let slices = vec![Slice(4)];
    assert_eq!(propose(Intent::MoveSlices { service: "bays".into(), slices, to: "a".into() }), 707);
}

#[test]
fn changed_base_is_a_conflict() {
    let mut records = records();
    let plan = propose(set_state("c", ServerState::Draining)).unwrap().plan;
    assert_eq!(plan::conflict(&plan, |key| plan::version(&records, key)), None);

    records.get_mut(&Key::segment("bays", 0)).unwrap().version = 20;
    assert_eq!(plan::conflict(&plan, |key| plan::version(&records, key)), None, "not its base");

    records.get_mut(&Key::new(Kind::Service, "bays")).unwrap().version = 21;
    let conflict = plan::conflict(&plan, |key| plan::version(&records, key));
    assert_eq!(conflict, Some(Conflict { key: "service/bays".into(), base: 5, now: 21 }));
}

#[test]
fn keys_of_records_read_back() {
    let key = Key::segment("bays", 3);
    assert_eq!(key.to_string(), "segment/bays.3");
    assert_eq!(Key::parse("segment/bays.3"), Some(key));
    assert_eq!(Key::parse("bays"), None);
    assert!(slice_of("hot", 6).0 < 6);
}
