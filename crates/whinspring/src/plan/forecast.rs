//! Forecasts the effect of a plan from the current records.

mod difference;
mod risk;

use {
    super::{
        Records,
        change::{Change, key_owner, slice_owner},
        service,
    },
    crate::{
        model::{Owner, Segment, ServerState, Service, Step},
        name::{ServerId, Slice, slice_of},
        record::{Key, Value},
    },
    std::collections::BTreeSet,
};

pub use risk::Risk;

/// Estimated time of a write to the platform.
pub const WRITE_MS: u32 = 10;

/// Estimated time of a message or grant.
pub const MESSAGE_MS: u32 = 2;

/// Messages and grants between the release of a slice and the first request of its new owner.
const MOVE_MESSAGES: u32 = 3;

/// Expected effect of a plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Forecast {
    /// Descriptions of the changes, one line each.
    pub changes: Vec<String>,
    /// Number of slices that get their first owner.
    pub assigned: u32,
    /// Number of slices whose owner is expected to change.
    pub slices: u32,
    /// Number of single keys whose owner is expected to change.
    pub keys: u32,
    /// Expected pause of each moved slice or key, not counting the wait for running requests.
    pub pause_ms: u32,
    /// Longest pause of a moved slice or key, if running requests last until the longest deadline.
    pub worst_ms: u32,
    /// Risks of the plan, the most severe first.
    pub risks: Vec<Risk>,
}

impl Forecast {
    pub(super) fn compute(records: &Records, change: &Change) -> Self {
        let before = change.after.as_ref().and_then(|after| service(records, &after.name));
        let mut forecast = Self {
            changes: difference::describe_change(records, before, change),
            assigned: 0,
            slices: 0,
            keys: 0,
            pause_ms: 0,
            worst_ms: 0,
            risks: risk::list_risks(before, change),
        };
        forecast.count_moves(&change.steps);
        if let Some(after) = &change.after {
            forecast.count_reassigned(records, before, after);
            forecast.set_pauses(after.cap_ms);
        }
        forecast
    }

    /// Counts the slices and keys that the steps move explicitly.
    fn count_moves(&mut self, steps: &[Step]) {
        for step in steps {
            match step {
                Step::MoveSlice { .. } => self.slices += 1,
                Step::MoveKey { .. } => self.keys += 1,
                _ => {}
            }
        }
    }

    /// Counts the slices and keys that move because servers are added or removed.
    fn count_reassigned(&mut self, records: &Records, before: Option<&Service>, after: &Service) {
        if after.slices == 0 {
            return;
        }
        let Some(before) = before else {
            self.assigned = after.slices;
            return;
        };
        let old = active_servers(before);
        let new = active_servers(after);
        let removed: BTreeSet<_> = old.difference(&new).copied().collect();
        for owner in slice_owners(records, after) {
            self.slices += u32::from(removed.contains(&owner.server));
        }
        for owner in key_owners(records, after) {
            self.keys += u32::from(removed.contains(&owner.server));
        }
        let added = new.difference(&old).count() as u32;
        if added > 0 && removed.len() < added as usize {
            let extra = added - removed.len() as u32;
            self.slices += prorate(after.slices, extra, new.len() as u32);
        }
    }

    /// Sets the pauses if anything moves.
    fn set_pauses(&mut self, cap_ms: u32) {
        if self.slices + self.keys == 0 {
            return;
        }
        self.pause_ms = WRITE_MS + MOVE_MESSAGES * MESSAGE_MS;
        self.worst_ms = self.pause_ms + cap_ms;
    }
}

/// Returns the share of `slices` that goes to `some` of `all` servers, rounded up.
fn prorate(slices: u32, some: u32, all: u32) -> u32 {
    (u64::from(slices) * u64::from(some)).div_ceil(u64::from(all)) as u32
}

fn active_servers(service: &Service) -> BTreeSet<ServerId> {
    let servers = service.servers.iter();
    servers.filter(|(_, server)| server.state == ServerState::Active).map(|(id, _)| *id).collect()
}

fn segments<'a>(records: &'a Records, service: &'a Service) -> impl Iterator<Item = &'a Segment> {
    let count = service.slices.div_ceil(crate::model::SEGMENT_SLICES);
    (0..count).filter_map(|index| match &records.get(&Key::segment(&service.name, index))?.value {
        Some(Value::Segment(segment)) => Some(segment),
        _ => None,
    })
}

fn slice_owners<'a>(records: &'a Records, service: &'a Service) -> impl Iterator<Item = &'a Owner> {
    segments(records, service).flat_map(|segment| &segment.owners)
}

/// Returns the owner of each single key of a service.
fn key_owners<'a>(records: &'a Records, service: &'a Service) -> impl Iterator<Item = &'a Owner> {
    segments(records, service).flat_map(|segment| segment.keys.values())
}

/// Returns the server that a step moves a slice or key away from.
fn source_server(records: &Records, service: &Service, step: &Step) -> Option<ServerId> {
    let owner = match step {
        Step::MoveSlice { slice, .. } => slice_owner(records, &service.name, *slice),
        Step::MoveKey { key, .. } if service.slices > 0 => {
            let slice: Slice = slice_of(key, service.slices);
            key_owner(records, &service.name, key, slice)
        }
        _ => None,
    };
    owner.map(|owner| owner.server)
}
