//! Tests of the data plane: callers, entries, links and holders in one process over loopback.

mod callers;
mod links;
mod path;
mod peer;
mod rig;
mod stop;
