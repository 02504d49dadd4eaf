//! Assigns an owner to each slice.
//!
//! New segments are spread evenly over the servers; slices of lost and draining servers move away.

use {
    super::{Observations, Write, segment_key, segment_of},
    crate::{
        model::{Owner, SEGMENT_SLICES, Segment, ServerState, Service},
        name::{Name, ServerId, Slice},
        placement::Target,
        record::Value,
        replica::Replica,
        time::Tick,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Limit on the slices of a draining server that wait for their release at a time.
const DRAIN_BATCH: usize = 256;

/// Servers of a service by eligibility, with the number of slices of each.
#[derive(Debug)]
pub(super) struct Servers {
    /// Servers that may receive slices, with their slots.
    usable: BTreeMap<ServerId, u32>,
    /// Servers whose slices all move immediately.
    lost: BTreeSet<ServerId>,
    /// Servers whose slices move in batches of [`DRAIN_BATCH`].
    draining: BTreeSet<ServerId>,
    /// Servers that came back and keep their slices and keys at the next epoch.
    recovered: BTreeSet<ServerId>,
    /// Number of slices that each server owns or is about to own.
    counts: BTreeMap<ServerId, usize>,
    /// Usable servers ordered by fill level; built when a server is first picked.
    by_fill: BTreeSet<(u64, ServerId)>,
    /// Number of slices of each server that wait for their release.
    pending: BTreeMap<ServerId, usize>,
}

pub fn segment_count(service: &Service) -> u32 {
    service.slices.div_ceil(SEGMENT_SLICES)
}

/// Returns whether a server owns or is about to own a slice or key of `service`.
pub fn owns(replica: &Replica, service: &Service, server: ServerId) -> bool {
    let uses = |owner: &Owner| owner.server == server || owner.next == Some(server);
    let segments =
        (0..segment_count(service)).filter_map(|index| segment_of(replica, &service.name, index));
    segments.into_iter().any(|segment| segment.owners.iter().chain(segment.keys.values()).any(uses))
}

/// Returns the writes that bring the segments of `service` to the desired state.
pub fn reconcile(
    replica: &Replica,
    observed: &Observations,
    now: Tick,
    service: &Service,
) -> Vec<Write> {
    let mut servers = Servers::new(replica, observed, now, service);
    let mut writes = Vec::new();
    for index in 0..segment_count(service) {
        let value = match segment_of(replica, &service.name, index) {
            Some(segment) => servers.reconcile_segment(observed, &service.name, segment),
            None => servers.create_segment(service, index),
        };
        let key = segment_key(&service.name, index);
        writes.extend(value.map(|segment| Write { key, value: Some(Value::Segment(segment)) }));
    }
    writes
}

impl Servers {
    /// Classifies the servers of a service.
    ///
    /// No server counts as lost if more than half of the active ones are reported lost.
    pub(super) fn new(
        replica: &Replica,
        observed: &Observations,
        now: Tick,
        service: &Service,
    ) -> Self {
        let id = |id: ServerId| (service.name.clone(), id);
        let active =
            |id: &ServerId| service.servers.get(id).is_some_and(|s| s.state == ServerState::Active);
        let reported: BTreeSet<ServerId> = service
            .servers
            .keys()
            .copied()
            .filter(|s| observed.lost.contains_key(&id(*s)))
            .collect();
        let mut usable = BTreeMap::new();
        let mut draining = BTreeSet::new();
        for (server, declared) in &service.servers {
            let is_draining = !active(server)
                || observed.leaving_vms.contains(&declared.name)
                || observed.stopping.contains_key(&id(*server));
            let cooling_down =
                observed.cooldowns.get(&id(*server)).is_some_and(|until| now < *until);
            if is_draining {
                draining.insert(*server);
            } else if !reported.contains(server) && !cooling_down {
                usable.insert(*server, declared.slots.max(1));
            }
        }
        let total = service.servers.keys().filter(|id| active(id)).count();
        let lost_active = reported.iter().filter(|id| active(id)).count();
        let lost = if lost_active * 2 > total { BTreeSet::new() } else { reported };
        let recovered = service
            .servers
            .keys()
            .copied()
            .filter(|s| observed.recovered.contains(&id(*s)))
            .collect();
        let mut servers = Self {
            recovered,
            usable,
            lost,
            draining,
            counts: BTreeMap::new(),
            by_fill: BTreeSet::new(),
            pending: BTreeMap::new(),
        };
        for index in 0..segment_count(service) {
            let Some(segment) = segment_of(replica, &service.name, index) else { continue };
            servers.count_segment(segment);
        }
        servers
    }

    /// Returns the servers that may receive slices, weighted by slots.
    pub(super) fn targets(&self) -> Vec<Target> {
        self.usable
            .iter()
            .map(|(server, slots)| Target { server: *server, weight: *slots })
            .collect()
    }

    fn count_segment(&mut self, segment: &Segment) {
        for owner in &segment.owners {
            *self.counts.entry(owner.next.unwrap_or(owner.server)).or_default() += 1;
            if owner.next.is_some() {
                *self.pending.entry(owner.server).or_default() += 1;
            }
        }
    }

    /// Returns a new segment with slices spread evenly; `None` if no server is usable.
    fn create_segment(&mut self, service: &Service, index: u32) -> Option<Segment> {
        let first = index * SEGMENT_SLICES;
        let slices = SEGMENT_SLICES.min(service.slices - first);
        let mut owners = Vec::with_capacity(slices as usize);
        for _ in 0..slices {
            owners.push(Owner { server: self.pick_server()?, epoch: 1, next: None });
        }
        Some(Segment { first, owners, keys: BTreeMap::new() })
    }

    /// Returns the segment in its desired state, if that differs.
    fn reconcile_segment(
        &mut self,
        observed: &Observations,
        service: &Name,
        segment: &Segment,
    ) -> Option<Segment> {
        let mut changes = Vec::new();
        let released = observed.released_slices.get(service);
        for (offset, owner) in segment.owners.iter().enumerate() {
            let slice = Slice(segment.first + offset as u32);
            let released = released.is_some_and(|set| set.contains(&(slice, owner.epoch)));
            changes.extend(self.reconcile_owner(owner, released).map(|owner| (offset, owner)));
        }
        let mut keys = Vec::new();
        let released = observed.released_keys.get(service);
        for (key, owner) in &segment.keys {
            let released = released.is_some_and(|set| set.contains(&(key.clone(), owner.epoch)));
            keys.extend(self.reconcile_owner(owner, released).map(|owner| (key.clone(), owner)));
        }
        if changes.is_empty() && keys.is_empty() {
            return None;
        }
        let mut after = segment.clone();
        for (offset, owner) in changes {
            after.owners[offset] = owner;
        }
        after.keys.extend(keys);
        Some(after)
    }

    /// Returns the owner in its desired state, if that differs.
    fn reconcile_owner(&mut self, owner: &Owner, released: bool) -> Option<Owner> {
        if let Some(next) = owner.next {
            if !self.usable.contains_key(&next)
                && (self.lost.contains(&next) || self.draining.contains(&next))
            {
                let next = self.pick_server()?;
                return Some(Owner { next: Some(next), ..owner.clone() });
            }
            return released.then(|| Owner { server: next, epoch: owner.epoch + 1, next: None });
        }
        if !self.must_move(owner.server) {
            let recovered = self.recovered.contains(&owner.server);
            return recovered.then(|| Owner { epoch: owner.epoch + 1, ..owner.clone() });
        }
        let next = self.pick_server()?;
        if let Some(count) = self.counts.get_mut(&owner.server) {
            *count = count.saturating_sub(1);
        }
        Some(Owner { next: Some(next), ..owner.clone() })
    }

    /// Returns whether a slice or key of this server has to move now.
    fn must_move(&mut self, server: ServerId) -> bool {
        if self.lost.contains(&server) {
            return true;
        }
        if !self.draining.contains(&server) {
            return false;
        }
        let pending = self.pending.entry(server).or_default();
        *pending += 1;
        *pending <= DRAIN_BATCH
    }

    /// Picks the server with the fewest slices per slot and counts one more slice for it.
    fn pick_server(&mut self) -> Option<ServerId> {
        if self.by_fill.is_empty() {
            self.by_fill = self.usable.keys().map(|id| (self.fill_level(*id), *id)).collect();
        }
        let (_, server) = self.by_fill.pop_first()?;
        *self.counts.entry(server).or_default() += 1;
        self.by_fill.insert((self.fill_level(server), server));
        Some(server)
    }

    /// Returns the slices per slot of a usable server, in millionths.
    fn fill_level(&self, server: ServerId) -> u64 {
        let count = self.counts.get(&server).copied().unwrap_or_default() as u64;
        let slots = self.usable.get(&server).copied().unwrap_or(1);
        count * 1_000_000 / u64::from(slots)
    }
}
