//! Choice of the server that runs a request.

use {
    super::{PendingRequest, server::Server},
    crate::{name::Name, time::Tick},
    std::time::Duration,
};

/// Returns the index of the available server with the lowest cost for a request; `mean` is the service
/// time of a server without a measurement. Servers outside `domains` are not chosen; those of the
/// earlier domains are preferred.
pub(super) fn find_server(
    servers: &[Server],
    request: &PendingRequest,
    domains: &[Name],
    mean: Duration,
    now: Tick,
) -> Option<usize> {
    if domains.is_empty() {
        return None;
    }
    let usable = servers.iter().enumerate().filter(|(_, server)| server.is_available(now));
    let usable = usable.filter(|(_, server)| !request.exclude.contains(&server.name));
    let usable = usable.filter(|(_, server)| server.health.may_run(request));
    let ranked = usable.filter_map(|(index, server)| {
        let rank = domains.iter().position(|domain| *domain == server.domain)?;
        let is_avoided = request.avoid.as_ref() == Some(&server.name);
        let is_probe = server.health.is_ejected();
        let is_ill = server.health.is_avoided(now);
        Some((is_avoided, !is_probe, is_ill, rank, cost(server, mean, now), index))
    });
    ranked.min().map(|(.., index)| index)
}

/// Returns the cost of a server for the next request, in microseconds.
fn cost(server: &Server, mean: Duration, now: Tick) -> u64 {
    let service_time = server.expected_time(mean, now).as_micros() as u64;
    let running = server.load(now) as u64;
    service_time + service_time * running / u64::from(server.slots.max(1))
}
