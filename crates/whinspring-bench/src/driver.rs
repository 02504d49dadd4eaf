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
const SILENCE_SLACK: Duration = Duration::from_secs(1);

/// Wait before a resend when the refusal names none.
const RESEND_WAIT: Duration = Duration::from_millis(50);

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
pub struct Story {
    /// The request.
    pub request: Request,
    /// The entry and the reply of each sending.
    pub sendings: Vec<Sending>,
    /// Time from the first sending to the end of the last.
    pub took: Duration,
}

/// One sending of a request.
#[derive(Debug, Clone)]
pub struct Sending {
    /// Entry it was sent to.
    pub entry: SocketAddr,
    /// When it was sent.
    pub began: Instant,
    /// What came back.
    pub reply: Reply,
}

/// What the caller knows in the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ending {
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
            .timeout(Duration::from_millis(self.deadline_ms) + SILENCE_SLACK);
        if !self.key.is_empty() {
            call = call.header("x-key", &self.key);
        }
        if !self.customer.is_empty() {
            call = call.header("x-customer", &self.customer);
        }
        call
    }
}

impl Sending {
    /// Returns what the caller knows after this sending.
    pub fn ending(&self) -> Ending {
        let reply = &self.reply;
        match (reply.end, reply.class) {
            (End::Silent, _) => Ending::Silent,
            (End::Unreachable | End::Broken | End::Cut, _) => Ending::Lost,
            (End::Whole, Some(Class::NotRun)) => Ending::NotRun,
            (End::Whole, Some(Class::Unknown)) => Ending::Unknown,
            (End::Whole, _) if reply.is_right() => Ending::Done,
            (End::Whole, _) => Ending::Wrong,
        }
    }
}

impl Story {
    /// Returns what the caller knows in the end.
    pub fn ending(&self) -> Ending {
        self.sendings.last().map_or(Ending::Silent, Sending::ending)
    }
}

/// Sends a request and resends it, at another entry each time, until it is settled.
///
/// A refusal is resent after the wait it names, a lost connection at once, an answer *unknown* only
/// if the request may be repeated. Gives up after `patience`.
pub async fn deliver(
    caller: &Caller,
    entries: &[SocketAddr],
    request: Request,
    patience: Duration,
) -> Story {
    let start = Instant::now();
    let first = fastrand::usize(..entries.len());
    let mut sendings = Vec::new();
    loop {
        let entry = entries[(first + sendings.len()) % entries.len()];
        let call = request.call(entry, sendings.len() + 1);
        let began = Instant::now();
        let sending = Sending { entry, began, reply: caller.send(&call).await };
        let wait = resend_wait(&request, &sending);
        sendings.push(sending);
        let Some(wait) = wait.filter(|wait| start.elapsed() + *wait < patience) else {
            return Story { request, sendings, took: start.elapsed() };
        };
        tokio::time::sleep(wait).await;
    }
}

/// Returns the wait before a resend; `None` if the request is settled.
fn resend_wait(request: &Request, sending: &Sending) -> Option<Duration> {
    match sending.ending() {
        Ending::Done | Ending::Wrong => None,
        Ending::Unknown if !request.is_repeatable() => None,
        Ending::NotRun if !sending.reply.retry_after => None,
        _ => {
            Some(sending.reply.retry_ms.map_or(RESEND_WAIT, |ms| Duration::from_millis(ms.into())))
        }
    }
}
