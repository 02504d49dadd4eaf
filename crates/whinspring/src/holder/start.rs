//! Selection and start of queued requests.

use {
    super::{
        Context, Holder, RETRY_SOON, Run, event::Output, grants::Ownership, suspicion::Treatment,
    },
    crate::{
        code::Code,
        request::{Job, JobId},
    },
    std::time::Duration,
};

/// Time after which a suspect that runs alone no longer blocks other requests.
const MAX_ALONE: Duration = Duration::from_secs(2);
/// Time for which slots are kept free for a suspect that has to run alone.
const MAX_ALONE_WAIT: Duration = Duration::from_secs(1);

impl Holder {
    /// Starts requests while there are free slots.
    pub(super) fn start(&mut self, cx: &mut Context<'_>) {
        if !self.may_start(cx) {
            return;
        }
        while self.runs.len() < self.health.slots(self.server.slots) {
            let Some((id, alone)) = self.pick(cx) else { return };
            if !self.start_one(cx, id, alone) {
                continue;
            }
            if alone {
                return;
            }
        }
    }

    /// Gives a turn to requests whose grant has been acknowledged.
    pub(super) fn unpark(&mut self) {
        let grants = &self.grants;
        self.queue.unpark(|job| grants.ownership(&job.meta) != Ownership::Pending);
    }

    fn may_start(&self, cx: &Context<'_>) -> bool {
        let leased = cx.now < self.lease && !self.outranked;
        let alone = self.runs.values().any(|run| run.alone && cx.now < run.start + MAX_ALONE);
        let up = self.health.is_up() && self.suspicion.server_answered();
        let open = up && !self.is_closed(cx);
        leased && open && !alone && cx.now >= self.paused_until
    }

    /// Returns the next request and whether it has to run alone.
    fn pick(&mut self, cx: &mut Context<'_>) -> Option<(JobId, bool)> {
        if let Some(choice) = self.pick_suspect(cx) {
            return choice;
        }
        let reserve = self.runs.len() + 1 >= self.server.slots as usize && self.needs_reserve(cx);
        let unresolved = self.suspicion.has_unresolved();
        let suspect =
            |fingerprint| self.suspicion.treatment(cx.wall, fingerprint) == Treatment::Isolate;
        let id = self.queue.next(|job| {
            let fingerprint = job.meta.fingerprint;
            let kept = reserve && self.estimate.is_long(fingerprint);
            let isolated = unresolved && suspect(fingerprint);
            !kept && !isolated
        })?;
        let fingerprint = self.queue.get(id)?.job.meta.fingerprint;
        if !suspect(fingerprint) {
            return Some((id, false));
        }
        if self.runs.is_empty() {
            return Some((id, true));
        }
        self.next_suspect = Some((id, cx.now));
        None
    }

    /// Returns the decision that a suspect waiting for an empty server forces, if there is one.
    fn pick_suspect(&mut self, cx: &mut Context<'_>) -> Option<Option<(JobId, bool)>> {
        let (id, since) = self.next_suspect?;
        if self.queue.get(id).is_none() {
            self.next_suspect = None;
            return None;
        }
        if self.runs.is_empty() {
            self.next_suspect = None;
            return Some(Some((id, true)));
        }
        if cx.now < since + MAX_ALONE_WAIT {
            return Some(None);
        }
        self.next_suspect = None;
        self.reject(cx, id, Code::Overloaded, MAX_ALONE_WAIT);
        None
    }

    /// Returns whether long requests occupy all slots but the last one, which a server with several
    /// slots reserves for short requests.
    fn needs_reserve(&self, cx: &Context<'_>) -> bool {
        let age = self.estimate.long_age();
        let long = self.runs.values().filter(|run| {
            self.estimate.is_long(run.job.meta.fingerprint) || cx.now.since(run.start) >= age
        });
        let last = long.count() + 1 >= self.server.slots as usize;
        last && self.server.slots > 1 && self.estimate.has_short(cx.now)
    }

    /// Starts a request; returns whether it got a slot.
    fn start_one(&mut self, cx: &mut Context<'_>, id: JobId, alone: bool) -> bool {
        let Some(waiting) = self.queue.get(id) else { return false };
        let epoch = match self.grants.ownership(&waiting.job.meta) {
            Ownership::Ready(epoch) => epoch,
            Ownership::Pending => {
                self.queue.park(id);
                return false;
            }
            Ownership::NotOwned => {
                self.reject(cx, id, Code::Moved, RETRY_SOON);
                return false;
            }
        };
        if self.suspicion.treatment(cx.wall, waiting.job.meta.fingerprint) == Treatment::Reject {
            self.reject(cx, id, Code::Crashing, Duration::ZERO);
            return false;
        }
        let cost = self.estimate.expected_time(waiting.job.meta.fingerprint);
        let Some(waiting) = self.queue.start(cx.now, id, cost) else { return false };
        self.begin_run(cx, waiting.job, waiting.tries, cost, alone, epoch);
        true
    }

    fn begin_run(
        &mut self,
        cx: &mut Context<'_>,
        job: Job,
        tries: u32,
        cost: Duration,
        alone: bool,
        epoch: u64,
    ) {
        let until = self.lease.min(job.deadline);
        cx.out.push(Output::Start { job: job.id, term: self.term, epoch, until });
        self.run_deadlines.insert((job.deadline, job.id));
        let run = Run {
            start: cx.now,
            tries,
            cost,
            alone,
            answered: false,
            aborted: false,
            counted: cx.now,
            job,
        };
        self.runs.insert(run.job.id, run);
    }
}
