//! Head of a request to be run.

use {
    hyper::{HeaderMap, http::request::Parts},
    std::time::Duration,
    tokio::time::Instant,
};

/// Head of a request to be run, with the routing headers parsed.
#[derive(Debug)]
pub(super) struct WorkRequest {
    pub(super) method: String,
    /// Path with query.
    pub(super) path: String,
    /// Fencing term of the holder.
    pub(super) term: Option<u64>,
    /// Slice of the key.
    pub(super) slice: Option<u32>,
    /// Epoch of the slice or key.
    pub(super) epoch: Option<u64>,
    /// Request id; empty if the request has none.
    pub(super) id: String,
    /// Value of the key header; empty if the request has none.
    pub(super) key: String,
    /// Time by which the caller needs the response.
    pub(super) deadline: Option<Instant>,
    /// Length of the body, if the request states it.
    pub(super) len: Option<u64>,
}

impl WorkRequest {
    /// Parses the head of a request; `key_header` is the name of the header with the key.
    pub(super) fn new(head: &Parts, key_header: &str) -> Self {
        let headers = &head.headers;
        let path = head.uri.path_and_query().map(|path| path.as_str());
        let remaining = header_number(headers, "whinspring-deadline-ms");
        Self {
            method: head.method.to_string(),
            path: path.unwrap_or_default().into(),
            term: header_number(headers, "whinspring-term"),
            slice: header_number(headers, "whinspring-slice")
                .and_then(|slice| slice.try_into().ok()),
            epoch: header_number(headers, "whinspring-epoch"),
            id: header_text(headers, "whinspring-request-id").into(),
            key: header_text(headers, key_header).into(),
            deadline: remaining.map(|ms| Instant::now() + Duration::from_millis(ms)),
            len: header_number(headers, "content-length"),
        }
    }

    /// Returns the number of bytes that the query requests, if any.
    pub(super) fn requested_bytes(&self) -> Option<u64> {
        let (_, query) = self.path.split_once('?')?;
        query.split('&').find_map(|pair| pair.strip_prefix("bytes=")?.parse().ok())
    }

    pub(super) fn is_expired(&self) -> bool {
        self.deadline.is_some_and(|deadline| Instant::now() >= deadline)
    }

    /// Returns whether the key header or a segment of the path equals `key`.
    pub(super) fn names_key(&self, key: &str) -> bool {
        let path = self.path.split('?').next().unwrap_or_default();
        self.key == key || path.split('/').any(|part| part == key)
    }
}

/// Returns the value of a header; empty if it is missing or not visible ASCII.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

/// Parses the number in a header; `None` if it is missing or invalid.
fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    header_text(headers, name).parse().ok()
}
