//! The holders of the fake: what they report, and what each node believes to hold and own.

use {
    super::{Due, World},
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

impl World {
    /// Makes a server fail, or answer again, as its holder sees it.
    pub fn set_server(&mut self, service: &str, server: ServerId, up: bool) {
        let id = (Name::from(service), server);
        self.losses |= !up;
        if up {
            self.down.remove(&id)
        } else {
            self.down.insert(id)
        };
        for name in self.procs.keys().cloned().collect::<Vec<_>>() {
            let term = self.held(&name).get(&(service.into(), server)).copied();
            let Some(term) = term else { continue };
            if !up {
                self.give_up(&name, service, server);
            }
            let (service, at) = (Name::from(service), self.now);
            let message = match up {
                true => Message::ServerBack { service, server, term },
                false => Message::ServerLost { service, server, term },
            };
            self.push(at, &name, Due::Handle(Event::Local(message)));
        }
    }

    /// Gives up all slices of a lost server, as its holder does.
    fn give_up(&mut self, name: &Name, service: &str, server: ServerId) {
        let mut slices = Vec::new();
        self.owners(name, |of, slice, owner| {
            if of == service && owner.server == server {
                slices.push((of.clone(), server, slice, owner.epoch));
            }
        });
        self.procs.get_mut(name).unwrap().slices.extend(slices);
    }

    /// Returns the servers that a node believes to hold now, with their terms.
    pub fn held(&self, name: &Name) -> BTreeMap<(Name, ServerId), u64> {
        let Some(proc) = self.procs.get(name) else { return BTreeMap::new() };
        if self.tick(name) >= proc.control.lease_until() {
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

    /// Returns the slices that a node believes it may start work on.
    pub fn owned(&self, name: &Name) -> BTreeMap<(Name, Slice), ServerId> {
        let held = self.held(name);
        let mut owned = BTreeMap::new();
        self.owners(name, |service, slice, owner| {
            let released = (service.clone(), owner.server, slice, owner.epoch);
            let mine = held.contains_key(&(service.clone(), owner.server));
            if mine && owner.next.is_none() && !self.procs[name].slices.contains(&released) {
                owned.insert((service.clone(), slice), owner.server);
            }
        });
        owned
    }

    /// Calls `f` for each owner that a node knows of.
    fn owners(&self, name: &Name, mut f: impl FnMut(&Name, Slice, &Owner)) {
        let Some(proc) = self.procs.get(name) else { return };
        for record in proc.control.replica().iter(Kind::Segment) {
            let Some(Value::Segment(segment)) = &record.value else { continue };
            let service = Name::from(record.key.name.rsplit_once('.').unwrap().0);
            for (offset, owner) in segment.owners.iter().enumerate() {
                f(&service, Slice(segment.first + offset as u32), owner);
            }
        }
    }

    /// Does the holders' part: reports lost servers and releases what is to move.
    pub(super) fn changed(&mut self, name: &Name, keys: &[Key]) {
        let proc = self.procs.get_mut(name).unwrap();
        for key in keys {
            let version = proc.control.replica().get(key).map_or(0, |record| record.version);
            let former = proc.versions.insert(key.clone(), version).unwrap_or_default();
            assert!(version == 0 || version > former, "{name} went back on {key:?}");
        }
        if !std::mem::replace(&mut proc.releasing, true) {
            let at = self.now + self.rng.random_range(0..50_000);
            self.push(at, name, Due::Release);
        }
    }

    pub(super) fn release(&mut self, name: &Name) {
        self.procs.get_mut(name).unwrap().releasing = false;
        let held = self.held(name);
        let mut slices: BTreeMap<(Name, ServerId), Vec<(Slice, u64)>> = BTreeMap::new();
        let mut given = BTreeSet::new();
        self.owners(name, |service, slice, owner| {
            let id = (service.clone(), owner.server);
            let unit = (service.clone(), owner.server, slice, owner.epoch);
            if owner.next.is_none() && self.procs[name].slices.contains(&unit) {
                given.insert(id.clone());
            }
            if owner.next.is_some() && held.contains_key(&id) {
                slices.entry(id).or_default().push((slice, owner.epoch));
            }
        });
        let mut reports = Vec::new();
        for ((service, server), term) in held {
            let term_of = (service.clone(), server, term);
            let holders =
                self.procs[name].control.replica().get(&Key::new(Kind::Holders, service.clone()));
            let Some(Value::Holders(holders)) = holders.and_then(|r| r.value.clone()) else {
                continue;
            };
            let slices = slices.remove(&(service.clone(), server)).unwrap_or_default();
            let keys = self.leaving_keys(name, &service, server);
            for (slice, epoch) in &slices {
                let proc = self.procs.get_mut(name).unwrap();
                proc.slices.insert((service.clone(), server, *slice, *epoch));
            }
            if !slices.is_empty() || !keys.is_empty() {
                let service = service.clone();
                reports.push(Message::SlicesReleased { service, server, term, slices, keys });
            }
            let id = (service.clone(), server);
            if self.down.contains(&id) {
                self.give_up(name, &service, server);
                let service = service.clone();
                reports.push(Message::ServerLost { service, server, term });
            } else if given.contains(&id) {
                let service = service.clone();
                reports.push(Message::ServerBack { service, server, term });
            }
            if holders.terms[&server].next.is_some() {
                self.procs.get_mut(name).unwrap().servers.insert(term_of);
                reports.push(Message::ServerReleased { service, server, term });
            }
        }
        for report in reports {
            self.push(self.now, name, Due::Handle(Event::Local(report)));
        }
    }

    /// Returns the single keys that are to leave a server.
    fn leaving_keys(&self, name: &Name, service: &Name, server: ServerId) -> Vec<(Name, u64)> {
        let mut keys = Vec::new();
        for record in self.procs[name].control.replica().iter(Kind::Segment) {
            let Some(Value::Segment(segment)) = &record.value else { continue };
            let mine = record.key.name.starts_with(&format!("{service}."));
            let leaving = |owner: &Owner| mine && owner.server == server && owner.next.is_some();
            let leaving = segment.keys.iter().filter(|(_, owner)| leaving(owner));
            keys.extend(leaving.map(|(key, owner)| (key.clone(), owner.epoch)));
        }
        keys
    }

    /// Panics if another node believes to hold or own what this one does.
    pub(super) fn check(&self, name: &Name) {
        let held = self.held(name);
        let owned = self.owned(name);
        for other in self.procs.keys().filter(|other| *other != name) {
            let controllers = self.controls(name) && self.controls(other);
            assert!(!controllers, "{name} and {other} are controllers at {} us", self.now);
            let both = self.held(other).keys().find(|id| held.contains_key(*id)).cloned();
            assert_eq!(both, None, "held by {name} and {other} at {} us", self.now);
            let both = self.owned(other).keys().find(|id| owned.contains_key(*id)).cloned();
            assert_eq!(both, None, "owned through {name} and {other} at {} us", self.now);
        }
    }

    /// Returns whether a node believes to be the controller now.
    fn controls(&self, name: &Name) -> bool {
        let control = &self.procs[name].control;
        control.is_controller() && self.tick(name) < control.lease_until()
    }
}
