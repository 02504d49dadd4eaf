//! Tests of the decisions for one held server.

mod crashes;
mod fake;
mod random;
mod sessions;
mod world;
