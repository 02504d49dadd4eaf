//! A holder with its fake server and a simulated clock, and checks of invariants.

use {
    super::fake::FakeServer,
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt::Write,
    },
    whinspring::{
        code::Class,
        holder::{DedupState, Holder, Input, Output, Policy, Update},
        message::Message,
        model::{Owner, Server, ServerState, Suspect},
        name::{Name, ServerId, Slice, slice_of},
        request::{Job, JobId, Meta, Place},
        time::{Tick, Wall},
    },
};

pub const SLICES: u32 = 4;
/// Calendar time at the start of a run, in milliseconds.
pub const EPOCH_MS: u64 = 1_000_000;
/// Time between ticks, in milliseconds.
const TICK_MS: u64 = 20;

pub struct World {
    pub holder: Holder,
    pub fake: FakeServer,
    pub ms: u64,
    /// End of the lease; kept ahead of the clock while `leased`.
    pub lease: u64,
    pub leased: bool,
    pub metas: BTreeMap<JobId, Meta>,
    pub answers: BTreeMap<JobId, String>,
    pub handed: Vec<DedupState>,
    pub suspects: Vec<Suspect>,
    pub reports: Vec<Message>,
    pub probes: u32,
    pub trace: String,
    deadlines: BTreeMap<JobId, u64>,
    cancelled: BTreeSet<JobId>,
}

impl World {
    /// Returns a world in which the server has its grant and is warm.
    pub fn new(update: Update) -> Self {
        let mut world = Self::cold(update, 0, FakeServer::default(), Policy::default());
        world.run(30);
        for number in 9_000..9_004 {
            world.arrive(number, get("warm"), 1_000);
            world.run(30);
        }
        world.trace.clear();
        world
    }

    /// Returns a world at `ms` whose holder has had no answer from the server.
    pub fn cold(update: Update, ms: u64, fake: FakeServer, policy: Policy) -> Self {
        let service = Name::from("bays");
        let now = Tick::from_millis(ms);
        let bare = Update { slices: Vec::new(), ..update.clone() };
        let holder = Holder::with_policy(now, service, ServerId(1), bare, 7, policy);
        let mut world = Self {
            holder,
            fake,
            ms,
            lease: 0,
            leased: true,
            metas: BTreeMap::new(),
            answers: BTreeMap::new(),
            handed: Vec::new(),
            suspects: Vec::new(),
            reports: Vec::new(),
            probes: 0,
            trace: String::new(),
            deadlines: BTreeMap::new(),
            cancelled: BTreeSet::new(),
        };
        world.input(Input::Update(Box::new(update)));
        world
    }

    /// Sends a request that must be answered within `within` milliseconds.
    pub fn arrive(&mut self, number: u64, meta: Meta, within: u64) {
        let id = JobId(number);
        self.metas.insert(id, meta.clone());
        self.deadlines.insert(id, self.ms + within);
        let deadline = Tick::from_millis(self.ms + within);
        self.input(Input::Arrive(Job { id, meta, deadline }));
    }

    /// Cancels a request, as when its caller disconnects.
    pub fn cancel(&mut self, number: u64) {
        self.cancelled.insert(JobId(number));
        self.input(Input::Cancel(JobId(number)));
    }

    /// Advances the clock.
    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.ms += 1;
            if self.leased {
                self.lease = self.ms + 400;
            }
            for input in self.fake.advance(self.ms) {
                self.input(input);
            }
            if self.ms.is_multiple_of(TICK_MS) {
                let lease = Tick::from_millis(self.lease);
                self.input(Input::Lease(lease));
                self.input(Input::Tick);
                self.check_answered();
            }
        }
    }

    /// Passes an input to the holder and carries out its outputs.
    pub fn input(&mut self, input: Input) {
        self.note_input(&input);
        if let Input::Answered { job, .. } = &input {
            self.finish(*job, "done", true);
        }
        let mut out = Vec::new();
        let wall = Wall(EPOCH_MS + self.ms);
        self.holder.handle(Tick::from_millis(self.ms), wall, input, &mut out);
        for output in out {
            self.output(output);
        }
    }

    /// Replaces the holder by one without state, as after the loss of its node.
    pub fn lose_holder(&mut self, update: Update) {
        let open = self.metas.keys().filter(|job| !self.answers.contains_key(job));
        self.cancelled.extend(open);
        self.fake.disconnect();
        let now = Tick::from_millis(self.ms);
        self.holder = Holder::new(now, "bays".into(), ServerId(1), update, self.ms);
    }

    /// Returns the final answer of a request, or `none`.
    pub fn answer(&self, number: u64) -> &str {
        self.answers.get(&JobId(number)).map_or("none", String::as_str)
    }

    /// Returns whether a request was cancelled or lost with its holder.
    pub fn is_gone(&self, number: u64) -> bool {
        self.cancelled.contains(&JobId(number))
    }

    /// Carries out an output.
    fn output(&mut self, output: Output) {
        self.note_output(&output);
        self.fake.apply(self.ms, &output, &self.metas);
        assert!(self.fake.max_active <= 2, "more than two requests ran at once");
        match output {
            Output::Start { job, .. } => {
                assert!(self.ms < self.lease, "{job:?} started without a lease");
                assert!(self.holder.run_count() <= 2, "{job:?} has no slot");
            }
            Output::Refuse(job, refusal) => {
                let ran = self.fake.log.iter().any(|ran| ran.job == job);
                let not_run = refusal.code.class() == Class::NotRun;
                assert!(!(ran && not_run), "{job:?} ran and got {:?}", refusal.code);
                self.finish(job, &format!("{:?}", refusal.code), false);
            }
            Output::Replay(job, answer) => {
                let answer = String::from_utf8_lossy(&answer).into_owned();
                self.finish(job, &format!("replayed {answer}"), false);
            }
            Output::HandOver(states) => self.handed.extend(states),
            Output::Suspect(suspect) => self.suspects.push(suspect),
            Output::Probe => self.probes += 1,
            Output::Report(report) => self.reports.push(report),
            _ => {}
        }
    }

    /// Checks that every request was answered by one tick after its deadline.
    pub fn check_answered(&self) {
        for (job, deadline) in &self.deadlines {
            let silent = !self.answers.contains_key(job) && !self.cancelled.contains(job);
            assert!(
                !silent || self.ms <= deadline + TICK_MS,
                "{job:?} has no answer after its deadline of {deadline} ms"
            );
        }
    }

    /// Records a final answer. An answer of the server is ignored if the request has a final
    /// answer.
    fn finish(&mut self, job: JobId, answer: &str, own: bool) {
        let before = self.answers.get(&job);
        if own && before.is_some() {
            return;
        }
        assert!(before.is_none(), "{job:?} answered {before:?} and {answer}");
        self.answers.insert(job, answer.to_owned());
    }

    fn note_input(&mut self, input: &Input) {
        let text = match input {
            Input::Tick | Input::Lease(_) | Input::Up { grant: 0, leaving: false, .. } => return,
            Input::Arrive(job) => {
                let left = job.deadline.since(Tick::from_millis(self.ms)).as_millis();
                let key = job.meta.place.as_ref().map_or("", |place| &place.key);
                let first = if job.meta.first { "" } else { " resent" };
                format!("arrive {} key={key} id={}{first} within={left}", job.id.0, job.meta.id)
            }
            Input::Answered { job, .. } => format!("answered {}", job.0),
            Input::Update(update) => format!("update term={}", update.term),
            Input::DedupState(states) => format!("state of {} units", states.len()),
            other => format!("{other:?}"),
        };
        let _ = writeln!(self.trace, "{:>6} < {text}", self.ms);
    }

    fn note_output(&mut self, output: &Output) {
        let text = match output {
            Output::Probe | Output::Count(_) => return,
            Output::Report(Message::Load { .. }) => return,
            Output::Start { job, term, epoch, .. } => {
                format!("start {} term={term} epoch={epoch}", job.0)
            }
            Output::Refuse(job, refusal) => {
                format!("refuse {} {:?} retry={}", job.0, refusal.code, refusal.retry_ms)
            }
            other => format!("{other:?}"),
        };
        let _ = writeln!(self.trace, "{:>6} >   {text}", self.ms);
    }
}

/// Returns an update that assigns every slice to the server.
pub fn update(term: u64, epoch: u64) -> Update {
    let owner = Owner { server: ServerId(1), epoch, next: None };
    Update {
        server: server(),
        term,
        handover: false,
        slices: (0..SLICES).map(|slice| (Slice(slice), owner.clone())).collect(),
        keys: Vec::new(),
        excluded: Vec::new(),
        slice_count: SLICES,
        shares: Vec::new(),
        suspects: Vec::new(),
    }
}

pub fn server() -> Server {
    Server {
        name: "b1".into(),
        addr: ([127, 0, 0, 1], 9).into(),
        domain: "a".into(),
        fenced: true,
        slots: 2,
        conns: 100,
        state: ServerState::Active,
    }
}

/// Returns an idempotent request for a key.
pub fn get(key: &str) -> Meta {
    Meta {
        service: "bays".into(),
        place: Some(Place { key: key.into(), slice: slice_of(key, SLICES) }),
        customer: "c".into(),
        id: Name::new(),
        issued: None,
        first: true,
        idempotent: true,
        fingerprint: u64::from(slice_of(key, u32::MAX).0),
        crashes: 0,
    }
}

/// Returns a non-idempotent request for a key.
pub fn post(key: &str, id: &str) -> Meta {
    Meta { id: id.into(), idempotent: false, ..get(key) }
}
