//! Names of headers and paths that whinspring shares with callers and backend servers.

use http::{
    HeaderMap, HeaderName,
    header::{
        CONNECTION, CONTENT_LENGTH, HOST, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
        TRANSFER_ENCODING, UPGRADE,
    },
};

/// Milliseconds until the caller must have a final answer.
pub const DEADLINE: HeaderName = HeaderName::from_static("whinspring-deadline-ms");
/// The caller's id of the request.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("whinspring-request-id");
/// Number of the sending of a request id.
pub const ATTEMPT: HeaderName = HeaderName::from_static("whinspring-attempt");
/// Whether the request may run twice.
pub const REPEATABLE: HeaderName = HeaderName::from_static("whinspring-repeatable");
/// Number of the result.
pub const CODE: HeaderName = HeaderName::from_static("whinspring-code");
/// Class of the result.
pub const CLASS: HeaderName = HeaderName::from_static("whinspring-class");
/// Milliseconds until the caller may come back.
pub const RETRY_MS: HeaderName = HeaderName::from_static("whinspring-retry-ms");
/// Fencing term of the holder.
pub const TERM: HeaderName = HeaderName::from_static("whinspring-term");
/// Slice of the request's key.
pub const SLICE: HeaderName = HeaderName::from_static("whinspring-slice");
/// Epoch of the slice or key.
pub const EPOCH: HeaderName = HeaderName::from_static("whinspring-epoch");
/// Why the server did not run a request.
pub const NOT_RUN: HeaderName = HeaderName::from_static("whinspring-not-run");
/// W3C trace context.
pub const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");

/// Path of a server's probe.
pub const PROBE_PATH: &str = "/_whinspring/probe";
/// Path of a server's grants.
pub const GRANT_PATH: &str = "/_whinspring/grant";
/// First segment of the paths that a server keeps for its holder.
pub const RESERVED_SEGMENT: &str = "_whinspring";

/// Headers that belong to one connection and are not passed on.
const HOP_BY_HOP: [HeaderName; 11] = [
    CONNECTION,
    CONTENT_LENGTH,
    HOST,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Headers that whinspring itself sets on answers.
const RESULT_HEADERS: [HeaderName; 3] = [CODE, CLASS, RETRY_MS];

/// Headers that whinspring itself sets on requests to servers.
const HOLDER_HEADERS: [HeaderName; 4] = [TERM, SLICE, EPOCH, DEADLINE];

/// Removes what belongs to one connection, named by the standard or by the connection header.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Removes from a request what only a holder may tell a server.
pub fn strip_holder_headers(headers: &mut HeaderMap) {
    for name in &HOLDER_HEADERS {
        headers.remove(name);
    }
}

/// Removes from an answer what only whinspring may tell a caller.
pub fn strip_result_headers(headers: &mut HeaderMap) {
    for name in &RESULT_HEADERS {
        headers.remove(name);
    }
}
