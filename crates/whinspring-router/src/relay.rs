//! Relays: a node that reaches no server sends its requests by way of another node that does.
//!
//! The entry node keeps everything but the connection to the server: route, key, gate, deadline and
//! retries. It sends each request over HTTP to a listener that every node has for this ([`server`]),
//! with the instance of the server that is to run it. The relay sends it once, over its own
//! connections and under what it knows of the server itself, and streams the response back as it is.
//! Without a response it says in a header whether the request may have run ([`Fault`]). A relay never
//! uses another relay.

pub use self::{fault::Fault, reader::Reader};

pub mod client;
mod fault;
mod reader;
pub mod server;
