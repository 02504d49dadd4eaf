//! Tests of the holder of one server.

mod crashes;
mod fake;
mod random;
mod sessions;
mod world;
