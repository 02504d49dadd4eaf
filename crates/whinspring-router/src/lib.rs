//! A node of the router on a platform with a shared object store.
//!
//! Nodes are stateless: the configuration, the servers, the owners of keys and the elected
//! controller are stored in the object store, and messages between nodes are only hints. An adapter
//! implements the traits in [`platform`]. All tasks of a node run on one thread.

pub mod admission;
pub mod buffers;
pub mod catch_up;
pub mod cluster;
pub mod cold;
pub mod control;
pub mod crashes;
pub mod daemon;
pub mod endpoints;
pub mod evacuations;
pub mod follow;
pub mod frame;
pub mod frontend;
pub mod limits;
pub mod logs;
pub mod message;
pub mod meter;
pub mod metrics;
pub mod node;
pub mod notices;
pub mod owners;
pub mod peers;
pub mod platform;
pub mod reach;
pub mod record;
pub mod relay;
pub mod request;
pub mod response;
pub mod retries;
pub mod settings;
pub mod shutdown;
pub mod spread;
