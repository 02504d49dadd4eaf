//! Code generated from `proto/` by `cargo run -p whinspring-wire --example generate`.
#![allow(missing_docs, clippy::all)]

pub mod record {
    include!("generated/whinspring.record.rs");
}

pub mod control {
    include!("generated/whinspring.control.rs");
}

pub mod link {
    include!("generated/whinspring.link.rs");
}
