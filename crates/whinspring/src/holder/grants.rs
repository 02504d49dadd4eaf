//! Units that the server owns, slices and single keys: their grants, acknowledgements and release.

use {
    super::event::{Unit, Update},
    crate::{
        model::Owner,
        name::{Name, ServerId, Slice, slice_of},
        request::{Meta, Place},
        time::{Tick, Wall},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

const GRANT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which the return of a single key to its slice is remembered, in milliseconds: the
/// retention of deduplication entries plus the clock skew on both sides.
const RETURN_TTL_MS: u64 = 600_000 + 2 * crate::time::MAX_CLOCK_SKEW_MS;

/// A unit that the server owns.
#[derive(Debug, Clone)]
pub struct Owned {
    pub epoch: u64,
    /// Calendar time since which the deduplication state of its requests is complete.
    pub since: Wall,
    /// Whether the records name a next owner.
    pub moving: bool,
    /// Whether requests for it are no longer started.
    pub released: bool,
    /// Whether its deduplication state was handed over.
    pub handed_over: bool,
    /// Whether no other holder can have served it in this epoch.
    pub first_holder: bool,
    /// Number of the first grant that contains it.
    number: u64,
}

/// A grant as it is sent to the server.
#[derive(Debug, Clone)]
pub struct Grant {
    pub number: u64,
    /// Slices and their epochs.
    pub slices: Vec<(Slice, u64)>,
    /// Single keys and their epochs.
    pub keys: Vec<(Name, u64)>,
}

/// Whether the server owns the key of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ownership {
    /// Owned in this epoch, and the server has acknowledged the grant.
    Ready(u64),
    /// Owned, but the server has not acknowledged the grant yet.
    Pending,
    /// Not owned, released, or about to move.
    NotOwned,
}

#[derive(Debug, Default)]
pub struct Grants {
    term: u64,
    slice_count: u32,
    units: BTreeMap<Unit, Owned>,
    excluded: BTreeSet<Name>,
    /// Keys that returned to their slice, with the time of the return.
    returned: BTreeMap<Name, Wall>,
    /// Number of the last grant.
    number: u64,
    acked: u64,
    sent: Option<Tick>,
}

impl Grants {
    /// Returns whether a request may start here.
    pub fn ownership(&self, meta: &Meta) -> Ownership {
        let Some(owned) = self.find(meta) else { return Ownership::NotOwned };
        if owned.moving || owned.released {
            return Ownership::NotOwned;
        }
        if owned.number > self.acked {
            return Ownership::Pending;
        }
        Ownership::Ready(owned.epoch)
    }

    /// Returns the calendar time since which the deduplication state of the key is complete.
    pub fn since(&self, meta: &Meta) -> Wall {
        let since = self.find(meta).map_or(Wall(u64::MAX), |owned| owned.since);
        let key = meta.place.as_ref().map(|place| &place.key);
        let returned = key.and_then(|key| self.returned.get(key)).copied();
        since.max(returned.unwrap_or_default())
    }

    /// Returns the calendar time since which the deduplication state of a whole unit is complete.
    ///
    /// The state of a slice lacks the requests that its single keys ran on other servers.
    pub fn unit_since(&self, wall: Wall, unit: &Unit, owned: &Owned) -> Wall {
        let Unit::Slice(slice) = unit else { return owned.since };
        let inside = |key: &&Name| slice_of(key, self.slice_count) == *slice;
        if self.excluded.iter().any(|key| inside(&key)) {
            return wall;
        }
        let returned = self.returned.iter().filter(|(key, _)| inside(key));
        returned.map(|(_, at)| *at).fold(owned.since, Wall::max)
    }

    /// Returns whether the server owns a key, even if the key is about to be released.
    pub fn covers(&self, key: &Name, slice: Slice) -> bool {
        if self.units.contains_key(&Unit::Key(key.clone())) {
            return true;
        }
        !self.excluded.contains(key) && self.units.contains_key(&Unit::Slice(slice))
    }

    /// Returns the units that have a next owner and whose state is not handed over yet.
    pub fn moving_units(&self) -> Vec<Unit> {
        let units = self.units.iter().filter(|(_, owned)| owned.moving && !owned.handed_over);
        units.map(|(unit, _)| unit.clone()).collect()
    }

    /// Returns the released units, with their epochs, for which the records still name a next
    /// owner.
    pub fn released_units(&self) -> Vec<(Unit, u64)> {
        let units = self.units.iter().filter(|(_, owned)| owned.moving && owned.released);
        units.map(|(unit, owned)| (unit.clone(), owned.epoch)).collect()
    }

    /// Returns the number of slices of the service; zero if it is unkeyed.
    pub fn slice_count(&self) -> u32 {
        self.slice_count
    }

    pub fn is_keyed(&self) -> bool {
        self.slice_count > 0
    }

    pub fn units(&self) -> impl Iterator<Item = (&Unit, &Owned)> {
        self.units.iter()
    }

    pub fn get(&self, unit: &Unit) -> Option<&Owned> {
        self.units.get(unit)
    }

    /// Returns whether a unit was released without a next owner, and its ownership has not been
    /// renewed since.
    pub fn has_unrenewed(&self) -> bool {
        self.is_keyed() && self.units.values().any(|owned| owned.released && !owned.moving)
    }

    /// Returns the latest grant.
    pub fn grant(&self) -> Grant {
        let mut slices = Vec::new();
        let mut keys = Vec::new();
        for (unit, owned) in self.units.iter().filter(|(_, owned)| !owned.released) {
            match unit {
                Unit::Slice(slice) => slices.push((*slice, owned.epoch)),
                Unit::Key(key) if !key.is_empty() => keys.push((key.clone(), owned.epoch)),
                Unit::Key(_) => {}
            }
        }
        Grant { number: self.number, slices, keys }
    }

    /// Applies the records; returns the units that the server no longer owns.
    pub fn update(&mut self, wall: Wall, update: &Update) -> Vec<(Unit, Owned)> {
        let step = update.term.saturating_sub(self.term);
        let renewed = step > 0;
        let first = self.term == 0;
        self.term = update.term;
        self.slice_count = update.slice_count;
        let old = std::mem::take(&mut self.units);
        let next = self.number + 1;
        for (unit, owner) in owned_units(update) {
            let continuous = step <= 1 && !first;
            let fresh = self.new_owned(wall, &owner, continuous);
            let owned = match (old.get(&unit), self.former_slice(&old, &unit, update)) {
                (Some(before), _) => fresh.carried_from(before, renewed, continuous),
                (None, Some(slice)) => fresh.split_from(slice, renewed, continuous),
                (None, None) => fresh,
            };
            self.units.insert(unit, owned);
        }
        self.record_excluded(wall, update);
        self.record_merged(&old);
        let gone: Vec<(Unit, Owned)> =
            old.into_iter().filter(|(unit, _)| !self.units.contains_key(unit)).collect();
        let added = self.units.values().any(|owned| owned.number == next);
        if renewed || added || !gone.is_empty() {
            self.regrant(false);
        }
        gone
    }

    /// Requires a new grant. With `lost`, the server has lost the earlier grants, and every unit
    /// waits for the acknowledgement of the new one.
    pub fn regrant(&mut self, lost: bool) {
        self.number += 1;
        self.sent = None;
        if !lost {
            return;
        }
        for owned in self.units.values_mut() {
            owned.number = self.number;
        }
    }

    /// Returns whether the grant has to be sent now, and if so records the time of sending.
    pub fn grant_due(&mut self, now: Tick) -> bool {
        let wait = self.sent.is_some_and(|sent| now.since(sent) < GRANT_TIMEOUT);
        if self.acked >= self.number || wait {
            return false;
        }
        self.sent = Some(now);
        true
    }

    /// Records the acknowledgement of a grant; returns whether it was new.
    pub fn ack(&mut self, number: u64, term: u64) -> bool {
        if term != self.term || number <= self.acked || number > self.number {
            return false;
        }
        self.acked = number;
        true
    }

    /// Marks a unit as released and handed over.
    pub fn release(&mut self, unit: &Unit) {
        if let Some(owned) = self.units.get_mut(unit) {
            owned.released = true;
            owned.handed_over = true;
        }
    }

    /// Marks every unit of a keyed service as released until the records renew the ownership.
    pub fn release_all(&mut self) {
        if !self.is_keyed() {
            return;
        }
        for owned in self.units.values_mut() {
            owned.released = true;
        }
    }

    /// Records that the deduplication state of a unit is complete since an earlier time.
    pub fn extend_since(&mut self, unit: &Unit, since: Wall) {
        if let Unit::Key(key) = unit {
            self.returned.remove(key);
        }
        if let Some(owned) = self.units.get_mut(unit) {
            owned.since = owned.since.min(since);
        }
    }

    fn find(&self, meta: &Meta) -> Option<&Owned> {
        let Some(Place { key, slice }) = &meta.place else {
            return self.units.get(&Unit::Key(Name::new()));
        };
        if let Some(owned) = self.units.get(&Unit::Key(key.clone())) {
            return Some(owned);
        }
        if self.excluded.contains(key) {
            return None;
        }
        self.units.get(&Unit::Slice(*slice))
    }

    /// Returns a unit without a predecessor.
    fn new_owned(&self, wall: Wall, owner: &Owner, first_holder: bool) -> Owned {
        Owned {
            epoch: owner.epoch,
            since: wall,
            moving: owner.next.is_some(),
            released: false,
            handed_over: false,
            first_holder,
            number: self.number + 1,
        }
    }

    /// Returns the slice that contained a key before the key got an owner of its own.
    fn former_slice<'a>(
        &self,
        old: &'a BTreeMap<Unit, Owned>,
        unit: &Unit,
        update: &Update,
    ) -> Option<&'a Owned> {
        let Unit::Key(key) = unit else { return None };
        if update.slice_count == 0 || self.excluded.contains(key) {
            return None;
        }
        old.get(&Unit::Slice(slice_of(key, update.slice_count)))
    }

    /// Records when keys that this server owned singly became part of its slices again.
    fn record_merged(&mut self, old: &BTreeMap<Unit, Owned>) {
        for (unit, owned) in old {
            let Unit::Key(key) = unit else { continue };
            if !self.units.contains_key(unit) && !self.excluded.contains(key) {
                self.returned.insert(key.clone(), owned.since);
            }
        }
    }

    /// Records which keys are owned separately, and which returned to their slice.
    fn record_excluded(&mut self, wall: Wall, update: &Update) {
        let excluded: BTreeSet<Name> = update.excluded.iter().cloned().collect();
        let back = self.excluded.difference(&excluded);
        self.returned.extend(back.map(|key| (key.clone(), wall)));
        self.returned.retain(|_, at| wall.0 < at.0 + RETURN_TTL_MS);
        self.excluded = excluded;
    }
}

impl Owned {
    /// Returns this unit, continuing from its previous state.
    fn carried_from(self, before: &Owned, renewed: bool, continuous: bool) -> Self {
        let since = self.since_after(before, continuous);
        if before.epoch != self.epoch {
            return Self { since, ..self };
        }
        if renewed {
            return Self { since, first_holder: continuous && before.first_holder, ..self };
        }
        Self { moving: self.moving, since, ..before.clone() }
    }

    /// Returns this single key, continuing from the slice that contained it.
    fn split_from(self, slice: &Owned, renewed: bool, continuous: bool) -> Self {
        let since = self.since_after(slice, continuous);
        Self { since, released: slice.released && !renewed, ..self }
    }

    /// Returns the time since which the deduplication state is complete. No other server owned the
    /// unit in between if its epoch rose by at most one.
    fn since_after(&self, before: &Owned, continuous: bool) -> Wall {
        let direct = self.epoch == before.epoch || self.epoch == before.epoch + 1;
        if continuous && direct { before.since } else { self.since }
    }
}

/// Returns the units that the records assign to the server.
fn owned_units(update: &Update) -> Vec<(Unit, Owner)> {
    if update.slice_count == 0 {
        let owner = Owner { server: ServerId(0), epoch: 0, next: None };
        return vec![(Unit::Key(Name::new()), owner)];
    }
    let slices = update.slices.iter().map(|(slice, owner)| (Unit::Slice(*slice), owner.clone()));
    let keys = update.keys.iter().map(|(key, owner)| (Unit::Key(key.clone()), owner.clone()));
    slices.chain(keys).collect()
}
