//! Sessions of the control machines around a small fake.

#[path = "control/fake.rs"]
mod fake;
#[path = "control/load.rs"]
mod load;
#[path = "control/scaling.rs"]
mod scaling;
#[path = "control/seeds.rs"]
mod seeds;
#[path = "control/sessions.rs"]
mod sessions;
