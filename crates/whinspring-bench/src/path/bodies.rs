//! Concurrent large response bodies, half of them with slow readers.

use {
    hyper::Method,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::task::JoinSet,
    whinspring_standin::caller::{Call, Caller},
};

/// Number of concurrent bodies.
const BODIES: usize = 8;

/// Size of each body, in bytes.
const BYTES: u64 = 200_000_000;

/// Read rate of slow readers, in bytes per second.
const SLOW_PACE: u64 = 40_000_000;

const DEADLINE_MS: u64 = 60_000;

/// Result of the streams.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bodies {
    /// Number of bodies received complete and with the expected contents.
    pub(super) whole: u64,
    /// Number of other bodies.
    pub(super) lost: u64,
    /// Time until the last stream ended.
    pub(super) time: Duration,
}

/// Streams all bodies concurrently, spread over the entries.
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
            call = call.read_rate(SLOW_PACE);
        }
        tasks.spawn(async move { Caller::new().send(&call).await.is_right() });
    }
    let verified = tasks.join_all().await;
    let whole = verified.iter().filter(|verified| **verified).count() as u64;
    Bodies { whole, lost: BODIES as u64 - whole, time: start.elapsed() }
}
