//! Servers held by this node: each drives one [`Holder`] state machine and executes its outputs.
//!
//! Exactly one node holds a server at a time and forwards all requests to it.
//!
//! The lock is held while one input is handled and its outputs are executed in order; none of
//! them blocks.

use {
    crate::{
        backend::Backend,
        exchange::{Call, FlowWindow, ResponseSender},
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
    service: Name,
    server: ServerId,
    /// Process-wide state.
    shared: Arc<Shared>,
    backend: Backend,
    /// Id of the next request.
    next_job: AtomicU64,
    /// Term under which this node holds the server.
    term: AtomicU64,
    /// Requests running on the server.
    running: AtomicU32,
    /// Requests queued at the holder.
    queued: AtomicU32,
    /// Probes and grants in flight.
    probes: AtomicU32,
    /// State machine and its requests.
    state: Mutex<State>,
}

/// State changed by each input, guarded by one lock.
struct State {
    /// State machine; `None` once the server is released.
    holder: Option<Holder>,
    /// Requests that have no final response or are still running on the server.
    jobs: HashMap<JobId, JobState>,
    /// Output buffer, kept to reuse its allocation.
    outputs: Vec<Output>,
    /// Requests that the holder started after they had left `jobs`; reported to it as failed.
    orphaned: Vec<JobId>,
}

/// State of a request at the holder.
enum JobState {
    /// Waiting for a slot, or for the run of an earlier attempt with the same id.
    Waiting(Box<Call>),
    /// Running on the server.
    Running {
        /// Sends a result that replaces the server's response.
        refuse: mpsc::UnboundedSender<Refusal>,
        /// Aborts the request on the server.
        abort: CancellationToken,
    },
    /// The run failed and the holder is about to choose the final response.
    Ended(ResponseSender),
}

/// Part of a request that remains once its run has ended.
enum Remainder {
    /// Nothing: the final response has been sent.
    Nothing,
    /// The whole request, which may be started again.
    Call(Box<Call>),
    /// Only the sender of the response.
    Responder(ResponseSender),
}

/// Permission to send a request to the server.
#[derive(Debug, Clone, Copy)]
struct Permit {
    job: JobId,
    /// Fencing term sent with the request.
    term: u64,
    /// Ownership epoch sent with the request.
    epoch: u64,
    /// Deadline for writing the first byte.
    until: whinspring::time::Tick,
}

impl HeldServer {
    /// Starts holding a server.
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

    pub fn service(&self) -> &Name {
        &self.service
    }

    pub fn server(&self) -> ServerId {
        self.server
    }

    pub fn has_term(&self, term: u64) -> bool {
        self.term.load(Ordering::Acquire) == term
    }

    pub fn term(&self) -> u64 {
        self.term.load(Ordering::Acquire)
    }

    /// Returns whether this node considers the server reachable.
    pub fn is_up(&self) -> bool {
        self.state.lock().holder.as_ref().is_some_and(Holder::is_up)
    }

    /// Returns the numbers of running and queued requests.
    pub fn load(&self) -> (u32, u32) {
        (self.running.load(Ordering::Relaxed), self.queued.load(Ordering::Relaxed))
    }

    /// Submits a request to the holder.
    pub fn submit(self: &Arc<Self>, call: Call) {
        let id = JobId(self.next_job.fetch_add(1, Ordering::Relaxed));
        let meta = call.open.meta.clone();
        let job = Job { id, meta, deadline: call.deadline };
        let response_window = call.responder.response_window();
        self.log_event(&call, EventKind::Queued(self.server));
        let mut state = self.state.lock();
        self.shared.metrics.jobs.inc();
        state.jobs.insert(id, JobState::Waiting(Box::new(call)));
        self.step(&mut state, Input::Arrive(job));
        self.cancel_on_disconnect(state, id, response_window);
    }

    /// Passes an input to the holder and executes its outputs.
    pub fn feed(self: &Arc<Self>, input: Input) {
        self.step(&mut self.state.lock(), input);
    }

    /// Releases the server and refuses every waiting request.
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
                call.responder.refuse(Reason::Refused(refusal));
            }
        }
        info!(service = self.service.as_str(), server = self.server.0; "released a server");
    }

    /// Handles the end of a run.
    fn finish(self: &Arc<Self>, id: JobId, remainder: Remainder, input: Input) {
        let mut state = self.state.lock();
        if state.jobs.remove(&id).is_none() {
            return;
        }
        match remainder {
            Remainder::Nothing => {
                self.shared.metrics.jobs.dec();
                self.step(&mut state, input);
            }
            Remainder::Call(call) => {
                let response_window = call.responder.response_window();
                state.jobs.insert(id, JobState::Waiting(call));
                self.step(&mut state, input);
                self.cancel_on_disconnect(state, id, response_window);
            }
            Remainder::Responder(responder) => {
                state.jobs.insert(id, JobState::Ended(responder));
                self.step(&mut state, input);
                state.jobs.remove(&id);
                self.shared.metrics.jobs.dec();
            }
        }
    }

    /// Cancels the request if its entry disconnects while it waits.
    fn cancel_on_disconnect(
        self: &Arc<Self>,
        state: MutexGuard<'_, State>,
        id: JobId,
        response_window: Arc<FlowWindow>,
    ) {
        let waits = matches!(state.jobs.get(&id), Some(JobState::Waiting(_)));
        drop(state);
        if !waits {
            return;
        }
        let held = self.clone();
        self.shared.runtime.spawn(async move {
            response_window.wait_closed().await;
            held.cancel(id);
        });
    }

    /// Cancels a request that is still waiting.
    fn cancel(self: &Arc<Self>, id: JobId) {
        let mut state = self.state.lock();
        if matches!(state.jobs.get(&id), Some(JobState::Waiting(_))) {
            self.take_waiting(&mut state, id);
            self.step(&mut state, Input::Cancel(id));
        }
    }

    /// Handles an input, then reports the requests that it orphaned as failed.
    fn step(self: &Arc<Self>, state: &mut State, input: Input) {
        self.handle_input(state, input);
        while let Some(job) = state.orphaned.pop() {
            self.handle_input(state, Input::Failed { job, sent: false });
        }
    }

    /// Passes one input to the holder and executes its outputs.
    fn handle_input(self: &Arc<Self>, state: &mut State, input: Input) {
        let Some(holder) = &mut state.holder else { return };
        if let Input::Update(update) = &input {
            self.term.store(update.term, Ordering::Release);
            self.backend.set_addr(update.server.addr);
        }
        let mut outputs = std::mem::take(&mut state.outputs);
        holder.handle(self.shared.clock.now(), self.shared.clock.wall(), input, &mut outputs);
        self.running.store(holder.run_count() as u32, Ordering::Relaxed);
        self.queued.store(holder.queue_len() as u32, Ordering::Relaxed);
        self.execute(state, &mut outputs);
        state.outputs = outputs;
    }

    /// Executes the holder's outputs in order.
    fn execute(self: &Arc<Self>, state: &mut State, outputs: &mut Vec<Output>) {
        for output in outputs.drain(..) {
            match output {
                Output::Start { job, term, epoch, until } => {
                    self.dispatch(state, Permit { job, term, epoch, until });
                }
                Output::Refuse(job, refusal) => self.refuse(state, job, refusal),
                Output::Replay(job, record) => self.replay(state, job, &record),
                Output::Abort(job) => {
                    if let Some(JobState::Running { abort, .. }) = state.jobs.get(&job) {
                        abort.cancel();
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
                Output::HandOver(states) => {
                    self.shared.hand_over(&self.service, self.server, states);
                }
                Output::Count(event) => self.shared.metrics.count(event),
                Output::Log(line) => {
                    info!(service = self.service.as_str(), server = self.server.0; "{line}");
                }
            }
        }
    }

    /// Starts sending a request to the server in the background.
    fn dispatch(self: &Arc<Self>, state: &mut State, permit: Permit) {
        let Some(call) = self.take_waiting(state, permit.job) else {
            state.orphaned.push(permit.job);
            return;
        };
        let Permit { term, epoch, .. } = permit;
        self.log_event(&call, EventKind::Started { server: self.server, term, epoch });
        self.shared.metrics.jobs.inc();
        let (refuse, refused) = mpsc::unbounded_channel();
        let abort = CancellationToken::new();
        let running = JobState::Running { refuse, abort: abort.clone() };
        state.jobs.insert(permit.job, running);
        let run = run::Run::new(self.clone(), permit, *call, refused, abort);
        self.shared.runtime.spawn(run.run());
    }

    /// Refuses a request in place of a server's response.
    fn refuse(&self, state: &mut State, job: JobId, refusal: Refusal) {
        match state.jobs.remove(&job) {
            Some(JobState::Running { refuse, abort }) => {
                let _ = refuse.send(refusal);
                state.jobs.insert(job, JobState::Running { refuse, abort });
            }
            Some(JobState::Waiting(call)) => {
                self.shared.metrics.jobs.dec();
                self.log_event(&call, EventKind::Refused(refusal.code));
                call.responder.refuse(Reason::Refused(refusal));
            }
            Some(JobState::Ended(responder)) => responder.refuse(Reason::Refused(refusal)),
            None => {}
        }
    }

    fn replay(&self, state: &mut State, job: JobId, record: &[u8]) {
        let Some(mut call) = self.take_waiting(state, job) else { return };
        match answer::decode_response(record) {
            Some(head) => {
                self.log_event(&call, EventKind::Replayed);
                let (running, queued) = self.load();
                call.responder.send_head(Head { running, queued, ..head });
            }
            None => {
                let refusal = Refusal { code: Code::MaybeRan, retry_ms: 0 };
                call.responder.refuse(Reason::Refused(refusal));
            }
        }
    }

    /// Adds an event of the request to the journal.
    fn log_event(&self, call: &Call, kind: EventKind) {
        self.shared.journal.add(&call.open.meta.id, Hop::Holder, kind);
    }

    /// Removes a request and returns it if it was waiting; otherwise leaves it in place.
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
