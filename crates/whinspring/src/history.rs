//! History of the owners of slices and keys, as one node saw the records change.
//!
//! The history is bounded and starts with the process. Adjacent slices with the same change share
//! one entry, so that a large change stays one entry.

use {
    crate::{
        model::{Owner, PlanState, Segment, ServerState, Service, Step},
        name::{Name, ServerId, Slice, slice_of},
        record::{Record, Value},
        time::Wall,
    },
    std::collections::VecDeque,
};

const MAX_CHANGES: usize = 16_384;

/// The slices or the key whose owner changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Unit {
    /// Adjacent slices, from the first to the last, inclusive.
    Slices(Slice, Slice),
    Key(Name),
}

/// Why an owner changed, as far as the records tell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Cause {
    /// The plan of this id moved the unit.
    Plan(Name),
    /// The former owner drains.
    Drain,
    /// The controller moved it: the former owner was lost, or load was rebalanced.
    Controller,
}

impl Cause {
    /// Returns the description shown to operators.
    pub fn text(&self) -> String {
        match self {
            Self::Plan(id) => format!("plan {id}"),
            Self::Drain => "the former owner drains".into(),
            Self::Controller => "the controller: former owner lost, or load".into(),
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Calendar time at which the node learned of it.
    pub at: Wall,
    /// Version of the record that made the change.
    pub version: u64,
    pub service: Name,
    pub unit: Unit,
    /// Previous owner; `None` if there was none.
    pub former: Option<ServerId>,
    /// New owner.
    pub server: ServerId,
    /// Epoch of the new ownership.
    pub epoch: u64,
    pub cause: Cause,
}

#[derive(Debug, Default)]
pub struct History {
    /// When the node learned of the first segment.
    since: Option<Wall>,
    /// The changes, oldest first.
    changes: VecDeque<Change>,
}

impl History {
    /// Records how a segment changed; `plans` are the records of plans.
    ///
    /// The initial state of a segment is not a change.
    pub fn record(
        &mut self,
        at: Wall,
        service: &Service,
        before: Option<&Segment>,
        after: (&Segment, u64),
        plans: &[&Record],
    ) {
        self.since.get_or_insert(at);
        let Some(before) = before else { return };
        let (segment, version) = after;
        let change = |unit: Unit, old: Option<&Owner>, owner: &Owner| Change {
            at,
            version,
            service: service.name.clone(),
            cause: cause(service, &unit, old, owner, plans),
            unit,
            former: old.map(|old| old.server),
            server: owner.server,
            epoch: owner.epoch,
        };
        for change in slice_changes(before, segment, &change) {
            self.push(change);
        }
        for (key, owner) in &segment.keys {
            let old = before.keys.get(key);
            if old.is_none_or(|old| differs(old, owner)) {
                self.push(change(Unit::Key(key.clone()), old, owner));
            }
        }
    }

    /// Returns the changes that affect a key of a service with `slices` slices, oldest first.
    pub fn changes_of(&self, service: &str, slices: u32, key: &str) -> Vec<&Change> {
        let slice = slice_of(key, slices);
        let concerns = |unit: &Unit| match unit {
            Unit::Slices(first, last) => (*first..=*last).contains(&slice),
            Unit::Key(name) => name == key,
        };
        let changes = self.changes.iter();
        changes.filter(|change| change.service == service && concerns(&change.unit)).collect()
    }

    /// Returns when the node learned of the first segment.
    pub fn since(&self) -> Option<Wall> {
        self.since
    }

    /// Adds a change, and evicts the oldest one beyond the limit.
    fn push(&mut self, change: Change) {
        if self.changes.len() == MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }
}

/// Returns the changes of slices, with equal changes of adjacent slices joined.
fn slice_changes(
    before: &Segment,
    after: &Segment,
    change: &impl Fn(Unit, Option<&Owner>, &Owner) -> Change,
) -> Vec<Change> {
    let mut changes: Vec<Change> = Vec::new();
    for (index, owner) in after.owners.iter().enumerate() {
        let slice = Slice(after.first + index as u32);
        let old = before.owner(slice);
        if old.is_some_and(|old| !differs(old, owner)) {
            continue;
        }
        let next = change(Unit::Slices(slice, slice), old, owner);
        match changes.last_mut() {
            Some(last) if continues(last, &next, slice) => extend(last, slice),
            _ => changes.push(next),
        }
    }
    changes
}

/// Returns whether the change of `slice` continues the last one.
fn continues(last: &Change, next: &Change, slice: Slice) -> bool {
    let neighbours = matches!(last.unit, Unit::Slices(_, end) if end.0 + 1 == slice.0);
    let outcome = |change: &Change| (change.former, change.server, change.epoch);
    neighbours && outcome(last) == outcome(next) && last.cause == next.cause
}

/// Extends a change to end with `slice`.
fn extend(change: &mut Change, slice: Slice) {
    if let Unit::Slices(_, last) = &mut change.unit {
        *last = slice;
    }
}

/// Returns whether the server or the epoch differs; a planned next owner alone is no change.
fn differs(old: &Owner, new: &Owner) -> bool {
    (old.server, old.epoch) != (new.server, new.epoch)
}

/// Determines why an owner changed.
fn cause(
    service: &Service,
    unit: &Unit,
    old: Option<&Owner>,
    new: &Owner,
    plans: &[&Record],
) -> Cause {
    if let Some(id) = moving_plan(service, unit, new.server, plans) {
        return Cause::Plan(id);
    }
    let former = old.and_then(|old| service.servers.get(&old.server));
    match former.map(|server| server.state) {
        Some(ServerState::Draining) => Cause::Drain,
        _ => Cause::Controller,
    }
}

/// Returns the id of the latest plan that moved the unit to `server`.
fn moving_plan(
    service: &Service,
    unit: &Unit,
    server: ServerId,
    plans: &[&Record],
) -> Option<Name> {
    let moves = |step: &Step| match (step, unit) {
        (Step::MoveSlice { service: name, slice, to }, Unit::Slices(first, last)) => {
            *name == service.name && *to == server && (*first..=*last).contains(slice)
        }
        (Step::MoveKey { service: name, key, to }, Unit::Key(moved)) => {
            *name == service.name && *to == server && key == moved
        }
        _ => false,
    };
    let confirmed = plans.iter().filter_map(|record| match &record.value {
        Some(Value::Plan(plan))
            if matches!(plan.state, PlanState::Confirmed | PlanState::Finished) =>
        {
            Some((record.version, plan))
        }
        _ => None,
    });
    let moved = confirmed.filter(|(_, plan)| plan.steps.iter().any(moves));
    moved.max_by_key(|(version, _)| *version).map(|(_, plan)| plan.id.clone())
}
