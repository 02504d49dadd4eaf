//! Snapshots of the traces of whole runs.

use {
    crate::fake::Simulation,
    std::collections::BTreeMap,
    whinspring::{
        control::Event,
        model::{KeyPlace, Plan, PlanState, Server, ServerState, Service, Step},
        name::{Name, ServerId, Slice},
        record::{Key, Kind, Value},
    },
};

/// Returns a service with `servers` servers in three failure domains.
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

pub fn write_declaration(sim: &mut Simulation, service: Service) {
    sim.write(Key::new(Kind::Service, service.name.clone()), Value::Service(service));
}

/// Returns a converged simulation of three nodes and one service.
fn start_settled() -> Simulation {
    let mut sim = Simulation::new(1);
    sim.start("a", "d0");
    sim.start("b", "d1");
    sim.start("c", "d2");
    write_declaration(&mut sim, service("checks", 6, 64));
    sim.run(5_000);
    sim
}

#[test]
fn single_node_starts() {
    let mut sim = Simulation::new(1);
    sim.tracing = true;
    sim.start("a", "d0");
    write_declaration(&mut sim, service("checks", 2, 16));
    sim.run(3_000);
    insta::assert_snapshot!(sim.trace.join("\n"));
    assert_eq!(sim.held_servers(&"a".into()).len(), 2);
    assert_eq!(sim.owned_slices(&"a".into()).len(), 16);
}

#[test]
fn three_nodes_start() {
    let mut sim = Simulation::new(2);
    sim.tracing = true;
    sim.start("a", "d0");
    sim.start("b", "d1");
    sim.start("c", "d2");
    write_declaration(&mut sim, service("checks", 6, 64));
    sim.run(3_000);
    insta::assert_snapshot!(sim.trace.join("\n"));
    for name in ["a", "b", "c"] {
        assert_eq!(sim.held_servers(&name.into()).len(), 2);
    }
}

#[test]
fn node_is_lost() {
    let mut sim = start_settled();
    sim.tracing = true;
    sim.kill("b");
    sim.run(3_000);
    insta::assert_snapshot!(sim.trace.join("\n"));
    assert_eq!(sim.held_servers(&"a".into()).len() + sim.held_servers(&"c".into()).len(), 6);
}

#[test]
fn server_is_lost_and_back() {
    let mut sim = start_settled();
    sim.tracing = true;
    sim.set_server_up("checks", ServerId(1), false);
    sim.run(1_000);
    sim.set_server_up("checks", ServerId(1), true);
    sim.run(1_000);
    insta::assert_snapshot!(sim.trace.join("\n"));
}

#[test]
fn server_drains() {
    let mut sim = start_settled();
    sim.tracing = true;
    let mut drained = service("checks", 6, 64);
    drained.servers.get_mut(&ServerId(2)).unwrap().state = ServerState::Draining;
    write_declaration(&mut sim, drained);
    sim.run(2_000);
    insta::assert_snapshot!(sim.trace.join("\n"));
}

#[test]
fn node_pauses_past_its_lease() {
    let mut sim = start_settled();
    sim.tracing = true;
    sim.pause("b", 2_000);
    sim.run(4_000);
    insta::assert_snapshot!(sim.trace.join("\n"));
    assert!(sim.held_servers(&"b".into()).len() >= 2);
}

#[test]
fn node_stops_gracefully() {
    let mut sim = start_settled();
    sim.tracing = true;
    sim.inject("a", Event::Stop);
    sim.run(2_000);
    insta::assert_snapshot!(sim.trace.join("\n"));
    assert!(sim.processes["a"].control.is_stopped());
    assert_eq!(sim.held_servers(&"b".into()).len() + sim.held_servers(&"c".into()).len(), 6);
}

/// Writes a confirmed plan that is based on the current version of the service.
pub fn write_confirmed_plan(sim: &mut Simulation, id: &str, steps: Vec<Step>) {
    let base =
        [(Name::from("service/checks"), sim.objects[&Key::new(Kind::Service, "checks")].version)];
    let plan = Plan {
        id: id.into(),
        intent: "test".into(),
        base: base.into(),
        steps,
        state: PlanState::Confirmed,
        done: 0,
        reason: Name::new(),
    };
    sim.write(Key::new(Kind::Plan, id), Value::Plan(plan));
}

#[test]
fn plan_moves_slices_and_a_key() {
    let mut sim = start_settled();
    sim.tracing = true;
    let service = Name::from("checks");
    let to = ServerId(3);
    let mut steps: Vec<Step> = [0, 1, 2]
        .map(|slice| Step::MoveSlice { service: service.clone(), slice: Slice(slice), to })
        .into();
    steps.push(Step::MoveKey { service, key: "supplier".into(), to });
    write_confirmed_plan(&mut sim, "p1", steps);
    sim.run(2_000);
    insta::assert_snapshot!(sim.trace.join("\n"));
}

#[test]
fn two_plans_conflict() {
    let mut sim = start_settled();
    sim.tracing = true;
    let want = |server: u32| Step::SetState {
        service: "checks".into(),
        server: ServerId(server),
        state: ServerState::Draining,
    };
    write_confirmed_plan(&mut sim, "p2", vec![want(2)]);
    write_confirmed_plan(&mut sim, "p1", vec![want(1)]);
    sim.run(2_000);
    insta::assert_snapshot!(sim.trace.join("\n"));
}
