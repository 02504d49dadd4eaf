//! Questions to the admin ports of nodes.

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

/// Longest wait for the answer of a node.
const TIMEOUT: Duration = Duration::from_secs(3);

/// What a node remembers of a request: `GET /explain?id=ID`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RequestTrace {
    /// Name of the node.
    pub node: String,
    /// What happened, in order; empty if the node does not know the request.
    pub events: Vec<Event>,
}

/// One thing that happened to a request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Event {
    /// Calendar time, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Where it happened: `entry` or `holder`.
    pub hop: String,
    /// What happened.
    pub text: String,
    /// Result code, if the request ended there.
    pub code: Option<u16>,
}

/// What a node remembers of the owners of a key: `GET /history?key=KEY`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KeyHistory {
    /// Name of the node.
    pub node: String,
    /// Changes that it saw, in order.
    pub changes: Vec<OwnerChange>,
}

/// One change of the owner of a key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OwnerChange {
    /// Service of the key.
    pub service: String,
    /// Version of the record that made the change.
    pub version: u64,
    /// Calendar time at which the node learned of it, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Number of the server that owned it until then.
    pub former: Option<u32>,
    /// Number of the server that owns the key from then on.
    pub server: u32,
    /// Epoch of the ownership.
    pub epoch: u64,
    /// Plan or failure that it came from, as far as the node knows.
    pub cause: String,
}

/// What a node says of itself: `GET /status`.
#[derive(Debug, Clone, Deserialize)]
pub struct NodeStatus {
    /// Name of the node.
    pub node: String,
    /// Whether it takes requests.
    pub ready: bool,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Whether its lease holds.
    pub leased: bool,
    /// Services that it knows.
    pub services: Vec<KnownService>,
    /// Servers that it holds.
    pub held: Vec<HeldServer>,
}

/// A service as a node knows it.
#[derive(Debug, Clone, Deserialize)]
pub struct KnownService {
    /// Its name.
    pub name: String,
    /// Version of the declaration in force on the node.
    pub version: u64,
}

/// A server as its holder sees it.
#[derive(Debug, Clone, Deserialize)]
pub struct HeldServer {
    /// Its service.
    pub service: String,
    /// Its number.
    pub server: u32,
    /// Whether it answers.
    pub up: bool,
}

/// Asks every node the same and returns the answers.
///
/// # Errors
///
/// Fails if no node answers.
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

/// Asks every node the same and returns each one's answer, in the order of addresses.
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

/// Asks one node.
async fn get<T: DeserializeOwned>(addr: SocketAddr, path: &str) -> Result<T, Error> {
    let unavailable = |reason: String| Error::NodeUnavailable { addr, reason };
    let uri = format!("http://{addr}{path}").parse();
    let uri = uri.map_err(|error| unavailable(format!("{path} is no path: {error}")))?;
    let client: Client<HttpConnector, Empty<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let request = async {
        let answer = client.get(uri).await.map_err(|error| unavailable(error.to_string()))?;
        read_body(answer).await.map_err(unavailable)
    };
    let body =
        timeout(TIMEOUT, request).await.map_err(|_| unavailable("no answer in time".into()))??;
    serde_json::from_slice(&body).map_err(|error| unavailable(error.to_string()))
}

/// Reads the body of a successful answer.
async fn read_body(answer: Response<Incoming>) -> Result<Bytes, String> {
    let status = answer.status();
    if status != StatusCode::OK {
        return Err(format!("status {status}"));
    }
    let body = answer.into_body().collect().await.map_err(|error| error.to_string())?;
    Ok(body.to_bytes())
}

/// Returns a query parameter in which every character stands for itself.
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
