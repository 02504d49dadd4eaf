//! Planned shutdown of a node.
//!
//! The load balancer needs some time to find out that a node is leaving, and until then the node takes
//! requests as ever. After that it closes its listener and its idle connections, and waits for the
//! requests that are in progress. Those that come later all the same, because their bodies or heads took
//! long to arrive or another node does not know yet, are taken only if they end before the process does:
//! the caller of one that is cut off cannot know whether it ran, while that of a rejected one is served by
//! another node at once.

use {
    crate::{control, frontend::Connections, node::Node, peers, platform::Platform},
    log::{info, warn},
    std::{rc::Rc, time::Duration},
    tokio::{
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Time after the start of a planned shutdown in which the load balancer stops sending requests.
const BALANCER_DELAY: Duration = Duration::from_millis(2_300);

/// Fraction of the grace period, as a divisor, that a planned shutdown leaves unused before the
/// kill.
const STOP_MARGIN: u32 = 8;

/// Time for the last bytes of closing connections to be sent.
pub const FLUSH_DELAY: Duration = Duration::from_millis(30);

/// Resigns, and waits until the requests in progress have ended or the time for the shutdown has.
pub async fn run<P: Platform>(node: &Rc<Node<P>>, callers: &Connections, relaying: &Connections) {
    info!(event = "stopping"; "planned shutdown begins");
    node.leaving.set(true);
    peers::send_heartbeats(node, node.now());
    let grace = node.settings.limits.grace;
    let time = grace - grace / STOP_MARGIN;
    let end = node.now() + time;
    let stopping = node.clone();
    spawn_local(async move {
        sleep(time - time / STOP_MARGIN).await;
        stopping.close_queue();
    });
    let stop = async {
        spawn_local({
            let node = node.clone();
            async move { control::resign(&node).await }
        });
        // A short grace period leaves half of its time to the requests in progress.
        sleep(BALANCER_DELAY.min(time / 2)).await;
        node.ends_at.set(Some(end));
        callers.close().await;
        relaying.close().await;
        sleep(FLUSH_DELAY).await;
    };
    if timeout(time, stop).await.is_err() {
        warn!(event = "stop_late"; "requests were still in progress when the time for the shutdown ended; they are aborted");
    }
}
