//! Routing of one request at its entry: selects a target, evaluates the outcome, and retries.
//!
//! A [`Dispatch`] never retries a request that may have run unless it is idempotent, and it answers
//! at once when waiting cannot lead to a better answer before the deadline.

mod choice;
pub mod state;

pub use state::{EntryState, Outstanding};

use {
    crate::{
        code::{Class, Code},
        model::Owner,
        name::ServerId,
        request::{Meta, Refusal, Target},
        time::Tick,
        view::{ServiceView, View},
    },
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{sync::Arc, time::Duration},
};

/// Longest total time that a request waits for an owner or a holder.
const MAX_WAIT: Duration = Duration::from_millis(3_000);
/// Mean initial delay before a target that refused is tried again without a change of records.
const BACKOFF: Duration = Duration::from_millis(50);
/// Number of times that the backoff is doubled.
const MAX_DOUBLINGS: u32 = 4;
/// Time within which a planned move is expected to end.
const EXPECTED_MOVE: Duration = Duration::from_millis(100);
/// Time within which a lost server or holder is expected to be replaced.
const EXPECTED_FAILOVER: Duration = Duration::from_millis(500);
/// Number of lost servers up to which an idempotent request is retried.
const MAX_LOST_SERVERS: u32 = 1;
/// Mean retry delay given to refused callers, in milliseconds.
const RETRY_AFTER_MS: u32 = 500;

/// The next action of the entry for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Forward it to the holder of a server.
    Forward(Target),
    /// Decide again when the records change, at the latest at this point.
    Wait(Tick),
    Answer(Refusal),
}

/// How a forwarded request ended without an answer to pass on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The holder answered with a refusal.
    Refused(Refusal),
    /// The holder does not hold the server, or the server does not own the slice.
    Misrouted,
    /// The holder could not be reached, and nothing was sent to it.
    Unreachable,
    /// The connection to the holder was lost after the request was sent.
    Broken,
    /// The answer ended early, after its head had been passed on.
    Cut,
}

/// The routing state of one request.
#[derive(Debug, Clone)]
pub struct Dispatch {
    meta: Meta,
    deadline: Tick,
    rng: ChaCha8Rng,
    /// The target of the last attempt.
    target: Option<Target>,
    /// Set if the last attempt failed: the point from which the same target may be tried again.
    retry_at: Option<Tick>,
    /// The final answer, once it is decided.
    final_answer: Option<Refusal>,
    /// The outcome of an attempt that may have run.
    unknown: Option<Refusal>,
    /// The last refusal that proves that an attempt did not run.
    last_refusal: Option<Refusal>,
    /// Servers that are not tried again.
    excluded: Vec<ServerId>,
    /// When the request began to wait for a change of records.
    waiting_since: Option<Tick>,
    tries: u32,
    /// Whether the next attempt is charged to the retry budget, because the last one reached a
    /// server or a full queue.
    costs_budget: bool,
    /// Attempts that ended in a backoff.
    misroutes: u32,
    /// Servers that were lost while they ran the request.
    lost_servers: u32,
    /// Whether a server was lost with the last attempt.
    crash_seen: bool,
}

/// Why a request has no target now, and how long that is expected to last.
struct Blocked {
    code: Code,
    duration: Duration,
}

impl Dispatch {
    /// Creates the state of a request that must be answered by `deadline`.
    pub fn new(meta: Meta, now: Tick, deadline: Tick, seed: u64) -> Self {
        Self {
            meta,
            deadline: deadline.max(now),
            rng: ChaCha8Rng::seed_from_u64(seed),
            target: None,
            retry_at: None,
            final_answer: None,
            unknown: None,
            last_refusal: None,
            excluded: Vec::new(),
            waiting_since: None,
            tries: 0,
            costs_budget: false,
            misroutes: 0,
            lost_servers: 0,
            crash_seen: false,
        }
    }

    /// Returns the metadata of the request, updated by its attempts.
    pub fn meta(&self) -> &Meta {
        &self.meta
    }

    /// Decides the next action.
    pub fn next(&mut self, now: Tick, view: &View, state: &mut EntryState) -> Step {
        self.share_suspects(now, state);
        if let Some(refusal) = self.final_answer {
            return Step::Answer(refusal);
        }
        if now >= self.deadline {
            return self.answer(Code::Expired, 0);
        }
        let Some(service) = view.service(&self.meta.service) else {
            let code = if view.is_empty() { Code::NotReady } else { Code::NoService };
            return self.answer(code, RETRY_AFTER_MS);
        };
        match self.find_target(now, service, view, state) {
            Ok(target) => self.forward(now, target, state),
            Err(blocked) => self.wait(now, blocked),
        }
    }

    /// Records how the last attempt ended.
    pub fn record_outcome(&mut self, now: Tick, outcome: Outcome) {
        match outcome {
            Outcome::Refused(refusal) if refusal.code.class() == Class::Unknown => {
                self.record_unknown(refusal);
            }
            Outcome::Refused(refusal) => self.record_refusal(now, refusal),
            Outcome::Misrouted | Outcome::Unreachable => self.back_off(now),
            Outcome::Broken => {
                self.record_unknown(Refusal { code: Code::HolderLost, retry_ms: RETRY_AFTER_MS });
                self.back_off(now);
            }
            Outcome::Cut => {
                self.final_answer = Some(Refusal { code: Code::Truncated, retry_ms: 0 });
            }
        }
    }

    /// Shares a lost server with other requests of the same fingerprint, and learns of theirs.
    fn share_suspects(&mut self, now: Tick, state: &mut EntryState) {
        if std::mem::take(&mut self.crash_seen) {
            state.suspects.record(now, self.meta.fingerprint);
        }
        if self.tries == 0 && state.suspects.contains(now, self.meta.fingerprint) {
            self.meta.crashes = self.meta.crashes.max(1);
        }
    }

    fn find_target(
        &mut self,
        now: Tick,
        service: &Arc<ServiceView>,
        view: &View,
        state: &EntryState,
    ) -> Result<Target, Blocked> {
        let Some(place) = &self.meta.place else {
            let load = &state.outstanding;
            let chosen =
                choice::choose(service, view, load, now, &self.meta, &self.excluded, &mut self.rng);
            let duration = if self.excluded.is_empty() { EXPECTED_FAILOVER } else { Duration::MAX };
            return chosen.ok_or(Blocked { code: Code::NoOwner, duration });
        };
        let owner = service.owner(place);
        let owner = owner.ok_or(Blocked { code: Code::NoOwner, duration: EXPECTED_FAILOVER })?;
        self.find_holder(service, view, owner)
    }

    /// Returns the target for the server of the owner, or why there is none now.
    ///
    /// A holder that is to hand over the server is asked once: it may still accept short requests.
    fn find_holder(
        &self,
        service: &ServiceView,
        view: &View,
        owner: &Owner,
    ) -> Result<Target, Blocked> {
        if owner.next.is_some() {
            return Err(Blocked { code: Code::Moved, duration: EXPECTED_MOVE });
        }
        let target = choice::target(service, view, owner.server, owner.epoch);
        let target = target.ok_or(Blocked { code: Code::NoHolder, duration: EXPECTED_FAILOVER })?;
        let asked = self.retry_at.is_some() && self.target.as_ref() == Some(&target);
        if asked && choice::has_next_holder(service, owner.server) {
            return Err(Blocked { code: Code::Moved, duration: EXPECTED_MOVE });
        }
        Ok(target)
    }

    fn forward(&mut self, now: Tick, target: Target, state: &mut EntryState) -> Step {
        let same = self.target.as_ref() == Some(&target);
        if let Some(retry_at) = self.retry_at.filter(|retry_at| same && now < *retry_at) {
            return self.wait_until(now, retry_at);
        }
        if self.tries == 0 {
            state.retries.earn();
        } else if std::mem::take(&mut self.costs_budget) && !state.retries.spend() {
            let last = self.last_refusal.filter(|last| last.code == Code::Overloaded);
            return self
                .answer(last.map_or(Code::RetryBudgetExhausted, |last| last.code), RETRY_AFTER_MS);
        }
        state.outstanding.record_sent(&self.meta.service, target.server);
        self.tries += 1;
        self.retry_at = None;
        self.target = Some(target.clone());
        Step::Forward(target)
    }

    /// Waits for a change of records if it is expected before the deadline.
    fn wait(&mut self, now: Tick, blocked: Blocked) -> Step {
        let since = *self.waiting_since.get_or_insert(now);
        let end = self.deadline.min(since + MAX_WAIT);
        let left = blocked.duration.saturating_sub(now.since(since));
        let hopeless = now + left >= self.deadline;
        if hopeless || now >= end {
            return self.answer(blocked.code, RETRY_AFTER_MS);
        }
        Step::Wait(end)
    }

    /// Waits until `retry_at`, or answers when the request has waited long enough.
    fn wait_until(&mut self, now: Tick, retry_at: Tick) -> Step {
        let since = *self.waiting_since.get_or_insert(now);
        let end = self.deadline.min(since + MAX_WAIT);
        if now >= end || retry_at >= self.deadline {
            let last = self.last_refusal;
            return self.answer(last.map_or(Code::NoHolder, |last| last.code), RETRY_AFTER_MS);
        }
        Step::Wait(retry_at.min(end))
    }

    fn record_unknown(&mut self, refusal: Refusal) {
        self.unknown = Some(refusal);
        self.costs_budget = true;
        let lost = matches!(refusal.code, Code::ServerLost | Code::HolderLost);
        if refusal.code == Code::ServerLost {
            self.lost_servers += 1;
            self.crash_seen = true;
            self.meta.crashes = 1;
            self.excluded.extend(self.target.as_ref().map(|target| target.server));
        }
        if !self.meta.idempotent || !lost || self.lost_servers > MAX_LOST_SERVERS {
            self.final_answer = Some(refusal);
        }
    }

    fn record_refusal(&mut self, now: Tick, refusal: Refusal) {
        self.last_refusal = Some(refusal);
        let unkeyed = self.meta.place.is_none();
        match refusal.code {
            Code::Moved | Code::NoHolder | Code::NoOwner | Code::ShuttingDown => self.back_off(now),
            Code::Overloaded | Code::Shed if unkeyed && self.tries < 2 => {
                self.costs_budget = true;
                self.excluded.extend(self.target.as_ref().map(|target| target.server));
            }
            _ => self.final_answer = Some(self.unknown.unwrap_or(refusal)),
        }
    }

    fn back_off(&mut self, now: Tick) {
        let mean = BACKOFF * (1 << self.misroutes.min(MAX_DOUBLINGS));
        self.misroutes += 1;
        let half = mean.as_micros() as u64 / 2;
        let spread = Duration::from_micros(self.rng.random_range(half..=3 * half));
        self.retry_at = Some(now + spread);
    }

    /// Answers with `code`, or with the outcome of an earlier attempt that may have run.
    fn answer(&mut self, code: Code, mean_ms: u32) -> Step {
        let retry_ms = match mean_ms {
            0 => 0,
            _ => self.rng.random_range(mean_ms / 2..=mean_ms * 3 / 2),
        };
        let refusal = self.unknown.unwrap_or(Refusal { code, retry_ms });
        self.final_answer = Some(refusal);
        Step::Answer(refusal)
    }
}
