//! Which request gets a slot, and when.

use {
    super::{Context, Holder, RETRY_SOON, Run, event::Output, grants::Claim, suspicion::Trust},
    crate::{
        code::Code,
        request::{Job, JobId},
    },
    std::time::Duration,
};

/// Time after which a suspect that runs alone lets others run beside it.
const ALONE_MOST: Duration = Duration::from_secs(2);
/// Time that slots are kept free for a suspect that is to run alone.
const ALONE_WAIT: Duration = Duration::from_secs(1);

impl Holder {
    /// Starts requests while there are slots.
    pub(super) fn start(&mut self, cx: &mut Context<'_>) {
        if !self.may_start(cx) {
            return;
        }
        while self.runs.len() < self.life.slots(self.server.slots) {
            let Some((id, alone)) = self.pick(cx) else { return };
            if !self.start_one(cx, id, alone) {
                continue;
            }
            if alone {
                return;
            }
        }
    }

    /// Gives a turn to requests whose grant came into force.
    pub(super) fn unpark(&mut self) {
        let grants = &self.grants;
        self.queue.unpark(|job| grants.claim(&job.meta) != Claim::Granting);
    }

    fn may_start(&self, cx: &Context<'_>) -> bool {
        let leased = cx.now < self.lease && !self.outranked;
        let alone = self.runs.values().any(|run| run.alone && cx.now < run.start + ALONE_MOST);
        let up = self.life.is_up() && self.suspicion.is_settled();
        let open = up && !self.is_closed(cx);
        leased && open && !alone && cx.now >= self.pause
    }

    /// Returns the next request and whether it has to run alone.
    fn pick(&mut self, cx: &mut Context<'_>) -> Option<(JobId, bool)> {
        if let Some(lone) = self.pick_lone(cx) {
            return lone;
        }
        let reserve = self.runs.len() + 1 >= self.server.slots as usize && self.has_long(cx);
        let doubt = self.suspicion.in_doubt();
        let suspect = |print| self.suspicion.trust(cx.wall, print) == Trust::Suspected;
        let id = self.queue.next(|job| {
            let print = job.meta.print;
            let kept = reserve && self.estimate.is_long(print);
            let unsettled = doubt && suspect(print);
            !kept && !unsettled
        })?;
        let print = self.queue.get(id)?.job.meta.print;
        if !suspect(print) {
            return Some((id, false));
        }
        if self.runs.is_empty() {
            return Some((id, true));
        }
        self.lone = Some((id, cx.now));
        None
    }

    /// Returns the choice that a waiting suspect forces, if there is one.
    fn pick_lone(&mut self, cx: &mut Context<'_>) -> Option<Option<(JobId, bool)>> {
        let (id, since) = self.lone?;
        if self.queue.get(id).is_none() {
            self.lone = None;
            return None;
        }
        if self.runs.is_empty() {
            self.lone = None;
            return Some(Some((id, true)));
        }
        if cx.now < since + ALONE_WAIT {
            return Some(None);
        }
        self.lone = None;
        self.reject(cx, id, Code::Overloaded, ALONE_WAIT);
        None
    }

    /// Returns whether a long request occupies all slots but the last one that a server of
    /// several slots keeps for short requests.
    fn has_long(&self, cx: &Context<'_>) -> bool {
        let age = self.estimate.long_age();
        let long = self.runs.values().filter(|run| {
            self.estimate.is_long(run.job.meta.print) || cx.now.since(run.start) >= age
        });
        let last = long.count() + 1 >= self.server.slots as usize;
        last && self.server.slots > 1 && self.estimate.has_short(cx.now)
    }

    /// Starts a request; returns whether it got a slot.
    fn start_one(&mut self, cx: &mut Context<'_>, id: JobId, alone: bool) -> bool {
        let Some(waiting) = self.queue.get(id) else { return false };
        let epoch = match self.grants.claim(&waiting.job.meta) {
            Claim::Ready(epoch) => epoch,
            Claim::Granting => {
                self.queue.park(id);
                return false;
            }
            Claim::No => {
                self.reject(cx, id, Code::Moved, RETRY_SOON);
                return false;
            }
        };
        if self.suspicion.trust(cx.wall, waiting.job.meta.print) == Trust::Convicted {
            self.reject(cx, id, Code::Crashing, Duration::ZERO);
            return false;
        }
        let cost = self.estimate.expected(waiting.job.meta.print);
        let Some(waiting) = self.queue.start(cx.now, id, cost) else { return false };
        self.run(cx, waiting.job, waiting.tries, cost, alone, epoch);
        true
    }

    fn run(
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
        self.ends.insert((job.deadline, job.id));
        let run = Run {
            start: cx.now,
            tries,
            cost,
            alone,
            over: false,
            aborted: false,
            counted: cx.now,
            job,
        };
        self.runs.insert(run.job.id, run);
    }
}
