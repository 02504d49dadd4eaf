//! Routing of requests to services by host and path.
//!
//! A [`RouteTable`] is one version of the configuration. A request matches the route of its host
//! with the longest path prefix. A table is only replaced as a whole, and a lower version never
//! replaces a higher one.

use {
    crate::{limits::Rate, name::Name},
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// One version of the configuration.
#[derive(Debug, Default)]
pub struct RouteTable {
    /// Increases with each change.
    pub version: u64,
    /// Routes of each host, the longest prefix first.
    hosts: HashMap<Name, Vec<Arc<Route>>>,
    pub services: HashMap<Name, Service>,
    pub limits: Limits,
}

/// Limits on the size of requests.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum size of the request target and headers.
    pub header_bytes: usize,
    pub body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { header_bytes: 16 << 10, body_bytes: 64 << 20 }
    }
}

/// Handling of the requests for one host and path prefix.
#[derive(Debug, Clone)]
pub struct Route {
    pub name: Name,
    pub host: Name,
    /// Path prefix, with a slash at both ends.
    pub prefix: Name,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Maximum time until the final response.
    pub timeout: Duration,
    /// Time within which a response should arrive; a later one is of less use, but still sent.
    pub latency_target: Duration,
    /// Zero is the highest priority.
    pub priority: u8,
    /// Services that share the requests of the route.
    pub splits: Vec<TrafficSplit>,
    /// Maximum number of times that one request is sent to a server.
    pub max_attempts: u32,
}

/// Share of a route's requests that one service runs.
#[derive(Debug, Clone)]
pub struct TrafficSplit {
    pub service: Name,
    /// Weight relative to the other splits of the route.
    pub weight: u32,
}

/// Properties of a service.
#[derive(Debug, Clone, Default)]
pub struct Service {
    /// Whether each server owns ranges of keys exclusively.
    pub keyed: bool,
    /// Time for which a server is cold after its start.
    pub warmup: Duration,
    /// Requests a second that a cold server tolerates; `None` if there is no such limit.
    pub cold_rate: Option<Rate>,
}

impl RouteTable {
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: HashMap<Name, Service>,
        limits: Limits,
    ) -> Self {
        let mut hosts: HashMap<Name, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            hosts.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { version, hosts, services, limits }
    }

    /// Returns the route for a host, with or without a port, and a path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or_default();
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(host.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns whether the servers of a service own keys.
    pub fn is_keyed(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|service| service.keyed)
    }
}

impl Route {
    /// Returns the service for a `point` drawn uniformly from `0..1`.
    pub fn pick_service(&self, point: f64) -> Option<&Name> {
        let total: u32 = self.splits.iter().map(|split| split.weight).sum();
        let mut remaining = point * f64::from(total);
        for split in &self.splits {
            remaining -= f64::from(split.weight);
            if remaining < 0.0 {
                return Some(&split.service);
            }
        }
        self.splits.last().map(|split| &split.service)
    }
}
