//! The holder of one backend server: slots, queue, grants, deduplication and crash tracking.
//!
//! Exactly one node holds a server at a time, and its [`Holder`] alone decides what runs there. It
//! is a state machine without I/O: inputs and the time go in, outputs come out, and the daemon
//! carries the outputs out in order.
//!
//! The daemon reports the end of each [`Output::Start`] exactly once, also after an
//! [`Output::Abort`]: by [`Input::Answered`], [`Input::Shed`], [`Input::Fenced`] or
//! [`Input::Failed`]. The request occupies its slot until then. An [`Output::Refuse`] or
//! [`Output::Replay`] is the final answer to a request: a later end of its run only frees the slot
//! and is recorded for duplicates.

mod admission;
mod completion;
mod dedup;
mod estimate;
mod event;
mod grants;
mod health;
mod load;
mod loss;
mod queue;
mod release;
mod start;
mod suspicion;

pub use {
    event::{DedupEntry, DedupState, Input, Output, RequestId, Unit, Update},
    queue::{Policy, Queue},
};

use {
    self::{
        dedup::DedupTable, estimate::Estimate, grants::Grants, health::Health, load::Load,
        suspicion::Suspicion,
    },
    crate::{
        code::Code,
        model::Server,
        name::{Name, ServerId},
        request::{Job, JobId, Refusal},
        time::{Tick, Wall},
    },
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::Duration,
    },
};

/// Mean retry delay given to callers that were refused for a transient reason.
const RETRY_SOON: Duration = Duration::from_millis(100);

/// State of one held server.
#[derive(Debug)]
pub struct Holder {
    service: Name,
    id: ServerId,
    server: Server,
    term: u64,
    /// Initial records, kept until the first input supplies the calendar time.
    initial: Option<Box<Update>>,
    lease: Tick,
    handover: bool,
    handover_since: Tick,
    released: bool,
    outranked: bool,
    health: Health,
    grants: Grants,
    queue: Queue,
    runs: BTreeMap<JobId, Run>,
    run_deadlines: BTreeSet<(Tick, JobId)>,
    /// The suspect that waits for all slots to become free, with the start of its wait.
    next_suspect: Option<(JobId, Tick)>,
    dedup: DedupTable,
    suspicion: Suspicion,
    estimate: Estimate,
    load: Load,
    /// Deduplication state of units that this server does not own yet, with its arrival time.
    staged: VecDeque<(Tick, DedupState)>,
    /// No request starts before this point, because the server shed one.
    paused_until: Tick,
    /// When the server last acknowledged a grant.
    acknowledged_at: Tick,
    reported_at: Tick,
    rng: ChaCha8Rng,
}

/// A request that occupies a slot.
#[derive(Debug)]
struct Run {
    job: Job,
    start: Tick,
    tries: u32,
    /// Slot time charged to its customer at the start.
    cost: Duration,
    /// Whether it was started to run alone, as a suspect.
    alone: bool,
    /// Whether it has had its final answer.
    answered: bool,
    /// Whether the daemon was instructed to stop it.
    aborted: bool,
    /// Point up to which its slot time is included in load reports.
    counted: Tick,
}

/// Time and outputs of one call of [`Holder::handle`].
struct Context<'a> {
    now: Tick,
    wall: Wall,
    out: &'a mut Vec<Output>,
}

impl Holder {
    /// Creates the holder of a server. No request starts before [`Input::Lease`] and the
    /// acknowledgement of the first grant.
    pub fn new(now: Tick, service: Name, id: ServerId, update: Update, seed: u64) -> Self {
        Self::with_policy(now, service, id, update, seed, Policy::default())
    }

    /// As [`Holder::new`], with a queueing policy other than the default.
    pub fn with_policy(
        now: Tick,
        service: Name,
        id: ServerId,
        update: Update,
        seed: u64,
        policy: Policy,
    ) -> Self {
        Self {
            service,
            id,
            server: update.server.clone(),
            term: update.term,
            initial: Some(Box::new(update)),
            lease: Tick::default(),
            handover: false,
            handover_since: now,
            released: false,
            outranked: false,
            health: Health::new(now),
            grants: Grants::default(),
            queue: Queue::new(policy),
            runs: BTreeMap::new(),
            run_deadlines: BTreeSet::new(),
            next_suspect: None,
            dedup: DedupTable::default(),
            suspicion: Suspicion::default(),
            estimate: Estimate::default(),
            load: Load::new(now),
            staged: VecDeque::new(),
            paused_until: Tick::default(),
            acknowledged_at: Tick::default(),
            reported_at: Tick::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Processes an input and appends what the daemon has to do, in order.
    pub fn handle(&mut self, now: Tick, wall: Wall, input: Input, out: &mut Vec<Output>) {
        let cx = &mut Context { now, wall, out };
        if let Some(update) = self.initial.take() {
            self.update(cx, *update);
        }
        self.health.record_input(now);
        let tick = matches!(input, Input::Tick);
        self.dispatch(cx, input);
        self.reconcile(cx, tick);
    }

    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of requests that occupy a slot.
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// Returns the share of the server's slots in use, in thousandths.
    pub fn utilization(&self) -> u32 {
        (self.runs.len() as u32 * 1_000) / self.server.slots.max(1)
    }

    /// Returns the measured mean service time.
    pub fn service_time(&self) -> Duration {
        self.estimate.mean()
    }

    /// Returns whether the server answers.
    pub fn is_up(&self) -> bool {
        self.health.is_up()
    }

    /// Returns whether the holder has released the server. It may be closed once the records name
    /// another holder.
    pub fn is_released(&self) -> bool {
        self.released
    }

    /// Gives the server up without a release: refuses the queued requests and fails the running
    /// ones.
    pub fn close(mut self, now: Tick, wall: Wall, out: &mut Vec<Output>) {
        let cx = &mut Context { now, wall, out };
        self.reject_queue(cx, Code::Moved);
        self.abort_runs(cx);
    }

    fn dispatch(&mut self, cx: &mut Context<'_>, input: Input) {
        match input {
            Input::Arrive(job) => self.handle_arrival(cx, job),
            Input::Cancel(job) => self.cancel(cx, job),
            Input::Head(_) => self.health.record_activity(cx.now),
            Input::Answered { job, answer } => self.handle_answer(cx, job, answer),
            Input::Shed { job, retry_ms } => self.handle_shed(cx, job, retry_ms),
            Input::Fenced(job) => self.handle_fenced(cx, job),
            Input::Failed { job, sent } => self.handle_failure(cx, job, sent),
            Input::Outranked => self.handle_outranked(cx),
            Input::Up { grant, boot, term, leaving, cold } => {
                self.handle_up(cx, boot, leaving, cold);
                self.acknowledge(cx, grant, term);
            }
            Input::Down { refused } => self.handle_down(cx, refused),
            Input::Update(update) => self.update(cx, *update),
            Input::Lease(until) => self.lease = until,
            Input::DedupState(states) => self.stage(cx, states),
            Input::Tick => {}
        }
    }

    /// Applies the consequences of the input and of the time that has passed.
    fn reconcile(&mut self, cx: &mut Context<'_>, tick: bool) {
        self.check_health(cx);
        self.check_queue(cx);
        self.expire(cx);
        self.release(cx);
        self.send_grant(cx);
        self.start(cx);
        if tick {
            self.maintain(cx);
        }
    }

    /// Does the periodic work that only ticks trigger.
    fn maintain(&mut self, cx: &mut Context<'_>) {
        if self.health.probe_due(cx.now, self.suspicion.has_unresolved()) {
            cx.out.push(Output::Probe);
        }
        self.queue.prune();
        self.dedup.evict(cx.now);
        self.suspicion.expire(cx.wall);
        self.repeat_reports(cx);
        self.report_load(cx);
    }

    fn is_keyed(&self) -> bool {
        self.grants.is_keyed()
    }

    /// Refuses a request, with a retry delay randomized by 50 % around `mean`.
    fn refuse(&mut self, cx: &mut Context<'_>, job: JobId, code: Code, mean: Duration) {
        let mean = mean.as_millis() as u32;
        let retry_ms = if mean == 0 { 0 } else { self.rng.random_range(mean / 2..=mean * 3 / 2) };
        cx.out.push(Output::Refuse(job, Refusal { code, retry_ms: retry_ms.max(mean.min(1)) }));
    }
}
