//! What a node measures: work of keys and times of servers.

use {
    crate::message::{KeyLoad, ServerLatency},
    std::{collections::HashMap, time::Duration},
    whinspring::name::Name,
};

/// Time that a request takes where nothing was measured yet, in milliseconds.
const FIRST_WORK_MS: f64 = 130.0;

/// Part of the usual time that a new measurement replaces.
const SMOOTHING: f64 = 0.05;

/// Measurements since they were last sent to the controller.
#[derive(Debug, Default)]
pub struct Meter {
    /// Usual time of each route's requests, in milliseconds.
    usual: HashMap<Name, f64>,
    /// Work by service and key, in milliseconds.
    keys: HashMap<(Name, u16), f64>,
    /// Requests, time and usual time by server, in milliseconds.
    paces: HashMap<Name, (u32, f64, f64)>,
}

impl Meter {
    /// Notes a request for a key, whether it will be served or not.
    pub fn wanted(&mut self, route: &Name, service: &Name, key: u16) {
        let work = self.usual(route);
        *self.keys.entry((service.clone(), key)).or_default() += work;
    }

    /// Notes how long a server took.
    pub fn served(&mut self, route: &Name, server: &Name, took: Duration) {
        let took = took.as_secs_f64() * 1_000.0;
        let usual = self.usual(route);
        let next = usual + (took - usual) * SMOOTHING;
        self.usual.insert(route.clone(), next);
        let pace = self.paces.entry(server.clone()).or_default();
        *pace = (pace.0 + 1, pace.1 + took, pace.2 + usual);
    }

    /// Returns the usual time of a route's requests, in milliseconds.
    pub fn usual(&self, route: &Name) -> f64 {
        self.usual.get(route).copied().unwrap_or(FIRST_WORK_MS)
    }

    /// Returns what was measured and starts anew.
    pub fn take(&mut self) -> (Vec<KeyLoad>, Vec<ServerLatency>) {
        let keys = self.keys.drain().map(|((service, key), work)| KeyLoad {
            service: service.to_string(),
            key: key.into(),
            work_ms: work as u32,
        });
        let paces = self.paces.drain().map(|(server, (count, took, usual))| ServerLatency {
            server: server.to_string(),
            count,
            total_ms: took as u32,
            expected_ms: usual as u32,
        });
        (keys.collect(), paces.collect())
    }
}
