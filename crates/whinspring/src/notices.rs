//! What servers have said of themselves: that they leave, or that they want nothing for a while.
//!
//! Load pattern: servers leave by the dozen, or turn requests away for seconds, while requests wait
//! in queues and on open connections on many nodes, and the store may say nothing of it. [`Notices`]
//! holds all that a node knows of this and is the one place that decides whether a request may go to
//! a server. `docs/design/server-notices.md` tells where the facts come from.

use {
    crate::{name::Name, time::Tick},
    std::{collections::HashMap, net::SocketAddr, time::Duration},
};

/// Longest time for which a server is believed to want nothing.
pub const MAX_PAUSE: Duration = Duration::from_secs(300);

/// Time for which a server gets nothing after a time that cannot be read.
pub const UNREADABLE_PAUSE: Duration = Duration::from_secs(1);

/// After a pause, the requests that may be started double with each step of this length.
const RAMP_STEP: Duration = Duration::from_millis(100);

/// Steps until the number of requests is not limited any more.
const RAMP_STEPS: u32 = 6;

/// Time for which the notices of a server without an entry in the store are kept: entries that
/// expired while the store was down come back.
const RETENTION: Duration = Duration::from_secs(60);

/// Who told that a server leaves or wants nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Source {
    /// The server's entry in the store.
    Store,
    /// The server's response to a request.
    Response,
    /// The server's response to a grant or a release.
    Command,
    /// Another node.
    Peer,
}

impl Source {
    pub const ALL: [Self; 4] = [Self::Store, Self::Response, Self::Command, Self::Peer];

    /// Returns the name for log lines.
    pub const fn text(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Response => "response",
            Self::Command => "command",
            Self::Peer => "peer",
        }
    }
}

/// One run of a server. What one says does not bind another at the same name or address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Life {
    /// Start time in milliseconds since the Unix epoch; zero if unknown.
    pub start_ms: u64,
    pub addr: SocketAddr,
}

/// What a request is about to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// A gate assigns the server to a request without a key of any node.
    Place,
    /// A gate assigns the server to a request of any node whose key the server owns.
    PlaceKeyed,
    /// This node chooses the server for one of its requests.
    Start,
    /// This node writes a request that it has chosen the server for.
    Write,
}

/// Why a request may not go to a server now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The server leaves for good, or its failure domain is evacuated.
    Left,
    /// The server wants nothing from this node for so long.
    Paused(Duration),
    /// The server is tried again after a pause; the next requests may start after so long.
    Ramping(Duration),
}

impl Refusal {
    /// Returns the time after which the server may be used, if it may.
    pub fn wait(self) -> Option<Duration> {
        match self {
            Self::Left => None,
            Self::Paused(wait) | Self::Ramping(wait) => Some(wait),
        }
    }
}

/// Notices of one server.
#[derive(Debug)]
struct Known {
    life: Life,
    /// Earliest time at which the server may have said that it leaves; zero if that was before this
    /// node started or is not known.
    leaving: Option<Tick>,
    /// When the server last had an entry in the store.
    listed: Tick,
}

/// A time in which a server wants nothing from this node, and the gradual return after it.
#[derive(Debug)]
struct Pause {
    until: Tick,
    /// When the first request was started after the pause.
    resumed: Option<Tick>,
    /// Step of the return in which the last request was started.
    step: u32,
    /// Requests started in that step.
    started: u32,
}

impl Pause {
    /// Returns the step of the return; `None` once it is over.
    fn step_at(&self, now: Tick) -> Option<u32> {
        let Some(resumed) = self.resumed else { return Some(0) };
        let step = (now.since(resumed).as_micros() / RAMP_STEP.as_micros()) as u32;
        (step < RAMP_STEPS).then_some(step)
    }

    /// Returns why no request may be started now.
    fn refusal(&self, now: Tick) -> Option<Refusal> {
        if now < self.until {
            return Some(Refusal::Paused(self.until.since(now)));
        }
        let step = self.step_at(now)?;
        let started = if self.step == step { self.started } else { 0 };
        let next = self.resumed.unwrap_or(now) + RAMP_STEP * (step + 1);
        (started >= 1 << step).then(|| Refusal::Ramping(next.since(now)))
    }
}

/// A notice of a run of a server that the store is not yet known to list.
#[derive(Debug)]
struct Early {
    life: Life,
    since: Tick,
    /// When it is forgotten; set with the first eviction.
    until: Option<Tick>,
}

/// All that a node knows of what servers have said of themselves.
#[derive(Debug, Default)]
pub struct Notices {
    servers: HashMap<Name, Known>,
    /// Notices of runs that are not listed yet, the last one for each name.
    early: HashMap<Name, Early>,
    /// Pauses of this node by server; empty most of the time.
    pauses: HashMap<Name, Pause>,
    /// Notices by source since they were last taken.
    counts: HashMap<Source, u64>,
}

impl Notices {
    /// Records that the store lists a run of a server. Notices of another run are forgotten.
    pub fn record_life(&mut self, server: &Name, life: Life, now: Tick) {
        match self.servers.get_mut(server) {
            Some(known) if known.life == life => known.listed = now,
            _ => {
                self.pauses.remove(server);
                let early = self.early.remove(server).filter(|early| early.life == life);
                let leaving = early.map(|early| early.since);
                self.servers.insert(server.clone(), Known { life, leaving, listed: now });
            }
        }
    }

    /// Records that a server leaves. Returns whether the node knows this for the first time, or
    /// counts from an earlier time than before.
    ///
    /// A later notice never prolongs the time that an earlier one has begun, and nothing takes a
    /// notice back: a server that leaves ends, and the next run is another one. A notice of a run
    /// that is not listed is kept for a while in case it is.
    pub fn record_leaving(
        &mut self,
        server: &Name,
        life: Life,
        since: Tick,
        source: Source,
    ) -> bool {
        let known = self.servers.get_mut(server).filter(|known| known.life == life);
        let Some(known) = known else {
            self.keep_early(server, life, since);
            return false;
        };
        if known.leaving.is_some_and(|earlier| earlier <= since) {
            return false;
        }
        known.leaving = Some(since);
        *self.counts.entry(source).or_default() += 1;
        true
    }

    /// Keeps a notice of a run that is not listed, with the earliest time for each run.
    fn keep_early(&mut self, server: &Name, life: Life, since: Tick) {
        let same = self.early.get(server).filter(|early| early.life == life);
        let since = same.map_or(since, |early| early.since.min(since));
        self.early.insert(server.clone(), Early { life, since, until: None });
    }

    /// Records that a server wants nothing from this node for some time. Returns whether this
    /// prolongs what it said before; a shorter time does not shorten it.
    pub fn record_pause(
        &mut self,
        server: &Name,
        life: Life,
        now: Tick,
        wait: Duration,
        source: Source,
    ) -> bool {
        let is_current = self.servers.get(server).is_some_and(|known| known.life == life);
        let until = now + wait;
        let known = self.pauses.get(server).map(|pause| pause.until);
        if !is_current || wait.is_zero() || known.is_some_and(|known| known >= until) {
            return false;
        }
        self.pauses.insert(server.clone(), Pause { until, resumed: None, step: 0, started: 0 });
        *self.counts.entry(source).or_default() += 1;
        true
    }

    /// Records that a request was started, which counts while a server returns from a pause.
    pub fn record_start(&mut self, server: &Name, now: Tick) {
        let Some(pause) = self.pauses.get_mut(server) else { return };
        let Some(step) = pause.step_at(now) else {
            self.pauses.remove(server);
            return;
        };
        pause.resumed.get_or_insert(now);
        if pause.step != step {
            (pause.step, pause.started) = (step, 0);
        }
        pause.started += 1;
    }

    /// Checks whether a request may go to a server now. A leaving server is used until `drain` after
    /// the earliest notice, and not at all if the age of that is unknown.
    pub fn check(
        &self,
        server: &Name,
        purpose: Purpose,
        now: Tick,
        drain: Duration,
    ) -> Result<(), Refusal> {
        let leaving = self.leaving_since(server);
        let has_left =
            leaving.is_some_and(|since| since == Tick::default() || now >= since + drain);
        if has_left || leaving.is_some() && purpose == Purpose::Place {
            return Err(Refusal::Left);
        }
        let pause = self.pauses.get(server).and_then(|pause| pause.refusal(now));
        match (purpose, pause) {
            (Purpose::Start, Some(refusal)) => Err(refusal),
            (Purpose::Write, Some(refusal @ Refusal::Paused(_))) => Err(refusal),
            _ => Ok(()),
        }
    }

    /// Returns the earliest time at which a server may have said that it leaves; zero if unknown.
    pub fn leaving_since(&self, server: &Name) -> Option<Tick> {
        self.servers.get(server)?.leaving
    }

    /// Returns the servers that leave, with their run and [`Notices::leaving_since`].
    pub fn leaving(&self) -> impl Iterator<Item = (&Name, Life, Tick)> {
        self.servers.iter().filter_map(|(name, known)| Some((name, known.life, known.leaving?)))
    }

    /// Returns the servers that no request of this node may start on now because of a pause, in
    /// order of their names.
    pub fn paused(&self, now: Tick) -> Vec<&Name> {
        let paused = self.pauses.iter().filter(|(_, pause)| pause.refusal(now).is_some());
        let mut names: Vec<&Name> = paused.map(|(name, _)| name).collect();
        names.sort();
        names
    }

    /// Forgets servers that have had no entry in the store for long.
    pub fn evict(&mut self, now: Tick, is_listed: impl Fn(&Name) -> bool) {
        self.servers.retain(|name, known| {
            if is_listed(name) {
                known.listed = now;
            }
            now.since(known.listed) < RETENTION
        });
        self.pauses.retain(|name, _| self.servers.contains_key(name));
        self.early.retain(|_, early| *early.until.get_or_insert(now + RETENTION) > now);
    }

    /// Returns and resets the number of notices by source.
    pub fn take_counts(&mut self) -> HashMap<Source, u64> {
        std::mem::take(&mut self.counts)
    }
}

/// A time in which a server wants nothing, as far as it is believed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wait {
    pub time: Duration,
    /// Whether it is what the server said; otherwise that was unreadable or above [`MAX_PAUSE`].
    pub exact: bool,
}

/// Returns the longest of the times in the values of `Retry-After`, in seconds with fractions;
/// `None` without a value.
pub fn parse_wait<'a>(values: impl Iterator<Item = &'a [u8]>) -> Option<Wait> {
    values.map(parse_seconds).max_by_key(|wait| wait.time)
}

fn parse_seconds(value: &[u8]) -> Wait {
    let seconds = std::str::from_utf8(value).ok().and_then(|text| text.trim().parse::<f64>().ok());
    match seconds.filter(|seconds| seconds.is_finite() && *seconds >= 0.0) {
        None => Wait { time: UNREADABLE_PAUSE, exact: false },
        Some(seconds) if seconds > MAX_PAUSE.as_secs_f64() => {
            Wait { time: MAX_PAUSE, exact: false }
        }
        Some(seconds) => Wait { time: Duration::from_secs_f64(seconds), exact: true },
    }
}
