//! Load reports and load balancing.

use {
    crate::{
        fake::Simulation,
        sessions::{service, write_declaration},
    },
    std::collections::BTreeMap,
    whinspring::{
        control::Event,
        message::Message,
        model::Segment,
        name::{Name, ServerId, Slice, slice_of},
        record::{Key, Kind, Value},
    },
};

/// Number of slices of the service.
const SLICES: u32 = 256;

/// Loads of the slices and the keys of one server.
type Load = (Vec<(Slice, u64)>, Vec<(Name, u64)>);

/// Returns the load of a slice without its hot key, in microseconds of slot time per second.
fn slice_load(slice: Slice) -> u64 {
    1_000 + u64::from(slice.0 % 7) * 2_000
}

/// Returns the only segment of the service.
fn segment(sim: &Simulation) -> Segment {
    match &sim.objects[&Key::new(Kind::Segment, "checks.0")].value {
        Some(Value::Segment(segment)) => segment.clone(),
        _ => panic!("segment checks.0 does not exist"),
    }
}

/// Returns the loads of the slices and keys of each server.
fn server_loads(segment: &Segment, hot: &[(Name, u64)]) -> BTreeMap<ServerId, Load> {
    let mut loads: BTreeMap<ServerId, Load> = BTreeMap::new();
    for (offset, owner) in segment.owners.iter().enumerate() {
        let slice = Slice(offset as u32);
        loads.entry(owner.server).or_default().0.push((slice, slice_load(slice)));
    }
    for (key, load) in hot {
        let slice = slice_of(key, SLICES);
        let home = &segment.owners[slice.0 as usize];
        let server = segment.keys.get(key).unwrap_or(home).server;
        let entry = loads.entry(server).or_default();
        entry.1.push((key.clone(), *load));
        match entry.0.iter_mut().find(|(other, _)| *other == slice) {
            Some(slice) => slice.1 += load,
            None => entry.0.push((slice, *load)),
        }
    }
    loads
}

/// Reports the load of all servers once a second, as holders do.
fn report_loads(sim: &mut Simulation, seconds: u32, hot: &[(Name, u64)]) {
    for _ in 0..seconds {
        for (server, (mut slices, keys)) in server_loads(&segment(sim), hot) {
            let total: u64 = slices.iter().map(|(_, load)| load).sum();
            slices.sort_by_key(|(_, load)| std::cmp::Reverse(*load));
            slices.truncate(32);
            let (service, busy) = (Name::from("checks"), (total / 2_000) as u32);
            sim.inject("a", Event::Report(Message::Load { service, server, busy, slices, keys }));
        }
        sim.run(1_000);
    }
}

/// Returns the largest load of a server divided by the mean load.
fn imbalance(sim: &Simulation, hot: &[(Name, u64)]) -> f64 {
    let loads = server_loads(&segment(sim), hot);
    let totals: Vec<u64> =
        loads.values().map(|(slices, _)| slices.iter().map(|(_, load)| load).sum()).collect();
    let mean = totals.iter().sum::<u64>() as f64 / 6.0;
    *totals.iter().max().unwrap() as f64 / mean
}

#[test]
fn hot_keys_get_own_owners_and_load_is_balanced() {
    let mut sim = Simulation::new(5);
    sim.start("a", "d0");
    sim.start("b", "d1");
    sim.start("c", "d2");
    write_declaration(&mut sim, service("checks", 6, SLICES));
    sim.run(3_000);

    let hot = |names: &[&str]| -> Vec<(Name, u64)> {
        names.iter().map(|name| (Name::from(*name), 150_000)).collect()
    };
    let first = hot(&["k1", "k2", "k3", "k4", "k5"]);
    report_loads(&mut sim, 60, &first);
    assert!(imbalance(&sim, &first) <= 1.10, "{}", imbalance(&sim, &first));
    assert_eq!(segment(&sim).keys.len(), 5);

    let second = hot(&["k6", "k7", "k8"]);
    report_loads(&mut sim, 60, &second);
    assert!(imbalance(&sim, &second) <= 1.10, "{}", imbalance(&sim, &second));
    let keys: Vec<Name> = segment(&sim).keys.keys().cloned().collect();
    assert_eq!(keys, ["k6", "k7", "k8"]);

    let before = sim.puts;
    report_loads(&mut sim, 60, &second);
    assert_eq!(sim.puts, before, "writes without a change of load");
}

#[test]
fn low_load_moves_nothing() {
    let mut sim = Simulation::new(6);
    sim.start("a", "d0");
    sim.start("b", "d1");
    sim.start("c", "d2");
    write_declaration(&mut sim, service("checks", 6, SLICES));
    sim.run(3_000);

    let before = segment(&sim);
    for second in 0..60 {
        for server in (0..6).map(ServerId) {
            let lone = u64::from(server.0 == second % 6) * 5_000;
            let slice = before.owners.iter().position(|owner| owner.server == server);
            let slices = vec![(Slice(slice.expect("each server has slices") as u32), lone)];
            let (service, keys) = (Name::from("checks"), vec![("lone".into(), lone)]);
            let load = Message::Load { service, server, busy: 2, slices, keys };
            sim.inject("a", Event::Report(load));
        }
        sim.run(1_000);
    }
    assert_eq!(segment(&sim), before);
}
