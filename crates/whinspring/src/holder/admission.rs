//! What becomes of a request that arrives.

use {
    super::{
        Context, Holder, RETRY_SOON,
        duplicates::{Fresh, Known},
        event::Output,
        grants::Claim,
        release::LONG_REST,
        suspicion::Trust,
    },
    crate::{
        code::Code,
        model::ServerState,
        request::{Job, JobId},
    },
    std::time::Duration,
};

/// Requests that wait at most.
const MAX_QUEUED: usize = 8_192;

impl Holder {
    /// Queues a request, joins it to another, or answers it at once.
    pub(super) fn arrive(&mut self, cx: &mut Context<'_>, job: Job) {
        if job.deadline <= cx.now {
            return self.refuse(cx, job.id, Code::Expired, Duration::ZERO);
        }
        if !job.meta.repeatable && job.meta.id.is_empty() {
            return self.refuse(cx, job.id, Code::NoId, Duration::ZERO);
        }
        let known = if job.meta.repeatable { Known::New } else { self.duplicates.known(&job.meta) };
        match known {
            Known::New => self.admit(cx, job),
            Known::Active(run) => self.join(cx, run, job),
            Known::Answered(answer) => cx.out.push(Output::Replay(job.id, answer)),
            Known::MaybeRan => self.refuse(cx, job.id, Code::MaybeRan, Duration::ZERO),
            Known::Mismatch => self.refuse(cx, job.id, Code::BadId, Duration::ZERO),
        }
    }

    /// The caller of a request went away.
    pub(super) fn cancel(&mut self, cx: &mut Context<'_>, id: JobId) {
        if self.duplicates.unjoin(id) {
            return;
        }
        if let Some(waiting) = self.queue.remove(id) {
            return self.promote(cx, &waiting.job);
        }
        let Some(run) = self.runs.get_mut(&id) else { return };
        run.over = true;
        if run.job.meta.repeatable && !run.aborted {
            run.aborted = true;
            cx.out.push(Output::Abort(id));
        }
    }

    /// Gives a final answer to everything whose deadline has passed or cannot be met.
    pub(super) fn expire(&mut self, cx: &mut Context<'_>) {
        self.expire_joined(cx);
        self.expire_queued(cx);
        self.expire_running(cx);
    }

    /// Removes a request that did not run from the queue; requests joined to it get the same.
    pub(super) fn reject(&mut self, cx: &mut Context<'_>, id: JobId, code: Code, mean: Duration) {
        let Some(waiting) = self.queue.remove(id) else { return };
        self.refuse(cx, id, code, mean);
        self.reject_joined(cx, &waiting.job, code, mean);
    }

    /// Forgets a request that did not run, and refuses the requests joined to it.
    pub(super) fn reject_joined(
        &mut self,
        cx: &mut Context<'_>,
        job: &Job,
        code: Code,
        mean: Duration,
    ) {
        if job.meta.repeatable {
            return;
        }
        for joined in self.duplicates.forget(&job.meta, job.id) {
            self.refuse(cx, joined.id, code, mean);
        }
    }

    /// Lets the first of the joined requests take the place of one that did not run.
    pub(super) fn promote(&mut self, cx: &mut Context<'_>, job: &Job) {
        if job.meta.repeatable {
            return;
        }
        let mut joined = self.duplicates.forget(&job.meta, job.id).into_iter();
        let Some(heir) = joined.next() else { return };
        self.duplicates.accept(cx.now, cx.wall, &heir);
        for other in joined {
            self.duplicates.join(heir.id, other);
        }
        let parked = self.grants.claim(&heir.meta) == Claim::Granting;
        self.queue.push(heir, 0, parked);
    }

    /// Joins a request to the run of another sending of it.
    fn join(&mut self, cx: &mut Context<'_>, run: JobId, job: Job) {
        let id = job.id;
        if !self.duplicates.join(run, job) {
            self.refuse(cx, id, Code::MaybeRan, RETRY_SOON);
        }
    }

    fn admit(&mut self, cx: &mut Context<'_>, job: Job) {
        if cx.now >= self.lease || self.outranked {
            return self.refuse(cx, job.id, Code::NoHolder, RETRY_SOON);
        }
        let claim = self.grants.claim(&job.meta);
        let long = self.estimate.expected(job.meta.print) >= LONG_REST;
        if claim == Claim::No || self.is_closed(cx) || (self.handover && long) {
            return self.refuse(cx, job.id, Code::Moved, RETRY_SOON);
        }
        if !job.meta.repeatable && !self.check_fresh(cx, &job) {
            return;
        }
        self.suspicion.heard(cx.wall, job.meta.print, job.meta.deaths);
        if self.suspicion.trust(cx.wall, job.meta.print) == Trust::Convicted {
            return self.refuse(cx, job.id, Code::Crashing, Duration::ZERO);
        }
        if let Some((code, wait)) = self.overload(cx, &job) {
            cx.out.push(Output::Count("overloaded"));
            return self.refuse(cx, job.id, code, wait);
        }
        if !job.meta.repeatable {
            self.duplicates.accept(cx.now, cx.wall, &job);
        }
        self.queue.push(job, 0, claim == Claim::Granting);
    }

    /// Returns whether the server takes no new work.
    pub(super) fn is_closed(&self, cx: &Context<'_>) -> bool {
        let keyed = self.is_keyed();
        let drained = self.server.state == ServerState::Draining && !keyed;
        let lost = self.life.is_lost() || self.server.state == ServerState::Lost;
        let handover = self.handover && !self.lingers(cx);
        drained || lost || handover || self.life.is_closed(cx.now, keyed)
    }

    /// Refuses an unrepeatable request with an unknown id that may have run before.
    fn check_fresh(&mut self, cx: &mut Context<'_>, job: &Job) -> bool {
        let since = self.grants.since(&job.meta);
        match self.duplicates.may_run(&job.meta, since, cx.wall) {
            Fresh::Yes => return true,
            Fresh::No => self.refuse(cx, job.id, Code::MaybeRan, Duration::ZERO),
            Fresh::Future => self.refuse(cx, job.id, Code::BadId, Duration::ZERO),
        }
        false
    }

    /// Returns why a request cannot be served in time, and the wait expected.
    ///
    /// An idle server takes every request, so that a wrong estimate corrects itself.
    fn overload(&self, cx: &Context<'_>, job: &Job) -> Option<(Code, Duration)> {
        if self.queue.is_empty() && self.runs.is_empty() {
            return None;
        }
        let wait = self.wait(cx, job);
        let end = cx.now + wait + self.estimate.expected(job.meta.print);
        if end <= job.deadline && self.queue.len() < MAX_QUEUED {
            return None;
        }
        let over = self.queue.over_share(&job.meta.customer);
        let code = if over { Code::OverShare } else { Code::Overloaded };
        Some((code, wait.max(RETRY_SOON)))
    }

    /// Returns the wait expected for a request that arrives now.
    fn wait(&self, cx: &Context<'_>, job: &Job) -> Duration {
        let mean = self.estimate.mean();
        let slots = self.life.slots(self.server.slots).max(1);
        let ahead = self.queue.ahead(&job.meta.customer, job.deadline, mean) as u32;
        let runs = self.runs.values();
        let mut free: Vec<Duration> = runs
            .map(|run| self.estimate.rest(run.job.meta.print, run.start, cx.now))
            .chain(std::iter::repeat_n(Duration::ZERO, slots.saturating_sub(self.runs.len())))
            .collect();
        free.sort_unstable();
        let backlog = self.queue.backlog(&job.meta.customer, job.deadline);
        pour(&free, mean * ahead).max(backlog)
    }

    fn expire_joined(&mut self, cx: &mut Context<'_>) {
        for id in self.duplicates.expired(cx.now) {
            self.refuse(cx, id, Code::Deadline, Duration::ZERO);
        }
    }

    /// Refuses queued requests that cannot be answered in time any more.
    fn expire_queued(&mut self, cx: &mut Context<'_>) {
        let least = self.estimate.mean();
        let spare = self.runs.is_empty() && self.queue.len() == 1;
        while let Some((deadline, id)) = self.queue.earliest() {
            let late = deadline <= cx.now;
            if !late && (spare || deadline > cx.now + least) {
                return;
            }
            let code = if late { Code::Expired } else { Code::Overloaded };
            let Some(waiting) = self.queue.remove(id) else { return };
            self.refuse(cx, id, code, RETRY_SOON);
            self.promote(cx, &waiting.job);
        }
    }

    /// Answers running requests whose deadline has passed.
    fn expire_running(&mut self, cx: &mut Context<'_>) {
        while let Some((end, id)) = self.ends.first().copied() {
            if end > cx.now {
                return;
            }
            self.ends.pop_first();
            self.end_late(cx, id);
        }
    }
}

/// Returns when work of this amount has been started on slots that get free at these times,
/// earliest first.
fn pour(free: &[Duration], work: Duration) -> Duration {
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
