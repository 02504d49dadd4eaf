//! Tests of the routing view, the routing decisions and the sketch of hot keys.

mod entry;
mod records;
mod sketch;
mod view;
