//! Plans as they are printed.

use {
    crate::text::{table, wrap},
    serde::Serialize,
    std::{
        collections::BTreeMap,
        fmt::{self, Display, Formatter},
    },
    whinspring::{
        model::{Plan, PlanState},
        plan::Proposal,
    },
};

/// A plan that was just made.
#[derive(Debug, Serialize)]
pub struct Proposed {
    /// Id of the plan.
    pub plan: String,
    /// The command that asked for it.
    pub intent: String,
    /// What could go wrong, the worst first.
    pub risks: Vec<String>,
    /// What changes, one line each.
    pub changes: Vec<String>,
    /// Slices that get their first owner.
    pub assigned: u32,
    /// Slices whose owner is expected to change.
    pub slices: u32,
    /// Single keys whose owner is expected to change.
    pub keys: u32,
    /// Expected pause of each of them, in milliseconds.
    pub pause_ms: u32,
    /// Longest such pause, in milliseconds.
    pub worst_ms: u32,
    /// Versions that the plan depends on, by `kind/name`.
    pub base: BTreeMap<String, u64>,
}

impl From<&Proposal> for Proposed {
    fn from(proposal: &Proposal) -> Self {
        let Proposal { plan, forecast } = proposal;
        Self {
            plan: plan.id.to_string(),
            intent: plan.intent.to_string(),
            risks: forecast.risks.iter().map(ToString::to_string).collect(),
            changes: forecast.changes.clone(),
            assigned: forecast.assigned,
            slices: forecast.slices,
            keys: forecast.keys,
            pause_ms: forecast.pause_ms,
            worst_ms: forecast.worst_ms,
            base: plan.base.iter().map(|(name, version)| (name.to_string(), *version)).collect(),
        }
    }
}

impl Display for Proposed {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        writeln!(f, "plan {} (nothing has changed yet)", self.plan)?;
        f.write_str(&wrap("  ", "    ", &self.intent))?;
        if !self.risks.is_empty() {
            f.write_str("\nwhat could go wrong\n")?;
        }
        for risk in &self.risks {
            f.write_str(&wrap("  ! ", "    ", risk))?;
        }
        f.write_str("\nwhat changes\n")?;
        for change in &self.changes {
            f.write_str(&wrap("  ", "    ", change))?;
        }
        f.write_str("\nwhat it costs\n")?;
        f.write_str(&table(&self.cost_rows()))?;
        writeln!(f, "\ncarry it out with: whinspring confirm {}", self.plan)
    }
}

impl Proposed {
    /// Returns the rows of the forecast.
    fn cost_rows(&self) -> Vec<Vec<String>> {
        let row = |what: &str, value: String| vec![what.to_string(), value];
        let mut rows = Vec::new();
        if self.assigned > 0 {
            rows.push(row("slices assigned first", self.assigned.to_string()));
        }
        rows.push(row("slices that move", self.slices.to_string()));
        rows.push(row("keys that move", self.keys.to_string()));
        if self.worst_ms > 0 {
            let pause = format!("about {} ms, at most {} ms", self.pause_ms, self.worst_ms);
            rows.push(row("pause of each", pause));
        } else {
            rows.push(row("pause", "none".into()));
        }
        for (index, (name, version)) in self.base.iter().enumerate() {
            let what = if index == 0 { "depends on" } else { "" };
            rows.push(row(what, format!("{name} at version {version}")));
        }
        rows
    }
}

/// A plan that lost against another change, and the fresh one made in its place.
#[derive(Debug, Serialize)]
pub struct PlanConflict {
    /// Id of the plan that lost.
    pub plan: String,
    /// Number of the error.
    pub number: u16,
    /// Why it lost.
    pub error: String,
    /// The fresh plan; `None` if the intent makes no sense any more.
    pub fresh: Option<Proposed>,
}

impl Display for PlanConflict {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { plan, number, error, .. } = self;
        f.write_str(&wrap(&format!("error {number}: "), "  ", error))?;
        match &self.fresh {
            Some(fresh) => write!(f, "\nin place of {plan}, a fresh plan\n{fresh}"),
            None => writeln!(f, "no fresh plan can be made of {plan}; see `whinspring status`"),
        }
    }
}

/// How far a stored plan is.
#[derive(Debug, Serialize)]
pub struct Progress {
    /// Id of the plan.
    pub plan: String,
    /// Its state.
    pub state: &'static str,
    /// Steps done.
    pub done: u32,
    /// Steps in all.
    pub steps: usize,
    /// The command that asked for it.
    pub intent: String,
    /// Why it failed or was aborted.
    pub reason: String,
}

impl From<&Plan> for Progress {
    fn from(plan: &Plan) -> Self {
        Self {
            plan: plan.id.to_string(),
            state: plan.state.as_str(),
            done: plan.done,
            steps: plan.steps.len(),
            intent: plan.intent.to_string(),
            reason: plan.reason.to_string(),
        }
    }
}

impl Display for Progress {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let line = format!("{}, {} of {} steps done", self.state, self.done, self.steps);
        f.write_str(&wrap(&format!("plan {}: ", self.plan), "  ", &line))?;
        if !self.reason.is_empty() {
            f.write_str(&wrap("  ", "  ", &self.reason))?;
        }
        Ok(())
    }
}

/// A list of plans.
#[derive(Debug, Serialize)]
pub struct Plans {
    /// The plans: failed ones first, then open ones.
    pub plans: Vec<Progress>,
}

impl Plans {
    /// Sorts plans, the worst news first.
    pub fn new<'a>(plans: impl Iterator<Item = &'a Plan>) -> Self {
        let mut plans: Vec<_> = plans.collect();
        plans.sort_by_key(|plan| (rank(plan.state), plan.id.clone()));
        Self { plans: plans.into_iter().map(Progress::from).collect() }
    }
}

/// Returns the place of a state in a list.
fn rank(state: PlanState) -> u8 {
    match state {
        PlanState::Failed => 0,
        PlanState::Confirmed => 1,
        PlanState::Proposed => 2,
        PlanState::Aborted => 3,
        PlanState::Finished => 4,
    }
}

impl Display for Plans {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        if self.plans.is_empty() {
            return f.write_str("no plans\n");
        }
        let row = |plan: &Progress| {
            let done = format!("{}/{}", plan.done, plan.steps);
            vec![plan.plan.clone(), plan.state.into(), done, plan.intent.clone()]
        };
        f.write_str(&table(&self.plans.iter().map(row).collect::<Vec<_>>()))
    }
}
