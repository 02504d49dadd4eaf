//! Moves slices and single keys to balance the measured load of the servers.
//!
//! Each round makes a bounded number of moves. A tolerated imbalance and separate thresholds for
//! hot and cold keys provide hysteresis.

use {
    super::{
        Observations, Write,
        load::{ServerLoad, report_period},
        plans::isolate_key,
        segment_key, segment_of,
        segments::Servers,
    },
    crate::{
        model::{SEGMENT_SLICES, Segment, Service},
        name::{Name, ServerId, Slice, slice_of},
        placement::{Limits, Policy, Target, Unit, place},
        record::Value,
        rendezvous::rank,
        replica::Replica,
        time::Tick,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Mean load of a server below which the service counts as idle, in microseconds of slot time per
/// second. With so few requests the measured load is mostly noise, and moves would only follow it.
const IDLE_LOAD_US: f64 = 50_000.0;

/// Tolerated load above the mean, as a fraction of the mean.
const SLACK: f64 = 0.04;

/// Number of units per move that a round may make.
const UNITS_PER_MOVE: usize = 16;

/// Moves per round that are allowed however few units there are.
const MIN_MOVES: usize = 4;

/// Upper limit on the moves per round.
const MAX_MOVES: usize = 256;

/// Load from which a key is separated from its slice, as a fraction of the mean server load.
const HOT_KEY_SHARE: f64 = 0.04;

/// Load below which a single key returns to its slice, as a fraction of the mean server load.
const COLD_KEY_SHARE: f64 = 0.01;

/// Limit on the single keys of a service.
const MAX_SINGLE_KEYS: usize = 256;

/// Load added to that of every slice, as a fraction of the mean slice load.
const BASE_LOAD_SHARE: f64 = 0.05;

type Segments = BTreeMap<u32, Segment>;

/// Slice or key behind a unit; a key comes with the index of its segment.
enum UnitId {
    Slice(Slice),
    Key(u32, Name),
}

/// Returns the segments of `service` with the moves that balance its load.
///
/// Returns nothing while earlier moves are pending or reports are incomplete.
pub fn moves(
    replica: &Replica,
    observed: &Observations,
    now: Tick,
    service: &Service,
    policy: Policy,
) -> Vec<Write> {
    let indexes = 0..super::segments::segment_count(service);
    let segments: Segments = indexes
        .filter_map(|index| Some((index, segment_of(replica, &service.name, index)?.clone())))
        .collect();
    if has_pending_moves(&segments) {
        return Vec::new();
    }
    let servers = Servers::new(replica, observed, now, service);
    let targets: Vec<Target> = servers.targets();
    let Some(measured) = Measured::new(observed, now, report_period(replica), service, &targets)
    else {
        return Vec::new();
    };
    let mut after = segments.clone();
    update_single_keys(replica, service, &measured, &mut after);
    let (ids, units) = list_units(service, &measured, &after);
    let moves = (units.len() / UNITS_PER_MOVE).clamp(MIN_MOVES, MAX_MOVES);
    let owners = place(policy, &units, &targets, Limits { moves, slack: SLACK });
    for ((id, unit), owner) in ids.iter().zip(&units).zip(&owners) {
        if unit.owner != Some(*owner) {
            set_next_owner(&mut after, id, *owner);
        }
    }
    let changed = after.into_iter().filter(|(index, segment)| segments.get(index) != Some(segment));
    let write = |(index, segment)| Write {
        key: segment_key(&service.name, index),
        value: Some(Value::Segment(segment)),
    };
    changed.map(write).collect()
}

fn has_pending_moves(segments: &Segments) -> bool {
    let owners =
        segments.values().flat_map(|segment| segment.owners.iter().chain(segment.keys.values()));
    owners.into_iter().any(|owner| owner.next.is_some())
}

/// Measured load of a service.
struct Measured<'a> {
    /// Load of each server, empty if the service is idle or no server reported.
    servers: BTreeMap<ServerId, &'a ServerLoad>,
    mean: f64,
}

impl<'a> Measured<'a> {
    /// Collects the load; `None` if only some of the servers have a recent report.
    fn new(
        observed: &'a Observations,
        now: Tick,
        period: Duration,
        service: &Service,
        targets: &[Target],
    ) -> Option<Self> {
        let load = |target: &Target| observed.loads.get(&(service.name.clone(), target.server));
        let fresh = |target: &Target| {
            load(target).filter(|load| load.is_fresh(now, period)).map(|l| (target.server, l))
        };
        let servers: BTreeMap<ServerId, &ServerLoad> = targets.iter().filter_map(fresh).collect();
        if targets.is_empty() || !(servers.is_empty() || servers.len() == targets.len()) {
            return None;
        }
        let total: f64 = servers.values().map(|load| load.total).sum();
        let mean = total / targets.len() as f64;
        if mean < IDLE_LOAD_US {
            return Some(Self { servers: BTreeMap::new(), mean: 0.0 });
        }
        Some(Self { servers, mean })
    }

    fn key(&self, server: ServerId, key: &Name) -> f64 {
        let load = self.servers.get(&server);
        load.and_then(|load| load.keys.get(key)).copied().unwrap_or_default()
    }
}

/// Separates hot keys from their slices and returns cold ones.
fn update_single_keys(
    replica: &Replica,
    service: &Service,
    measured: &Measured<'_>,
    after: &mut Segments,
) {
    for segment in after.values_mut() {
        return_cold_keys(service, measured, segment);
    }
    let mut count: usize = after.values().map(|segment| segment.keys.len()).sum();
    let hot = |load: &f64| *load >= measured.mean * HOT_KEY_SHARE;
    for load in measured.servers.values() {
        for (key, _) in load.keys.iter().filter(|(_, load)| hot(load)) {
            let slice = slice_of(key, service.slices);
            let index = slice.0 / SEGMENT_SLICES;
            let Some(segment) = after.get_mut(&index) else { continue };
            if count >= MAX_SINGLE_KEYS || segment.keys.contains_key(key) {
                continue;
            }
            let Some(owner) = segment.owner(slice).map(|owner| owner.server) else { continue };
            isolate_key(
                segment,
                slice,
                key,
                replica.version(&segment_key(&service.name, index)),
                owner,
            );
            count += 1;
        }
    }
}

/// Returns the cold keys of a segment to their slices.
///
/// A key with another owner than its slice moves to that owner first.
fn return_cold_keys(service: &Service, measured: &Measured<'_>, segment: &mut Segment) {
    let owners = segment.owners.clone();
    let first = segment.first;
    segment.keys.retain(|key, owner| {
        if measured.key(owner.server, key) >= measured.mean * COLD_KEY_SHARE {
            return true;
        }
        let offset = (slice_of(key, service.slices).0 - first) as usize;
        let Some(slice_owner) = owners.get(offset).map(|owner| owner.server) else { return true };
        if owner.server != slice_owner {
            owner.next = Some(slice_owner);
        }
        owner.server != slice_owner
    });
}

/// Returns the slices and single keys of a service, each with its placement unit.
fn list_units(
    service: &Service,
    measured: &Measured<'_>,
    segments: &Segments,
) -> (Vec<UnitId>, Vec<Unit>) {
    let loads = SliceLoads::new(service, measured, segments);
    let mut ids = Vec::new();
    let mut units = Vec::new();
    for (index, segment) in segments {
        for (offset, owner) in segment.owners.iter().enumerate() {
            let slice = Slice(segment.first + offset as u32);
            let load = loads.slice(measured, owner.server, slice);
            let hash = rank(&[&service.name], u64::from(slice.0));
            ids.push(UnitId::Slice(slice));
            units.push(Unit { hash, load, owner: Some(owner.server) });
        }
        for (key, owner) in segment.keys.iter().filter(|(_, owner)| owner.next.is_none()) {
            let load = measured.key(owner.server, key) as u64;
            let hash = rank(&[&service.name, key], 0);
            ids.push(UnitId::Key(*index, key.clone()));
            units.push(Unit { hash, load, owner: Some(owner.server) });
        }
    }
    (ids, units)
}

/// Estimated load of the slices, including those that reports do not list.
struct SliceLoads {
    /// Load of a slice that is not listed, by server.
    shares: BTreeMap<ServerId, f64>,
    /// Load added to that of every slice.
    base: f64,
    /// Load of single keys by slice and server, which reports include in the load of the slice.
    key_loads: BTreeMap<(Slice, ServerId), f64>,
}

impl SliceLoads {
    /// Divides the load that reports do not attribute to a slice among the server's other slices.
    fn new(service: &Service, measured: &Measured<'_>, segments: &Segments) -> Self {
        let mut key_loads: BTreeMap<(Slice, ServerId), f64> = BTreeMap::new();
        let mut unnamed: BTreeMap<ServerId, (f64, usize)> = BTreeMap::new();
        for (server, load) in &measured.servers {
            unnamed.insert(*server, (load.total - load.slices.values().sum::<f64>(), 0));
        }
        for segment in segments.values() {
            for (key, owner) in &segment.keys {
                let at = (slice_of(key, service.slices), owner.server);
                *key_loads.entry(at).or_default() += measured.key(owner.server, key);
            }
            for (offset, owner) in segment.owners.iter().enumerate() {
                let slice = Slice(segment.first + offset as u32);
                let named = measured
                    .servers
                    .get(&owner.server)
                    .is_some_and(|l| l.slices.contains_key(&slice));
                let entry = unnamed.entry(owner.server).or_default();
                entry.1 += usize::from(!named);
            }
        }
        let share = |(load, slices): (f64, usize)| load.max(0.0) / slices.max(1) as f64;
        let shares = unnamed
            .into_iter()
            .map(|(server, unnamed_load)| (server, share(unnamed_load)))
            .collect();
        let total = measured.mean * measured.servers.len() as f64;
        let base = (total / f64::from(service.slices.max(1)) * BASE_LOAD_SHARE).max(1.0);
        Self { shares, base, key_loads }
    }

    fn slice(&self, measured: &Measured<'_>, server: ServerId, slice: Slice) -> u64 {
        let named = measured.servers.get(&server).and_then(|load| load.slices.get(&slice));
        let key_load = self.key_loads.get(&(slice, server)).copied().unwrap_or_default();
        let load = match named {
            Some(load) => (load - key_load).max(0.0),
            None => self.shares.get(&server).copied().unwrap_or_default(),
        };
        (load + self.base) as u64
    }
}

fn set_next_owner(segments: &mut Segments, id: &UnitId, to: ServerId) {
    match id {
        UnitId::Slice(slice) => {
            let Some(segment) = segments.get_mut(&(slice.0 / SEGMENT_SLICES)) else { return };
            let offset = (slice.0 - segment.first) as usize;
            segment.owners[offset].next = Some(to);
        }
        UnitId::Key(index, key) => {
            let owner = segments.get_mut(index).and_then(|segment| segment.keys.get_mut(key));
            if let Some(owner) = owner {
                owner.next = Some(to);
            }
        }
    }
}
