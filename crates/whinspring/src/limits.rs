//! How many requests a second servers take, as they say themselves.
//!
//! Load pattern: for seconds or minutes a server in need takes far fewer requests than arrive for it
//! at many nodes. Each node knows what it has read last, and passes it on with each request for
//! admission and each admission, so that the one gate of the server knows what any of its nodes
//! knows. [`Pace`] spaces what a gate admits. `docs/design/server-notices.md` tells where the facts
//! come from.

use {
    crate::{name::Name, notices::Life, time::Tick},
    std::{collections::HashMap, time::Duration},
};

/// Lowest rate at which a server still gets requests, in requests a second: only a response tells
/// that it takes more again.
const MIN_RATE: f64 = 0.25;

/// Time for which requests that were not started may be started later.
const BURST_TIME: Duration = Duration::from_secs(1);

/// Time after which it is forgotten that a server has lifted its limit.
const LIFTED_RETENTION: Duration = Duration::from_secs(60);

/// A number of requests a second.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Rate(f64);

impl Rate {
    /// Creates a rate; `None` if the number is negative or not finite.
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second))
    }

    /// Returns the number of requests a second.
    pub const fn per_second(self) -> f64 {
        self.0
    }

    /// Returns an equal part of the rate at which a server with this limit gets requests, which is
    /// never zero.
    pub fn share(self, parts: usize) -> Self {
        Self(self.0.max(MIN_RATE) / parts.max(1) as f64)
    }
}

/// What a server has said of its limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Statement {
    /// The limit; `None` if the server takes requests without one.
    pub rate: Option<Rate>,
    /// Latest time at which a limit was named; earliest time at which there was none.
    pub since: Tick,
}

/// What a node knows of the limits of servers. Servers that never named one do not occur.
#[derive(Debug, Default)]
pub struct Limits {
    known: HashMap<Name, (Life, Statement)>,
}

impl Limits {
    /// Records what a run of a server has said, unless something later is known. That there is no
    /// limit is news only if one was known.
    pub fn record(&mut self, server: &Name, life: Life, statement: Statement) {
        let known = self.statement(server, life);
        let is_news = match known {
            Some(known) => known.since <= statement.since,
            None => statement.rate.is_some(),
        };
        if is_news {
            self.known.insert(server.clone(), (life, statement));
        }
    }

    /// Returns the last statement of a run of a server, if it ever named a limit.
    pub fn statement(&self, server: &Name, life: Life) -> Option<Statement> {
        self.known.get(server).filter(|(known, _)| *known == life).map(|(_, statement)| *statement)
    }

    /// Returns the limit of a run of a server, if it has one.
    pub fn rate(&self, server: &Name, life: Life) -> Option<Rate> {
        self.statement(server, life)?.rate
    }

    /// Returns the statements on runs of servers that ever named a limit.
    pub fn statements(&self) -> impl Iterator<Item = (&Name, Life, Statement)> {
        self.known.iter().map(|(name, (life, statement))| (name, *life, *statement))
    }

    /// Forgets servers that are not listed any more, and limits that were lifted long ago.
    pub fn evict(&mut self, now: Tick, is_listed: impl Fn(&Name) -> bool) {
        self.known.retain(|name, (_, statement)| {
            let is_old = now.since(statement.since) >= LIFTED_RETENTION;
            is_listed(name) && (statement.rate.is_some() || !is_old)
        });
    }
}

/// A limit as a response names it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Named {
    /// The response names no limit.
    None,
    Limit(Rate),
    /// The response names a limit that cannot be read.
    Unreadable,
}

/// Returns the lowest of the limits in the values of a header.
pub fn parse_limit<'a>(values: impl Iterator<Item = &'a [u8]>) -> Named {
    let parse = |value: &[u8]| Rate::new(std::str::from_utf8(value).ok()?.trim().parse().ok()?);
    let lowest = |named, value| match (named, parse(value)) {
        (Named::Limit(known), Some(rate)) if known < rate => Named::Limit(known),
        (_, Some(rate)) => Named::Limit(rate),
        (Named::None, None) => Named::Unreadable,
        (named, None) => named,
    };
    values.fold(Named::None, lowest)
}

/// Spaces requests so that a server gets no more than its limit.
///
/// Nothing may be started at the beginning; what was not started within [`BURST_TIME`] is forgotten.
#[derive(Debug)]
pub struct Pace {
    rate: f64,
    /// Requests that may start now, as known at `at`.
    level: f64,
    at: Tick,
}

impl Pace {
    pub fn new(rate: Rate, now: Tick) -> Self {
        Self { rate: rate.0, level: 0.0, at: now }
    }

    /// Changes the rate; what may start already stays.
    pub fn set_rate(&mut self, rate: Rate, now: Tick) {
        self.level = self.level_at(now);
        self.at = now;
        self.rate = rate.0;
    }

    /// Returns the requests that start in one second.
    pub fn per_second(&self) -> f64 {
        self.rate
    }

    /// Returns whether a request may start now.
    pub fn is_open(&self, now: Tick) -> bool {
        self.level_at(now) >= 1.0
    }

    /// Records that a request starts.
    pub fn record_start(&mut self, now: Tick) {
        self.level = self.level_at(now) - 1.0;
        self.at = now;
    }

    fn level_at(&self, now: Tick) -> f64 {
        let most = (self.rate * BURST_TIME.as_secs_f64()).max(1.0);
        (self.level + self.rate * now.since(self.at).as_secs_f64()).min(most)
    }
}
