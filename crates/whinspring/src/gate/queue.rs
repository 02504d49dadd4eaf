//! Order of the waiting requests of a gate, and which of them are rejected.

use {
    super::{Decision, PendingRequest, server::Server},
    crate::{name::Name, time::Tick},
    std::time::Duration,
};

const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_500);

/// Share of a request's slack that it may spend in the queue; the slack is the time to its deadline
/// less one service time.
const MAX_WAIT_PERCENT: u32 = 60;

/// Sorts the waiting requests in the order in which they are admitted.
pub(super) fn sort(queue: &mut [PendingRequest], now: Tick, service_time: Duration) {
    queue.sort_by_key(|request| (sort_key(request, now, service_time), request.target));
}

/// Rejects the requests that cannot be started in time; returns the others.
pub(super) fn reject(
    queue: Vec<PendingRequest>,
    servers: &[Server],
    decisions: &mut Vec<Decision>,
    now: Tick,
    service_time: Duration,
) -> Vec<PendingRequest> {
    let all = capacity(servers, &[], service_time);
    let mut ahead = 0;
    let mut kept = Vec::with_capacity(queue.len());
    for request in queue {
        let capacity = match request.exclude.is_empty() {
            true => all,
            false => capacity(servers, &request.exclude, service_time),
        };
        let each = if capacity > 0.0 { service_time.div_f64(capacity) } else { service_time };
        let wait = each * (ahead + 1);
        let limit =
            request.deadline.since(now).saturating_sub(service_time) * MAX_WAIT_PERCENT / 100;
        if capacity <= 0.0 || wait > limit {
            let retry = wait.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
            decisions.push(Decision::Reject(request.ticket, retry));
        } else {
            ahead += 1;
            kept.push(request);
        }
    }
    kept
}

/// Returns how many requests the open servers that are not excluded run at a time.
fn capacity(servers: &[Server], exclude: &[Name], service_time: Duration) -> f64 {
    let open = servers.iter().filter(|server| server.open);
    let usable = open.filter(|server| !exclude.contains(&server.name));
    usable.map(|server| server.capacity(service_time)).sum()
}

/// Returns the sort key of a queued request: requests that can still meet their target come first,
/// then higher priorities.
fn sort_key(request: &PendingRequest, now: Tick, service_time: Duration) -> (bool, u8) {
    let late = now + service_time > request.target;
    (late, request.priority)
}
