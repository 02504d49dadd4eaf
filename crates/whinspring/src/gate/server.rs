//! What a gate knows of one server: its running requests, its speed, and whether it may get more.

use {
    super::{
        ServerOutcome, Ticket,
        health::Health,
        load::{ExcessLoad, Load},
    },
    crate::{limits::Pace, name::Name, time::Tick},
    std::{collections::HashMap, time::Duration},
};

/// Weight of a new measurement in the moving average of the service time, as a divisor.
const SMOOTHING_DIVISOR: u32 = 8;

/// Time after which the measured service time of an idle server is discarded.
const SERVICE_TIME_TTL: Duration = Duration::from_secs(4);

/// Consecutive failures of a server that cause no backoff.
const TOLERATED_FAILURES: u32 = 1;

/// Base of the exponential backoff; the first backoff is twice as long.
const BACKOFF_UNIT: Duration = Duration::from_millis(25);

const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// A server of the pool.
#[derive(Debug)]
pub(super) struct Server {
    pub(super) name: Name,
    pub(super) domain: Name,
    /// Number of requests that the server runs concurrently.
    pub(super) slots: u32,
    /// Whether requests may be sent to the server.
    pub(super) open: bool,
    /// Admitted requests that have not completed, with the time of admission.
    pub(super) running: HashMap<Ticket, Tick>,
    /// Moving average of the service time of a request; `None` if unknown.
    pub(super) service_time: Option<Duration>,
    /// Time of the last service time measurement.
    measured_at: Tick,
    /// Failures since the last completed request.
    failures: u32,
    /// Point in time before which no request is sent, because of failures.
    backoff_until: Tick,
    /// Spacing of requests, if the server limits them.
    pub(super) pace: Option<Pace>,
    pub(super) health: Health,
    excess: ExcessLoad,
}

impl Server {
    /// Creates a server that nothing is known of yet.
    pub(super) fn new(name: Name, domain: Name, slots: u32, open: bool) -> Self {
        Self {
            name,
            domain,
            slots,
            open,
            running: HashMap::new(),
            service_time: None,
            measured_at: Tick::default(),
            failures: 0,
            backoff_until: Tick::default(),
            pace: None,
            health: Health::default(),
            excess: ExcessLoad::default(),
        }
    }

    /// Returns whether the server has a free slot, and is neither closed nor in backoff nor at its
    /// limit, nor ejected unless a probe is due.
    pub(super) fn is_available(&self, now: Tick) -> bool {
        let is_open = self.open && self.pace.as_ref().is_none_or(|pace| pace.is_open(now));
        let may_send = now >= self.backoff_until && self.health.may_send(self.running.len(), now);
        is_open && may_send && (self.load(now) as u32) < self.slots
    }

    /// Returns the requests at the server: those of the gate, and others that it has reported.
    pub(super) fn load(&self, now: Tick) -> usize {
        self.running.len() + self.excess.requests(now)
    }

    /// Returns the expected time of a request now; `mean` is that of a server without a measurement.
    pub(super) fn expected_time(&self, mean: Duration, now: Tick) -> Duration {
        self.excess.slow_down(self.service_time.unwrap_or(mean), now)
    }

    /// Returns how many requests the server runs at a time, within its limit; none if it only gets
    /// probes.
    pub(super) fn capacity(&self, service_time: Duration) -> f64 {
        if self.health.is_ejected() {
            return 0.0;
        }
        let limit = self.pace.as_ref().map(|pace| pace.per_second() * service_time.as_secs_f64());
        f64::from(self.slots).min(limit.unwrap_or(f64::INFINITY))
    }

    /// Updates the service time, the health, or the backoff, from the outcome of a request and the
    /// load that its response reports; `mean` is the service time of a server without a measurement.
    ///
    /// An error causes no backoff: where there are other servers, the health decides. A server that
    /// sheds while it reports its load is used as the load allows.
    pub(super) fn record_outcome(
        &mut self,
        outcome: ServerOutcome,
        load: Option<Load>,
        mean: Duration,
        since: Tick,
        now: Tick,
    ) {
        self.health.record(outcome, now);
        self.excess.record_end(now);
        if let Some(load) = load {
            let service_time = self.service_time.unwrap_or(mean);
            let is_shed = outcome == ServerOutcome::Shed;
            self.excess.record(load, self.running.len(), service_time, is_shed, now);
        }
        match outcome {
            ServerOutcome::Completed => {
                let took = now.since(since);
                let service_time = self.service_time.unwrap_or(took);
                self.service_time = Some(
                    service_time - service_time / SMOOTHING_DIVISOR + took / SMOOTHING_DIVISOR,
                );
                self.measured_at = now;
                self.failures = 0;
            }
            ServerOutcome::Shed if load.is_some() => {}
            ServerOutcome::Failed | ServerOutcome::Shed => {
                self.failures += 1;
                if self.failures > TOLERATED_FAILURES {
                    let step = (self.failures - TOLERATED_FAILURES).min(MAX_BACKOFF_DOUBLINGS);
                    self.backoff_until = now + BACKOFF_UNIT * (1 << step);
                }
            }
            ServerOutcome::Errored | ServerOutcome::NotSent => {}
        }
    }

    /// Discards an old service time, so that a server that was slow is tried again.
    pub(super) fn expire_service_time(&mut self, now: Tick) {
        if self.running.is_empty() && now.since(self.measured_at) > SERVICE_TIME_TTL {
            self.service_time = None;
        }
    }

    /// Returns after when the service time is to be discarded, if the server stays idle.
    pub(super) fn service_time_expiry(&self) -> Option<Tick> {
        let is_idle = self.running.is_empty() && self.service_time.is_some();
        is_idle.then(|| self.measured_at + SERVICE_TIME_TTL)
    }
}
