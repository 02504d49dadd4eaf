//! Simulations of several control state machines with a fake platform and network.

mod fake;
mod load;
mod restored;
mod scaling;
mod seeds;
mod sessions;
