//! Executes the plans that operators confirmed, step by step.
//!
//! A plan is admitted before its first step: the records it was computed from must be unchanged,
//! and no other admitted plan may depend on them. The admission is written to the plan's record, so
//! that a new controller resumes the plan where the previous one stopped.

use {
    super::{Observations, Write, segment_key, segment_of, segments},
    crate::{
        model::{
            Owner, Plan, PlanState, SEGMENT_SLICES, Segment, ServerState, Service, Step, Suspect,
        },
        name::{Name, ServerId, Slice, slice_of},
        plan::{Error, conflict},
        record::{Key, Kind, Value},
        replica::Replica,
    },
    std::collections::BTreeMap,
};

/// Reason stored in a plan that is admitted and has not ended.
const RUNNING: &str = "running";

/// Progress of a step.
enum Progress {
    Done,
    /// The step waits for holders or for its own write.
    Waiting,
    /// The step cannot be executed, for the given reason.
    Failed(String),
}

/// Record changes that the steps of a plan require.
#[derive(Default)]
struct Changes {
    values: BTreeMap<Key, Value>,
}

/// Returns the writes that advance the confirmed plans.
pub fn advance(replica: &Replica, observed: &Observations) -> Vec<Write> {
    let mut writes = Vec::new();
    let mut claimed: BTreeMap<Name, Name> = BTreeMap::new();
    let mut waiting = Vec::new();
    for (version, plan) in confirmed(replica) {
        if plan.reason == RUNNING {
            claimed.extend(plan.base.keys().map(|name| (name.clone(), plan.id.clone())));
            writes.extend(execute(replica, observed, plan));
        } else {
            waiting.push((version, plan));
        }
    }
    waiting.sort_by_key(|(version, _)| *version);
    for (_, plan) in waiting {
        writes.push(admit(replica, plan, &mut claimed));
    }
    writes
}

/// Returns the confirmed plans that have not ended, each with the version of its record.
fn confirmed(replica: &Replica) -> impl Iterator<Item = (u64, &Plan)> {
    replica.iter(Kind::Plan).filter_map(|record| match &record.value {
        Some(Value::Plan(plan)) if plan.state == PlanState::Confirmed => {
            Some((record.version, plan))
        }
        _ => None,
    })
}

/// Admits a plan, or fails it if a record it depends on changed or is claimed by another plan.
fn admit(replica: &Replica, plan: &Plan, claimed: &mut BTreeMap<Name, Name>) -> Write {
    if let Some((name, other)) = plan.base.keys().find_map(|name| claimed.get_key_value(name)) {
        let busy = Error::Busy { key: name.clone(), other: other.clone() };
        return write_failure(plan, busy.reason());
    }
    if let Some(conflict) = conflict(plan, |key| replica.version(key)) {
        return write_failure(plan, Error::from(conflict).reason());
    }
    claimed.extend(plan.base.keys().map(|name| (name.clone(), plan.id.clone())));
    write_plan(Plan { reason: RUNNING.into(), ..plan.clone() })
}

/// Returns the writes that advance an admitted plan.
///
/// Consecutive moves run concurrently; any other step runs alone.
fn execute(replica: &Replica, observed: &Observations, plan: &Plan) -> Vec<Write> {
    let mut changes = Changes::default();
    let mut done = plan.done as usize;
    for (index, step) in plan.steps.iter().enumerate().skip(done) {
        if index > done && !is_move(step) {
            break;
        }
        match changes.apply_step(replica, observed, step) {
            Progress::Done if index == done => done += 1,
            Progress::Done | Progress::Waiting => {}
            Progress::Failed(reason) => return vec![write_failure(plan, reason.into())],
        }
        if index == done && !is_move(step) {
            break;
        }
    }
    let mut writes = changes.writes(replica);
    if done > plan.done as usize {
        writes.push(write_progress(plan, done as u32));
    }
    writes
}

fn is_move(step: &Step) -> bool {
    matches!(step, Step::MoveSlice { .. } | Step::MoveKey { .. })
}

/// Returns the write that records the number of completed steps.
fn write_progress(plan: &Plan, done: u32) -> Write {
    let finished = done as usize == plan.steps.len();
    let state = if finished { PlanState::Finished } else { PlanState::Confirmed };
    let reason = if finished { Name::new() } else { RUNNING.into() };
    write_plan(Plan { done, state, reason, ..plan.clone() })
}

/// Returns the write that marks a plan as failed.
fn write_failure(plan: &Plan, reason: Name) -> Write {
    write_plan(Plan { state: PlanState::Failed, reason, ..plan.clone() })
}

fn write_plan(plan: Plan) -> Write {
    Write { key: Key::new(Kind::Plan, plan.id.clone()), value: Some(Value::Plan(plan)) }
}

impl Changes {
    /// Returns the writes of the values that differ from the replica.
    fn writes(self, replica: &Replica) -> Vec<Write> {
        let stored = |key: &Key| replica.get(key).and_then(|record| record.value.as_ref());
        let changed = self.values.into_iter().filter(|(key, value)| stored(key) != Some(value));
        changed.map(|(key, value)| Write { key, value: Some(value) }).collect()
    }

    /// Returns the progress of a step and collects the changes that it requires.
    fn apply_step(&mut self, replica: &Replica, observed: &Observations, step: &Step) -> Progress {
        match step {
            Step::Declare(service) => self.declare(replica, service),
            Step::SetState { service, server, state } => {
                self.set_state(replica, service, *server, *state)
            }
            Step::MoveSlice { service, slice, to } => {
                self.move_slice(replica, observed, service, *slice, *to)
            }
            Step::MoveKey { service, key, to } => {
                self.move_key(replica, observed, service, key, *to)
            }
            Step::Clear { print } => self.clear_suspect(replica, *print),
        }
    }

    /// Replaces the whole declaration of a service.
    fn declare(&mut self, replica: &Replica, wanted: &Service) -> Progress {
        if let Some(current) = super::service_of(replica, &wanted.name) {
            if current == wanted {
                return Progress::Done;
            }
            let removed = current.servers.keys().filter(|id| !wanted.servers.contains_key(id));
            let owner = removed.copied().find(|id| segments::owns(replica, current, *id));
            if let Some(id) = owner {
                return Progress::Failed(format!("server {id} still owns slices; drain it first"));
            }
        }
        let key = Key::new(Kind::Service, wanted.name.clone());
        self.values.insert(key, Value::Service(wanted.clone()));
        Progress::Waiting
    }

    /// Sets the state of a server; draining is done once the server owns nothing.
    fn set_state(
        &mut self,
        replica: &Replica,
        name: &Name,
        id: ServerId,
        state: ServerState,
    ) -> Progress {
        let Some(current) = super::service_of(replica, name) else {
            return Progress::Failed(format!("service {name} does not exist"));
        };
        let Some(server) = current.servers.get(&id) else {
            return Progress::Failed(format!("service {name} has no server {id}"));
        };
        if server.state != state {
            let mut service = current.clone();
            service.servers.entry(id).and_modify(|server| server.state = state);
            let key = Key::new(Kind::Service, name.clone());
            self.values.insert(key, Value::Service(service));
            return Progress::Waiting;
        }
        let drained = state == ServerState::Active || !segments::owns(replica, current, id);
        if drained { Progress::Done } else { Progress::Waiting }
    }

    fn move_slice(
        &mut self,
        replica: &Replica,
        observed: &Observations,
        name: &Name,
        slice: Slice,
        to: ServerId,
    ) -> Progress {
        if let Err(reason) = check_target(replica, observed, name, to) {
            return Progress::Failed(reason);
        }
        let Some(segment) = self.segment(replica, name, slice) else { return Progress::Waiting };
        let offset = (slice.0 - segment.first) as usize;
        let Some(owner) = segment.owners.get_mut(offset) else {
            return Progress::Failed(format!("service {name} has no slice {}", slice.0));
        };
        set_next_owner(owner, to)
    }

    /// Gives a single key its own owner.
    fn move_key(
        &mut self,
        replica: &Replica,
        observed: &Observations,
        name: &Name,
        key: &Name,
        to: ServerId,
    ) -> Progress {
        if let Err(reason) = check_target(replica, observed, name, to) {
            return Progress::Failed(reason);
        }
        let Some(service) = super::service_of(replica, name).filter(|s| s.slices > 0) else {
            return Progress::Failed(format!("service {name} is not keyed"));
        };
        let slice = slice_of(key, service.slices);
        let version = replica.version(&segment_key(name, slice.0 / SEGMENT_SLICES));
        let Some(segment) = self.segment(replica, name, slice) else { return Progress::Waiting };
        let Some(owner) = segment.keys.get_mut(key) else {
            isolate_key(segment, slice, key, version, to);
            return Progress::Waiting;
        };
        set_next_owner(owner, to)
    }

    /// Marks a suspected request as cleared.
    fn clear_suspect(&mut self, replica: &Replica, print: u64) -> Progress {
        let found = replica.iter(Kind::Suspect).find_map(|record| match &record.value {
            Some(Value::Suspect(suspect)) if suspect.print == print => Some((&record.key, suspect)),
            _ => None,
        });
        let Some((key, suspect)) = found.filter(|(_, suspect)| !suspect.cleared) else {
            return Progress::Done;
        };
        let suspect = Suspect { cleared: true, ..suspect.clone() };
        self.values.insert(key.clone(), Value::Suspect(suspect));
        Progress::Waiting
    }

    /// Returns the segment of a slice, including the changes collected so far.
    fn segment(&mut self, replica: &Replica, name: &Name, slice: Slice) -> Option<&mut Segment> {
        let index = slice.0 / SEGMENT_SLICES;
        let current = segment_of(replica, name, index)?;
        let value = self.values.entry(segment_key(name, index));
        match value.or_insert_with(|| Value::Segment(current.clone())) {
            Value::Segment(segment) => Some(segment),
            _ => None,
        }
    }
}

/// Checks that a plan may assign slices and keys to a server.
fn check_target(
    replica: &Replica,
    observed: &Observations,
    name: &Name,
    to: ServerId,
) -> Result<(), String> {
    let Some(service) = super::service_of(replica, name) else {
        return Err(format!("service {name} does not exist"));
    };
    let Some(server) = service.servers.get(&to) else {
        return Err(format!("service {name} has no server {to}"));
    };
    let lost = observed.lost.contains_key(&(name.clone(), to));
    if lost || server.state != ServerState::Active {
        return Err(format!("server {to} is lost or draining"));
    }
    Ok(())
}

/// Names the next owner of a slice or key; done once `to` owns it.
fn set_next_owner(owner: &mut Owner, to: ServerId) -> Progress {
    if owner.server == to && owner.next.is_none() {
        return Progress::Done;
    }
    owner.next = Some(to);
    Progress::Waiting
}

/// Separates a key from its slice, unless the slice is being moved itself.
///
/// The key's first epoch is the version of the segment, which rises with each write. A key that is
/// separated again after it returned to its slice therefore never reuses an earlier epoch.
pub(super) fn isolate_key(
    segment: &mut Segment,
    slice: Slice,
    key: &Name,
    version: u64,
    to: ServerId,
) {
    let Some(owner) = segment.owner(slice).filter(|owner| owner.next.is_none()) else { return };
    let next = (owner.server != to).then_some(to);
    let owner = Owner { server: owner.server, epoch: version.max(owner.epoch), next };
    segment.keys.insert(key.clone(), owner);
}
