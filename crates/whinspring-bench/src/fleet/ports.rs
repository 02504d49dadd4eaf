//! Allocation of free loopback ports.
//!
//! The ports lie below the ephemeral range of the system, so that no outgoing connection takes one
//! between the check and the start of the process that listens on it.

use {
    super::error::{Error, NoPortSnafu},
    std::{
        net::{Ipv4Addr, SocketAddr, TcpListener},
        sync::Mutex,
    },
};

/// Lowest port of the range.
const FIRST: u16 = 10_000;

/// End of the range, exclusive.
const END: u16 = 30_000;

const MAX_ATTEMPTS: u32 = 1_000;

/// Ports already returned by this process.
static ALLOCATED: Mutex<Vec<u16>> = Mutex::new(Vec::new());

/// Returns a loopback address that has no listener and was not returned before.
pub fn free_addr() -> Result<SocketAddr, Error> {
    for _ in 0..MAX_ATTEMPTS {
        let port = rand::random_range(FIRST..END);
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let mut allocated = ALLOCATED.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if !allocated.contains(&port) && TcpListener::bind(addr).is_ok() {
            allocated.push(port);
            return Ok(addr);
        }
    }
    NoPortSnafu.fail()
}
