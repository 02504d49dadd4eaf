//! How many requests a second a cold server gets from all nodes together.
//!
//! Load pattern: after a failure of a domain or a deployment, a hundred servers start at once while the
//! demand is 1.6 times what it was. Each of them crashes if it gets much more than its rate before it
//! is warm. The nodes may be restarting at that moment, or be unable to reach each other.
//!
//! The bound on any second is divided in two equal parts. One is for the gate of the server on the
//! node that all nodes choose. The other one is for a second such gate while the views of nodes
//! differ, or for the gates of all nodes that are not connected to most others; these take turns by
//! the wall clock. `docs/design/warm-up.md` derives the numbers.

use {
    crate::{
        limits::{Rate, Spacing, Turn},
        name::Name,
        time::{MAX_CLOCK_SKEW_MS, Tick, Wall},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Share of a part of the bound that a gate uses: with requests spaced at exactly the part, a closed
/// second would contain one more.
const PART_USE: f64 = 0.99;

/// Share of its window in which a node starts requests. The rest separates the windows of two nodes
/// whose wall clocks differ.
const TURN_USE: f64 = 0.5;

/// Length in seconds, on one clock, of what may be one second on the clocks of all nodes.
const CLOCK_SPREAD_S: f64 = 1.0 + MAX_CLOCK_SKEW_MS as f64 / 1_000.0;

/// Lowest rate of the windows, in windows a second.
const MIN_TURN_RATE: f64 = 0.001;

/// Time for which a node that is not heard any more counts as one that may run a gate of its own.
const MEMBER_RETENTION: Duration = Duration::from_secs(600);

/// Limit on the requests to a cold server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    /// Requests a second that the server tolerates.
    rate: f64,
    /// Requests that it may get in any second.
    bound: f64,
}

/// Position of a gate among those that other nodes may use for the same server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Seat {
    /// The node is the one that all nodes choose, and it is connected to most of them.
    Elected,
    /// The node is one of several that may each use a gate of their own.
    Separate {
        /// Position of the node among all nodes in the order of their names.
        index: usize,
        /// Number of nodes.
        count: usize,
    },
    /// The node does not know the other nodes yet.
    Unknown,
}

impl ColdLimit {
    /// Creates the limit of servers that tolerate `rate` requests a second, and may get at most `rate` x
    /// `overrun` + `slack` in any second; `None` if there is no such rate.
    pub fn new(rate: Rate, overrun: f64, slack: f64) -> Option<Self> {
        let rate = rate.per_second();
        let is_limit = rate > 0.0 && overrun > 0.0 && slack >= 0.0;
        let bound = rate * overrun + slack;
        is_limit.then_some(Self { rate: rate.min(rate * overrun), bound })
    }

    /// Returns the number of requests that a server may get in any second.
    pub fn bound(&self) -> f64 {
        self.bound
    }

    /// Returns the rate that a server gets from the gate that all nodes use.
    pub fn rate(&self) -> Rate {
        Rate::new(self.rate.min(self.part() * PART_USE)).unwrap_or(Rate::ZERO)
    }

    /// Returns how a gate spaces the requests to a server. One request may start after an idle
    /// period, so that starts are never closer to each other than the rate.
    pub fn spacing(&self, seat: Seat, now: Tick, wall: Wall) -> Spacing {
        match seat {
            Seat::Elected => Spacing { rate: self.rate(), burst: 1.0, turn: None },
            Seat::Separate { index, count } => self.take_turns(index, count, now, wall),
            Seat::Unknown => Spacing { rate: Rate::ZERO, burst: 1.0, turn: None },
        }
    }

    /// Returns half of the bound, in whole requests: a fraction of a request cannot start.
    fn part(&self) -> f64 {
        let half = self.bound / 2.0;
        if half >= 1.0 { half.floor() } else { half }
    }

    /// Returns the spacing of one of several gates. As their clocks differ, the windows that a second
    /// may overlap are those of [`CLOCK_SPREAD_S`] seconds, and half a window.
    fn take_turns(&self, index: usize, count: usize, now: Tick, wall: Wall) -> Spacing {
        let part = self.part();
        let starts = (part - TURN_USE).max(part * TURN_USE) * PART_USE;
        let rate = self.rate.min(starts / CLOCK_SPREAD_S).max(MIN_TURN_RATE);
        let window = Duration::from_secs_f64(1.0 / rate);
        let period = window * count.max(1) as u32;
        let elapsed = u128::from(wall.0) * 1_000 % period.as_micros();
        let begin = now + window * index as u32 + period;
        let start = begin - Duration::from_micros(elapsed as u64);
        let turn = Turn { start, open: window.mul_f64(TURN_USE), period };
        let rate = Rate::new(rate).unwrap_or(Rate::ZERO);
        Spacing { rate, burst: 1.0, turn: Some(turn) }
    }
}

/// Nodes that may run gates, whether they are connected to this one or not.
#[derive(Debug, Default)]
pub struct Members {
    /// When each other node was last heard.
    heard: BTreeMap<Name, Tick>,
    /// Whether the nodes that the store lists are known.
    is_listed: bool,
    /// What follows for a gate of this node; `None` before the first update.
    seats: Option<Seats>,
}

/// Positions of a gate of this node.
#[derive(Debug, Clone, Copy)]
struct Seats {
    /// That of a node that chooses itself.
    own: Seat,
    /// That of another one.
    other: Seat,
}

impl Members {
    /// Records that this node has links to the nodes that the store lists. Counts from the next update.
    pub fn record_listing(&mut self) {
        self.is_listed = true;
    }

    /// Records the other nodes that the node `own` has a link to, and whether each responds; forgets
    /// nodes that were not heard for a long time.
    pub fn update<'a>(
        &mut self,
        own: &Name,
        known: impl Iterator<Item = (&'a Name, bool)>,
        now: Tick,
    ) {
        let mut live = 0;
        let mut silent = BTreeSet::new();
        for (name, is_live) in known {
            if !is_live {
                silent.insert(name);
                continue;
            }
            live += 1;
            match self.heard.get_mut(name) {
                Some(heard) => *heard = now,
                None => drop(self.heard.insert(name.clone(), now)),
            }
        }
        self.heard.retain(|_, heard| now.since(*heard) < MEMBER_RETENTION);
        let unheard = silent.into_iter().filter(|name| !self.heard.contains_key(*name));
        let (mut count, mut index) = (1, 0);
        for name in self.heard.keys().chain(unheard) {
            count += 1;
            index += usize::from(name < own);
        }
        let separate = Seat::Separate { index, count };
        let is_connected = (live + 1) * 2 > count;
        let seats = match self.is_listed {
            true if is_connected => Seats { own: Seat::Elected, other: separate },
            false if count == 1 => Seats { own: Seat::Unknown, other: Seat::Unknown },
            _ => Seats { own: separate, other: separate },
        };
        self.seats = Some(seats);
    }

    /// Returns the position of a gate of this node; `is_elected` tells whether the node chooses itself.
    pub fn seat(&self, is_elected: bool) -> Seat {
        let Some(seats) = self.seats else { return Seat::Unknown };
        if is_elected { seats.own } else { seats.other }
    }
}
