//! Cost of the control machines by the number of nodes.
//!
//! `cargo test --release -p whinspring --test control -- --ignored --nocapture scaling` prints one
//! JSON object for each size; `WHINSPRING_NODES=1300` measures only that size.

use {
    crate::{
        fake::World,
        sessions::{declare, service},
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

/// Bytes of TCP, IP and Ethernet headers for a message sent alone.
const HEADER_BYTES: usize = 66;

/// Time over which the steady state is measured, in milliseconds.
const STEADY_MS: u64 = 3_000;

/// Time between the starts of two nodes, in milliseconds.
const START_MS: u64 = 10;

/// Failure domains.
const DOMAINS: usize = 9;

/// Returns the bytes of a message on the network.
fn size(message: &Message) -> usize {
    whinspring_wire::control::encode(message).len() + 4 + HEADER_BYTES
}

/// Returns a settled world of `nodes` nodes with twice as many servers.
fn settled(nodes: usize) -> World {
    let mut world = World::new(nodes as u64);
    world.checking = false;
    for index in 0..nodes {
        world.start(&name(index), &format!("d{}", index % DOMAINS));
        world.run(START_MS);
    }
    let start = world.now;
    while leased(&world) < nodes {
        world.run(100);
        assert!(world.now - start < 120_000_000, "only {} nodes have a lease", leased(&world));
    }
    world.run(2_000);
    let mut declared = service("checks", 2 * nodes as u32, 4_096);
    for server in declared.servers.values_mut() {
        server.domain = format!("d{}", server.addr.port() as usize % DOMAINS).into();
    }
    declare(&mut world, declared);
    world.run(5_000);
    world
}

/// Returns the name of a node.
fn name(index: usize) -> String {
    format!("n{index:04}")
}

/// Returns how many nodes have a valid lease.
fn leased(world: &World) -> usize {
    world.procs.iter().filter(|(n, p)| world.tick(n) < p.control.lease_until()).count()
}

/// Runs until every node has seen `revision`, and returns the milliseconds this takes.
fn spread(world: &mut World, revision: u64) -> u64 {
    let mut ms = 0;
    while world.procs.values().any(|proc| proc.control.replica().seen() < revision) {
        world.run(1);
        ms += 1;
        assert!(ms < 60_000, "revision {revision} does not spread");
    }
    ms
}

/// Runs until all servers are held by nodes that know it, and returns the milliseconds.
fn held(world: &mut World, servers: usize) -> u64 {
    let mut ms = 0;
    while world.procs.keys().map(|name| world.held(name).len()).sum::<usize>() < servers {
        world.run(10);
        ms += 10;
        assert!(ms < 60_000, "not every server is held");
    }
    ms
}

/// Kills these nodes, and returns the milliseconds until every server is held again and the writes.
fn lose(world: &mut World, servers: usize, lost: &[Name]) -> (u64, u64) {
    let puts = world.counts.puts;
    for name in lost {
        world.kill(name);
    }
    let ms = held(world, servers);
    world.run(3_000);
    (ms, world.counts.puts - puts)
}

/// Measures one size.
fn measure(nodes: usize) {
    let mut world = settled(nodes);
    let servers = 2 * nodes;
    held(&mut world, servers);
    world.run(2_000);

    world.size = Some(size);
    world.counts = Default::default();
    world.run(STEADY_MS);
    let per = |count: f64| count / nodes as f64 / (STEADY_MS as f64 / 1_000.0);
    let messages = per(world.counts.messages as f64);
    let bytes = per(world.counts.bytes as f64);
    let busy = per(world.counts.busy as f64 / 1e9);
    let (puts, reads) = (world.counts.puts, world.counts.reads);
    let lessees = world.procs.values().map(|proc| proc.control.status().lessees);
    let lessees = lessees.max().unwrap_or_default();
    let watchers = world.procs.values().filter(|proc| proc.control.status().watcher).count();

    let before = world.counts.bytes;
    let mut changed = service("checks", servers as u32, 4_096);
    changed.deadline_ms += 1;
    for server in changed.servers.values_mut() {
        server.domain = format!("d{}", server.addr.port() as usize % DOMAINS).into();
    }
    declare(&mut world, changed);
    let revision = world.revision;
    let spread_ms = spread(&mut world, revision);
    let spread_bytes = (world.counts.bytes - before) / nodes as u64;

    let plain = |world: &World| -> Vec<Name> {
        let controls = |name: &Name| world.procs[name].control.is_controller();
        world.procs.keys().filter(|name| !controls(name)).cloned().collect()
    };
    let one = plain(&world)[nodes / 2].clone();
    let (loss_ms, loss_puts) = lose(&mut world, servers, &[one]);
    let controller = world.procs.keys().find(|n| world.procs[*n].control.is_controller()).cloned();
    let (controller_ms, _) = lose(&mut world, servers, &[controller.unwrap()]);
    let domain: Vec<Name> = world
        .procs
        .keys()
        .filter(|n| n[1..].parse::<usize>().unwrap() % DOMAINS == 4)
        .cloned()
        .collect();
    let (domain_ms, domain_puts) = lose(&mut world, servers, &domain);
    println!(
        "{{\"nodes\":{nodes},\"messages_per_node_s\":{messages:.1},\"bytes_per_node_s\":{bytes:.0},\
         \"cpu_share\":{busy:.5},\"steady_puts\":{puts},\"steady_reads\":{reads},\
         \"max_lessees\":{lessees},\"watchers\":{watchers},\"spread_ms\":{spread_ms},\
         \"spread_bytes_per_node\":{spread_bytes},\"loss_ms\":{loss_ms},\"loss_puts\":{loss_puts},\
         \"controller_loss_ms\":{controller_ms},\"domain_nodes\":{},\"domain_loss_ms\":{domain_ms},\
         \"domain_loss_puts\":{domain_puts}}}",
        domain.len(),
    );
}

#[test]
#[ignore = "measures for minutes"]
fn scaling() {
    let one = env::var("WHINSPRING_NODES").ok().and_then(|text| text.parse().ok());
    let sizes = one.map_or(vec![100, 200, 400, 700, 1_300], |nodes| vec![nodes]);
    for nodes in sizes {
        measure(nodes);
    }
}

/// Prints the time of the controller's decisions at full size, in milliseconds.
#[test]
#[ignore = "prints figures for the capacity page"]
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
        let (hold_ms, holders) = timed(|| hold(&replica, &memory, &service));
        for write in writes.into_iter().chain(holders) {
            store(&mut replica, write.key, write.value.unwrap());
        }
        let (idle_ms, none) = timed(|| segments::reconcile(&replica, &memory, Tick(1), &service));
        let (idle_hold_ms, no_holders) = timed(|| hold(&replica, &memory, &service));
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
            loss.len(),
        );
    }
}

/// Plans the holders of a service.
fn hold(replica: &Replica, memory: &Observations, service: &Service) -> Option<Write> {
    holders::reconcile(replica, memory, service, &mut holders::Pool::new(replica))
}

/// Returns the result of a function and how many milliseconds it took.
fn timed<T>(run: impl FnOnce() -> T) -> (f64, T) {
    let start = Instant::now();
    let result = run();
    (start.elapsed().as_secs_f64() * 1e3, result)
}
