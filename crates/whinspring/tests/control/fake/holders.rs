//! Simulated holders: their reports, and the servers and slices that each node considers its own.

use {
    super::{Simulation, Task},
    rand::Rng,
    std::collections::{BTreeMap, BTreeSet},
    whinspring::{
        control::Event,
        message::Message,
        model::Owner,
        name::{Name, ServerId, Slice},
        record::{Key, Kind, Value},
    },
};

impl Simulation {
    /// Makes a server fail or answer again, and reports it through its holders.
    pub fn set_server_up(&mut self, service: &str, server: ServerId, up: bool) {
        let id = (Name::from(service), server);
        self.server_lost |= !up;
        if up {
            self.failed_servers.remove(&id)
        } else {
            self.failed_servers.insert(id)
        };
        for name in self.processes.keys().cloned().collect::<Vec<_>>() {
            let term = self.held_servers(&name).get(&(service.into(), server)).copied();
            let Some(term) = term else { continue };
            if !up {
                self.release_server(&name, service, server);
            }
            let (service, at) = (Name::from(service), self.now);
            let message = match up {
                true => Message::ServerBack { service, server, term },
                false => Message::ServerLost { service, server, term },
            };
            self.schedule(at, &name, Task::Handle(Event::Report(message)));
        }
    }

    /// Releases all slices of a lost server, as its holder does.
    fn release_server(&mut self, name: &Name, service: &str, server: ServerId) {
        let mut slices = Vec::new();
        self.for_each_owner(name, |of, slice, owner| {
            if of == service && owner.server == server {
                slices.push((of.clone(), server, slice, owner.epoch));
            }
        });
        self.processes.get_mut(name).unwrap().slices.extend(slices);
    }

    /// Returns the servers that a node considers itself the holder of, with their terms.
    pub fn held_servers(&self, name: &Name) -> BTreeMap<(Name, ServerId), u64> {
        let Some(proc) = self.processes.get(name) else { return BTreeMap::new() };
        if self.local_time(name) >= proc.control.lease_expiry() {
            return BTreeMap::new();
        }
        let mut held = BTreeMap::new();
        for record in proc.control.replica().iter(Kind::Holders) {
            let Some(Value::Holders(holders)) = &record.value else { continue };
            for (server, holder) in &holders.terms {
                let id = (record.key.name.clone(), *server, holder.term);
                let mine = holder.node == *name && holder.incarnation == proc.control.incarnation();
                if mine && !proc.servers.contains(&id) {
                    held.insert((id.0, id.1), id.2);
                }
            }
        }
        held
    }

    /// Returns the slices on which a node considers itself allowed to start work.
    pub fn owned_slices(&self, name: &Name) -> BTreeMap<(Name, Slice), ServerId> {
        let held = self.held_servers(name);
        let mut owned = BTreeMap::new();
        self.for_each_owner(name, |service, slice, owner| {
            let released = (service.clone(), owner.server, slice, owner.epoch);
            let mine = held.contains_key(&(service.clone(), owner.server));
            if mine && owner.next.is_none() && !self.processes[name].slices.contains(&released) {
                owned.insert((service.clone(), slice), owner.server);
            }
        });
        owned
    }

    /// Calls `f` with each slice owner in a node's replica.
    fn for_each_owner(&self, name: &Name, mut f: impl FnMut(&Name, Slice, &Owner)) {
        let Some(proc) = self.processes.get(name) else { return };
        for record in proc.control.replica().iter(Kind::Segment) {
            let Some(Value::Segment(segment)) = &record.value else { continue };
            let service = Name::from(record.key.name.rsplit_once('.').unwrap().0);
            for (offset, owner) in segment.owners.iter().enumerate() {
                f(&service, Slice(segment.first + offset as u32), owner);
            }
        }
    }

    /// Checks that no record returned to a lower version, and schedules the holders' releases.
    pub(super) fn apply_changes(&mut self, name: &Name, keys: &[Key]) {
        let proc = self.processes.get_mut(name).unwrap();
        for key in keys {
            let version = proc.control.replica().get(key).map_or(0, |record| record.version);
            let former = proc.versions.insert(key.clone(), version).unwrap_or_default();
            assert!(
                version == 0 || version > former,
                "{name} replaced {key:?} by version {version} after {former}"
            );
        }
        if !std::mem::replace(&mut proc.releasing, true) {
            let at = self.now + self.rng.random_range(0..50_000);
            self.schedule(at, name, Task::Release);
        }
    }

    pub(super) fn release_units(&mut self, name: &Name) {
        self.processes.get_mut(name).unwrap().releasing = false;
        let held = self.held_servers(name);
        let mut slices: BTreeMap<(Name, ServerId), Vec<(Slice, u64)>> = BTreeMap::new();
        let mut reassigned = BTreeSet::new();
        self.for_each_owner(name, |service, slice, owner| {
            let id = (service.clone(), owner.server);
            let unit = (service.clone(), owner.server, slice, owner.epoch);
            if owner.next.is_none() && self.processes[name].slices.contains(&unit) {
                reassigned.insert(id.clone());
            }
            if owner.next.is_some() && held.contains_key(&id) {
                slices.entry(id).or_default().push((slice, owner.epoch));
            }
        });
        let mut reports = Vec::new();
        for ((service, server), term) in held {
            let term_of = (service.clone(), server, term);
            let holders = self.processes[name]
                .control
                .replica()
                .get(&Key::new(Kind::Holders, service.clone()));
            let Some(Value::Holders(holders)) = holders.and_then(|r| r.value.clone()) else {
                continue;
            };
            let slices = slices.remove(&(service.clone(), server)).unwrap_or_default();
            let keys = self.moving_keys(name, &service, server);
            for (slice, epoch) in &slices {
                let proc = self.processes.get_mut(name).unwrap();
                proc.slices.insert((service.clone(), server, *slice, *epoch));
            }
            if !slices.is_empty() || !keys.is_empty() {
                let service = service.clone();
                reports.push(Message::SlicesReleased { service, server, term, slices, keys });
            }
            let id = (service.clone(), server);
            if self.failed_servers.contains(&id) {
                self.release_server(name, &service, server);
                let service = service.clone();
                reports.push(Message::ServerLost { service, server, term });
            } else if reassigned.contains(&id) {
                let service = service.clone();
                reports.push(Message::ServerBack { service, server, term });
            }
            if holders.terms[&server].next.is_some() {
                self.processes.get_mut(name).unwrap().servers.insert(term_of);
                reports.push(Message::ServerReleased { service, server, term });
            }
        }
        for report in reports {
            self.schedule(self.now, name, Task::Handle(Event::Report(report)));
        }
    }

    /// Returns the single keys that are to move away from a server, with their epochs.
    fn moving_keys(&self, name: &Name, service: &Name, server: ServerId) -> Vec<(Name, u64)> {
        let mut keys = Vec::new();
        for record in self.processes[name].control.replica().iter(Kind::Segment) {
            let Some(Value::Segment(segment)) = &record.value else { continue };
            let mine = record.key.name.starts_with(&format!("{service}."));
            let leaving = |owner: &Owner| mine && owner.server == server && owner.next.is_some();
            let leaving = segment.keys.iter().filter(|(_, owner)| leaving(owner));
            keys.extend(leaving.map(|(key, owner)| (key.clone(), owner.epoch)));
        }
        keys
    }

    /// Panics if another node also considers itself holder of a server, owner of a slice or
    /// controller.
    pub(super) fn assert_exclusive(&self, name: &Name) {
        let held = self.held_servers(name);
        let owned = self.owned_slices(name);
        for other in self.processes.keys().filter(|other| *other != name) {
            let controllers = self.is_acting_controller(name) && self.is_acting_controller(other);
            assert!(!controllers, "{name} and {other} are controllers at {} us", self.now);
            let both = self.held_servers(other).keys().find(|id| held.contains_key(*id)).cloned();
            assert_eq!(both, None, "held by {name} and {other} at {} us", self.now);
            let both = self.owned_slices(other).keys().find(|id| owned.contains_key(*id)).cloned();
            assert_eq!(both, None, "owned through {name} and {other} at {} us", self.now);
        }
    }

    /// Returns whether a node currently considers itself the controller.
    fn is_acting_controller(&self, name: &Name) -> bool {
        let control = &self.processes[name].control;
        control.is_controller() && self.local_time(name) < control.lease_expiry()
    }
}
