//! The queue of one server: start-time fair queueing across customers, in order of arrival within
//! each customer.
//!
//! Each customer has a start tag, the virtual time at which its next request is due. Starting a
//! request advances the tag by the cost of the request divided by the share of the customer; the
//! charge is corrected once the real cost is known. An idle customer accumulates credit for a few
//! requests, so that a short burst starts ahead of its turn. A request whose grant is not
//! acknowledged yet is parked: it expires like any other but gets no turn.

use {
    crate::{
        name::Name,
        request::{Job, JobId},
        time::Tick,
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
        time::Duration,
    },
};

/// Virtual time of one microsecond of slot time at a share of 1.
const SCALE: u64 = 1_024;
/// Number of starts over which the start interval of a customer is averaged.
const INTERVAL_SAMPLES: u32 = 16;
/// Requests that an idle customer may start ahead of its turn.
const BURST: u64 = 4;
/// Customers, and requests of each, that are examined for one that may start.
const MAX_SCAN: usize = 8;

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// By arrival.
    Fifo,
    /// By deadline.
    Deadline,
    /// Customers in turn, one request each, weighted by share; by deadline within each.
    RoundRobin,
    /// Customers by slot time used, weighted by share; by deadline within each.
    Usage,
    /// Customers by slot time used, weighted by share; by arrival within each.
    #[default]
    Fair,
}

#[derive(Debug, Clone)]
pub struct Waiting {
    pub job: Job,
    /// Earlier starts that ended before the request ran.
    pub tries: u32,
    seq: u64,
    parked: bool,
}

#[derive(Debug, Default)]
pub struct Queue {
    policy: Policy,
    jobs: HashMap<JobId, Waiting>,
    deadlines: BTreeSet<(Tick, JobId)>,
    parked: BTreeSet<JobId>,
    customers: BTreeMap<Name, Customer>,
    turns: BTreeSet<(u64, Name)>,
    shares: BTreeMap<Name, u32>,
    /// Sum of the shares of customers that have requests in turn.
    active_shares: u64,
    virtual_time: u64,
    /// Virtual time that an idle customer with a share of 1 may accumulate.
    credit: u64,
    seq: u64,
}

/// Order of a request among those of its customer.
type OrderKey = (Tick, u64, JobId);

#[derive(Debug)]
struct Customer {
    share: u32,
    start_tag: u64,
    jobs: VecDeque<OrderKey>,
    /// When its last request started, if others were still queued then.
    started: Option<Tick>,
    /// Moving average of the time between starts while others were queued.
    start_interval: Duration,
}

impl Customer {
    /// Updates the average start interval.
    fn record_start(&mut self, now: Tick) {
        if let Some(before) = self.started {
            let gap = now.since(before);
            self.start_interval =
                (self.start_interval * (INTERVAL_SAMPLES - 1) + gap) / INTERVAL_SAMPLES;
        }
        self.started = (!self.jobs.is_empty()).then_some(now);
    }
}

impl Queue {
    pub fn new(policy: Policy) -> Self {
        Self { policy, ..Self::default() }
    }

    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    pub fn get(&self, id: JobId) -> Option<&Waiting> {
        self.jobs.get(&id)
    }

    /// Returns the ids of the requests that pass `test`, in ascending order.
    pub fn select_ids(&self, test: impl Fn(&Job) -> bool) -> Vec<JobId> {
        let waiting = self.jobs.values().filter(|waiting| test(&waiting.job));
        let mut ids: Vec<JobId> = waiting.map(|waiting| waiting.job.id).collect();
        ids.sort_unstable();
        ids
    }

    pub fn earliest_deadline(&self) -> Option<(Tick, JobId)> {
        self.deadlines.first().copied()
    }

    /// Returns the first request in turn that passes `test`.
    pub fn next(&self, test: impl Fn(&Job) -> bool) -> Option<JobId> {
        for (_, name) in self.turns.iter().take(MAX_SCAN) {
            let ids = self.customers[name].jobs.iter().take(MAX_SCAN).map(|rank| rank.2);
            let mut eligible = ids.filter(|id| test(&self.jobs[id].job));
            if let Some(id) = eligible.next() {
                return Some(id);
            }
        }
        None
    }

    /// Returns how many requests would start before a new one of this customer and deadline.
    ///
    /// `cost` is the expected slot time of a request.
    pub fn count_ahead(&self, customer: &Name, deadline: Tick, cost: Duration) -> usize {
        let name = self.flow_name(customer);
        let share = self.share(&name);
        let (start_tag, own, before) = match self.customers.get(&name) {
            Some(known) => {
                let rank = (self.order_deadline(deadline), u64::MAX, JobId(u64::MAX));
                let before = known.jobs.partition_point(|other| *other < rank);
                (known.start_tag, known.jobs.len(), before)
            }
            None => (self.virtual_time.saturating_sub(self.credit / u64::from(share)), 0, 0),
        };
        let step = self.virtual_cost(cost, 1).max(1);
        let lag = (start_tag as f64 - self.virtual_time as f64) / step as f64;
        let turns = (lag + (before as f64 + 0.5) / f64::from(share)).max(0.0);
        let rivals = self.active_shares - if own > 0 { u64::from(share) } else { 0 };
        let others = self.len() - own - self.parked.len().min(self.len() - own);
        let ahead = (turns * rivals as f64) as usize;
        before + ahead.min(others) + self.parked.len()
    }

    /// Returns how long the queued requests of the customer would delay a new one with this
    /// deadline, by the average interval between its starts.
    pub fn backlog_wait(&self, customer: &Name, deadline: Tick) -> Duration {
        let Some(known) = self.customers.get(&self.flow_name(customer)) else {
            return Duration::ZERO;
        };
        let rank = (self.order_deadline(deadline), u64::MAX, JobId(u64::MAX));
        let before = known.jobs.partition_point(|other| *other < rank);
        known.start_interval * before as u32
    }

    /// Returns whether the customer has more than twice its share of the queue.
    pub fn exceeds_share(&self, customer: &Name) -> bool {
        let Some(known) = self.customers.get(customer) else { return false };
        let rivals = self.active_shares > u64::from(known.share);
        let fair = self.len() as u64 * u64::from(known.share);
        rivals && known.jobs.len() as u64 * self.active_shares > 2 * fair
    }

    /// Sets the shares of customers; those not listed have a share of 1.
    pub fn set_shares(&mut self, shares: impl IntoIterator<Item = (Name, u32)>) {
        self.shares = shares.into_iter().collect();
        let Self { customers, shares, active_shares, .. } = self;
        *active_shares = 0;
        for (name, customer) in customers {
            customer.share = shares.get(name).copied().unwrap_or(1).max(1);
            *active_shares += if customer.jobs.is_empty() { 0 } else { u64::from(customer.share) };
        }
    }

    /// Adds a request; a parked one gets no turn until [`Queue::unpark`].
    pub fn push(&mut self, job: Job, tries: u32, parked: bool) {
        let id = job.id;
        self.seq += 1;
        self.deadlines.insert((job.deadline, id));
        self.jobs.insert(id, Waiting { job, tries, seq: self.seq, parked });
        if parked {
            self.parked.insert(id);
        } else {
            self.enqueue(id);
        }
    }

    pub fn remove(&mut self, id: JobId) -> Option<Waiting> {
        let parked = self.jobs.get(&id)?.parked;
        if parked {
            self.parked.remove(&id);
        } else {
            self.dequeue(id);
        }
        let waiting = self.jobs.remove(&id)?;
        self.deadlines.remove(&(waiting.job.deadline, id));
        Some(waiting)
    }

    /// Removes a request that is being started, and charges its customer the expected cost.
    pub fn start(&mut self, now: Tick, id: JobId, cost: Duration) -> Option<Waiting> {
        let waiting = self.remove(id)?;
        let name = self.flow_name(&waiting.job.meta.customer);
        if let Some(customer) = self.customers.get_mut(&name) {
            self.virtual_time = self.virtual_time.max(customer.start_tag);
            customer.record_start(now);
        }
        self.charge(&waiting.job.meta.customer, cost, Duration::ZERO);
        self.credit = BURST * self.virtual_cost(cost, 1);
        Some(waiting)
    }

    /// Corrects the charge of a customer from `expected` to `took`.
    pub fn correct_charge(&mut self, customer: &Name, expected: Duration, took: Duration) {
        if matches!(self.policy, Policy::Usage | Policy::Fair) {
            self.charge(customer, took, expected);
        }
    }

    /// Parks a request whose grant is no longer in force.
    pub fn park(&mut self, id: JobId) {
        if self.jobs.get(&id).is_none_or(|waiting| waiting.parked) {
            return;
        }
        self.dequeue(id);
        self.parked.insert(id);
        if let Some(waiting) = self.jobs.get_mut(&id) {
            waiting.parked = true;
        }
    }

    /// Gives a turn to the parked requests that pass `test`.
    pub fn unpark(&mut self, test: impl Fn(&Job) -> bool) {
        let jobs = &self.jobs;
        let eligible = self.parked.iter().copied().filter(|id| test(&jobs[id].job));
        for id in eligible.collect::<Vec<JobId>>() {
            self.parked.remove(&id);
            if let Some(waiting) = self.jobs.get_mut(&id) {
                waiting.parked = false;
            }
            self.enqueue(id);
        }
    }

    /// Removes customers that have neither requests nor a start tag in the future.
    pub fn prune(&mut self) {
        let virtual_time = self.virtual_time;
        self.customers
            .retain(|_, customer| !customer.jobs.is_empty() || customer.start_tag > virtual_time);
    }

    fn enqueue(&mut self, id: JobId) {
        let (name, rank) = self.queue_position(id);
        let share = self.share(&name);
        let virtual_time = self.virtual_time.saturating_sub(self.credit / u64::from(share));
        let customer = self.customers.entry(name.clone()).or_insert_with(|| Customer {
            share,
            start_tag: virtual_time,
            jobs: VecDeque::new(),
            started: None,
            start_interval: Duration::ZERO,
        });
        if customer.jobs.is_empty() {
            customer.start_tag = customer.start_tag.max(virtual_time);
            self.active_shares += u64::from(customer.share);
            self.turns.insert((customer.start_tag, name));
        }
        let at = customer.jobs.partition_point(|other| *other < rank);
        customer.jobs.insert(at, rank);
    }

    fn dequeue(&mut self, id: JobId) {
        let (name, rank) = self.queue_position(id);
        let Some(customer) = self.customers.get_mut(&name) else { return };
        let at = customer.jobs.partition_point(|other| *other < rank);
        customer.jobs.remove(at);
        if customer.jobs.is_empty() {
            self.active_shares -= u64::from(customer.share);
            self.turns.remove(&(customer.start_tag, name));
        }
    }

    /// Advances the start tag of a customer by the cost `plus` and moves it back by `minus`.
    fn charge(&mut self, customer: &Name, plus: Duration, minus: Duration) {
        let name = self.flow_name(customer);
        let share = self.share(&name);
        let (plus, minus) = (self.virtual_cost(plus, share), self.virtual_cost(minus, share));
        let Some(customer) = self.customers.get_mut(&name) else { return };
        let start_tag = (customer.start_tag + plus).saturating_sub(minus);
        if !customer.jobs.is_empty() {
            self.turns.remove(&(customer.start_tag, name.clone()));
            self.turns.insert((start_tag, name));
        }
        customer.start_tag = start_tag;
    }

    /// Returns by how much a cost advances the start tag of a customer with this share.
    fn virtual_cost(&self, cost: Duration, share: u32) -> u64 {
        match self.policy {
            Policy::Usage | Policy::Fair => cost.as_micros() as u64 * SCALE / u64::from(share),
            _ if cost.is_zero() => 0,
            _ => SCALE * SCALE / u64::from(share),
        }
    }

    fn queue_position(&self, id: JobId) -> (Name, OrderKey) {
        let waiting = &self.jobs[&id];
        let name = self.flow_name(&waiting.job.meta.customer);
        (name, (self.order_deadline(waiting.job.deadline), waiting.seq, id))
    }

    fn order_deadline(&self, deadline: Tick) -> Tick {
        match self.policy {
            Policy::Fifo | Policy::Fair => Tick::default(),
            Policy::Deadline | Policy::RoundRobin | Policy::Usage => deadline,
        }
    }

    fn flow_name(&self, customer: &Name) -> Name {
        match self.policy {
            Policy::Fifo | Policy::Deadline => Name::new(),
            Policy::RoundRobin | Policy::Usage | Policy::Fair => customer.clone(),
        }
    }

    fn share(&self, name: &Name) -> u32 {
        self.shares.get(name).copied().unwrap_or(1).max(1)
    }
}
