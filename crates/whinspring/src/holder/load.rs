//! Load reports to the controller.

use {
    super::{Context, Holder, event::Output},
    crate::{
        message::Message,
        name::{Name, Slice},
        request::Job,
        sketch::Sketch,
        time::Tick,
    },
    std::{collections::BTreeMap, time::Duration},
};

const PERIOD: Duration = Duration::from_secs(1);
/// Number of keys that the sketch tracks.
const SKETCH_KEYS: usize = 128;
/// Limit of the slices, and of the keys, in a report.
const MAX_REPORTED: usize = 32;

#[derive(Debug)]
pub struct Load {
    since: Tick,
    total: Duration,
    slices: BTreeMap<Slice, u64>,
    keys: Sketch<Name>,
}

impl Load {
    pub fn new(now: Tick) -> Self {
        Self {
            since: now,
            total: Duration::ZERO,
            slices: BTreeMap::new(),
            keys: Sketch::new(SKETCH_KEYS),
        }
    }

    fn add(&mut self, job: &Job, span: Duration) {
        self.total += span;
        let Some(place) = &job.meta.place else { return };
        let us = span.as_micros() as u64;
        *self.slices.entry(place.slice).or_default() += us;
        self.keys.add(&place.key, us);
    }

    /// Returns the heaviest slices, heaviest first, in microseconds of slot time per second.
    fn top_slices(&self, span: Duration) -> Vec<(Slice, u64)> {
        let mut all: Vec<(Slice, u64)> =
            self.slices.iter().map(|(slice, us)| (*slice, per_second(*us, span))).collect();
        all.sort_unstable_by_key(|(slice, us)| (std::cmp::Reverse(*us), *slice));
        all.truncate(MAX_REPORTED);
        all
    }

    /// Returns the heaviest keys, heaviest first, with the lower bound of their load in
    /// microseconds of slot time per second.
    fn top_keys(&self, span: Duration) -> Vec<(Name, u64)> {
        let top = self.keys.top(MAX_REPORTED);
        let sure = top.map(|(key, weight)| (key.clone(), weight.total - weight.error));
        let mut keys: Vec<(Name, u64)> =
            sure.map(|(key, us)| (key, per_second(us, span))).collect();
        keys.retain(|(_, us)| *us > 0);
        keys
    }
}

impl Holder {
    /// Adds the slot time that a request used since it was last counted.
    pub(super) fn count_load(&mut self, job: &Job, counted: Tick, now: Tick) {
        self.load.add(job, now.since(counted));
    }

    /// Reports the load to the controller once per [`PERIOD`].
    pub(super) fn report_load(&mut self, cx: &mut Context<'_>) {
        let span = cx.now.since(self.load.since);
        if span < PERIOD {
            return;
        }
        for run in self.runs.values_mut() {
            self.load.add(&run.job, cx.now.since(run.counted));
            run.counted = cx.now;
        }
        let slots = u128::from(self.server.slots.max(1));
        let busy = self.load.total.as_micros() * 1_000 / (span.as_micros() * slots);
        cx.out.push(Output::Report(Message::Load {
            service: self.service.clone(),
            server: self.id,
            busy: busy as u32,
            slices: self.load.top_slices(span),
            keys: self.load.top_keys(span),
        }));
        self.load = Load::new(cx.now);
    }
}

fn per_second(us: u64, span: Duration) -> u64 {
    (u128::from(us) * 1_000_000 / span.as_micros().max(1)) as u64
}
