//! Measurements of a node: work per key and latency per server.

use {
    crate::message::{KeyLoad, ServerLatency},
    std::{collections::HashMap, time::Duration},
    whinspring::name::Name,
};

/// Assumed latency of a route before the first measurement.
const DEFAULT_LATENCY_MS: f64 = 130.0;

/// Weight of a new measurement in the moving average.
const SMOOTHING: f64 = 0.05;

/// Measurements since the last report to the controller.
#[derive(Debug, Default)]
pub struct Meter {
    /// Moving average of the latency of each route, in milliseconds.
    typical: HashMap<Name, f64>,
    /// Work by service and key, in milliseconds.
    keys: HashMap<(Name, u16), f64>,
    /// Per server: number of requests, total latency, and total typical latency of their routes,
    /// both in milliseconds.
    latencies: HashMap<Name, (u32, f64, f64)>,
}

impl Meter {
    /// Records a request for a key, whether or not it will be served.
    pub fn record_demand(&mut self, route: &Name, service: &Name, key: u16) {
        let work = self.typical_ms(route);
        *self.keys.entry((service.clone(), key)).or_default() += work;
    }

    /// Records the latency of a request.
    pub fn record_latency(&mut self, route: &Name, server: &Name, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64() * 1_000.0;
        let typical = self.typical_ms(route);
        let next = typical + (elapsed - typical) * SMOOTHING;
        self.typical.insert(route.clone(), next);
        let latency = self.latencies.entry(server.clone()).or_default();
        *latency = (latency.0 + 1, latency.1 + elapsed, latency.2 + typical);
    }

    /// Returns the typical latency of a route.
    pub fn typical_ms(&self, route: &Name) -> f64 {
        self.typical.get(route).copied().unwrap_or(DEFAULT_LATENCY_MS)
    }

    /// Returns the measurements and resets them.
    pub fn take(&mut self) -> (Vec<KeyLoad>, Vec<ServerLatency>) {
        let keys = self.keys.drain().map(|((service, key), work)| KeyLoad {
            service: service.to_string(),
            key: key.into(),
            work_ms: work as u32,
        });
        let latencies =
            self.latencies.drain().map(|(server, (count, elapsed, typical))| ServerLatency {
                server: server.to_string(),
                count,
                total_ms: elapsed as u32,
                expected_ms: typical as u32,
            });
        (keys.collect(), latencies.collect())
    }
}
