//! Routes: which service runs a request, and under which limits.
//!
//! A [`RouteTable`] is one version of the configuration. A request is matched by host and by the
//! longest path prefix among the routes of that host. Tables are replaced whole, and a lower
//! version never replaces a higher one.

use {
    crate::name::Name,
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// One version of the configuration.
#[derive(Debug, Default)]
pub struct RouteTable {
    /// Version, rising.
    pub version: u64,
    /// Routes of each host, the longest prefix first.
    hosts: HashMap<Name, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<Name, Service>,
    /// Bounds on what callers send.
    pub limits: Limits,
}

/// What callers may send.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Longest head of a request, in bytes.
    pub header_bytes: usize,
    /// Longest body of a request, in bytes.
    pub body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { header_bytes: 16 << 10, body_bytes: 64 << 20 }
    }
}

/// How requests of one host and prefix are handled.
#[derive(Debug, Clone)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Host of the requests.
    pub host: Name,
    /// Start of their paths, with a slash at both ends.
    pub prefix: Name,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time until the final answer.
    pub timeout: Duration,
    /// Time within which an answer is of full use.
    pub latency_target: Duration,
    /// Rank; zero is the most urgent.
    pub priority: u8,
    /// Services and their weights.
    pub splits: Vec<TrafficSplit>,
    /// Servers that one request may be sent to.
    pub max_attempts: u32,
}

/// A part of a route's requests.
#[derive(Debug, Clone)]
pub struct TrafficSplit {
    /// Service that runs them.
    pub service: Name,
    /// Share of the requests, relative to the other parts.
    pub weight: u32,
}

/// What a service's servers expect.
#[derive(Debug, Clone, Default)]
pub struct Service {
    /// Whether each server owns ranges of keys exclusively.
    pub keyed: bool,
}

impl RouteTable {
    /// Builds a table.
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

    /// Returns the route of a host and path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or_default();
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(host.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns whether a service owns keys.
    pub fn is_keyed(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|service| service.keyed)
    }
}

impl Route {
    /// Returns the service for a point drawn evenly from `0..1`.
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
