//! The routing view: path prefixes, record versions, and the servers that a node holds.

use {
    super::records::{
        SLICES, holders, later, node, place, record, records, segment, service, view,
    },
    std::sync::Arc,
    whinspring::{
        model::{Holder, NodeState, ServerState},
        name::ServerId,
        record::{Kind, Record, Value},
        view::View,
    },
};

#[test]
fn longest_prefix_at_a_path_segment_wins() {
    let mut inner = service("inner", 0, ServerState::Active);
    if let Some(Value::Service(service)) = &mut inner.value {
        service.prefix = "/bays/inner/".into();
    }
    let view = view("n1").with_records([inner].iter());
    let name = |path| view.service_for(path).map(|found| found.service().name.to_string());
    assert_eq!(name("/bays/k?x=/y").as_deref(), Some("bays"));
    assert_eq!(name("/bays").as_deref(), Some("bays"));
    assert_eq!(name("/bays/inner/k").as_deref(), Some("inner"));
    assert_eq!(name("/bays/innermost").as_deref(), Some("bays"));
    assert_eq!(name("/baysides"), None);
    assert_eq!(name("/"), None);
    assert_eq!(name("bays"), None);
}

#[test]
fn lower_versions_change_nothing() {
    let old = view("n1");
    let new = old.with_records([later(segment(Some(ServerId(2))))].iter());
    let back = new.with_records(records().iter());
    for view in [&new, &back] {
        let owner = view.service("bays").unwrap().owner(&place("a")).unwrap().clone();
        assert_eq!(owner.next, Some(ServerId(2)));
    }
}

#[test]
fn unchanged_services_are_shared() {
    let old = view("n1");
    let new = old.with_records([later(segment(None))].iter());
    let same = |name| Arc::ptr_eq(old.service(name).unwrap(), new.service(name).unwrap());
    assert!(same("files") && !same("bays"));
}

#[test]
fn records_may_arrive_in_any_order_and_be_deleted() {
    let mut records = records();
    records.reverse();
    let view = View::new("n1".into(), 7).with_records(records.iter());
    assert!(view.service_for("/bays/a").unwrap().owner(&place("a")).is_some());
    let gone = Record { value: None, ..later(service("bays", SLICES, ServerState::Active)) };
    let view = view.with_records([gone].iter());
    assert!(view.service_for("/bays/a").is_none() && view.service("bays").is_none());
}

#[test]
fn single_keys_take_precedence_over_their_slice() {
    let view = view("n1");
    let service = view.service("bays").unwrap();
    assert_eq!(service.owner(&place("hot")).unwrap().server, ServerId(2));
    assert_eq!(service.owner(&place("a")).unwrap().server, ServerId(1));
}

#[test]
fn node_holds_what_names_its_incarnation() {
    let held = view("n1").held_servers();
    let names: Vec<(&str, u32)> =
        held.iter().map(|held| (held.service.as_str(), held.server.0)).collect();
    assert_eq!(names, [("bays", 1), ("files", 1)]);
    assert_eq!(held[0].update.slices.len(), SLICES as usize);
    assert_eq!(held[0].update.excluded, ["hot"]);
    assert_eq!(view("n2").held_servers()[0].update.keys[0].0, "hot");

    let restarted = View::new("n1".into(), 8).with_records(records().iter());
    assert!(restarted.held_servers().is_empty(), "an earlier incarnation held them");
}

#[test]
fn gone_nodes_serve_nothing() {
    let holder = Holder { node: "n2".into(), incarnation: 7, term: 5, next: None };
    let old = view("n1");
    assert!(old.serves(&holder) && old.addr("n2").is_some());
    let new = old.with_records([later(node(2, NodeState::Gone))].iter());
    assert!(!new.serves(&holder) && new.addr("n2").is_none());
    let other = old.with_records([later(holders("bays", Some("n3")))].iter());
    assert!(other.held_servers_of(other.service("bays").unwrap())[0].update.handover);
    let odd = record(Kind::Segment, "nonsense", Value::Holders(Default::default()));
    assert!(old.with_records([odd].iter()).service("bays").is_some());
}
