//! Running of requests, from the queue for a slot to the response.

use {
    super::{
        COLD_FACTOR,
        api::{Server, sleep_nonzero},
        recorder::Run,
        request::WorkRequest,
    },
    crate::{
        http::{HttpResponse, NoResponse, json, status},
        pattern::Pattern,
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Either},
    hyper::{
        Request, StatusCode,
        body::Incoming,
        header::{HeaderValue, RETRY_AFTER},
    },
    serde::{Deserialize, Serialize},
    std::{
        hash::Hasher,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::OwnedSemaphorePermit,
        time::{sleep, timeout_at},
    },
    twox_hash::XxHash3_64,
};

/// Largest stated size of a body that is read before the request queues for a slot.
const SMALL_BODY_BYTES: u64 = 64 * 1024;

/// Length of the start of a body that is searched for the text that crashes the server.
const SEARCH_BYTES: usize = 64 * 1024;

/// Minimum time from the start of a run that crashes the server to the abort.
const CRASH_DELAY: Duration = Duration::from_millis(10);

/// Response body that describes the request, so that the caller can check that it is its own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    pub server: String,
    /// Random number that identifies one start of the server process.
    pub boot: u64,
    /// Number of the run since this start of the server, from 1.
    pub run: u64,
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Value of the key header; empty if the request has none.
    pub key: String,
    /// Request id; empty if the request has none.
    pub id: String,
    /// Length of the body in bytes.
    pub bytes: u64,
    /// XXH3 digest of the body.
    pub digest: u64,
}

/// Length, digest and start of a body.
#[derive(Default)]
struct Digest {
    bytes: u64,
    hash: XxHash3_64,
    start: Vec<u8>,
}

/// Counts a waiting request; decrements the count when it is dropped.
struct QueuedGuard<'a>(&'a AtomicUsize);

impl Server {
    /// Queues and runs a request; the future is dropped when the connection closes.
    pub(super) async fn handle_work(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<HttpResponse, NoResponse> {
        let (head, body) = request.into_parts();
        let request = WorkRequest::new(&head, &self.options.key_header);
        if !self.permits(&request) {
            return Ok(not_run_response(StatusCode::CONFLICT, "fenced"));
        }
        let mut unread = Some(body);
        let mut digest = Digest::default();
        if request.len.is_some_and(|len| len <= SMALL_BODY_BYTES) {
            digest.read(unread.take()).await?;
        }
        let Some(slot) = self.acquire_slot().await else {
            return Ok(shed_response());
        };
        if request.is_expired() {
            return Ok(not_run_response(StatusCode::GATEWAY_TIMEOUT, "expired"));
        }
        if !self.permits(&request) {
            return Ok(not_run_response(StatusCode::CONFLICT, "fenced"));
        }
        let run = Run::start(self.recorder.clone(), &request, slot).map_err(|_| NoResponse)?;
        digest.read(unread.take()).await?;
        self.crash_on_match(&request, &digest).await;
        let work = self.simulate_work();
        match request.deadline {
            None => work.await,
            Some(deadline) if timeout_at(deadline, work).await.is_ok() => {}
            Some(_) => return Ok(status(StatusCode::GATEWAY_TIMEOUT)),
        }
        Ok(self.respond(run, &request, &digest))
    }

    /// Records the term of a request, and checks term and grant if the server is fenced.
    fn permits(&self, request: &WorkRequest) -> bool {
        let mut fence = self.fence.lock();
        fence.observe_term(request);
        !self.options.fenced || fence.permits(request)
    }

    /// Waits for a slot; `None` if the queue is full and the request is shed.
    async fn acquire_slot(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(slot) = self.slots.clone().try_acquire_owned() {
            return Some(slot);
        }
        let waiting = self.queued.fetch_add(1, Ordering::Relaxed) + 1;
        let _queued = QueuedGuard(&self.queued);
        if self.options.shed_above.is_some_and(|limit| waiting > limit) {
            return None;
        }
        self.slots.clone().acquire_owned().await.ok()
    }

    /// Sleeps for the configured service time.
    async fn simulate_work(&self) {
        let work = self.tuning.lock().work;
        let factor = if self.is_cold() { COLD_FACTOR } else { 1 };
        sleep_nonzero(work * factor).await;
    }

    /// Aborts the process if the request contains the configured text.
    async fn crash_on_match(&self, request: &WorkRequest, digest: &Digest) {
        let Some(text) = &self.options.crash_on else {
            return;
        };
        if request.path.contains(text) || digest.contains(text.as_bytes()) {
            let work = self.tuning.lock().work;
            sleep(work.max(CRASH_DELAY)).await;
            std::process::abort();
        }
    }

    /// Returns an echo of the request, or the bytes that it requests.
    fn respond(&self, run: Run, request: &WorkRequest, digest: &Digest) -> HttpResponse {
        if let Some(len) = request.requested_bytes() {
            let body = Pattern::new(&request.path, len, move || run.end());
            return HttpResponse::new(Either::Right(body));
        }
        let echo = Echo {
            server: self.recorder.server.clone(),
            boot: self.recorder.boot,
            run: run.number,
            method: request.method.clone(),
            path: request.path.clone(),
            key: request.key.clone(),
            id: request.id.clone(),
            bytes: digest.bytes,
            digest: digest.hash.finish(),
        };
        run.end();
        json(&echo)
    }
}

impl Digest {
    async fn read(&mut self, body: Option<Incoming>) -> Result<(), NoResponse> {
        let Some(mut body) = body else {
            return Ok(());
        };
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| NoResponse)?;
            if let Ok(data) = frame.into_data() {
                self.add(&data);
            }
        }
        Ok(())
    }

    /// Adds the next bytes of the body.
    fn add(&mut self, data: &Bytes) {
        self.bytes += data.len() as u64;
        self.hash.write(data);
        let room = SEARCH_BYTES - self.start.len();
        self.start.extend_from_slice(&data[..data.len().min(room)]);
    }

    /// Returns whether the start of the body contains `text`.
    fn contains(&self, text: &[u8]) -> bool {
        !text.is_empty() && self.start.windows(text.len()).any(|part| part == text)
    }
}

impl Drop for QueuedGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns a response which states that the request did not run.
fn not_run_response(code: StatusCode, reason: &'static str) -> HttpResponse {
    let mut response = status(code);
    response.headers_mut().insert("whinspring-not-run", HeaderValue::from_static(reason));
    response
}

/// Returns the response to a request that is shed.
fn shed_response() -> HttpResponse {
    let mut response = not_run_response(StatusCode::SERVICE_UNAVAILABLE, "shed");
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
    response
}
