//! What proves that the process of a server has ended, so that its keys may be granted to another one.
//!
//! A server holds its keys until its leases expire, whether or not a node reaches it. A refused
//! connection speaks of a path, not of a process: a partition refuses connections just as a crash
//! does, while the servers behind it serve the callers of their failure domain. All nodes on this side
//! see the same, so that their number alone proves nothing. A refusal counts only while the path into
//! the failure domain of the server is known to be open: a node there is refused as well, or another
//! server there takes connections. Without such evidence the keys wait for the end of the leases.
//!
//! Load pattern: all servers of a failure domain refuse connections at one moment, while callers go on
//! sending requests to them by way of the nodes there.

use std::time::Duration;

/// What the nodes have seen of a server that refuses connections.
#[derive(Debug, Clone, Copy)]
pub struct Observation {
    /// Time since the first refusal.
    pub refusing: Duration,
    /// Time for which the server must have refused connections.
    pub required: Duration,
    /// Whether any node has got a response or a connection from it since the first refusal.
    pub responded: bool,
    /// Whether the node that decides has opened a connection to another server since then.
    pub has_paths: bool,
    /// Live nodes that reach servers, the one that decides included.
    pub nodes: usize,
    /// Those of them whose connections were refused.
    pub refused: usize,
    /// Whether a node in the failure domain of the server is one of these.
    pub refused_inside: bool,
    /// Whether another server of the failure domain has taken a connection since the first refusal.
    pub domain_reached: bool,
}

impl Observation {
    /// Returns what proves that the server has ended, or why nothing does.
    pub fn conclude(&self) -> Result<EndProof, Doubt> {
        if self.refusing < self.required {
            return Err(Doubt::Recent);
        }
        if self.responded {
            return Err(Doubt::Responded);
        }
        if !self.has_paths {
            return Err(Doubt::OwnPaths);
        }
        if self.refused * 3 <= self.nodes * 2 {
            return Err(Doubt::FewNodes);
        }
        match (self.refused_inside, self.domain_reached) {
            (true, _) => Ok(EndProof::RefusedInside),
            (false, true) => Ok(EndProof::DomainReached),
            (false, false) => Err(Doubt::DomainSilent),
        }
    }
}

/// What proves that a server that refuses connections has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndProof {
    /// A node in its failure domain is refused as well.
    RefusedInside,
    /// Another server in its failure domain takes connections.
    DomainReached,
}

impl EndProof {
    /// Returns a short name for log lines.
    pub fn text(self) -> &'static str {
        match self {
            Self::RefusedInside => "refused_inside",
            Self::DomainReached => "domain_reached",
        }
    }
}

/// Why refusals prove nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Doubt {
    /// The server has not refused connections for long enough.
    Recent,
    /// Some node has heard from it meanwhile.
    Responded,
    /// The node that decides may be cut off from all servers.
    OwnPaths,
    /// Not enough of the nodes are refused.
    FewNodes,
    /// Nothing shows that the failure domain of the server is reached.
    DomainSilent,
}
