//! What a node measures: work of keys and times of servers.

use {
    crate::message::{KeyWork, Pace},
    std::{collections::HashMap, time::Duration},
    whinspring::name::Name,
};

/// Time that a request takes where nothing was measured yet, in milliseconds.
const DEFAULT_LATENCY_MS: f64 = 130.0;

/// Part of the usual time that a new measurement replaces.
const SMOOTHING: f64 = 0.05;

/// Measurements since they were last sent to the controller.
#[derive(Debug, Default)]
pub struct Meter {
    /// Usual time of each route's requests, in milliseconds.
    typical: HashMap<Name, f64>,
    /// Work by service and key, in milliseconds.
    keys: HashMap<(Name, u16), f64>,
    /// Requests, time and usual time by server, in milliseconds.
    paces: HashMap<Name, (u32, f64, f64)>,
}

impl Meter {
    /// Notes a request for a key, whether it will be served or not.
    pub fn record_demand(&mut self, route: &Name, service: &Name, key: u16) {
        let work = self.typical_ms(route);
        *self.keys.entry((service.clone(), key)).or_default() += work;
    }

    /// Notes how long a server took.
    pub fn record_latency(&mut self, route: &Name, server: &Name, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64() * 1_000.0;
        let typical = self.typical_ms(route);
        let next = typical + (elapsed - typical) * SMOOTHING;
        self.typical.insert(route.clone(), next);
        let pace = self.paces.entry(server.clone()).or_default();
        *pace = (pace.0 + 1, pace.1 + elapsed, pace.2 + typical);
    }

    /// Returns the usual time of a route's requests, in milliseconds.
    pub fn typical_ms(&self, route: &Name) -> f64 {
        self.typical.get(route).copied().unwrap_or(DEFAULT_LATENCY_MS)
    }

    /// Returns what was measured and starts anew.
    pub fn take(&mut self) -> (Vec<KeyWork>, Vec<Pace>) {
        let keys = self.keys.drain().map(|((service, key), work)| KeyWork {
            service: service.to_string(),
            key: key.into(),
            work: work as u32,
        });
        let paces = self.paces.drain().map(|(server, (count, elapsed, typical))| Pace {
            server: server.to_string(),
            count,
            took: elapsed as u32,
            usual: typical as u32,
        });
        (keys.collect(), paces.collect())
    }
}
