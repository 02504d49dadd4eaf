//! The calls of a backend server and of the stand-in itself.

use {
    super::{
        Options,
        gate::{Gate, Grant},
        run::Journal,
    },
    crate::{
        http::{Answer, Handler, Hangup, json, status},
        runs::Log,
    },
    http_body_util::{BodyExt, Limited},
    hyper::{Method, Request, StatusCode, body::Incoming},
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::Semaphore,
        time::{Instant, sleep},
    },
};

/// Largest body of a grant, in bytes.
const GRANT_LIMIT: usize = 16 << 20;

/// A backend server.
#[derive(Debug)]
pub(super) struct Server {
    /// How it was started.
    pub(super) options: Options,
    /// Fencing terms and grants.
    pub(super) gate: Mutex<Gate>,
    /// Slots for work.
    pub(super) slots: Arc<Semaphore>,
    /// Requests that wait for a slot.
    pub(super) queued: AtomicUsize,
    /// What all runs write to.
    pub(super) journal: Arc<Journal>,
    /// What can be changed while it runs.
    pub(super) tuning: Mutex<Tuning>,
    born: Instant,
    leaving: AtomicBool,
}

/// What can be changed while the server runs.
#[derive(Debug, Clone, Copy)]
pub(super) struct Tuning {
    /// Time that work holds a slot.
    pub(super) work: Duration,
    /// Whether the load report is always zero.
    pub(super) lie: bool,
}

/// Body that changes the tuning; what is left out stays.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Change {
    work_ms: Option<f64>,
    lie: Option<bool>,
}

/// Answer to a probe or a grant.
#[derive(Debug, Serialize)]
struct Probe {
    boot: u64,
    term: u64,
    state: State,
}

/// What the server says of itself.
#[derive(Debug, Serialize)]
#[serde(rename_all = "lowercase")]
enum State {
    /// It takes work.
    Ready,
    /// It takes work slowly.
    Cold,
    /// It finishes what it has.
    Leaving,
}

/// Load report.
#[derive(Debug, Default, Serialize)]
struct Load {
    busy: usize,
    queued: usize,
}

/// Counts for tests.
#[derive(Debug, Serialize)]
struct Stats {
    boot: u64,
    started: u64,
    ended: u64,
    cancelled: u64,
    busy: usize,
    queued: usize,
}

impl Handler for Server {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Answer, Hangup> {
        sleep_some(self.options.latency).await;
        let answer = match (request.method(), request.uri().path()) {
            (&Method::GET, "/_whinspring/probe") => self.probe().await,
            (&Method::POST, "/_whinspring/grant") => self.grant(request.into_body()).await,
            (&Method::GET, "/_whinspring/load") => json(&self.load()),
            (&Method::POST, "/_standin/drain") => self.drain(),
            (&Method::PUT, "/_standin/tuning") => self.tune(request.into_body()).await,
            (&Method::GET, "/_standin/stats") => json(&self.stats()),
            _ => self.clone().work(request).await?,
        };
        sleep_some(self.options.latency).await;
        Ok(answer)
    }
}

impl Server {
    /// Returns a server that has just started.
    pub(super) fn new(options: Options, log: Log) -> Self {
        let boot = rand::random::<u64>() >> 1;
        Self {
            gate: Mutex::default(),
            slots: Arc::new(Semaphore::new(options.slots)),
            queued: AtomicUsize::new(0),
            journal: Arc::new(Journal::new(options.name.clone(), boot, log)),
            tuning: Mutex::new(Tuning { work: options.work, lie: options.lie }),
            born: Instant::now(),
            leaving: AtomicBool::new(false),
            options,
        }
    }

    /// Returns whether the server is still cold.
    pub(super) fn is_cold(&self) -> bool {
        self.born.elapsed() < self.options.cold
    }

    /// Answers a probe, which takes its time and a slot if one is free.
    async fn probe(&self) -> Answer {
        let _slot = self.slots.try_acquire();
        sleep_some(self.options.probe).await;
        json(&self.state())
    }

    /// Takes a grant, unless its term is too low and the server checks.
    async fn grant(&self, body: Incoming) -> Answer {
        let Some(grant) = read::<Grant>(body).await else {
            return status(StatusCode::BAD_REQUEST);
        };
        let mut gate = self.gate.lock();
        if self.options.fenced && !gate.accepts(&grant) {
            return status(StatusCode::CONFLICT);
        }
        gate.apply(grant);
        drop(gate);
        json(&self.state())
    }

    /// Says from now on that the server is leaving.
    fn drain(&self) -> Answer {
        self.leaving.store(true, Ordering::Relaxed);
        status(StatusCode::OK)
    }

    /// Changes the tuning.
    async fn tune(&self, body: Incoming) -> Answer {
        let Some(change) = read::<Change>(body).await else {
            return status(StatusCode::BAD_REQUEST);
        };
        let mut tuning = self.tuning.lock();
        if let Some(ms) = change.work_ms {
            tuning.work = Duration::from_secs_f64(ms.max(0.0) / 1e3);
        }
        tuning.lie = change.lie.unwrap_or(tuning.lie);
        status(StatusCode::OK)
    }

    /// Returns what the server says of itself.
    fn state(&self) -> Probe {
        let state = match (self.leaving.load(Ordering::Relaxed), self.is_cold()) {
            (true, _) => State::Leaving,
            (false, true) => State::Cold,
            (false, false) => State::Ready,
        };
        Probe { boot: self.journal.boot, term: self.gate.lock().granted(), state }
    }

    /// Returns the load report.
    fn load(&self) -> Load {
        if self.tuning.lock().lie {
            return Load::default();
        }
        Load { busy: self.busy(), queued: self.queued.load(Ordering::Relaxed) }
    }

    /// Returns the true counts.
    fn stats(&self) -> Stats {
        let counts = self.journal.counts();
        Stats {
            boot: self.journal.boot,
            started: counts.started,
            ended: counts.ended,
            cancelled: counts.cancelled,
            busy: self.busy(),
            queued: self.queued.load(Ordering::Relaxed),
        }
    }

    /// Returns the slots in use.
    fn busy(&self) -> usize {
        self.options.slots - self.slots.available_permits()
    }
}

/// Sleeps unless the time is zero, which would still cost a turn of the scheduler.
pub(super) async fn sleep_some(time: Duration) {
    if !time.is_zero() {
        sleep(time).await;
    }
}

/// Reads a JSON body.
async fn read<T: for<'a> Deserialize<'a>>(body: Incoming) -> Option<T> {
    let body = Limited::new(body, GRANT_LIMIT).collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok()
}
