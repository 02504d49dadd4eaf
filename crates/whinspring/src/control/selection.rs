//! Selection of the lessors of this node: initial choice, replacement of unresponsive lessors, and
//! rebalancing of leases over lessors.

use {
    super::{Action, Control, Peer, membership::LEASE_LOST_TIMEOUT, nodes},
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

/// Time without an acknowledgement after which a lessor is replaced.
const LESSOR_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which an unresponsive node is not selected again, unless there is no other.
const EXCLUSION_PERIOD: Duration = Duration::from_millis(5_000);

/// A node must have been heard from within this time to be added as a lessor.
const HEARD_WINDOW: Duration = Duration::from_millis(1_000);

/// Largest number of other live nodes for which a node that lost its lease falls back to having no
/// lessors.
const FALLBACK_MAX_NODES: usize = 2;

/// Leases granted by one lessor above which some of its lessees look for another.
const MAX_LEASES_PER_LESSOR: usize = 6;

/// Longest time between two checks of the lessors' lease counts.
const REBALANCE_INTERVAL: Duration = Duration::from_millis(10_000);

/// Interval between probes of possible lessors.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Replacement of a lost lessor is delayed at random by up to this time per other node, so that not
/// all nodes write at once.
const REPLACE_DELAY_STEP: Duration = Duration::from_millis(4);

/// Upper limit of that delay.
const REPLACE_DELAY_MAX: Duration = Duration::from_millis(5_000);

impl Control {
    /// Returns the lessors that this node's record should name.
    pub(super) fn desired_lessors(&mut self, own: &Node) -> Vec<Name> {
        let healthy: Vec<Name> =
            own.lessors.iter().filter(|name| self.is_healthy(name)).cloned().collect();
        let unresponsive = own.lessors.iter().filter(|name| self.is_unresponsive(name)).cloned();
        for name in unresponsive.collect::<Vec<_>>() {
            self.membership.excluded.insert(name, self.now);
        }
        let now = self.now;
        self.membership.excluded.retain(|_, since| now.since(*since) < EXCLUSION_PERIOD);
        if healthy.len() == LESSORS {
            return self.rebalance_lessors(healthy);
        }
        if self.can_delay_replacement(own, &healthy) {
            return own.lessors.clone();
        }
        let lease_lost = now.since(self.last_leased) >= LEASE_LOST_TIMEOUT;
        if !healthy.is_empty() || own.lessors.is_empty() {
            let window = (healthy.len() == own.lessors.len()).then_some(HEARD_WINDOW);
            return self.choose_lessors(&healthy, window);
        }
        let others = self.other_nodes();
        if others.len() <= 1 || (others.len() <= FALLBACK_MAX_NODES && lease_lost) {
            return Vec::new();
        }
        let heard = self.choose_lessors(&[], Some(HEARD_WINDOW));
        if !heard.is_empty() {
            return heard;
        }
        if !lease_lost || now < self.membership.next_forced {
            return own.lessors.clone();
        }
        self.choose_lessors(&[], None)
    }

    /// Returns whether replacing lessors can wait because a quorum is healthy.
    ///
    /// The random delay keeps the loss of many nodes at once from making all others write at the
    /// same moment.
    fn can_delay_replacement(&mut self, own: &Node, healthy: &[Name]) -> bool {
        let incomplete = healthy.len() < own.lessors.len();
        if !incomplete
            || own.lessors.len() < LESSORS
            || healthy.len() < ack_quorum(own.lessors.len())
        {
            self.membership.replace_at = None;
            return false;
        }
        let nodes = self.nodes.others.len() as u32;
        let window = (REPLACE_DELAY_STEP * nodes).min(REPLACE_DELAY_MAX);
        let wait = window.mul_f64(self.rng.random_range(0.0..1.0));
        let at = *self.membership.replace_at.get_or_insert(self.now + wait);
        self.now < at
    }

    /// Periodically replaces, with probability one half, a lessor that grants too many leases.
    fn rebalance_lessors(&mut self, mut lessors: Vec<Name>) -> Vec<Name> {
        if self.now < self.membership.next_rebalance {
            return lessors;
        }
        self.membership.next_rebalance = self.now + self.jitter(REBALANCE_INTERVAL);
        let overloaded = |name: &Name| self.nodes.lease_count(name) > MAX_LEASES_PER_LESSOR;
        let Some(index) = lessors.iter().position(overloaded) else { return lessors };
        if self.rng.random_bool(0.5) {
            return lessors;
        }
        let overloaded = lessors.remove(index);
        self.membership.excluded.insert(overloaded, self.now);
        self.choose_lessors(&lessors, None)
    }

    /// Returns whether a lessor is live, responsive and still the incarnation that was selected.
    fn is_healthy(&self, name: &Name) -> bool {
        let Some((_, node)) = nodes::node(&self.replica, name) else { return false };
        let chosen = self.membership.selected.get(name).map(|chosen| chosen.0);
        node.state == NodeState::Live
            && chosen == Some(node.incarnation)
            && !self.is_unresponsive(name)
    }

    /// Returns whether a lessor has not acknowledged within [`LESSOR_TIMEOUT`].
    fn is_unresponsive(&self, name: &Name) -> bool {
        let since = self.membership.selected.get(name).map(|chosen| chosen.1).unwrap_or_default();
        let acked = self.lease.last_ack(name).unwrap_or_default();
        self.now.since(acked.max(since).max(self.resumed)) >= LESSOR_TIMEOUT
    }

    /// Adds lessors to `kept`, preferring other failure domains, then few granted leases, then a
    /// fixed pseudo-random order.
    ///
    /// With `window`, only nodes heard from within this time are added.
    pub(super) fn choose_lessors(&self, kept: &[Name], window: Option<Duration>) -> Vec<Name> {
        let mut chosen = kept.to_vec();
        let mut candidates = self.other_nodes();
        candidates.retain(|name| !kept.contains(name));
        if let Some(span) = window {
            candidates.retain(|name| {
                self.heard_within(name, span) && !self.membership.excluded.contains_key(name)
            });
        } else if !kept.is_empty() {
            candidates.retain(|name| !self.membership.excluded.contains_key(name));
        }
        while chosen.len() < LESSORS {
            let best =
                candidates.iter().min_by_key(|name| self.selection_key(name, &chosen)).cloned();
            let Some(best) = best else { break };
            candidates.retain(|name| *name != best);
            chosen.push(best);
        }
        chosen
    }

    /// Returns the sort key of a candidate in addition to those already `chosen`; lower is better.
    fn selection_key(&self, name: &Name, chosen: &[Name]) -> (bool, bool, bool, usize, u64) {
        let domain =
            |name: &Name| nodes::node(&self.replica, name).map(|(_, node)| node.domain.clone());
        let own = domain(name);
        let same_domain = own.as_ref() == Some(&self.setup.domain);
        let repeated_domain = chosen.iter().any(|other| domain(other) == own);
        let excluded = self.membership.excluded.contains_key(name);
        (
            excluded,
            same_domain,
            repeated_domain,
            self.nodes.lease_count(name),
            rank(&[&self.setup.name, name], 0),
        )
    }

    /// Returns the other live nodes whose VMs are not gone.
    fn other_nodes(&self) -> Vec<Name> {
        let gone = &self.membership.vms_gone;
        self.nodes.others.iter().filter(|name| !gone.contains(name)).cloned().collect()
    }

    /// Probes nodes that could become lessors and were not heard from recently.
    pub(super) fn probe_candidates(&mut self, out: &mut Vec<Action>) {
        if self.now < self.membership.next_probe || !self.membership.present {
            return;
        }
        self.membership.next_probe = self.now + PROBE_INTERVAL;
        let lessors = self.lease.lessors();
        let wanted = LESSORS.saturating_sub(lessors.len());
        if wanted == 0 {
            return;
        }
        let mut candidates = self.other_nodes();
        candidates.retain(|name| !lessors.contains(name) && !self.heard_within(name, HEARD_WINDOW));
        candidates.sort_by_cached_key(|name| self.selection_key(name, &lessors));
        for name in candidates.into_iter().take(wanted) {
            let Some((_, node)) = nodes::node(&self.replica, &name) else { continue };
            let peer = Peer { name, addr: node.addr };
            out.push(Action::Send(peer, Message::Pull { seen: self.replica.seen() }));
        }
    }
}
