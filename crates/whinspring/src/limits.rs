//! How many requests a second servers take, as they say themselves.
//!
//! Load pattern: for seconds or minutes a server in need takes far fewer requests than arrive for it
//! at many nodes. Each node knows what it has read last, and passes it on with each request for
//! admission and each admission, so that the one gate of the server knows what any of its nodes
//! knows. [`Pace`] spaces what a gate admits, also to a server that is cold ([`crate::cold`]).
//! `docs/design/server-notices.md` tells where the facts come from.

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
    pub const ZERO: Self = Self(0.0);

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

    /// Returns whether any server may have a limit.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
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

/// Recurring window of time in which one of several gates may start requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Turn {
    /// Start of one of the windows.
    pub start: Tick,
    /// Length of a window.
    pub open: Duration,
    /// Time from the start of one window to that of the next.
    pub period: Duration,
}

impl Turn {
    /// Returns whether a window is open.
    pub fn is_open(&self, now: Tick) -> bool {
        let period = self.period.as_micros().max(1) as u64;
        let offset = (now.0 % period + period - self.start.0 % period) % period;
        Duration::from_micros(offset) < self.open
    }
}

/// How a gate spaces the requests to a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Spacing {
    pub rate: Rate,
    /// Requests that may start at once after an idle period, at least one.
    pub burst: f64,
    /// When requests may start; `None` for any time.
    pub turn: Option<Turn>,
}

impl From<Rate> for Spacing {
    /// Allows what was not started within [`BURST_TIME`] to start later.
    fn from(rate: Rate) -> Self {
        let burst = (rate.0 * BURST_TIME.as_secs_f64()).max(1.0);
        Self { rate, burst, turn: None }
    }
}

impl Spacing {
    /// Returns a spacing that keeps within both.
    pub fn combine(self, other: Self) -> Self {
        let rate = if other.rate < self.rate { other.rate } else { self.rate };
        Self { rate, burst: self.burst.min(other.burst), turn: self.turn.or(other.turn) }
    }

    /// Returns the requests that start in one second on average.
    pub fn per_second(&self) -> f64 {
        let Some(turn) = &self.turn else { return self.rate.0 };
        let starts = (self.rate.0 * turn.open.as_secs_f64()).max(1.0);
        self.rate.0.min(starts / turn.period.as_secs_f64())
    }
}

/// Spaces requests so that a server gets no more than its limit.
///
/// Nothing may be started at the beginning; what exceeds the burst of the spacing is forgotten.
#[derive(Debug)]
pub struct Pace {
    spacing: Spacing,
    /// Requests that may start now, as known at `at`.
    level: f64,
    at: Tick,
}

impl Pace {
    pub fn new(spacing: impl Into<Spacing>, now: Tick) -> Self {
        Self { spacing: spacing.into(), level: 0.0, at: now }
    }

    /// Changes the rate; what may start already stays.
    pub fn set_rate(&mut self, rate: Rate, now: Tick) {
        self.set_spacing(rate.into(), now);
    }

    /// Changes the spacing; what may start already stays, up to the new burst.
    pub fn set_spacing(&mut self, spacing: Spacing, now: Tick) {
        self.level = self.level_at(now).min(spacing.burst);
        self.at = now;
        self.spacing = spacing;
    }

    /// Returns the requests that start in one second.
    pub fn per_second(&self) -> f64 {
        self.spacing.per_second()
    }

    /// Returns whether a request may start now.
    pub fn is_open(&self, now: Tick) -> bool {
        self.level_at(now) >= 1.0 && self.spacing.turn.is_none_or(|turn| turn.is_open(now))
    }

    /// Records that a request starts.
    pub fn record_start(&mut self, now: Tick) {
        self.level = self.level_at(now) - 1.0;
        self.at = now;
    }

    fn level_at(&self, now: Tick) -> f64 {
        let gained = self.spacing.rate.0 * now.since(self.at).as_secs_f64();
        (self.level + gained).min(self.spacing.burst)
    }
}
