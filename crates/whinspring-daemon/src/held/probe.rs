//! Probes and grants: calls of the holder's own to its server.

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

/// Longest time that an answer to a probe or grant is awaited.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Largest answer to a probe or grant, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 10;

/// A set of slices and keys for the server.
#[derive(Debug)]
pub struct Grant {
    /// Number of the grant.
    pub number: u64,
    /// Fencing term.
    pub term: u64,
    /// Slices and epochs that the server owns.
    pub slices: Vec<(Slice, u64)>,
    /// Single keys and epochs that the server owns.
    pub keys: Vec<(Name, u64)>,
}

/// Body of a grant.
#[derive(Debug, Serialize)]
struct GrantBody<'a> {
    /// Fencing term.
    term: u64,
    /// Slices and epochs.
    slices: Vec<(u32, u64)>,
    /// Keys and epochs.
    keys: Vec<(&'a str, u64)>,
}

/// Answer to a probe or grant.
#[derive(Debug, Deserialize)]
struct Sign {
    /// Number that the server drew at its start.
    boot: u64,
    /// Highest term that it has accepted a grant of.
    term: u64,
    /// Whether it is ready, cold or leaving.
    state: String,
}

impl HeldServer {
    /// Probes the server.
    pub(super) async fn probe(self: Arc<Self>) {
        let request = Request::get(PROBE_PATH).body(Upstream::empty());
        let input = self.call(request, 0).await;
        self.feed(input);
    }

    /// Grants the server its slices and keys.
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

    /// Sends a probe or grant and returns what it showed.
    ///
    /// While an earlier one is unanswered, it goes over a new connection: the earlier one's may
    /// have fallen silent though the server is well.
    async fn call(&self, request: http::Result<Request<Upstream>>, grant: u64) -> Input {
        let request = request.expect("the parts are valid");
        let earlier = self.probes.fetch_add(1, Ordering::Relaxed);
        if earlier > 0 {
            self.backend.clear_idle();
        }
        let answer = timeout(PROBE_TIMEOUT, self.exchange(request)).await;
        self.probes.fetch_sub(1, Ordering::Relaxed);
        let input = match answer {
            Ok(Ok((StatusCode::OK, body))) => parse_answer(&body, grant),
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

    /// Sends a request and reads the whole answer.
    async fn exchange(&self, request: Request<Upstream>) -> Result<(StatusCode, Bytes), CallError> {
        let until = self.shared.lease_until();
        let mut conn = self.backend.acquire(false).await?;
        let answer = conn.send(request, until).await?;
        let status = answer.status();
        let mut body = answer.into_body();
        let bytes = conn.collect(&mut body, MAX_ANSWER_BYTES).await?;
        self.backend.release(conn).await;
        Ok((status, bytes))
    }
}

/// Returns what an answer shows.
fn parse_answer(body: &[u8], grant: u64) -> Input {
    let Ok(answer) = serde_json::from_slice::<Sign>(body) else {
        return Input::Down { refused: false };
    };
    Input::Up {
        grant,
        boot: answer.boot,
        term: answer.term,
        leaving: answer.state == "leaving",
        cold: answer.state == "cold",
    }
}
