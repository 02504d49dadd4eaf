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
const TRIES: u32 = 1_000;

/// Ports given out by this process.
static GIVEN: Mutex<Vec<u16>> = Mutex::new(Vec::new());

/// Returns a loopback address that nothing listens on and that was not given out before.
pub fn free_addr() -> Result<SocketAddr, Error> {
    for _ in 0..TRIES {
        let port = rand::random_range(FIRST..END);
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let mut given = GIVEN.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if !given.contains(&port) && TcpListener::bind(addr).is_ok() {
            given.push(port);
            return Ok(addr);
        }
    }
    NoPortSnafu.fail()
}
