//! Client of the platform's object API.
//!
//! [`Platform`] makes one HTTP call per method and gives each a timeout. It decides nothing: a
//! write whose reply is lost is reported as [`WriteOutcome::Unknown`], and the writer settles it by
//! reading the record's mark back.
//!
//! [`WriteOutcome::Unknown`]: whinspring::control::WriteOutcome::Unknown

mod client;
mod error;
mod json;
mod object;
mod record;

pub use {
    client::{CALL_TIMEOUT, Platform, WATCH_SLACK},
    error::Error,
    json::{Vm, VmState},
    object::{Listing, Object},
    record::{Fault, Reading},
};
