//! Tests of the data plane: links, entries, holders and callers in one process over loopback.

mod callers;
mod links;
mod path;
mod peer;
mod rig;
mod stop;
