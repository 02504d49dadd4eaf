//! Share of errors in the responses of a server, for the planner of key moves.
//!
//! Load pattern: the owner of many keys responds with errors within milliseconds for some seconds.
//! Its gate has no other server to send the requests to, so that only a move of the keys helps.

use {crate::time::Tick, std::time::Duration};

/// Time constant of the exponential decay of [`ErrorShare`]: keys return to a server about as long
/// after its errors have ended.
const SHARE_DECAY: Duration = Duration::from_secs(4);

/// Recent responses from which their share of errors counts.
const MIN_RESPONSES: f64 = 8.0;

/// Share of errors above which a server counts as failing. Requests cause 0.004 themselves.
const FAILING_SHARE: f64 = 0.2;

/// Recent share of errors in the responses of a server.
#[derive(Debug, Clone, Default)]
pub struct ErrorShare {
    responses: f64,
    errors: f64,
    last: Tick,
}

impl ErrorShare {
    /// Adds responses: those that completed, and errors.
    pub fn record(&mut self, now: Tick, completed: u32, errors: u32) {
        let factor = self.factor(now);
        self.last = now;
        self.errors = self.errors * factor + f64::from(errors);
        self.responses = self.responses * factor + f64::from(completed) + f64::from(errors);
    }

    /// Returns the share of errors if it is high, otherwise zero.
    pub fn high(&self, now: Tick) -> f64 {
        let is_known = self.responses * self.factor(now) >= MIN_RESPONSES;
        let share = if is_known { self.errors / self.responses } else { 0.0 };
        if share >= FAILING_SHARE { share } else { 0.0 }
    }

    fn factor(&self, now: Tick) -> f64 {
        (-now.since(self.last).as_secs_f64() / SHARE_DECAY.as_secs_f64()).exp()
    }
}
