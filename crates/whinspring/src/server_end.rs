//! What proves that a server no longer holds its keys, so that they may be granted to another one.
//!
//! A server holds its keys until its leases expire, whether or not a node reaches it. A refused
//! connection speaks of a path, not of a process: a partition refuses connections and resets open ones
//! just as a crash does. One of a single server looks the same from every node, those in its failure
//! domain included, while the other servers of the domain respond; neither the number of refusals nor
//! their duration tells it from a crash, and the server holds its keys when the path is back. Only what
//! the server says itself, or the process that took its place, is proof; without it the keys wait for
//! the end of the leases.
//!
//! Load pattern: some servers refuse the connections of all nodes for a second or two, while callers go
//! on sending requests for their keys.

/// What proves that a former owner holds keys no longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndProof {
    /// It has started again under its name and may be granted the keys anew.
    Restarted,
    /// Another server responds at its address, which no two servers have at a time.
    Replaced,
    /// All leases that it may hold have expired.
    Expired,
}

impl EndProof {
    /// Returns a short name for log lines.
    pub fn text(self) -> &'static str {
        match self {
            Self::Restarted => "restarted",
            Self::Replaced => "replaced",
            Self::Expired => "expired",
        }
    }
}
