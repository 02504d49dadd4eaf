//! Ownership after the store has come back from an older copy of itself.
//!
//! What controllers wrote in the lost part of the history is gone, but the servers still hold the
//! keys that they granted then. The first controller of the new era therefore asks all nodes for the
//! newest owners that they know, writes those again, and grants nothing new for the time being: it
//! renews the leases of the known owners under their known fencing tokens only. A server that has
//! released keys since has seen a higher token, and refuses. A server that accepts once no
//! controller of an earlier era hands keys over any more still is the only holder: the span is
//! settled, and gets a token of the new era, above all earlier ones. Spans that nobody confirms are
//! settled when every lease that may have been granted in the lost history has expired; so are all
//! if the newest known owners were only found in the copy, with their tokens cleared.

use {
    super::{
        COMMAND_TIMEOUT, Controller, HANDOVER_TIMEOUT,
        grants::{current_ownership, max_lease, write_ownership},
        leases::{DELIVERY_MARGIN, lease_time},
    },
    crate::{
        message::{Body, FetchRequest},
        node::Node,
        platform::{Kind, Platform},
    },
    log::info,
    std::{rc::Rc, time::Duration},
    whinspring::{name::Name, ranges::Span, time::Tick},
};

/// Age of an era from which on no controller of an earlier one hands keys over. A server that
/// accepts an old fencing token after that has not released the keys since.
const SETTLE_AGE: Duration = HANDOVER_TIMEOUT.saturating_add(DELIVERY_MARGIN);

/// Time for the other nodes to send the owners that they know.
const GATHER_DELAY: Duration = Duration::from_millis(300);

/// Minimum time between two writes that settle spans.
const SETTLE_INTERVAL: Duration = Duration::from_millis(700);

/// Asks all nodes for the owners that they know, if the store may have lost some.
pub(super) fn gather_owners<P: Platform>(node: &Rc<Node<P>>) {
    if node.control.borrow().restored {
        node.send_all(Body::FetchRequest(FetchRequest { kind: Kind::Owners.number() }));
    }
}

/// Returns whether other nodes may still send newer owners of a service.
pub(super) fn is_gathering<P: Platform>(node: &Rc<Node<P>>, service: &Name, now: Tick) -> bool {
    let control = node.control.borrow();
    let view = node.view.borrow();
    let Some((_, owned)) = view.owners.get(service) else { return false };
    let unsettled = owned.spans.iter().any(|span| control.is_unsettled(span));
    unsettled && now < control.elected_at + GATHER_DELAY
}

/// Returns whether servers may hold keys by a grant that the store has lost.
pub(super) fn may_be_held<P: Platform>(node: &Rc<Node<P>>, now: Tick) -> bool {
    node.control.borrow().restored && !have_lapsed(node, now)
}

/// Returns whether the last lease has expired that a controller of an earlier era may have granted.
/// The store confirmed that controller for the last time before the era began.
fn have_lapsed<P: Platform>(node: &Rc<Node<P>>, now: Tick) -> bool {
    node.era_age(now) > COMMAND_TIMEOUT + lease_time(max_lease(node))
}

/// Gives fencing tokens of this era to the spans whose holder is certain by now.
pub(super) async fn settle<P: Platform>(node: &Rc<Node<P>>, service: &Name, now: Tick) {
    let Some((_, owned)) = current_ownership(node, service) else { return };
    let lapsed = have_lapsed(node, now);
    let mut next = (*owned).clone();
    let (mut settled, mut left) = (0, 0);
    {
        let mut control = node.control.borrow_mut();
        let control = &mut *control;
        let progress = control.handovers.entry(service.clone()).or_default();
        if progress.writing || now.since(progress.settled) < SETTLE_INTERVAL {
            return;
        }
        for span in &mut next.spans {
            if !control.is_unsettled(span) {
                continue;
            }
            if !lapsed && !is_confirmed(node, control, service, span) {
                left += 1;
                continue;
            }
            settled += 1;
            span.fence = control.fence();
            if span.former.is_some() {
                let progress = control.handovers.entry(service.clone()).or_default();
                progress.inherited.insert(span.handover());
            }
        }
        if settled == 0 {
            return;
        }
        control.handovers.entry(service.clone()).or_default().settled = now;
    }
    info!(event = "settled", service = service.as_str(), spans = settled, left, lapsed; "keys whose holder is certain after the return of the store get new fencing tokens");
    write_ownership(node, service, next).await;
}

/// Returns whether the owner of a span has accepted its old fencing token so late that nobody else
/// holds the keys.
fn is_confirmed<P: Platform>(
    node: &Rc<Node<P>>,
    control: &mut Controller,
    service: &Name,
    span: &Span,
) -> bool {
    let accepted = control.leases.entry(service, span).acked;
    span.former.is_none() && accepted.is_some_and(|at| node.era_age(at) > SETTLE_AGE)
}
