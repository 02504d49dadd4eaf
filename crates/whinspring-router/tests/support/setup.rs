//! Settings and headers shared by tests of a node.

use {
    http::HeaderName,
    std::net::SocketAddr,
    whinspring_router::{
        platform::Headers,
        settings::{Limits, Settings},
    },
};

/// Returns settings of a node whose addresses are unused.
pub fn settings(name: &str, limits: Limits) -> Settings {
    let any = SocketAddr::from(([127, 0, 0, 1], 1));
    Settings {
        name: name.into(),
        domain: "a".into(),
        caller: any,
        ready: any,
        peer: any,
        advertised: any,
        relay: any,
        advertised_relay: any,
        metrics: any,
        store: any,
        limits,
    }
}

pub fn headers() -> Headers {
    Headers {
        id: HeaderName::from_static("x-id"),
        deadline: HeaderName::from_static("x-deadline"),
        target: HeaderName::from_static("x-target"),
        seal: HeaderName::from_static("x-seal"),
        not_run: HeaderName::from_static("x-not-run"),
        key: HeaderName::from_static("x-key"),
        leaving: HeaderName::from_static("x-leaving"),
        limit: HeaderName::from_static("x-limit"),
        load: HeaderName::from_static("x-load"),
        cold: HeaderName::from_static("x-cold"),
    }
}
