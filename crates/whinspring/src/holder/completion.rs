//! How a request that has a slot ends.

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

/// Starts of a request that may end before it runs.
const MAX_TRIES: u32 = 3;
/// Time for which a run is awaited after its caller has been told that it may have run.
const ABORT_GRACE: Duration = Duration::from_secs(10);
/// Shortest time for which a server that shed work gets none.
const MIN_PAUSE: Duration = Duration::from_millis(20);
/// Longest time for which a server that shed work gets none.
const MAX_PAUSE: Duration = Duration::from_millis(200);

impl Holder {
    /// The server answered.
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

    /// The server refused the request before running it, to shed load.
    pub(super) fn handle_shed(&mut self, cx: &mut Context<'_>, id: JobId, retry_ms: u32) {
        let Some(run) = self.remove_run(cx, id) else { return };
        self.health.record_activity(cx.now);
        let wait = Duration::from_millis(retry_ms.into());
        self.paused_until = cx.now + wait.clamp(MIN_PAUSE, MAX_PAUSE);
        cx.out.push(Output::Count("shed"));
        self.retry(cx, run, Code::Shed, wait.max(RETRY_SOON));
    }

    /// The server refused the request because it lacks the grant.
    pub(super) fn handle_fenced(&mut self, cx: &mut Context<'_>, id: JobId) {
        let Some(run) = self.remove_run(cx, id) else { return };
        self.health.record_activity(cx.now);
        cx.out.push(Output::Count("fenced"));
        if run.start >= self.acknowledged_at {
            self.grants.regrant(true);
        }
        self.retry(cx, run, Code::Moved, RETRY_SOON);
    }

    /// The connection that carried the request failed.
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

    /// The deadline of a running request has passed.
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

    /// Answers a request whose run is lost, and those joined to it.
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

    /// Takes a request out of its slot.
    pub(super) fn remove_run(&mut self, cx: &Context<'_>, id: JobId) -> Option<Run> {
        let run = self.runs.remove(&id)?;
        self.run_deadlines.remove(&(run.job.deadline, id));
        self.run_deadlines.remove(&(run.job.deadline + ABORT_GRACE, id));
        self.count_load(&run.job, run.counted, cx.now);
        Some(run)
    }

    /// Queues a request that did not run again, or refuses it.
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
