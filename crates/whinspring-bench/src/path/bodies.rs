//! Long bodies at once, half of them to slow readers.

use {
    hyper::Method,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::task::JoinSet,
    whinspring_standin::caller::{Call, Caller},
};

/// Bodies that stream at once.
const BODIES: usize = 8;

/// Bytes of each body.
const BYTES: u64 = 200_000_000;

/// Reading speed of slow readers, in bytes a second.
const SLOW_PACE: u64 = 40_000_000;

/// Deadline of a body, in milliseconds.
const DEADLINE_MS: u64 = 60_000;

/// What came of the bodies.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bodies {
    /// Bodies that came whole, every byte right.
    pub(super) whole: u64,
    /// The others.
    pub(super) lost: u64,
    /// Time until the last one ended.
    pub(super) time: Duration,
}

/// Streams all bodies at once through the entries in turn.
pub(super) async fn run(entries: &[SocketAddr]) -> Bodies {
    let start = Instant::now();
    let mut tasks = JoinSet::new();
    for index in 0..BODIES {
        let entry = entries[index % entries.len()];
        let path = format!("/bundles/{index}?bytes={BYTES}");
        let mut call = Call::new(entry, Method::GET, path)
            .header("whinspring-deadline-ms", &DEADLINE_MS.to_string())
            .timeout(Duration::from_millis(DEADLINE_MS));
        if index % 2 == 0 {
            call = call.pace(SLOW_PACE);
        }
        tasks.spawn(async move { Caller::new().send(&call).await.is_right() });
    }
    let verified = tasks.join_all().await;
    let whole = verified.iter().filter(|verified| **verified).count() as u64;
    Bodies { whole, lost: BODIES as u64 - whole, time: start.elapsed() }
}
