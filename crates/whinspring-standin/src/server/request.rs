//! What the headers of a work request say.

use {
    hyper::{HeaderMap, http::request::Parts},
    std::time::Duration,
    tokio::time::Instant,
};

/// A work request as the server sees it before its body.
#[derive(Debug)]
pub(super) struct WorkRequest {
    /// HTTP method.
    pub(super) method: String,
    /// Path with query.
    pub(super) path: String,
    /// Fencing term of the holder.
    pub(super) term: Option<u64>,
    /// Slice of the key.
    pub(super) slice: Option<u32>,
    /// Epoch of the slice or key.
    pub(super) epoch: Option<u64>,
    /// The caller's request id; empty if there is none.
    pub(super) id: String,
    /// The key header; empty if there is none.
    pub(super) key: String,
    /// When the caller must have an answer.
    pub(super) deadline: Option<Instant>,
    /// Length of the body, if the request names it.
    pub(super) len: Option<u64>,
}

impl WorkRequest {
    /// Reads the head of a request; `key_header` names the header with the key.
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

    /// Returns the number of bytes asked for by the query.
    pub(super) fn requested_bytes(&self) -> Option<u64> {
        let (_, query) = self.path.split_once('?')?;
        query.split('&').find_map(|pair| pair.strip_prefix("bytes=")?.parse().ok())
    }

    /// Returns whether the deadline has passed.
    pub(super) fn is_expired(&self) -> bool {
        self.deadline.is_some_and(|deadline| Instant::now() >= deadline)
    }

    /// Returns whether the request names `key`, in its header or as a part of its path.
    pub(super) fn names_key(&self, key: &str) -> bool {
        let path = self.path.split('?').next().unwrap_or_default();
        self.key == key || path.split('/').any(|part| part == key)
    }
}

/// Reads a header of text.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

/// Reads a header that holds a number.
fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    header_text(headers, name).parse().ok()
}
