//! Deduplication of non-idempotent requests, so that none runs twice.
//!
//! A request whose id is known joins the run in progress, gets the recorded answer, or is told that
//! it may have run. A request with an unknown id runs only if no earlier attempt can have been
//! evicted from the table: see [`DedupTable::freshness`].

use {
    super::event::{DedupEntry, DedupState, RequestId, Unit},
    crate::{
        name::{Name, Slice, slice_of},
        request::{Job, JobId, Meta},
        time::{MAX_CLOCK_SKEW_MS, Tick, Wall},
    },
    bytes::Bytes,
    std::{
        collections::{BTreeMap, HashMap, VecDeque},
        time::Duration,
    },
};

const RETENTION: Duration = Duration::from_secs(600);
const MAX_ENTRIES: usize = 65_536;
/// Limit of the recorded answers, in bytes.
const MAX_BYTES: usize = 8 << 20;
/// Number of duplicates that may wait for one run.
const MAX_JOINED: usize = 64;

/// What the table holds for a request id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Lookup {
    /// The id is unknown.
    New,
    /// A request with this id is queued or running as this job.
    Active(JobId),
    /// The request completed with this answer.
    Answered(Bytes),
    /// The request may have run, or its answer was not recorded.
    MaybeRan,
    /// The id was used for a request with another fingerprint.
    Mismatch,
}

/// Whether a request with an unknown id may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// No earlier attempt can have run.
    Unseen,
    /// An earlier attempt may have run and been evicted.
    MaybeSeen,
    /// The id was issued in the future.
    FromFuture,
}

#[derive(Debug)]
enum State {
    Active(JobId),
    Answered(Bytes),
    MaybeRan,
}

#[derive(Debug)]
struct Entry {
    state: State,
    fingerprint: u64,
    slice: Option<Slice>,
    at: Wall,
}

/// Table of the non-idempotent requests of one server.
#[derive(Debug, Default)]
pub struct DedupTable {
    entries: HashMap<RequestId, Entry>,
    /// Ids by age, oldest first.
    eviction_order: VecDeque<(Tick, RequestId)>,
    bytes: usize,
    /// Latest arrival among the evicted requests.
    evicted_until: Wall,
    /// Duplicates that wait for the run of another request.
    joined: BTreeMap<JobId, Vec<Job>>,
    /// Lower bound of the deadlines of joined requests.
    next_deadline: Option<Tick>,
}

impl DedupTable {
    pub fn lookup(&self, meta: &Meta) -> Lookup {
        let Some(entry) = self.entries.get(&request_id(meta)) else { return Lookup::New };
        if entry.fingerprint != meta.fingerprint {
            return Lookup::Mismatch;
        }
        match &entry.state {
            State::Active(job) => Lookup::Active(*job),
            State::Answered(answer) => Lookup::Answered(answer.clone()),
            State::MaybeRan => Lookup::MaybeRan,
        }
    }

    /// Returns whether a request with an unknown id may run, given that the state of its unit is
    /// complete since `since`.
    ///
    /// It may if the caller marked it as the first attempt, or if its id was issued so late that
    /// every earlier attempt would still be in the table.
    pub fn freshness(&self, meta: &Meta, since: Wall, wall: Wall) -> Freshness {
        if meta.issued.is_some_and(|issued| issued.0 > wall.0 + MAX_CLOCK_SKEW_MS) {
            return Freshness::FromFuture;
        }
        let begin = since.max(self.evicted_until);
        let late = meta.issued.is_some_and(|issued| issued.0 > begin.0 + MAX_CLOCK_SKEW_MS);
        if meta.first || late { Freshness::Unseen } else { Freshness::MaybeSeen }
    }

    /// Returns the number of duplicates that wait for the run of `job`.
    pub fn joined_count(&self, job: JobId) -> usize {
        self.joined.get(&job).map_or(0, Vec::len)
    }

    /// Adds a request that is queued or running.
    pub fn insert_active(&mut self, now: Tick, wall: Wall, job: &Job) {
        let id = request_id(&job.meta);
        let slice = job.meta.place.as_ref().map(|place| place.slice);
        let state = State::Active(job.id);
        self.entries.insert(
            id.clone(),
            Entry { state, fingerprint: job.meta.fingerprint, slice, at: wall },
        );
        self.eviction_order.push_back((now, id));
        self.evict(now);
    }

    /// Lets a duplicate wait for the run of another request. Returns false if too many already
    /// wait.
    pub fn join(&mut self, run: JobId, job: Job) -> bool {
        let joined = self.joined.entry(run).or_default();
        if joined.len() >= MAX_JOINED {
            return false;
        }
        self.next_deadline =
            Some(self.next_deadline.map_or(job.deadline, |at| at.min(job.deadline)));
        joined.push(job);
        true
    }

    /// Removes a duplicate that waits for the run of another request; returns whether there was
    /// one.
    pub fn unjoin(&mut self, id: JobId) -> bool {
        let found = self.joined.iter().find(|(_, jobs)| jobs.iter().any(|job| job.id == id));
        let Some(run) = found.map(|(run, _)| *run) else { return false };
        if let Some(jobs) = self.joined.get_mut(&run) {
            jobs.retain(|job| job.id != id);
        }
        if self.joined_count(run) == 0 {
            self.joined.remove(&run);
        }
        true
    }

    /// Removes and returns the joined duplicates whose deadline has passed.
    pub fn take_expired(&mut self, now: Tick) -> Vec<JobId> {
        let mut late = Vec::new();
        if self.next_deadline.is_none_or(|at| now < at) {
            return late;
        }
        for jobs in self.joined.values_mut() {
            late.extend(jobs.iter().filter(|job| job.deadline <= now).map(|job| job.id));
            jobs.retain(|job| job.deadline > now);
        }
        self.joined.retain(|_, jobs| !jobs.is_empty());
        self.next_deadline = self.joined.values().flatten().map(|job| job.deadline).min();
        late
    }

    /// Records the answer of a run; returns the duplicates that wait for it.
    pub fn record_answer(&mut self, meta: &Meta, job: JobId, answer: Option<Bytes>) -> Vec<Job> {
        let size = answer.as_ref().map_or(0, Bytes::len);
        if let Some(entry) = self.entries.get_mut(&request_id(meta)) {
            entry.state = answer.map_or(State::MaybeRan, State::Answered);
            self.bytes += size;
        }
        self.joined.remove(&job).unwrap_or_default()
    }

    /// Records that a run has an unknown outcome; returns the duplicates that wait for it.
    pub fn record_unknown(&mut self, meta: &Meta, job: JobId) -> Vec<Job> {
        self.record_answer(meta, job, None)
    }

    /// Removes a request that did not run; returns the duplicates that wait for it.
    pub fn forget(&mut self, meta: &Meta, job: JobId) -> Vec<Job> {
        let id = request_id(meta);
        let mine = |entry: &Entry| matches!(entry.state, State::Active(active) if active == job);
        if self.entries.get(&id).is_some_and(mine) {
            self.entries.remove(&id);
        }
        self.joined.remove(&job).unwrap_or_default()
    }

    /// Returns the entries of a unit by arrival, for the next holder.
    pub fn export(&self, unit: &Unit) -> Vec<DedupEntry> {
        let entries = self.entries.iter().filter(|(id, entry)| covers(unit, id, entry.slice));
        let mut found: Vec<DedupEntry> = entries
            .map(|(id, entry)| DedupEntry {
                id: id.clone(),
                fingerprint: entry.fingerprint,
                at: entry.at,
                answer: match &entry.state {
                    State::Answered(answer) => Some(answer.clone()),
                    State::Active(_) | State::MaybeRan => None,
                },
            })
            .collect();
        found.sort_unstable_by(|a, b| (a.at, &a.id).cmp(&(b.at, &b.id)));
        found
    }

    /// Returns the time since which the table is complete for a unit whose state was received
    /// complete since `since`.
    pub fn complete_since(&self, since: Wall) -> Wall {
        since.max(self.evicted_until)
    }

    /// Removes completed requests of keys that do not pass `test`.
    pub fn retain(&mut self, test: impl Fn(&Name, Slice) -> bool) {
        let bytes = &mut self.bytes;
        self.entries.retain(|id, entry| {
            let held = entry.slice.is_none_or(|slice| test(&id.key, slice));
            let kept = held || matches!(entry.state, State::Active(_));
            if !kept {
                *bytes -= entry.size();
            }
            kept
        });
    }

    /// Adds the entries of a unit that another holder released.
    pub fn merge(&mut self, now: Tick, slices: u32, state: DedupState) {
        for known in state.entries {
            let slice = (slices > 0).then(|| slice_of(&known.id.key, slices));
            self.merge_entry(now, slice, known);
        }
        self.evict(now);
    }

    fn merge_entry(&mut self, now: Tick, slice: Option<Slice>, known: DedupEntry) {
        if self.entries.contains_key(&known.id) {
            return;
        }
        self.bytes += known.answer.as_ref().map_or(0, Bytes::len);
        let state = known.answer.map_or(State::MaybeRan, State::Answered);
        self.eviction_order.push_back((now, known.id.clone()));
        self.entries
            .insert(known.id, Entry { state, fingerprint: known.fingerprint, slice, at: known.at });
    }

    /// Removes entries that exceed the retention time or the limits; active requests stay.
    pub fn evict(&mut self, now: Tick) {
        let mut rest = self.eviction_order.len();
        while rest > 0 {
            rest -= 1;
            let Some((at, _)) = self.eviction_order.front() else { return };
            let many =
                self.entries.len() > MAX_ENTRIES || self.eviction_order.len() > 2 * MAX_ENTRIES;
            let full = many || self.bytes > MAX_BYTES;
            if !full && now.since(*at) < RETENTION {
                return;
            }
            self.evict_first(now);
        }
    }

    fn evict_first(&mut self, now: Tick) {
        let Some((_, id)) = self.eviction_order.pop_front() else { return };
        let Some(entry) = self.entries.get(&id) else { return };
        if matches!(entry.state, State::Active(_)) {
            self.eviction_order.push_back((now, id));
            return;
        }
        self.evicted_until = self.evicted_until.max(entry.at);
        self.bytes -= entry.size();
        self.entries.remove(&id);
    }
}

impl Entry {
    fn size(&self) -> usize {
        match &self.state {
            State::Answered(answer) => answer.len(),
            State::Active(_) | State::MaybeRan => 0,
        }
    }
}

/// Returns the identity of a request.
fn request_id(meta: &Meta) -> RequestId {
    let key = meta.place.as_ref().map(|place| place.key.clone());
    RequestId { key: key.unwrap_or_default(), customer: meta.customer.clone(), id: meta.id.clone() }
}

/// Returns whether a unit covers a request; the empty key covers an unkeyed service.
fn covers(unit: &Unit, id: &RequestId, slice: Option<Slice>) -> bool {
    match unit {
        Unit::Slice(of) => slice == Some(*of),
        Unit::Key(key) => id.key == *key,
    }
}
