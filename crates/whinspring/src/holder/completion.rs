//! Completion of requests that occupy a slot.

use {
    super::{Context, Holder, RETRY_SOON, Run, event::Output, grants::Ownership},
    crate::{
        code::Code,
        request::{Job, JobId},
        time::Tick,
    },
    bytes::Bytes,
    std::time::Duration,
};

/// Number of starts after which a request that did not run is refused.
const MAX_TRIES: u32 = 3;
/// Time for which a run may continue after its deadline, so that its answer can be recorded.
const ABORT_GRACE: Duration = Duration::from_secs(10);
/// Shortest time without new starts after the server shed a request.
const MIN_PAUSE: Duration = Duration::from_millis(20);
/// Longest time without new starts after the server shed a request.
const MAX_PAUSE: Duration = Duration::from_millis(200);

impl Holder {
    /// Handles the complete answer of the server.
    pub(super) fn handle_answer(&mut self, cx: &mut Context<'_>, id: JobId, answer: Option<Bytes>) {
        let Some(run) = self.remove_run(cx, id) else { return };
        let took = cx.now.since(run.start);
        self.health.record_answer(cx.now);
        self.estimate.record(cx.now, run.job.meta.fingerprint, took);
        self.queue.correct_charge(&run.job.meta.customer, run.cost, took);
        if let Some(cleared) = self.suspicion.clear_completed(run.job.meta.fingerprint) {
            cx.out.push(Output::Log("a suspected request completed and is cleared"));
            cx.out.push(Output::Suspect(cleared));
        }
        if run.job.meta.idempotent {
            return;
        }
        for joined in self.dedup.record_answer(&run.job.meta, id, answer.clone()) {
            match &answer {
                Some(answer) => cx.out.push(Output::Replay(joined.id, answer.clone())),
                None => self.refuse(cx, joined.id, Code::MaybeRan, Duration::ZERO),
            }
        }
    }

    /// Handles a request that the server refused before running it, to shed load.
    pub(super) fn handle_shed(&mut self, cx: &mut Context<'_>, id: JobId, retry_ms: u32) {
        let Some(run) = self.remove_run(cx, id) else { return };
        self.health.record_activity(cx.now);
        let wait = Duration::from_millis(retry_ms.into());
        self.paused_until = cx.now + wait.clamp(MIN_PAUSE, MAX_PAUSE);
        cx.out.push(Output::Count("shed"));
        self.retry(cx, run, Code::Shed, wait.max(RETRY_SOON));
    }

    /// Handles a request that the server refused because it lacks the grant.
    ///
    /// A request that started before the last acknowledged grant may have been refused under an
    /// older one, which is no reason to send the grant again.
    pub(super) fn handle_fenced(&mut self, cx: &mut Context<'_>, id: JobId) {
        let Some(run) = self.remove_run(cx, id) else { return };
        self.health.record_activity(cx.now);
        cx.out.push(Output::Count("fenced"));
        if run.start >= self.acknowledged_at {
            self.grants.regrant(true);
        }
        self.retry(cx, run, Code::Moved, RETRY_SOON);
    }

    /// Handles a failed connection. Without a byte sent the request is retried; otherwise its
    /// outcome is unknown and it becomes a suspect if the server crashed.
    pub(super) fn handle_failure(&mut self, cx: &mut Context<'_>, id: JobId, sent: bool) {
        let Some(run) = self.remove_run(cx, id) else { return };
        if !sent {
            return self.retry(cx, run, Code::NoOwner, RETRY_SOON);
        }
        self.fail_run(cx, &run);
        if run.aborted {
            return;
        }
        self.suspect_run(cx, &run);
    }

    /// Answers a running request whose deadline has passed, and aborts it if it is idempotent or
    /// [`ABORT_GRACE`] is over.
    pub(super) fn expire_run(&mut self, cx: &mut Context<'_>, id: JobId) {
        let Some(run) = self.runs.get_mut(&id) else { return };
        let was_answered = std::mem::replace(&mut run.answered, true);
        let abort_at = run.job.deadline + ABORT_GRACE;
        let stop = run.job.meta.idempotent || cx.now >= abort_at;
        if stop && !run.aborted {
            run.aborted = true;
            cx.out.push(Output::Abort(id));
            let (fingerprint, age) = (run.job.meta.fingerprint, cx.now.since(run.start));
            self.estimate.record_aborted(cx.now, fingerprint, age);
        }
        if !stop {
            self.run_deadlines.insert((abort_at, id));
        }
        if !was_answered {
            self.refuse(cx, id, Code::Deadline, Duration::ZERO);
        }
    }

    /// Answers a request whose outcome is unknown, and the duplicates joined to it.
    pub(super) fn fail_run(&mut self, cx: &mut Context<'_>, run: &Run) {
        if !run.answered {
            self.refuse(cx, run.job.id, Code::ServerLost, RETRY_SOON);
        }
        if run.job.meta.idempotent {
            return;
        }
        for joined in self.dedup.record_unknown(&run.job.meta, run.job.id) {
            self.refuse(cx, joined.id, Code::ServerLost, RETRY_SOON);
        }
    }

    /// Frees the slot of a request.
    pub(super) fn remove_run(&mut self, cx: &Context<'_>, id: JobId) -> Option<Run> {
        let run = self.runs.remove(&id)?;
        self.run_deadlines.remove(&(run.job.deadline, id));
        self.run_deadlines.remove(&(run.job.deadline + ABORT_GRACE, id));
        self.count_load(&run.job, run.counted, cx.now);
        Some(run)
    }

    /// Queues a request that did not run once more, or refuses it.
    fn retry(&mut self, cx: &mut Context<'_>, run: Run, code: Code, mean: Duration) {
        self.queue.correct_charge(&run.job.meta.customer, run.cost, Duration::ZERO);
        if run.answered {
            return self.promote(cx, &run.job);
        }
        let ownership = self.grants.ownership(&run.job.meta);
        let retryable = run.tries + 1 < MAX_TRIES && self.fits_deadline(cx.now, &run.job);
        if retryable && ownership != Ownership::NotOwned && !self.is_closed(cx) {
            return self.queue.push(run.job, run.tries + 1, ownership == Ownership::Pending);
        }
        self.refuse(cx, run.job.id, code, mean);
        self.reject_joined(cx, &run.job, code, mean);
    }

    /// Returns whether a request that starts after the server's pause can end in time.
    fn fits_deadline(&self, now: Tick, job: &Job) -> bool {
        now.max(self.paused_until) + self.estimate.expected_time(job.meta.fingerprint)
            <= job.deadline
    }
}
