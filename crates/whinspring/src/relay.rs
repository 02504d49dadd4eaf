//! Which node sends the requests of a node that reaches no server.
//!
//! Load pattern: some nodes, at worst most of a failure domain or of the cluster, lose their paths to
//! all servers for seconds, while callers go on using them. Their requests are spread over the nodes
//! that still reach servers. The requests for one server go by way of one node, so that few new
//! connections are opened.

use crate::{name::Name, rendezvous::rank};

/// A node that can relay requests.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    pub name: &'a Name,
    /// Its failure domain.
    pub domain: &'a str,
}

/// The node whose requests are to be relayed.
#[derive(Debug, Clone, Copy)]
pub struct Origin<'a> {
    /// Its failure domain.
    pub domain: &'a str,
    /// Nodes of the failure domain that relay nothing, itself included.
    pub unable: usize,
}

/// Chooses the relay for requests to a server. One of the origin's failure domain is preferred, unless
/// more nodes there need a relay than can be one.
pub fn choose<'a>(
    server: &str,
    origin: Origin<'_>,
    candidates: &[Candidate<'a>],
) -> Option<&'a Name> {
    let is_near = |candidate: &&Candidate<'a>| candidate.domain == origin.domain;
    let use_near = candidates.iter().filter(is_near).count() >= origin.unable.max(1);
    let usable = candidates.iter().filter(|candidate| !use_near || is_near(candidate));
    usable.map(|candidate| candidate.name).max_by_key(|name| rank(&[name, server], 0))
}
