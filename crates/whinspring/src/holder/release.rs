//! Updates from the records: grants, and the release of slices, keys and the server.

use {
    super::{
        Context, Holder, RETRY_SOON, Run,
        event::{DedupState, Output, Unit, Update},
        grants::{Grant, Owned, Ownership},
    },
    crate::{
        code::Code,
        message::Message,
        name::{Name, Slice},
        request::Job,
    },
    std::time::Duration,
};

/// Time for which received deduplication state is kept until the records assign its unit to the
/// server.
const STAGE_TTL: Duration = Duration::from_secs(30);
/// Time for which a server that is to be handed over still gets short requests while a long one
/// runs.
const MAX_HANDOVER_DELAY: Duration = Duration::from_secs(30);
/// A request expected to run at least this long delays a handover.
pub(super) const LONG_REMAINING: Duration = Duration::from_millis(300);
/// Number of units whose received state is kept until the records assign them.
const MAX_STAGED: usize = 4_096;

impl Holder {
    pub(super) fn update(&mut self, cx: &mut Context<'_>, update: Update) {
        if update.term < self.term {
            return;
        }
        if update.term > self.term {
            self.outranked = false;
            self.released = false;
        }
        self.term = update.term;
        self.set_handover(cx, update.handover || self.released);
        let gone = self.grants.update(cx.wall, &update);
        self.server = update.server;
        self.queue.set_shares(update.shares);
        self.suspicion.update(update.suspects);
        let forget = !gone.is_empty();
        let mut lost = Vec::new();
        for (unit, owned) in gone {
            if owned.released && !owned.handed_over {
                lost.push(self.dedup_state(cx, &unit, &owned));
            }
        }
        if forget {
            let grants = &self.grants;
            self.dedup.retain(|key, slice| grants.covers(key, slice));
        }
        self.hand_over(cx, lost);
        if !self.grants.released_units().is_empty() {
            self.report_released(cx);
        }
        self.merge_staged(cx);
        self.reject_moved(cx);
        self.unpark();
    }

    pub(super) fn acknowledge(&mut self, cx: &mut Context<'_>, grant: u64, term: u64) {
        if grant > 0 && self.grants.ack(grant, term) {
            self.acknowledged_at = cx.now;
            self.unpark();
        }
    }

    /// Sends the grant if it is due and the lease holds.
    pub(super) fn send_grant(&mut self, cx: &mut Context<'_>) {
        let leased = cx.now < self.lease && !self.outranked && !self.released;
        if !leased || self.health.is_lost() || !self.grants.grant_due(cx.now) {
            return;
        }
        let Grant { number, slices, keys } = self.grants.grant();
        cx.out.push(Output::Grant { number, term: self.term, slices, keys });
    }

    /// Keeps deduplication state that another holder released until the records assign its units.
    pub(super) fn stage(&mut self, cx: &mut Context<'_>, states: Vec<DedupState>) {
        self.staged.extend(states.into_iter().map(|state| (cx.now, state)));
        let over = self.staged.len().saturating_sub(MAX_STAGED);
        self.staged.drain(..over);
        self.merge_staged(cx);
    }

    /// Releases units, or the server, as soon as none of their requests run any more.
    pub(super) fn release(&mut self, cx: &mut Context<'_>) {
        if self.handover {
            return self.release_server(cx);
        }
        let idle = |unit: &Unit| !self.runs.values().any(|run| may_belong_to(unit, &run.job));
        let units: Vec<Unit> = self.grants.moving_units().into_iter().filter(idle).collect();
        if units.is_empty() {
            return;
        }
        let mut states = Vec::new();
        for unit in &units {
            self.grants.release(unit);
            let Some(owned) = self.grants.get(unit) else { continue };
            states.push(self.dedup_state(cx, unit, owned));
        }
        self.hand_over(cx, states);
        self.grants.regrant(false);
        self.report_released(cx);
    }

    /// Repeats reports of releases that the records do not reflect yet.
    pub(super) fn repeat_releases(&mut self, cx: &mut Context<'_>) {
        if self.released {
            self.report_server_released(cx);
        } else if !self.grants.released_units().is_empty() {
            self.report_released(cx);
        }
    }

    fn release_server(&mut self, cx: &mut Context<'_>) {
        if self.released || !self.runs.is_empty() {
            return;
        }
        self.released = true;
        let states =
            self.grants.units().map(|(unit, owned)| self.dedup_state(cx, unit, owned)).collect();
        self.hand_over(cx, states);
        self.report_server_released(cx);
    }

    fn hand_over(&self, cx: &mut Context<'_>, states: Vec<DedupState>) {
        if !states.is_empty() {
            cx.out.push(Output::HandOver(states));
        }
    }

    fn dedup_state(&self, cx: &Context<'_>, unit: &Unit, owned: &Owned) -> DedupState {
        let since = self.grants.unit_since(cx.wall, unit, owned);
        DedupState {
            unit: unit.clone(),
            epoch: owned.epoch,
            term: self.term,
            epoch_closed: !self.released,
            since: self.dedup.complete_since(since),
            entries: self.dedup.export(unit),
        }
    }

    fn set_handover(&mut self, cx: &Context<'_>, handover: bool) {
        if handover && !self.handover {
            self.handover_since = cx.now;
        }
        self.handover = handover;
    }

    /// Returns whether a server that is to be handed over still gets short requests, because a long
    /// one delays the handover anyway.
    pub(super) fn accepts_short(&self, cx: &Context<'_>) -> bool {
        let long = |run: &Run| {
            self.estimate.remaining(run.job.meta.fingerprint, run.start, cx.now) >= LONG_REMAINING
        };
        let recent = cx.now < self.handover_since + MAX_HANDOVER_DELAY;
        !self.released && recent && self.runs.values().any(long)
    }

    /// Merges staged state whose units the server owns by now.
    fn merge_staged(&mut self, cx: &mut Context<'_>) {
        let staged = std::mem::take(&mut self.staged);
        for (at, state) in staged {
            if cx.now.since(at) >= STAGE_TTL {
                continue;
            }
            if !self.is_successor(&state) {
                self.staged.push_back((at, state));
                continue;
            }
            self.grants.extend_since(&state.unit, state.since);
            self.dedup.merge(cx.now, self.grants.slice_count(), state);
        }
    }

    /// Returns whether the ownership of this holder directly follows the released one.
    ///
    /// A later holder of the same epoch must not merge the state: it lacks the requests that the
    /// first holder of the epoch ran.
    fn is_successor(&self, state: &DedupState) -> bool {
        let Some(owned) = self.grants.get(&state.unit) else { return false };
        if state.epoch_closed {
            return owned.epoch == state.epoch + 1 && owned.first_holder;
        }
        owned.epoch == state.epoch && self.term == state.term + 1
    }

    /// Refuses queued requests for units that the server no longer serves.
    fn reject_moved(&mut self, cx: &mut Context<'_>) {
        let grants = &self.grants;
        let moved = self.queue.select_ids(|job| grants.ownership(&job.meta) == Ownership::NotOwned);
        for id in moved {
            self.reject(cx, id, Code::Moved, RETRY_SOON);
        }
    }

    fn report_released(&self, cx: &mut Context<'_>) {
        let mut slices: Vec<(Slice, u64)> = Vec::new();
        let mut keys: Vec<(Name, u64)> = Vec::new();
        for (unit, epoch) in self.grants.released_units() {
            match unit {
                Unit::Slice(slice) => slices.push((slice, epoch)),
                Unit::Key(key) => keys.push((key, epoch)),
            }
        }
        let (service, server, term) = (self.service.clone(), self.id, self.term);
        let report = Message::SlicesReleased { service, server, term, slices, keys };
        cx.out.push(Output::Report(report));
    }

    fn report_server_released(&self, cx: &mut Context<'_>) {
        let (service, server, term) = (self.service.clone(), self.id, self.term);
        cx.out.push(Output::Report(Message::ServerReleased { service, server, term }));
    }
}

/// Returns whether a request belongs to a unit, or may have belonged to it when it was started.
fn may_belong_to(unit: &Unit, job: &Job) -> bool {
    let Some(place) = &job.meta.place else { return true };
    match unit {
        Unit::Slice(slice) => place.slice == *slice,
        Unit::Key(key) => place.key == *key,
    }
}
