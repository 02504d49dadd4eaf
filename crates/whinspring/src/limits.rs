//! How many requests a second servers take, as they say themselves.
//!
//! Load pattern: for seconds or minutes a server in need takes far fewer requests than arrive for it
//! at many nodes.

use {
    crate::{name::Name, notices::Life, time::Tick},
    std::{collections::HashMap, time::Duration},
};

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
