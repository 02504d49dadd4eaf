//! Golden files of whole sessions.

use {
    crate::fake::World,
    std::collections::BTreeMap,
    whinspring::{
        control::Event,
        model::{KeyPlace, Plan, PlanState, Server, ServerState, Service, Step},
        name::{Name, ServerId, Slice},
        record::{Key, Kind, Value},
    },
};

/// Returns a service of `servers` servers over three failure domains.
pub fn service(name: &str, servers: u32, slices: u32) -> Service {
    let server = |id: u32| Server {
        name: format!("{name}-{id}").into(),
        addr: ([127, 0, 0, 1], 9_000 + id as u16).into(),
        domain: format!("d{}", id % 3).into(),
        fenced: true,
        slots: 2,
        conns: 100,
        state: ServerState::Active,
    };
    Service {
        name: name.into(),
        prefix: format!("/{name}").into(),
        key: Some(KeyPlace::PathPart(0)),
        slices,
        deadline_ms: 1_000,
        cap_ms: 10_000,
        customer: "customer".into(),
        shares: BTreeMap::new(),
        servers: (0..servers).map(|id| (ServerId(id), server(id))).collect(),
    }
}

/// Writes the declaration of a service.
pub fn declare(world: &mut World, service: Service) {
    world.write(Key::new(Kind::Service, service.name.clone()), Value::Service(service));
}

/// Returns a world of three nodes with one service that has settled.
fn settled() -> World {
    let mut world = World::new(1);
    world.start("a", "d0");
    world.start("b", "d1");
    world.start("c", "d2");
    declare(&mut world, service("checks", 6, 64));
    world.run(5_000);
    world
}

#[test]
fn one_node_alone() {
    let mut world = World::new(1);
    world.tracing = true;
    world.start("a", "d0");
    declare(&mut world, service("checks", 2, 16));
    world.run(3_000);
    insta::assert_snapshot!(world.trace.join("\n"));
    assert_eq!(world.held(&"a".into()).len(), 2);
    assert_eq!(world.owned(&"a".into()).len(), 16);
}

#[test]
fn three_nodes_start() {
    let mut world = World::new(2);
    world.tracing = true;
    world.start("a", "d0");
    world.start("b", "d1");
    world.start("c", "d2");
    declare(&mut world, service("checks", 6, 64));
    world.run(3_000);
    insta::assert_snapshot!(world.trace.join("\n"));
    for name in ["a", "b", "c"] {
        assert_eq!(world.held(&name.into()).len(), 2);
    }
}

#[test]
fn node_is_lost() {
    let mut world = settled();
    world.tracing = true;
    world.kill("b");
    world.run(3_000);
    insta::assert_snapshot!(world.trace.join("\n"));
    assert_eq!(world.held(&"a".into()).len() + world.held(&"c".into()).len(), 6);
}

#[test]
fn server_is_lost_and_back() {
    let mut world = settled();
    world.tracing = true;
    world.set_server("checks", ServerId(1), false);
    world.run(1_000);
    world.set_server("checks", ServerId(1), true);
    world.run(1_000);
    insta::assert_snapshot!(world.trace.join("\n"));
}

#[test]
fn server_drains() {
    let mut world = settled();
    world.tracing = true;
    let mut drained = service("checks", 6, 64);
    drained.servers.get_mut(&ServerId(2)).unwrap().state = ServerState::Draining;
    declare(&mut world, drained);
    world.run(2_000);
    insta::assert_snapshot!(world.trace.join("\n"));
}

#[test]
fn node_pauses_past_its_lease() {
    let mut world = settled();
    world.tracing = true;
    world.pause("b", 2_000);
    world.run(4_000);
    insta::assert_snapshot!(world.trace.join("\n"));
    assert!(world.held(&"b".into()).len() >= 2);
}

#[test]
fn node_retires() {
    let mut world = settled();
    world.tracing = true;
    world.feed("a", Event::Retire);
    world.run(2_000);
    insta::assert_snapshot!(world.trace.join("\n"));
    assert!(world.procs["a"].control.retired());
    assert_eq!(world.held(&"b".into()).len() + world.held(&"c".into()).len(), 6);
}

/// Writes a plan as confirmed, computed from the present version of the service.
pub fn confirm(world: &mut World, id: &str, steps: Vec<Step>) {
    let base =
        [(Name::from("service/checks"), world.objects[&Key::new(Kind::Service, "checks")].version)];
    let plan = Plan {
        id: id.into(),
        intent: "test".into(),
        base: base.into(),
        steps,
        state: PlanState::Confirmed,
        done: 0,
        reason: Name::new(),
    };
    world.write(Key::new(Kind::Plan, id), Value::Plan(plan));
}

#[test]
fn plan_moves_slices_and_a_key() {
    let mut world = settled();
    world.tracing = true;
    let service = Name::from("checks");
    let to = ServerId(3);
    let mut steps: Vec<Step> = [0, 1, 2]
        .map(|slice| Step::MoveSlice { service: service.clone(), slice: Slice(slice), to })
        .into();
    steps.push(Step::MoveKey { service, key: "supplier".into(), to });
    confirm(&mut world, "p1", steps);
    world.run(2_000);
    insta::assert_snapshot!(world.trace.join("\n"));
}

#[test]
fn two_plans_conflict() {
    let mut world = settled();
    world.tracing = true;
    let want = |server: u32| Step::Want {
        service: "checks".into(),
        server: ServerId(server),
        state: ServerState::Draining,
    };
    confirm(&mut world, "p2", vec![want(2)]);
    confirm(&mut world, "p1", vec![want(1)]);
    world.run(2_000);
    insta::assert_snapshot!(world.trace.join("\n"));
}
