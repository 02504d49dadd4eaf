//! Client of the platform's object API.
//!
//! Each method of [`Platform`] makes one HTTP request with a timeout, without retries. A write
//! whose response is lost is reported as [`WriteOutcome::Unknown`]; the writer then reads the mark
//! of the record to find out whether the write was applied.
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
    record::{InvalidRecord, RecordListing},
};
