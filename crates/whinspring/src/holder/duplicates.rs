//! Memory of unrepeatable requests, so that none runs twice.
//!
//! A request whose id is remembered joins the run in progress, gets the recorded answer, or is
//! told that it may have run. One whose id is not remembered runs only if no earlier sending can
//! have been forgotten: see [`Duplicates::may_run`].

use {
    super::event::{Memory, Remembered, RequestId, Unit},
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

/// Time for which a request is remembered.
const RETENTION: Duration = Duration::from_secs(600);
/// Requests remembered at most.
const MAX_ENTRIES: usize = 65_536;
/// Bytes of recorded answers kept at most.
const MAX_BYTES: usize = 8 << 20;
/// Requests that may wait for one run.
const MAX_JOINED: usize = 64;

/// What is known of a request id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Known {
    /// Nothing.
    New,
    /// Its request waits or runs under this number.
    Active(JobId),
    /// It was answered.
    Answered(Bytes),
    /// It may have run, or its answer was not recorded.
    MaybeRan,
    /// The id was used for a different request.
    Mismatch,
}

/// Whether a request whose id is not remembered may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fresh {
    /// No earlier sending can have run.
    Yes,
    /// An earlier sending may have run and been forgotten.
    No,
    /// The id was issued in the future.
    Future,
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
    print: u64,
    slice: Option<Slice>,
    at: Wall,
}

/// Memory of one server's unrepeatable requests.
#[derive(Debug, Default)]
pub struct Duplicates {
    entries: HashMap<RequestId, Entry>,
    /// Ids by age, for eviction.
    ages: VecDeque<(Tick, RequestId)>,
    bytes: usize,
    /// Arrival of the last request that was evicted.
    floor: Wall,
    /// Requests that wait for another's run.
    joined: BTreeMap<JobId, Vec<Job>>,
    /// No joined request's deadline is earlier.
    soonest: Option<Tick>,
}

impl Duplicates {
    /// Returns what is known of a request's id.
    pub fn known(&self, meta: &Meta) -> Known {
        let Some(entry) = self.entries.get(&request_id(meta)) else { return Known::New };
        if entry.print != meta.print {
            return Known::Mismatch;
        }
        match &entry.state {
            State::Active(job) => Known::Active(*job),
            State::Answered(answer) => Known::Answered(answer.clone()),
            State::MaybeRan => Known::MaybeRan,
        }
    }

    /// Returns whether an unknown id may run, given that memory is complete from `since` on.
    ///
    /// It may if the caller marked its first sending, or if it was issued when every later
    /// sending of it would still be remembered.
    pub fn may_run(&self, meta: &Meta, since: Wall, wall: Wall) -> Fresh {
        if meta.issued.is_some_and(|issued| issued.0 > wall.0 + MAX_CLOCK_SKEW_MS) {
            return Fresh::Future;
        }
        let begin = since.max(self.floor);
        let late = meta.issued.is_some_and(|issued| issued.0 > begin.0 + MAX_CLOCK_SKEW_MS);
        if meta.first || late { Fresh::Yes } else { Fresh::No }
    }

    /// Returns the requests that wait for the run of `job`.
    pub fn waiting(&self, job: JobId) -> usize {
        self.joined.get(&job).map_or(0, Vec::len)
    }

    /// Remembers a request that was accepted.
    pub fn accept(&mut self, now: Tick, wall: Wall, job: &Job) {
        let id = request_id(&job.meta);
        let slice = job.meta.place.as_ref().map(|place| place.slice);
        let state = State::Active(job.id);
        self.entries.insert(id.clone(), Entry { state, print: job.meta.print, slice, at: wall });
        self.ages.push_back((now, id));
        self.evict(now);
    }

    /// Lets a request wait for the run of another; returns whether there was room.
    pub fn join(&mut self, run: JobId, job: Job) -> bool {
        let joined = self.joined.entry(run).or_default();
        if joined.len() >= MAX_JOINED {
            return false;
        }
        self.soonest = Some(self.soonest.map_or(job.deadline, |at| at.min(job.deadline)));
        joined.push(job);
        true
    }

    /// Removes a request that waits for another's run; returns whether there was one.
    pub fn unjoin(&mut self, id: JobId) -> bool {
        let found = self.joined.iter().find(|(_, jobs)| jobs.iter().any(|job| job.id == id));
        let Some(run) = found.map(|(run, _)| *run) else { return false };
        if let Some(jobs) = self.joined.get_mut(&run) {
            jobs.retain(|job| job.id != id);
        }
        if self.waiting(run) == 0 {
            self.joined.remove(&run);
        }
        true
    }

    /// Removes and returns the joined requests whose deadline has passed.
    pub fn expired(&mut self, now: Tick) -> Vec<JobId> {
        let mut late = Vec::new();
        if self.soonest.is_none_or(|at| now < at) {
            return late;
        }
        for jobs in self.joined.values_mut() {
            late.extend(jobs.iter().filter(|job| job.deadline <= now).map(|job| job.id));
            jobs.retain(|job| job.deadline > now);
        }
        self.joined.retain(|_, jobs| !jobs.is_empty());
        self.soonest = self.joined.values().flatten().map(|job| job.deadline).min();
        late
    }

    /// Records the answer of a run; returns the requests that wait for it.
    pub fn answered(&mut self, meta: &Meta, job: JobId, answer: Option<Bytes>) -> Vec<Job> {
        let size = answer.as_ref().map_or(0, Bytes::len);
        if let Some(entry) = self.entries.get_mut(&request_id(meta)) {
            entry.state = answer.map_or(State::MaybeRan, State::Answered);
            self.bytes += size;
        }
        self.joined.remove(&job).unwrap_or_default()
    }

    /// Records that a run may have happened; returns the requests that wait for it.
    pub fn may_have_run(&mut self, meta: &Meta, job: JobId) -> Vec<Job> {
        self.answered(meta, job, None)
    }

    /// Forgets a request that did not run; returns the requests that wait for it.
    pub fn forget(&mut self, meta: &Meta, job: JobId) -> Vec<Job> {
        let id = request_id(meta);
        let mine = |entry: &Entry| matches!(entry.state, State::Active(active) if active == job);
        if self.entries.get(&id).is_some_and(mine) {
            self.entries.remove(&id);
        }
        self.joined.remove(&job).unwrap_or_default()
    }

    /// Returns the memory of a unit, to be handed over.
    pub fn collect(&self, unit: &Unit) -> Vec<Remembered> {
        let entries = self.entries.iter().filter(|(id, entry)| covers(unit, id, entry.slice));
        let mut found: Vec<Remembered> = entries
            .map(|(id, entry)| Remembered {
                id: id.clone(),
                print: entry.print,
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

    /// Returns from when on the memory is complete, if a unit's is from `since` on.
    pub fn complete_since(&self, since: Wall) -> Wall {
        since.max(self.floor)
    }

    /// Forgets requests of keys for which `test` does not hold.
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

    /// Takes in memory that another holder released.
    pub fn merge(&mut self, now: Tick, slices: u32, memory: Memory) {
        for known in memory.entries {
            let slice = (slices > 0).then(|| slice_of(&known.id.key, slices));
            self.merge_entry(now, slice, known);
        }
        self.evict(now);
    }

    fn merge_entry(&mut self, now: Tick, slice: Option<Slice>, known: Remembered) {
        if self.entries.contains_key(&known.id) {
            return;
        }
        self.bytes += known.answer.as_ref().map_or(0, Bytes::len);
        let state = known.answer.map_or(State::MaybeRan, State::Answered);
        self.ages.push_back((now, known.id.clone()));
        self.entries.insert(known.id, Entry { state, print: known.print, slice, at: known.at });
    }

    /// Forgets what is too old or too much; active requests stay.
    pub fn evict(&mut self, now: Tick) {
        let mut rest = self.ages.len();
        while rest > 0 {
            rest -= 1;
            let Some((at, _)) = self.ages.front() else { return };
            let many = self.entries.len() > MAX_ENTRIES || self.ages.len() > 2 * MAX_ENTRIES;
            let full = many || self.bytes > MAX_BYTES;
            if !full && now.since(*at) < RETENTION {
                return;
            }
            self.evict_first(now);
        }
    }

    fn evict_first(&mut self, now: Tick) {
        let Some((_, id)) = self.ages.pop_front() else { return };
        let Some(entry) = self.entries.get(&id) else { return };
        if matches!(entry.state, State::Active(_)) {
            self.ages.push_back((now, id));
            return;
        }
        self.floor = self.floor.max(entry.at);
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

/// Returns what tells the request from any other.
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
