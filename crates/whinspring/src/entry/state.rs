//! What all requests of an entry share: the retry budget and the knowledge of servers' load.

use {
    crate::{
        name::{Name, ServerId},
        time::Tick,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Retries allowed for each first try, in thousandths.
const RETRY_SHARE: u32 = 100;
/// Retries that can be saved up, in thousandths.
const RETRY_CAP: u32 = 50_000;
/// What one retry costs, in thousandths.
const RETRY_COST: u32 = 1_000;
/// Age at which knowledge of a server's load is of no use.
const MAX_LOAD_AGE: Duration = Duration::from_millis(2_000);

/// Time for which a doubt is remembered.
const SUSPECT_TTL: Duration = Duration::from_secs(10);
/// Doubts remembered at most.
const MAX_SUSPECTS: usize = 1_024;

/// What all requests of an entry share.
#[derive(Debug, Default)]
pub struct EntryState {
    /// Retries that may still be made.
    pub retries: Retries,
    /// What is known of the servers' load.
    pub outstanding: Outstanding,
    /// Requests that servers were lost with.
    pub suspects: RecentSuspects,
}

/// Fingerprints of requests that servers were lost with lately.
///
/// It bridges the time until the holders' suspicion has spread: a caller that sends such a request
/// again through this entry has it run alone.
#[derive(Debug, Default)]
pub struct RecentSuspects {
    fingerprints: BTreeMap<u64, Tick>,
}

impl RecentSuspects {
    /// Notes that a server was lost with the request.
    pub fn record(&mut self, now: Tick, fingerprint: u64) {
        if self.fingerprints.len() >= MAX_SUSPECTS {
            self.fingerprints.retain(|_, at| now.since(*at) < SUSPECT_TTL);
        }
        if self.fingerprints.len() < MAX_SUSPECTS {
            self.fingerprints.insert(fingerprint, now);
        }
    }

    /// Returns whether a server was lost with the request lately.
    pub fn contains(&self, now: Tick, fingerprint: u64) -> bool {
        self.fingerprints.get(&fingerprint).is_some_and(|at| now.since(*at) < SUSPECT_TTL)
    }
}

/// A token bucket that limits retries to a share of first tries.
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
    /// Adds what one first try earns.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + RETRY_SHARE).min(RETRY_CAP);
    }

    /// Takes one retry; returns whether there was one.
    pub fn spend(&mut self) -> bool {
        let Some(rest) = self.tokens.checked_sub(RETRY_COST) else { return false };
        self.tokens = rest;
        true
    }
}

/// Load of unkeyed services' servers, as their holders told and as sent from here since.
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
    /// Takes in what the server's holder said: requests that run there and that wait.
    pub fn update(&mut self, now: Tick, service: &Name, server: ServerId, busy: u32, queued: u32) {
        let known = self.load_mut(service, server);
        *known = ServerLoad { load: busy.saturating_add(queued), sent: 0, at: now };
    }

    /// Notes that a request is being forwarded to the server.
    pub fn record_sent(&mut self, service: &Name, server: ServerId) {
        self.load_mut(service, server).sent += 1;
    }

    /// Returns the number of requests that the server is believed to have.
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
