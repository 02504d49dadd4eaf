//! Free ports on loopback.
//!
//! They lie below the range that the system takes for outgoing connections, so that none is taken
//! between the check and the start of the process that gets it.

use {
    super::error::{Error, NoPortSnafu},
    std::{
        net::{Ipv4Addr, SocketAddr, TcpListener},
        sync::Mutex,
    },
};

/// First port tried.
const FIRST: u16 = 10_000;

/// Port after the last one tried.
const END: u16 = 30_000;

/// Ports tried before giving up.
const MAX_ATTEMPTS: u32 = 1_000;

/// Ports given out by this process.
static ALLOCATED: Mutex<Vec<u16>> = Mutex::new(Vec::new());

/// Returns a loopback address that nothing listens on and that was not given out before.
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
