//! Controller: collects holder reports and turns planner decisions into conditional writes.

use {
    super::{Action, Control, writes::Purpose},
    crate::{
        message::Message,
        name::{Name, ServerId},
        planner::{self, Observations, holders, plans, rebalance, retention, segments},
        replica::Replica,
        time::Tick,
    },
    rand::Rng,
    std::{collections::BTreeMap, time::Duration},
};

/// Time for which a new controller collects reports before it moves slices.
const WARM_UP: Duration = Duration::from_millis(300);

/// Interval of planning when nothing changed.
const REVIEW_INTERVAL: Duration = Duration::from_millis(1_000);

/// Interval between load balancing rounds.
const REBALANCE_INTERVAL: Duration = Duration::from_millis(5_000);

/// Minimum time between two planning rounds.
const PLAN_INTERVAL_MIN: Duration = Duration::from_millis(5);

/// Time for which a server that recovered gets no slices; doubles with each loss.
const QUARANTINE_MIN: Duration = Duration::from_millis(2_000);

/// Minimum time between two renewals of the ownership epochs of a server.
const RENEW_INTERVAL_MIN: Duration = Duration::from_millis(2_000);

/// Time for which a server's report that it is leaving is valid unless repeated.
const LEAVING_VALIDITY: Duration = Duration::from_millis(5_000);

/// Upper limit of the quarantine time.
const QUARANTINE_MAX: Duration = Duration::from_millis(300_000);

/// Time without a loss after which the loss count of a server starts over.
const LOSS_RESET: Duration = Duration::from_millis(600_000);

/// Controller state of a node that has the term.
#[derive(Debug)]
pub(super) struct Leadership {
    /// When this node began to act as the controller.
    since: Tick,
    /// Whether reports were collected for [`WARM_UP`], so that slices may be moved.
    warmed_up: bool,
    /// When load was last balanced.
    rebalanced: Tick,
    /// When the last planning round ran.
    reviewed: Option<Tick>,
    /// State reported by the holders.
    observations: Observations,
    /// When the ownership epochs of each server were last renewed.
    renewed: BTreeMap<(Name, ServerId), Tick>,
    /// Loss count of each server, and the time of its last loss.
    losses: BTreeMap<(Name, ServerId), (u32, Tick)>,
}

impl Control {
    /// Runs a planning round if one is due, while this node has the term and a valid lease.
    pub(super) fn run_controller(&mut self, out: &mut Vec<Action>) {
        if !self.is_controller() {
            self.leadership = None;
            return;
        }
        let now = self.now;
        let fresh = || Leadership {
            since: now,
            warmed_up: false,
            rebalanced: now,
            reviewed: None,
            observations: Observations::default(),
            renewed: BTreeMap::new(),
            losses: BTreeMap::new(),
        };
        let leadership = self.leadership.get_or_insert_with(fresh);
        let warmed_up = now.since(leadership.since) >= WARM_UP;
        let due = leadership.reviewed.is_none_or(|reviewed| now.since(reviewed) >= REVIEW_INTERVAL);
        if !self.dirty && !due && warmed_up == leadership.warmed_up {
            return;
        }
        if leadership.reviewed.is_some_and(|reviewed| now.since(reviewed) < PLAN_INTERVAL_MIN) {
            return;
        }
        leadership.warmed_up = warmed_up;
        self.dirty = false;
        leadership.reviewed = Some(now);
        leadership.observations.leaving_vms =
            self.membership.vms_leaving.iter().chain(&self.membership.vms_gone).cloned().collect();
        self.write_plan(warmed_up, out);
    }

    /// Handles a report of a holder.
    ///
    /// Reports on the state of a server and on released slices are ignored unless they come from
    /// the current holder and fencing term.
    pub(super) fn handle_report(&mut self, message: Message) {
        let now = self.now;
        let replica = &self.replica;
        let Some(leadership) = &mut self.leadership else { return };
        let held = |service: &Name, server: ServerId, number: u64| {
            let holders = planner::holders_of(replica, service);
            holders.and_then(|h| h.terms.get(&server)).is_some_and(|holder| holder.term == number)
        };
        match message {
            Message::ServerLost { service, server, term: number }
                if held(&service, server, number) =>
            {
                leadership.record_loss(now, (service, server), number);
            }
            Message::ServerBack { service, server, term: number }
                if held(&service, server, number) =>
            {
                leadership.record_return(now, (service, server));
            }
            Message::ServerLeaving { service, server, term: number }
                if held(&service, server, number) =>
            {
                leadership.observations.stopping.insert((service, server), now);
            }
            Message::Load { service, server, busy, slices, keys } => {
                let slots = planner::service_of(replica, &service)
                    .and_then(|service| service.servers.get(&server))
                    .map_or(0, |server| server.slots);
                let total = f64::from(busy) * f64::from(slots) * 1_000.0;
                let load = leadership.observations.loads.entry((service, server)).or_default();
                load.add(now, total, slices, keys);
                return;
            }
            Message::ServerReleased { service, server, term: number } => {
                leadership.observations.released_servers.insert((service, server), number);
            }
            Message::SlicesReleased { service, server, term: number, slices, keys }
                if held(&service, server, number) =>
            {
                leadership
                    .observations
                    .released_slices
                    .entry(service.clone())
                    .or_default()
                    .extend(slices);
                leadership.observations.released_keys.entry(service).or_default().extend(keys);
            }
            _ => return,
        }
        self.dirty = true;
    }

    /// Writes the records that differ from the planner's decisions.
    fn write_plan(&mut self, warmed_up: bool, out: &mut Vec<Action>) {
        let Some(leadership) = &mut self.leadership else { return };
        leadership.prune(self.now, &self.replica);
        let mut pool = holders::Pool::new(&self.replica);
        let mut writes = plans::advance(&self.replica, &leadership.observations);
        writes.extend(retention::collect_expired(&self.replica, self.wall));
        for service in planner::services(&self.replica) {
            writes.extend(holders::reconcile(
                &self.replica,
                &leadership.observations,
                service,
                &mut pool,
            ));
            if warmed_up {
                writes.extend(segments::reconcile(
                    &self.replica,
                    &leadership.observations,
                    self.now,
                    service,
                ));
            }
        }
        if warmed_up {
            leadership.observations.recovered.clear();
        }
        if writes.is_empty() && self.now.since(leadership.rebalanced) >= REBALANCE_INTERVAL {
            leadership.rebalanced = self.now;
            for service in planner::services(&self.replica) {
                let (observations, policy) = (&leadership.observations, self.policy);
                writes.extend(rebalance::moves(
                    &self.replica,
                    observations,
                    self.now,
                    service,
                    policy,
                ));
            }
        }
        for write in writes {
            if self.writes.is_free(&self.replica, &write.key) {
                let expect = self.replica.version(&write.key);
                let mark = self.rng.random();
                out.push(self.writes.put(Purpose::Plan, write.key, expect, write.value, mark));
            } else {
                self.dirty = true;
            }
        }
    }
}

impl Leadership {
    fn record_loss(&mut self, now: Tick, id: (Name, ServerId), number: u64) {
        if self.observations.lost.insert(id.clone(), number).is_some() {
            return;
        }
        let losses = self.losses.entry(id).or_insert((0, now));
        let count = if now.since(losses.1) > LOSS_RESET { 1 } else { losses.0 + 1 };
        *losses = (count, now);
    }

    /// Records that a server answers again: requests new epochs for its slices, and quarantines it
    /// if it was lost.
    fn record_return(&mut self, now: Tick, id: (Name, ServerId)) {
        self.observations.stopping.remove(&id);
        let renewed =
            self.renewed.get(&id).is_some_and(|last| now.since(*last) < RENEW_INTERVAL_MIN);
        if !renewed {
            self.renewed.insert(id.clone(), now);
            self.observations.recovered.insert(id.clone());
        }
        if self.observations.lost.remove(&id).is_none() {
            return;
        }
        let count = self.losses.get(&id).map_or(1, |losses| losses.0);
        let quarantine = (QUARANTINE_MIN * 2_u32.saturating_pow(count.saturating_sub(1).min(16)))
            .min(QUARANTINE_MAX);
        self.observations.cooldowns.insert(id, now + quarantine);
    }

    /// Drops reports that are outdated by the records.
    fn prune(&mut self, now: Tick, replica: &Replica) {
        self.observations.stopping.retain(|_, reported| now.since(*reported) < LEAVING_VALIDITY);
        let term_of = |id: &(Name, ServerId)| {
            let holders = planner::holders_of(replica, &id.0);
            holders.and_then(|holders| holders.terms.get(&id.1)).map_or(0, |holder| holder.term)
        };
        self.observations.lost.retain(|id, number| *number == term_of(id));
        self.observations.released_servers.retain(|id, number| *number >= term_of(id));
        for (service, slices) in &mut self.observations.released_slices {
            slices.retain(|(slice, epoch)| {
                let index = slice.0 / crate::model::SEGMENT_SLICES;
                let segment = planner::segment_of(replica, service, index);
                segment
                    .and_then(|segment| segment.owner(*slice))
                    .is_some_and(|owner| owner.epoch <= *epoch)
            });
        }
    }
}
