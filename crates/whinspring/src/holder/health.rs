//! Failure detection for one server, from what its holder observes.
//!
//! Any answer proves that the server is alive. A silent server is probed; it is lost when two
//! probes get no response, or when it refuses connections. A slow server is not lost.

use {crate::time::Tick, std::time::Duration};

/// Silence after which the server is probed.
const PROBE_IDLE: Duration = Duration::from_millis(200);
/// Time between probes while a response is outstanding.
const PROBE_RETRY: Duration = Duration::from_millis(100);
/// Time between probes of a server that answers requests: only the response to a probe announces a
/// shutdown.
const PROBE_BUSY: Duration = Duration::from_millis(500);
const PROBE_LOST: Duration = Duration::from_millis(100);
/// Unanswered probes after which the server is lost.
const MAX_MISSED: u32 = 2;
/// Shortest silence after which a server is lost.
const MIN_SILENCE: Duration = Duration::from_millis(350);
/// Refused connections after which the server is lost.
const MAX_REFUSED: u32 = 2;
/// A gap of this length between two inputs means that this process itself was paused.
const STALL_THRESHOLD: Duration = Duration::from_millis(150);
/// Answers after which a started server gets all its slots.
const WARM_ANSWERS: u32 = 4;
/// Time for which a keyed server that announced its shutdown still serves what it owns.
const LEAVE_GRACE: Duration = Duration::from_millis(1_000);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// The server has not answered yet.
    Unknown,
    Up,
    Lost,
}

/// Changes that the answer to a probe or grant revealed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Transition {
    /// Whether the boot number changed: the process was restarted.
    pub restarted: bool,
    /// Whether the server was not up before.
    pub back: bool,
    /// Whether the server announced its shutdown in this answer.
    pub leaving: bool,
}

#[derive(Debug)]
pub struct Health {
    state: State,
    boot: Option<u64>,
    restarted_at: Tick,
    created: Tick,
    last_activity: Tick,
    last_probe: Option<Tick>,
    missed: u32,
    refused: u32,
    last_input: Tick,
    cold: bool,
    answers: u32,
    leaving: Option<Tick>,
}

impl Health {
    pub fn new(now: Tick) -> Self {
        Self {
            state: State::Unknown,
            boot: None,
            restarted_at: Tick::default(),
            created: now,
            last_activity: now,
            last_probe: None,
            missed: 0,
            refused: 0,
            last_input: now,
            cold: true,
            answers: 0,
            leaving: None,
        }
    }

    pub fn is_up(&self) -> bool {
        self.state == State::Up
    }

    pub fn is_lost(&self) -> bool {
        self.state == State::Lost
    }

    /// Returns whether the server announced its shutdown.
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_some()
    }

    /// Returns whether the server gets no new requests because of its shutdown.
    pub fn is_closed(&self, now: Tick, keyed: bool) -> bool {
        let grace = if keyed { LEAVE_GRACE } else { Duration::ZERO };
        self.leaving.is_some_and(|since| now >= since + grace)
    }

    /// Returns how many of its slots may be used: one until the server is warm.
    pub fn slots(&self, all: u32) -> usize {
        let warm = !self.cold && self.answers >= WARM_ANSWERS;
        if warm { all as usize } else { all.min(1) as usize }
    }

    /// Returns when a restart of the server was last detected.
    pub fn restarted_at(&self) -> Tick {
        self.restarted_at
    }

    /// Returns whether the silence means that the server is lost.
    pub fn is_silent(&self, now: Tick) -> bool {
        let probed = self.last_probe.is_some_and(|at| now.since(at) >= PROBE_RETRY);
        let silent = now.since(self.last_activity) >= MIN_SILENCE;
        self.state != State::Lost && silent && self.missed >= MAX_MISSED && probed
    }

    /// Returns whether refused connections mean that the server is lost; one is enough while there
    /// is work in flight.
    pub fn is_refusing(&self, in_flight: bool) -> bool {
        let limit = if in_flight { 1 } else { MAX_REFUSED };
        self.state != State::Lost && self.refused >= limit
    }

    /// Records an input. A long gap between inputs means that this process was paused and proves
    /// nothing about the server.
    pub fn record_input(&mut self, now: Tick) {
        if now.since(self.last_input) >= STALL_THRESHOLD {
            self.missed = 0;
            self.last_activity = now;
        }
        self.last_input = now;
    }

    /// Returns whether a probe is due now, and if so records it as sent.
    pub fn probe_due(&mut self, now: Tick, unresolved: bool) -> bool {
        let (idle, busy) = match self.state {
            State::Lost => (PROBE_LOST, PROBE_LOST),
            _ if unresolved || self.refused > 0 => (PROBE_RETRY, PROBE_RETRY),
            _ if self.missed > 0 => (PROBE_RETRY, PROBE_BUSY),
            _ if self.cold => (PROBE_IDLE, PROBE_IDLE),
            _ => (PROBE_IDLE, PROBE_BUSY),
        };
        let last = self.last_probe.unwrap_or(self.created);
        let silent = now.since(self.last_activity.max(last)) >= idle;
        if !silent && now.since(last) < busy {
            return false;
        }
        self.record_probe(now);
        true
    }

    pub fn record_probe(&mut self, now: Tick) {
        self.last_probe = Some(now);
        self.missed += 1;
    }

    /// Records that the server showed activity.
    pub fn record_activity(&mut self, now: Tick) {
        self.last_activity = now;
        self.missed = 0;
        self.refused = 0;
    }

    pub fn record_answer(&mut self, now: Tick) {
        self.record_activity(now);
        self.answers = self.answers.saturating_add(1);
    }

    /// Records the answer to a probe or grant.
    pub fn record_up(&mut self, now: Tick, boot: u64, leaving: bool, cold: bool) -> Transition {
        self.record_activity(now);
        let restarted = self.boot.is_some_and(|known| known != boot);
        let back = self.state != State::Up;
        if restarted {
            self.restarted_at = now;
            self.leaving = None;
        }
        if restarted || back {
            self.answers = 0;
        }
        let announced = leaving && self.leaving.is_none();
        match leaving {
            true if announced => self.leaving = Some(now),
            true => {}
            false => self.leaving = None,
        }
        self.state = State::Up;
        self.boot = Some(boot);
        self.cold = cold;
        Transition { restarted, back, leaving: announced }
    }

    /// Records a failed probe, grant or connection attempt.
    pub fn record_failure(&mut self, refused: bool) {
        if refused {
            self.refused += 1;
        }
    }

    pub fn mark_lost(&mut self) {
        self.state = State::Lost;
        self.missed = 0;
        self.refused = 0;
    }
}
