//! Plans: stored, confirmed, followed and aborted.

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

/// Wait between two looks at a plan that is followed.
pub const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Wait for the controller to take up a plan that was confirmed.
pub const ACCEPT_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest time for which a plan is followed.
pub const FOLLOW_TIMEOUT: Duration = Duration::from_secs(3_600);

/// A stored plan and its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredPlan {
    /// The plan.
    pub plan: Plan,
    /// Version of its record.
    pub version: u64,
}

/// Computes a plan and stores it as proposed; nothing else changes.
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

/// Marks a plan as confirmed, if all that it depends on is unchanged.
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
/// A failed plan is marked as well: the operator has taken note of it.
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

/// Makes a fresh plan for the intent of an old one, if it still makes sense.
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

/// Follows a plan until `enough` says so or `limit` is over, and reports each change.
///
/// While the platform does not answer, the plan is looked at again and again.
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

/// Returns number and text of the error with which a plan lost against another change.
pub fn conflict_reason(plan: &Plan) -> Option<(u16, &str)> {
    let failed = plan.state == PlanState::Failed;
    let (number, reason) = plan.reason.split_once(' ')?;
    let number =
        number.parse().ok().filter(|number| failed && CONFLICT_NUMBERS.contains(number))?;
    Some((number, reason))
}

/// Number of the error that another change came first.
pub const CONFLICT: u16 = 720;

/// Numbers of the errors with which a plan loses against another change.
const CONFLICT_NUMBERS: &[u16] = &[CONFLICT, 723];

/// Returns a stored plan.
pub async fn get(store: &impl Store, id: &Name) -> Result<StoredPlan, Error> {
    let stored = store.get(&key(id)).await?.and_then(stored_plan);
    Ok(stored.ok_or(plan::Error::NoPlan { id: id.clone() })?)
}

/// Returns the key of a plan's record.
pub fn key(id: &Name) -> Key {
    Key::new(Kind::Plan, id.clone())
}

/// Returns the plan that a record holds.
fn stored_plan(record: Record) -> Option<StoredPlan> {
    match record.value {
        Some(Value::Plan(plan)) => Some(StoredPlan { plan, version: record.version }),
        _ => None,
    }
}

/// Fails unless a plan is in `state`.
fn expect_state(plan: &Plan, state: PlanState) -> Result<(), Error> {
    if plan.state == state {
        return Ok(());
    }
    Err(plan::Error::WrongState { id: plan.id.clone(), state: plan.state }.into())
}

/// Writes a plan with another state, at the version at which it was read.
///
/// If the reply was lost and the plan has been written since, its state tells whether the write
/// took effect: no other write leads there.
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

/// Returns whether a plan in state `now` has been in state `then`.
fn has_reached(current: PlanState, reached: PlanState) -> bool {
    match reached {
        PlanState::Confirmed => {
            matches!(current, PlanState::Confirmed | PlanState::Finished | PlanState::Failed)
        }
        reached => current == reached,
    }
}

/// Characters of a plan's id: none that look alike.
const ID_ALPHABET: &[u8] = b"23456789abcdefghjkmnpqrstuvwxyz";

/// Characters drawn for a plan's id.
const ID_LENGTH: usize = 6;

/// Draws the id of a plan.
fn random_id() -> Name {
    let mut random = Uuid::new_v4().as_u64_pair().1;
    let mut id = Name::from("p");
    for _ in 0..ID_LENGTH {
        id.push(char::from(ID_ALPHABET[(random % ID_ALPHABET.len() as u64) as usize]));
        random /= ID_ALPHABET.len() as u64;
    }
    id
}
