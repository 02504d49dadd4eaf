//! Requests sent as real callers do: refused or lost requests are retried under the same id.

use {
    bytes::Bytes,
    hyper::Method,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    uuid::Uuid,
    whinspring_standin::caller::{Call, Caller, Class, End, Payload, Reply},
};

/// Time beyond the deadline after which an unanswered attempt counts as silent.
const SILENCE_GRACE: Duration = Duration::from_secs(1);

/// Delay before a retry when the response specifies none.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// A request that can be sent any number of times.
#[derive(Debug, Clone)]
pub struct Request {
    /// Request id, the same for every attempt.
    pub id: String,
    /// HTTP method; only GET is idempotent.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Value of the key header; no header if empty.
    pub key: String,
    /// Value of the customer header; no header if empty.
    pub customer: String,
    pub body: Bytes,
    /// Deadline of each attempt, in milliseconds.
    pub deadline_ms: u64,
}

/// A request and all its attempts.
#[derive(Debug, Clone)]
pub struct History {
    pub request: Request,
    /// Attempts in the order in which they were sent.
    pub attempts: Vec<Attempt>,
    /// Time from the start of the first attempt to the end of the last.
    pub elapsed: Duration,
}

/// One attempt to send a request.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Address of the entry the request was sent to.
    pub entry: SocketAddr,
    pub sent_at: Instant,
    pub reply: Reply,
}

/// Outcome of an attempt or a request as the caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// A complete, verified response.
    Done,
    /// Refused: the request did not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The connection failed, or the response was truncated.
    Lost,
    /// No complete response by the deadline.
    Silent,
    /// A complete response that does not belong to the request.
    Wrong,
}

impl Request {
    /// Returns a request with a new UUIDv7 as its id, which carries the issue time.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            id: Uuid::now_v7().to_string(),
            method,
            path: path.into(),
            key: String::new(),
            customer: String::new(),
            body: Bytes::new(),
            deadline_ms: 2_000,
        }
    }

    /// Returns whether the request is idempotent and may run more than once.
    pub fn is_repeatable(&self) -> bool {
        self.method == Method::GET
    }

    /// Returns the call for one attempt; `attempt` counts from one.
    pub fn call(&self, entry: SocketAddr, attempt: usize) -> Call {
        let mut call = Call::new(entry, self.method.clone(), self.path.clone())
            .header("whinspring-request-id", &self.id)
            .header("whinspring-attempt", &attempt.to_string())
            .header("whinspring-deadline-ms", &self.deadline_ms.to_string())
            .payload(Payload::Whole(self.body.clone()))
            .timeout(Duration::from_millis(self.deadline_ms) + SILENCE_GRACE);
        if !self.key.is_empty() {
            call = call.header("x-key", &self.key);
        }
        if !self.customer.is_empty() {
            call = call.header("x-customer", &self.customer);
        }
        call
    }
}

impl Attempt {
    /// Classifies the reply to this attempt.
    pub fn outcome(&self) -> Outcome {
        let reply = &self.reply;
        match (reply.end, reply.class) {
            (End::Silent, _) => Outcome::Silent,
            (End::Unreachable | End::Broken | End::Cut, _) => Outcome::Lost,
            (End::Whole, Some(Class::NotRun)) => Outcome::NotRun,
            (End::Whole, Some(Class::Unknown)) => Outcome::Unknown,
            (End::Whole, _) if reply.is_right() => Outcome::Done,
            (End::Whole, _) => Outcome::Wrong,
        }
    }
}

impl History {
    /// Returns the outcome of the last attempt.
    pub fn outcome(&self) -> Outcome {
        self.attempts.last().map_or(Outcome::Silent, Attempt::outcome)
    }
}

/// Sends a request and retries it, through the next entry each time, until its outcome is final.
///
/// Every retry waits for the delay given by the response, or `RETRY_DELAY` without one. A request
/// whose outcome is unknown is retried only if it is idempotent, and a refusal only if it permits a
/// retry. Gives up when the next attempt would start after `timeout`.
pub async fn send_with_retries(
    caller: &Caller,
    entries: &[SocketAddr],
    request: Request,
    timeout: Duration,
) -> History {
    let start = Instant::now();
    let first = fastrand::usize(..entries.len());
    let mut attempts = Vec::new();
    loop {
        let entry = entries[(first + attempts.len()) % entries.len()];
        let call = request.call(entry, attempts.len() + 1);
        let sent_at = Instant::now();
        let attempt = Attempt { entry, sent_at, reply: caller.send(&call).await };
        let wait = retry_delay(&request, &attempt);
        attempts.push(attempt);
        let Some(wait) = wait.filter(|wait| start.elapsed() + *wait < timeout) else {
            return History { request, attempts, elapsed: start.elapsed() };
        };
        tokio::time::sleep(wait).await;
    }
}

/// Returns the delay before the next attempt; `None` if the outcome is final.
fn retry_delay(request: &Request, attempt: &Attempt) -> Option<Duration> {
    match attempt.outcome() {
        Outcome::Done | Outcome::Wrong => None,
        Outcome::Unknown if !request.is_repeatable() => None,
        Outcome::NotRun if !attempt.reply.retry_after => None,
        _ => {
            Some(attempt.reply.retry_ms.map_or(RETRY_DELAY, |ms| Duration::from_millis(ms.into())))
        }
    }
}
