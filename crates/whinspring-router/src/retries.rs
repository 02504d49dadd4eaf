//! This node's share of the retry budget of all nodes.
//!
//! The budget keeps retries from amplifying the overload that causes them, when servers fail or
//! shed requests or callers retry often. Per window, a node may retry a fraction of its own
//! requests, plus an equal share of an allowance for all nodes.

use {
    std::{
        collections::{HashMap, VecDeque},
        time::Duration,
    },
    whinspring::{name::Name, time::Tick},
};

const WINDOW: Duration = Duration::from_secs(10);

/// Fraction of the budget that is used, as the windows of the nodes are not aligned.
const BUDGET_SHARE: f64 = 0.7;

/// Requests and retries of each service within the window.
#[derive(Debug, Default)]
pub struct RetryBudget {
    services: HashMap<Name, Attempts>,
}

/// Requests and retries of one service.
#[derive(Debug, Default)]
struct Attempts {
    /// Times of first attempts.
    first: VecDeque<Tick>,
    /// Times of retries.
    retries: VecDeque<Tick>,
}

impl RetryBudget {
    /// Records the first attempt of a request.
    pub fn record_request(&mut self, now: Tick, service: &Name) {
        self.services.entry(service.clone()).or_default().first.push_back(now);
    }

    /// Returns whether a request may be retried; records the retry if so.
    pub fn allow(
        &mut self,
        now: Tick,
        service: &Name,
        nodes: usize,
        ratio: f64,
        extra: f64,
    ) -> bool {
        let attempts = self.services.entry(service.clone()).or_default();
        attempts.expire(now);
        let own = attempts.first.len() as f64 * ratio;
        let shared = extra / nodes.max(1) as f64;
        if attempts.retries.len() as f64 + 1.0 > (own + shared) * BUDGET_SHARE {
            return false;
        }
        attempts.retries.push_back(now);
        true
    }
}

impl Attempts {
    /// Removes times before the window.
    fn expire(&mut self, now: Tick) {
        for times in [&mut self.first, &mut self.retries] {
            while times.front().is_some_and(|at| now.since(*at) > WINDOW) {
                times.pop_front();
            }
        }
    }
}
