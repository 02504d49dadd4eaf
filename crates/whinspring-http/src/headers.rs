//! Names of the HTTP headers and paths of the protocol with callers and backend servers.

use http::{
    HeaderMap, HeaderName,
    header::{
        CONNECTION, CONTENT_LENGTH, HOST, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
        TRANSFER_ENCODING, UPGRADE,
    },
};

/// Time until the deadline of the request, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("whinspring-deadline-ms");
/// Request id chosen by the caller.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("whinspring-request-id");
/// Number of the attempt with a request id.
pub const ATTEMPT: HeaderName = HeaderName::from_static("whinspring-attempt");
/// Whether the request may run more than once.
pub const REPEATABLE: HeaderName = HeaderName::from_static("whinspring-repeatable");
/// Result code.
pub const CODE: HeaderName = HeaderName::from_static("whinspring-code");
/// Class of the result code.
pub const CLASS: HeaderName = HeaderName::from_static("whinspring-class");
/// Time after which the caller may retry, in milliseconds.
pub const RETRY_MS: HeaderName = HeaderName::from_static("whinspring-retry-ms");
/// Fencing term of the holder.
pub const TERM: HeaderName = HeaderName::from_static("whinspring-term");
/// Slice of the request's key.
pub const SLICE: HeaderName = HeaderName::from_static("whinspring-slice");
/// Epoch of the slice's or key's assignment.
pub const EPOCH: HeaderName = HeaderName::from_static("whinspring-epoch");
/// When the server started that is to run a request, in milliseconds since the Unix epoch.
pub const SERVER_START: HeaderName = HeaderName::from_static("whinspring-server-start-ms");
/// Why a node that was to relay a request has no response of the server.
pub const RELAY_FAULT: HeaderName = HeaderName::from_static("whinspring-relay-fault");
/// Reason why the server did not run a request.
pub const NOT_RUN: HeaderName = HeaderName::from_static("whinspring-not-run");
/// W3C trace context.
pub const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");

/// Path of a server's health probe.
pub const PROBE_PATH: &str = "/_whinspring/probe";
/// Path to which a server's grants are sent.
pub const GRANT_PATH: &str = "/_whinspring/grant";
/// First path segment that is reserved for requests of the holder to a server.
pub const RESERVED_SEGMENT: &str = "_whinspring";

/// Headers that apply to one connection or to the framing of one message and are not forwarded.
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

/// Response headers that only whinspring sets.
const RESULT_HEADERS: [HeaderName; 3] = [CODE, CLASS, RETRY_MS];

/// Request headers that only the holder of a server sets.
const HOLDER_HEADERS: [HeaderName; 4] = [TERM, SLICE, EPOCH, DEADLINE];

/// Removes the hop-by-hop headers: the standard ones and those named by the `Connection` header.
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

/// Removes the headers of a request that only a holder may set.
pub fn strip_holder_headers(headers: &mut HeaderMap) {
    for name in &HOLDER_HEADERS {
        headers.remove(name);
    }
}

/// Removes the headers of a response that only whinspring may set.
pub fn strip_result_headers(headers: &mut HeaderMap) {
    for name in &RESULT_HEADERS {
        headers.remove(name);
    }
}
