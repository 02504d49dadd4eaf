//! Injected faults of the platform stand-in.

use serde::{Deserialize, Serialize};

/// Faults currently injected.
#[derive(Debug, Default, Clone, Serialize)]
pub(super) struct Faults {
    /// Outage of the object API.
    pub(super) outage: Outage,
    /// Delay added to each call, in milliseconds.
    pub(super) delay_ms: u64,
    /// Writes per thousand that take effect but get no response.
    pub(super) lose_replies: u32,
    /// How far the list of VMs lags behind, in milliseconds.
    pub(super) vm_lag_ms: u64,
}

/// Kind of outage of the object API.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum Outage {
    /// No outage.
    #[default]
    Off,
    /// Connections are closed without a response.
    Refuse,
    /// Calls get no response until the outage ends; then their connections are closed.
    Hang,
}

/// Request body that changes faults; omitted fields keep their value.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Change {
    outage: Option<Outage>,
    delay_ms: Option<u64>,
    lose_replies: Option<u32>,
    vm_lag_ms: Option<u64>,
}

impl Faults {
    pub(super) fn apply(&mut self, change: Change) {
        self.outage = change.outage.unwrap_or(self.outage);
        self.delay_ms = change.delay_ms.unwrap_or(self.delay_ms);
        self.lose_replies = change.lose_replies.unwrap_or(self.lose_replies);
        self.vm_lag_ms = change.vm_lag_ms.unwrap_or(self.vm_lag_ms);
    }
}
