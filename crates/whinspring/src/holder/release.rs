//! What the records say of the server: grants, and the release of slices, keys and the server.

use {
    super::{
        Context, Holder, RETRY_SOON, Run,
        event::{Memory, Output, Unit, Update},
        grants::{Claim, Grant, Owned},
    },
    crate::{
        code::Code,
        message::Message,
        name::{Name, Slice},
        request::Job,
    },
    std::time::Duration,
};

/// Time for which memory of units that the records do not give to the server yet is kept.
const STAGE_TTL: Duration = Duration::from_secs(30);
/// Time for which a server that is to be handed over gets short work beside a long request.
const LINGER_MOST: Duration = Duration::from_secs(30);
/// Expected rest of a run from which it is long for a hand-over.
pub(super) const LONG_REST: Duration = Duration::from_millis(300);
/// Units whose memory is kept that way at most.
const MAX_STAGED: usize = 4_096;

impl Holder {
    /// The records changed.
    pub(super) fn update(&mut self, cx: &mut Context<'_>, update: Update) {
        if update.term < self.term {
            return;
        }
        if update.term > self.term {
            self.outranked = false;
            self.handed = false;
        }
        self.term = update.term;
        self.set_handover(cx, update.handover || self.handed);
        let gone = self.grants.update(cx.wall, &update);
        self.server = update.server;
        self.queue.set_shares(update.shares);
        self.suspicion.update(update.suspects);
        let forget = !gone.is_empty();
        let mut lost = Vec::new();
        for (unit, owned) in gone {
            if owned.released && !owned.handed {
                lost.push(self.memory(cx, &unit, &owned));
            }
        }
        if forget {
            let grants = &self.grants;
            self.duplicates.retain(|key, slice| grants.covers(key, slice));
        }
        self.hand_over(cx, lost);
        if !self.grants.released().is_empty() {
            self.report_released(cx);
        }
        self.merge_staged(cx);
        self.reject_moved(cx);
        self.unpark();
    }

    /// The server acknowledged a grant.
    pub(super) fn acknowledge(&mut self, cx: &mut Context<'_>, grant: u64, term: u64) {
        if grant > 0 && self.grants.ack(grant, term) {
            self.granted = cx.now;
            self.unpark();
        }
    }

    /// Sends the grant that is due.
    pub(super) fn send_grant(&mut self, cx: &mut Context<'_>) {
        let leased = cx.now < self.lease && !self.outranked && !self.handed;
        if !leased || self.life.is_lost() || !self.grants.due(cx.now) {
            return;
        }
        let Grant { number, slices, keys } = self.grants.grant();
        cx.out.push(Output::Grant { number, term: self.term, slices, keys });
    }

    /// Memory arrived that another holder released.
    pub(super) fn learn(&mut self, cx: &mut Context<'_>, memories: Vec<Memory>) {
        self.staged.extend(memories.into_iter().map(|memory| (cx.now, memory)));
        let over = self.staged.len().saturating_sub(MAX_STAGED);
        self.staged.drain(..over);
        self.merge_staged(cx);
    }

    /// Releases units and the server as soon as nothing runs there any more.
    pub(super) fn release(&mut self, cx: &mut Context<'_>) {
        if self.handover {
            return self.release_server(cx);
        }
        let idle = |unit: &Unit| !self.runs.values().any(|run| touches(unit, &run.job));
        let units: Vec<Unit> = self.grants.leaving().into_iter().filter(idle).collect();
        if units.is_empty() {
            return;
        }
        let mut memories = Vec::new();
        for unit in &units {
            self.grants.release(unit);
            let Some(owned) = self.grants.get(unit) else { continue };
            memories.push(self.memory(cx, unit, owned));
        }
        self.hand_over(cx, memories);
        self.grants.regrant(false);
        self.report_released(cx);
    }

    /// Repeats the reports of releases that the records do not reflect yet.
    pub(super) fn repeat_releases(&mut self, cx: &mut Context<'_>) {
        if self.handed {
            self.report_handed(cx);
        } else if !self.grants.released().is_empty() {
            self.report_released(cx);
        }
    }

    fn release_server(&mut self, cx: &mut Context<'_>) {
        if self.handed || !self.runs.is_empty() {
            return;
        }
        self.handed = true;
        let memories =
            self.grants.units().map(|(unit, owned)| self.memory(cx, unit, owned)).collect();
        self.hand_over(cx, memories);
        self.report_handed(cx);
    }

    fn hand_over(&self, cx: &mut Context<'_>, memories: Vec<Memory>) {
        if !memories.is_empty() {
            cx.out.push(Output::HandOver(memories));
        }
    }

    fn memory(&self, cx: &Context<'_>, unit: &Unit, owned: &Owned) -> Memory {
        let since = self.grants.unit_since(cx.wall, unit, owned);
        Memory {
            unit: unit.clone(),
            epoch: owned.epoch,
            term: self.term,
            last: !self.handed,
            since: self.duplicates.complete_since(since),
            entries: self.duplicates.collect(unit),
        }
    }

    fn set_handover(&mut self, cx: &Context<'_>, handover: bool) {
        if handover && !self.handover {
            self.handover_since = cx.now;
        }
        self.handover = handover;
    }

    /// Returns whether a server that is to be handed over still gets short work, because a long
    /// request keeps it here anyway.
    pub(super) fn lingers(&self, cx: &Context<'_>) -> bool {
        let long =
            |run: &Run| self.estimate.rest(run.job.meta.print, run.start, cx.now) >= LONG_REST;
        let recent = cx.now < self.handover_since + LINGER_MOST;
        !self.handed && recent && self.runs.values().any(long)
    }

    /// Takes in staged memory whose units the server owns by now.
    fn merge_staged(&mut self, cx: &mut Context<'_>) {
        let staged = std::mem::take(&mut self.staged);
        for (at, memory) in staged {
            if cx.now.since(at) >= STAGE_TTL {
                continue;
            }
            if !self.follows(&memory) {
                self.staged.push_back((at, memory));
                continue;
            }
            self.grants.extend(&memory.unit, memory.since);
            self.duplicates.merge(cx.now, self.grants.slice_count(), memory);
        }
    }

    /// Returns whether this holder's ownership directly follows the one that was released.
    ///
    /// A later holder of the same epoch must not take it: it lacks what the first one ran.
    fn follows(&self, memory: &Memory) -> bool {
        let Some(owned) = self.grants.get(&memory.unit) else { return false };
        if memory.last {
            return owned.epoch == memory.epoch + 1 && owned.first;
        }
        owned.epoch == memory.epoch && self.term == memory.term + 1
    }

    /// Refuses what waits for units that are not to be served here any more.
    fn reject_moved(&mut self, cx: &mut Context<'_>) {
        let grants = &self.grants;
        let moved = self.queue.select(|job| grants.claim(&job.meta) == Claim::No);
        for id in moved {
            self.reject(cx, id, Code::Moved, RETRY_SOON);
        }
    }

    fn report_released(&self, cx: &mut Context<'_>) {
        let mut slices: Vec<(Slice, u64)> = Vec::new();
        let mut keys: Vec<(Name, u64)> = Vec::new();
        for (unit, epoch) in self.grants.released() {
            match unit {
                Unit::Slice(slice) => slices.push((slice, epoch)),
                Unit::Key(key) => keys.push((key, epoch)),
            }
        }
        let (service, server, term) = (self.service.clone(), self.id, self.term);
        let report = Message::SlicesReleased { service, server, term, slices, keys };
        cx.out.push(Output::Report(report));
    }

    fn report_handed(&self, cx: &mut Context<'_>) {
        let (service, server, term) = (self.service.clone(), self.id, self.term);
        cx.out.push(Output::Report(Message::ServerReleased { service, server, term }));
    }
}

/// Returns whether a request belongs to a unit, or may have when it was started.
fn touches(unit: &Unit, job: &Job) -> bool {
    let Some(place) = &job.meta.place else { return true };
    match unit {
        Unit::Slice(slice) => place.slice == *slice,
        Unit::Key(key) => place.key == *key,
    }
}
