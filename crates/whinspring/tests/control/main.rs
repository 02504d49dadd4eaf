//! Sessions of the control machines around a small fake.

mod fake;
mod load;
mod restored;
mod scaling;
mod seeds;
mod sessions;
