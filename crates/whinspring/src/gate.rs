//! How requests wait for a server, are turned away, and are placed.
//!
//! Load pattern: for seconds more requests come than the slots can run, of unequal urgency, while
//! servers differ in speed and keep short queues of their own. A [`Gate`] stands before the
//! servers of one pool: one server that owns keys, or all servers of a service without keys. It
//! lets as many requests through as there are slots. The others wait by urgency, and a request
//! that cannot be started in time is refused as soon as that is known, with the time until the
//! backlog has drained.

use {
    crate::{name::Name, time::Tick},
    std::{collections::HashMap, time::Duration},
};

/// Time that a request takes where nothing was measured yet.
const FIRST_ESTIMATE: Duration = Duration::from_millis(130);

/// Part of the estimate that a new measurement replaces, as a divisor.
const SMOOTHING: u32 = 8;

/// Shortest time until a refused caller may come back.
const MIN_RETRY: Duration = Duration::from_millis(100);

/// Longest time until a refused caller may come back.
const MAX_RETRY: Duration = Duration::from_millis(1_500);

/// Time after which a measured time of an idle server is forgotten.
const PACE_MEMORY: Duration = Duration::from_secs(4);

/// Part that a request to another failure domain counts as longer, as a divisor.
const FAR_DIVISOR: u64 = 1;

/// Failures in a row after which a server is given rest.
const FREE_FAILURES: u32 = 1;

/// Half of the first rest after failures.
const FIRST_REST: Duration = Duration::from_millis(25);

/// Doublings of the rest at most.
const MAX_STEPS: u32 = 5;

/// Part of the time to its deadline that a request may wait in the queue, in hundredths.
const WAIT_SHARE: u32 = 60;

/// Number of a request at a gate: the node it came from and its number there.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket {
    /// The node.
    pub node: Name,
    /// Number at that node.
    pub number: u64,
}

/// A request that wants to be run.
#[derive(Debug, Clone)]
pub struct Ask {
    /// Its number.
    pub ticket: Ticket,
    /// Failure domain it came from.
    pub domain: Name,
    /// Urgency; zero is the highest.
    pub priority: u8,
    /// Point up to which an answer is of full use.
    pub target: Tick,
    /// Point after which no answer is of use.
    pub deadline: Tick,
    /// Server that failed it before, to be avoided.
    pub avoid: Option<Name>,
}

/// How a request left its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The server ran it to its end.
    Ran,
    /// The server did not run it, or failed it, or fell silent.
    Failed,
    /// It was never sent, or the caller went away.
    Unused,
}

/// What becomes of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It is sent to a server.
    Go(Ticket, Name),
    /// It is refused; the caller may come back after the time given.
    Refuse(Ticket, Duration),
}

/// A server behind a gate.
#[derive(Debug)]
struct Lane {
    /// Its name.
    server: Name,
    /// Failure domain.
    domain: Name,
    /// Requests that it runs at once.
    slots: u32,
    /// Whether it may be sent requests.
    open: bool,
    /// Requests sent to it.
    running: HashMap<Ticket, Tick>,
    /// Smoothed time of a request.
    pace: Option<Duration>,
    /// When the time was last measured.
    paced: Tick,
    /// Requests that failed since the last one that ran.
    failures: u32,
    /// Point before which no request is sent, after failures.
    rests: Tick,
}

/// The queue before a pool of servers.
#[derive(Debug, Default)]
pub struct Gate {
    /// Servers.
    lanes: Vec<Lane>,
    /// Requests that wait.
    queue: Vec<Ask>,
}

impl Gate {
    /// Sets what is known of a server; adds it if it is new.
    pub fn set_server(&mut self, server: &Name, domain: &Name, slots: u32, open: bool) {
        let found = self.lanes.iter_mut().find(|lane| lane.server == *server);
        match found {
            Some(lane) => {
                lane.slots = slots;
                lane.open = open;
            }
            None => self.lanes.push(Lane {
                server: server.clone(),
                domain: domain.clone(),
                slots,
                open,
                running: HashMap::new(),
                pace: None,
                paced: Tick::default(),
                failures: 0,
                rests: Tick::default(),
            }),
        }
    }

    /// Forgets the servers that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.lanes.retain(|lane| keep(&lane.server));
    }

    /// Takes a request in, unless it waits already; it is decided by the next [`Gate::step`].
    pub fn ask(&mut self, ask: Ask) {
        if !self.queue.iter().any(|other| other.ticket == ask.ticket) {
            self.queue.push(ask);
        }
    }

    /// Returns the server that a request was let through to and has not left.
    pub fn placed(&self, ticket: &Ticket) -> Option<&Name> {
        let lane = self.lanes.iter().find(|lane| lane.running.contains_key(ticket));
        lane.map(|lane| &lane.server)
    }

    /// Returns the requests that were let through before a point and have not left.
    pub fn placed_before(&self, point: Tick) -> impl Iterator<Item = &Ticket> {
        let running = self.lanes.iter().flat_map(|lane| &lane.running);
        running.filter(move |(_, since)| **since < point).map(|(ticket, _)| ticket)
    }

    /// Notes that a request has left its server.
    pub fn done(&mut self, ticket: &Ticket, ending: Ending, now: Tick) {
        self.queue.retain(|ask| ask.ticket != *ticket);
        for lane in &mut self.lanes {
            if let Some(since) = lane.running.remove(ticket) {
                lane.ended(ending, since, now);
            }
        }
    }

    /// Forgets all requests of a node.
    pub fn drop_node(&mut self, node: &str) {
        self.queue.retain(|ask| ask.ticket.node != node);
        for lane in &mut self.lanes {
            lane.running.retain(|ticket, _| ticket.node != node);
        }
    }

    /// Forgets requests that were sent before `oldest`: their ends have been missed.
    pub fn expire(&mut self, oldest: Tick) {
        for lane in &mut self.lanes {
            lane.running.retain(|_, since| *since >= oldest);
        }
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Decides what can be decided now.
    pub fn step(&mut self, now: Tick) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        let pace = self.pace();
        for lane in &mut self.lanes {
            lane.forget_pace(now);
        }
        self.queue.sort_by_key(|ask| (rank(ask, now, pace), ask.target));
        self.start(&mut verdicts, now);
        self.refuse(&mut verdicts, now, pace);
        verdicts
    }

    /// Lets requests through while there is room.
    fn start(&mut self, verdicts: &mut Vec<Verdict>, now: Tick) {
        let usual = self.pace();
        let mut index = 0;
        while index < self.queue.len() {
            let ask = &self.queue[index];
            let Some(lane) = self.room(ask, usual, now) else { return };
            let ask = self.queue.remove(index);
            let lane = &mut self.lanes[lane];
            lane.running.insert(ask.ticket.clone(), now);
            verdicts.push(Verdict::Go(ask.ticket, lane.server.clone()));
            index = 0;
        }
    }

    /// Returns the best server with room for a request.
    fn room(&self, ask: &Ask, usual: Duration, now: Tick) -> Option<usize> {
        let cost = |lane: &Lane| {
            let pace = lane.pace.unwrap_or(usual).as_micros() as u64;
            let filled = pace + pace * lane.running.len() as u64 / u64::from(lane.slots.max(1));
            if lane.domain == ask.domain { filled } else { filled + filled / FAR_DIVISOR }
        };
        let lanes = self.lanes.iter().enumerate().filter(|(_, lane)| lane.has_room(now));
        let key = |lane: &Lane| (ask.avoid.as_ref() == Some(&lane.server), cost(lane));
        lanes.min_by_key(|(_, lane)| key(lane)).map(|(index, _)| index)
    }

    /// Refuses what cannot be started in time.
    fn refuse(&mut self, verdicts: &mut Vec<Verdict>, now: Tick, pace: Duration) {
        let slots: u32 = self.lanes.iter().filter(|lane| lane.open).map(|lane| lane.slots).sum();
        let each = pace / slots.max(1);
        let mut ahead = 0;
        let mut kept = Vec::with_capacity(self.queue.len());
        for ask in self.queue.drain(..) {
            let wait = each * (ahead + 1);
            let limit = ask.deadline.since(now).saturating_sub(pace) * WAIT_SHARE / 100;
            if slots == 0 || wait > limit {
                let retry = (each * (ahead + 1)).clamp(MIN_RETRY, MAX_RETRY);
                verdicts.push(Verdict::Refuse(ask.ticket, retry));
            } else {
                ahead += 1;
                kept.push(ask);
            }
        }
        self.queue = kept;
    }

    /// Returns the usual time of a request.
    fn pace(&self) -> Duration {
        let known: Vec<Duration> = self.lanes.iter().filter_map(|lane| lane.pace).collect();
        let count = known.len() as u32;
        if count == 0 { FIRST_ESTIMATE } else { known.iter().sum::<Duration>() / count }
    }
}

impl Lane {
    /// Returns whether another request may be sent.
    fn has_room(&self, now: Tick) -> bool {
        self.open && (self.running.len() as u32) < self.slots && now >= self.rests
    }

    /// Notes how a request ended.
    fn ended(&mut self, ending: Ending, since: Tick, now: Tick) {
        match ending {
            Ending::Ran => {
                let took = now.since(since);
                let pace = self.pace.unwrap_or(took);
                self.pace = Some(pace - pace / SMOOTHING + took / SMOOTHING);
                self.paced = now;
                self.failures = 0;
            }
            Ending::Failed => {
                self.failures += 1;
                if self.failures > FREE_FAILURES {
                    let step = (self.failures - FREE_FAILURES).min(MAX_STEPS);
                    self.rests = now + FIRST_REST * (1 << step);
                }
            }
            Ending::Unused => {}
        }
    }

    /// Forgets a measured time that is too old, so that a slow server is tried again.
    fn forget_pace(&mut self, now: Tick) {
        if self.running.is_empty() && now.since(self.paced) > PACE_MEMORY {
            self.pace = None;
        }
    }
}

/// Returns the order of a request: those that can still meet their target go first, and among
/// them the most urgent.
fn rank(ask: &Ask, now: Tick, pace: Duration) -> (bool, u8) {
    let late = now + pace > ask.target;
    (late, ask.priority)
}
