//! Load generator for small requests, at full speed or at a fixed rate.
//!
//! Each worker has one request in flight at a time. At a fixed rate, the latency of a request that
//! is sent late because the previous one was still in flight counts from when it was due, which
//! avoids coordinated omission.

use {
    crate::driver::{Attempt, Outcome, Request},
    hdrhistogram::Histogram,
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{task::JoinSet, time::sleep_until},
    whinspring_standin::caller::Caller,
};

/// Largest recorded latency, in microseconds; higher ones are clamped.
const MAX_US: u64 = 60_000_000;

/// Significant decimal digits of recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Parameters of a load.
#[derive(Debug, Clone)]
pub struct Load {
    /// Target addresses, assigned to the workers round-robin.
    pub entries: Vec<SocketAddr>,
    /// Number of concurrent workers.
    pub workers: usize,
    /// Requests per second over all workers; `None` sends at full speed.
    pub rate: Option<f64>,
    /// Time before recording starts.
    pub warmup: Duration,
    /// Length of the recorded interval.
    pub time: Duration,
    /// Random seed of the requests.
    pub seed: u64,
}

/// Counts and latencies of a load.
#[derive(Debug, Clone)]
pub struct Tally {
    /// Latencies of requests with a verified response, in microseconds.
    pub latencies: Histogram<u64>,
    /// Requests with a complete, verified response.
    pub done: u64,
    /// Requests refused without running.
    pub refused: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Requests without a complete response, or with one that belongs to another request.
    pub lost: u64,
    /// First lost request of one of the workers, as an example.
    pub first_lost: Option<Attempt>,
    /// Length of the recorded interval.
    pub time: Duration,
}

impl Tally {
    fn new(time: Duration) -> Self {
        let latencies =
            Histogram::new_with_bounds(1, MAX_US, SIGNIFICANT_DIGITS).expect("bounds are in range");
        Self { latencies, done: 0, refused: 0, unknown: 0, lost: 0, first_lost: None, time }
    }

    /// Returns the requests with a verified response per second.
    pub fn rate(&self) -> f64 {
        self.done as f64 / self.time.as_secs_f64()
    }

    /// Returns a percentile (0 to 100) of the latencies, in microseconds.
    pub fn percentile(&self, percent: f64) -> u64 {
        self.latencies.value_at_percentile(percent)
    }

    /// Counts an attempt.
    fn record(&mut self, attempt: &Attempt, latency: Duration) {
        match attempt.outcome() {
            Outcome::Done => {
                self.done += 1;
                let us = (latency.as_micros() as u64).min(MAX_US);
                self.latencies.saturating_record(us);
            }
            Outcome::NotRun => self.refused += 1,
            Outcome::Unknown => self.unknown += 1,
            Outcome::Lost | Outcome::Silent | Outcome::Wrong => {
                self.lost += 1;
                self.first_lost.get_or_insert_with(|| attempt.clone());
            }
        }
    }

    /// Merges a tally of the same interval.
    fn add(&mut self, other: &Self) {
        self.latencies += &other.latencies;
        self.done += other.done;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.lost += other.lost;
        self.first_lost = self.first_lost.take().or_else(|| other.first_lost.clone());
    }
}

/// Runs a load of requests created by `make`, without retries.
pub async fn run<F>(load: &Load, make: F) -> Tally
where
    F: Fn(&mut ChaCha8Rng) -> Request + Send + Sync + 'static,
{
    let make = Arc::new(make);
    let start = Instant::now();
    let mut workers = JoinSet::new();
    for index in 0..load.workers {
        workers.spawn(run_worker(load.clone(), index, start, make.clone()));
    }
    let mut tally = Tally::new(load.time);
    for other in workers.join_all().await {
        tally.add(&other);
    }
    tally
}

/// Sends requests as worker `index` until the end of the recorded interval.
async fn run_worker<F>(load: Load, index: usize, start: Instant, make: Arc<F>) -> Tally
where
    F: Fn(&mut ChaCha8Rng) -> Request,
{
    let caller = Caller::new();
    let entry = load.entries[index % load.entries.len()];
    let mut random = ChaCha8Rng::seed_from_u64(load.seed.wrapping_add(index as u64));
    let mut tally = Tally::new(load.time);
    let record_start = start + load.warmup;
    let end = record_start + load.time;
    let interval = load.rate.map(|rate| Duration::from_secs_f64(load.workers as f64 / rate));
    let phase = index as f64 / load.workers as f64;
    let mut due = start + interval.unwrap_or_default().mul_f64(phase);
    loop {
        let is_late = Instant::now() > due;
        if interval.is_some() && !is_late {
            sleep_until(due.into()).await;
        }
        let sent = Instant::now();
        if sent >= end {
            return tally;
        }
        let from = if interval.is_some() && is_late { due } else { sent };
        let request = make(&mut random);
        let reply = caller.send(&request.call(entry, 1)).await;
        if sent >= record_start {
            tally.record(&Attempt { entry, sent_at: sent, reply }, from.elapsed());
        }
        due += interval.unwrap_or_default();
    }
}
