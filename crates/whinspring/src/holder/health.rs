//! Whether the server is alive, by what the holder itself sees of it.
//!
//! Any answer is a sign of life. A silent server is probed; it is lost when two probes stay
//! without any sign, or when it refuses connections. A slow server is not lost.

use {crate::time::Tick, std::time::Duration};

/// Silence after which the server is probed.
const PROBE_IDLE: Duration = Duration::from_millis(200);
/// Time between probes while an answer is due.
const PROBE_RETRY: Duration = Duration::from_millis(100);
/// Time between probes of a server that shows other signs of life: its notice of a stop comes
/// with the answer.
const PROBE_BUSY: Duration = Duration::from_millis(500);
/// Time between probes of a lost server.
const PROBE_LOST: Duration = Duration::from_millis(100);
/// Unanswered probes after which the server is lost.
const MAX_MISSED: u32 = 2;
/// Silence before which no server is lost.
const MIN_SILENCE: Duration = Duration::from_millis(350);
/// Refused connections after which the server is lost.
const MAX_REFUSED: u32 = 2;
/// Time between two inputs that shows that this process itself was stopped.
const STALL_THRESHOLD: Duration = Duration::from_millis(150);
/// Answers after which a started server gets all its slots.
const WARM_ANSWERS: u32 = 4;
/// Time for which a keyed server that announced its stop still serves what it owns.
const LEAVE_GRACE: Duration = Duration::from_millis(1_000);

/// What is known of the server's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// It has not answered yet.
    Unknown,
    /// It answers.
    Up,
    /// It does not.
    Lost,
}

/// What an answer to a probe or grant showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Transition {
    /// Whether the server's process is another one than before.
    pub restarted: bool,
    /// Whether the server was not up before.
    pub back: bool,
    /// Whether the server announced its stop just now.
    pub leaving: bool,
}

/// Life of one server.
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
    /// Returns the life of a server that has not answered yet.
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

    /// Returns whether the server answers.
    pub fn is_up(&self) -> bool {
        self.state == State::Up
    }

    /// Returns whether the server is lost.
    pub fn is_lost(&self) -> bool {
        self.state == State::Lost
    }

    /// Returns whether the server announced its stop.
    pub fn is_leaving(&self) -> bool {
        self.leaving.is_some()
    }

    /// Returns whether the server gets no new work because of its stop.
    pub fn is_closed(&self, now: Tick, keyed: bool) -> bool {
        let grace = if keyed { LEAVE_GRACE } else { Duration::ZERO };
        self.leaving.is_some_and(|since| now >= since + grace)
    }

    /// Returns how many of its slots may be used.
    pub fn slots(&self, all: u32) -> usize {
        let warm = !self.cold && self.answers >= WARM_ANSWERS;
        if warm { all as usize } else { all.min(1) as usize }
    }

    /// Returns when the server's process was last seen to be another one.
    pub fn restarted_at(&self) -> Tick {
        self.restarted_at
    }

    /// Returns whether the silence means that the server is lost.
    pub fn is_silent(&self, now: Tick) -> bool {
        let probed = self.last_probe.is_some_and(|at| now.since(at) >= PROBE_RETRY);
        let silent = now.since(self.last_activity) >= MIN_SILENCE;
        self.state != State::Lost && silent && self.missed >= MAX_MISSED && probed
    }

    /// Returns whether refused connections mean that the server is lost.
    pub fn is_refusing(&self, in_flight: bool) -> bool {
        let limit = if in_flight { 1 } else { MAX_REFUSED };
        self.state != State::Lost && self.refused >= limit
    }

    /// Notes an input; a long time without any says nothing about the server.
    pub fn record_input(&mut self, now: Tick) {
        if now.since(self.last_input) >= STALL_THRESHOLD {
            self.missed = 0;
            self.last_activity = now;
        }
        self.last_input = now;
    }

    /// Returns whether to probe now, and notes that it is done.
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

    /// Notes that a probe is sent.
    pub fn record_probe(&mut self, now: Tick) {
        self.last_probe = Some(now);
        self.missed += 1;
    }

    /// Notes a sign of life other than the answer to a probe.
    pub fn record_activity(&mut self, now: Tick) {
        self.last_activity = now;
        self.missed = 0;
        self.refused = 0;
    }

    /// Notes an answer to a request.
    pub fn record_answer(&mut self, now: Tick) {
        self.record_activity(now);
        self.answers = self.answers.saturating_add(1);
    }

    /// Notes the answer to a probe or grant.
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

    /// Notes a failed probe, grant or connection attempt.
    pub fn record_failure(&mut self, refused: bool) {
        if refused {
            self.refused += 1;
        }
    }

    /// The server is lost.
    pub fn mark_lost(&mut self) {
        self.state = State::Lost;
        self.missed = 0;
        self.refused = 0;
    }
}
