//! What the server owns: slices and single keys, whether the server has acknowledged them, and
//! their release.

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

/// Time after which an unanswered grant is sent again.
const GRANT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which the return of a single key to its slice is remembered, in milliseconds.
const RETURN_TTL_MS: u64 = 600_000 + 2 * crate::time::CLOCK_SKEW_MS;

/// One slice or key that the server owns.
#[derive(Debug, Clone)]
pub struct Owned {
    /// Epoch of the ownership.
    pub epoch: u64,
    /// Calendar time from which the memory of its requests is complete.
    pub since: Wall,
    /// Whether the records name a next owner.
    pub moving: bool,
    /// Whether no work starts on it any more.
    pub released: bool,
    /// Whether its memory was handed over.
    pub handed_over: bool,
    /// Whether no other holder can have served it in this epoch.
    pub first_holder: bool,
    /// Number of the first grant that contains it.
    number: u64,
}

/// A grant as the server gets it.
#[derive(Debug, Clone)]
pub struct Grant {
    /// Its number.
    pub number: u64,
    /// Slices and their epochs.
    pub slices: Vec<(Slice, u64)>,
    /// Single keys and their epochs.
    pub keys: Vec<(Name, u64)>,
}

/// Whether a request's key is the server's to serve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ownership {
    /// It is, under this epoch, and the server has acknowledged it.
    Ready(u64),
    /// It is, but the server has not acknowledged it yet.
    Pending,
    /// It is not, or not any more.
    NotOwned,
}

/// Units owned by a server.
#[derive(Debug, Default)]
pub struct Grants {
    term: u64,
    slice_count: u32,
    units: BTreeMap<Unit, Owned>,
    excluded: BTreeSet<Name>,
    /// Keys that came back to their slice, with the time.
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

    /// Returns the calendar time from which the memory of a request's key is complete.
    pub fn since(&self, meta: &Meta) -> Wall {
        let since = self.find(meta).map_or(Wall(u64::MAX), |owned| owned.since);
        let key = meta.place.as_ref().map(|place| &place.key);
        let returned = key.and_then(|key| self.returned.get(key)).copied();
        since.max(returned.unwrap_or_default())
    }

    /// Returns the calendar time from which the memory of a whole unit is complete.
    ///
    /// Memory of a slice lacks what its single keys did elsewhere.
    pub fn unit_since(&self, wall: Wall, unit: &Unit, owned: &Owned) -> Wall {
        let Unit::Slice(slice) = unit else { return owned.since };
        let inside = |key: &&Name| slice_of(key, self.slice_count) == *slice;
        if self.excluded.iter().any(|key| inside(&key)) {
            return wall;
        }
        let returned = self.returned.iter().filter(|(key, _)| inside(key));
        returned.map(|(_, at)| *at).fold(owned.since, Wall::max)
    }

    /// Returns whether a key is the server's, even if it is to be released.
    pub fn covers(&self, key: &Name, slice: Slice) -> bool {
        if self.units.contains_key(&Unit::Key(key.clone())) {
            return true;
        }
        !self.excluded.contains(key) && self.units.contains_key(&Unit::Slice(slice))
    }

    /// Returns the units that have a next owner and whose memory is not handed over yet.
    pub fn moving_units(&self) -> Vec<Unit> {
        let units = self.units.iter().filter(|(_, owned)| owned.moving && !owned.handed_over);
        units.map(|(unit, _)| unit.clone()).collect()
    }

    /// Returns the released units that the records still name a next owner for.
    pub fn released_units(&self) -> Vec<(Unit, u64)> {
        let units = self.units.iter().filter(|(_, owned)| owned.moving && owned.released);
        units.map(|(unit, owned)| (unit.clone(), owned.epoch)).collect()
    }

    /// Returns the number of the service's slices; zero if it is unkeyed.
    pub fn slice_count(&self) -> u32 {
        self.slice_count
    }

    /// Returns whether the service divides its requests by key.
    pub fn is_keyed(&self) -> bool {
        self.slice_count > 0
    }

    /// Returns every unit.
    pub fn units(&self) -> impl Iterator<Item = (&Unit, &Owned)> {
        self.units.iter()
    }

    /// Returns a unit.
    pub fn get(&self, unit: &Unit) -> Option<&Owned> {
        self.units.get(unit)
    }

    /// Returns whether some unit was given up and its ownership not renewed since.
    pub fn has_unrenewed(&self) -> bool {
        self.is_keyed() && self.units.values().any(|owned| owned.released && !owned.moving)
    }

    /// Returns the grant that is in force or under way.
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

    /// Takes in what the records say; returns the units that are gone.
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

    /// Requires a new grant; with `lost`, the server has none of the earlier ones.
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

    /// Returns whether the grant has to be sent now, and notes that it is.
    pub fn grant_due(&mut self, now: Tick) -> bool {
        let wait = self.sent.is_some_and(|sent| now.since(sent) < GRANT_TIMEOUT);
        if self.acked >= self.number || wait {
            return false;
        }
        self.sent = Some(now);
        true
    }

    /// The server acknowledged a grant; returns whether that is news.
    pub fn ack(&mut self, number: u64, term: u64) -> bool {
        if term != self.term || number <= self.acked || number > self.number {
            return false;
        }
        self.acked = number;
        true
    }

    /// Gives a unit up and notes that its memory is handed over.
    pub fn release(&mut self, unit: &Unit) {
        if let Some(owned) = self.units.get_mut(unit) {
            owned.released = true;
            owned.handed_over = true;
        }
    }

    /// Gives everything up until the records renew it.
    pub fn release_all(&mut self) {
        if !self.is_keyed() {
            return;
        }
        for owned in self.units.values_mut() {
            owned.released = true;
        }
    }

    /// Takes in that the memory of a unit is complete from an earlier time on.
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

    /// Returns the state of a unit that was not known before.
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

    /// Returns the slice of a key that is being lifted out of it.
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

    /// Notes single keys that were the server's own and are part of its slices again.
    fn record_merged(&mut self, old: &BTreeMap<Unit, Owned>) {
        for (unit, owned) in old {
            let Unit::Key(key) = unit else { continue };
            if !self.units.contains_key(unit) && !self.excluded.contains(key) {
                self.returned.insert(key.clone(), owned.since);
            }
        }
    }

    /// Notes which keys are elsewhere and which came back.
    fn record_excluded(&mut self, wall: Wall, update: &Update) {
        let excluded: BTreeSet<Name> = update.excluded.iter().cloned().collect();
        let back = self.excluded.difference(&excluded);
        self.returned.extend(back.map(|key| (key.clone(), wall)));
        self.returned.retain(|_, at| wall.0 < at.0 + RETURN_TTL_MS);
        self.excluded = excluded;
    }
}

impl Owned {
    /// Returns this state of a unit, given its state before.
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

    /// Returns this state of a key that is lifted out of a slice.
    fn split_from(self, slice: &Owned, renewed: bool, continuous: bool) -> Self {
        let since = self.since_after(slice, continuous);
        Self { since, released: slice.released && !renewed, ..self }
    }

    /// Returns from when on memory is complete: no other server owned the unit in between if
    /// its epoch rose by at most one.
    fn since_after(&self, before: &Owned, continuous: bool) -> Wall {
        let direct = self.epoch == before.epoch || self.epoch == before.epoch + 1;
        if continuous && direct { before.since } else { self.since }
    }
}

/// Returns the units that the records give to the server.
fn owned_units(update: &Update) -> Vec<(Unit, Owner)> {
    if update.slice_count == 0 {
        let owner = Owner { server: ServerId(0), epoch: 0, next: None };
        return vec![(Unit::Key(Name::new()), owner)];
    }
    let slices = update.slices.iter().map(|(slice, owner)| (Unit::Slice(*slice), owner.clone()));
    let keys = update.keys.iter().map(|(key, owner)| (Unit::Key(key.clone()), owner.clone()));
    slices.chain(keys).collect()
}
