//! Conditional writes under way, settled when their replies are lost.
//!
//! A write without a reply is sent again unchanged: if it had taken effect, the platform answers
//! with a conflict that shows the write's own mark.

use {
    super::{Action, WriteOutcome},
    crate::{
        record::{Key, Value},
        replica::Replica,
        time::Tick,
    },
    rand::Rng,
    std::{collections::BTreeMap, time::Duration},
};

/// First wait before a write without a reply is sent again.
const RETRY_MIN: Duration = Duration::from_millis(100);

/// Longest such wait.
const RETRY_MAX: Duration = Duration::from_millis(2_000);

/// Time for which a record is not written again that the platform holds at an unknown version.
const CONFLICT_HOLD: Duration = Duration::from_millis(500);

/// What a write is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Purpose {
    /// This node's own record.
    Own,
    /// The record of a lost node.
    Loss,
    /// The controller's term.
    Term,
    /// A decision of the controller.
    Plan,
}

/// A write that has not ended.
#[derive(Debug, Clone)]
pub(super) struct PendingWrite {
    /// What it is for.
    pub purpose: Purpose,
    /// Record written.
    pub key: Key,
    /// Version that the record must have.
    pub expect: u64,
    /// Mark of the write.
    mark: u64,
    /// Content; `None` deletes.
    pub value: Option<Value>,
    /// When to send it again; `None` while a reply is awaited.
    retry_at: Option<Tick>,
    /// Wait before it is sent again after the next lost reply.
    retry_wait: Duration,
}

/// A write that has ended.
#[derive(Debug, Clone)]
pub(super) struct CompletedWrite {
    /// The write.
    pub write: PendingWrite,
    /// Its version if it took effect.
    pub version: Option<u64>,
}

/// All writes under way, at most one a record.
#[derive(Debug, Default)]
pub(super) struct Writes {
    /// Number of the last write.
    last_op: u64,
    /// Writes by number.
    pending: BTreeMap<u64, PendingWrite>,
    /// Versions, by record, that the replica must reach before the record is written again.
    ahead: BTreeMap<Key, (u64, Tick)>,
}

impl Writes {
    /// Returns whether `key` may be written: no write is under way or still unseen in `replica`.
    pub fn is_free(&self, replica: &Replica, key: &Key) -> bool {
        let settled =
            self.ahead.get(key).is_none_or(|(version, _)| replica.last_version(key) >= *version);
        settled && !self.pending.values().any(|write| write.key == *key)
    }

    /// Returns the highest version known of and not yet in `replica`, zero if there is none.
    pub fn latest_unseen(&self, replica: &Replica) -> u64 {
        self.ahead
            .values()
            .map(|ahead| ahead.0)
            .filter(|version| *version > replica.seen())
            .max()
            .unwrap_or(0)
    }

    /// Begins a write.
    pub fn put(
        &mut self,
        purpose: Purpose,
        key: Key,
        expect: u64,
        value: Option<Value>,
        mark: u64,
    ) -> Action {
        self.last_op += 1;
        let write = PendingWrite {
            purpose,
            key,
            expect,
            mark,
            value,
            retry_at: None,
            retry_wait: RETRY_MIN,
        };
        let action = write.action(self.last_op);
        self.pending.insert(self.last_op, write);
        action
    }

    /// Notes the reply to a write, and returns the write if it has ended.
    pub fn complete(
        &mut self,
        now: Tick,
        op: u64,
        outcome: WriteOutcome,
        rng: &mut impl Rng,
    ) -> Option<CompletedWrite> {
        let write = self.pending.get_mut(&op)?;
        let (ahead, version) = match outcome {
            WriteOutcome::Written(version) => (version, Some(version)),
            WriteOutcome::Conflict { version, mark } if mark == write.mark => {
                (version, Some(version))
            }
            WriteOutcome::Conflict { version, .. } if version < write.expect => {
                (write.expect + 1, None)
            }
            WriteOutcome::Conflict { version, .. } => (version, None),
            WriteOutcome::Unknown => {
                write.retry_at = Some(now + write.retry_wait.mul_f64(rng.random_range(0.5..1.0)));
                write.retry_wait = (write.retry_wait * 2).min(RETRY_MAX);
                return None;
            }
        };
        let write = self.pending.remove(&op)?;
        self.ahead.insert(write.key.clone(), (ahead, now));
        Some(CompletedWrite { write, version })
    }

    /// Sends again the writes whose wait is over, unless `wanted` says that they are given up.
    pub fn resend_due(
        &mut self,
        now: Tick,
        wanted: impl Fn(Purpose) -> bool,
        out: &mut Vec<Action>,
    ) {
        self.pending.retain(|_, write| write.retry_at.is_none() || wanted(write.purpose));
        for (op, write) in &mut self.pending {
            if write.retry_at.is_some_and(|retry| retry <= now) {
                write.retry_at = None;
                out.push(write.action(*op));
            }
        }
    }

    /// Forgets what the replica has caught up with.
    pub fn prune(&mut self, now: Tick, replica: &Replica) {
        self.ahead.retain(|key, (version, since)| {
            let unseen = replica.seen() < *version || now.since(*since) < CONFLICT_HOLD;
            unseen && replica.last_version(key) < *version
        });
    }
}

impl PendingWrite {
    /// Returns the action that sends the write.
    fn action(&self, op: u64) -> Action {
        Action::Put {
            op,
            key: self.key.clone(),
            expect: self.expect,
            mark: self.mark,
            value: self.value.clone(),
        }
    }
}
