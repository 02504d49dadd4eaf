//! Metrics of a node.

use {
    prometheus_client::{
        encoding::{EncodeLabelSet, text::encode},
        metrics::{
            counter::Counter,
            family::Family,
            gauge::Gauge,
            histogram::{Histogram, exponential_buckets},
        },
        registry::{Registry, Unit},
    },
    std::time::Duration,
};

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EventLabels {
    event: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ResponseLabels {
    /// Number of the result code.
    code: u16,
    status: u16,
}

#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Responses to callers.
    responses: Family<ResponseLabels, Counter>,
    events: Family<EventLabels, Counter>,
    /// Time to the head of a response.
    latency: Histogram,
    /// Time that a request waited at a gate.
    waiting: Histogram,
    pub callers: Gauge,
    /// Open connections of nodes that relay requests through this one.
    pub relaying: Gauge,
    /// Whether this node is cut off from all servers.
    pub cut_off: Gauge,
    /// Failure domains that are evacuated.
    pub evacuated_domains: Gauge,
    /// Ranges of keys that servers of evacuated domains own.
    pub evacuated_spans: Gauge,
    /// Failure domains that requests leave because of their load, over all gates of this node.
    pub overflowing: Gauge,
    /// Servers that are cold.
    pub cold: Gauge,
    /// Entries of servers that name none, as they are malformed.
    pub malformed: Gauge,
    /// Bytes of request bodies that are kept.
    pub buffered: Gauge,
    /// Callers that take no bytes at the moment.
    pub stalled: Gauge,
}

impl Metrics {
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("whinspring");
        let responses = Family::default();
        registry.register(
            "answers",
            "Responses to callers by result code and HTTP status",
            responses.clone(),
        );
        let events = Family::default();
        registry.register("events", "Events by kind", events.clone());
        let latency = Histogram::new(exponential_buckets(0.004, 2.0, 11));
        let text = "Time from the arrival of a request to the head of its response";
        registry.register_with_unit("latency", text, Unit::Seconds, latency.clone());
        let waiting = Histogram::new(exponential_buckets(0.001, 2.0, 11));
        let text = "Time that a request waited for a server";
        registry.register_with_unit("waiting", text, Unit::Seconds, waiting.clone());
        let callers = Gauge::default();
        registry.register("callers", "Open connections of callers", callers.clone());
        let relaying = Gauge::default();
        let text = "Open connections of nodes whose requests are sent to servers from here";
        registry.register("relaying", text, relaying.clone());
        let cut_off = Gauge::default();
        let text = "1 while this node can reach no backend server, otherwise 0";
        registry.register("cut_off", text, cut_off.clone());
        let evacuated_domains = Gauge::default();
        let text = "Failure domains that are evacuated";
        registry.register("evacuated_domains", text, evacuated_domains.clone());
        let evacuated_spans = Gauge::default();
        let text = "Ranges of keys that servers of evacuated failure domains own";
        registry.register("evacuated_spans", text, evacuated_spans.clone());
        let overflowing = Gauge::default();
        let text =
            "Failure domains that requests leave because of their load, at gates of this node";
        registry.register("overflowing", text, overflowing.clone());
        let cold = Gauge::default();
        registry.register("cold_servers", "Servers that are cold", cold.clone());
        let malformed = Gauge::default();
        let text = "Entries of servers in the store that cannot be parsed";
        registry.register("malformed_entries", text, malformed.clone());
        let buffered = Gauge::default();
        let text = "Request bodies that wait for a server or are sent to one";
        registry.register_with_unit("buffered", text, Unit::Bytes, buffered.clone());
        let stalled = Gauge::default();
        let text = "Callers that take no bytes of their responses at the moment";
        registry.register("stalled_callers", text, stalled.clone());
        Self {
            registry,
            responses,
            events,
            latency,
            waiting,
            callers,
            relaying,
            cut_off,
            evacuated_domains,
            evacuated_spans,
            overflowing,
            cold,
            malformed,
            buffered,
            stalled,
        }
    }

    /// Records a response.
    pub fn record_response(&self, code: u16, status: u16, elapsed: Duration) {
        self.responses.get_or_create(&ResponseLabels { code, status }).inc();
        self.latency.observe(elapsed.as_secs_f64());
    }

    /// Records the time that a request waited at a gate.
    pub fn record_wait(&self, wait: Duration) {
        self.waiting.observe(wait.as_secs_f64());
    }

    pub fn count(&self, event: &'static str) {
        self.add(event, 1);
    }

    pub fn add(&self, event: &'static str, number: u64) {
        self.events.get_or_create(&EventLabels { event }).inc_by(number);
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string cannot fail");
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
