//! Simulated platform: versioned objects, conditional writes and watches.

use {
    super::{Simulation, Task},
    rand::Rng,
    whinspring::{
        control::{Action, Event, WriteOutcome},
        name::Name,
        record::{Key, Record, Value},
    },
};

/// Timeout of a watch, in microseconds.
const WATCH_US: u64 = 5_000_000;

impl Simulation {
    /// Handles a call of the platform's API and schedules the reply.
    pub(super) fn handle_call(&mut self, name: Name, generation: u64, call: Action) {
        let at = self.now + self.rng.random_range(500..=self.max_delay);
        let down = self.outage || self.isolated.contains(&name);
        match call {
            Action::Put { op, key, expect, mark, value } => {
                self.puts += 1;
                let lost = down || self.rng.random_range(0..1_000) < self.reply_loss;
                let outcome =
                    if down { WriteOutcome::Unknown } else { self.put(key, expect, mark, value) };
                let outcome = if lost { WriteOutcome::Unknown } else { outcome };
                self.schedule_for(
                    at,
                    &name,
                    generation,
                    Task::Handle(Event::WriteCompleted { op, outcome }),
                );
            }
            Action::ListVms if !down => {
                let vms = self.vms.iter().map(|(name, state)| (name.clone(), *state)).collect();
                self.schedule_for(at, &name, generation, Task::Handle(Event::Vms(vms)));
            }
            Action::List if !down => {
                let records = self.objects.values().cloned().collect();
                let event = Event::Read { full: true, revision: self.revision, records };
                self.schedule_for(at, &name, generation, Task::Handle(event));
            }
            Action::Watch(after) if !down => {
                self.watches.push((name, generation, after, self.now + WATCH_US));
                self.answer_watches();
            }
            Action::List | Action::Watch(_) => {
                self.schedule_for(
                    at,
                    &name,
                    generation,
                    Task::Handle(Event::ReadFailed { gone: false }),
                );
            }
            _ => {}
        }
    }

    fn put(&mut self, key: Key, expect: u64, mark: u64, value: Option<Value>) -> WriteOutcome {
        let present = self.objects.get(&key).filter(|record| record.value.is_some());
        let (version, former) = present.map_or((0, 0), |record| (record.version, record.mark));
        if version != expect {
            return WriteOutcome::Conflict { version, mark: former };
        }
        self.revision += 1;
        self.objects.insert(key.clone(), Record { key, version: self.revision, mark, value });
        self.answer_watches();
        WriteOutcome::Written(self.revision)
    }

    /// Answers the watches that have changes or have timed out.
    pub(super) fn answer_watches(&mut self) {
        for (name, generation, after, until) in std::mem::take(&mut self.watches) {
            if self.outage || self.isolated.contains(&name) {
                self.schedule_for(
                    self.now,
                    &name,
                    generation,
                    Task::Handle(Event::ReadFailed { gone: false }),
                );
            } else if self.revision > after || self.now >= until {
                let records =
                    self.objects.values().filter(|r| r.version > after).cloned().collect();
                let at = self.now + self.rng.random_range(500..=self.max_delay);
                let event = Event::Read { full: false, revision: self.revision, records };
                self.schedule_for(at, &name, generation, Task::Handle(event));
            } else {
                self.watches.push((name, generation, after, until));
            }
        }
    }
}
