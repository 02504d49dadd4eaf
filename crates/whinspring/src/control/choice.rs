//! Which nodes keep this node's lease: chosen, replaced when they are silent, spread evenly.

use {
    super::{Action, Control, Peer, membership::LEASELESS, roster},
    crate::{
        lease::{LESSORS, ack_quorum},
        message::Message,
        model::{Node, NodeState},
        name::Name,
        rendezvous::rank,
    },
    rand::Rng,
    std::time::Duration,
};

/// Time without acknowledgement after which a lessor is replaced.
const LESSOR_SILENT: Duration = Duration::from_millis(400);

/// Time for which a silent node is not chosen again, unless there is no other.
const SHUN: Duration = Duration::from_millis(5_000);

/// Time within which a node must have been heard to be added as a lessor.
const FRESH: Duration = Duration::from_millis(1_000);

/// Largest number of other nodes that a node without lessors may disregard.
const SOLO_OTHERS: usize = 2;

/// Leases that a lessor keeps before some of its lessees look for another.
const MAX_LEASES: usize = 6;

/// Longest time between two looks at the leases that the lessors keep.
const EVEN: Duration = Duration::from_millis(10_000);

/// Time between two rounds of questions to possible lessors.
const PROBE: Duration = Duration::from_millis(300);

/// Time for each other node over which the replacement of a lost lessor is spread.
const REPLACE_STEP: Duration = Duration::from_millis(4);

/// Longest time over which it is spread.
const REPLACE_MAX: Duration = Duration::from_millis(5_000);

impl Control {
    /// Returns the lessors that this node's record should name.
    pub(super) fn wanted_lessors(&mut self, own: &Node) -> Vec<Name> {
        let good: Vec<Name> = own.lessors.iter().filter(|name| self.good(name)).cloned().collect();
        let mute = own.lessors.iter().filter(|name| self.mute(name)).cloned();
        for name in mute.collect::<Vec<_>>() {
            self.own.shunned.insert(name, self.now);
        }
        let now = self.now;
        self.own.shunned.retain(|_, since| now.since(*since) < SHUN);
        if good.len() == LESSORS {
            return self.evened(good);
        }
        if self.may_wait(own, &good) {
            return own.lessors.clone();
        }
        let leaseless = now.since(self.leased) >= LEASELESS;
        if !good.is_empty() || own.lessors.is_empty() {
            let fresh = (good.len() == own.lessors.len()).then_some(FRESH);
            return self.choose(&good, fresh);
        }
        let others = self.others();
        if others.len() <= 1 || (others.len() <= SOLO_OTHERS && leaseless) {
            return Vec::new();
        }
        let heard = self.choose(&[], Some(FRESH));
        if !heard.is_empty() {
            return heard;
        }
        if !leaseless || now < self.own.next_change {
            return own.lessors.clone();
        }
        self.choose(&[], None)
    }

    /// Returns whether the good lessors suffice for now, so that the loss of many nodes at once does
    /// not make all others write at the same moment.
    fn may_wait(&mut self, own: &Node, good: &[Name]) -> bool {
        let lossy = good.len() < own.lessors.len();
        if !lossy || own.lessors.len() < LESSORS || good.len() < ack_quorum(own.lessors.len()) {
            self.own.replace_at = None;
            return false;
        }
        let nodes = self.roster.others.len() as u32;
        let window = (REPLACE_STEP * nodes).min(REPLACE_MAX);
        let wait = window.mul_f64(self.rng.random_range(0.0..1.0));
        let at = *self.own.replace_at.get_or_insert(self.now + wait);
        self.now < at
    }

    /// Replaces, once in a while, a lessor that keeps far more leases than others.
    fn evened(&mut self, mut lessors: Vec<Name>) -> Vec<Name> {
        if self.now < self.own.next_even {
            return lessors;
        }
        self.own.next_even = self.now + self.jitter(EVEN);
        let crowded = |name: &Name| self.roster.load(name) > MAX_LEASES;
        let Some(place) = lessors.iter().position(crowded) else { return lessors };
        if self.rng.random_bool(0.5) {
            return lessors;
        }
        let crowded = lessors.remove(place);
        self.own.shunned.insert(crowded, self.now);
        self.choose(&lessors, None)
    }

    /// Returns whether a lessor is the process that was chosen, stays, and answers.
    fn good(&self, name: &Name) -> bool {
        let Some((_, node)) = roster::node(&self.replica, name) else { return false };
        let chosen = self.own.chosen.get(name).map(|chosen| chosen.0);
        node.state == NodeState::Live && chosen == Some(node.incarnation) && !self.mute(name)
    }

    /// Returns whether a lessor has not acknowledged for long.
    fn mute(&self, name: &Name) -> bool {
        let since = self.own.chosen.get(name).map(|chosen| chosen.1).unwrap_or_default();
        let acked = self.lease.acked(name).unwrap_or_default();
        self.now.since(acked.max(since).max(self.awake)) >= LESSOR_SILENT
    }

    /// Adds lessors to `kept`: other failure domains first, few leases, then a fixed random order.
    ///
    /// With `fresh` only nodes heard within this span are added.
    pub(super) fn choose(&self, kept: &[Name], fresh: Option<Duration>) -> Vec<Name> {
        let mut chosen = kept.to_vec();
        let mut candidates = self.others();
        candidates.retain(|name| !kept.contains(name));
        if let Some(span) = fresh {
            candidates
                .retain(|name| self.heard(name, span) && !self.own.shunned.contains_key(name));
        } else if !kept.is_empty() {
            candidates.retain(|name| !self.own.shunned.contains_key(name));
        }
        while chosen.len() < LESSORS {
            let best = candidates.iter().min_by_key(|name| self.preference(name, &chosen)).cloned();
            let Some(best) = best else { break };
            candidates.retain(|name| *name != best);
            chosen.push(best);
        }
        chosen
    }

    /// Orders candidates for a lessor beside those `chosen`.
    fn preference(&self, name: &Name, chosen: &[Name]) -> (bool, bool, bool, usize, u64) {
        let domain =
            |name: &Name| roster::node(&self.replica, name).map(|(_, node)| node.domain.clone());
        let own = domain(name);
        let near = own.as_ref() == Some(&self.setup.domain);
        let twice = chosen.iter().any(|other| domain(other) == own);
        let shunned = self.own.shunned.contains_key(name);
        (shunned, near, twice, self.roster.load(name), rank(&[&self.setup.name, name], 0))
    }

    /// Returns the other live nodes whose VMs are not gone.
    fn others(&self) -> Vec<Name> {
        let gone = &self.own.vms_gone;
        self.roster.others.iter().filter(|name| !gone.contains(name)).cloned().collect()
    }

    /// Asks nodes that could become lessors whether they are there.
    pub(super) fn tend_probes(&mut self, out: &mut Vec<Action>) {
        if self.now < self.own.next_probe || !self.own.present {
            return;
        }
        self.own.next_probe = self.now + PROBE;
        let lessors = self.lease.lessors();
        let wanted = LESSORS.saturating_sub(lessors.len());
        if wanted == 0 {
            return;
        }
        let mut candidates = self.others();
        candidates.retain(|name| !lessors.contains(name) && !self.heard(name, FRESH));
        candidates.sort_by_cached_key(|name| self.preference(name, &lessors));
        for name in candidates.into_iter().take(wanted) {
            let Some((_, node)) = roster::node(&self.replica, &name) else { continue };
            let peer = Peer { name, addr: node.addr };
            out.push(Action::Send(peer, Message::Pull { seen: self.replica.seen() }));
        }
    }
}
