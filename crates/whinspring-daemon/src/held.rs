//! The held servers: each runs one [`Holder`] and carries out what it decides.
//!
//! The holder's lock is taken for the length of one decision; its outputs are carried out in
//! order under the lock, and none of them blocks.

use {
    crate::{
        backend::Backend,
        exchange::{Call, Flow, Reply},
        journal::{EventKind, Hop},
        shared::Shared,
    },
    log::info,
    parking_lot::{Mutex, MutexGuard},
    std::{
        collections::HashMap,
        sync::{
            Arc,
            atomic::{AtomicU32, AtomicU64, Ordering},
        },
    },
    tokio::sync::mpsc,
    tokio_util::sync::CancellationToken,
    whinspring::{
        code::Code,
        holder::{Holder, Input, Output, Update},
        name::{Name, ServerId},
        request::{Job, JobId, Refusal},
    },
    whinspring_wire::link::{Head, Reason},
};

pub use whinspring::view::Held as Assignment;

mod answer;
mod probe;
mod run;

/// A server that this node holds.
pub struct HeldServer {
    /// Service of the server.
    service: Name,
    /// The server.
    server: ServerId,
    /// Tables of the process.
    shared: Arc<Shared>,
    /// Connections to the server.
    backend: Backend,
    /// Number of the last request.
    next_job: AtomicU64,
    /// Term under which this node holds the server.
    term: AtomicU64,
    /// Requests that run.
    running: AtomicU32,
    /// Requests that wait.
    queued: AtomicU32,
    /// Probes and grants without an answer yet.
    probes: AtomicU32,
    /// The decisions and the requests that they are about.
    state: Mutex<State>,
}

/// What a decision reads and changes.
struct State {
    /// Decides; `None` once the server is given up.
    holder: Option<Holder>,
    /// Requests without a final answer, or still on the server.
    jobs: HashMap<JobId, JobState>,
    /// Outputs of one decision; kept to reuse its memory.
    outputs: Vec<Output>,
    /// Requests that were to start but are not there any more.
    orphaned: Vec<JobId>,
}

/// A request at the holder.
enum JobState {
    /// It waits for a slot, or for the run of an earlier sending.
    Waiting(Box<Call>),
    /// It runs.
    Running {
        /// Takes the final answer if it is not the server's.
        refuse: mpsc::UnboundedSender<Refusal>,
        /// Stops it on the server.
        stop: CancellationToken,
    },
    /// Its run failed, and the holder is deciding on its final answer.
    Ended(Reply),
}

/// What is left of a request when its run has ended.
enum Remainder {
    /// Nothing: it has had its final answer.
    Nothing,
    /// All of it: it may start again.
    Call(Box<Call>),
    /// The way back to its entry.
    Reply(Reply),
}

/// Leave to send a request to the server.
#[derive(Debug, Clone, Copy)]
struct Permit {
    /// The request.
    job: JobId,
    /// Fencing term to send.
    term: u64,
    /// Epoch to send.
    epoch: u64,
    /// Point after which no first byte may be written.
    until: whinspring::time::Tick,
}

impl HeldServer {
    /// Starts to hold a server.
    pub fn start(
        shared: Arc<Shared>,
        service: Name,
        server: ServerId,
        update: Update,
    ) -> Arc<Self> {
        let term = AtomicU64::new(update.term);
        let backend = Backend::new(update.server.addr, shared.clock);
        let now = shared.clock.now();
        let holder = Holder::new(now, service.clone(), server, update, rand::random());
        info!(service = service.as_str(), server = server.0; "holding a server");
        let state = State {
            holder: Some(holder),
            jobs: HashMap::new(),
            outputs: Vec::new(),
            orphaned: Vec::new(),
        };
        let lease = shared.lease_until();
        let held = Arc::new(Self {
            service,
            server,
            shared,
            backend,
            next_job: AtomicU64::new(0),
            term,
            running: AtomicU32::new(0),
            queued: AtomicU32::new(0),
            probes: AtomicU32::new(0),
            state: Mutex::new(state),
        });
        held.feed(Input::Lease(lease));
        held
    }

    /// Returns the service of the server.
    pub fn service(&self) -> &Name {
        &self.service
    }

    /// Returns the server.
    pub fn server(&self) -> ServerId {
        self.server
    }

    /// Returns whether the server is held under `term`.
    pub fn has_term(&self, term: u64) -> bool {
        self.term.load(Ordering::Acquire) == term
    }

    /// Returns the term under which the server is held.
    pub fn term(&self) -> u64 {
        self.term.load(Ordering::Acquire)
    }

    /// Returns whether the server answers, as far as this node sees.
    pub fn is_up(&self) -> bool {
        self.state.lock().holder.as_ref().is_some_and(Holder::is_up)
    }

    /// Returns how many requests run and how many wait.
    pub fn load(&self) -> (u32, u32) {
        (self.running.load(Ordering::Relaxed), self.queued.load(Ordering::Relaxed))
    }

    /// Takes a request.
    pub fn submit(self: &Arc<Self>, call: Call) {
        let id = JobId(self.next_job.fetch_add(1, Ordering::Relaxed));
        let meta = call.open.meta.clone();
        let job = Job { id, meta, deadline: call.deadline };
        let flow = call.reply.flow();
        self.log_event(&call, EventKind::Queued(self.server));
        let mut state = self.state.lock();
        self.shared.metrics.jobs.inc();
        state.jobs.insert(id, JobState::Waiting(Box::new(call)));
        self.step(&mut state, Input::Arrive(job));
        self.cancel_on_disconnect(state, id, flow);
    }

    /// Tells the holder what happened, and carries out what it decides.
    pub fn feed(self: &Arc<Self>, input: Input) {
        self.step(&mut self.state.lock(), input);
    }

    /// Gives the server up.
    pub fn close(self: &Arc<Self>) {
        let mut state = self.state.lock();
        let Some(holder) = state.holder.take() else { return };
        let mut outputs = std::mem::take(&mut state.outputs);
        holder.close(self.shared.clock.now(), self.shared.clock.wall(), &mut outputs);
        self.execute(&mut state, &mut outputs);
        for (_, job) in state.jobs.drain() {
            self.shared.metrics.jobs.dec();
            if let JobState::Waiting(call) = job {
                let refusal = Refusal { code: Code::Moved, retry_ms: 0 };
                call.reply.refuse(Reason::Refused(refusal));
            }
        }
        info!(service = self.service.as_str(), server = self.server.0; "gave a server up");
    }

    /// Takes note that a run has ended.
    fn finish(self: &Arc<Self>, id: JobId, left: Remainder, input: Input) {
        let mut state = self.state.lock();
        if state.jobs.remove(&id).is_none() {
            return;
        }
        match left {
            Remainder::Nothing => {
                self.shared.metrics.jobs.dec();
                self.step(&mut state, input);
            }
            Remainder::Call(call) => {
                let flow = call.reply.flow();
                state.jobs.insert(id, JobState::Waiting(call));
                self.step(&mut state, input);
                self.cancel_on_disconnect(state, id, flow);
            }
            Remainder::Reply(reply) => {
                state.jobs.insert(id, JobState::Ended(reply));
                self.step(&mut state, input);
                state.jobs.remove(&id);
                self.shared.metrics.jobs.dec();
            }
        }
    }

    /// Cancels a request that still waits when its entry goes away.
    fn cancel_on_disconnect(
        self: &Arc<Self>,
        state: MutexGuard<'_, State>,
        id: JobId,
        flow: Arc<Flow>,
    ) {
        let waits = matches!(state.jobs.get(&id), Some(JobState::Waiting(_)));
        drop(state);
        if !waits {
            return;
        }
        let held = self.clone();
        self.shared.runtime.spawn(async move {
            flow.gone().await;
            held.cancel(id);
        });
    }

    /// Forgets a request whose entry has gone, unless it runs.
    fn cancel(self: &Arc<Self>, id: JobId) {
        let mut state = self.state.lock();
        if matches!(state.jobs.get(&id), Some(JobState::Waiting(_))) {
            self.take_waiting(&mut state, id);
            self.step(&mut state, Input::Cancel(id));
        }
    }

    /// Makes one decision, and those that follow from it at once.
    fn step(self: &Arc<Self>, state: &mut State, input: Input) {
        self.decide(state, input);
        while let Some(job) = state.orphaned.pop() {
            self.decide(state, Input::Failed { job, sent: false });
        }
    }

    /// Makes one decision.
    fn decide(self: &Arc<Self>, state: &mut State, input: Input) {
        let Some(holder) = &mut state.holder else { return };
        if let Input::Update(update) = &input {
            self.term.store(update.term, Ordering::Release);
            self.backend.set_addr(update.server.addr);
        }
        let mut outputs = std::mem::take(&mut state.outputs);
        holder.handle(self.shared.clock.now(), self.shared.clock.wall(), input, &mut outputs);
        self.running.store(holder.running() as u32, Ordering::Relaxed);
        self.queued.store(holder.queued() as u32, Ordering::Relaxed);
        self.execute(state, &mut outputs);
        state.outputs = outputs;
    }

    /// Carries out what the holder decided, in order.
    fn execute(self: &Arc<Self>, state: &mut State, outputs: &mut Vec<Output>) {
        for output in outputs.drain(..) {
            match output {
                Output::Start { job, term, epoch, until } => {
                    self.dispatch(state, Permit { job, term, epoch, until });
                }
                Output::Refuse(job, refusal) => self.refuse(state, job, refusal),
                Output::Replay(job, record) => self.replay(state, job, &record),
                Output::Abort(job) => {
                    if let Some(JobState::Running { stop, .. }) = state.jobs.get(&job) {
                        stop.cancel();
                    }
                }
                Output::Grant { number, term, slices, keys } => {
                    let held = self.clone();
                    let grant = probe::Grant { number, term, slices, keys };
                    self.shared.runtime.spawn(async move { held.grant(grant).await });
                }
                Output::Probe => {
                    let held = self.clone();
                    self.shared.runtime.spawn(async move { held.probe().await });
                }
                Output::Report(message) => {
                    let _ = self.shared.reports.messages.send(message);
                }
                Output::Suspect(suspect) => {
                    let _ = self.shared.reports.suspects.send(suspect);
                }
                Output::HandOver(memories) => {
                    self.shared.hand_over(&self.service, self.server, memories);
                }
                Output::Count(event) => self.shared.metrics.count(event),
                Output::Log(line) => {
                    info!(service = self.service.as_str(), server = self.server.0; "{line}");
                }
            }
        }
    }

    /// Sends a request to the server in the background.
    fn dispatch(self: &Arc<Self>, state: &mut State, permit: Permit) {
        let Some(call) = self.take_waiting(state, permit.job) else {
            state.orphaned.push(permit.job);
            return;
        };
        let Permit { term, epoch, .. } = permit;
        self.log_event(&call, EventKind::Started { server: self.server, term, epoch });
        self.shared.metrics.jobs.inc();
        let (refuse, refused) = mpsc::unbounded_channel();
        let stop = CancellationToken::new();
        let running = JobState::Running { refuse, stop: stop.clone() };
        state.jobs.insert(permit.job, running);
        let run = run::Run::new(self.clone(), permit, *call, refused, stop);
        self.shared.runtime.spawn(run.run());
    }

    /// Answers a request with a result of whinspring's own.
    fn refuse(&self, state: &mut State, job: JobId, refusal: Refusal) {
        match state.jobs.remove(&job) {
            Some(JobState::Running { refuse, stop }) => {
                let _ = refuse.send(refusal);
                state.jobs.insert(job, JobState::Running { refuse, stop });
            }
            Some(JobState::Waiting(call)) => {
                self.shared.metrics.jobs.dec();
                self.log_event(&call, EventKind::Refused(refusal.code));
                call.reply.refuse(Reason::Refused(refusal));
            }
            Some(JobState::Ended(reply)) => reply.refuse(Reason::Refused(refusal)),
            None => {}
        }
    }

    /// Answers a request with a recorded answer.
    fn replay(&self, state: &mut State, job: JobId, record: &[u8]) {
        let Some(mut call) = self.take_waiting(state, job) else { return };
        match answer::decode_answer(record) {
            Some(head) => {
                self.log_event(&call, EventKind::Replayed);
                let (running, queued) = self.load();
                call.reply.head(Head { running, queued, ..head });
            }
            None => {
                let refusal = Refusal { code: Code::MaybeRan, retry_ms: 0 };
                call.reply.refuse(Reason::Refused(refusal));
            }
        }
    }

    /// Notes what happened to a request.
    fn log_event(&self, call: &Call, kind: EventKind) {
        self.shared.journal.add(&call.open.meta.id, Hop::Holder, kind);
    }

    /// Takes a waiting request out of the table.
    fn take_waiting(&self, state: &mut State, job: JobId) -> Option<Box<Call>> {
        match state.jobs.remove(&job)? {
            JobState::Waiting(call) => {
                self.shared.metrics.jobs.dec();
                Some(call)
            }
            other => {
                state.jobs.insert(job, other);
                None
            }
        }
    }
}
