//! Choice of the server that runs a request.

use {
    super::{PendingRequest, server::Server},
    crate::time::Tick,
    std::time::Duration,
};

/// Surcharge for a server in another failure domain, as a divisor of its cost.
const CROSS_DOMAIN_DIVISOR: u64 = 1;

/// Returns the index of the available server with the lowest cost for a request; `mean` is the service
/// time of a server without a measurement.
pub(super) fn find_server(
    servers: &[Server],
    request: &PendingRequest,
    mean: Duration,
    now: Tick,
) -> Option<usize> {
    let usable = servers.iter().enumerate().filter(|(_, server)| server.is_available(now));
    let usable = usable.filter(|(_, server)| !request.exclude.contains(&server.name));
    let usable = usable.filter(|(_, server)| server.health.may_run(request));
    let key = |server: &Server| {
        let avoided = request.avoid.as_ref() == Some(&server.name);
        let is_probe = server.health.is_ejected();
        let is_ill = server.health.is_avoided(now);
        (avoided, !is_probe, is_ill, cost(server, request, mean, now))
    };
    usable.min_by_key(|(_, server)| key(server)).map(|(index, _)| index)
}

/// Returns the cost of a server for a request, in microseconds.
fn cost(server: &Server, request: &PendingRequest, mean: Duration, now: Tick) -> u64 {
    let service_time = server.expected_time(mean, now).as_micros() as u64;
    let running = server.load(now) as u64;
    let loaded = service_time + service_time * running / u64::from(server.slots.max(1));
    if server.domain == request.domain { loaded } else { loaded + loaded / CROSS_DOMAIN_DIVISOR }
}
