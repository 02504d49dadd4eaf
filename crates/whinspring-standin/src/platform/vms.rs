//! The list of VMs, with the history of their states, so that the list can lag behind.

use {
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
    tokio::time::Instant,
};

/// State of a VM as reported by the platform.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum State {
    /// Running.
    Live,
    /// About to be stopped.
    Leaving,
    /// Stopped and removed.
    Gone,
}

#[derive(Debug, Serialize)]
pub(super) struct Vm {
    name: String,
    state: State,
}

/// States of all VMs since the start, with the time from which each one holds.
#[derive(Debug, Default)]
pub(super) struct Vms {
    states: BTreeMap<String, Vec<(Instant, State)>>,
}

impl Vms {
    /// Sets the state of a VM as of `now`.
    pub(super) fn set(&mut self, name: &str, state: State, now: Instant) {
        self.states.entry(name.into()).or_default().push((now, state));
    }

    /// Returns the list as of `at`; empty for `None`, a time before the clock's origin.
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
