//! Fencing terms and grants.

use {super::request::WorkRequest, serde::Deserialize, std::collections::HashMap};

/// Body of a grant: the whole set of slices and keys that the server owns.
#[derive(Debug, Deserialize)]
pub(super) struct Grant {
    term: u64,
    slices: Vec<(u32, u64)>,
    keys: Vec<(String, u64)>,
}

/// What the server accepts.
#[derive(Debug, Default)]
pub(super) struct Fence {
    highest: u64,
    granted: u64,
    slices: HashMap<u32, u64>,
    keys: HashMap<String, u64>,
}

impl Fence {
    /// Returns the term of the last grant accepted; zero if none.
    pub(super) fn granted(&self) -> u64 {
        self.granted
    }

    /// Returns whether a server that checks fences accepts `grant`.
    pub(super) fn accepts(&self, grant: &Grant) -> bool {
        grant.term >= self.highest
    }

    /// Replaces what is granted.
    pub(super) fn apply(&mut self, grant: Grant) {
        self.highest = self.highest.max(grant.term);
        self.granted = grant.term;
        self.slices = grant.slices.into_iter().collect();
        self.keys = grant.keys.into_iter().collect();
    }

    /// Takes note of the term of a work request.
    pub(super) fn observe_term(&mut self, request: &WorkRequest) {
        self.highest = self.highest.max(request.term.unwrap_or_default());
    }

    /// Returns whether a work request is within its term and its grant.
    pub(super) fn permits(&self, request: &WorkRequest) -> bool {
        if request.term.unwrap_or_default() < self.highest {
            return false;
        }
        let Some(slice) = request.slice else {
            return true;
        };
        let epoch = request.epoch.unwrap_or_default();
        let by_key = || self.keys.iter().any(|(key, at)| *at == epoch && request.names_key(key));
        self.slices.get(&slice) == Some(&epoch) || by_key()
    }
}
