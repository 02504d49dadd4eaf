//! Simulations of several control state machines with a fake platform and network.

mod fake;
mod load;
mod planner;
mod restored;
mod seeds;
mod sessions;
