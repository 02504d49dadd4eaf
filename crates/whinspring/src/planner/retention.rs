//! Deletes expired records, a few at a time.

use {
    super::Write,
    crate::{
        model::{NodeState, PlanState},
        record::{Key, Kind, Value},
        replica::Replica,
        time::Wall,
    },
};

/// Number of records of gone nodes to keep.
const MAX_GONE_NODES: usize = 64;

/// Number of ended plans to keep.
const MAX_ENDED_PLANS: usize = 256;

/// Time to keep a suspected request after the last server crash attributed to it.
const SUSPECT_TTL_MS: u64 = 24 * 3_600 * 1_000;

/// Deletions per call.
const MAX_DELETIONS: usize = 4;

/// Returns the next expired records to delete.
pub fn collect_expired(replica: &Replica, wall: Wall) -> Vec<Write> {
    let ended = |value: &Value| match value {
        Value::Plan(plan) => !matches!(plan.state, PlanState::Proposed | PlanState::Confirmed),
        _ => false,
    };
    let gone = |value: &Value| match value {
        Value::Node(node) => node.state == NodeState::Gone,
        _ => false,
    };
    let stale = |value: &Value| match value {
        Value::Suspect(suspect) => suspect.last_ms + SUSPECT_TTL_MS < wall.0,
        _ => false,
    };
    let mut keys = oldest(replica, Kind::Plan, MAX_ENDED_PLANS, ended);
    keys.extend(oldest(replica, Kind::Node, MAX_GONE_NODES, gone));
    keys.extend(oldest(replica, Kind::Suspect, 0, stale));
    keys.into_iter().take(MAX_DELETIONS).map(|key| Write { key, value: None }).collect()
}

/// Returns the expired records of a kind, oldest first, except the `keep` last written ones.
fn oldest(
    replica: &Replica,
    kind: Kind,
    keep: usize,
    expired: impl Fn(&Value) -> bool,
) -> Vec<Key> {
    let expired = replica.iter(kind).filter(|record| record.value.as_ref().is_some_and(&expired));
    let mut records: Vec<(u64, Key)> = expired.map(|r| (r.version, r.key.clone())).collect();
    records.sort_unstable();
    records.truncate(records.len().saturating_sub(keep));
    records.into_iter().map(|(_, key)| key).collect()
}
