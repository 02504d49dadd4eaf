//! State shared by all requests of an entry: retry budget, server load and recent suspects.

use {
    crate::{
        name::{Name, ServerId},
        time::Tick,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Retries earned by each first attempt, in thousandths.
const RETRY_SHARE: u32 = 100;
/// Limit of the accumulated retries, in thousandths.
const RETRY_CAP: u32 = 50_000;
/// Cost of one retry, in thousandths.
const RETRY_COST: u32 = 1_000;
/// Age from which a server's reported load is ignored.
const MAX_LOAD_AGE: Duration = Duration::from_millis(2_000);

const SUSPECT_TTL: Duration = Duration::from_secs(10);
const MAX_SUSPECTS: usize = 1_024;

#[derive(Debug, Default)]
pub struct EntryState {
    /// The retry budget.
    pub retries: Retries,
    /// Load of the servers of unkeyed services.
    pub outstanding: Outstanding,
    /// Requests that recently ran on a server when it was lost.
    pub suspects: RecentSuspects,
}

/// Fingerprints of requests that recently ran on a server when it was lost.
///
/// They bridge the time until the suspects of the holders have spread: a caller that retries such a
/// request through this entry has it run alone.
#[derive(Debug, Default)]
pub struct RecentSuspects {
    fingerprints: BTreeMap<u64, Tick>,
}

impl RecentSuspects {
    /// Records that a server was lost while it ran the request.
    pub fn record(&mut self, now: Tick, fingerprint: u64) {
        if self.fingerprints.len() >= MAX_SUSPECTS {
            self.fingerprints.retain(|_, at| now.since(*at) < SUSPECT_TTL);
        }
        if self.fingerprints.len() < MAX_SUSPECTS {
            self.fingerprints.insert(fingerprint, now);
        }
    }

    /// Returns whether a server was lost while it ran the request, within `SUSPECT_TTL`.
    pub fn contains(&self, now: Tick, fingerprint: u64) -> bool {
        self.fingerprints.get(&fingerprint).is_some_and(|at| now.since(*at) < SUSPECT_TTL)
    }
}

/// A token bucket that limits retries to a fraction of first attempts.
#[derive(Debug)]
pub struct Retries {
    tokens: u32,
}

impl Default for Retries {
    fn default() -> Self {
        Self { tokens: RETRY_CAP }
    }
}

impl Retries {
    /// Adds the tokens that one first attempt earns.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + RETRY_SHARE).min(RETRY_CAP);
    }

    /// Takes the tokens of one retry; returns whether there were enough.
    pub fn spend(&mut self) -> bool {
        let Some(rest) = self.tokens.checked_sub(RETRY_COST) else { return false };
        self.tokens = rest;
        true
    }
}

/// Load of the servers of unkeyed services: as reported by their holders, plus the requests
/// forwarded from here since.
#[derive(Debug, Default)]
pub struct Outstanding {
    known: BTreeMap<Name, BTreeMap<ServerId, ServerLoad>>,
}

#[derive(Debug, Default)]
struct ServerLoad {
    load: u32,
    sent: u32,
    at: Tick,
}

impl Outstanding {
    /// Sets the load reported by the holder: the requests that run and that are queued.
    pub fn update(&mut self, now: Tick, service: &Name, server: ServerId, busy: u32, queued: u32) {
        let known = self.load_mut(service, server);
        *known = ServerLoad { load: busy.saturating_add(queued), sent: 0, at: now };
    }

    /// Records that a request is forwarded to the server.
    pub fn record_sent(&mut self, service: &Name, server: ServerId) {
        self.load_mut(service, server).sent += 1;
    }

    /// Returns the estimated number of requests at the server; zero if it is unknown or outdated.
    pub fn score(&self, now: Tick, service: &Name, server: ServerId) -> u32 {
        let Some(known) = self.known.get(service).and_then(|servers| servers.get(&server)) else {
            return 0;
        };
        let fresh = now.since(known.at) < MAX_LOAD_AGE;
        if fresh { known.load.saturating_add(known.sent) } else { 0 }
    }

    fn load_mut(&mut self, service: &Name, server: ServerId) -> &mut ServerLoad {
        if !self.known.contains_key(service) {
            self.known.insert(service.clone(), BTreeMap::new());
        }
        let servers = self.known.get_mut(service).expect("it was inserted above");
        servers.entry(server).or_default()
    }
}
