//! The calls of a backend server and of the stand-in itself.

use {
    super::{
        Options,
        fence::{Fence, Grant},
        recorder::Recorder,
    },
    crate::{
        http::{Handler, HttpResponse, NoResponse, json, status},
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
const MAX_GRANT_BYTES: usize = 16 << 20;

/// A backend server.
#[derive(Debug)]
pub(super) struct Server {
    /// How it was started.
    pub(super) options: Options,
    /// Fencing terms and grants.
    pub(super) fence: Mutex<Fence>,
    /// Slots for work.
    pub(super) slots: Arc<Semaphore>,
    /// Requests that wait for a slot.
    pub(super) queued: AtomicUsize,
    /// What all runs write to.
    pub(super) recorder: Arc<Recorder>,
    /// What can be changed while it runs.
    pub(super) tuning: Mutex<Tuning>,
    started_at: Instant,
    draining: AtomicBool,
}

/// What can be changed while the server runs.
#[derive(Debug, Clone, Copy)]
pub(super) struct Tuning {
    /// Time that work holds a slot.
    pub(super) work: Duration,
    /// Whether the load report is always zero.
    pub(super) zero_load: bool,
}

/// Body that changes the tuning; what is left out stays.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TuningChange {
    work_ms: Option<f64>,
    lie: Option<bool>,
}

/// HttpResponse to a probe or a grant.
#[derive(Debug, Serialize)]
struct ProbeResponse {
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
    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<HttpResponse, NoResponse> {
        sleep_nonzero(self.options.latency).await;
        let response = match (request.method(), request.uri().path()) {
            (&Method::GET, "/_whinspring/probe") => self.handle_probe().await,
            (&Method::POST, "/_whinspring/grant") => self.handle_grant(request.into_body()).await,
            (&Method::GET, "/_whinspring/load") => json(&self.load()),
            (&Method::POST, "/_standin/drain") => self.handle_drain(),
            (&Method::PUT, "/_standin/tuning") => self.tune(request.into_body()).await,
            (&Method::GET, "/_standin/stats") => json(&self.stats()),
            _ => self.clone().handle_work(request).await?,
        };
        sleep_nonzero(self.options.latency).await;
        Ok(response)
    }
}

impl Server {
    /// Returns a server that has just started.
    pub(super) fn new(options: Options, log: Log) -> Self {
        let boot = rand::random::<u64>() >> 1;
        Self {
            fence: Mutex::default(),
            slots: Arc::new(Semaphore::new(options.slots)),
            queued: AtomicUsize::new(0),
            recorder: Arc::new(Recorder::new(options.name.clone(), boot, log)),
            tuning: Mutex::new(Tuning { work: options.work, zero_load: options.zero_load }),
            started_at: Instant::now(),
            draining: AtomicBool::new(false),
            options,
        }
    }

    /// Returns whether the server is still cold.
    pub(super) fn is_cold(&self) -> bool {
        self.started_at.elapsed() < self.options.cold
    }

    /// Answers a probe, which takes its time and a slot if one is free.
    async fn handle_probe(&self) -> HttpResponse {
        let _slot = self.slots.try_acquire();
        sleep_nonzero(self.options.probe).await;
        json(&self.probe_response())
    }

    /// Takes a grant, unless its term is too low and the server checks.
    async fn handle_grant(&self, body: Incoming) -> HttpResponse {
        let Some(grant) = read_json::<Grant>(body).await else {
            return status(StatusCode::BAD_REQUEST);
        };
        let mut fence = self.fence.lock();
        if self.options.fenced && !fence.accepts(&grant) {
            return status(StatusCode::CONFLICT);
        }
        fence.apply(grant);
        drop(fence);
        json(&self.probe_response())
    }

    /// Says from now on that the server is draining.
    fn handle_drain(&self) -> HttpResponse {
        self.draining.store(true, Ordering::Relaxed);
        status(StatusCode::OK)
    }

    /// Changes the tuning.
    async fn tune(&self, body: Incoming) -> HttpResponse {
        let Some(change) = read_json::<TuningChange>(body).await else {
            return status(StatusCode::BAD_REQUEST);
        };
        let mut tuning = self.tuning.lock();
        if let Some(ms) = change.work_ms {
            tuning.work = Duration::from_secs_f64(ms.max(0.0) / 1e3);
        }
        tuning.zero_load = change.lie.unwrap_or(tuning.zero_load);
        status(StatusCode::OK)
    }

    /// Returns what the server says of itself.
    fn probe_response(&self) -> ProbeResponse {
        let state = match (self.draining.load(Ordering::Relaxed), self.is_cold()) {
            (true, _) => State::Leaving,
            (false, true) => State::Cold,
            (false, false) => State::Ready,
        };
        ProbeResponse { boot: self.recorder.boot, term: self.fence.lock().granted(), state }
    }

    /// Returns the load report.
    fn load(&self) -> Load {
        if self.tuning.lock().zero_load {
            return Load::default();
        }
        Load { busy: self.busy_slots(), queued: self.queued.load(Ordering::Relaxed) }
    }

    /// Returns the true counts.
    fn stats(&self) -> Stats {
        let counts = self.recorder.counts();
        Stats {
            boot: self.recorder.boot,
            started: counts.started,
            ended: counts.ended,
            cancelled: counts.cancelled,
            busy: self.busy_slots(),
            queued: self.queued.load(Ordering::Relaxed),
        }
    }

    /// Returns the slots in use.
    fn busy_slots(&self) -> usize {
        self.options.slots - self.slots.available_permits()
    }
}

/// Sleeps unless the time is zero, which would still cost a turn of the scheduler.
pub(super) async fn sleep_nonzero(time: Duration) {
    if !time.is_zero() {
        sleep(time).await;
    }
}

/// Reads a JSON body.
async fn read_json<T: for<'a> Deserialize<'a>>(body: Incoming) -> Option<T> {
    let body = Limited::new(body, MAX_GRANT_BYTES).collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok()
}
