//! What a node knows of its own network paths to the backend servers.
//!
//! A node may lose its paths to all servers while callers, the store and the other nodes still reach
//! it. A failed connection alone does not tell this from the loss of a server. Failures at several
//! servers with no success between them make the node suspect its own paths. It then probes a few
//! servers, drawn at random from several failure domains, by opening a connection to each. If one
//! opens, the suspicion ends. If none does, the node is cut off from the servers since the first
//! failure, and probes again until most of the probed servers can be reached.
//!
//! Load pattern: callers keep sending as before, and each of their requests that is sent to a server
//! in vain takes one of its slots and the time until a timeout.

use {
    crate::{name::Name, time::Tick},
    rand::{SeedableRng, seq::SliceRandom},
    rand_chacha::ChaCha8Rng,
    std::{
        collections::{HashMap, HashSet},
        time::Duration,
    },
};

/// Time between the starts of two rounds of probes while the node is cut off.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Longest time to open a connection for a probe.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Duration of a round from which the process must have been frozen, so that the round tells nothing.
const MAX_ROUND: Duration = Duration::from_millis(600);

/// Servers that are probed in one round.
const MAX_PROBES: usize = 5;

/// Number of different servers whose failures cause a suspicion.
const MIN_FAILED: usize = 3;

/// A server that can be probed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target<'a> {
    pub name: &'a Name,
    /// Its failure domain.
    pub domain: &'a Name,
}

/// What a change of the paths was concluded from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evidence {
    /// Number of servers probed in the last round, and of those that were reached.
    pub tried: usize,
    pub reached: usize,
    /// Number of failures since the last success.
    pub failures: u32,
    /// When a connection was last opened or a response last read, if ever.
    pub last_success: Option<Tick>,
    /// When the first of the failures occurred.
    pub since: Tick,
}

/// A change of the paths to the servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// No server can be reached any more.
    Lost(Evidence),
    /// Servers can be reached again.
    Regained(Evidence),
}

/// Failures of one kind since the last success of that kind.
#[derive(Debug, Default)]
struct Series {
    servers: HashSet<Name>,
    failures: u32,
    /// When the first failure occurred.
    first: Option<Tick>,
    last_success: Option<Tick>,
}

impl Series {
    fn record_failure(&mut self, server: &Name, now: Tick) {
        self.servers.insert(server.clone());
        self.failures += 1;
        self.first.get_or_insert(now);
    }

    fn record_success(&mut self, now: Tick) {
        self.clear();
        self.last_success = Some(now);
    }

    fn clear(&mut self) {
        self.servers.clear();
        self.failures = 0;
        self.first = None;
    }
}

/// A node's knowledge of its paths to the servers.
#[derive(Debug)]
pub struct Reach {
    rng: ChaCha8Rng,
    /// Number of servers that the node knows.
    known: usize,
    /// Opened connections.
    opens: Series,
    /// Requests on open connections.
    responses: Series,
    /// Since when the node is cut off.
    cut: Option<Tick>,
    /// Start of the last round of probes.
    probed: Option<Tick>,
    /// Whether that round is in progress.
    probing: bool,
}

impl Reach {
    /// Creates the knowledge of a node that has reached no server yet.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            known: 0,
            opens: Series::default(),
            responses: Series::default(),
            cut: None,
            probed: None,
            probing: false,
        }
    }

    /// Sets the number of servers that the node knows.
    pub fn set_known(&mut self, servers: usize) {
        self.known = servers;
    }

    /// Records whether a connection to a server could be opened.
    pub fn record_open(&mut self, server: &Name, opened: bool, now: Tick) {
        match opened {
            true => self.opens.record_success(now),
            false => self.opens.record_failure(server, now),
        }
    }

    /// Records that the head of a response was read.
    pub fn record_response(&mut self, now: Tick) {
        self.responses.record_success(now);
    }

    /// Records that a request on an open connection got no response.
    pub fn record_no_response(&mut self, server: &Name, now: Tick) {
        self.responses.record_failure(server, now);
    }

    /// Returns since when the node is cut off from all servers.
    pub fn is_cut_off(&self) -> Option<Tick> {
        self.cut
    }

    /// Returns whether the node may be cut off, but has not confirmed it yet.
    pub fn is_suspect(&self) -> bool {
        let failed = self.opens.servers.len().max(self.responses.servers.len());
        self.cut.is_none() && failed >= self.min_failed()
    }

    /// Returns whether a failure may be the node's own: it is cut off, or may be.
    pub fn is_in_doubt(&self) -> bool {
        self.cut.is_some() || self.is_suspect()
    }

    /// Returns the number of different servers whose failures cause a suspicion.
    fn min_failed(&self) -> usize {
        if self.known < 2 * MIN_FAILED { self.known.div_ceil(2).max(1) } else { MIN_FAILED }
    }

    /// Returns whether a round of probes is due.
    pub fn is_probe_due(&self, now: Tick) -> bool {
        let is_recent = self.probed.is_some_and(|at| now.since(at) < PROBE_INTERVAL);
        !self.probing && !is_recent && self.is_in_doubt()
    }

    /// Starts a round of probes. Returns the servers to probe, of as many failure domains as
    /// possible.
    pub fn start_round(&mut self, targets: &[Target<'_>], now: Tick) -> Vec<Name> {
        self.probing = true;
        self.probed = Some(now);
        self.draw(targets)
    }

    /// Draws servers to probe at random, of as many failure domains as possible.
    pub fn draw(&mut self, targets: &[Target<'_>]) -> Vec<Name> {
        let mut order: Vec<&Target<'_>> = targets.iter().collect();
        order.sort_unstable_by_key(|target| target.name);
        order.shuffle(&mut self.rng);
        let mut drawn: HashMap<&Name, usize> = HashMap::new();
        order.sort_by_cached_key(|target| {
            let count = drawn.entry(target.domain).or_default();
            *count += 1;
            *count
        });
        order.into_iter().take(MAX_PROBES).map(|target| target.name.clone()).collect()
    }

    /// Ends a round in which `tried` servers were probed and `reached` of them took a connection.
    /// Returns whether the paths have changed.
    pub fn end_round(&mut self, tried: usize, reached: usize, now: Tick) -> Option<Change> {
        self.probing = false;
        let start = self.probed.unwrap_or(now);
        if tried == 0 || now.since(start) > MAX_ROUND {
            return None;
        }
        let opened_since = self.opens.last_success.is_some_and(|at| at >= start);
        let evidence = self.evidence(tried, reached, start);
        match self.cut {
            Some(_) if 2 * reached > tried => {
                self.cut = None;
                self.clear_failures(now);
                Some(Change::Regained(evidence))
            }
            None if reached > 0 || opened_since => {
                self.clear_failures(now);
                None
            }
            None if self.is_suspect() => {
                self.cut = Some(evidence.since);
                Some(Change::Lost(evidence))
            }
            _ => None,
        }
    }

    fn evidence(&self, tried: usize, reached: usize, start: Tick) -> Evidence {
        let first = self.opens.first.into_iter().chain(self.responses.first).min();
        Evidence {
            tried,
            reached,
            failures: self.opens.failures + self.responses.failures,
            last_success: self.opens.last_success.max(self.responses.last_success),
            since: self.cut.or(first).unwrap_or(start),
        }
    }

    /// Forgets all failures after a connection was opened.
    fn clear_failures(&mut self, now: Tick) {
        self.opens.record_success(now);
        self.responses.clear();
    }
}
