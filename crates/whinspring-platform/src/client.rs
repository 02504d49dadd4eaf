//! The calls of the object API.

use {
    crate::{
        error::{
            BadBodySnafu, BadHeaderSnafu, BadUriSnafu, CutSnafu, Error, GoneSnafu, StatusSnafu,
            TooLargeSnafu, UnreachableSnafu,
        },
        json::{ListingBody, Vm, VmBody},
        object::{Listing, Object},
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{HeaderMap, Method, Request, StatusCode, http::request::Builder},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode},
    serde::de::DeserializeOwned,
    snafu::ResultExt,
    std::{net::SocketAddr, time::Duration},
    whinspring::{control::WriteOutcome, record::Key},
};

/// Longest wait for the answer of a call.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Wait for a watch's answer beyond the wait that was asked for.
pub const WATCH_SLACK: Duration = Duration::from_secs(2);

/// Longest wait for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle connections are closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Characters of a name that stand for themselves in a path.
const NAME_CHARS: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// Header with the version that an object must have.
const IF_VERSION: &str = "x-if-version";

/// Header with an object's version.
const VERSION: &str = "x-version";

/// Header with the mark of an object's last write.
const MARK: &str = "x-mark";

/// A client of one platform; clones share its connections.
#[derive(Debug, Clone)]
pub struct Platform {
    addr: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A whole answer.
struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl Platform {
    /// Returns a client of the platform at `addr`; it connects on the first call.
    pub fn new(addr: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Self { addr, client }
    }

    /// Returns the object of `key`, if there is one.
    pub async fn get(&self, key: &Key) -> Result<Option<Object>, Error> {
        let request = self.request(Method::GET, &object_path(key));
        let answer = self.call(request, Bytes::new(), CALL_TIMEOUT).await?;
        match answer.status {
            StatusCode::OK => {
                let version = number(&answer.headers, VERSION)?;
                let mark = number(&answer.headers, MARK)?;
                Ok(Some(Object { key: key.clone(), version, mark, value: Some(answer.body) }))
            }
            StatusCode::NOT_FOUND => Ok(None),
            status => StatusSnafu { status }.fail(),
        }
    }

    /// Returns every object of the kinds that whinspring knows.
    pub async fn list(&self) -> Result<Listing, Error> {
        let request = self.request(Method::GET, "/objects");
        let answer = self.call(request, Bytes::new(), CALL_TIMEOUT).await?;
        parse::<ListingBody>(&answer)?.try_into()
    }

    /// Returns what changed after the revision `after`, waiting up to `wait` for a change.
    ///
    /// Fails with [`Error::Gone`] if the platform no longer has these changes.
    pub async fn watch(&self, after: u64, wait: Duration) -> Result<Listing, Error> {
        let path = format!("/watch?after={after}&wait_ms={}", wait.as_millis());
        let request = self.request(Method::GET, &path);
        let answer = self.call(request, Bytes::new(), wait + WATCH_SLACK).await?;
        if answer.status == StatusCode::GONE {
            return GoneSnafu { after }.fail();
        }
        parse::<ListingBody>(&answer)?.try_into()
    }

    /// Returns the platform's list of VMs, which lags.
    pub async fn vms(&self) -> Result<Vec<Vm>, Error> {
        let request = self.request(Method::GET, "/vms");
        let answer = self.call(request, Bytes::new(), CALL_TIMEOUT).await?;
        let vms = parse::<Vec<VmBody>>(&answer)?;
        Ok(vms.into_iter().map(Vm::from).collect())
    }

    /// Writes an object if it is at version `expect`; zero means that it must not exist.
    ///
    /// A conflict with `mark` itself is an earlier sending of this write and counts as written.
    /// An error means that the platform refused the write and nothing was written.
    pub async fn put(
        &self,
        key: &Key,
        expect: u64,
        mark: u64,
        value: Bytes,
    ) -> Result<WriteOutcome, Error> {
        self.store(Method::PUT, key, expect, mark, value).await
    }

    /// Deletes an object if it is at version `expect`; outcomes as for [`Platform::put`].
    pub async fn delete(&self, key: &Key, expect: u64, mark: u64) -> Result<WriteOutcome, Error> {
        self.store(Method::DELETE, key, expect, mark, Bytes::new()).await
    }

    /// Sends a conditional update.
    async fn store(
        &self,
        method: Method,
        key: &Key,
        expect: u64,
        mark: u64,
        value: Bytes,
    ) -> Result<WriteOutcome, Error> {
        let bytes = value.len();
        let request =
            self.request(method, &object_path(key)).header(IF_VERSION, expect).header(MARK, mark);
        match self.call(request, value, CALL_TIMEOUT).await {
            Ok(answer) => stored(&answer, mark, bytes),
            Err(Error::Timeout { .. } | Error::Unreachable { .. } | Error::Cut { .. }) => {
                Ok(WriteOutcome::Unknown)
            }
            Err(error) => Err(error),
        }
    }

    /// Starts a request of `method` for a path with its query.
    fn request(&self, method: Method, path: &str) -> Builder {
        Request::builder().method(method).uri(format!("http://{}{path}", self.addr))
    }

    /// Makes a call and reads the whole answer within `timeout`.
    async fn call(
        &self,
        request: Builder,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Answer, Error> {
        let request = request.body(Full::new(body)).context(BadUriSnafu)?;
        let whole = async {
            let answer = self.client.request(request).await.context(UnreachableSnafu)?;
            let (head, body) = answer.into_parts();
            let body = body.collect().await.context(CutSnafu)?.to_bytes();
            Ok(Answer { status: head.status, headers: head.headers, body })
        };
        match tokio::time::timeout(timeout, whole).await {
            Ok(result) => result,
            Err(_) => Err(Error::Timeout { ms: timeout.as_millis() }),
        }
    }
}

/// Returns the path of an object.
fn object_path(key: &Key) -> String {
    format!("/objects/{}/{}", key.kind.as_str(), utf8_percent_encode(&key.name, NAME_CHARS))
}

/// Judges the answer to a write of `mark` and `bytes`.
fn stored(answer: &Answer, mark: u64, bytes: usize) -> Result<WriteOutcome, Error> {
    match answer.status {
        StatusCode::OK => Ok(WriteOutcome::Written(number(&answer.headers, VERSION)?)),
        StatusCode::CONFLICT => {
            let version = number(&answer.headers, VERSION)?;
            let found = number(&answer.headers, MARK)?;
            if found == mark {
                return Ok(WriteOutcome::Written(version));
            }
            Ok(WriteOutcome::Conflict { version, mark: found })
        }
        StatusCode::PAYLOAD_TOO_LARGE => TooLargeSnafu { bytes }.fail(),
        status if status.is_server_error() => Ok(WriteOutcome::Unknown),
        status => StatusSnafu { status }.fail(),
    }
}

/// Reads the JSON body of a successful answer.
fn parse<T: DeserializeOwned>(answer: &Answer) -> Result<T, Error> {
    if answer.status != StatusCode::OK {
        return StatusSnafu { status: answer.status }.fail();
    }
    serde_json::from_slice(&answer.body).context(BadBodySnafu)
}

/// Reads a header that holds a number.
fn number(headers: &HeaderMap, header: &'static str) -> Result<u64, Error> {
    let text = headers.get(header).and_then(|value| value.to_str().ok());
    match text.and_then(|text| text.parse().ok()) {
        Some(number) => Ok(number),
        None => BadHeaderSnafu { header }.fail(),
    }
}
