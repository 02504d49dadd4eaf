//! Operations on stored plans: propose, confirm, follow and abort.

use {
    crate::{
        error::Error,
        intent,
        store::{self, Outcome, Store},
    },
    std::time::Duration,
    tokio::time::{Instant, sleep, timeout_at},
    uuid::Uuid,
    whinspring::{
        model::{Plan, PlanState},
        name::Name,
        plan::{self, Intent, Proposal},
        record::{Key, Kind, Record, Value},
    },
};

/// Interval at which a followed plan is read.
pub const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Longest wait for the controller to act on a confirmed plan.
pub const ACCEPT_TIMEOUT: Duration = Duration::from_secs(5);

pub const FOLLOW_TIMEOUT: Duration = Duration::from_secs(3_600);

/// A plan and the version of its record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredPlan {
    pub plan: Plan,
    pub version: u64,
}

/// Computes a plan and stores it in state `proposed`; writes no other record.
///
/// Tries another random id if the id is taken.
pub async fn propose(store: &impl Store, intent: &Intent) -> Result<Proposal, Error> {
    let records = store.list().await?;
    loop {
        let proposal = plan::propose(&records, intent, random_id())?;
        let value = Value::Plan(proposal.plan.clone());
        match store::write(store, &key(&proposal.plan.id), 0, &value).await? {
            Outcome::Written(_) => return Ok(proposal),
            Outcome::Conflict | Outcome::Ambiguous => {}
        }
    }
}

/// Marks a proposed plan as confirmed if the records it depends on are unchanged.
pub async fn confirm(store: &impl Store, id: &Name) -> Result<StoredPlan, Error> {
    let records = store.list().await?;
    let stored = records.get(&key(id)).cloned().and_then(stored_plan);
    let stored = stored.ok_or(plan::Error::NoPlan { id: id.clone() })?;
    expect_state(&stored.plan, PlanState::Proposed)?;
    if let Some(conflict) = plan::conflict(&stored.plan, |key| plan::version(&records, key)) {
        return Err(plan::Error::from(conflict).into());
    }
    set_state(store, stored, PlanState::Confirmed).await
}

/// Marks a plan as aborted; the controller starts no further step of it.
///
/// A failed plan can be aborted too, which acknowledges the failure.
pub async fn abort(store: &impl Store, id: &Name) -> Result<StoredPlan, Error> {
    loop {
        let stored = get(store, id).await?;
        if !is_open(stored.plan.state) && stored.plan.state != PlanState::Failed {
            return Err(plan::Error::WrongState { id: id.clone(), state: stored.plan.state }.into());
        }
        match set_state(store, stored, PlanState::Aborted).await {
            Err(Error::Refused { source: plan::Error::WrongState { state, .. } })
                if is_open(state) => {}
            result => return result,
        }
    }
}

/// Creates a new plan for the intent of an old one; `None` if the intent is no longer valid.
pub async fn replan(store: &impl Store, id: &Name) -> Result<Option<Proposal>, Error> {
    let old = get(store, id).await?;
    let Some(intent) = intent::from_plan(&old.plan) else {
        return Ok(None);
    };
    match propose(store, &intent).await {
        Ok(proposal) => Ok(Some(proposal)),
        Err(Error::Refused { .. }) => Ok(None),
        Err(error) => Err(error),
    }
}

/// Polls a plan until `until` holds or `timeout` expires, and reports each change.
///
/// Polling continues while the platform does not respond.
pub async fn follow(
    store: &impl Store,
    id: &Name,
    timeout: Duration,
    until: impl Fn(&Plan) -> bool,
    mut report: impl FnMut(&Plan),
) -> Result<StoredPlan, Error> {
    let end = Instant::now() + timeout;
    let mut last = get(store, id).await?;
    report(&last.plan);
    while !until(&last.plan) && Instant::now() < end {
        sleep(POLL_INTERVAL).await;
        let Ok(result) = timeout_at(end, get(store, id)).await else { break };
        match result {
            Ok(stored) if stored != last => {
                report(&stored.plan);
                last = stored;
            }
            Ok(_) | Err(Error::Platform { .. }) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(last)
}

/// Returns whether a plan has not ended.
pub fn is_open(state: PlanState) -> bool {
    matches!(state, PlanState::Proposed | PlanState::Confirmed)
}

/// Returns number and text of the error if the plan failed because of a conflicting change.
pub fn conflict_reason(plan: &Plan) -> Option<(u16, &str)> {
    let failed = plan.state == PlanState::Failed;
    let (number, reason) = plan.reason.split_once(' ')?;
    let number =
        number.parse().ok().filter(|number| failed && CONFLICT_NUMBERS.contains(number))?;
    Some((number, reason))
}

/// Number of the error "a record changed after the plan was made".
pub const CONFLICT: u16 = 720;

/// Numbers of the errors that a conflicting change causes; 723 is a conflict with another plan.
const CONFLICT_NUMBERS: &[u16] = &[CONFLICT, 723];

/// Reads a plan.
pub async fn get(store: &impl Store, id: &Name) -> Result<StoredPlan, Error> {
    let stored = store.get(&key(id)).await?.and_then(stored_plan);
    Ok(stored.ok_or(plan::Error::NoPlan { id: id.clone() })?)
}

pub fn key(id: &Name) -> Key {
    Key::new(Kind::Plan, id.clone())
}

fn stored_plan(record: Record) -> Option<StoredPlan> {
    match record.value {
        Some(Value::Plan(plan)) => Some(StoredPlan { plan, version: record.version }),
        _ => None,
    }
}

fn expect_state(plan: &Plan, state: PlanState) -> Result<(), Error> {
    if plan.state == state {
        return Ok(());
    }
    Err(plan::Error::WrongState { id: plan.id.clone(), state: plan.state }.into())
}

/// Writes a plan with a new state, conditional on the version that was read.
///
/// If the reply was lost and the plan has been written since, its current state shows whether the
/// write took effect: only this write leads to that state.
async fn set_state(
    store: &impl Store,
    stored: StoredPlan,
    state: PlanState,
) -> Result<StoredPlan, Error> {
    let plan = Plan { state, ..stored.plan };
    let value = Value::Plan(plan.clone());
    let outcome = store::write(store, &key(&plan.id), stored.version, &value).await?;
    if let Outcome::Written(version) = outcome {
        return Ok(StoredPlan { plan, version });
    }
    let current = get(store, &plan.id).await?;
    if outcome == Outcome::Ambiguous && has_reached(current.plan.state, state) {
        return Ok(current);
    }
    Err(plan::Error::WrongState { id: plan.id, state: current.plan.state }.into())
}

/// Returns whether a plan in state `current` must have been in state `reached`.
fn has_reached(current: PlanState, reached: PlanState) -> bool {
    match reached {
        PlanState::Confirmed => {
            matches!(current, PlanState::Confirmed | PlanState::Finished | PlanState::Failed)
        }
        reached => current == reached,
    }
}

/// Characters of a plan's id, without those that look alike (0 and o, 1, i and l).
const ID_ALPHABET: &[u8] = b"23456789abcdefghjkmnpqrstuvwxyz";

/// Random characters in a plan's id.
const ID_LENGTH: usize = 6;

/// Returns a random plan id.
fn random_id() -> Name {
    let mut random = Uuid::new_v4().as_u64_pair().1;
    let mut id = Name::from("p");
    for _ in 0..ID_LENGTH {
        id.push(char::from(ID_ALPHABET[(random % ID_ALPHABET.len() as u64) as usize]));
        random /= ID_ALPHABET.len() as u64;
    }
    id
}
