//! What servers say of themselves, as this node hears it: in the store, in their responses, and from
//! other nodes. [`whinspring::notices`] decides what follows from it.

use {
    crate::{node::Node, platform::Platform},
    std::{rc::Rc, time::Duration},
    whinspring::{
        name::Name,
        notices::{Purpose, Refusal},
        time::Tick,
    },
};

/// Time before the end of a server's drain at which it gets its last request.
const DRAIN_MARGIN: Duration = Duration::from_millis(700);

/// The same in a large cluster, where most nodes hear of a server's notice from a watcher, over a
/// link that carries hundreds of other changes.
const RELAYED_DRAIN_MARGIN: Duration = Duration::from_millis(1_300);

/// Checks whether a request may go to a server at `now`, as far as this node knows.
pub fn check<P: Platform>(
    node: &Rc<Node<P>>,
    server: &Name,
    purpose: Purpose,
    now: Tick,
) -> Result<(), Refusal> {
    node.view.borrow().notices.check(server, purpose, now, usable_drain(node))
}

/// Returns the time for which a leaving server gets requests.
pub fn usable_drain<P: Platform>(node: &Rc<Node<P>>) -> Duration {
    let drain = Duration::from_millis(node.settings.limits.drain_ms.into());
    let is_large = node.peers.borrow().is_large_cluster();
    drain.saturating_sub(if is_large { RELAYED_DRAIN_MARGIN } else { DRAIN_MARGIN })
}
