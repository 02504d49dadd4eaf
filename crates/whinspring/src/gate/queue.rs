//! Order of the waiting requests of a gate, and which of them are rejected.

use {
    super::{Decision, PendingRequest, arrivals::Arrivals, server::Server},
    crate::{name::Name, time::Tick},
    std::time::Duration,
};

const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_500);

/// Share of a request's slack that it may spend in the queue; the slack is the time to its deadline
/// less one service time.
const MAX_WAIT_PERCENT: u32 = 60;

/// Share of the capacity that arrivals must leave for a request that will be late to run at all.
const MIN_SPARE: f64 = 0.05;

/// Time within which five of six requests end, in percent of the mean.
const LIKELY_TIME_PERCENT: u32 = 140;

/// Sorts the waiting requests in the order in which they are admitted.
pub(super) fn sort(queue: &mut [PendingRequest], now: Tick, service_time: Duration) {
    queue.sort_by_key(|request| (sort_key(request, now, service_time), request.target));
}

/// Rejects the requests that cannot be started in time; returns the others.
///
/// Those that will be late wait behind all that arrive later and can be on time. If as many of these
/// arrive as the servers can run, they are rejected at once, but not in favour of a lower priority.
pub(super) fn reject(
    queue: Vec<PendingRequest>,
    servers: &[Server],
    arrivals: &Arrivals,
    decisions: &mut Vec<Decision>,
    now: Tick,
    service_time: Duration,
) -> Vec<PendingRequest> {
    let all = capacity(servers, &[], service_time);
    let (mut ahead, mut late_ahead) = (0, 0);
    let mut lowest = 0;
    let mut kept = Vec::with_capacity(queue.len());
    for request in queue {
        let capacity = match request.exclude.is_empty() {
            true => all,
            false => capacity(servers, &request.exclude, service_time),
        };
        let each = if capacity > 0.0 { service_time.div_f64(capacity) } else { service_time };
        let on_time = now + each * ahead + likely_time(service_time) <= request.target;
        let is_passed = !on_time && request.priority >= lowest;
        let spare = if is_passed { arrivals.spare(each) } else { 1.0 };
        let wait = each * (ahead + 1) + each.div_f64(spare.max(MIN_SPARE)) * late_ahead;
        let limit =
            request.deadline.since(now).saturating_sub(service_time) * MAX_WAIT_PERCENT / 100;
        if capacity <= 0.0 || wait > limit || spare < MIN_SPARE {
            let retry = if spare < MIN_SPARE { MAX_RETRY_DELAY } else { wait };
            let retry = retry.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
            decisions.push(Decision::Reject(request.ticket, retry));
            continue;
        }
        match on_time {
            true => (ahead, lowest) = (ahead + 1, lowest.max(request.priority)),
            false => late_ahead += 1,
        }
        kept.push(request);
    }
    kept
}

/// Returns how many requests the open servers that are not excluded run at a time.
fn capacity(servers: &[Server], exclude: &[Name], service_time: Duration) -> f64 {
    let open = servers.iter().filter(|server| server.open);
    let usable = open.filter(|server| !exclude.contains(&server.name));
    usable.map(|server| server.capacity(service_time)).sum()
}

/// Returns the time within which a request of a mean service time ends most likely.
fn likely_time(service_time: Duration) -> Duration {
    service_time * LIKELY_TIME_PERCENT / 100
}

/// Returns the sort key of a queued request: requests that can still meet their target come first,
/// then higher priorities.
fn sort_key(request: &PendingRequest, now: Tick, service_time: Duration) -> (bool, u8) {
    let late = now + likely_time(service_time) > request.target;
    (late, request.priority)
}
