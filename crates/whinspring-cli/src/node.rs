//! Queries to the admin ports of nodes.

use {
    crate::error::Error,
    bytes::Bytes,
    http_body_util::{BodyExt, Empty},
    hyper::{Response, StatusCode, body::Incoming},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    tokio::{task::JoinSet, time::timeout},
};

/// Time limit of a query to one node.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Events of a request that a node has recorded: the response to `GET /explain?id=ID`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RequestTrace {
    pub node: String,
    /// Events in order of time; empty if the node does not know the request.
    pub events: Vec<Event>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Event {
    /// Wall-clock time, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Role of the node for the request: `entry` or `holder`.
    pub hop: String,
    pub text: String,
    /// Result code, if the request ended there.
    pub code: Option<u16>,
}

/// Owner changes of a key that a node has recorded: the response to `GET /history?key=KEY`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeyHistory {
    pub node: String,
    /// Changes that the node has seen, in order.
    pub changes: Vec<OwnerChange>,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OwnerChange {
    pub service: String,
    /// Version of the record that contains the change.
    pub version: u64,
    /// Wall-clock time at which the node learned of it, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Number of the previous owner, if there was one.
    pub former: Option<u32>,
    /// Number of the new owner.
    pub server: u32,
    /// Epoch of the new ownership.
    pub epoch: u64,
    /// Plan or failure that caused the change, as far as the node knows.
    pub cause: String,
}

/// State of a node: the response to `GET /status`.
#[derive(Debug, Clone, Deserialize)]
pub struct NodeStatus {
    pub node: String,
    /// Whether it has loaded the records and accepts requests.
    pub ready: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Whether its lease is valid.
    pub leased: bool,
    /// Services whose declarations it has loaded.
    pub services: Vec<KnownService>,
    /// Servers for which it is the holder.
    pub held: Vec<HeldServer>,
}

/// A service declaration loaded by a node.
#[derive(Debug, Clone, Deserialize)]
pub struct KnownService {
    pub name: String,
    /// Version of the declaration that the node uses.
    pub version: u64,
}

/// State of a server as its holder reports it.
#[derive(Debug, Clone, Deserialize)]
pub struct HeldServer {
    pub service: String,
    pub server: u32,
    /// Whether it responds.
    pub up: bool,
}

/// Sends the same query to every node and returns the valid responses.
///
/// # Errors
///
/// Fails if every node fails.
pub async fn fetch<T>(nodes: &[SocketAddr], path: &str) -> Result<Vec<T>, Error>
where
    T: DeserializeOwned + Send + 'static,
{
    let mut answers = Vec::new();
    let mut failure = None;
    for (_, answer) in fetch_each(nodes, path).await {
        match answer {
            Ok(answer) => answers.push(answer),
            Err(error) => failure = Some(error),
        }
    }
    match failure {
        Some(error) if answers.is_empty() => Err(error),
        _ => Ok(answers),
    }
}

/// Sends the same query to every node in parallel and returns each result by address.
pub async fn fetch_each<T>(
    nodes: &[SocketAddr],
    path: &str,
) -> BTreeMap<SocketAddr, Result<T, Error>>
where
    T: DeserializeOwned + Send + 'static,
{
    let mut calls = JoinSet::new();
    for addr in nodes.iter().copied() {
        let path = path.to_string();
        calls.spawn(async move { (addr, get(addr, &path).await) });
    }
    calls.join_all().await.into_iter().collect()
}

/// Queries one node.
async fn get<T: DeserializeOwned>(addr: SocketAddr, path: &str) -> Result<T, Error> {
    let unavailable = |reason: String| Error::NodeUnavailable { addr, reason };
    let uri = format!("http://{addr}{path}").parse();
    let uri = uri.map_err(|error| unavailable(format!("invalid path {path}: {error}")))?;
    let client: Client<HttpConnector, Empty<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let request = async {
        let answer = client.get(uri).await.map_err(|error| unavailable(error.to_string()))?;
        read_body(answer).await.map_err(unavailable)
    };
    let body = timeout(TIMEOUT, request)
        .await
        .map_err(|_| unavailable("no response within 3 s".into()))??;
    serde_json::from_slice(&body).map_err(|error| unavailable(error.to_string()))
}

/// Reads the body of a response with status 200; fails on any other status.
async fn read_body(answer: Response<Incoming>) -> Result<Bytes, String> {
    let status = answer.status();
    if status != StatusCode::OK {
        return Err(format!("expected status 200, got {status}"));
    }
    let body = answer.into_body().collect().await.map_err(|error| error.to_string())?;
    Ok(body.to_bytes())
}

/// Percent-encodes a query parameter.
pub fn percent_encode(text: &str) -> String {
    let mut escaped = String::new();
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            escaped.push(char::from(byte));
        } else {
            escaped.push_str(&format!("%{byte:02X}"));
        }
    }
    escaped
}
