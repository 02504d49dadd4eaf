//! Admission of requests: duplicates, ownership, suspects, overload and deadlines.

use {
    super::{
        Context, Holder, RETRY_SOON,
        dedup::{Freshness, Lookup},
        event::Output,
        grants::Ownership,
        release::LONG_REMAINING,
        suspicion::Treatment,
    },
    crate::{
        code::Code,
        model::ServerState,
        request::{Job, JobId},
    },
    std::time::Duration,
};

const MAX_QUEUED: usize = 8_192;

impl Holder {
    /// Queues a request, joins it to the run of a duplicate, or answers it at once.
    pub(super) fn handle_arrival(&mut self, cx: &mut Context<'_>, job: Job) {
        if job.deadline <= cx.now {
            return self.refuse(cx, job.id, Code::Expired, Duration::ZERO);
        }
        if !job.meta.idempotent && job.meta.id.is_empty() {
            return self.refuse(cx, job.id, Code::NoId, Duration::ZERO);
        }
        let known = if job.meta.idempotent { Lookup::New } else { self.dedup.lookup(&job.meta) };
        match known {
            Lookup::New => self.admit(cx, job),
            Lookup::Active(run) => self.join(cx, run, job),
            Lookup::Answered(answer) => cx.out.push(Output::Replay(job.id, answer)),
            Lookup::MaybeRan => self.refuse(cx, job.id, Code::MaybeRan, Duration::ZERO),
            Lookup::Mismatch => self.refuse(cx, job.id, Code::BadId, Duration::ZERO),
        }
    }

    /// Removes a request whose caller has disconnected. A running one is aborted only if it is
    /// idempotent; otherwise its answer is recorded for a retry.
    pub(super) fn cancel(&mut self, cx: &mut Context<'_>, id: JobId) {
        if self.dedup.unjoin(id) {
            return;
        }
        if let Some(waiting) = self.queue.remove(id) {
            return self.promote(cx, &waiting.job);
        }
        let Some(run) = self.runs.get_mut(&id) else { return };
        run.answered = true;
        if run.job.meta.idempotent && !run.aborted {
            run.aborted = true;
            cx.out.push(Output::Abort(id));
        }
    }

    /// Answers requests whose deadline has passed or cannot be met.
    pub(super) fn expire(&mut self, cx: &mut Context<'_>) {
        self.expire_joined(cx);
        self.expire_queued(cx);
        self.expire_running(cx);
    }

    /// Removes a queued request and refuses it together with the duplicates joined to it.
    pub(super) fn reject(&mut self, cx: &mut Context<'_>, id: JobId, code: Code, mean: Duration) {
        let Some(waiting) = self.queue.remove(id) else { return };
        self.refuse(cx, id, code, mean);
        self.reject_joined(cx, &waiting.job, code, mean);
    }

    /// Forgets a request that did not run and refuses the duplicates joined to it.
    pub(super) fn reject_joined(
        &mut self,
        cx: &mut Context<'_>,
        job: &Job,
        code: Code,
        mean: Duration,
    ) {
        if job.meta.idempotent {
            return;
        }
        for joined in self.dedup.forget(&job.meta, job.id) {
            self.refuse(cx, joined.id, code, mean);
        }
    }

    /// Queues the first of the joined duplicates in place of a request that did not run.
    pub(super) fn promote(&mut self, cx: &mut Context<'_>, job: &Job) {
        if job.meta.idempotent {
            return;
        }
        let mut joined = self.dedup.forget(&job.meta, job.id).into_iter();
        let Some(successor) = joined.next() else { return };
        self.dedup.insert_active(cx.now, cx.wall, &successor);
        for other in joined {
            self.dedup.join(successor.id, other);
        }
        let parked = self.grants.ownership(&successor.meta) == Ownership::Pending;
        self.queue.push(successor, 0, parked);
    }

    /// Joins a request to the run of a duplicate with the same id.
    fn join(&mut self, cx: &mut Context<'_>, run: JobId, job: Job) {
        let id = job.id;
        if !self.dedup.join(run, job) {
            self.refuse(cx, id, Code::MaybeRan, RETRY_SOON);
        }
    }

    fn admit(&mut self, cx: &mut Context<'_>, job: Job) {
        if cx.now >= self.lease || self.outranked {
            return self.refuse(cx, job.id, Code::NoHolder, RETRY_SOON);
        }
        let ownership = self.grants.ownership(&job.meta);
        let long = self.estimate.expected_time(job.meta.fingerprint) >= LONG_REMAINING;
        if ownership == Ownership::NotOwned || self.is_closed(cx) || (self.handover && long) {
            return self.refuse(cx, job.id, Code::Moved, RETRY_SOON);
        }
        if !job.meta.idempotent && !self.check_fresh(cx, &job) {
            return;
        }
        self.suspicion.merge_reported(cx.wall, job.meta.fingerprint, job.meta.crashes);
        if self.suspicion.treatment(cx.wall, job.meta.fingerprint) == Treatment::Reject {
            return self.refuse(cx, job.id, Code::Crashing, Duration::ZERO);
        }
        if let Some((code, wait)) = self.check_overload(cx, &job) {
            cx.out.push(Output::Count("overloaded"));
            return self.refuse(cx, job.id, code, wait);
        }
        if !job.meta.idempotent {
            self.dedup.insert_active(cx.now, cx.wall, &job);
        }
        self.queue.push(job, 0, ownership == Ownership::Pending);
    }

    /// Returns whether the server takes no new work.
    pub(super) fn is_closed(&self, cx: &Context<'_>) -> bool {
        let keyed = self.is_keyed();
        let drained = self.server.state == ServerState::Draining && !keyed;
        let lost = self.health.is_lost() || self.server.state == ServerState::Lost;
        let handover = self.handover && !self.accepts_short(cx);
        drained || lost || handover || self.health.is_closed(cx.now, keyed)
    }

    /// Refuses a non-idempotent request with an unknown id if it may have run before.
    fn check_fresh(&mut self, cx: &mut Context<'_>, job: &Job) -> bool {
        let since = self.grants.since(&job.meta);
        match self.dedup.freshness(&job.meta, since, cx.wall) {
            Freshness::Unseen => return true,
            Freshness::MaybeSeen => self.refuse(cx, job.id, Code::MaybeRan, Duration::ZERO),
            Freshness::FromFuture => self.refuse(cx, job.id, Code::BadId, Duration::ZERO),
        }
        false
    }

    /// Returns why a request cannot be served in time, and the expected wait.
    ///
    /// An idle server takes every request, so that a wrong estimate corrects itself.
    fn check_overload(&self, cx: &Context<'_>, job: &Job) -> Option<(Code, Duration)> {
        if self.queue.is_empty() && self.runs.is_empty() {
            return None;
        }
        let wait = self.expected_wait(cx, job);
        let end = cx.now + wait + self.estimate.expected_time(job.meta.fingerprint);
        if end <= job.deadline && self.queue.len() < MAX_QUEUED {
            return None;
        }
        let over = self.queue.exceeds_share(&job.meta.customer);
        let code = if over { Code::OverShare } else { Code::Overloaded };
        Some((code, wait.max(RETRY_SOON)))
    }

    /// Returns the expected wait of a request that arrives now.
    fn expected_wait(&self, cx: &Context<'_>, job: &Job) -> Duration {
        let mean = self.estimate.mean();
        let slots = self.health.slots(self.server.slots).max(1);
        let ahead = self.queue.count_ahead(&job.meta.customer, job.deadline, mean) as u32;
        let runs = self.runs.values();
        let mut free: Vec<Duration> = runs
            .map(|run| self.estimate.remaining(run.job.meta.fingerprint, run.start, cx.now))
            .chain(std::iter::repeat_n(Duration::ZERO, slots.saturating_sub(self.runs.len())))
            .collect();
        free.sort_unstable();
        let backlog = self.queue.backlog_wait(&job.meta.customer, job.deadline);
        queue_delay(&free, mean * ahead).max(backlog)
    }

    fn expire_joined(&mut self, cx: &mut Context<'_>) {
        for id in self.dedup.take_expired(cx.now) {
            self.refuse(cx, id, Code::Deadline, Duration::ZERO);
        }
    }

    /// Refuses queued requests that can no longer be answered in time. A request that waits alone
    /// at an idle server is kept until its deadline, so that a wrong estimate corrects itself.
    fn expire_queued(&mut self, cx: &mut Context<'_>) {
        let service_time = self.estimate.mean();
        let alone = self.runs.is_empty() && self.queue.len() == 1;
        while let Some((deadline, id)) = self.queue.earliest_deadline() {
            let late = deadline <= cx.now;
            if !late && (alone || deadline > cx.now + service_time) {
                return;
            }
            let code = if late { Code::Expired } else { Code::Overloaded };
            let Some(waiting) = self.queue.remove(id) else { return };
            self.refuse(cx, id, code, RETRY_SOON);
            self.promote(cx, &waiting.job);
        }
    }

    fn expire_running(&mut self, cx: &mut Context<'_>) {
        while let Some((end, id)) = self.run_deadlines.first().copied() {
            if end > cx.now {
                return;
            }
            self.run_deadlines.pop_first();
            self.expire_run(cx, id);
        }
    }
}

/// Returns the delay after which `work` has been started on slots that become free after the delays
/// `free`, in ascending order.
fn queue_delay(free: &[Duration], work: Duration) -> Duration {
    let mut begun = Duration::ZERO;
    for (used, at) in (1u32..).zip(free) {
        begun += *at;
        let end = (work + begun) / used;
        if free.get(used as usize).is_none_or(|next| end <= *next) {
            return end;
        }
    }
    begun
}
