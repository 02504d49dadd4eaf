//! Locations of server instances that have no entry in the store any more.
//!
//! A server that leaves while the store is away loses its entry before its keys can be granted to
//! another one. Whoever is the controller then asks at its address for the keys, or learns there that
//! another server has it; without the address only the longest lease that it may hold bounds the wait.
//! Nodes therefore keep the locations of servers that they have removed, and the stored owners name those
//! of all owners, for nodes that start later.

use {
    crate::platform::Location,
    std::{collections::HashMap, time::Duration},
    whinspring::{ranges::Instance, time::Tick},
};

/// Time for which a location is kept. All leases of the server have expired long before.
const RETENTION: Duration = Duration::from_secs(120);

/// Locations of former servers.
#[derive(Debug, Default)]
pub struct FormerServers {
    /// Location by instance, and when the instance was found to have no entry.
    known: HashMap<Instance, (Location, Tick)>,
}

impl FormerServers {
    /// Keeps the location of an instance that has no entry at `now`.
    pub fn record(&mut self, instance: Instance, location: Location, now: Tick) {
        self.known.insert(instance, (location, now));
    }

    /// Keeps the location of an instance that another node names and this one has no entry of.
    pub fn learn(&mut self, instance: Instance, location: Location, now: Tick) {
        self.known.entry(instance).or_insert((location, now));
    }

    pub fn get(&self, instance: &Instance) -> Option<&Location> {
        self.known.get(instance).map(|(location, _)| location)
    }

    /// Returns since when an instance has had no entry, as far as known.
    pub fn gone_since(&self, instance: &Instance) -> Option<Tick> {
        self.known.get(instance).map(|(_, at)| *at)
    }

    /// Forgets instances that have been gone for [`RETENTION`].
    pub fn evict(&mut self, now: Tick) {
        self.known.retain(|_, (_, at)| now.since(*at) < RETENTION);
    }
}
