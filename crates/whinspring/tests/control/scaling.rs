//! Cost of the control state machines by number of nodes.
//!
//! `cargo test --release -p whinspring --test control -- --ignored --nocapture scaling` prints one
//! JSON object for each size; `WHINSPRING_NODES=1300` measures only that size.

use {
    crate::{
        fake::Simulation,
        sessions::{service, write_declaration},
    },
    std::{env, time::Instant},
    whinspring::{
        message::Message,
        model::{Node, NodeState, Service},
        name::{Name, ServerId},
        placement::Policy,
        planner::{Observations, Write, holders, rebalance, segments},
        record::{Key, Kind, Record, Value},
        replica::Replica,
        time::Tick,
    },
};

/// Bytes of TCP, IP and Ethernet headers of a message sent in a packet of its own.
const HEADER_BYTES: usize = 66;

/// Duration of the steady-state measurement, in milliseconds.
const STEADY_MS: u64 = 3_000;

/// Interval between the starts of two nodes, in milliseconds.
const START_MS: u64 = 10;

/// Number of failure domains.
const DOMAINS: usize = 9;

/// Returns the size of a message on the network, in bytes.
fn wire_size(message: &Message) -> usize {
    whinspring_wire::control::encode(message).len() + 4 + HEADER_BYTES
}

/// Returns a converged simulation of `nodes` nodes with twice as many servers.
fn start_settled(nodes: usize) -> Simulation {
    let mut sim = Simulation::new(nodes as u64);
    sim.check_ownership = false;
    for index in 0..nodes {
        sim.start(&name(index), &format!("d{}", index % DOMAINS));
        sim.run(START_MS);
    }
    let start = sim.now;
    while leased_nodes(&sim) < nodes {
        sim.run(100);
        assert!(sim.now - start < 120_000_000, "only {} nodes have a lease", leased_nodes(&sim));
    }
    sim.run(2_000);
    let mut declared = service("checks", 2 * nodes as u32, 4_096);
    for server in declared.servers.values_mut() {
        server.domain = format!("d{}", server.addr.port() as usize % DOMAINS).into();
    }
    write_declaration(&mut sim, declared);
    sim.run(5_000);
    sim
}

fn name(index: usize) -> String {
    format!("n{index:04}")
}

/// Returns how many nodes have a valid lease.
fn leased_nodes(sim: &Simulation) -> usize {
    sim.processes.iter().filter(|(n, p)| sim.local_time(n) < p.control.lease_expiry()).count()
}

/// Runs until every node has seen `revision` and returns the time taken, in milliseconds.
fn wait_for_revision(sim: &mut Simulation, revision: u64) -> u64 {
    let mut ms = 0;
    while sim.processes.values().any(|proc| proc.control.replica().seen() < revision) {
        sim.run(1);
        ms += 1;
        assert!(ms < 60_000, "revision {revision} did not reach every node within 60 s");
    }
    ms
}

/// Runs until all servers have a holder that knows it and returns the time taken, in milliseconds.
fn wait_until_held(sim: &mut Simulation, servers: usize) -> u64 {
    let mut ms = 0;
    while sim.processes.keys().map(|name| sim.held_servers(name).len()).sum::<usize>() < servers {
        sim.run(10);
        ms += 10;
        assert!(ms < 60_000, "some servers have no holder after 60 s");
    }
    ms
}

/// Kills these nodes; returns the time until every server is held again, in milliseconds, and the
/// number of writes.
fn kill_nodes(sim: &mut Simulation, servers: usize, lost: &[Name]) -> (u64, u64) {
    let puts = sim.counts.puts;
    for name in lost {
        sim.kill(name);
    }
    let ms = wait_until_held(sim, servers);
    sim.run(3_000);
    (ms, sim.counts.puts - puts)
}

/// Measures a deployment of `nodes` nodes and prints the results as JSON.
fn measure(nodes: usize) {
    let mut sim = start_settled(nodes);
    let servers = 2 * nodes;
    wait_until_held(&mut sim, servers);
    sim.run(2_000);

    sim.size_of = Some(wire_size);
    sim.counts = Default::default();
    sim.run(STEADY_MS);
    let per = |count: f64| count / nodes as f64 / (STEADY_MS as f64 / 1_000.0);
    let messages = per(sim.counts.messages as f64);
    let bytes = per(sim.counts.bytes as f64);
    let busy = per(sim.counts.cpu_ns as f64 / 1e9);
    let (puts, reads) = (sim.counts.puts, sim.counts.reads);
    let lessees = sim.processes.values().map(|proc| proc.control.status().lessees);
    let lessees = lessees.max().unwrap_or_default();
    let watchers = sim.processes.values().filter(|proc| proc.control.status().watcher).count();

    let before = sim.counts.bytes;
    let mut changed = service("checks", servers as u32, 4_096);
    changed.deadline_ms += 1;
    for server in changed.servers.values_mut() {
        server.domain = format!("d{}", server.addr.port() as usize % DOMAINS).into();
    }
    write_declaration(&mut sim, changed);
    let revision = sim.revision;
    let spread_ms = wait_for_revision(&mut sim, revision);
    let spread_bytes = (sim.counts.bytes - before) / nodes as u64;

    let plain = |sim: &Simulation| -> Vec<Name> {
        let controls = |name: &Name| sim.processes[name].control.is_controller();
        sim.processes.keys().filter(|name| !controls(name)).cloned().collect()
    };
    let one = plain(&sim)[nodes / 2].clone();
    let (loss_ms, loss_puts) = kill_nodes(&mut sim, servers, &[one]);
    let controller =
        sim.processes.keys().find(|n| sim.processes[*n].control.is_controller()).cloned();
    let (controller_ms, _) = kill_nodes(&mut sim, servers, &[controller.unwrap()]);
    let domain: Vec<Name> = sim
        .processes
        .keys()
        .filter(|n| n[1..].parse::<usize>().unwrap() % DOMAINS == 4)
        .cloned()
        .collect();
    let (domain_ms, domain_puts) = kill_nodes(&mut sim, servers, &domain);
    println!(
        "{{\"nodes\":{nodes},\"messages_per_node_s\":{messages:.1},\"bytes_per_node_s\":{bytes:.0},\
         \"cpu_share\":{busy:.5},\"steady_puts\":{puts},\"steady_reads\":{reads},\
         \"max_lessees\":{lessees},\"watchers\":{watchers},\"spread_ms\":{spread_ms},\
         \"spread_bytes_per_node\":{spread_bytes},\"loss_ms\":{loss_ms},\"loss_puts\":{loss_puts},\
         \"controller_loss_ms\":{controller_ms},\"domain_nodes\":{},\"domain_loss_ms\":{domain_ms},\
         \"domain_loss_puts\":{domain_puts}}}",
        domain.len()
    );
}

#[test]
#[ignore = "benchmark that runs for several minutes"]
fn scaling() {
    let one = env::var("WHINSPRING_NODES").ok().and_then(|text| text.parse().ok());
    let sizes = one.map_or(vec![100, 200, 400, 700, 1_300], |nodes| vec![nodes]);
    for nodes in sizes {
        measure(nodes);
    }
}

/// Prints the duration of the planner's decisions at full size, in milliseconds.
#[test]
#[ignore = "benchmark that prints planning times"]
fn planning() {
    for (slices, servers) in [(8_192, 325), (16_384, 650), (32_768, 1_300), (65_536, 2_600)] {
        let mut replica = Replica::default();
        let service = service("checks", servers, slices);
        let mut records: Vec<Value> = vec![Value::Service(service.clone())];
        records.extend((0..servers / 2).map(|id| {
            Value::Node(Node {
                name: name(id as usize).into(),
                incarnation: 1,
                addr: ([127, 0, 0, 1], 1).into(),
                domain: format!("d{}", id % 3).into(),
                state: NodeState::Live,
                lessors: Vec::new(),
            })
        }));
        let mut version = 0;
        let mut store = |replica: &mut Replica, key: Key, value: Value| {
            version += 1;
            let record = Record { key, version, mark: version, value: Some(value) };
            replica.apply(version - 1, version, vec![record]);
        };
        for value in records {
            let key = match &value {
                Value::Node(node) => Key::new(Kind::Node, node.name.clone()),
                _ => Key::new(Kind::Service, service.name.clone()),
            };
            store(&mut replica, key, value);
        }
        let mut memory = Observations::default();
        let (create_ms, writes) =
            timed(|| segments::reconcile(&replica, &memory, Tick(1), &service));
        let (hold_ms, holders) = timed(|| plan_holders(&replica, &memory, &service));
        for write in writes.into_iter().chain(holders) {
            store(&mut replica, write.key, write.value.unwrap());
        }
        let (idle_ms, none) = timed(|| segments::reconcile(&replica, &memory, Tick(1), &service));
        let (idle_hold_ms, no_holders) = timed(|| plan_holders(&replica, &memory, &service));
        assert!(none.is_empty() && no_holders.is_none());
        memory.lost.insert(("checks".into(), ServerId(1)), 1);
        let (loss_ms, loss) = timed(|| segments::reconcile(&replica, &memory, Tick(1), &service));
        memory.lost.clear();
        let policy = Policy::Greedy;
        let (balance_ms, _) =
            timed(|| rebalance::moves(&replica, &memory, Tick(1), &service, policy));
        println!(
            "{{\"slices\":{slices},\"servers\":{servers},\"create_ms\":{create_ms:.2},\
             \"hold_ms\":{hold_ms:.2},\"idle_ms\":{:.2},\"loss_ms\":{loss_ms:.2},\
             \"loss_writes\":{},\"balance_ms\":{balance_ms:.2}}}",
            idle_ms + idle_hold_ms,
            loss.len()
        );
    }
}

fn plan_holders(replica: &Replica, memory: &Observations, service: &Service) -> Option<Write> {
    holders::reconcile(replica, memory, service, &mut holders::Pool::new(replica))
}

/// Returns the duration of a call in milliseconds, and its result.
fn timed<T>(run: impl FnOnce() -> T) -> (f64, T) {
    let start = Instant::now();
    let result = run();
    (start.elapsed().as_secs_f64() * 1e3, result)
}
