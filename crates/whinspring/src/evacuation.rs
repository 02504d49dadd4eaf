//! Failure domains that an operator evacuates, and whether their servers may get requests.
//!
//! Load pattern: a third of all servers is withdrawn at one moment, while requests wait at gates, are
//! admitted and not yet written, or are repeated, and the other servers are busy. [`Evacuations`] holds
//! what a node knows of the operator's requests. `docs/design/evacuation.md` tells where that comes from.

use {
    crate::{
        name::Name,
        notices::{Purpose, Refusal},
        time::Tick,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Time for which an evacuation is kept that the store has lost with its history: operators write it
/// again within two seconds.
pub const LOST_RETENTION: Duration = Duration::from_millis(2_300);

/// One evacuated domain.
#[derive(Debug)]
struct Evacuated {
    /// Earliest time at which the store may have acknowledged the request; zero if unknown.
    since: Tick,
    /// When the store was found to have lost the request.
    lost: Option<Tick>,
}

/// The evacuated domains, and when others were last evacuated.
#[derive(Debug, Default)]
pub struct Evacuations {
    domains: BTreeMap<Name, Evacuated>,
    /// End of the last evacuation by domain.
    cleared: BTreeMap<Name, Tick>,
}

impl Evacuations {
    /// Records that the store has a request to evacuate a domain. Returns whether the evacuation is
    /// new to the node. A later time never replaces an earlier one.
    pub fn record(&mut self, domain: &Name, since: Tick) -> bool {
        if let Some(known) = self.domains.get_mut(domain) {
            known.since = known.since.min(since);
            known.lost = None;
            return false;
        }
        self.domains.insert(domain.clone(), Evacuated { since, lost: None });
        true
    }

    /// Records that an evacuation may have been acknowledged earlier than known. Does nothing if the
    /// domain is not known to be evacuated.
    pub fn record_age(&mut self, domain: &Name, since: Tick) {
        if let Some(known) = self.domains.get_mut(domain) {
            known.since = known.since.min(since);
        }
    }

    /// Records that the operator has deleted the request. Returns whether the domain was evacuated.
    pub fn record_deleted(&mut self, domain: &Name, now: Tick) -> bool {
        let known = self.domains.remove(domain).is_some();
        if known {
            self.cleared.insert(domain.clone(), now);
        }
        known
    }

    /// Records that the store has come back from an older copy without the request.
    pub fn record_lost(&mut self, domain: &Name, now: Tick) {
        if let Some(known) = self.domains.get_mut(domain) {
            known.lost.get_or_insert(now);
        }
    }

    /// Ends the evacuations that the store has lost and nobody has requested again; returns their
    /// domains.
    pub fn sweep(&mut self, now: Tick) -> Vec<Name> {
        let is_over = |known: &Evacuated| known.lost.is_some_and(|at| now >= at + LOST_RETENTION);
        let over = self.domains.iter().filter(|(_, known)| is_over(known));
        let names: Vec<Name> = over.map(|(name, _)| name.clone()).collect();
        for name in &names {
            self.record_deleted(name, now);
        }
        names
    }

    /// Checks whether a request may go to a server of a domain. A server that owns keys (`keyed`) is
    /// used until `usable` after the acknowledgement, and not at all if the age of that is unknown.
    /// Others get no new request; one that was started before may still be written until then.
    pub fn check(
        &self,
        domain: &Name,
        keyed: bool,
        purpose: Purpose,
        now: Tick,
        usable: Duration,
    ) -> Result<(), Refusal> {
        let Some(known) = self.domains.get(domain) else { return Ok(()) };
        let is_over = known.since == Tick::default() || now >= known.since + usable;
        let is_new = match purpose {
            Purpose::Place => true,
            Purpose::Start => !keyed,
            Purpose::PlaceKeyed | Purpose::Write => false,
        };
        if is_over || is_new { Err(Refusal::Left) } else { Ok(()) }
    }

    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.domains.contains_key(domain)
    }

    /// Returns whether no domain is evacuated.
    pub fn is_empty(&self) -> bool {
        self.domains.is_empty()
    }

    /// Returns the evacuated domains, with the earliest time at which the store may have acknowledged
    /// the request; zero if unknown.
    pub fn domains(&self) -> impl Iterator<Item = (&Name, Tick)> {
        self.domains.iter().map(|(name, known)| (name, known.since))
    }

    /// Returns when the last evacuation of a domain ended, unless it is evacuated now.
    pub fn cleared_since(&self, domain: &str) -> Option<Tick> {
        self.cleared.get(domain).copied().filter(|_| !self.is_evacuated(domain))
    }
}
