//! Counters and latencies of a node.

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

/// Labels of an event.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct EventLabels {
    /// What happened.
    event: &'static str,
}

/// Labels of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ResponseLabels {
    /// Number of the result.
    code: u16,
    /// HTTP status.
    status: u16,
}

/// Counters and latencies.
#[derive(Debug)]
pub struct Metrics {
    /// What is served.
    registry: Registry,
    /// Answers to callers.
    responses: Family<ResponseLabels, Counter>,
    /// Events.
    events: Family<EventLabels, Counter>,
    /// Time to the head of an answer.
    latency: Histogram,
    /// Time at a gate.
    waiting: Histogram,
    /// Open connections of callers.
    pub callers: Gauge,
}

impl Metrics {
    /// Registers all metrics.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("whinspring");
        let responses = Family::default();
        registry.register("answers", "Answers to callers by result and status", responses.clone());
        let events = Family::default();
        registry.register("events", "Decisions and changes by kind", events.clone());
        let latency = Histogram::new(exponential_buckets(0.004, 2.0, 11));
        let text = "Time from a request to its answer";
        registry.register_with_unit("latency", text, Unit::Seconds, latency.clone());
        let waiting = Histogram::new(exponential_buckets(0.001, 2.0, 11));
        let text = "Time that a request waited for a server";
        registry.register_with_unit("waiting", text, Unit::Seconds, waiting.clone());
        let callers = Gauge::default();
        registry.register("callers", "Open connections of callers", callers.clone());
        Self { registry, responses, events, latency, waiting, callers }
    }

    /// Counts an answer.
    pub fn record_response(&self, code: u16, status: u16, elapsed: Duration) {
        self.responses.get_or_create(&ResponseLabels { code, status }).inc();
        self.latency.observe(elapsed.as_secs_f64());
    }

    /// Notes the time that a request waited.
    pub fn record_wait(&self, wait: Duration) {
        self.waiting.observe(wait.as_secs_f64());
    }

    /// Counts an event.
    pub fn count(&self, event: &'static str) {
        self.events.get_or_create(&EventLabels { event }).inc();
    }

    /// Returns all metrics as text.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("a string takes any text");
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
