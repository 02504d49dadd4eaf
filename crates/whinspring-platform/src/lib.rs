//! Client of the platform's object API.
//!
//! Each method of [`Platform`] makes one HTTP request with a timeout, without retries. A write
//! whose response is lost is reported as [`Stored::Unknown`]; the writer then reads the mark of
//! the record to find out whether the write was applied.
//!
//! [`Stored::Unknown`]: whinspring::control::Stored::Unknown

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
