//! Decisions and shared types of whinspring, a router for servers that own keys exclusively.
//!
//! Everything here is pure: events and the current time go in, actions come out. No module opens
//! a socket, reads a clock or starts a task, so that a seed replays a run exactly. The daemon
//! feeds these state machines and carries out their actions.

pub mod code;
pub mod control;
pub mod declaration;
pub mod entry;
pub mod gate;
pub mod history;
pub mod holder;
pub mod ini;
pub mod lease;
pub mod message;
pub mod model;
pub mod name;
pub mod placement;
pub mod plan;
pub mod planner;
pub mod ranges;
pub mod record;
pub mod rendezvous;
pub mod replica;
pub mod request;
pub mod routes;
pub mod settings;
pub mod sketch;
pub mod time;
pub mod view;
