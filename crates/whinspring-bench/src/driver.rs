//! Callers that behave as ours do: they resend what was refused or lost, under the same id.

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

/// Wait beyond the deadline before a caller counts an exchange as silent.
const SILENCE_GRACE: Duration = Duration::from_secs(1);

/// Wait before a resend when the refusal names none.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// A request with all that is needed to send it again.
#[derive(Debug, Clone)]
pub struct Request {
    /// Its id, the same for each sending.
    pub id: String,
    /// HTTP method; all but GET may not be repeated.
    pub method: Method,
    /// Path with query.
    pub path: String,
    /// Key header; empty for none.
    pub key: String,
    /// Customer header; empty for none.
    pub customer: String,
    /// Body.
    pub body: Bytes,
    /// Deadline of each sending, in milliseconds.
    pub deadline_ms: u64,
}

/// All sendings of a request.
#[derive(Debug, Clone)]
pub struct History {
    /// The request.
    pub request: Request,
    /// The entry and the reply of each sending.
    pub attempts: Vec<Attempt>,
    /// Time from the first sending to the end of the last.
    pub elapsed: Duration,
}

/// One sending of a request.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Entry it was sent to.
    pub entry: SocketAddr,
    /// When it was sent.
    pub sent_at: Instant,
    /// What came back.
    pub reply: Reply,
}

/// What the caller knows in the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// Its own whole answer.
    Done,
    /// The request did not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The connection was lost, or the answer was cut.
    Lost,
    /// No final answer by the deadline.
    Silent,
    /// An answer that is not its own.
    Wrong,
}

impl Request {
    /// Returns a request with a fresh id that carries its issue time.
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

    /// Returns whether it may be repeated.
    pub fn is_repeatable(&self) -> bool {
        self.method == Method::GET
    }

    /// Returns the call of a sending.
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
    /// Returns what the caller knows after this sending.
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
    /// Returns what the caller knows in the end.
    pub fn outcome(&self) -> Outcome {
        self.attempts.last().map_or(Outcome::Silent, Attempt::outcome)
    }
}

/// Sends a request and resends it, at another entry each time, until it is settled.
///
/// A refusal is resent after the wait it names, a lost connection at once, an answer *unknown* only
/// if the request may be repeated. Gives up after `patience`.
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

/// Returns the wait before a resend; `None` if the request is settled.
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
