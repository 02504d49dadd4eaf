//! Moves that even out the load: a bounded plan against the measured load, with hysteresis.

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
        rank::rank,
        record::Value,
        replica::Replica,
        time::Tick,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Mean load of a server below which the service counts as idle, in microseconds of slot time a
/// second: what so few requests cost is chance, and moves would only follow it about.
const IDLE_LOAD_US: f64 = 50_000.0;

/// Load above the mean that is left alone, as a share of the mean.
const SLACK: f64 = 0.04;

/// Moves in one round, as a part of the units.
const UNITS_PER_MOVE: usize = 16;

/// Moves in one round that are always allowed.
const MIN_MOVES: usize = 4;

/// Moves in one round at most.
const MAX_MOVES: usize = 256;

/// Load of a key that is lifted out of its slice, as a share of a server's mean load.
const HOT_KEY_SHARE: f64 = 0.04;

/// Load below which a lifted key returns to its slice, as a share of a server's mean load.
const COLD_KEY_SHARE: f64 = 0.01;

/// Lifted keys of one service.
const MAX_SINGLE_KEYS: usize = 256;

/// Load that every slice is taken to have, as a share of the mean slice load.
const BASE_LOAD_SHARE: f64 = 0.05;

/// Segments by index.
type Segments = BTreeMap<u32, Segment>;

/// What a unit stands for.
enum UnitId {
    Slice(Slice),
    Key(u32, Name),
}

/// Returns the segments of `service` with moves that even out its load.
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

/// Returns whether anything of a service is on the move.
fn has_pending_moves(segments: &Segments) -> bool {
    let owners =
        segments.values().flat_map(|segment| segment.owners.iter().chain(segment.keys.values()));
    owners.into_iter().any(|owner| owner.next.is_some())
}

/// The load of a service.
struct Measured<'a> {
    /// Load of each server that reported.
    servers: BTreeMap<ServerId, &'a ServerLoad>,
    /// Mean load of a server.
    mean: f64,
}

impl<'a> Measured<'a> {
    /// Gathers the load; `None` unless all or none of the servers reported lately.
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

    /// Returns the load of a key on its server.
    fn key(&self, server: ServerId, key: &Name) -> f64 {
        let load = self.servers.get(&server);
        load.and_then(|load| load.keys.get(key)).copied().unwrap_or_default()
    }
}

/// Lifts hot keys out of their slices, and lets keys that cooled down return.
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

/// Lets the cold keys of a segment return to their slices.
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

/// Returns the units of a service and what they stand for.
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

/// What is known of the load of slices that are not among the heaviest.
struct SliceLoads {
    /// Load of each such slice by server.
    shares: BTreeMap<ServerId, f64>,
    /// Load that every slice is taken to have.
    base: f64,
    /// Load of lifted keys by slice and server: reports count it for the slice.
    key_loads: BTreeMap<(Slice, ServerId), f64>,
}

impl SliceLoads {
    /// Divides what the reports do not name among the other slices of each server.
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

    /// Returns the load of a slice on its server.
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

/// Names the next owner of a unit.
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
