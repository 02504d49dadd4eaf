//! Tests of the routing view, the entry's decisions and the sketch of hot keys.

mod entry;
mod records;
mod sketch;
mod view;
