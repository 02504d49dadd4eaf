//! Operators' plans: computes steps and a forecast from an intent and the current records.
//!
//! [`propose`] computes a plan and changes nothing. The operators' client stores the plan as
//! proposed, an operator confirms it, and the controller executes it. A plan lists the version of
//! each record that it depends on. [`conflict`] detects that one of them changed: the client checks
//! before it confirms a plan, and the controller checks again, in the order of confirmation, so
//! that exactly one of two conflicting plans is executed.

mod change;
mod error;
mod forecast;
mod intent;

use {
    crate::{
        model::{Plan, PlanState, Service, Step},
        name::Name,
        record::{Key, Kind, Record, Value},
    },
    change::Change,
    std::collections::BTreeMap,
};

pub use {
    error::Error,
    forecast::{Forecast, MESSAGE_MS, Risk, WRITE_MS},
    intent::Intent,
};

/// All records that a plan is computed from.
pub type Records = BTreeMap<Key, Record>;

/// A plan that is not stored yet, with its forecast.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    pub plan: Plan,
    pub forecast: Forecast,
}

/// Computes the plan `id` for an intent.
///
/// # Errors
///
/// Fails if the intent is not possible with the current records.
pub fn propose(records: &Records, intent: &Intent, id: Name) -> Result<Proposal, Error> {
    let change = Change::compute(records, intent)?;
    let forecast = Forecast::compute(records, &change);
    let plan = Plan {
        id,
        intent: intent.to_string().into(),
        base: change.base,
        steps: change.steps,
        state: PlanState::Proposed,
        done: 0,
        reason: Name::new(),
    };
    Ok(Proposal { plan, forecast })
}

/// A record that changed after a plan was computed from it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conflict {
    /// Key of the record, as `kind/name`.
    pub key: Name,
    /// Version that the plan was computed from.
    pub base: u64,
    /// Current version; zero if the record does not exist.
    pub now: u64,
}

impl From<Conflict> for Error {
    fn from(conflict: Conflict) -> Self {
        Self::Conflict { key: conflict.key, base: conflict.base, now: conflict.now }
    }
}

/// Returns the first record of the plan's base that changed after the plan was computed.
///
/// `version` returns the current version of a record, zero if it does not exist.
pub fn conflict(plan: &Plan, version: impl Fn(&Key) -> u64) -> Option<Conflict> {
    for (name, base) in &plan.base {
        let now = Key::parse(name).map_or(0, |key| version(&key));
        if now != *base {
            return Some(Conflict { key: name.clone(), base: *base, now });
        }
    }
    None
}

/// Returns the service declaration that a plan consists of; `None` for any other plan.
pub fn declaration(plan: &Plan) -> Option<&Service> {
    match plan.steps.as_slice() {
        [Step::Declare(service)] => Some(service),
        _ => None,
    }
}

/// Returns the version of a record, zero if it does not exist.
pub fn version(records: &Records, key: &Key) -> u64 {
    let existing = records.get(key).filter(|record| record.value.is_some());
    existing.map_or(0, |record| record.version)
}

pub fn service<'a>(records: &'a Records, name: &str) -> Option<&'a Service> {
    match &records.get(&Key::new(Kind::Service, name))?.value {
        Some(Value::Service(service)) => Some(service),
        _ => None,
    }
}

/// Returns all services in the order of their names.
pub fn services(records: &Records) -> impl Iterator<Item = &Service> {
    records.values().filter_map(|record| match &record.value {
        Some(Value::Service(service)) => Some(service),
        _ => None,
    })
}
