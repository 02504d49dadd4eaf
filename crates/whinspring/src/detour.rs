//! Servers that a node does not reach itself, though other nodes may.
//!
//! Load pattern: a node loses its paths to some servers for seconds, or to all of them but does not know
//! that yet, and callers go on using it. Each connection that is tried in vain costs a request the time
//! of a timeout. [`Detours`] remembers the servers whose connections did not open: their requests go by
//! way of relays, and one of them at a time has the path probed. If no relay reaches a server either,
//! the server itself is at fault and its requests are not relayed for a while.

use {
    crate::{name::Name, time::Tick},
    std::{collections::HashMap, time::Duration},
};

/// Time for which a failure of the own path counts.
const FAILURE_TTL: Duration = Duration::from_millis(1_000);

/// Time for which a response by way of a relay proves that only the own path is at fault.
const PROOF_TTL: Duration = Duration::from_secs(3);

/// Time for which a server that no relay reached is not tried by way of relays.
const LOST_TTL: Duration = Duration::from_millis(1_000);

/// Time for which a relay that does not reach a server is not used for it.
const RELAY_TTL: Duration = Duration::from_secs(2);

/// Time between two probes of the path to a server.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// What is known of the paths to one server.
#[derive(Debug, Default)]
struct Paths {
    /// When a connection last failed to open.
    failed: Option<Tick>,
    /// When a relay last passed on a response.
    proven: Option<Tick>,
    /// When no relay reached the server.
    lost: Option<Tick>,
    /// When the own path was last probed.
    probed: Option<Tick>,
    /// Relays that did not reach the server, and when.
    relays: HashMap<Name, Tick>,
}

/// Servers that a node does not reach itself.
#[derive(Debug, Default)]
pub struct Detours {
    servers: HashMap<Name, Paths>,
}

impl Detours {
    /// Records that a connection to a server did not open.
    pub fn record_failure(&mut self, server: &Name, now: Tick) {
        let paths = self.servers.entry(server.clone()).or_default();
        paths.failed = Some(now);
        paths.probed = Some(now);
    }

    /// Records that a connection to a server has opened.
    pub fn record_success(&mut self, server: &Name) {
        self.servers.remove(server);
    }

    /// Records that a relay has passed on a response of a server.
    pub fn record_relayed(&mut self, server: &Name, now: Tick) {
        if let Some(paths) = self.servers.get_mut(server) {
            paths.proven = Some(now);
            paths.lost = None;
        }
    }

    /// Returns when a connection to a server last failed to open, if a relay has reached the server
    /// since.
    pub fn proven_failure(&self, server: &Name) -> Option<Tick> {
        let paths = self.servers.get(server)?;
        paths.proven.and(paths.failed)
    }

    /// Records that a relay did not reach a server.
    pub fn record_relay_failure(&mut self, server: &Name, relay: &Name, now: Tick) {
        if let Some(paths) = self.servers.get_mut(server) {
            paths.relays.insert(relay.clone(), now);
        }
    }

    /// Records that none of the relays that were tried reached a server.
    pub fn record_lost(&mut self, server: &Name, now: Tick) {
        if let Some(paths) = self.servers.get_mut(server) {
            paths.lost = Some(now);
            paths.proven = None;
        }
    }

    /// Returns whether requests to a server go by way of relays without trying the own path.
    pub fn is_detoured(&self, server: &Name, now: Tick) -> bool {
        let Some(paths) = self.servers.get(server) else { return false };
        let is_recent = |at: Option<Tick>, ttl| at.is_some_and(|at| now.since(at) < ttl);
        let is_failing = is_recent(paths.failed, FAILURE_TTL) || is_recent(paths.proven, PROOF_TTL);
        is_failing && !is_recent(paths.lost, LOST_TTL)
    }

    /// Returns whether a connection to a server has failed to open just now.
    pub fn is_failing(&self, server: &Name, now: Tick) -> bool {
        let failed = self.servers.get(server).and_then(|paths| paths.failed);
        failed.is_some_and(|at| now.since(at) < FAILURE_TTL)
    }

    /// Returns the relays that do not reach a server.
    pub fn failed_relays(&self, server: &Name, now: Tick) -> Vec<Name> {
        let relays = self.servers.get(server).map(|paths| paths.relays.iter());
        let recent = relays.into_iter().flatten().filter(|(_, at)| now.since(**at) < RELAY_TTL);
        recent.map(|(name, _)| name.clone()).collect()
    }

    /// Starts a probe of the path to a server if one is due; returns whether it is.
    pub fn start_probe(&mut self, server: &Name, now: Tick) -> bool {
        let Some(paths) = self.servers.get_mut(server) else { return false };
        if paths.probed.is_some_and(|at| now.since(at) < PROBE_INTERVAL) {
            return false;
        }
        paths.probed = Some(now);
        true
    }

    /// Forgets servers about which nothing is known any more.
    pub fn sweep(&mut self, now: Tick) {
        let is_recent = |at: Option<Tick>| at.is_some_and(|at| now.since(at) < PROOF_TTL);
        self.servers.retain(|_, paths| is_recent(paths.failed) || is_recent(paths.proven));
    }
}
