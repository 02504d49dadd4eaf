//! State machines and shared types of whinspring, a router for servers that own keys exclusively.
//!
//! The crate does no I/O: its state machines take events and the current time as input and return
//! actions. No module opens a socket, reads a clock or spawns a task, so a simulation with a given
//! seed is exactly reproducible. The daemon feeds events to the state machines and executes their
//! actions.

pub mod code;
pub mod cold;
pub mod control;
pub mod declaration;
pub mod detour;
pub mod entry;
pub mod errors;
pub mod evacuation;
pub mod gate;
pub mod history;
pub mod holder;
pub mod ini;
pub mod lease;
pub mod limits;
pub mod message;
pub mod model;
pub mod name;
pub mod notices;
pub mod placement;
pub mod plan;
pub mod planner;
pub mod ranges;
pub mod reach;
pub mod record;
pub mod relay;
pub mod rendezvous;
pub mod replica;
pub mod request;
pub mod routes;
pub mod server_end;
pub mod settings;
pub mod sketch;
pub mod time;
pub mod view;
