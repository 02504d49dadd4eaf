//! The platform of the fake: objects, versions and watches.

use {
    super::{Due, World},
    rand::Rng,
    whinspring::{
        control::{Action, Event, Stored},
        name::Name,
        record::{Key, Record, Value},
    },
};

/// Longest wait of a watch, in microseconds.
const WATCH_US: u64 = 5_000_000;

impl World {
    /// Carries out a call of the platform's API and sends the reply.
    pub(super) fn call(&mut self, name: Name, life: u64, call: Action) {
        let at = self.now + self.rng.random_range(500..=self.delay);
        let down = self.outage || self.cut_off.contains(&name);
        match call {
            Action::Put { op, key, expect, mark, value } => {
                self.counts.puts += 1;
                let lost = down || self.rng.random_range(0..1_000) < self.lose;
                let outcome =
                    if down { Stored::Unknown } else { self.put(key, expect, mark, value) };
                let outcome = if lost { Stored::Unknown } else { outcome };
                self.answer(at, &name, life, Due::Handle(Event::Stored { op, outcome }));
            }
            Action::ListVms if !down => {
                let vms = self.vms.iter().map(|(name, state)| (name.clone(), *state)).collect();
                self.answer(at, &name, life, Due::Handle(Event::Vms(vms)));
            }
            Action::List if !down => {
                self.counts.reads += 1;
                let records = self.objects.values().cloned().collect();
                let event = Event::Read { whole: true, revision: self.revision, records };
                self.answer(at, &name, life, Due::Handle(event));
            }
            Action::Watch(after) if !down => {
                self.counts.reads += 1;
                self.waiting.push((name, life, after, self.now + WATCH_US));
                self.wake();
            }
            Action::List | Action::Watch(_) => {
                self.answer(at, &name, life, Due::Handle(Event::ReadFailed { gone: false }));
            }
            _ => {}
        }
    }

    fn put(&mut self, key: Key, expect: u64, mark: u64, value: Option<Value>) -> Stored {
        let present = self.objects.get(&key).filter(|record| record.value.is_some());
        let (version, former) = present.map_or((0, 0), |record| (record.version, record.mark));
        if version != expect {
            return Stored::Conflict { version, mark: former };
        }
        self.revision += 1;
        self.objects.insert(key.clone(), Record { key, version: self.revision, mark, value });
        self.wake();
        Stored::Written(self.revision)
    }

    /// Answers the watches that have something to tell or have waited long enough.
    pub(super) fn wake(&mut self) {
        for (name, life, after, until) in std::mem::take(&mut self.waiting) {
            if self.outage || self.cut_off.contains(&name) {
                self.answer(self.now, &name, life, Due::Handle(Event::ReadFailed { gone: false }));
            } else if self.revision > after || self.now >= until {
                let records =
                    self.objects.values().filter(|r| r.version > after).cloned().collect();
                let at = self.now + self.rng.random_range(500..=self.delay);
                let event = Event::Read { whole: false, revision: self.revision, records };
                self.answer(at, &name, life, Due::Handle(event));
            } else {
                self.waiting.push((name, life, after, until));
            }
        }
    }
}
