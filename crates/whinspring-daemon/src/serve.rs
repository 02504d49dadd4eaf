//! The way of one request through this entry.
//!
//! Drives a [`Flight`]: forwards the request to the holder that it names, locally or over a link,
//! and returns the start of the answer or the result that the caller gets instead.

use {
    crate::{
        exchange::{ResponsePart, ResponseStream, Serve, UploadSender, open_local},
        journal::{Hop, What},
        shared::Shared,
    },
    bytes::Bytes,
    http::{HeaderMap, Method},
    std::{sync::Arc, time::Duration},
    tokio::time::{sleep, timeout},
    whinspring::{
        code::Code,
        control::Peer,
        entry::{Dispatch, Outcome, Step},
        name::{Name, ServerId},
        request::{Meta, Refusal, Target},
        time::Tick,
    },
    whinspring_wire::link::{Head, Open, Reason},
};

/// Part of the time left that a holder's answer may take to get here, at most.
const MARGIN_SHARE: u32 = 10;

/// Longest time that a holder's answer may take to get here.
const MARGIN_MOST: Duration = Duration::from_millis(10);

/// A request of a caller.
#[derive(Debug)]
pub struct Inquiry {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: Name,
    /// Headers passed on to the server.
    pub headers: HeaderMap,
    /// What the request is about.
    pub meta: Meta,
    /// When the caller must have an answer.
    pub deadline: Tick,
    /// First bytes of the body.
    pub body: Bytes,
    /// Whether the body is complete.
    pub whole: bool,
    /// Length of the whole body, if it is known.
    pub length: Option<u64>,
}

/// The rest of a request's body.
pub trait Source {
    /// Starts to send the rest of the body once the holder asks for it.
    fn begin(&self, uplink: UploadSender);

    /// Returns whether bytes of the rest have been sent, so that they cannot be sent again.
    fn is_used(&self) -> bool;
}

/// Forwards a request until it is answered.
///
/// # Errors
///
/// Fails with the result that the caller gets in place of the server's answer.
pub async fn fly<S: Source>(
    shared: &Arc<Shared>,
    inquiry: Inquiry,
    source: &S,
) -> Result<(Box<Head>, ResponseStream), Refusal> {
    let now = shared.clock.now();
    let mut flight = Dispatch::new(inquiry.meta.clone(), now, inquiry.deadline, fastrand::u64(..));
    let mut changes = shared.changes();
    loop {
        changes.mark_unchanged();
        let view = shared.view();
        let step = flight.next(shared.clock.now(), &view, &mut shared.budget.lock());
        let target = match step {
            Step::Forward(target) => target,
            Step::Answer(refusal) => return Err(refusal),
            Step::Wait(until) => {
                let span = until.since(shared.clock.now());
                let _ = timeout(span, changes.changed()).await;
                continue;
            }
        };
        drop(view);
        let id = &inquiry.meta.id;
        shared.journal.add(id, Hop::Entry, What::Forwarded(target.clone()));
        let outcome = match attempt(shared, &inquiry, flight.meta(), target, source).await {
            Ok(answer) => return Ok(answer),
            Err(outcome) => outcome,
        };
        shared.journal.add(id, Hop::Entry, What::Failed(outcome));
        if let Some(refusal) = last(shared, &inquiry, outcome, source) {
            return Err(refusal);
        }
        flight.record_outcome(shared.clock.now(), outcome);
    }
}

/// Forwards a request once.
async fn attempt<S: Source>(
    shared: &Arc<Shared>,
    inquiry: &Inquiry,
    meta: &Meta,
    target: Target,
    source: &S,
) -> Result<(Box<Head>, ResponseStream), Outcome> {
    let left = inquiry.deadline.since(shared.clock.now());
    let server = target.server;
    let open = Box::new(open(inquiry, meta, target, left));
    let mut answer = send(shared, open).await?;
    if !inquiry.whole {
        source.begin(answer.upload_sender());
    }
    let left = inquiry.deadline.since(shared.clock.now());
    let part = tokio::select! {
        biased;
        part = answer.next() => part,
        () = sleep(left) => return Err(Outcome::Refused(Refusal { code: Code::Deadline, retry_ms: 0 }))
    };
    match part {
        ResponsePart::Head(head) => {
            if meta.place.is_none() {
                learn(shared, meta, server, &head);
            }
            Ok((head, answer))
        }
        ResponsePart::Refuse(Reason::Misrouted) => Err(Outcome::Misrouted),
        ResponsePart::Refuse(Reason::Refused(refusal)) => Err(Outcome::Refused(refusal)),
        ResponsePart::Data { .. } | ResponsePart::Broken => Err(Outcome::Broken),
    }
}

/// Takes in what the holder of an unkeyed service's server says of its load.
fn learn(shared: &Shared, meta: &Meta, server: ServerId, head: &Head) {
    let now = shared.clock.now();
    let mut budget = shared.budget.lock();
    budget.outstanding.update(now, &meta.service, server, head.running, head.queued);
}

/// Hands a request to its holder.
async fn send(shared: &Arc<Shared>, open: Box<Open>) -> Result<ResponseStream, Outcome> {
    let target = &open.target;
    if target.node == shared.node {
        let (answer, call) = open_local(open.clone(), shared.clock.now() + open.left);
        shared.serve(call);
        return Ok(answer);
    }
    let addr = shared.view().addr(&target.node).ok_or(Outcome::Unreachable)?;
    let links = shared.links().ok_or(Outcome::Unreachable)?;
    let peer = Peer { name: target.node.clone(), addr };
    let left = open.left;
    let answer = timeout(left, links.open(&peer, open)).await;
    answer.ok().and_then(Result::ok).ok_or(Outcome::Unreachable)
}

/// Builds the message to the holder.
fn open(inquiry: &Inquiry, meta: &Meta, target: Target, left: Duration) -> Open {
    let margin = MARGIN_MOST.min(left / MARGIN_SHARE);
    Open {
        stream: 0,
        method: inquiry.method.clone(),
        path: inquiry.path.clone(),
        headers: inquiry.headers.clone(),
        meta: meta.clone(),
        target,
        left: left - margin,
        body: inquiry.body.clone(),
        whole: inquiry.whole,
        length: inquiry.length,
    }
}

/// Returns the caller's result if the request cannot be forwarded again.
fn last<S: Source>(
    shared: &Shared,
    inquiry: &Inquiry,
    outcome: Outcome,
    source: &S,
) -> Option<Refusal> {
    if shared.clock.now() >= inquiry.deadline
        && let Outcome::Refused(refusal) = outcome
    {
        return Some(refusal);
    }
    if !source.is_used() {
        return None;
    }
    let code = match outcome {
        Outcome::Refused(refusal) => return Some(refusal),
        Outcome::Misrouted | Outcome::Unreachable => Code::NoHolder,
        Outcome::Broken => Code::HolderLost,
        Outcome::Cut => Code::Truncated,
    };
    Some(Refusal { code, retry_ms: 0 })
}
