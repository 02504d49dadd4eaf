//! Conditional writes in progress, retried when their replies are lost.
//!
//! A retry is idempotent: a write without a reply is resent unchanged, and if it had taken effect,
//! the platform answers with a conflict that shows the write's own mark.

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

/// First backoff before a write without a reply is resent.
const RETRY_MIN: Duration = Duration::from_millis(100);

/// Longest backoff.
const RETRY_MAX: Duration = Duration::from_millis(2_000);

/// Minimum time between writes of a record whose version the replica cannot reach, as after the
/// platform lost its latest writes.
const CONFLICT_HOLD: Duration = Duration::from_millis(500);

/// Purpose of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Purpose {
    /// Updates this node's own record.
    Own,
    /// Declares another node lost.
    Loss,
    /// Takes or hands over the controller's term.
    Term,
    /// Carries out a decision of the controller.
    Plan,
}

/// A write without a reply so far.
#[derive(Debug, Clone)]
pub(super) struct PendingWrite {
    pub purpose: Purpose,
    pub key: Key,
    /// Version that the record must have.
    pub expect: u64,
    /// Random mark that identifies the write.
    mark: u64,
    /// Content; `None` deletes.
    pub value: Option<Value>,
    /// When to resend it; `None` while a reply is awaited.
    retry_at: Option<Tick>,
    /// Backoff after the next lost reply.
    retry_wait: Duration,
}

/// A write whose outcome is known.
#[derive(Debug, Clone)]
pub(super) struct CompletedWrite {
    pub write: PendingWrite,
    /// Version written; `None` if the write did not take effect.
    pub version: Option<u64>,
}

/// All writes in progress, at most one per record.
#[derive(Debug, Default)]
pub(super) struct Writes {
    /// Number of the last write.
    last_op: u64,
    /// Writes by number.
    pending: BTreeMap<u64, PendingWrite>,
    /// Version of each record that the replica must reach before the record is written again, and
    /// when that version became known.
    ahead: BTreeMap<Key, (u64, Tick)>,
}

impl Writes {
    /// Returns whether `key` may be written: no write is in progress or still missing in `replica`.
    pub fn is_free(&self, replica: &Replica, key: &Key) -> bool {
        let settled =
            self.ahead.get(key).is_none_or(|(version, _)| replica.last_version(key) >= *version);
        settled && !self.pending.values().any(|write| write.key == *key)
    }

    /// Returns the highest known version that is missing in `replica`, zero if there is none.
    pub fn latest_unseen(&self, replica: &Replica) -> u64 {
        self.ahead
            .values()
            .map(|ahead| ahead.0)
            .filter(|version| *version > replica.seen())
            .max()
            .unwrap_or(0)
    }

    /// Starts a write and returns the action that sends it.
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

    /// Handles the outcome of a write; returns `None` if the outcome is unknown and it will be
    /// resent.
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

    /// Resends the writes whose backoff is over, and drops those whose purpose is not `wanted`.
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

    /// Drops versions that the replica has reached.
    pub fn prune(&mut self, now: Tick, replica: &Replica) {
        self.ahead.retain(|key, (version, since)| {
            let unseen = replica.seen() < *version || now.since(*since) < CONFLICT_HOLD;
            unseen && replica.last_version(key) < *version
        });
    }
}

impl PendingWrite {
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
