//! Confirmed plans of operators, carried out step by step.
//!
//! A plan is admitted before its first step: the records it was computed from must be unchanged,
//! and no other admitted plan may concern them. The admission is written to the plan's record, so
//! that the next controller goes on where this one ended.

use {
    super::{Memory, Write, segment_key, segment_of, segments},
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

/// Reason shown for a plan that is admitted and not yet ended.
const RUNNING: &str = "running";

/// How a step stands.
enum Progress {
    /// It is done.
    Done,
    /// It waits for holders, or for a write of this step.
    Waiting,
    /// It cannot be done.
    Failed(String),
}

/// Changes to segments and other records that steps call for.
#[derive(Default)]
struct Changes {
    /// Changed records by key.
    values: BTreeMap<Key, Value>,
}

/// Returns the records to be written so that confirmed plans go on.
pub fn advance(replica: &Replica, memory: &Memory) -> Vec<Write> {
    let mut writes = Vec::new();
    let mut taken: BTreeMap<Name, Name> = BTreeMap::new();
    let mut waiting = Vec::new();
    for (version, plan) in confirmed(replica) {
        if plan.reason == RUNNING {
            taken.extend(plan.base.keys().map(|name| (name.clone(), plan.id.clone())));
            writes.extend(carry_out(replica, memory, plan));
        } else {
            waiting.push((version, plan));
        }
    }
    waiting.sort_by_key(|(version, _)| *version);
    for (_, plan) in waiting {
        writes.push(admit(replica, plan, &mut taken));
    }
    writes
}

/// Returns the plans that operators confirmed and that have not ended.
fn confirmed(replica: &Replica) -> impl Iterator<Item = (u64, &Plan)> {
    replica.iter(Kind::Plan).filter_map(|record| match &record.value {
        Some(Value::Plan(plan)) if plan.state == PlanState::Confirmed => {
            Some((record.version, plan))
        }
        _ => None,
    })
}

/// Admits a plan, or fails it because of a record that changed or is about to.
fn admit(replica: &Replica, plan: &Plan, taken: &mut BTreeMap<Name, Name>) -> Write {
    if let Some((name, other)) = plan.base.keys().find_map(|name| taken.get_key_value(name)) {
        let busy = Error::Busy { key: name.clone(), other: other.clone() };
        return fail(plan, busy.reason());
    }
    if let Some(conflict) = conflict(plan, |key| replica.version(key)) {
        return fail(plan, Error::from(conflict).reason());
    }
    taken.extend(plan.base.keys().map(|name| (name.clone(), plan.id.clone())));
    write_plan(Plan { reason: RUNNING.into(), ..plan.clone() })
}

/// Returns the writes that take an admitted plan further.
fn carry_out(replica: &Replica, memory: &Memory, plan: &Plan) -> Vec<Write> {
    let mut changes = Changes::default();
    let mut done = plan.done as usize;
    for (index, step) in plan.steps.iter().enumerate().skip(done) {
        if index > done && !moves(step) {
            break;
        }
        match changes.step(replica, memory, step) {
            Progress::Done if index == done => done += 1,
            Progress::Done | Progress::Waiting => {}
            Progress::Failed(reason) => return vec![fail(plan, reason.into())],
        }
        if index == done && !moves(step) {
            break;
        }
    }
    let mut writes = changes.writes(replica);
    if done > plan.done as usize {
        writes.push(progress(plan, done as u32));
    }
    writes
}

/// Returns whether a step is a move, many of which go on at once.
fn moves(step: &Step) -> bool {
    matches!(step, Step::MoveSlice { .. } | Step::MoveKey { .. })
}

/// Returns the write of a plan's progress.
fn progress(plan: &Plan, done: u32) -> Write {
    let finished = done as usize == plan.steps.len();
    let state = if finished { PlanState::Finished } else { PlanState::Confirmed };
    let reason = if finished { Name::new() } else { RUNNING.into() };
    write_plan(Plan { done, state, reason, ..plan.clone() })
}

/// Returns the write that ends a plan in failure.
fn fail(plan: &Plan, reason: Name) -> Write {
    write_plan(Plan { state: PlanState::Failed, reason, ..plan.clone() })
}

/// Returns the write of a plan.
fn write_plan(plan: Plan) -> Write {
    Write { key: Key::new(Kind::Plan, plan.id.clone()), value: Some(Value::Plan(plan)) }
}

impl Changes {
    /// Returns the writes of what differs from the records.
    fn writes(self, replica: &Replica) -> Vec<Write> {
        let present = |key: &Key| replica.get(key).and_then(|record| record.value.as_ref());
        let changed = self.values.into_iter().filter(|(key, value)| present(key) != Some(value));
        changed.map(|(key, value)| Write { key, value: Some(value) }).collect()
    }

    /// Returns how a step stands, and notes the changes that it needs.
    fn step(&mut self, replica: &Replica, memory: &Memory, step: &Step) -> Progress {
        match step {
            Step::Declare(service) => self.declare(replica, service),
            Step::SetState { service, server, state } => {
                self.want(replica, service, *server, *state)
            }
            Step::MoveSlice { service, slice, to } => {
                self.move_slice(replica, memory, service, *slice, *to)
            }
            Step::MoveKey { service, key, to } => self.move_key(replica, memory, service, key, *to),
            Step::Clear { print } => self.clear(replica, *print),
        }
    }

    /// Sets the whole declaration of a service.
    fn declare(&mut self, replica: &Replica, wanted: &Service) -> Progress {
        if let Some(present) = super::service_of(replica, &wanted.name) {
            if present == wanted {
                return Progress::Done;
            }
            let removed = present.servers.keys().filter(|id| !wanted.servers.contains_key(id));
            let owner = removed.copied().find(|id| segments::owns(replica, present, *id));
            if let Some(id) = owner {
                return Progress::Failed(format!("server {id} still owns slices; drain it first"));
            }
        }
        let key = Key::new(Kind::Service, wanted.name.clone());
        self.values.insert(key, Value::Service(wanted.clone()));
        Progress::Waiting
    }

    /// Sets what operators want of a server.
    fn want(
        &mut self,
        replica: &Replica,
        name: &Name,
        id: ServerId,
        state: ServerState,
    ) -> Progress {
        let Some(present) = super::service_of(replica, name) else {
            return Progress::Failed(format!("there is no service {name}"));
        };
        let Some(server) = present.servers.get(&id) else {
            return Progress::Failed(format!("service {name} has no server {id}"));
        };
        if server.state != state {
            let mut service = present.clone();
            service.servers.entry(id).and_modify(|server| server.state = state);
            let key = Key::new(Kind::Service, name.clone());
            self.values.insert(key, Value::Service(service));
            return Progress::Waiting;
        }
        let emptied = state == ServerState::Active || !segments::owns(replica, present, id);
        if emptied { Progress::Done } else { Progress::Waiting }
    }

    /// Moves a slice.
    fn move_slice(
        &mut self,
        replica: &Replica,
        memory: &Memory,
        name: &Name,
        slice: Slice,
        to: ServerId,
    ) -> Progress {
        if let Err(reason) = target(replica, memory, name, to) {
            return Progress::Failed(reason);
        }
        let Some(segment) = self.segment(replica, name, slice) else { return Progress::Waiting };
        let offset = (slice.0 - segment.first) as usize;
        let Some(owner) = segment.owners.get_mut(offset) else {
            return Progress::Failed(format!("service {name} has no slice {}", slice.0));
        };
        redirect(owner, to)
    }

    /// Gives a single key an owner of its own.
    fn move_key(
        &mut self,
        replica: &Replica,
        memory: &Memory,
        name: &Name,
        key: &Name,
        to: ServerId,
    ) -> Progress {
        if let Err(reason) = target(replica, memory, name, to) {
            return Progress::Failed(reason);
        }
        let Some(service) = super::service_of(replica, name).filter(|s| s.slices > 0) else {
            return Progress::Failed(format!("service {name} has no keys"));
        };
        let slice = slice_of(key, service.slices);
        let version = replica.version(&segment_key(name, slice.0 / SEGMENT_SLICES));
        let Some(segment) = self.segment(replica, name, slice) else { return Progress::Waiting };
        let Some(owner) = segment.keys.get_mut(key) else {
            lift(segment, slice, key, version, to);
            return Progress::Waiting;
        };
        redirect(owner, to)
    }

    /// Clears a suspected request.
    fn clear(&mut self, replica: &Replica, print: u64) -> Progress {
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

    /// Returns the segment of a slice with the changes so far.
    fn segment(&mut self, replica: &Replica, name: &Name, slice: Slice) -> Option<&mut Segment> {
        let index = slice.0 / SEGMENT_SLICES;
        let present = segment_of(replica, name, index)?;
        let value = self.values.entry(segment_key(name, index));
        match value.or_insert_with(|| Value::Segment(present.clone())) {
            Value::Segment(segment) => Some(segment),
            _ => None,
        }
    }
}

/// Checks that a server may be given slices by a plan.
fn target(replica: &Replica, memory: &Memory, name: &Name, to: ServerId) -> Result<(), String> {
    let Some(service) = super::service_of(replica, name) else {
        return Err(format!("there is no service {name}"));
    };
    let Some(server) = service.servers.get(&to) else {
        return Err(format!("service {name} has no server {to}"));
    };
    let lost = memory.lost.contains_key(&(name.clone(), to));
    if lost || server.state != ServerState::Active {
        return Err(format!("server {to} is lost or leaves"));
    }
    Ok(())
}

/// Directs an owner's slice or key to another server.
fn redirect(owner: &mut Owner, to: ServerId) -> Progress {
    if owner.server == to && owner.next.is_none() {
        return Progress::Done;
    }
    owner.next = Some(to);
    Progress::Waiting
}

/// Lifts a key out of its slice, unless the slice is on the move itself.
///
/// The version of the segment is the key's first epoch: it rises with each write, so that a key
/// that was lifted out before never returns to an earlier epoch.
pub(super) fn lift(segment: &mut Segment, slice: Slice, key: &Name, version: u64, to: ServerId) {
    let Some(owner) = segment.owner(slice).filter(|owner| owner.next.is_none()) else { return };
    let next = (owner.server != to).then_some(to);
    let owner = Owner { server: owner.server, epoch: version.max(owner.epoch), next };
    segment.keys.insert(key.clone(), owner);
}
