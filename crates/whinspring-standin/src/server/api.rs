//! HTTP handlers of a backend server and of the endpoints that control the stand-in.

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

/// Largest size of a JSON request body.
const MAX_GRANT_BYTES: usize = 16 << 20;

/// State of the server, shared by all requests.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) options: Options,
    pub(super) fence: Mutex<Fence>,
    /// One permit for each request that can run at once.
    pub(super) slots: Arc<Semaphore>,
    /// Number of requests that wait for a slot.
    pub(super) queued: AtomicUsize,
    pub(super) recorder: Arc<Recorder>,
    /// Settings that can be changed at run time.
    pub(super) tuning: Mutex<Tuning>,
    started_at: Instant,
    draining: AtomicBool,
}

/// Settings that can be changed at run time.
#[derive(Debug, Clone, Copy)]
pub(super) struct Tuning {
    /// Time for which a request holds a slot.
    pub(super) work: Duration,
    /// Whether the load report is always zero.
    pub(super) zero_load: bool,
}

/// Request body that changes the tuning; omitted fields keep their value.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TuningChange {
    work_ms: Option<f64>,
    lie: Option<bool>,
}

/// Response to a probe or an accepted grant.
#[derive(Debug, Serialize)]
struct ProbeResponse {
    boot: u64,
    term: u64,
    state: State,
}

/// State that the server reports.
#[derive(Debug, Serialize)]
#[serde(rename_all = "lowercase")]
enum State {
    /// Accepts requests.
    Ready,
    /// Accepts requests, but is still slow after its start.
    Cold,
    /// Is being drained.
    Leaving,
}

#[derive(Debug, Default, Serialize)]
struct Load {
    busy: usize,
    queued: usize,
}

/// Counts that tests read; they are true even if the load report is not.
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

    pub(super) fn is_cold(&self) -> bool {
        self.started_at.elapsed() < self.options.cold
    }

    /// Handles a probe, which takes the configured time and holds a slot if one is free.
    async fn handle_probe(&self) -> HttpResponse {
        let _slot = self.slots.try_acquire();
        sleep_nonzero(self.options.probe).await;
        json(&self.probe_response())
    }

    /// Applies a grant; a fenced server rejects one whose term is lower than one seen before.
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

    /// Reports the state `leaving` from now on.
    fn handle_drain(&self) -> HttpResponse {
        self.draining.store(true, Ordering::Relaxed);
        status(StatusCode::OK)
    }

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

    fn probe_response(&self) -> ProbeResponse {
        let state = match (self.draining.load(Ordering::Relaxed), self.is_cold()) {
            (true, _) => State::Leaving,
            (false, true) => State::Cold,
            (false, false) => State::Ready,
        };
        ProbeResponse { boot: self.recorder.boot, term: self.fence.lock().granted(), state }
    }

    fn load(&self) -> Load {
        if self.tuning.lock().zero_load {
            return Load::default();
        }
        Load { busy: self.busy_slots(), queued: self.queued.load(Ordering::Relaxed) }
    }

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

    fn busy_slots(&self) -> usize {
        self.options.slots - self.slots.available_permits()
    }
}

/// Sleeps unless the time is zero: a sleep of zero would still yield to the scheduler.
pub(super) async fn sleep_nonzero(time: Duration) {
    if !time.is_zero() {
        sleep(time).await;
    }
}

/// Reads and parses a JSON body; `None` if it is too large, incomplete or invalid.
async fn read_json<T: for<'a> Deserialize<'a>>(body: Incoming) -> Option<T> {
    let body = Limited::new(body, MAX_GRANT_BYTES).collect().await.ok()?.to_bytes();
    serde_json::from_slice(&body).ok()
}
