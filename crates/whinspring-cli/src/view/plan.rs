//! Views of plans.

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

/// A newly proposed plan and its forecast.
#[derive(Debug, Serialize)]
pub struct ProposedPlan {
    pub plan: String,
    /// The command that the plan was made for.
    pub intent: String,
    /// Risks, the most severe first.
    pub risks: Vec<String>,
    /// Changes, one line each.
    pub changes: Vec<String>,
    /// Number of slices that get their first owner.
    pub assigned: u32,
    /// Number of slices whose owner is expected to change.
    pub slices: u32,
    /// Number of single keys whose owner is expected to change.
    pub keys: u32,
    /// Expected pause of each slice or key that moves, in milliseconds.
    pub pause_ms: u32,
    /// Longest such pause, in milliseconds.
    pub worst_ms: u32,
    /// Versions of the records that the plan depends on, by `kind/name`.
    pub base: BTreeMap<String, u64>,
}

impl From<&Proposal> for ProposedPlan {
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

impl Display for ProposedPlan {
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

impl ProposedPlan {
    /// Returns the table rows of the forecast.
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

/// A plan that conflicts with another change, and the new plan that replaces it.
#[derive(Debug, Serialize)]
pub struct PlanConflict {
    /// Id of the plan with the conflict.
    pub plan: String,
    /// Number of the error.
    pub number: u16,
    /// Reason for the conflict.
    pub error: String,
    /// The new plan; `None` if the intent is no longer valid.
    pub fresh: Option<ProposedPlan>,
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

/// Progress of a stored plan.
#[derive(Debug, Serialize)]
pub struct Progress {
    pub plan: String,
    pub state: &'static str,
    /// Number of completed steps.
    pub done: u32,
    /// Number of all steps.
    pub steps: usize,
    /// The command that the plan was made for.
    pub intent: String,
    /// Reason of a failure, or `running` while the plan is executed; may be empty.
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

#[derive(Debug, Serialize)]
pub struct Plans {
    /// The plans: failed first, then confirmed, proposed, aborted and finished.
    pub plans: Vec<Progress>,
}

impl Plans {
    /// Sorts plans by state, failed ones first.
    pub fn new<'a>(plans: impl Iterator<Item = &'a Plan>) -> Self {
        let mut plans: Vec<_> = plans.collect();
        plans.sort_by_key(|plan| (rank(plan.state), plan.id.clone()));
        Self { plans: plans.into_iter().map(Progress::from).collect() }
    }
}

/// Returns the sort position of a state.
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
