//! Forwarding of callers' requests to holders.
//!
//! Drives a [`Dispatch`]: forwards the request to the holder that it selects, locally or over a
//! link, and returns the head of the response or the refusal that the caller gets instead.

use {
    crate::{
        exchange::{ResponsePart, ResponseStream, Serve, UploadSender, open_local},
        journal::{EventKind, Hop},
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

/// The remaining time divided by this is reserved for the holder's response to arrive here.
const MARGIN_DIVISOR: u32 = 10;

/// Largest part of the remaining time reserved for the holder's response to arrive here.
const MAX_MARGIN: Duration = Duration::from_millis(10);

/// A validated request with the first bytes of its body.
#[derive(Debug)]
pub struct CallerRequest {
    pub method: Method,
    /// Path and query.
    pub path: Name,
    /// Headers forwarded to the server.
    pub headers: HeaderMap,
    /// Metadata used for routing and deduplication.
    pub meta: Meta,
    /// Time by which the response must be sent to the caller.
    pub deadline: Tick,
    /// First bytes of the body.
    pub body: Bytes,
    /// Whether `body` is the complete body.
    pub whole: bool,
    /// Length of the complete body, if known.
    pub length: Option<u64>,
}

/// Remainder of a request's body.
pub trait BodySource {
    /// Starts a task that sends the remainder once the holder grants credit.
    fn start_upload(&self, upload: UploadSender);

    /// Returns whether part of the remainder has been sent, so that the request cannot be resent.
    fn is_consumed(&self) -> bool;
}

/// Forwards a request, with retries, until it is answered.
///
/// # Errors
///
/// Returns the refusal that the caller gets in place of the server's response.
pub async fn forward_request<S: BodySource>(
    shared: &Arc<Shared>,
    request: CallerRequest,
    source: &S,
) -> Result<(Box<Head>, ResponseStream), Refusal> {
    let now = shared.clock.now();
    let mut dispatch =
        Dispatch::new(request.meta.clone(), now, request.deadline, fastrand::u64(..));
    let mut changes = shared.view_changes();
    loop {
        changes.mark_unchanged();
        let view = shared.view();
        let step = dispatch.next(shared.clock.now(), &view, &mut shared.entry_state.lock());
        let target = match step {
            Step::Forward(target) => target,
            Step::Answer(refusal) => return Err(refusal),
            Step::Wait(until) => {
                let wait = until.since(shared.clock.now());
                let _ = timeout(wait, changes.changed()).await;
                continue;
            }
        };
        drop(view);
        let id = &request.meta.id;
        shared.journal.add(id, Hop::Entry, EventKind::Forwarded(target.clone()));
        let outcome = match attempt(shared, &request, dispatch.meta(), target, source).await {
            Ok(response) => return Ok(response),
            Err(outcome) => outcome,
        };
        shared.journal.add(id, Hop::Entry, EventKind::Failed(outcome));
        if let Some(refusal) = final_refusal(shared, &request, outcome, source) {
            return Err(refusal);
        }
        dispatch.record_outcome(shared.clock.now(), outcome);
    }
}

/// Forwards a request once.
async fn attempt<S: BodySource>(
    shared: &Arc<Shared>,
    request: &CallerRequest,
    meta: &Meta,
    target: Target,
    source: &S,
) -> Result<(Box<Head>, ResponseStream), Outcome> {
    let left = request.deadline.since(shared.clock.now());
    let server = target.server;
    let open = Box::new(build_open(request, meta, target, left));
    let mut response = send(shared, open).await?;
    if !request.whole {
        source.start_upload(response.upload_sender());
    }
    let left = request.deadline.since(shared.clock.now());
    let part = tokio::select! {
        biased;
        part = response.next() => part,
        () = sleep(left) => return Err(Outcome::Refused(Refusal { code: Code::Deadline, retry_ms: 0 }))
    };
    match part {
        ResponsePart::Head(head) => {
            if meta.place.is_none() {
                record_load(shared, meta, server, &head);
            }
            Ok((head, response))
        }
        ResponsePart::Refuse(Reason::Misrouted) => Err(Outcome::Misrouted),
        ResponsePart::Refuse(Reason::Refused(refusal)) => Err(Outcome::Refused(refusal)),
        ResponsePart::Data { .. } | ResponsePart::Broken => Err(Outcome::Broken),
    }
}

/// Records the load of an unkeyed service's server as reported by its holder.
fn record_load(shared: &Shared, meta: &Meta, server: ServerId, head: &Head) {
    let now = shared.clock.now();
    let mut entry_state = shared.entry_state.lock();
    entry_state.outstanding.update(now, &meta.service, server, head.running, head.queued);
}

/// Sends a request to its holder, locally or over a link.
async fn send(shared: &Arc<Shared>, open: Box<Open>) -> Result<ResponseStream, Outcome> {
    let target = &open.target;
    if target.node == shared.node {
        let (response, call) = open_local(open.clone(), shared.clock.now() + open.left);
        shared.serve(call);
        return Ok(response);
    }
    let addr = shared.view().addr(&target.node).ok_or(Outcome::Unreachable)?;
    let links = shared.links().ok_or(Outcome::Unreachable)?;
    let peer = Peer { name: target.node.clone(), addr };
    let left = open.left;
    let response = timeout(left, links.open(&peer, open)).await;
    response.ok().and_then(Result::ok).ok_or(Outcome::Unreachable)
}

/// Builds the message to the holder.
fn build_open(request: &CallerRequest, meta: &Meta, target: Target, left: Duration) -> Open {
    let margin = MAX_MARGIN.min(left / MARGIN_DIVISOR);
    Open {
        stream: 0,
        method: request.method.clone(),
        path: request.path.clone(),
        headers: request.headers.clone(),
        meta: meta.clone(),
        target,
        left: left - margin,
        body: request.body.clone(),
        whole: request.whole,
        length: request.length,
    }
}

/// Returns the refusal for the caller if the request cannot be forwarded again.
fn final_refusal<S: BodySource>(
    shared: &Shared,
    request: &CallerRequest,
    outcome: Outcome,
    source: &S,
) -> Option<Refusal> {
    if shared.clock.now() >= request.deadline
        && let Outcome::Refused(refusal) = outcome
    {
        return Some(refusal);
    }
    if !source.is_consumed() {
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
