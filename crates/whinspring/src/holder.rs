//! The holder of one backend server: slots, queue, grants, duplicates and suspicion.
//!
//! Exactly one node holds a server at a time. Its [`Holder`] alone decides what runs there.
//! Inputs and the time go in, outputs come out; the daemon carries the outputs out in order.
//!
//! The daemon reports the end of each [`Output::Start`] exactly once, also after an
//! [`Output::Abort`]: by [`Input::Answered`], [`Input::Shed`], [`Input::Fenced`] or
//! [`Input::Failed`]. Until then the request has its slot. A request that has got an
//! [`Output::Refuse`] or [`Output::Replay`] has had its final answer: what follows for it only
//! frees the slot or is remembered.

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

/// Mean time after which a caller refused for a passing reason is told to come back.
const RETRY_SOON: Duration = Duration::from_millis(100);

/// The decisions for one held server.
#[derive(Debug)]
pub struct Holder {
    service: Name,
    id: ServerId,
    server: Server,
    term: u64,
    /// What the records said at the start, until the first input brings the calendar time.
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
    /// Deadlines of requests that run.
    run_deadlines: BTreeSet<(Tick, JobId)>,
    /// The suspect that is to run next, with the time since when.
    next_suspect: Option<(JobId, Tick)>,
    dedup: DedupTable,
    suspicion: Suspicion,
    estimate: Estimate,
    load: Load,
    /// Memory of units that this server does not own yet, with the time of its arrival.
    staged: VecDeque<(Tick, DedupState)>,
    /// Point before which the server gets no work because it shed some.
    paused_until: Tick,
    /// When the server last acknowledged a grant.
    acknowledged_at: Tick,
    reported_at: Tick,
    rng: ChaCha8Rng,
}

/// A request that has a slot.
#[derive(Debug)]
struct Run {
    job: Job,
    start: Tick,
    tries: u32,
    /// What its customer was charged.
    cost: Duration,
    /// Whether it was started to run alone.
    alone: bool,
    /// Whether it has had its final answer.
    answered: bool,
    /// Whether the daemon was told to stop it.
    aborted: bool,
    /// Point up to which its slot time is in the load report.
    counted: Tick,
}

/// Time and outputs of one step.
struct Context<'a> {
    now: Tick,
    wall: Wall,
    out: &'a mut Vec<Output>,
}

impl Holder {
    /// Starts to hold a server; nothing starts there before [`Input::Lease`] and the answer to
    /// the first grant.
    pub fn new(now: Tick, service: Name, id: ServerId, update: Update, seed: u64) -> Self {
        Self::with_policy(now, service, id, update, seed, Policy::default())
    }

    /// As [`Holder::new`], with an order of the queue other than the usual one.
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

    /// Takes in what happened and adds what the daemon has to do, in order.
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

    /// Returns the number of requests that wait.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of requests that have a slot.
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// Returns the share of the server's slots in use, in thousandths.
    pub fn utilization(&self) -> u32 {
        (self.runs.len() as u32 * 1_000) / self.server.slots.max(1)
    }

    /// Returns the mean service time as measured.
    pub fn service_time(&self) -> Duration {
        self.estimate.mean()
    }

    /// Returns whether the server answers.
    pub fn is_up(&self) -> bool {
        self.health.is_up()
    }

    /// Returns whether the holder has released the server and may be closed once the records
    /// name another.
    pub fn is_released(&self) -> bool {
        self.released
    }

    /// Gives the server up without a release: everything that waits or runs gets its answer.
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

    /// Brings everything into line with the present time and state.
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

    /// Does what is needed now and then only.
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

    /// Returns whether the service divides its requests by key.
    fn is_keyed(&self) -> bool {
        self.grants.is_keyed()
    }

    /// Answers a request with a result and a time to come back spread around `mean`.
    fn refuse(&mut self, cx: &mut Context<'_>, job: JobId, code: Code, mean: Duration) {
        let mean = mean.as_millis() as u32;
        let retry_ms = if mean == 0 { 0 } else { self.rng.random_range(mean / 2..=mean * 3 / 2) };
        cx.out.push(Output::Refuse(job, Refusal { code, retry_ms: retry_ms.max(mean.min(1)) }));
    }
}
