//! Conversions of operators' plans.

use {
    crate::{
        error::{BadFieldSnafu, Error, UnknownTypeSnafu},
        generated::record as wire,
    },
    snafu::{OptionExt, ensure},
    whinspring::{
        model::{Plan, PlanState, ServerState, Service, Step},
        name::{Name, ServerId, Slice},
    },
};

impl From<&Plan> for wire::Plan {
    fn from(plan: &Plan) -> Self {
        let base = plan.base.iter().map(|(name, version)| (name.to_string(), *version));
        Self {
            id: plan.id.to_string(),
            intent: plan.intent.to_string(),
            base: base.collect(),
            steps: plan.steps.iter().map(wire::Step::from).collect(),
            state: wire::PlanState::from(plan.state).into(),
            done: plan.done,
            reason: plan.reason.to_string(),
        }
    }
}

impl TryFrom<wire::Plan> for Plan {
    type Error = Error;

    fn try_from(plan: wire::Plan) -> Result<Self, Error> {
        ensure!(plan.done as usize <= plan.steps.len(), BadFieldSnafu { field: "done" });
        let state = plan.state().try_into()?;
        let base = plan.base.into_iter().map(|(name, version)| (Name::from(name), version));
        let steps = plan.steps.into_iter().map(Step::try_from);
        Ok(Self {
            id: plan.id.into(),
            intent: plan.intent.into(),
            base: base.collect(),
            steps: steps.collect::<Result<_, _>>()?,
            state,
            done: plan.done,
            reason: plan.reason.into(),
        })
    }
}

impl From<PlanState> for wire::PlanState {
    fn from(state: PlanState) -> Self {
        match state {
            PlanState::Proposed => Self::Proposed,
            PlanState::Confirmed => Self::Confirmed,
            PlanState::Finished => Self::Finished,
            PlanState::Aborted => Self::Aborted,
            PlanState::Failed => Self::Failed,
        }
    }
}

impl TryFrom<wire::PlanState> for PlanState {
    type Error = Error;

    fn try_from(state: wire::PlanState) -> Result<Self, Error> {
        match state {
            wire::PlanState::Unspecified => UnknownTypeSnafu { what: "state of a plan" }.fail(),
            wire::PlanState::Proposed => Ok(Self::Proposed),
            wire::PlanState::Confirmed => Ok(Self::Confirmed),
            wire::PlanState::Finished => Ok(Self::Finished),
            wire::PlanState::Aborted => Ok(Self::Aborted),
            wire::PlanState::Failed => Ok(Self::Failed),
        }
    }
}

impl From<&Step> for wire::Step {
    fn from(step: &Step) -> Self {
        let step = match step {
            Step::Declare(service) => wire::step::Step::Declare(service.as_ref().into()),
            Step::SetState { service, server, state } => wire::step::Step::Want(wire::Want {
                service: service.to_string(),
                server: server.0,
                state: wire::ServerState::from(*state).into(),
            }),
            Step::MoveSlice { service, slice, to } => {
                wire::step::Step::MoveSlice(wire::MoveSlice {
                    service: service.to_string(),
                    slice: slice.0,
                    to: to.0,
                })
            }
            Step::MoveKey { service, key, to } => wire::step::Step::MoveKey(wire::MoveKey {
                service: service.to_string(),
                key: key.to_string(),
                to: to.0,
            }),
            Step::Clear { print } => wire::step::Step::Clear(wire::Clear { print: *print }),
        };
        Self { step: Some(step) }
    }
}

impl TryFrom<wire::Step> for Step {
    type Error = Error;

    fn try_from(step: wire::Step) -> Result<Self, Error> {
        match step.step.context(UnknownTypeSnafu { what: "step of a plan" })? {
            wire::step::Step::Declare(service) => {
                Ok(Self::Declare(Box::new(Service::try_from(service)?)))
            }
            wire::step::Step::Want(want) => Ok(Self::SetState {
                state: ServerState::try_from(want.state())?,
                service: want.service.into(),
                server: ServerId(want.server),
            }),
            wire::step::Step::MoveSlice(step) => Ok(Self::MoveSlice {
                service: step.service.into(),
                slice: Slice(step.slice),
                to: ServerId(step.to),
            }),
            wire::step::Step::MoveKey(step) => Ok(Self::MoveKey {
                service: step.service.into(),
                key: step.key.into(),
                to: ServerId(step.to),
            }),
            wire::step::Step::Clear(clear) => Ok(Self::Clear { print: clear.print }),
        }
    }
}
