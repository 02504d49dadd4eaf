//! Counters and gauges of the process.

use {
    prometheus_client::{
        encoding::{EncodeLabelSet, text::encode},
        metrics::{
            counter::Counter,
            family::Family,
            gauge::Gauge,
            histogram::{Histogram, exponential_buckets},
        },
        registry::Registry,
    },
    std::time::Duration,
    whinspring::{code::Code, name::Name},
};

/// Upper bound of the fastest latency bucket, in seconds.
const FIRST_BUCKET_S: f64 = 0.000_25;

/// Number of latency buckets, each twice as wide as the one before.
const BUCKETS: u16 = 18;

/// Metrics of the process.
#[derive(Debug)]
pub struct Metrics {
    /// Registry exported on the metrics page.
    registry: Registry,
    /// Events by name.
    events: Family<EventLabels, Counter>,
    /// Responses to callers.
    answers: Family<ResponseLabels, Counter>,
    /// Time from receiving a request's head to sending its response's head.
    latency: Histogram,
    /// Bytes written to links.
    link_bytes: Family<LinkLabels, Counter>,
    /// Writes to links.
    link_writes: Family<LinkLabels, Counter>,
    /// Requests of callers in progress.
    pub in_flight: Gauge,
    /// Requests at this node's held servers, queued or running.
    pub jobs: Gauge,
    /// Open connections of callers.
    pub callers: Gauge,
    /// Open data links to and from other nodes.
    pub links: Gauge,
}

/// Labels of an event.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EventLabels {
    event: &'static str,
}

/// Labels of the link counters.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct LinkLabels {
    /// What the links carry: `control` or `data`.
    purpose: &'static str,
}

/// Counters of the links of one purpose.
#[derive(Debug, Clone)]
pub struct LinkCounters {
    /// Bytes written.
    pub bytes: Counter,
    /// Writes; each covers one or more frames.
    pub writes: Counter,
}

/// Labels of a response.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResponseLabels {
    /// Service of the request; empty if none matched.
    service: String,
    /// Result code.
    code: u16,
    /// Class of the result code.
    class: &'static str,
}

impl Metrics {
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("whinspring");
        let events = Family::default();
        let answers = Family::default();
        let buckets = exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKETS);
        let latency = Histogram::new(buckets);
        let link_bytes = Family::default();
        let link_writes = Family::default();
        let in_flight = Gauge::default();
        let jobs = Gauge::default();
        let callers = Gauge::default();
        let links = Gauge::default();
        registry.register("events", "Occurrences by name", events.clone());
        registry.register("answers", "Responses to callers by result", answers.clone());
        registry.register("latency_seconds", "Time to the head of the response", latency.clone());
        registry.register("link_bytes", "Bytes written to links", link_bytes.clone());
        registry.register("link_writes", "Writes to links", link_writes.clone());
        registry.register("flights", "Requests of callers in progress", in_flight.clone());
        registry.register("jobs", "Requests queued or running at held servers", jobs.clone());
        registry.register("caller_connections", "Connections of callers", callers.clone());
        registry.register("data_links", "Data connections between nodes", links.clone());
        Self {
            registry,
            events,
            answers,
            latency,
            link_bytes,
            link_writes,
            in_flight,
            jobs,
            callers,
            links,
        }
    }

    /// Counts an event.
    pub fn count(&self, event: &'static str) {
        self.events.get_or_create(&EventLabels { event }).inc();
    }

    /// Returns how often an event has been counted.
    pub fn event_count(&self, event: &'static str) -> u64 {
        self.events.get_or_create(&EventLabels { event }).get()
    }

    /// Records a response to a caller and its latency.
    pub fn record_response(&self, service: &Name, code: Code, elapsed: Duration) {
        let class = code.class().as_str();
        let labels = ResponseLabels { service: service.to_string(), code: code as u16, class };
        self.answers.get_or_create(&labels).inc();
        self.latency.observe(elapsed.as_secs_f64());
    }

    /// Returns the counters of links that carry `purpose`.
    pub fn link_counters(&self, purpose: &'static str) -> LinkCounters {
        let labels = LinkLabels { purpose };
        let bytes = self.link_bytes.get_or_create(&labels).clone();
        let writes = self.link_writes.get_or_create(&labels).clone();
        LinkCounters { bytes, writes }
    }

    /// Returns the metrics in OpenMetrics text format.
    pub fn page(&self) -> String {
        let mut page = String::new();
        encode(&mut page, &self.registry).expect("writing to a string cannot fail");
        page
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
