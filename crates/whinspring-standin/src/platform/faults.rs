//! Faults that the platform stand-in can be told to show.

use serde::{Deserialize, Serialize};

/// Faults in force.
#[derive(Debug, Default, Clone, Serialize)]
pub(super) struct Faults {
    /// Whether the object API is down.
    pub(super) outage: Outage,
    /// Delay of each call, in milliseconds.
    pub(super) delay_ms: u64,
    /// Writes that take effect but get no reply, in thousandths.
    pub(super) lose_replies: u32,
    /// Age of the list of VMs, in milliseconds.
    pub(super) vm_lag_ms: u64,
}

/// How the object API is down.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum Outage {
    /// It is not.
    #[default]
    Off,
    /// Connections are closed without an answer.
    Refuse,
    /// Calls get no answer.
    Hang,
}

/// Body that changes faults; what is left out stays.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Change {
    outage: Option<Outage>,
    delay_ms: Option<u64>,
    lose_replies: Option<u32>,
    vm_lag_ms: Option<u64>,
}

impl Faults {
    /// Applies a change.
    pub(super) fn apply(&mut self, change: Change) {
        self.outage = change.outage.unwrap_or(self.outage);
        self.delay_ms = change.delay_ms.unwrap_or(self.delay_ms);
        self.lose_replies = change.lose_replies.unwrap_or(self.lose_replies);
        self.vm_lag_ms = change.vm_lag_ms.unwrap_or(self.vm_lag_ms);
    }
}
