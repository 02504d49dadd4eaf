//! How a request that has a slot ends.

use {
    super::{Context, Holder, RETRY_SOON, Run, event::Output, grants::Claim},
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
const LINGER: Duration = Duration::from_secs(10);
/// Shortest time for which a server that shed work gets none.
const PAUSE_LEAST: Duration = Duration::from_millis(20);
/// Longest time for which a server that shed work gets none.
const PAUSE_MOST: Duration = Duration::from_millis(200);

impl Holder {
    /// The server answered.
    pub(super) fn answered(&mut self, cx: &mut Context<'_>, id: JobId, answer: Option<Bytes>) {
        let Some(run) = self.end(cx, id) else { return };
        let took = cx.now.since(run.start);
        self.life.answered(cx.now);
        self.estimate.record(cx.now, run.job.meta.print, took);
        self.queue.correct(&run.job.meta.customer, run.cost, took);
        if let Some(cleared) = self.suspicion.completed(run.job.meta.print) {
            cx.out.push(Output::Log("a suspected request completed and is cleared"));
            cx.out.push(Output::Suspect(cleared));
        }
        if run.job.meta.repeatable {
            return;
        }
        for joined in self.duplicates.answered(&run.job.meta, id, answer.clone()) {
            match &answer {
                Some(answer) => cx.out.push(Output::Replay(joined.id, answer.clone())),
                None => self.refuse(cx, joined.id, Code::MaybeRan, Duration::ZERO),
            }
        }
    }

    /// The server refused the request before running it, to shed load.
    pub(super) fn shed(&mut self, cx: &mut Context<'_>, id: JobId, retry_ms: u32) {
        let Some(run) = self.end(cx, id) else { return };
        self.life.sign(cx.now);
        let wait = Duration::from_millis(retry_ms.into());
        self.pause = cx.now + wait.clamp(PAUSE_LEAST, PAUSE_MOST);
        cx.out.push(Output::Count("shed"));
        self.retry(cx, run, Code::Shed, wait.max(RETRY_SOON));
    }

    /// The server refused the request because it lacks the grant.
    pub(super) fn fenced(&mut self, cx: &mut Context<'_>, id: JobId) {
        let Some(run) = self.end(cx, id) else { return };
        self.life.sign(cx.now);
        cx.out.push(Output::Count("fenced"));
        if run.start >= self.granted {
            self.grants.regrant(true);
        }
        self.retry(cx, run, Code::Moved, RETRY_SOON);
    }

    /// The connection that carried the request failed.
    pub(super) fn failed(&mut self, cx: &mut Context<'_>, id: JobId, sent: bool) {
        let Some(run) = self.end(cx, id) else { return };
        if !sent {
            return self.retry(cx, run, Code::NoOwner, RETRY_SOON);
        }
        self.lose_run(cx, &run);
        if run.aborted {
            return;
        }
        self.doubt(cx, &run);
    }

    /// The deadline of a running request has passed.
    pub(super) fn end_late(&mut self, cx: &mut Context<'_>, id: JobId) {
        let Some(run) = self.runs.get_mut(&id) else { return };
        let told = std::mem::replace(&mut run.over, true);
        let linger = run.job.deadline + LINGER;
        let stop = run.job.meta.repeatable || cx.now >= linger;
        if stop && !run.aborted {
            run.aborted = true;
            cx.out.push(Output::Abort(id));
            let (print, age) = (run.job.meta.print, cx.now.since(run.start));
            self.estimate.record_cut(cx.now, print, age);
        }
        if !stop {
            self.ends.insert((linger, id));
        }
        if !told {
            self.refuse(cx, id, Code::Deadline, Duration::ZERO);
        }
    }

    /// Answers a request whose run is lost, and those joined to it.
    pub(super) fn lose_run(&mut self, cx: &mut Context<'_>, run: &Run) {
        if !run.over {
            self.refuse(cx, run.job.id, Code::ServerLost, RETRY_SOON);
        }
        if run.job.meta.repeatable {
            return;
        }
        for joined in self.duplicates.may_have_run(&run.job.meta, run.job.id) {
            self.refuse(cx, joined.id, Code::ServerLost, RETRY_SOON);
        }
    }

    /// Takes a request out of its slot.
    pub(super) fn end(&mut self, cx: &Context<'_>, id: JobId) -> Option<Run> {
        let run = self.runs.remove(&id)?;
        self.ends.remove(&(run.job.deadline, id));
        self.ends.remove(&(run.job.deadline + LINGER, id));
        self.count_load(&run.job, run.counted, cx.now);
        Some(run)
    }

    /// Queues a request that did not run again, or refuses it.
    fn retry(&mut self, cx: &mut Context<'_>, run: Run, code: Code, mean: Duration) {
        self.queue.correct(&run.job.meta.customer, run.cost, Duration::ZERO);
        if run.over {
            return self.promote(cx, &run.job);
        }
        let claim = self.grants.claim(&run.job.meta);
        let able = run.tries + 1 < MAX_TRIES && self.in_time(cx.now, &run.job);
        if able && claim != Claim::No && !self.is_closed(cx) {
            return self.queue.push(run.job, run.tries + 1, claim == Claim::Granting);
        }
        self.refuse(cx, run.job.id, code, mean);
        self.reject_joined(cx, &run.job, code, mean);
    }

    /// Returns whether a request that starts after the server's pause can end in time.
    fn in_time(&self, now: Tick, job: &Job) -> bool {
        now.max(self.pause) + self.estimate.expected(job.meta.print) <= job.deadline
    }
}
