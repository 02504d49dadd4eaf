//! HTTP client of the object API.

use {
    crate::{
        error::{
            BadBodySnafu, BadHeaderSnafu, BadUriSnafu, Error, GoneSnafu, StatusSnafu,
            TooLargeSnafu, TruncatedSnafu, UnreachableSnafu,
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

/// Timeout of a call other than a watch.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time added to the requested wait of a watch to form its timeout.
pub const WATCH_SLACK: Duration = Duration::from_secs(2);

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Characters to percent-encode in a path: all but those that RFC 3986 calls unreserved.
const PATH_ENCODE_SET: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// Request header with the version that an object must have for a write to be applied.
const IF_VERSION: &str = "x-if-version";

/// Response header with the version of an object.
const VERSION: &str = "x-version";

/// Header with the mark of a write, which identifies it.
const MARK: &str = "x-mark";

/// Client of one platform; clones share its connections.
#[derive(Debug, Clone)]
pub struct Platform {
    addr: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A complete response.
struct Response {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl Platform {
    /// Creates a client of the platform at `addr`, which connects on the first call.
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

    /// Returns the object at `key`, or `None` if there is none.
    pub async fn get(&self, key: &Key) -> Result<Option<Object>, Error> {
        let request = self.request(Method::GET, &object_path(key));
        let response = self.call(request, Bytes::new(), CALL_TIMEOUT).await?;
        match response.status {
            StatusCode::OK => {
                let version = header_number(&response.headers, VERSION)?;
                let mark = header_number(&response.headers, MARK)?;
                Ok(Some(Object { key: key.clone(), version, mark, value: Some(response.body) }))
            }
            StatusCode::NOT_FOUND => Ok(None),
            status => StatusSnafu { status }.fail(),
        }
    }

    /// Returns all objects of whinspring's kinds.
    pub async fn list(&self) -> Result<Listing, Error> {
        let request = self.request(Method::GET, "/objects");
        let response = self.call(request, Bytes::new(), CALL_TIMEOUT).await?;
        parse::<ListingBody>(&response)?.try_into()
    }

    /// Returns the objects changed after the revision `after`, waiting up to `wait` for a change.
    ///
    /// Fails with [`Error::Gone`] if the platform no longer retains these changes.
    pub async fn watch(&self, after: u64, wait: Duration) -> Result<Listing, Error> {
        let path = format!("/watch?after={after}&wait_ms={}", wait.as_millis());
        let request = self.request(Method::GET, &path);
        let response = self.call(request, Bytes::new(), wait + WATCH_SLACK).await?;
        if response.status == StatusCode::GONE {
            return GoneSnafu { after }.fail();
        }
        parse::<ListingBody>(&response)?.try_into()
    }

    /// Returns the platform's list of VMs, which may be out of date.
    pub async fn vms(&self) -> Result<Vec<Vm>, Error> {
        let request = self.request(Method::GET, "/vms");
        let response = self.call(request, Bytes::new(), CALL_TIMEOUT).await?;
        let vms = parse::<Vec<VmBody>>(&response)?;
        Ok(vms.into_iter().map(Vm::from).collect())
    }

    /// Writes an object if it is at version `expect`; 0 means that it must not exist.
    ///
    /// A conflict whose mark is `mark` itself means that an earlier attempt of this write was
    /// applied, and counts as written. An error means that nothing was written.
    /// [`WriteOutcome::Unknown`] means that the write may have been applied: the response was lost, late
    /// or had a 5xx status.
    pub async fn put(
        &self,
        key: &Key,
        expect: u64,
        mark: u64,
        value: Bytes,
    ) -> Result<WriteOutcome, Error> {
        self.write(Method::PUT, key, expect, mark, value).await
    }

    /// Deletes an object if it is at version `expect`; the outcomes are those of [`Platform::put`].
    pub async fn delete(&self, key: &Key, expect: u64, mark: u64) -> Result<WriteOutcome, Error> {
        self.write(Method::DELETE, key, expect, mark, Bytes::new()).await
    }

    /// Sends a conditional write or deletion.
    async fn write(
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
            Ok(response) => write_outcome(&response, mark, bytes),
            Err(Error::Timeout { .. } | Error::Unreachable { .. } | Error::Truncated { .. }) => {
                Ok(WriteOutcome::Unknown)
            }
            Err(error) => Err(error),
        }
    }

    fn request(&self, method: Method, path: &str) -> Builder {
        Request::builder().method(method).uri(format!("http://{}{path}", self.addr))
    }

    /// Sends a request and reads the complete response within `timeout`.
    async fn call(
        &self,
        request: Builder,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Response, Error> {
        let request = request.body(Full::new(body)).context(BadUriSnafu)?;
        let exchange = async {
            let response = self.client.request(request).await.context(UnreachableSnafu)?;
            let (head, body) = response.into_parts();
            let body = body.collect().await.context(TruncatedSnafu)?.to_bytes();
            Ok(Response { status: head.status, headers: head.headers, body })
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(Error::Timeout { ms: timeout.as_millis() }),
        }
    }
}

fn object_path(key: &Key) -> String {
    format!("/objects/{}/{}", key.kind.as_str(), utf8_percent_encode(&key.name, PATH_ENCODE_SET))
}

/// Returns the outcome of a write with `mark` and a value of `bytes` bytes.
fn write_outcome(response: &Response, mark: u64, bytes: usize) -> Result<WriteOutcome, Error> {
    match response.status {
        StatusCode::OK => Ok(WriteOutcome::Written(header_number(&response.headers, VERSION)?)),
        StatusCode::CONFLICT => {
            let version = header_number(&response.headers, VERSION)?;
            let found = header_number(&response.headers, MARK)?;
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

/// Parses the JSON body of a response with status 200.
fn parse<T: DeserializeOwned>(response: &Response) -> Result<T, Error> {
    if response.status != StatusCode::OK {
        return StatusSnafu { status: response.status }.fail();
    }
    serde_json::from_slice(&response.body).context(BadBodySnafu)
}

/// Parses a response header as a number.
fn header_number(headers: &HeaderMap, header: &'static str) -> Result<u64, Error> {
    let text = headers.get(header).and_then(|value| value.to_str().ok());
    match text.and_then(|text| text.parse().ok()) {
        Some(number) => Ok(number),
        None => BadHeaderSnafu { header }.fail(),
    }
}
