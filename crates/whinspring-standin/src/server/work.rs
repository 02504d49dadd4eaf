//! Work: from the queue inside the server to the answer.

use {
    super::{
        COLD_FACTOR,
        api::{Server, sleep_some},
        order::Order,
        run::Run,
    },
    crate::{
        http::{Answer, Hangup, json, status},
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

/// Bodies up to this size are read before the request queues for a slot.
const SMALL_BODY: u64 = 64 * 1024;

/// Bytes at the start of a body that are searched for the text that crashes the server.
const SEARCHED: usize = 64 * 1024;

/// Least time from the start of a run that crashes the server to its death.
const CRASH_DELAY: Duration = Duration::from_millis(10);

/// Answer to work, by which a caller checks that it got its own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Name of the server.
    pub server: String,
    /// Number the server drew at its start.
    pub boot: u64,
    /// Number of the run within this boot.
    pub run: u64,
    /// HTTP method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Key header; empty if there was none.
    pub key: String,
    /// Request id; empty if there was none.
    pub id: String,
    /// Length of the body in bytes.
    pub bytes: u64,
    /// XXH3 digest of the body.
    pub digest: u64,
}

/// Length, digest and beginning of a body.
#[derive(Default)]
struct Digest {
    bytes: u64,
    hash: XxHash3_64,
    start: Vec<u8>,
}

/// Counts a request among those that wait for a slot.
struct Queued<'a>(&'a AtomicUsize);

impl Server {
    /// Queues and runs a work request; dropped when the connection closes.
    pub(super) async fn work(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Answer, Hangup> {
        let (head, body) = request.into_parts();
        let order = Order::new(&head, &self.options.key_header);
        if !self.permits(&order) {
            return Ok(not_run(StatusCode::CONFLICT, "fenced"));
        }
        let mut unread = Some(body);
        let mut digest = Digest::default();
        if order.len.is_some_and(|len| len <= SMALL_BODY) {
            digest.read(unread.take()).await?;
        }
        let Some(slot) = self.slot().await else {
            return Ok(shed());
        };
        if order.expired() {
            return Ok(not_run(StatusCode::GATEWAY_TIMEOUT, "expired"));
        }
        if !self.permits(&order) {
            return Ok(not_run(StatusCode::CONFLICT, "fenced"));
        }
        let run = Run::start(self.journal.clone(), &order, slot).map_err(|_| Hangup)?;
        digest.read(unread.take()).await?;
        self.crash(&order, &digest).await;
        let work = self.take_time();
        match order.deadline {
            None => work.await,
            Some(deadline) if timeout_at(deadline, work).await.is_ok() => {}
            Some(_) => return Ok(status(StatusCode::GATEWAY_TIMEOUT)),
        }
        Ok(self.answer(run, &order, &digest))
    }

    /// Checks term and grant, if the server checks them.
    fn permits(&self, order: &Order) -> bool {
        let mut gate = self.gate.lock();
        gate.see(order);
        !self.options.fenced || gate.permits(order)
    }

    /// Waits for a slot; `None` if the request is shed.
    async fn slot(&self) -> Option<OwnedSemaphorePermit> {
        if let Ok(slot) = self.slots.clone().try_acquire_owned() {
            return Some(slot);
        }
        let waiting = self.queued.fetch_add(1, Ordering::Relaxed) + 1;
        let _queued = Queued(&self.queued);
        if self.options.shed_above.is_some_and(|limit| waiting > limit) {
            return None;
        }
        self.slots.clone().acquire_owned().await.ok()
    }

    /// Takes the time that work takes.
    async fn take_time(&self) {
        let work = self.tuning.lock().work;
        let factor = if self.is_cold() { COLD_FACTOR } else { 1 };
        sleep_some(work * factor).await;
    }

    /// Aborts the process if this request crashes it.
    async fn crash(&self, order: &Order, digest: &Digest) {
        let Some(text) = &self.options.crash_on else {
            return;
        };
        if order.path.contains(text) || digest.contains(text.as_bytes()) {
            let work = self.tuning.lock().work;
            sleep(work.max(CRASH_DELAY)).await;
            std::process::abort();
        }
    }

    /// Answers with an echo of the request or the bytes it asks for.
    fn answer(&self, run: Run, order: &Order, digest: &Digest) -> Answer {
        if let Some(len) = order.bytes() {
            let body = Pattern::new(&order.path, len, move || run.end());
            return Answer::new(Either::Right(body));
        }
        let echo = Echo {
            server: self.journal.server.clone(),
            boot: self.journal.boot,
            run: run.number,
            method: order.method.clone(),
            path: order.path.clone(),
            key: order.key.clone(),
            id: order.id.clone(),
            bytes: digest.bytes,
            digest: digest.hash.finish(),
        };
        run.end();
        json(&echo)
    }
}

impl Digest {
    /// Reads a body to its end.
    async fn read(&mut self, body: Option<Incoming>) -> Result<(), Hangup> {
        let Some(mut body) = body else {
            return Ok(());
        };
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| Hangup)?;
            if let Ok(data) = frame.into_data() {
                self.add(&data);
            }
        }
        Ok(())
    }

    /// Takes the next bytes of the body.
    fn add(&mut self, data: &Bytes) {
        self.bytes += data.len() as u64;
        self.hash.write(data);
        let room = SEARCHED - self.start.len();
        self.start.extend_from_slice(&data[..data.len().min(room)]);
    }

    /// Returns whether the beginning of the body contains `text`.
    fn contains(&self, text: &[u8]) -> bool {
        !text.is_empty() && self.start.windows(text.len()).any(|part| part == text)
    }
}

impl Drop for Queued<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Refuses a request that did not run.
fn not_run(code: StatusCode, reason: &'static str) -> Answer {
    let mut answer = status(code);
    answer.headers_mut().insert("whinspring-not-run", HeaderValue::from_static(reason));
    answer
}

/// Refuses a request to shed load.
fn shed() -> Answer {
    let mut answer = not_run(StatusCode::SERVICE_UNAVAILABLE, "shed");
    answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
    answer
}
