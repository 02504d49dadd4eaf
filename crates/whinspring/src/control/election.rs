//! Election of the controller: taking a vacant term, and handing the term over on a graceful stop.

use {
    super::{Action, Control, nodes, writes::Purpose},
    crate::{
        model::{Controller, NodeState},
        name::Name,
        record::{Key, Kind, Value},
        rendezvous::rank,
        time::Tick,
    },
    rand::Rng,
    std::time::Duration,
};

const RECORD_NAME: &str = "controller";

/// Delay of each candidate after the one ranked before it.
const STAGGER: Duration = Duration::from_millis(60);

/// Upper limit of the number of such delays.
const MAX_STAGGER_STEPS: u32 = 50;

/// A vacant term as observed by this node.
#[derive(Debug, Clone, Copy)]
pub(super) struct Vacancy {
    /// Version of the controller's record.
    version: u64,
    /// When it was first observed as vacant.
    since: Tick,
}

impl Control {
    pub(super) fn controller(&self) -> Option<(u64, &Controller)> {
        let record = self.replica.get(&Key::new(Kind::Controller, RECORD_NAME))?;
        match &record.value {
            Some(Value::Controller(controller)) => Some((record.version, controller)),
            _ => None,
        }
    }

    /// Returns whether the records name this incarnation as the controller.
    pub(super) fn is_named_controller(&self) -> bool {
        let mine = |c: &Controller| c.node == self.setup.name && c.incarnation == self.incarnation;
        self.controller().is_some_and(|(_, controller)| mine(controller))
    }

    /// Takes a vacant term, or hands over this node's term during a graceful stop.
    pub(super) fn update_term(&mut self, out: &mut Vec<Action>) {
        if self.is_named_controller() && self.membership.stopping && self.is_lease_valid() {
            self.hand_over_term(out);
            return;
        }
        let vacant = self.vacant_version();
        let former = self.vacancy.filter(|former| Some(former.version) == vacant);
        self.vacancy = vacant.map(|version| former.unwrap_or(Vacancy { version, since: self.now }));
        let Some(vacancy) = self.vacancy else { return };
        if !self.is_lease_valid() || self.membership.stopping {
            return;
        }
        let Some(position) = self.candidate_rank(vacancy.version) else { return };
        if self.now.since(vacancy.since) >= STAGGER * position.min(MAX_STAGGER_STEPS) {
            self.write_term(self.setup.name.clone(), self.incarnation, out);
        }
    }

    /// Returns the version of the controller's record if the term is vacant; zero without a record.
    fn vacant_version(&self) -> Option<u64> {
        let Some((version, controller)) = self.controller() else { return Some(0) };
        let present = nodes::is_present(&self.replica, &controller.node, controller.incarnation);
        (!present).then_some(version)
    }

    /// Returns the rank of this node among the candidates for the next term, starting at zero;
    /// `None` if it is no candidate.
    fn candidate_rank(&self, version: u64) -> Option<u32> {
        let mine = rank(&[&self.setup.name], version + 1);
        let own = nodes::node(&self.replica, &self.setup.name)?.1;
        let ranks_before = |name: &Name| rank(&[name], version + 1) < mine;
        let position = self.nodes.others.iter().filter(|name| ranks_before(name)).count();
        (own.state == NodeState::Live).then_some(position as u32)
    }

    fn hand_over_term(&mut self, out: &mut Vec<Action>) {
        let successor =
            self.nodes.others.iter().filter(|name| !self.membership.vms_gone.contains(name));
        let Some(name) = successor.min_by_key(|name| rank(&[name], 0)).cloned() else {
            return;
        };
        let Some((_, node)) = nodes::node(&self.replica, &name) else { return };
        let incarnation = node.incarnation;
        self.write_term(name, incarnation, out);
    }

    fn write_term(&mut self, node: Name, incarnation: u64, out: &mut Vec<Action>) {
        let key = Key::new(Kind::Controller, RECORD_NAME);
        if !self.writes.is_free(&self.replica, &key) {
            return;
        }
        let (expect, term) = self.controller().map_or((0, 0), |(version, c)| (version, c.term));
        let value = Value::Controller(Controller { node, incarnation, term: term + 1 });
        let mark = self.rng.random();
        out.push(self.writes.put(Purpose::Term, key, expect, Some(value), mark));
    }
}
