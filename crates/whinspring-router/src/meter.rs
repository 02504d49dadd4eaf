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
    servers: HashMap<Name, Responses>,
}

/// Responses of a server.
#[derive(Debug, Default)]
struct Responses {
    /// Responses that measure the speed of the server.
    count: u32,
    /// Total latency of these, in milliseconds.
    elapsed: f64,
    /// Total typical latency of their routes, in milliseconds.
    typical: f64,
    /// Responses with an error of the server's own. They may come within milliseconds and measure
    /// no speed.
    errors: u32,
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
        let responses = self.servers.entry(server.clone()).or_default();
        responses.count += 1;
        responses.elapsed += elapsed;
        responses.typical += typical;
    }

    /// Records a response with an error of the server's own.
    pub fn record_error(&mut self, server: &Name) {
        self.servers.entry(server.clone()).or_default().errors += 1;
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
        let latencies = self.servers.drain().map(|(server, responses)| ServerLatency {
            server: server.to_string(),
            count: responses.count,
            total_ms: responses.elapsed as u32,
            expected_ms: responses.typical as u32,
            errors: responses.errors,
        });
        (keys.collect(), latencies.collect())
    }
}
