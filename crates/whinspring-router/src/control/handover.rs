//! Handover of keys from one server to another.
//!
//! The former owner is granted the keys once more, with a fencing token of its own, and then
//! releases them; it thus rejects any older grant that is still in flight. Only then is the new
//! owner granted the keys. A former owner that cannot be reached keeps its keys until every lease
//! that it may hold has expired, including those of an earlier controller, unless another server
//! responds at its address ([`whinspring::server_end`]). A server that has restarted under its name may
//! have accepted grants that were meant for its previous instance, so that the new instance must release
//! the keys as well.
//!
//! Which of two servers with entries at one address has ended cannot be told from their entries:
//! that of a server that has ended may be written again after an outage. The server at the address
//! tells, as it refuses commands that are meant for another one.

use {
    super::{
        FENCE_STEP,
        grants::{command, current_ownership, grant, lease_terms, max_lease},
        leases::lease_end,
        progress::Outcome,
        servers::{address, note_refusal, restarted_as},
    },
    crate::{
        node::Node,
        notices, owners,
        platform::{Platform, Reply},
    },
    log::{info, warn},
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::{task::spawn_local, time::sleep},
    whinspring::{
        name::Name,
        ranges::{Instance, Ownership, Span},
        server_end::EndProof,
        time::Tick,
    },
};

/// Duration of the lease that fences older grants before a release.
const RELEASE_LEASE: Duration = Duration::from_secs(1);

/// The same for a handover of an earlier controller, where the new owner may hold the keys already.
const INHERITED_LEASE: Duration = Duration::from_millis(300);

/// Time for which finished handovers are batched into one message to the other nodes.
const ANNOUNCE_DELAY: Duration = Duration::from_millis(20);

const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Starts the pending handovers that are not running yet, in the order in which they were planned.
pub(super) fn start_handovers<P: Platform>(node: &Rc<Node<P>>, service: &Name, owned: &Ownership) {
    let now = node.now();
    if let Some(progress) = node.control.borrow_mut().handovers.get_mut(service) {
        progress.released.retain(|key, _| owned.is_pending(key));
    }
    let mut pending: Vec<&Span> = owned.spans.iter().filter(|span| span.former.is_some()).collect();
    pending.sort_by_key(|span| span.fence);
    for span in pending {
        if node.control.borrow().is_unsettled(span) {
            continue;
        }
        if is_inherited(node, service, span) && !node.control.borrow().predecessor_expired(now) {
            continue;
        }
        let mut control = node.control.borrow_mut();
        let progress = control.handovers.entry(service.clone()).or_default();
        if progress.finished.contains(&span.handover()) || !progress.running.insert(span.handover())
        {
            continue;
        }
        spawn_local(run_handover(node.clone(), service.clone(), span.clone()));
    }
}

/// Releases a span from its former owner and grants it to the new one.
async fn run_handover<P: Platform>(node: Rc<Node<P>>, service: Name, span: Span) {
    let outcome = hand_over(&node, &service, &span).await;
    let now = node.now();
    let starts_batch = {
        let mut control = node.control.borrow_mut();
        let Some(progress) = control.handovers.get_mut(&service) else { return };
        progress.record_end(now, span.handover(), outcome);
        outcome == Outcome::Granted && progress.unannounced.len() == 1
    };
    if !starts_batch {
        return;
    }
    sleep(ANNOUNCE_DELAY).await;
    announce(&node, &service);
}

/// Releases a span from its former owner, unless that has been done, and grants it to the new one.
///
/// A release is not repeated: the new owner may hold the keys already, under a higher fencing token.
async fn hand_over<P: Platform>(node: &Rc<Node<P>>, service: &Name, span: &Span) -> Outcome {
    let key = span.handover();
    let known = {
        let control = node.control.borrow();
        control.handovers.get(service).and_then(|progress| progress.released.get(&key).cloned())
    };
    let token = match known {
        Some(token) => token,
        None => {
            let Some(token) = release(node, service, span).await else { return Outcome::Obsolete };
            let mut control = node.control.borrow_mut();
            let Some(progress) = control.handovers.get_mut(service) else {
                return Outcome::Obsolete;
            };
            progress.released.insert(key, token.clone());
            token
        }
    };
    grant_to_owner(node, service, span, token).await
}

/// Tells all nodes which handovers have finished since they were last told.
fn announce<P: Platform>(node: &Rc<Node<P>>, service: &Name) {
    let handovers = {
        let mut control = node.control.borrow_mut();
        let Some(progress) = control.handovers.get_mut(service) else { return };
        std::mem::take(&mut progress.unannounced)
    };
    owners::announce_handovers(node, service, &handovers);
}

/// Grants a span to its new owner.
async fn grant_to_owner<P: Platform>(
    node: &Rc<Node<P>>,
    service: &Name,
    span: &Span,
    token: Option<Name>,
) -> Outcome {
    loop {
        if !is_current(node, service, span) {
            return Outcome::Obsolete;
        }
        let Some(addr) = address(node, &span.owner) else { return Outcome::Rejected };
        let now = node.now();
        let allowed = node.control.borrow().may_hand_over(now);
        if !allowed || !node.control.borrow_mut().may_contact(now, &span.owner) {
            sleep(RETRY_DELAY).await;
            continue;
        }
        match grant(node, service, span, addr, lease_terms(node).handover(), token.clone()).await {
            Reply::Done(_) => return Outcome::Granted,
            Reply::Fenced | Reply::Down | Reply::Replaced => return Outcome::Rejected,
            Reply::Unsent | Reply::NewConnection | Reply::NoResponse => sleep(RETRY_DELAY).await,
        }
    }
}

/// Releases a span from its former owner. Returns the state token that the owner gave, if any, or
/// `None` if the handover is obsolete.
async fn release<P: Platform>(
    node: &Rc<Node<P>>,
    service: &Name,
    span: &Span,
) -> Option<Option<Name>> {
    let former = span.former.as_ref()?;
    let begun = node.now();
    let mut number = 0;
    let proof = loop {
        if !is_current(node, service, span) {
            return None;
        }
        let restarted = restarted_as(node, former);
        if restarted.as_ref() == Some(&span.owner) {
            break EndProof::Restarted;
        }
        let holder = restarted.as_ref().unwrap_or(former);
        let now = node.now();
        let addr = address(node, holder);
        let deadline = || {
            let own = release_deadline(node, service, span, former);
            own.max(release_deadline(node, service, span, holder))
        };
        if let Some(addr) = addr.filter(|_| node.control.borrow_mut().may_contact(now, holder)) {
            number = (number + 1).min(FENCE_STEP - 1);
            let fenced = fenced_span(span, number, holder);
            match release_once(node, service, span, &fenced, addr).await {
                Reply::Done(token) => return Some(token),
                Reply::Replaced => break EndProof::Replaced,
                Reply::Down => note_refusal(node, holder, deadline()),
                Reply::Fenced => node.metrics.count("release_fenced"),
                Reply::Unsent | Reply::NewConnection | Reply::NoResponse => {}
            }
        }
        if now > deadline() {
            break EndProof::Expired;
        }
        sleep(RETRY_DELAY).await;
    };
    record_end(node, service, span, proof, node.now().since(begun));
    Some(None)
}

/// Counts and logs why a span may be granted to its new owner though the former one has not released it.
fn record_end<P: Platform>(
    node: &Rc<Node<P>>,
    service: &Name,
    span: &Span,
    proof: EndProof,
    waited: Duration,
) {
    let service = service.as_str();
    let former = span.former.as_ref().map_or("", |former| former.server.as_str());
    let Span { first, last, .. } = *span;
    let waited_ms = waited.as_millis() as u64;
    match proof {
        EndProof::Expired => {
            node.metrics.count("waited_out");
            warn!(event = "waited_out", service, former, first, last, waited_ms; "former owner cannot be reached, but its leases have expired; granting its keys to the new owner");
        }
        EndProof::Restarted | EndProof::Replaced => {
            node.metrics.count("server_ended");
            info!(event = "server_ended", service, former, first, last, proof = proof.text(), waited_ms; "former owner has ended; granting its keys to the new owner");
        }
    }
}

/// Returns when all leases of an unreachable former owner have expired.
///
/// A server that has accepted a grant of this controller rejects those of earlier ones from then
/// on, but keeps the keys for as long as the longest grant that it accepted before.
fn release_deadline<P: Platform>(
    node: &Rc<Node<P>>,
    service: &Name,
    span: &Span,
    former: &Instance,
) -> Tick {
    let control = node.control.borrow();
    let expiry = control.leases.expiry(service, former, span.first, span.last);
    if control.first {
        return expiry;
    }
    let covered = control.leases.covered_since(
        service,
        former,
        (span.first, span.last),
        control.first_fence(),
    );
    let last = match covered {
        Some(since) => since.min(control.earlier_last_command()),
        None => control.predecessors_last_command(),
    };
    let terms = lease_terms(node);
    let bounded = terms.end_of(last, control.elected_at);
    let earlier = if control.is_bounded { bounded } else { lease_end(last, max_lease(node)) };
    expiry.max(earlier)
}

/// Returns a span for its former owner, with a fencing token above those of all older grants.
///
/// Each attempt uses a higher token than the ones before it, which may still be in flight.
fn fenced_span(span: &Span, number: u64, former: &Instance) -> Span {
    let (first, last) = (span.first, span.last);
    let fence = span.fence - FENCE_STEP + number;
    Span { first, last, fence, owner: former.clone(), former: None }
}

/// Makes one attempt to have the former owner release a span.
async fn release_once<P: Platform>(
    node: &Rc<Node<P>>,
    service: &Name,
    span: &Span,
    fenced: &Span,
    addr: SocketAddr,
) -> Reply {
    match fence_former(node, service, span, fenced, addr).await {
        Reply::Done(_) => {
            let release = command(node, fenced, Duration::ZERO, None);
            let answer = node.platform.release(addr, &release).await;
            notices::hear_answer(node, &fenced.owner, addr, answer)
        }
        other => other,
    }
}

/// Grants a span to its former owner for a short time, so that it rejects all older grants.
async fn fence_former<P: Platform>(
    node: &Rc<Node<P>>,
    service: &Name,
    span: &Span,
    fenced: &Span,
    addr: SocketAddr,
) -> Reply {
    let sent = node.now();
    if !node.control.borrow().may_hand_over(sent) {
        return Reply::Unsent;
    }
    let duration = if is_inherited(node, service, span) { INHERITED_LEASE } else { RELEASE_LEASE };
    let sent_grant =
        node.control.borrow_mut().leases.entry(service, fenced).record_send(sent, duration);
    let answer = node.platform.grant(addr, &command(node, fenced, duration, None)).await;
    let reply = notices::hear_answer(node, &fenced.owner, addr, answer);
    let now = node.now();
    let mut control = node.control.borrow_mut();
    control.leases.entry(service, fenced).record_reply(&sent_grant, &reply, now);
    control.record_reply(&fenced.owner, &reply, sent);
    reply
}

/// Returns whether an earlier controller began the handover, so that the new owner may hold the
/// keys already.
fn is_inherited<P: Platform>(node: &Rc<Node<P>>, service: &Name, span: &Span) -> bool {
    let control = node.control.borrow();
    let progress = control.handovers.get(service);
    progress.is_some_and(|progress| progress.inherited.contains(&span.handover()))
}

/// Returns whether a span is unchanged and this node may still send commands. A handover that was
/// begun in an earlier era is not continued.
pub(super) fn is_current<P: Platform>(node: &Rc<Node<P>>, service: &Name, span: &Span) -> bool {
    let Some((_, owned)) = current_ownership(node, service) else { return false };
    let unchanged = owned.find(span.first).is_some_and(|found| {
        found.first == span.first && found.last == span.last && found.fence == span.fence
    });
    let control = node.control.borrow();
    let begun_before = span.former.is_some() && control.is_unsettled(span);
    unchanged && !begun_before && control.may_command(node.now())
}
