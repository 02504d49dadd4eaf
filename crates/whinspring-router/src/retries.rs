//! The share of this node in the retry budget of all nodes.
//!
//! Load pattern: servers fail or shed a part of what they get, or some callers repeat often, and
//! repeated sendings would add to the load that caused them. Each node may repeat a part of what
//! it sent itself in the window, and its even part of the extra that all nodes share.

use {
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
    whinspring::{name::Name, time::Tick},
};

/// Length of a window.
const WINDOW: Duration = Duration::from_secs(10);

/// Part of the budget that is used: windows of nodes do not end together.
const BUDGET_SHARE: f64 = 0.7;

/// First and repeated sendings of each service in the window.
#[derive(Debug, Default)]
pub struct RetryBudget {
    /// Sendings by service.
    services: HashMap<Name, Attempts>,
}

/// Sendings to one service.
#[derive(Debug, Default)]
struct Attempts {
    /// First sendings.
    first: VecDeque<Tick>,
    /// Repeated sendings.
    retries: VecDeque<Tick>,
}

impl RetryBudget {
    /// Notes a request.
    pub fn record_request(&mut self, now: Tick, service: &Name) {
        self.services.entry(service.clone()).or_default().first.push_back(now);
    }

    /// Returns whether a request may be sent once more, and notes it if so.
    pub fn allow(
        &mut self,
        now: Tick,
        service: &Name,
        nodes: usize,
        ratio: f64,
        extra: u32,
    ) -> bool {
        let attempts = self.services.entry(service.clone()).or_default();
        attempts.expire(now);
        let own = attempts.first.len() as f64 * ratio;
        let shared = f64::from(extra) / nodes.max(1) as f64;
        if attempts.retries.len() as f64 + 1.0 > (own + shared) * BUDGET_SHARE {
            return false;
        }
        attempts.retries.push_back(now);
        true
    }
}

impl Attempts {
    /// Forgets what lies before the window.
    fn expire(&mut self, now: Tick) {
        for times in [&mut self.first, &mut self.retries] {
            while times.front().is_some_and(|at| now.since(*at) > WINDOW) {
                times.pop_front();
            }
        }
    }
}
