//! Check of requests and grants against fencing terms and the current grant.

use {super::request::WorkRequest, serde::Deserialize, std::collections::HashMap};

/// Request body of a grant: all slices and keys that the server owns, with their epochs.
#[derive(Debug, Deserialize)]
pub(super) struct Grant {
    term: u64,
    slices: Vec<(u32, u64)>,
    keys: Vec<(String, u64)>,
}

/// Highest fencing term seen and the current grant.
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

    /// Returns whether the term of `grant` is not lower than the highest one seen.
    pub(super) fn accepts(&self, grant: &Grant) -> bool {
        grant.term >= self.highest
    }

    /// Replaces the current grant.
    pub(super) fn apply(&mut self, grant: Grant) {
        self.highest = self.highest.max(grant.term);
        self.granted = grant.term;
        self.slices = grant.slices.into_iter().collect();
        self.keys = grant.keys.into_iter().collect();
    }

    /// Raises the highest term seen to that of a request.
    pub(super) fn observe_term(&mut self, request: &WorkRequest) {
        self.highest = self.highest.max(request.term.unwrap_or_default());
    }

    /// Returns whether the term of a request is current and the grant covers its slice or key at
    /// its epoch.
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
