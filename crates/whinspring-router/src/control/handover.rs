//! Hand-overs of keys from one server to another.
//!
//! The former owner is granted the keys once more under a number of its own and then releases
//! them, so that any older grant still on its way to it is refused; then the new owner gets its
//! grant. A former owner that cannot be reached keeps its keys until every grant that it may have
//! got has run out, including those of an earlier controller, unless it is dead for certain. A
//! server that has started again under its name may have taken orders that were meant for its life
//! before, so that the new life is made to release the keys, too.

use {
    super::{
        FENCE_STEP,
        grants::{grant, longest_hold, own, short_hold},
        holds::end_of,
        moves,
        servers::{address, ask_around, is_dead, is_over, reborn},
    },
    crate::{
        node::Node,
        platform::{Grant, Platform, Reply},
    },
    log::warn,
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::{task::spawn_local, time::sleep},
    whinspring::{
        name::Name,
        ranges::{Instance, Ownership, Span},
        time::Tick,
    },
};

/// Length of the grant that shuts older ones out before a release.
const RELEASE_HOLD: Duration = Duration::from_secs(1);

/// The same where the next owner may hold the keys already.
const INHERITED_HOLD: Duration = Duration::from_millis(300);

/// Pause before an order is repeated.
const REPEAT_PAUSE: Duration = Duration::from_millis(150);

/// Starts the hand-overs that are not under way.
pub(super) fn hand_over<P: Platform>(node: &Rc<Node<P>>, service: &Name, owned: &Ownership) {
    let now = node.now();
    for span in owned.spans.iter().filter(|span| span.former.is_some()) {
        if is_inherited(node, service, span) && !node.control.borrow().is_alone(now) {
            continue;
        }
        let mut control = node.control.borrow_mut();
        let progress = control.moves.entry(service.clone()).or_default();
        if progress.settled.contains(&key(span)) || !progress.busy.insert(key(span)) {
            continue;
        }
        spawn_local(hand_over_one(node.clone(), service.clone(), span.clone()));
    }
}

/// Returns what a hand-over is known by.
pub(super) fn key(span: &Span) -> moves::Key {
    moves::Key { first: span.first, last: span.last, fence: span.fence }
}

/// Takes a span from its former owner and grants it to the new one.
async fn hand_over_one<P: Platform>(node: Rc<Node<P>>, service: Name, span: Span) {
    let token = release(&node, &service, &span).await;
    let settled = match token {
        Some(token) => give(&node, &service, &span, token).await,
        None => false,
    };
    let now = node.now();
    let mut control = node.control.borrow_mut();
    let Some(progress) = control.moves.get_mut(&service) else { return };
    progress.busy.remove(&key(&span));
    if settled {
        progress.settled.insert(key(&span));
        progress.oldest.get_or_insert(now);
    }
}

/// Grants a span to its new owner; returns whether it did.
async fn give<P: Platform>(
    node: &Rc<Node<P>>,
    service: &Name,
    span: &Span,
    token: Option<Name>,
) -> bool {
    loop {
        if !is_current(node, service, span) {
            return false;
        }
        let Some(addr) = address(node, &span.owner) else { return true };
        if !node.control.borrow().may_move(node.now()) {
            sleep(REPEAT_PAUSE).await;
            continue;
        }
        match grant(node, service, span, addr, short_hold(node), token.clone()).await {
            Reply::Done(_) | Reply::Fenced | Reply::Down | Reply::Replaced => return true,
            Reply::Unsent | Reply::Silent => sleep(REPEAT_PAUSE).await,
        }
    }
}

/// Takes a span from its former owner; `None` if it is not to be handed over any more.
async fn release<P: Platform>(
    node: &Rc<Node<P>>,
    service: &Name,
    span: &Span,
) -> Option<Option<Name>> {
    let former = span.former.as_ref()?;
    let mut number = 0;
    loop {
        if !is_current(node, service, span) {
            return None;
        }
        let reborn = reborn(node, former).filter(|life| *life != span.owner);
        if reborn.is_none() && is_over(node, former) {
            return Some(None);
        }
        let holder = reborn.as_ref().unwrap_or(former);
        let now = node.now();
        if let Some(addr) = address(node, holder) {
            number = (number + 1).min(FENCE_STEP - 1);
            let raised = raised(span, number, holder);
            match release_once(node, service, span, &raised, addr).await {
                Reply::Done(token) => return Some(token),
                Reply::Replaced => return Some(None),
                Reply::Down if is_dead(node, holder, addr) => return Some(None),
                Reply::Down => ask_around(node, addr),
                Reply::Fenced => node.metrics.count("release_fenced"),
                Reply::Unsent | Reply::Silent => {}
            }
        }
        let free = free_at(node, service, span, former).max(free_at(node, service, span, holder));
        if now > free {
            warn!(event = "waited_out", service = service.as_str(), former = former.server.as_str(), first = span.first, last = span.last; "a former owner was not reached");
            return Some(None);
        }
        sleep(REPEAT_PAUSE).await;
    }
}

/// Returns when a former owner that cannot be reached holds a span no more.
///
/// A server that took a grant of this controller refuses those of earlier ones.
fn free_at<P: Platform>(
    node: &Rc<Node<P>>,
    service: &Name,
    span: &Span,
    former: &Instance,
) -> Tick {
    let control = node.control.borrow();
    let own = control.holds.until(service, former, span.first, span.last);
    if control.term == 1 || control.holds.covers(service, former, span.first, span.last) {
        return own;
    }
    own.max(end_of(control.last_order(), longest_hold(node)))
}

/// Returns a span as a former owner is granted it before a release, under a fence that older grants
/// do not reach.
///
/// Each try has a higher fence than those before it, which may still be on their way.
fn raised(span: &Span, number: u64, former: &Instance) -> Span {
    let (first, last) = (span.first, span.last);
    let fence = span.fence - FENCE_STEP + number;
    Span { first, last, fence, owner: former.clone(), former: None }
}

/// Tells the former owner of a span once to release it.
async fn release_once<P: Platform>(
    node: &Rc<Node<P>>,
    service: &Name,
    span: &Span,
    raised: &Span,
    addr: SocketAddr,
) -> Reply {
    match raise_once(node, service, span, raised, addr).await {
        Reply::Done(_) => {
            let order = Grant::new(raised, Duration::ZERO, None);
            node.platform.release(addr, &order).await
        }
        other => other,
    }
}

/// Grants a span to a server for a short time, so that it refuses all older grants.
async fn raise_once<P: Platform>(
    node: &Rc<Node<P>>,
    service: &Name,
    span: &Span,
    raised: &Span,
    addr: SocketAddr,
) -> Reply {
    let sent = node.now();
    if !node.control.borrow().may_move(sent) {
        return Reply::Unsent;
    }
    let hold = if is_inherited(node, service, span) { INHERITED_HOLD } else { RELEASE_HOLD };
    let before = node.control.borrow_mut().holds.get(service, raised).send(sent, hold);
    let reply = node.platform.grant(addr, &Grant::new(raised, hold, None)).await;
    let mut control = node.control.borrow_mut();
    if matches!(reply, Reply::Down | Reply::Unsent | Reply::Replaced) {
        control.holds.get(service, raised).until = before;
    }
    control.note_reply(&raised.owner, &reply, sent);
    reply
}

/// Returns whether an earlier controller began a hand-over, so that the new owner may hold its keys
/// already.
fn is_inherited<P: Platform>(node: &Rc<Node<P>>, service: &Name, span: &Span) -> bool {
    let control = node.control.borrow();
    let progress = control.moves.get(service);
    progress.is_some_and(|progress| progress.inherited.contains(&key(span)))
}

/// Returns whether a span still stands as it is, and this node may still give orders.
pub(super) fn is_current<P: Platform>(node: &Rc<Node<P>>, service: &Name, span: &Span) -> bool {
    let Some((_, owned)) = own(node, service) else { return false };
    let stands = owned.find(span.first).is_some_and(|found| {
        found.first == span.first && found.last == span.last && found.fence == span.fence
    });
    stands && node.control.borrow().may_order(node.now())
}
