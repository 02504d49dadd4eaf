//! Load that servers report in their responses.
//!
//! Load pattern: a server also runs requests that its gate has not admitted, as those of another
//! gate or of nodes that were cut off, and work takes up to three times as long for fractions of a
//! second. A report is as old as the way of the response. It counts only requests that had arrived,
//! so that what the gate admitted itself is subtracted, and it fades as those requests end.

use {
    crate::time::Tick,
    std::{collections::VecDeque, time::Duration},
};

/// Slowness of a server that works as fast as usual.
const USUAL_SLOWNESS: u32 = 100;

/// Highest slowness that counts: a misreport must not keep a server idle.
const MAX_SLOWNESS: u32 = 1_000;

/// Time for which work stays as slow as reported.
const SLOWNESS_TTL: Duration = Duration::from_millis(400);

/// Requests that a server queues for each of its slots.
const QUEUE_PER_SLOT: u32 = 4;

/// Longest time for which a report occupies slots.
const MAX_OCCUPATION: Duration = Duration::from_secs(1);

/// Time in which the ends of requests reach the gate after one another: a server may still count a
/// request whose end the gate knows.
const SETTLE_TIME: Duration = Duration::from_millis(30);

/// Most ends of requests that are remembered.
const MAX_ENDS: usize = 16;

/// Load of a server, as it reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    pub running: u32,
    pub waiting: u32,
    pub slots: u32,
    /// Time that work takes now, in hundredths of the usual time.
    pub slowness: u32,
}

impl Load {
    /// Returns whether the server would neither run nor queue another request.
    const fn is_full(self) -> bool {
        self.running >= self.slots && self.waiting >= self.slots.saturating_mul(QUEUE_PER_SLOT)
    }
}

/// A load as a response reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reported {
    /// The response reports no load.
    None,
    Load(Load),
    Malformed,
}

/// Parses the values of the header: one `RUNNING,WAITING,SLOTS[,SLOWNESS]`.
pub fn parse_load<'a>(mut values: impl Iterator<Item = &'a [u8]>) -> Reported {
    match (values.next(), values.next()) {
        (None, _) => Reported::None,
        (Some(value), None) => parse_value(value).map_or(Reported::Malformed, Reported::Load),
        (Some(_), Some(_)) => Reported::Malformed,
    }
}

fn parse_value(value: &[u8]) -> Option<Load> {
    let text = std::str::from_utf8(value).ok()?;
    let parse = |field: &str| field.trim().parse::<u32>().ok();
    let numbers: Vec<u32> = text.split(',').map(parse).collect::<Option<_>>()?;
    let (running, waiting, slots, slowness) = match numbers[..] {
        [running, waiting, slots] => (running, waiting, slots, USUAL_SLOWNESS),
        [running, waiting, slots, slowness] => (running, waiting, slots, slowness),
        _ => return None,
    };
    (slots > 0 && slowness > 0).then_some(Load { running, waiting, slots, slowness })
}

/// What a gate knows of the load of a server beyond what it has admitted itself.
#[derive(Debug, Default)]
pub(super) struct ExcessLoad {
    /// Requests beyond those of the gate when the report was read.
    excess: f64,
    /// When the report was read.
    at: Tick,
    /// Time in which the server runs one of them, with all of its slots.
    each: Duration,
    slowness: u32,
    /// When the last requests of the gate ended.
    ends: VecDeque<Tick>,
}

impl ExcessLoad {
    /// Records that a request of the gate has ended.
    pub(super) fn record_end(&mut self, now: Tick) {
        if self.ends.len() == MAX_ENDS {
            self.ends.pop_front();
        }
        self.ends.push_back(now);
    }

    /// Records a report. `own` requests of the gate have not ended; the server may still count those
    /// that ended a moment ago. If it has `shed` a request although it has room, it may get the next
    /// one at once; otherwise requests that only wait there last no longer than one takes.
    pub(super) fn record(
        &mut self,
        load: Load,
        own: usize,
        service_time: Duration,
        shed: bool,
        now: Tick,
    ) {
        while self.ends.front().is_some_and(|end| now.since(*end) > SETTLE_TIME) {
            self.ends.pop_front();
        }
        let total = u64::from(load.running) + u64::from(load.waiting);
        let excess = total.saturating_sub((own + self.ends.len()) as u64) as f64;
        let slots = f64::from(load.slots);
        let most = match load.is_full() {
            true => f64::INFINITY,
            false if shed => slots - 1.0,
            false => slots,
        };
        self.excess = excess.min(most);
        self.each = service_time.div_f64(slots);
        self.at = now;
        self.slowness = load.slowness.min(MAX_SLOWNESS);
    }

    /// Returns how many requests beyond those of the gate the server still has.
    pub(super) fn requests(&self, now: Tick) -> usize {
        let age = now.since(self.at);
        if self.excess <= 0.0 || self.each.is_zero() || age >= MAX_OCCUPATION {
            return 0;
        }
        (self.excess - age.div_duration_f64(self.each)).max(0.0).ceil() as usize
    }

    /// Returns a service time at the speed at which the server works now.
    pub(super) fn slow_down(&self, service_time: Duration, now: Tick) -> Duration {
        let is_slow = self.slowness > USUAL_SLOWNESS && now.since(self.at) < SLOWNESS_TTL;
        if is_slow { service_time * self.slowness / USUAL_SLOWNESS } else { service_time }
    }
}
