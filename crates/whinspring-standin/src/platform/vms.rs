//! The list of VMs, with enough history to lag.

use {
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
    tokio::time::Instant,
};

/// What the platform says of a VM.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum State {
    /// It runs.
    Live,
    /// It is about to be stopped.
    Leaving,
    /// It no longer exists.
    Gone,
}

/// One entry of the list.
#[derive(Debug, Serialize)]
pub(super) struct Vm {
    name: String,
    state: State,
}

/// States of all VMs since the start.
#[derive(Debug, Default)]
pub(super) struct Vms {
    states: BTreeMap<String, Vec<(Instant, State)>>,
}

impl Vms {
    /// Sets the state of a VM from `now` on.
    pub(super) fn set(&mut self, name: &str, state: State, now: Instant) {
        self.states.entry(name.into()).or_default().push((now, state));
    }

    /// Returns the list as it was at `at`; empty if that is before the start of the machine.
    pub(super) fn list(&self, at: Option<Instant>) -> Vec<Vm> {
        let Some(at) = at else {
            return Vec::new();
        };
        let state_at = |states: &[(Instant, State)]| {
            states.iter().rev().find(|(since, _)| *since <= at).map(|(_, state)| *state)
        };
        let known = self
            .states
            .iter()
            .filter_map(|(name, states)| Some(Vm { name: name.clone(), state: state_at(states)? }));
        known.collect()
    }
}
