//! Health probes and ownership grants sent by the holder to its server.

use {
    super::HeldServer,
    crate::{
        backend::{CallError, Upstream},
        headers::{GRANT_PATH, PROBE_PATH},
    },
    bytes::Bytes,
    http::{Method, Request, StatusCode, header::CONTENT_TYPE},
    serde::{Deserialize, Serialize},
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time::timeout,
    whinspring::{
        holder::Input,
        name::{Name, Slice},
    },
};

/// Timeout of a probe or grant.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Largest body of a response to a probe or grant.
const MAX_RESPONSE_BYTES: usize = 4 << 10;

/// The slices and keys that the server owns from now on.
#[derive(Debug)]
pub struct Grant {
    /// Number of the grant, passed back to the holder with the result.
    pub number: u64,
    pub term: u64,
    /// Owned slices with their epochs.
    pub slices: Vec<(Slice, u64)>,
    /// Individually owned keys with their epochs.
    pub keys: Vec<(Name, u64)>,
}

/// JSON body of a grant.
#[derive(Debug, Serialize)]
struct GrantBody<'a> {
    term: u64,
    slices: Vec<(u32, u64)>,
    keys: Vec<(&'a str, u64)>,
}

/// JSON body of a response to a probe or grant.
#[derive(Debug, Deserialize)]
struct ProbeResponse {
    /// Random number identifying the server's process.
    boot: u64,
    /// Highest term of an accepted grant.
    term: u64,
    /// `ready`, `cold` or `leaving`.
    state: String,
}

impl HeldServer {
    pub(super) async fn probe(self: Arc<Self>) {
        let request = Request::get(PROBE_PATH).body(Upstream::empty());
        let input = self.call(request, 0).await;
        self.feed(input);
    }

    pub(super) async fn grant(self: Arc<Self>, grant: Grant) {
        let body = GrantBody {
            term: grant.term,
            slices: grant.slices.iter().map(|(slice, epoch)| (slice.0, *epoch)).collect(),
            keys: grant.keys.iter().map(|(key, epoch)| (key.as_str(), *epoch)).collect(),
        };
        let body = serde_json::to_vec(&body).expect("numbers and strings are valid JSON");
        let request = Request::builder()
            .method(Method::POST)
            .uri(GRANT_PATH)
            .header(CONTENT_TYPE, "application/json")
            .body(Upstream::from_bytes(body.into()));
        let input = self.call(request, grant.number).await;
        self.feed(input);
    }

    /// Sends a probe or grant and returns the resulting input for the holder.
    ///
    /// While an earlier one is unanswered, a new connection is used: the earlier connection may be
    /// dead although the server is healthy.
    async fn call(&self, request: http::Result<Request<Upstream>>, grant: u64) -> Input {
        let request = request.expect("the parts are valid");
        let earlier = self.probes.fetch_add(1, Ordering::Relaxed);
        if earlier > 0 {
            self.backend.clear_idle();
        }
        let response = timeout(PROBE_TIMEOUT, self.exchange(request)).await;
        self.probes.fetch_sub(1, Ordering::Relaxed);
        let input = match response {
            Ok(Ok((StatusCode::OK, body))) => parse_response(&body, grant),
            Ok(Ok((StatusCode::CONFLICT, _))) if grant > 0 => Input::Outranked,
            Ok(Ok(_)) | Err(_) => Input::Down { refused: false },
            Ok(Err(error)) => Input::Down { refused: error == CallError::Refused },
        };
        let event = match input {
            Input::Up { .. } => "server_answered",
            Input::Outranked => "server_outranked",
            _ => "server_unanswered",
        };
        self.shared.metrics.count(event);
        input
    }

    /// Sends a request and reads the complete response.
    async fn exchange(&self, request: Request<Upstream>) -> Result<(StatusCode, Bytes), CallError> {
        let until = self.shared.lease_until();
        let mut conn = self.backend.acquire(false).await?;
        let response = conn.send(request, until).await?;
        let status = response.status();
        let mut body = response.into_body();
        let bytes = conn.collect(&mut body, MAX_RESPONSE_BYTES).await?;
        self.backend.release(conn).await;
        Ok((status, bytes))
    }
}

/// Converts a response's body into an input for the holder.
fn parse_response(body: &[u8], grant: u64) -> Input {
    let Ok(response) = serde_json::from_slice::<ProbeResponse>(body) else {
        return Input::Down { refused: false };
    };
    Input::Up {
        grant,
        boot: response.boot,
        term: response.term,
        leaving: response.state == "leaving",
        cold: response.state == "cold",
    }
}
