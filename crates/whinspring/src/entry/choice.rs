//! Selection of a server for a request without a key.

use {
    super::Outstanding,
    crate::{
        model::ServerState,
        name::ServerId,
        request::{Meta, Target},
        time::Tick,
        view::{ServiceView, View},
    },
    rand::Rng,
    std::hash::Hasher,
    twox_hash::XxHash3_64,
};

/// Chooses the less loaded of two random servers that take new requests.
///
/// A non-idempotent request goes to the server that its id selects by rendezvous hashing, so that a
/// retry reaches the holder that has the deduplication entry of the first attempt.
pub fn choose(
    service: &ServiceView,
    view: &View,
    load: &Outstanding,
    now: Tick,
    meta: &Meta,
    excluded: &[ServerId],
    rng: &mut impl Rng,
) -> Option<Target> {
    let servers = service.service().servers.iter();
    let mut candidates: Vec<ServerId> = servers
        .filter(|(_, server)| server.state == ServerState::Active)
        .map(|(id, _)| *id)
        .filter(|id| !excluded.contains(id) && target(service, view, *id, 0).is_some())
        .collect();
    if candidates.iter().any(|id| !has_next_holder(service, *id)) {
        candidates.retain(|id| !has_next_holder(service, *id));
    }
    if candidates.is_empty() {
        return None;
    }
    if !meta.idempotent {
        let chosen = candidates.iter().max_by_key(|id| affinity(&meta.id, **id))?;
        return target(service, view, *chosen, 0);
    }
    let first = candidates[rng.random_range(0..candidates.len())];
    let second = candidates[rng.random_range(0..candidates.len())];
    let score = |id| load.score(now, &meta.service, id);
    let chosen = if score(second) < score(first) { second } else { first };
    target(service, view, chosen, 0)
}

/// Returns the target for a server, if it has a serving holder.
pub fn target(service: &ServiceView, view: &View, server: ServerId, epoch: u64) -> Option<Target> {
    if service.server(server)?.state == ServerState::Lost {
        return None;
    }
    let holder = service.holder(server)?;
    if !view.serves(holder) {
        return None;
    }
    Some(Target {
        node: holder.node.clone(),
        incarnation: holder.incarnation,
        server,
        term: holder.term,
        epoch,
    })
}

/// Returns whether the server is to be handed over to another holder.
pub fn has_next_holder(service: &ServiceView, server: ServerId) -> bool {
    service.holder(server).is_some_and(|holder| holder.next.is_some())
}

/// Returns the rendezvous hash of a request id and a server.
fn affinity(id: &str, server: ServerId) -> u64 {
    let mut hasher = XxHash3_64::default();
    hasher.write(id.as_bytes());
    hasher.write_u32(server.0);
    hasher.finish()
}
