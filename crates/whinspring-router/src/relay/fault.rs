//! What a relay says if it has no response of the server.

use {
    http::{HeaderMap, HeaderValue, Response, StatusCode},
    std::time::Duration,
    whinspring::notices::Refusal,
    whinspring_http::headers::{RELAY_FAULT, RETRY_MS},
};

/// Why a relay has no response of the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The server wants no requests from the relay, and nothing was sent.
    Refused(Refusal),
    /// Nothing was sent.
    Unsent,
    /// The request may have run.
    Lost,
}

impl Fault {
    /// Reads the fault from the headers of a relay's response, if it is none of the server. A fault
    /// that is not known counts as [`Fault::Lost`].
    pub fn read(headers: &HeaderMap) -> Option<Self> {
        let text = headers.get(RELAY_FAULT)?;
        let wait = headers.get(RETRY_MS).and_then(|value| value.to_str().ok()?.parse().ok());
        let wait = Duration::from_millis(wait.unwrap_or_default());
        Some(match text.as_bytes() {
            b"left" => Self::Refused(Refusal::Left),
            b"paused" => Self::Refused(Refusal::Paused(wait)),
            b"ramping" => Self::Refused(Refusal::Ramping(wait)),
            b"unsent" => Self::Unsent,
            _ => Self::Lost,
        })
    }

    /// Builds the response of a relay.
    pub fn into_response<B>(self, body: B) -> Response<B> {
        let mut response = Response::new(body);
        *response.status_mut() = StatusCode::BAD_GATEWAY;
        let headers = response.headers_mut();
        headers.insert(RELAY_FAULT, HeaderValue::from_static(self.text()));
        if let Self::Refused(refusal) = self
            && let Some(wait) = refusal.wait()
        {
            headers.insert(RETRY_MS, (wait.as_millis() as u64).into());
        }
        response
    }

    /// Returns the name for headers and log lines.
    pub const fn text(self) -> &'static str {
        match self {
            Self::Refused(Refusal::Left) => "left",
            Self::Refused(Refusal::Paused(_)) => "paused",
            Self::Refused(Refusal::Ramping(_)) => "ramping",
            Self::Unsent => "unsent",
            Self::Lost => "lost",
        }
    }
}
